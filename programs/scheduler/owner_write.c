#include "batch/level.h"
#include "common/clk.h"
#include "common/line.h"
#include "owner_private.h"

/** Most jobs removed by one append: more than end between two heartbeats. */
#define EXPIRED_JOBS_MAX 64
/** Retention of ended jobs, as a multiple of the time that their state is served. An owner counts
 * from its takeover, and callers that repeat a submission must find the job. */
#define RETENTION_FACTOR 2
/** A cancel of an unknown job is held for this long at least: longer than a submission can be under
 * way, in an entry that is paused or in outboxes. */
#define CANCEL_HELD_MS 180000
/** Interval of writing learned state, which is some KB and is read by every entry. */
#define LEARNED_INTERVAL_MS 3000
/** Changes are collected for this long before they are appended. */
#define FLUSH_DELAY_MS 15

static void
add_loads (const Owner *owner, Batch__Owner *message, GPtrArray *allocations)
{
  const QueueConfig *config = owner->entry->config;

  if (config == NULL || owner->sched == NULL)
    return;
  message->loads = g_new0 (Batch__QueueLoad *, config->queues->len);
  g_ptr_array_add (allocations, message->loads);
  for (guint i = 0; i < config->queues->len; i++)
    {
      const Queue *queue = g_ptr_array_index (config->queues, i);
      uint32_t n_pending = sched_pending_jobs (owner->sched, queue->name);
      if (n_pending == 0)
        continue;
      Batch__QueueLoad *row = g_new (Batch__QueueLoad, 1);
      batch__queue_load__init (row);
      row->queue = queue->name;
      row->pending = n_pending;
      message->loads[message->n_loads++] = row;
      g_ptr_array_add (allocations, row);
    }
}

/* Whether this process may not act yet in its term. */
static gboolean
may_wait (const Owner *owner)
{
  return owner->phase == OWNER_WAITING || (owner->phase != OWNER_ACTIVE && owner->claim.is_unsure);
}

void
owner_add_record (const Owner *owner, GByteArray *records, uint64_t boot)
{
  g_autoptr (GPtrArray) allocations = g_ptr_array_new_with_free_func (g_free);
  Batch__Owner message = BATCH__OWNER__INIT;

  message.term = owner->term;
  message.name = may_wait (owner) ? (char *) "" : owner->entry->settings->name;
  message.epoch = owner->epoch;
  message.boot = boot;
  message.level = LEVEL_CURRENT;
  message.level_since = owner->level_since;
  const char *deputies[RELAY_DEPUTIES_MAX];
  g_autofree char *metrics_address = g_strdup_printf ("%s:%d", owner->entry->settings->ip,
                                                      (int) owner->entry->settings->metrics_port);
  message.metrics_address = metrics_address;
  message.address = (char *) relay_address (owner->entry->relay);
  message.n_deputies = relay_deputies (owner->entry->relay, deputies);
  message.deputies = (char **) deputies;
  add_loads (owner, &message, allocations);
  size_t size = batch__owner__get_packed_size (&message);
  g_autofree uint8_t *bytes = g_malloc (size);
  (void) batch__owner__pack (&message, bytes);
  store_add_record (records, LEDGER_OWNER_KEY, bytes, size);
}

/* Removes agents that have not reported for long; each new owner would wait for them. */
static void
add_agent_removal (Owner *owner, GByteArray *records)
{
  const char *name = sched_forget_agent (owner->sched);

  if (name == NULL)
    return;
  peers_remove (owner->peers, name);
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, name, NULL);
  line_add ("owner", "agent_forgotten", "agent=%s", name);
  store_add_record (records, key, NULL, 0);
}

static void
add_removal (GByteArray *records, const char *prefix, const char *id)
{
  g_autofree char *key = g_strconcat (prefix, id, NULL);

  store_add_record (records, key, NULL, 0);
}

/* Removes jobs whose retention has passed, so that the store does not fill up. */
static void
add_expired_jobs (Owner *owner, GByteArray *records)
{
  int64_t retention_ms = owner->entry->settings->state_s * CLK_MS_PER_S * RETENTION_FACTOR;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  sched_expired_jobs (owner->sched, retention_ms, ids, EXPIRED_JOBS_MAX);
  for (guint i = 0; i < ids->len; i++)
    {
      const char *id = g_ptr_array_index (ids, i);
      add_removal (records, LEDGER_JOB_PREFIX, id);
      add_removal (records, LEDGER_RUN_PREFIX, id);
      add_removal (records, LEDGER_CANCEL_PREFIX, id);
      if (ledger_crashes (owner->entry->ledger, id) != NULL)
        add_removal (records, LEDGER_CRASH_PREFIX, id);
    }
  if (ids->len > 0)
    line_add ("owner", "jobs_dropped", "count=%u ended_before_ms=%" G_GINT64_FORMAT, ids->len,
              retention_ms);
}

