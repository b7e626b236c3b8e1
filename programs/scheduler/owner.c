#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "owner_private.h"
#include "platform/caller.h"

/** Longest time between checks for due claims and appends, and between scheduling passes. */
#define CHECK_MS 50
#define TICK_MS 100
/** Inputs that arrive within this time share one scheduling pass. */
#define TICK_SOON_MS 5
/** Pause between reads of the ledger, at the owner and at other entries. */
#define OWNER_PAUSE_MS 2
#define OTHER_PAUSE_MS 150
/** How far agents' and workers' clocks may drift from this one during a grant. */
#define EXPIRY_MARGIN_MS 250
#define EXPIRY_CLOCK_RATE 1.02
/** Starts are sent only to agents that reported within this time. */
#define FRESH_MS 1300
/** Starts are held while the operators' records have not been read for the time within which an
 * evacuation takes effect, less this: time for orders to reach the workers. */
#define EVACUATE_RESERVE_MS 1000

/* Whether no other entry can be the owner. One can be as soon as a release was sent. */
static gboolean
has_authority (const Owner *owner)
{
  return owner->phase == OWNER_ACTIVE && owner->sched != NULL && !owner->is_release
         && clk_now_us () - appender_authority_us (&owner->appender)
                < OWNER_AUTHORITY_MS * CLK_US_PER_MS;
}

gboolean
owner_has_term (const Owner *owner)
{
  return owner->phase == OWNER_ACTIVE || owner->phase == OWNER_WAITING;
}

static void schedule_tick (Owner *owner);

void
owner_handle_report (Owner *owner, const char *agent, const uint8_t *data, size_t size)
{
  Batch__Report *report = batch__report__unpack (NULL, size, data);

  if (report == NULL)
    {
      line_add ("owner", "report_malformed", "agent=%s bytes=%zu", agent, size);
      return;
    }
  if (owner->sched != NULL && report->epoch == (uint64_t) owner->epoch)
    {
      sched_apply_report (owner->sched, agent, report, clk_now_us ());
      schedule_tick (owner);
    }
  else if (owner->sched != NULL && report->epoch > (uint64_t) owner->epoch)
    line_add ("owner", "agent_has_newer_owner", "agent=%s epoch=%" G_GUINT64_FORMAT, agent,
              report->epoch);
  batch__report__free_unpacked (report, NULL);
}

static gboolean
knows_evacuations (const Owner *owner)
{
  int64_t read_us = feed_fresh_us (owner->entry->config_feed);
  int64_t age_max_ms = owner->entry->settings->evacuate_ms - EVACUATE_RESERVE_MS;

  return read_us != 0 && clk_now_us () - read_us <= age_max_ms * CLK_US_PER_MS;
}

void
owner_decide (Owner *owner)
{
  if (!has_authority (owner))
    return;
  sched_hold_starts (owner->sched, !knows_evacuations (owner));
  sched_tick (owner->sched, clk_now_us (), clk_wall_ms ());
  met_set (owner->open_jobs, sched_open_jobs (owner->sched));
  owner_show_shares (owner);
  /* Authority can run out during the tick, so it is checked again before orders are sent. */
  if (has_authority (owner))
    peers_send_orders (owner->peers);
  owner_flush_soon (owner);
}

