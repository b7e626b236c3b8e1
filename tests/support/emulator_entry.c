/* Entries: the fold of the ledger, read as lib/ledger/feed.c does. */
#include <string.h>

#include "ledger/feed.h"
#include "support/emulator_private.h"

#define READ_WAIT_MS 500
#define TIMEOUT_MS 900
#define RETRY_MS 150
#define OTHER_PAUSE_MS 150
#define CHECK_MS 50
#define LEAVE_MS 2600

static void
on_job (void *ctx, const LedgerJob *job)
{
  emu_owner_add_job (ctx, job);
}

static void
on_cancel (void *ctx, const LedgerJob *job)
{
  EmuEntry *entry = ctx;

  if (entry->sched != NULL)
    sched_cancel_job (entry->sched, job->id);
}

static void
on_job_gone (void *ctx, const char *id)
{
  EmuEntry *entry = ctx;

  if (entry->sched != NULL)
    sched_forget_job (entry->sched, id);
}

static void
on_agent (void *ctx, const LedgerAgent *agent)
{
  emu_owner_add_agent (ctx, agent);
}

static void
on_agent_gone (void *ctx, const char *name)
{
  emu_owner_remove_agent (ctx, name);
}

static void
on_owner (void *ctx, const LedgerOwner *claim)
{
  emu_owner_claimed (ctx, claim);
}

static void
apply_record (EmuEntry *entry, int64_t offset)
{
  const EmuRecord *record = emu_store_record (entry->emu, offset);
  size_t size = 0;
  const uint8_t *value = record->value != NULL ? g_bytes_get_data (record->value, &size) : NULL;

  (void) ledger_apply (entry->ledger, offset, record->key, strlen (record->key), value, size);
}

static void
apply_answer (EmuEntry *entry, const StoreAnswer *answer)
{
  while (entry->next < answer->end_offset)
    {
      int64_t offset = entry->next++;
      gboolean is_loaded = entry->is_loaded;
      if (is_loaded
          || (emu_store_is_newest (entry->emu, offset)
              && emu_store_record (entry->emu, offset)->value != NULL))
        apply_record (entry, offset);
    }
  entry->is_loaded = TRUE;
}

static void send_read (gpointer ctx, gpointer data);

static gboolean
handle_answer (EmuEntry *entry, const StoreAnswer *answer, int64_t sent_us)
{
  int64_t now = entry->emu->now_us;

  if (answer->outcome != STORE_OK)
    return FALSE;
  apply_answer (entry, answer);
  if (entry->steady_us == 0 || now - entry->answered_us > FEED_GAP_MS * CLK_US_PER_MS)
    entry->steady_us = now;
  entry->answered_us = now;
  entry->fresh_us = MAX (entry->fresh_us, sent_us);
  return TRUE;
}

static void
on_read (void *ctx, const StoreAnswer *answer)
{
  EmuEntry *entry = ctx;
  int64_t pause_ms
      = handle_answer (entry, answer, entry->poll_sent_us) ? entry->pause_ms : RETRY_MS;

  emu_after (entry->emu, pause_ms * CLK_US_PER_MS, &entry->process, send_read, entry, NULL, NULL);
}

static void
send_call (EmuEntry *entry, int64_t wait_ms, StoreDone done)
{
  EmuStoreKind kind = entry->is_loaded ? EMU_STORE_READ : EMU_STORE_NEWEST;
  EmuStoreCall *call = emu_store_call (entry->emu, kind, &entry->process);

  *(wait_ms > 0 ? &entry->poll_sent_us : &entry->refresh_sent_us) = entry->emu->now_us;
  call->from = entry->next;
  call->wait_ms = entry->is_loaded ? wait_ms : 0;
  call->done = done;
  call->ctx = entry;
  emu_store_send (call, entry->store_cut_until_us, TIMEOUT_MS);
}

static void
send_read (gpointer ctx, gpointer data)
{
  (void) data;
  send_call (ctx, READ_WAIT_MS, on_read);
}

static void
on_refreshed (void *ctx, const StoreAnswer *answer)
{
  EmuEntry *entry = ctx;

  if (handle_answer (entry, answer, entry->refresh_sent_us))
    emu_owner_check (ctx);
}

void
emu_entry_refresh (EmuEntry *entry)
{
  send_call (entry, 0, on_refreshed);
}

static void
on_check (gpointer ctx, gpointer data)
{
  EmuEntry *entry = ctx;

  (void) data;
  emu_owner_check (entry);
  emu_after (entry->emu, CHECK_MS * CLK_US_PER_MS, &entry->process, on_check, entry, NULL, NULL);
}

void
emu_entry_start (EmuEntry *entry)
{
  Emulator *emu = entry->emu;
  const LedgerEvents events = { .on_job = on_job,
                                .on_cancel = on_cancel,
                                .on_job_gone = on_job_gone,
                                .on_agent = on_agent,
                                .on_agent_gone = on_agent_gone,
                                .on_owner = on_owner,
                                .ctx = entry };

  if (entry->process.is_up)
    return;
  emu_process_start (emu, &entry->process);
  entry->boot = emu_random (emu) | 1;
  entry->ledger = ledger_new (&events);
  entry->next = 0;
  entry->is_loaded = FALSE;
  entry->answered_us = entry->steady_us = entry->owner_seen_us = entry->fresh_us = 0;
  entry->claim = (Claim){ 0 };
  entry->claim_refused_us = 0;
  entry->pause_ms = OTHER_PAUSE_MS;
  entry->phase = EMU_OWNER_NONE;
  entry->is_leaving = entry->is_calling = entry->is_claim_open = FALSE;
  store_pace_init (&entry->pace);
  emu_trace (emu, entry->process.name, "up build=%s", entry->is_older ? "older" : "current");
  send_read (entry, NULL);
  on_check (entry, NULL);
}

void
emu_entry_kill (EmuEntry *entry)
{
  if (!entry->process.is_up)
    return;
  emu_trace (entry->emu, entry->process.name, "down");
  emu_owner_resign (entry, "killed");
  g_clear_pointer (&entry->claim_records, g_byte_array_unref);
  emu_process_end (entry->emu, &entry->process);
  g_clear_pointer (&entry->ledger, ledger_free);
}

static void
on_leave_over (gpointer ctx, gpointer data)
{
  (void) data;
  emu_entry_kill (ctx);
}

void
emu_entry_leave (EmuEntry *entry)
{
  if (!entry->process.is_up || entry->is_leaving)
    return;
  emu_trace (entry->emu, entry->process.name, "leaving");
  emu_after (entry->emu, emu_between (entry->emu, 60, LEAVE_MS) * CLK_US_PER_MS, &entry->process,
             on_leave_over, entry, NULL, NULL);
  emu_owner_leave (entry);
}
