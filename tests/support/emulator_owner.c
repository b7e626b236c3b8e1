/* The owner: what programs/scheduler/owner*.c does around the scheduler. */
#include <string.h>

#include "batch/level.h"
#include "ledger/feed.h"
#include "net/net_link.h"
#include "node/node_settings.h"
#include "platform/caller.h"
#include "support/emulator_private.h"

#define AUTHORITY_MS 3000
#define RENEW_MS 500
#define TIMEOUT_MS 900
#define TICK_MS 100
#define TICK_SOON_MS 5
#define FLUSH_DELAY_MS 15
#define OWNER_PAUSE_MS 2
#define OTHER_PAUSE_MS 150
#define EXPIRY_MARGIN_MS 250
#define EXPIRY_CLOCK_RATE 1.02
#define FRESH_MS 1300
/** Longest time that a claim waits for other appends. */
#define CLAIM_QUEUE_MS 3000

static void on_claimed (void *ctx, const StoreAnswer *answer);

static void write_changes (EmuEntry *entry);
static void decide (EmuEntry *entry);

static gboolean
has_authority (const EmuEntry *entry)
{
  return entry->phase == EMU_OWNER_ACTIVE && entry->sched != NULL && !entry->is_release
         && entry->emu->now_us - appender_authority_us (&entry->appender)
                < AUTHORITY_MS * CLK_US_PER_MS;
}

static uint32_t
agent_index (const char *name)
{
  return (uint32_t) g_ascii_strtoull (strchr (name, '-') + 1, NULL, 10);
}

static gboolean
is_of_term (const EmuEntry *entry, gpointer serial)
{
  return entry->phase == EMU_OWNER_ACTIVE && GPOINTER_TO_SIZE (serial) == entry->term_serial;
}

static void
after (EmuEntry *entry, int64_t delay_ms, EmuFn fn)
{
  emu_after (entry->emu, delay_ms * CLK_US_PER_MS, &entry->process, fn, entry,
             GSIZE_TO_POINTER (entry->term_serial), NULL);
}

/* Records. */

static void
add_owner_record (EmuEntry *entry, GByteArray *records, uint64_t boot)
{
  Batch__Owner message = BATCH__OWNER__INIT;
  uint8_t data[256];

  message.term = entry->term;
  gboolean may_wait = entry->phase == EMU_OWNER_WAITING
                      || (entry->phase != EMU_OWNER_ACTIVE && entry->claim.is_unsure);
  message.name = may_wait ? (char *) "" : entry->process.name;
  message.epoch = entry->is_older ? 0 : entry->epoch;
  message.boot = boot;
  message.level = entry->is_older ? 0 : LEVEL_CURRENT;
  message.level_since = entry->is_older ? 0 : entry->level_since;
  message.address = entry->process.name;
  store_add_record (records, LEDGER_OWNER_KEY, data, batch__owner__pack (&message, data));
}

static void
add_bytes (GByteArray *records, const char *key, GBytes *bytes)
{
  size_t size = 0;
  const void *data = g_bytes_get_data (bytes, &size);

  store_add_record (records, key, data, size);
}

static void
add_agent_removal (EmuEntry *entry, GByteArray *records)
{
  const char *name = sched_forget_agent (entry->sched);

  if (name == NULL)
    return;
  emu_link_disconnect (entry, agent_index (name));
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, name, NULL);
  emu_trace (entry->emu, entry->process.name, "agent_forgotten %s", name);
  store_add_record (records, key, NULL, 0);
}

static void
add_silent (EmuEntry *entry, GByteArray *records)
{
  g_autoptr (GBytes) bytes = entry->is_older ? NULL : sched_publish_silent (entry->sched);

  if (bytes == NULL)
    return;
  emu_trace (entry->emu, entry->process.name, "writes silent");
  add_bytes (records, LEDGER_SILENT_KEY, bytes);
}

static void
add_changes (const EmuEntry *entry, GByteArray *records)
{
  const GPtrArray *changes = sched_flush_changes (entry->flush);

  for (guint i = 0; i < changes->len; i++)
    {
      const SchedChange *change = g_ptr_array_index (changes, i);
      g_autofree char *key = g_strconcat (LEDGER_RUN_PREFIX, change->job, NULL);
      add_bytes (records, key, change->progress);
      if (change->crashes == NULL || entry->is_older)
        continue;
      g_autofree char *crash_key = g_strconcat (LEDGER_CRASH_PREFIX, change->job, NULL);
      add_bytes (records, crash_key, change->crashes);
    }
}

