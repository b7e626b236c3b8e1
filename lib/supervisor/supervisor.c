#include "supervisor/supervisor.h"

#include <string.h>

#include "supervisor/supervisor_private.h"

/** Most replaced incarnations that are kept. Their late reports are ignored. */
#define REPLACED_MAX 16

static void
row_free (gpointer data)
{
  SupervisorRow *row = data;

  g_free (row->task);
  worker_task_clear (&row->polled);
  g_free (row);
}

static void
refused_clear (gpointer data)
{
  g_free (((SupervisorRefused *) data)->task);
}

static void
gone_clear (gpointer data)
{
  g_free (((SupervisorGone *) data)->task);
}

static void
end_clear (gpointer data)
{
  worker_end_clear (&((SupervisorEnd *) data)->end);
}

static void
identity_clear (gpointer data)
{
  SupervisorIdentity *identity = data;

  g_clear_pointer (&identity->id, g_free);
}

static GArray *
rows_new (guint size, GDestroyNotify clear)
{
  GArray *rows = g_array_new (FALSE, FALSE, size);

  g_array_set_clear_func (rows, clear);
  return rows;
}

GArray *
supervisor_ends_new (void)
{
  return rows_new (sizeof (SupervisorEnd), end_clear);
}

Supervisor *
supervisor_new (const SupervisorOptions *options)
{
  Supervisor *supervisor = g_new0 (Supervisor, 1);

  supervisor->options = *options;
  supervisor->token = options->token;
  supervisor->clock_ms = -1;
  /* An earlier agent process may have extended the lease up to here. */
  supervisor->leased_until_us = supervisor_now_us (supervisor) + options->grant_ms * 1000;
  supervisor->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  supervisor->ended = supervisor_ends_new ();
  supervisor->ended_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  supervisor->refused = rows_new (sizeof (SupervisorRefused), refused_clear);
  supervisor->gone = rows_new (sizeof (SupervisorGone), gone_clear);
  supervisor->replaced = rows_new (sizeof (SupervisorIdentity), identity_clear);
  supervisor->crashes = supervisor_crashes_new ();
  supervisor->calls = g_hash_table_new_full (NULL, NULL, supervisor_call_destroy, NULL);
  return supervisor;
}

void
supervisor_free (Supervisor *supervisor)
{
  if (supervisor == NULL)
    return;
  worker_info_free (supervisor->info);
  worker_info_free (supervisor->candidate);
  worker_info_free (supervisor->doubted);
  identity_clear (&supervisor->last);
  g_hash_table_destroy (supervisor->rows);
  g_array_unref (supervisor->ended);
  g_hash_table_destroy (supervisor->ended_keys);
  g_array_unref (supervisor->refused);
  g_array_unref (supervisor->gone);
  g_array_unref (supervisor->replaced);
  g_array_unref (supervisor->crashes);
  g_hash_table_destroy (supervisor->calls);
  g_free (supervisor);
}

int64_t
supervisor_now_us (const Supervisor *supervisor)
{
  return supervisor->options.now_us (supervisor->options.ctx);
}

gboolean
supervisor_is_known (const Supervisor *supervisor)
{
  return supervisor->info != NULL && supervisor->incarnation != 0;
}

gboolean
supervisor_is_responsive (const Supervisor *supervisor)
{
  return supervisor_now_us (supervisor) - supervisor->polled_us <= SUPERVISOR_SILENCE_MS * 1000;
}

void
supervisor_log (const Supervisor *supervisor, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  supervisor->options.log (supervisor->options.ctx, event, text);
}

void
supervisor_changed (const Supervisor *supervisor)
{
  supervisor->options.changed (supervisor->options.ctx);
}

uint64_t
supervisor_next_version (Supervisor *supervisor)
{
  return ++supervisor->version;
}

void
supervisor_add_gone (Supervisor *supervisor, const char *task, int64_t run)
{
  const SupervisorGone row = { g_strdup (task), run, supervisor_next_version (supervisor) };

  g_array_append_val (supervisor->gone, row);
}

char *
supervisor_row_key (const char *task, int64_t run)
{
  return g_strdup_printf ("%s %" G_GINT64_FORMAT, task, run);
}

