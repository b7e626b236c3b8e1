#include "batch/level.h"
#include "common/clk.h"
#include "common/line.h"
#include "owner_private.h"

/** Most jobs removed by one append: more than end between two heartbeats. */
#define EXPIRED_JOBS_MAX 64
/** Retention of ended jobs, as a multiple of the time that their state is served. An owner counts
 * from its takeover, and callers that repeat a submission must find the job. */
#define RETENTION_FACTOR 2
/** Interval of writing learned state, which is some KB and is read by every entry. */
#define LEARNED_INTERVAL_MS 3000
/** Changes are collected for this long before they are appended. */
#define FLUSH_DELAY_MS 15
/** First and longest pause after a failed append. */
#define APPEND_BACKOFF_MIN_MS 50
#define APPEND_BACKOFF_MAX_MS 400

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

void
owner_add_record (const Owner *owner, GByteArray *records, uint64_t boot)
{
  g_autoptr (GPtrArray) allocations = g_ptr_array_new_with_free_func (g_free);
  Batch__Owner message = BATCH__OWNER__INIT;

  message.term = owner->term;
  message.name = owner->entry->settings->name;
  message.boot = boot;
  message.level = LEVEL_CURRENT;
  message.level_since = owner->level_since;
  const char *deputies[RELAY_DEPUTIES_MAX];
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
add_agent_removal (Owner *owner)
{
  const char *name = sched_forget_agent (owner->sched);

  if (name == NULL)
    return;
  owner->removes_agent = TRUE;
  peers_remove (owner->peers, name);
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, name, NULL);
  line_add ("owner", "agent_forgotten", "agent=%s", name);
  store_add_record (owner->records, key, NULL, 0);
}

static void
add_removal (GByteArray *records, const char *prefix, const char *id)
{
  g_autofree char *key = g_strconcat (prefix, id, NULL);

  store_add_record (records, key, NULL, 0);
}

/* Removes jobs whose retention has passed, so that the store does not fill up. */
static void
add_expired_jobs (Owner *owner)
{
  int64_t retention_ms = owner->entry->settings->state_s * CLK_MS_PER_S * RETENTION_FACTOR;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  sched_expired_jobs (owner->sched, retention_ms, ids, EXPIRED_JOBS_MAX);
  for (guint i = 0; i < ids->len; i++)
    {
      const char *id = g_ptr_array_index (ids, i);
      add_removal (owner->records, LEDGER_JOB_PREFIX, id);
      add_removal (owner->records, LEDGER_RUN_PREFIX, id);
      add_removal (owner->records, LEDGER_CANCEL_PREFIX, id);
      if (ledger_crashes (owner->entry->ledger, id) != NULL)
        add_removal (owner->records, LEDGER_CRASH_PREFIX, id);
    }
  if (ids->len > 0)
    line_add ("owner", "jobs_dropped", "count=%u ended_before_ms=%" G_GINT64_FORMAT, ids->len,
              retention_ms);
}

/* Removes what an owner of an older build left of jobs that it removed. */
static void
add_orphaned_crashes (Owner *owner)
{
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  ledger_orphaned_crashes (owner->entry->ledger, ids, EXPIRED_JOBS_MAX);
  for (guint i = 0; i < ids->len; i++)
    add_removal (owner->records, LEDGER_CRASH_PREFIX, g_ptr_array_index (ids, i));
}

/* Writes the learned state. Without it, the next owner would have to measure interference again,
 * at the cost of serving tasks. */
static void
add_learned (Owner *owner)
{
  int64_t now = clk_now_us ();

  if (!owner->is_release && now - owner->learned_us < LEARNED_INTERVAL_MS * CLK_US_PER_MS)
    return;
  owner->learned_us = now;
  g_autoptr (GBytes) bytes = sched_encode_learned (owner->sched);
  size_t size = 0;
  const void *data = g_bytes_get_data (bytes, &size);
  if (size > 0)
    store_add_record (owner->records, LEDGER_LEARNED_KEY, data, size);
}