static void
end_append (EmuEntry *entry)
{
  if (entry->flush != NULL)
    sched_flush_end (entry->sched, entry->flush, TRUE);
  entry->flush = NULL;
  if (entry->sched != NULL)
    sched_end_publish (entry->sched, TRUE);
}

static void
handle_written (EmuEntry *entry)
{
  end_append (entry);
  if (entry->is_release)
    emu_owner_resign (entry, "leaving");
  else if (entry->is_leaving)
    write_changes (entry);
  else
    decide (entry);
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  EmuEntry *entry = ctx;

  entry->is_calling = FALSE;
  store_pace_end (&entry->pace, entry->pace_slot, answer->outcome, entry->emu->now_us);
  if ((entry->phase != EMU_OWNER_ACTIVE && entry->phase != EMU_OWNER_WAITING)
      || !appender_is_open (&entry->appender))
    return;
  AppenderResult result = appender_handle_answer (&entry->appender, answer, entry->emu->now_us);
  if (result != APPENDER_WRITTEN)
    emu_trace (entry->emu, entry->process.name, "append_answered %s %s",
               appender_result_name (result), store_outcome_name (answer->outcome));
  if (result == APPENDER_WRITTEN)
    handle_written (entry);
  else if (result != APPENDER_UNRESOLVED)
    emu_owner_resign (entry, appender_result_name (result));
}

static void
send_append (EmuEntry *entry, const StoreAppend *append, StoreDone done, uint32_t *slot)
{
  EmuStoreCall *call = emu_store_call (entry->emu, EMU_STORE_APPEND, &entry->process);

  call->records = g_byte_array_ref (append->records);
  call->expected_end = append->expected_end;
  call->has_producer = TRUE;
  call->epoch = append->epoch;
  call->sequence = append->sequence;
  if (done == on_claimed && append->expected_end < 0 && entry->emu->options.has_busy_topic)
    call->queue_ms = emu_between (entry->emu, 0, CLAIM_QUEUE_MS);
  call->done = done;
  call->ctx = entry;
  int64_t now = entry->emu->now_us;
  int64_t left_ms = AUTHORITY_MS - (now - appender_authority_us (&entry->appender)) / CLK_US_PER_MS;
  int64_t timeout_ms = done == on_appended && entry->appender.n_transmitted == 1
                           ? store_pace_owner_timeout_ms (&entry->pace, left_ms, now)
                           : store_pace_timeout_ms (&entry->pace, TRUE, now);
  if (!entry->emu->options.has_store_queue)
    timeout_ms = TIMEOUT_MS;
  *slot = store_pace_begin (&entry->pace, now);
  emu_store_send (call, entry->store_cut_until_us, timeout_ms);
}

static void
transmit (EmuEntry *entry)
{
  StoreAppend append = { 0 };

  appender_transmit (&entry->appender, entry->emu->now_us, &append);
  entry->is_calling = TRUE;
  send_append (entry, &append, on_appended, &entry->pace_slot);
}

static void
write_heartbeat (EmuEntry *entry)
{
  int64_t now = entry->emu->now_us;

  if (now < entry->renew_us)
    return;
  entry->renew_us = now + RENEW_MS * CLK_US_PER_MS;
  GByteArray *records = g_byte_array_new ();
  add_owner_record (entry, records, entry->boot);
  appender_add (&entry->appender, records);
  transmit (entry);
}

static void
write_changes (EmuEntry *entry)
{
  int64_t now = entry->emu->now_us;

  if ((entry->phase != EMU_OWNER_ACTIVE && entry->phase != EMU_OWNER_WAITING) || entry->is_calling
      || !appender_may_send (&entry->appender, now))
    return;
  if (appender_is_open (&entry->appender))
    {
      transmit (entry);
      return;
    }
  if (entry->phase == EMU_OWNER_WAITING)
    {
      write_heartbeat (entry);
      return;
    }
  entry->flush = sched_flush_begin (entry->sched);
  if (entry->flush == NULL && now < entry->renew_us)
    return;
  GByteArray *records = g_byte_array_new ();
  entry->renew_us = now + RENEW_MS * CLK_US_PER_MS;
  entry->is_release = entry->is_leaving;
  add_owner_record (entry, records, entry->is_release ? 0 : entry->boot);
  add_agent_removal (entry, records);
  add_silent (entry, records);
  if (entry->flush != NULL)
    add_changes (entry, records);
  appender_add (&entry->appender, records);
  transmit (entry);
}

/* Decisions. */