SupervisorRow *
supervisor_add_row (Supervisor *supervisor, const char *task, int64_t run, SupervisorRowState state)
{
  SupervisorRow *row = g_new0 (SupervisorRow, 1);

  row->task = g_strdup (task);
  row->run = run;
  row->state = state;
  row->added_us = supervisor_now_us (supervisor);
  row->version = supervisor_next_version (supervisor);
  row->polled.task = g_strdup (task);
  row->polled.run = run;
  row->polled.checkpoint = g_strdup ("");
  g_hash_table_replace (supervisor->rows, supervisor_row_key (task, run), row);
  return row;
}

/* Drops the state of an incarnation. What was reported of it to an owner no longer holds. */
static void
drop_incarnation_state (Supervisor *supervisor)
{
  supervisor->incarnation_count++;
  supervisor->token++;
  supervisor->is_polling = FALSE;
  supervisor->is_verified = FALSE;
  supervisor->applied_version = 0;
  supervisor->info_version = supervisor_next_version (supervisor);
  g_hash_table_remove_all (supervisor->rows);
  g_array_set_size (supervisor->ended, 0);
  g_hash_table_remove_all (supervisor->ended_keys);
  supervisor->has_more_ends = FALSE;
  g_array_set_size (supervisor->gone, 0);
}

static void
reset_incarnation (Supervisor *supervisor)
{
  supervisor_note_crash (supervisor);
  drop_incarnation_state (supervisor);
  supervisor->incarnation = 0;
  supervisor->unanswered_us = 0;
  supervisor->clock_ms = -1;
  supervisor->lease_end_us = 0;
  supervisor->ends_written = 0;
}

/* Handles another worker, or a new incarnation of the same one. */
static void
begin_incarnation (Supervisor *supervisor, WorkerInfo *info)
{
  supervisor_log (supervisor, "worker_life", "id=%s born=%" G_GINT64_FORMAT " rows=%u", info->id,
                  info->started_wall_ms, g_hash_table_size (supervisor->rows));
  if (supervisor_is_known (supervisor))
    {
      identity_clear (&supervisor->last);
      supervisor->last = (SupervisorIdentity){ g_strdup (supervisor->info->id),
                                               supervisor->info->started_wall_ms };
    }
  reset_incarnation (supervisor);
  worker_info_free (supervisor->info);
  supervisor->info = info;
  g_clear_pointer (&supervisor->doubted, worker_info_free);
  supervisor->has_left = FALSE;
  supervisor->is_gone = FALSE;
  supervisor->awaits_info = FALSE;
  supervisor->next_poll_us = 0;
  supervisor_tick (supervisor);
}

void
supervisor_begin_candidate (Supervisor *supervisor)
{
  if (supervisor->candidate != NULL)
    begin_incarnation (supervisor, g_steal_pointer (&supervisor->candidate));
}

void
supervisor_worker_changed (Supervisor *supervisor)
{
  if (supervisor->candidate != NULL)
    {
      supervisor_begin_candidate (supervisor);
      return;
    }
  reset_incarnation (supervisor);
  supervisor->awaits_info = TRUE;
}

static gboolean
is_identity_of (const SupervisorIdentity *identity, const WorkerInfo *info)
{
  return g_strcmp0 (identity->id, info->id) == 0
         && identity->started_wall_ms == info->started_wall_ms;
}

void
supervisor_confirm (Supervisor *supervisor, int64_t sent_us)
{
  SupervisorIdentity last = supervisor->last;

  if (supervisor->candidate != NULL && sent_us > supervisor->candidate_us)
    {
      supervisor_log (supervisor, "report_ignored",
                      "id=%s born=%" G_GINT64_FORMAT " reason=other_answers",
                      supervisor->candidate->id, supervisor->candidate->started_wall_ms);
      g_clear_pointer (&supervisor->candidate, worker_info_free);
    }
  if (last.id == NULL)
    return;
  supervisor->last = (SupervisorIdentity){ 0 };
  if (is_identity_of (&last, supervisor->info))
    {
      identity_clear (&last);
      return;
    }
  g_array_append_val (supervisor->replaced, last);
  if (supervisor->replaced->len > REPLACED_MAX)
    g_array_remove_index (supervisor->replaced, 0);
}

static gboolean
is_replaced (const Supervisor *supervisor, const WorkerInfo *info)
{
  for (guint i = 0; i < supervisor->replaced->len; i++)
    {
      if (is_identity_of (&g_array_index (supervisor->replaced, SupervisorIdentity, i), info))
        return TRUE;
    }
  return FALSE;
}