/* Adds the agents that do not report, if they changed: the next owner need not wait for them. */
static void
add_silent (Owner *owner)
{
  g_autoptr (GBytes) bytes = sched_publish_silent (owner->sched);
  size_t size = 0;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  store_add_record (owner->records, LEDGER_SILENT_KEY, data, size);
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

static void
send_append (Owner *owner)
{
  const StoreAppend append = { .topic = LEDGER_TOPIC,
                               .records = owner->records,
                               .expected_end = -1,
                               .producer = OWNER_PRODUCER,
                               .epoch = owner->epoch,
                               .sequence = owner->sequence,
                               .timeout_ms = OWNER_TIMEOUT_MS };

  owner->is_appending = TRUE;
  owner->append_us = clk_now_us ();
  store_append (owner->entry->store, &append, on_appended, owner);
}

void
owner_write_changes (Owner *owner)
{
  if (owner->phase != OWNER_ACTIVE || owner->is_appending
      || clk_now_us () < owner->append_not_before_us)
    return;
  if (owner->is_in_doubt)
    {
      send_append (owner);
      return;
    }
  owner->flush = sched_flush_begin (owner->sched);
  if (owner->flush == NULL && clk_now_us () < owner->renew_us)
    return;
  owner->records = g_byte_array_new ();
  owner->renew_us = clk_now_us () + OWNER_RENEW_MS * 1000;
  owner->is_release = owner->is_leaving;
  owner_add_record (owner, owner->records, owner->is_release ? 0 : node_boot (owner->entry->node));
  add_agent_removal (owner);
  add_expired_jobs (owner);
  add_orphaned_crashes (owner);
  add_learned (owner);
  add_silent (owner);
  if (owner->flush != NULL)
    add_changes (owner->records, owner->flush);
  send_append (owner);
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

static void
end_append (Owner *owner, gboolean is_written)
{
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, is_written);
  if (owner->removes_agent && !is_written)
    sched_cancel_forget_agent (owner->sched);
  owner->removes_agent = FALSE;
  sched_end_publish (owner->sched, is_written);
  owner->flush = NULL;
  owner->is_in_doubt = FALSE;
  g_clear_pointer (&owner->records, g_byte_array_unref);
}

static void
handle_written (Owner *owner)
{
  met_observe (owner->append_time, clk_now_us () - owner->append_us);
  owner->authority_us = MAX (owner->authority_us, owner->append_us);
  owner->append_backoff_ms = 0;
  owner->append_not_before_us = 0;
  owner->sequence++;
  end_append (owner, TRUE);
  if (owner->is_release)
    owner_resign (owner, "leaving");
  else if (owner->is_leaving)
    owner_write_changes (owner);
  else
    owner_decide (owner);
}

static void
back_off_appends (Owner *owner)
{
  owner->append_backoff_ms
      = CLAMP (owner->append_backoff_ms * 2, APPEND_BACKOFF_MIN_MS, APPEND_BACKOFF_MAX_MS);
  owner->append_not_before_us = clk_now_us () + owner->append_backoff_ms * CLK_US_PER_MS;
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  Owner *owner = ctx;

  owner->is_appending = FALSE;
  if (owner->phase != OWNER_ACTIVE || owner->records == NULL)
    return;
  if (answer->outcome == STORE_OK
      || (answer->outcome == STORE_SEQUENCE && answer->expected_sequence == owner->sequence + 1))
    {
      handle_written (owner);
      return;
    }
  line_add ("owner", "append_failed",
            "term=%" G_GUINT64_FORMAT " outcome=%s sequence=%" G_GINT64_FORMAT
            " expected=%" G_GINT64_FORMAT,
            owner->term, store_outcome_name (answer->outcome), owner->sequence,
            answer->expected_sequence);
  if (answer->outcome == STORE_FENCED)
    {
      owner_resign (owner, "fenced");
      return;
    }
  /* The store expects another sequence number, so this term can't append any more. */
  if (answer->outcome == STORE_SEQUENCE)
    {
      owner_resign (owner, "sequence");
      return;
    }
  back_off_appends (owner);
  if (answer->outcome == STORE_IN_DOUBT)
    owner->is_in_doubt = TRUE;
  else if (!owner->is_in_doubt)
    end_append (owner, FALSE);
}