/* Removes what an owner of an older build left of jobs that it removed. */
static void
add_orphaned_crashes (const Owner *owner, GByteArray *records)
{
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  ledger_orphaned_crashes (owner->entry->ledger, ids, EXPIRED_JOBS_MAX);
  for (guint i = 0; i < ids->len; i++)
    add_removal (records, LEDGER_CRASH_PREFIX, g_ptr_array_index (ids, i));
}

/* Removes cancels of jobs that were not submitted. */
static void
add_expired_cancels (const Owner *owner, GByteArray *records)
{
  int64_t retention_ms = owner->entry->settings->state_s * CLK_MS_PER_S * RETENTION_FACTOR;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  ledger_expired_cancels (owner->entry->ledger, clk_now_us (), MAX (retention_ms, CANCEL_HELD_MS),
                          ids, EXPIRED_JOBS_MAX);
  for (guint i = 0; i < ids->len; i++)
    add_removal (records, LEDGER_CANCEL_PREFIX, g_ptr_array_index (ids, i));
  if (ids->len > 0)
    line_add ("owner", "cancels_dropped", "count=%u held=%u", ids->len,
              ledger_held_cancels (owner->entry->ledger));
}

/* Writes the learned state. Without it, the next owner would have to measure interference again,
 * at the cost of serving tasks. */
static void
add_learned (Owner *owner, GByteArray *records)
{
  int64_t now = clk_now_us ();

  if (!owner->is_release && now - owner->learned_us < LEARNED_INTERVAL_MS * CLK_US_PER_MS)
    return;
  owner->learned_us = now;
  g_autoptr (GBytes) bytes = sched_encode_learned (owner->sched);
  size_t size = 0;
  const void *data = g_bytes_get_data (bytes, &size);
  if (size > 0)
    store_add_record (records, LEDGER_LEARNED_KEY, data, size);
}

/* Adds the agents that do not report, if they changed: the next owner need not wait for them. */
static void
add_silent (Owner *owner, GByteArray *records)
{
  g_autoptr (GBytes) bytes = sched_publish_silent (owner->sched);
  size_t size = 0;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  store_add_record (records, LEDGER_SILENT_KEY, data, size);
}

static void
add_bytes (GByteArray *records, const char *prefix, const char *id, GBytes *value)
{
  g_autofree char *key = g_strconcat (prefix, id, NULL);
  size_t size = 0;
  const void *bytes = g_bytes_get_data (value, &size);

  store_add_record (records, key, bytes, size);
}

static void
add_changes (GByteArray *records, const SchedFlush *flush)
{
  const GPtrArray *changes = sched_flush_changes (flush);

  for (guint i = 0; i < changes->len; i++)
    {
      const SchedChange *change = g_ptr_array_index (changes, i);
      add_bytes (records, LEDGER_RUN_PREFIX, change->job, change->progress);
      if (change->crashes != NULL)
        add_bytes (records, LEDGER_CRASH_PREFIX, change->job, change->crashes);
    }
}

static void on_appended (void *ctx, const StoreAnswer *answer);

static int64_t
timeout_ms (const Owner *owner, int64_t now_us)
{
  const StorePace *pace = &owner->entry->pace;
  int64_t age_ms = (now_us - appender_authority_us (&owner->appender)) / CLK_US_PER_MS;

  return owner->appender.n_transmitted == 0
             ? store_pace_owner_timeout_ms (pace, OWNER_AUTHORITY_MS - age_ms, now_us)
             : store_pace_timeout_ms (pace, TRUE, now_us);
}

static void
transmit (Owner *owner)
{
  int64_t now = clk_now_us ();
  StoreAppend append = { .topic = LEDGER_TOPIC,
                         .producer = OWNER_PRODUCER,
                         .timeout_ms = timeout_ms (owner, now) };

  owner->is_calling = TRUE;
  owner->pace_slot = store_pace_begin (&owner->entry->pace, now);
  appender_transmit (&owner->appender, now, &append);
  store_append (owner->entry->store, &append, on_appended, owner);
}