/* Another writer may report as a worker. Only the one that answers replaces one that answers. */
static void
handle_other_info (Supervisor *supervisor, WorkerInfo *info)
{
  if (!supervisor_is_known (supervisor) || supervisor->is_gone
      || !supervisor_is_responsive (supervisor))
    {
      g_clear_pointer (&supervisor->candidate, worker_info_free);
      begin_incarnation (supervisor, info);
      return;
    }
  worker_info_free (supervisor->candidate);
  supervisor->candidate = info;
  supervisor->candidate_us = supervisor_now_us (supervisor);
  supervisor->next_poll_us = 0;
  supervisor_tick (supervisor);
}

/* Whether @p info may be a later report of the writer of @p before. An incarnation keeps its
 * service and its data centre. */
static gboolean
follows (const WorkerInfo *before, const WorkerInfo *info)
{
  return info->sequence >= before->sequence && strcmp (info->service, before->service) == 0
         && strcmp (info->data_centre, before->data_centre) == 0;
}

/* Another writer may report under the id and start time of the worker, with any service and
 * sequence number. A report that does not follow the known one is believed once another one follows
 * it. */
void
supervisor_handle_info (Supervisor *supervisor, WorkerInfo *info)
{
  if (is_replaced (supervisor, info))
    {
      supervisor_log (supervisor, "report_ignored",
                      "id=%s born=%" G_GINT64_FORMAT " reason=replaced", info->id,
                      info->started_wall_ms);
      worker_info_free (info);
      return;
    }
  gboolean is_back = supervisor->is_gone && info->sequence > supervisor->info->sequence;
  if (supervisor->info == NULL || supervisor->awaits_info || is_back
      || !worker_info_same_incarnation (supervisor->info, info))
    {
      handle_other_info (supervisor, info);
      return;
    }
  if (!follows (supervisor->info, info)
      && (supervisor->doubted == NULL || !follows (supervisor->doubted, info)))
    {
      supervisor_log (supervisor, "report_ignored",
                      "id=%s seq=%" G_GINT64_FORMAT " known_seq=%" G_GINT64_FORMAT
                      " service=%s reason=does_not_follow",
                      info->id, info->sequence, supervisor->info->sequence, info->service);
      worker_info_free (supervisor->doubted);
      supervisor->doubted = info;
      return;
    }
  g_clear_pointer (&supervisor->doubted, worker_info_free);
  gboolean is_changed = !worker_info_same_offer (info, supervisor->info);
  worker_info_free (supervisor->info);
  supervisor->info = info;
  supervisor->has_left &= info->is_draining;
  if (!is_changed)
    return;
  supervisor->info_version = supervisor_next_version (supervisor);
  supervisor_log (supervisor, "worker_state",
                  "id=%s draining=%d cpu_m=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT
                  " gpus=%" G_GINT64_FORMAT,
                  info->id, info->is_draining, info->capacity.cpu_m, info->capacity.mem_mb,
                  info->capacity.gpus);
  supervisor_changed (supervisor);
}

void
supervisor_worker_left (Supervisor *supervisor, const char *id)
{
  if (supervisor->info == NULL || supervisor->has_left || strcmp (supervisor->info->id, id) != 0)
    return;
  supervisor_log (supervisor, "worker_left", "id=%s rows=%u", id,
                  g_hash_table_size (supervisor->rows));
  supervisor->has_left = TRUE;
  supervisor->info->is_draining = TRUE;
  supervisor->info_version = supervisor_next_version (supervisor);
  supervisor->next_poll_us = 0;
  supervisor_changed (supervisor);
  supervisor_tick (supervisor);
}

void
supervisor_worker_ended (Supervisor *supervisor, gboolean is_over)
{
  if (supervisor->candidate != NULL)
    {
      supervisor_begin_candidate (supervisor);
      return;
    }
  if (!supervisor->has_left || !is_over)
    return;
  supervisor_log (supervisor, "worker_gone", "id=%s rows=%u", supervisor->info->id,
                  g_hash_table_size (supervisor->rows));
  drop_incarnation_state (supervisor);
  supervisor->incarnation = (uint64_t) supervisor->token;
  supervisor->is_gone = TRUE;
  supervisor_changed (supervisor);
}