static void
send_orders (EmuEntry *entry, uint32_t index, const Batch__Orders *orders)
{
  size_t size = batch__orders__get_packed_size (orders);
  uint8_t *data = g_malloc (size);

  (void) batch__orders__pack (orders, data);
  g_autoptr (GBytes) bytes = g_bytes_new_take (data, size);
  entry->links[index].sent_us = entry->emu->now_us;
  emu_link_to_agent (entry, index, bytes);
}

static void
send_all_orders (EmuEntry *entry)
{
  Emulator *emu = entry->emu;

  for (uint32_t i = 0; i < emu->options.n_agents; i++)
    {
      EmuLink *link = &entry->links[i];
      Batch__Orders orders = BATCH__ORDERS__INIT;
      if (link->connection == 0)
        continue;
      orders.epoch = (uint64_t) entry->epoch;
      orders.owner = entry->process.name;
      if (sched_orders (entry->sched, emu->agents[i].process.name, &orders)
          || emu->now_us - link->sent_us >= RENEW_MS * CLK_US_PER_MS)
        send_orders (entry, i, &orders);
      if (emu->now_us - link->received_us >= NET_LINK_PEER_TIMEOUT_MS * CLK_US_PER_MS)
        emu_link_connect (entry, i);
    }
}

static void
on_flush_due (gpointer ctx, gpointer data)
{
  EmuEntry *entry = ctx;

  if (!is_of_term (entry, data))
    return;
  entry->is_flush_due = FALSE;
  write_changes (entry);
}

static void
decide (EmuEntry *entry)
{
  int64_t now = entry->emu->now_us;

  if (!has_authority (entry))
    return;
  sched_tick (entry->sched, now, EMU_WALL_MS + now / CLK_US_PER_MS);
  send_all_orders (entry);
  if (entry->is_flush_due)
    return;
  entry->is_flush_due = TRUE;
  after (entry, FLUSH_DELAY_MS, on_flush_due);
}

static void
on_tick (gpointer ctx, gpointer data)
{
  EmuEntry *entry = ctx;

  if (!is_of_term (entry, data))
    return;
  after (entry, TICK_MS, on_tick);
  decide (entry);
}

static void
on_tick_soon (gpointer ctx, gpointer data)
{
  EmuEntry *entry = ctx;

  if (!is_of_term (entry, data))
    return;
  entry->is_tick_due = FALSE;
  decide (entry);
}

static void
schedule_tick (EmuEntry *entry)
{
  if (entry->is_tick_due)
    return;
  entry->is_tick_due = TRUE;
  after (entry, TICK_SOON_MS, on_tick_soon);
}

static void
note (void *ctx, const char *event, const char *job, const char *text)
{
  EmuEntry *entry = ctx;

  emu_trace (entry->emu, entry->process.name, "%s job=%s %s", event, job, text);
}

void
emu_owner_add_job (EmuEntry *entry, const LedgerJob *job)
{
  if (entry->sched == NULL)
    return;
  JobSpec *spec = caller_decode_job ((const char *) job->submission->body.data,
                                     job->submission->body.len, NULL);
  const SchedNewJob wanted
      = { .id = job->id,
          .queue = job->submission->queue,
          .data_centre = job->submission->data_centre,
          .accepted_wall_ms = job->submission->accepted_wall_ms,
          .spec = spec,
          .progress = job->progress,
          .crashes = entry->is_older ? NULL : ledger_crashes (entry->ledger, job->id),
          .terms = entry->is_older ? NULL : job->submission->terms,
          .may_have_started = job->offset < entry->claim_offset };
  sched_add_job (entry->sched, &wanted);
  if (job->is_cancelled)
    sched_cancel_job (entry->sched, job->id);
  if (entry->phase == EMU_OWNER_ACTIVE)
    schedule_tick (entry);
}

void
emu_owner_add_agent (EmuEntry *entry, const LedgerAgent *agent)
{
  if (entry->sched == NULL)
    return;
  uint32_t index = agent_index (agent->name);
  if (sched_add_agent (entry->sched, agent->name) && entry->links[index].connection == 0)
    emu_link_connect (entry, index);
}

void
emu_owner_remove_agent (EmuEntry *entry, const char *name)
{
  if (entry->sched == NULL)
    return;
  emu_link_disconnect (entry, agent_index (name));
  sched_remove_agent (entry->sched, name);
}

static void
add_job (void *ctx, const LedgerJob *job)
{
  emu_owner_add_job (ctx, job);
}

static void
add_agent (void *ctx, const LedgerAgent *agent)
{
  emu_owner_add_agent (ctx, agent);
}