static gboolean
on_tick (gpointer data)
{
  owner_decide (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_tick_soon (gpointer data)
{
  Owner *owner = data;

  owner->tick_soon_timer = 0;
  owner_decide (owner);
  return G_SOURCE_REMOVE;
}

static void
schedule_tick (Owner *owner)
{
  if (owner->tick_soon_timer == 0 && owner->sched != NULL)
    owner->tick_soon_timer = g_timeout_add (TICK_SOON_MS, on_tick_soon, owner);
}

static void
log_sched_event (void *ctx, const char *event, const char *job, const char *text)
{
  const Owner *owner = ctx;

  if (strcmp (event, "start") == 0 || strcmp (event, "end") == 0 || strcmp (event, "stop") == 0)
    line_add_frequent ("sched", event, "job=%s %s", job, text);
  else
    line_add ("sched", event, "job=%s %s", job, text);
  if (strcmp (event, "crash_counted") == 0)
    met_add (owner->crashed_runs, 1);
  else if (strcmp (event, "given_up") == 0)
    met_add (owner->given_up, 1);
}

void
owner_resign (Owner *owner, const char *reason)
{
  if (owner->phase == OWNER_NONE)
    return;
  line_add ("owner", "resigned", "term=%" G_GUINT64_FORMAT " reason=%s", owner->term, reason);
  owner->phase = OWNER_NONE;
  g_clear_handle_id (&owner->tick_timer, g_source_remove);
  g_clear_handle_id (&owner->tick_soon_timer, g_source_remove);
  g_clear_handle_id (&owner->flush_timer, g_source_remove);
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, FALSE);
  owner->flush = NULL;
  appender_drop (&owner->appender);
  owner_clear_shares (owner);
  g_clear_pointer (&owner->sched, sched_free);
  peers_clear (owner->peers);
  feed_set_pause (owner->entry->ledger_feed, OTHER_PAUSE_MS);
}

static void
add_job (void *ctx, const LedgerJob *job)
{
  Owner *owner = ctx;
  g_autoptr (GError) error = NULL;
  JobSpec *spec = caller_decode_job ((const char *) job->submission->body.data,
                                     job->submission->body.len, &error);

  if (spec == NULL)
    {
      line_add ("owner", "job_malformed", "job=%s error=\"%s\"", job->id, error->message);
      return;
    }
  const SchedNewJob wanted = { .id = job->id,
                               .queue = job->submission->queue,
                               .data_centre = job->submission->data_centre,
                               .accepted_wall_ms = job->submission->accepted_wall_ms,
                               .spec = spec,
                               .progress = job->progress,
                               .crashes = ledger_crashes (owner->entry->ledger, job->id),
                               .terms = job->submission->terms,
                               .may_have_started = job->offset < owner->taken_over_end };
  sched_add_job (owner->sched, &wanted);
  if (job->is_cancelled)
    sched_cancel_job (owner->sched, job->id);
}

static void
add_agent (void *ctx, const LedgerAgent *agent)
{
  Owner *owner = ctx;

  if (sched_add_agent (owner->sched, agent->name))
    peers_add (owner->peers, agent->name, agent->address);
  else
    line_add ("owner", "agent_held_back", "agent=%s reason=being_forgotten", agent->name);
}

static SchedOptions
sched_options (Owner *owner)
{
  const NodeSettings *settings = owner->entry->settings;
  double grant_ms = (double) node_settings_grant_ms (settings);
  SharesBy shares_by = SHARES_NONE;

  (void) shares_by_parse (settings->shares_by, &shares_by);

  return (SchedOptions){
    .report_age_max_ms = FRESH_MS,
    .lease_expiry_ms = (int64_t) (grant_ms * EXPIRY_CLOCK_RATE) + EXPIRY_MARGIN_MS,
    .gang_timeout_ms = settings->gang_timeout_ms,
    .reserves_gaps = settings->reserves_gaps,
    .shares_by = shares_by,
    .note = log_sched_event,
    .started = owner_count_start,
    .ended = owner_count_result,
    .ctx = owner,
  };
}

static void
restore_silent (Owner *owner)
{
  const Batch__Silent *silent = ledger_silent (owner->entry->ledger);

  if (silent == NULL)
    return;
  gboolean is_kept = ledger_is_silent_kept (owner->entry->ledger, owner->level_since);
  line_add ("owner", "silent_agents",
            "term=%" G_GUINT64_FORMAT " written_in_term=%" G_GUINT64_FORMAT
            " level_since=%" G_GUINT64_FORMAT " agents=%zu relied_on=%d",
            owner->term, silent->term, owner->level_since, silent->n_agents, is_kept);
  sched_restore_silent (owner->sched, silent, is_kept);
}

/* Starts to act, once no other entry can. */
static void
take_over (Owner *owner)
{
  const SchedOptions options = sched_options (owner);
  int64_t reconciled_us
      = owner->term == 1 ? clk_now_us () : clk_now_us () + options.lease_expiry_ms * 1000;

  owner->phase = OWNER_ACTIVE;
  /* Until then, the owner before may have started jobs that were submitted after the claim. */
  owner->taken_over_end = feed_end (owner->entry->ledger_feed);
  owner->handover = (Handover){ 0 };
  owner->renew_us = owner->is_leaving ? 0 : owner->renew_us;
  owner->sched = sched_new (&options);
  sched_set_config (owner->sched, owner->entry->config);
  sched_set_evacuations (owner->sched, owner->entry->evacuations);
  sched_begin_term (owner->sched, owner->term, reconciled_us);
  if (ledger_learned (owner->entry->ledger) != NULL)
    sched_restore_learned (owner->sched, ledger_learned (owner->entry->ledger));
  owner->learned_us = clk_now_us ();
  ledger_each_job (owner->entry->ledger, add_job, owner);
  ledger_each_agent (owner->entry->ledger, add_agent, owner);
  restore_silent (owner);
  feed_set_pause (owner->entry->ledger_feed, OWNER_PAUSE_MS);
  owner->tick_timer = g_timeout_add (TICK_MS, on_tick, owner);
  met_add (owner->terms, 1);
  line_add ("owner", "took_over",
            "term=%" G_GUINT64_FORMAT " epoch=%" G_GINT64_FORMAT " open_jobs=%u agents=%u",
            owner->term, owner->epoch, sched_open_jobs (owner->sched), peers_count (owner->peers));
  owner_decide (owner);
}

/* Begins the term, after its claim was read back from the ledger. */
static void
begin_term (Owner *owner, int64_t offset)
{
  int64_t now = clk_now_us ();
  const AppenderClaim claim = { .epoch = owner->epoch,
                                .sequence = owner->claim.sequence,
                                .end_offset = offset + 1,
                                .sent_us = owner->claim.first_sent_us };

  owner->phase = OWNER_WAITING;
  owner->is_release = FALSE;
  owner->claim_offset = offset;
  owner->claim_pause_ms = 0;
  owner->act_us = claim_act_us (&owner->claim, feed_loaded_us (owner->entry->ledger_feed),
                                NODE_OWNER_QUIET_MS * CLK_US_PER_MS, now);
  owner->claim.is_set = FALSE;
  g_clear_pointer (&owner->claim_records, g_byte_array_unref);
  appender_begin (&owner->appender, &claim);
  owner->renew_us = owner->claim.first_sent_us + OWNER_RENEW_MS * 1000;
  if (owner->act_us > now)
    line_add ("owner", "waits", "term=%" G_GUINT64_FORMAT " for_ms=%" G_GINT64_FORMAT, owner->term,
              (owner->act_us - now) / CLK_US_PER_MS);
  owner_act_if_due (owner);
}

void
owner_act_if_due (Owner *owner)
{
  /* In the middle of a load, progress may be older than the claim. */
  if (owner->phase == OWNER_WAITING && clk_now_us () >= owner->act_us
      && !feed_is_loading (owner->entry->ledger_feed))
    take_over (owner);
}

void
owner_handle_claim (Owner *owner, const LedgerOwner *record)
{
  const char *name = owner->entry->settings->name;
  uint64_t boot = node_boot (owner->entry->node);
  int64_t now = clk_now_us ();

  owner->owner_seen_us = now;
  if (owner_has_term (owner))
    {
      if (record->boot == boot || record->offset <= owner->claim_offset)
        return;
      (void) claim_handle_record (&owner->claim, record, name, boot, now);
      /* The release itself is such a record. */
      if (!owner->is_release)
        owner_resign (owner, "replaced");
      return;
    }
  switch (claim_handle_record (&owner->claim, record, name, boot, now))
    {
    case CLAIM_WRITTEN:
      begin_term (owner, record->offset);
      break;
    case CLAIM_REPLACED:
      owner->claim.is_set = FALSE;
      owner_resign (owner, "replaced");
      break;
    default:
      break;
    }
}

void
owner_add_job (Owner *owner, const LedgerJob *job)
{
  if (owner->sched == NULL)
    return;
  add_job (owner, job);
  schedule_tick (owner);
}

void
owner_cancel_job (Owner *owner, const LedgerJob *job)
{
  if (owner->sched == NULL)
    return;
  sched_cancel_job (owner->sched, job->id);
  schedule_tick (owner);
}

void
owner_remove_job (Owner *owner, const char *id)
{
  if (owner->sched != NULL)
    sched_forget_job (owner->sched, id);
}

void
owner_add_agent (Owner *owner, const LedgerAgent *agent)
{
  if (owner->sched != NULL)
    add_agent (owner, agent);
}

void
owner_remove_agent (Owner *owner, const char *name)
{
  if (owner->sched == NULL)
    return;
  peers_remove (owner->peers, name);
  sched_remove_agent (owner->sched, name);
}

void
owner_set_config (Owner *owner, const QueueConfig *config)
{
  if (owner->sched == NULL)
    return;
  sched_set_config (owner->sched, config);
  schedule_tick (owner);
}

void
owner_evacuations_changed (Owner *owner)
{
  schedule_tick (owner);
}

void
owner_leave (Owner *owner)
{
  owner->is_leaving = TRUE;
  owner->renew_us = 0;
  if (owner->phase == OWNER_ACTIVE)
    owner_write_changes (owner);
}

Sched *
owner_sched (Owner *owner)
{
  return has_authority (owner) ? owner->sched : NULL;
}

gboolean
owner_is_idle (const Owner *owner)
{
  return owner->phase == OWNER_NONE;
}

Owner *
owner_new (Entry *entry)
{
  Owner *owner = g_new0 (Owner, 1);
  MetRegistry *metrics = node_metrics (entry->node);

  owner->entry = entry;
  owner->peers = peers_new (owner);
  owner->check_timer = g_timeout_add (CHECK_MS, owner_check, owner);
  owner->terms = met_counter (metrics, "acacia_owner_terms_total", NULL, "Terms begun here");
  owner->handovers = met_counter (metrics, "acacia_owner_handovers_total", NULL,
                                  "Terms ended here since the store served only other entries");
  owner->open_jobs = met_gauge (metrics, "acacia_open_jobs", NULL, "Jobs under way, at the owner");
  owner->crashed_runs = met_counter (metrics, "acacia_crashed_runs_total", NULL,
                                     "Runs lost when their workers crashed");
  owner->given_up = met_counter (metrics, "acacia_crash_given_up_total", NULL,
                                 "Tasks given up since they crash workers");
  owner->append_time
      = met_histogram (metrics, "acacia_owner_append_us", NULL, "Time of the owner's appends");
  return owner;
}

void
owner_free (Owner *owner)
{
  if (owner == NULL)
    return;
  g_clear_handle_id (&owner->check_timer, g_source_remove);
  g_clear_handle_id (&owner->tick_timer, g_source_remove);
  g_clear_handle_id (&owner->tick_soon_timer, g_source_remove);
  g_clear_handle_id (&owner->flush_timer, g_source_remove);
  if (owner->flush != NULL)
    sched_flush_end (owner->sched, owner->flush, FALSE);
  appender_drop (&owner->appender);
  g_clear_pointer (&owner->claim_records, g_byte_array_unref);
  peers_free (owner->peers);
  sched_free (owner->sched);
  g_free (owner);
}