static void
apply_grant (Supervisor *supervisor, const Batch__Orders *orders)
{
  int64_t end_us = orders->echo_us + supervisor->options.grant_ms * 1000;

  if (supervisor->incarnation == 0 || orders->life != supervisor->incarnation
      || orders->echo_us > supervisor_now_us (supervisor))
    return;
  supervisor->lease_end_us = MAX (supervisor->lease_end_us, end_us);
  if (orders->ends_kept <= supervisor->ends_written)
    return;
  supervisor->ends_written = orders->ends_kept;
  supervisor->next_poll_us = 0;
}

static void
drop_applied (Supervisor *supervisor)
{
  while (supervisor->gone->len > 0
         && g_array_index (supervisor->gone, SupervisorGone, 0).version
                <= supervisor->applied_version)
    g_array_remove_index (supervisor->gone, 0);
  while (supervisor->refused->len > 0
         && g_array_index (supervisor->refused, SupervisorRefused, 0).version
                <= supervisor->applied_version)
    g_array_remove_index (supervisor->refused, 0);
}

static void
apply_report_version (Supervisor *supervisor, const Batch__Orders *orders)
{
  if (orders->life != supervisor->incarnation || orders->report_taken > supervisor->version)
    return;
  supervisor->applied_version = orders->report_taken;
  drop_applied (supervisor);
}

/* Reports a start that is not carried out as gone, since it leaves no row. */
static void
skip_order (Supervisor *supervisor, const Batch__Order *order)
{
  if (order->what_case == BATCH__ORDER__WHAT_START)
    supervisor_add_gone (supervisor, order->start->task, order->start->run);
}

static void
handle_order (Supervisor *supervisor, const Batch__Orders *orders, const Batch__Order *order)
{
  if (order->number <= supervisor->done_number)
    return;
  supervisor->done_number = order->number;
  if (orders->life == supervisor->incarnation)
    supervisor_execute_order (supervisor, order);
  else
    skip_order (supervisor, order);
}

gboolean
supervisor_handle_orders (Supervisor *supervisor, const Batch__Orders *orders)
{
  if (orders->epoch < supervisor->epoch)
    return FALSE;
  if (orders->epoch > supervisor->epoch)
    {
      supervisor_log (supervisor, "owner", "name=%s epoch=%" G_GUINT64_FORMAT, orders->owner,
                      orders->epoch);
      supervisor->epoch = orders->epoch;
      supervisor->done_number = 0;
      supervisor->echo_us = 0;
      supervisor->applied_version = 0;
      supervisor_changed (supervisor);
    }
  /* This owner has no state of this agent process, or lost it. */
  if (orders->agent_boot == 0)
    supervisor->applied_version = 0;
  if (orders->agent_boot != supervisor->options.boot)
    return TRUE;
  /* Messages over a connection that was replaced may come late. Meanwhile the owner may have given
   * up this worker and started its tasks elsewhere. */
  if (orders->echo_us < supervisor->echo_us)
    return FALSE;
  supervisor->echo_us = orders->echo_us;
  supervisor->forbids_starts = orders->forbids_starts;
  supervisor_drop_crashes (supervisor, orders->crashes_kept);
  apply_grant (supervisor, orders);
  apply_report_version (supervisor, orders);
  supervisor_poll_if_due (supervisor);
  /* An earlier message was lost. The owner sends its orders again. */
  if (orders->order_before > supervisor->done_number)
    return TRUE;
  for (size_t i = 0; i < orders->n_orders; i++)
    handle_order (supervisor, orders, orders->orders[i]);
  if (orders->wants_report)
    supervisor_changed (supervisor);
  return TRUE;
}

void
supervisor_poll_if_due (Supervisor *supervisor)
{
  if (supervisor->info == NULL || supervisor->is_gone || supervisor->is_polling
      || supervisor->awaits_info)
    return;
  if (supervisor_now_us (supervisor) >= supervisor->next_poll_us)
    supervisor_send_poll (supervisor);
}

void
supervisor_tick (Supervisor *supervisor)
{
  if (supervisor->info == NULL || supervisor->is_gone)
    return;
  if (!supervisor_is_responsive (supervisor))
    supervisor_begin_candidate (supervisor);
  supervisor_repeat_stops (supervisor);
  supervisor_repeat_limits (supervisor);
  supervisor_poll_if_due (supervisor);
}

void
supervisor_leave (Supervisor *supervisor)
{
  supervisor->is_leaving = TRUE;
  supervisor_changed (supervisor);
}