static void
take_over (EmuEntry *entry)
{
  Emulator *emu = entry->emu;
  const SchedOptions options
      = { .report_age_max_ms = FRESH_MS,
          .lease_expiry_ms = (int64_t) (EMU_GRANT_MS * EXPIRY_CLOCK_RATE) + EXPIRY_MARGIN_MS,
          .gang_timeout_ms = 3000,
          .reserves_gaps = TRUE,
          .note = note,
          .ctx = entry };
  int64_t reconcile_ms = entry->term == 1 ? 0 : options.lease_expiry_ms;

  emu->result->n_terms++;
  entry->phase = EMU_OWNER_ACTIVE;
  entry->term_serial = emu_serial (emu);
  entry->is_tick_due = entry->is_flush_due = FALSE;
  entry->sched = sched_new (&options);
  sched_set_config (entry->sched, emu->config);
  sched_begin_term (entry->sched, entry->term, emu->now_us + reconcile_ms * CLK_US_PER_MS);
  ledger_each_job (entry->ledger, add_job, entry);
  ledger_each_agent (entry->ledger, add_agent, entry);
  if (!entry->is_older && ledger_silent (entry->ledger) != NULL)
    sched_restore_silent (entry->sched, ledger_silent (entry->ledger),
                          ledger_is_silent_kept (entry->ledger, entry->level_since));
  entry->pause_ms = OWNER_PAUSE_MS;
  emu_trace (emu, entry->process.name, "took_over term=%" G_GUINT64_FORMAT " build=%s", entry->term,
             entry->is_older ? "older" : "current");
  after (entry, TICK_MS, on_tick);
  decide (entry);
}

void
emu_owner_resign (EmuEntry *entry, const char *reason)
{
  if (entry->phase == EMU_OWNER_NONE)
    return;
  emu_trace (entry->emu, entry->process.name, "resigned term=%" G_GUINT64_FORMAT " reason=%s",
             entry->term, reason);
  entry->phase = EMU_OWNER_NONE;
  if (entry->flush != NULL)
    sched_flush_end (entry->sched, entry->flush, FALSE);
  entry->flush = NULL;
  appender_drop (&entry->appender);
  g_clear_pointer (&entry->sched, sched_free);
  for (uint32_t i = 0; i < entry->emu->options.n_agents; i++)
    emu_link_disconnect (entry, i);
  entry->pause_ms = OTHER_PAUSE_MS;
}

void
emu_owner_report (EmuEntry *entry, uint32_t agent, GBytes *bytes)
{
  size_t size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  Batch__Report *report = batch__report__unpack (NULL, size, data);

  if (entry->sched != NULL && report->epoch == (uint64_t) entry->epoch)
    {
      sched_apply_report (entry->sched, entry->emu->agents[agent].process.name, report,
                          entry->emu->now_us);
      schedule_tick (entry);
    }
  batch__report__free_unpacked (report, NULL);
}

/* Claims. */

static void
act_if_due (EmuEntry *entry)
{
  if (entry->phase == EMU_OWNER_WAITING && entry->emu->now_us >= entry->act_us)
    take_over (entry);
}

static void
begin_term (EmuEntry *entry, int64_t offset)
{
  const AppenderClaim claim = { .epoch = entry->epoch,
                                .sequence = entry->claim.sequence,
                                .end_offset = offset + 1,
                                .sent_us = entry->claim.first_sent_us };

  entry->phase = EMU_OWNER_WAITING;
  entry->is_release = FALSE;
  entry->claim_offset = offset;
  entry->act_us
      = claim_act_us (&entry->claim, -1, NODE_OWNER_QUIET_MS * CLK_US_PER_MS, entry->emu->now_us);
  entry->claim.is_set = FALSE;
  g_clear_pointer (&entry->claim_records, g_byte_array_unref);
  appender_begin (&entry->appender, &claim);
  entry->renew_us = entry->claim.first_sent_us + RENEW_MS * CLK_US_PER_MS;
  if (entry->act_us > entry->emu->now_us)
    emu_trace (entry->emu, entry->process.name, "waits term=%" G_GUINT64_FORMAT, entry->term);
  act_if_due (entry);
}

void
emu_owner_claimed (EmuEntry *entry, const LedgerOwner *record)
{
  int64_t now = entry->emu->now_us;

  entry->owner_seen_us = now;
  if (entry->phase == EMU_OWNER_ACTIVE || entry->phase == EMU_OWNER_WAITING)
    {
      if (record->boot == entry->boot || record->offset <= entry->claim_offset)
        return;
      (void) claim_handle_record (&entry->claim, record, entry->process.name, entry->boot, now);
      if (!entry->is_release)
        emu_owner_resign (entry, "replaced");
      return;
    }
  LedgerOwner seen = *record;
  if (entry->is_older && record->boot == entry->boot && record->offset == entry->epoch - 1)
    seen.epoch = entry->epoch; /* an older build knows its claim by the offset */
  switch (claim_handle_record (&entry->claim, &seen, entry->process.name, entry->boot, now))
    {
    case CLAIM_WRITTEN:
      begin_term (entry, record->offset);
      break;
    case CLAIM_REPLACED:
      entry->claim.is_set = FALSE;
      emu_owner_resign (entry, "replaced");
      break;
    default:
      break;
    }
}