/* A record of an owner that does not act yet, so that others do not take it for lost. */
static void
write_heartbeat (Owner *owner)
{
  int64_t now = clk_now_us ();

  if (now < owner->renew_us)
    return;
  owner->renew_us = now + OWNER_RENEW_MS * CLK_US_PER_MS;
  GByteArray *records = g_byte_array_new ();
  owner_add_record (owner, records, node_boot (owner->entry->node));
  appender_add (&owner->appender, records);
  transmit (owner);
}

void
owner_write_changes (Owner *owner)
{
  if (!owner_has_term (owner) || owner->is_calling
      || !appender_may_send (&owner->appender, clk_now_us ()))
    return;
  if (appender_is_open (&owner->appender))
    {
      transmit (owner);
      return;
    }
  if (owner->phase == OWNER_WAITING)
    {
      write_heartbeat (owner);
      return;
    }
  owner->flush = sched_flush_begin (owner->sched);
  if (owner->flush == NULL && clk_now_us () < owner->renew_us)
    return;
  GByteArray *records = g_byte_array_new ();
  gboolean is_heartbeat = clk_now_us () >= owner->renew_us;
  owner->renew_us = clk_now_us () + OWNER_RENEW_MS * 1000;
  owner->is_release = owner->is_leaving;
  owner_add_record (owner, records, owner->is_release ? 0 : node_boot (owner->entry->node));
  add_agent_removal (owner, records);
  add_expired_jobs (owner, records);
  add_orphaned_crashes (owner, records);
  if (is_heartbeat)
    add_expired_cancels (owner, records);
  add_learned (owner, records);
  add_silent (owner, records);
  if (owner->flush != NULL)
    add_changes (records, owner->flush);
  appender_add (&owner->appender, records);
  transmit (owner);
}

static gboolean
on_flush_due (gpointer data)
{
  Owner *owner = data;

  owner->flush_timer = 0;
  owner_write_changes (owner);
  return G_SOURCE_REMOVE;
}

void
owner_flush_soon (Owner *owner)
{
  if (owner->flush_timer == 0 && owner->phase == OWNER_ACTIVE)
    owner->flush_timer = g_timeout_add (FLUSH_DELAY_MS, on_flush_due, owner);
}

/* The changes in the append were written. */
static void
end_append (Owner *owner)
{
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, TRUE);
  owner->flush = NULL;
  if (owner->sched != NULL)
    sched_end_publish (owner->sched, TRUE);
}

static void
handle_written (Owner *owner)
{
  end_append (owner);
  if (owner->is_release)
    owner_resign (owner, "leaving");
  else if (owner->is_leaving)
    owner_write_changes (owner);
  else
    owner_decide (owner);
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  Owner *owner = ctx;
  Appender *appender = &owner->appender;
  int64_t now = clk_now_us ();

  owner->is_calling = FALSE;
  store_pace_end (&owner->entry->pace, owner->pace_slot, answer->outcome, now);
  if (!owner_has_term (owner) || !appender_is_open (appender))
    return;
  int64_t first_sent_us = appender->first_sent_us;
  uint32_t n_transmitted = appender->n_transmitted;
  int64_t sequence = appender->sequence;
  AppenderResult result = appender_handle_answer (appender, answer, now);
  if (result != APPENDER_WRITTEN || n_transmitted > 1)
    line_add ("owner", "append_answered",
              "term=%" G_GUINT64_FORMAT " result=%s outcome=%s sequence=%" G_GINT64_FORMAT
              " expected=%" G_GINT64_FORMAT " offset=%" G_GINT64_FORMAT
              " transmissions=%u age_ms=%" G_GINT64_FORMAT " authority_age_ms=%" G_GINT64_FORMAT,
              owner->term, appender_result_name (result), store_outcome_name (answer->outcome),
              sequence, answer->expected_sequence, answer->offset, n_transmitted,
              (now - first_sent_us) / CLK_US_PER_MS,
              (now - appender_authority_us (appender)) / CLK_US_PER_MS);
  if (result == APPENDER_WRITTEN)
    {
      met_observe (owner->append_time, now - first_sent_us);
      handle_written (owner);
    }
  else if (result != APPENDER_UNRESOLVED)
    owner_resign (owner, appender_result_name (result));
}