static void
on_claimed (void *ctx, const StoreAnswer *answer)
{
  EmuEntry *entry = ctx;

  entry->is_claim_open = FALSE;
  store_pace_end (&entry->pace, entry->claim_slot, answer->outcome, entry->emu->now_us);
  if (entry->phase != EMU_OWNER_CLAIMING || claim_handle_answer (&entry->claim, answer->outcome))
    return;
  entry->phase = EMU_OWNER_NONE;
  if (answer->outcome == STORE_REFUSED)
    return;
  entry->claim_refused_us = entry->emu->now_us;
  emu_entry_refresh (entry);
}

static void
prepare_claim (EmuEntry *entry)
{
  const LedgerOwner *last = ledger_owner (entry->ledger);

  g_clear_pointer (&entry->claim_records, g_byte_array_unref);
  entry->claim_records = g_byte_array_new ();
  entry->term = entry->claim.term;
  entry->level_since = ledger_level_since (last, LEVEL_CURRENT, entry->term);
  entry->epoch = entry->claim.epoch;
  add_owner_record (entry, entry->claim_records, entry->boot);
}

static void
claim (EmuEntry *entry)
{
  int64_t now = entry->emu->now_us;
  LedgerOwner last = *ledger_owner (entry->ledger);
  /* An older build always claims at an offset. */
  if (entry->is_older)
    last.epoch = 0;
  const ClaimView view = { .last = &last,
                           .end = entry->next,
                           .is_vacant = claim_is_vacant (&last, entry->process.name, entry->boot),
                           .sequence = (int64_t) (emu_random (entry->emu) & 0x3fffffff),
                           .now_us = now };

  /* As after a claim at the topic's end. */
  if (entry->emu->options.has_busy_topic)
    entry->claim.moved_term = last.term;
  if (claim_begin (&entry->claim, &view))
    prepare_claim (entry);
  entry->phase = EMU_OWNER_CLAIMING;
  entry->claim_sent_us = entry->emu->now_us;
  emu_trace (entry->emu, entry->process.name,
             "claim term=%" G_GUINT64_FORMAT " end=%" G_GINT64_FORMAT " at=%" G_GINT64_FORMAT,
             entry->term, entry->next, entry->claim.expected_end);
  const StoreAppend append = { .records = entry->claim_records,
                               .expected_end = entry->claim.expected_end,
                               .epoch = entry->epoch,
                               .sequence = entry->claim.sequence };
  entry->is_claim_open = TRUE;
  send_append (entry, &append, on_claimed, &entry->claim_slot);
}

static gboolean
may_claim (const EmuEntry *entry)
{
  int64_t now = entry->emu->now_us;

  if (entry->is_leaving || entry->is_calling || entry->is_claim_open || !entry->is_loaded
      || entry->steady_us == 0 || now - entry->answered_us > FEED_GAP_MS * CLK_US_PER_MS
      || entry->fresh_us < entry->claim_refused_us)
    return FALSE;
  const LedgerOwner *last = ledger_owner (entry->ledger);
  gboolean is_own = last->term > 0 && strcmp (last->name, entry->process.name) == 0;
  gboolean is_vacant = last->term == 0 || last->boot == 0 || (is_own && last->boot != entry->boot);
  if (is_vacant && is_own)
    return TRUE;
  int64_t quiet_us = now - MAX (entry->owner_seen_us, entry->steady_us);
  return quiet_us >= (is_vacant ? 0 : NODE_OWNER_QUIET_MS * CLK_US_PER_MS) + entry->claim_delay_us;
}

void
emu_owner_check (EmuEntry *entry)
{
  if (entry->phase == EMU_OWNER_CLAIMING
      && entry->emu->now_us - entry->claim_sent_us > NODE_OWNER_QUIET_MS * CLK_US_PER_MS)
    entry->phase = EMU_OWNER_NONE;
  if (entry->phase == EMU_OWNER_NONE && may_claim (entry))
    claim (entry);
  act_if_due (entry);
  write_changes (entry);
}

void
emu_owner_leave (EmuEntry *entry)
{
  entry->is_leaving = TRUE;
  entry->renew_us = 0;
  write_changes (entry);
}
