#include <string.h>

#include "supervisor/supervisor_private.h"

/** A running task's progress is reported in steps of this many percent, and at this interval if
 * it changed by less. */
#define REPORT_PERCENT_STEP 5
#define REPORT_INTERVAL_MS 1000
/** A continuous task serves at this percent; its measurement is then its tail latency. */
#define SERVING_PERCENT 100
/** Growth of the tail latency that is reported at once. */
#define TAIL_GROWTH_FACTOR 1.3

gboolean
supervisor_has_ended (const Supervisor *supervisor, const char *key)
{
  return g_hash_table_contains (supervisor->ended_keys, key);
}

gboolean
supervisor_may_have_unlisted_end (const Supervisor *supervisor, const SupervisorRow *row)
{
  return supervisor->has_more_ends && !row->is_listed && row->state == ROW_STARTED
         && row->answered_us < supervisor->poll_sent_us;
}

/* Whether a task's state in a poll should be reported. Small steps are not: the owner does not
 * act on each percent. */
static gboolean
should_report (const Supervisor *supervisor, const SupervisorRow *row, const WorkerTask *task)
{
  gboolean is_report_due
      = supervisor_now_us (supervisor) - row->reported_us >= REPORT_INTERVAL_MS * 1000;

  if (!row->was_listed || strcmp (row->polled.checkpoint, task->checkpoint) != 0
      || ABS (task->percent - row->reported_percent) >= REPORT_PERCENT_STEP)
    return TRUE;
  if (task->percent >= SERVING_PERCENT && task->measurement != row->polled.measurement)
    return TRUE;
  return is_report_due && task->percent != row->reported_percent;
}

static gboolean
tail_has_grown (const SupervisorRow *row, const WorkerTask *task)
{
  return task->percent >= SERVING_PERCENT && row->reported_percent >= SERVING_PERCENT
         && (double) task->measurement >= (double) row->reported_measurement * TAIL_GROWTH_FACTOR;
}

static void
update_row (Supervisor *supervisor, SupervisorRow *row, const WorkerTask *task)
{
  if (should_report (supervisor, row, task))
    {
      if (tail_has_grown (row, task))
        supervisor_changed (supervisor);
      row->version = supervisor_next_version (supervisor);
      row->reported_percent = task->percent;
      row->reported_measurement = task->measurement;
      row->reported_us = supervisor_now_us (supervisor);
    }
  row->is_listed = TRUE;
  if (row->state == ROW_IN_DOUBT)
    row->state = ROW_STARTED;
  if (strcmp (row->polled.checkpoint, task->checkpoint) != 0)
    {
      g_free (row->polled.checkpoint);
      row->polled.checkpoint = g_strdup (task->checkpoint);
    }
  row->polled.percent = task->percent;
  row->polled.measurement = task->measurement;
}

static void
list_running (Supervisor *supervisor, const GArray *running)
{
  for (guint i = 0; i < running->len; i++)
    {
      const WorkerTask *task = &g_array_index (running, WorkerTask, i);
      g_autofree char *key = supervisor_row_key (task->task, task->run);
      SupervisorRow *row = g_hash_table_lookup (supervisor->rows, key);
      if (row == NULL)
        row = supervisor_add_row (supervisor, task->task, task->run, ROW_STARTED);
      update_row (supervisor, row, task);
    }
}

/* Whether a run is over: a poll with complete lists would have listed it if it were still at the
 * worker, or its end if that was not written. */
static gboolean
has_run_ended (const Supervisor *supervisor,
               const char *key,
               const SupervisorRow *row,
               int64_t sent_us)
{
  if (row->is_listed || row->state == ROW_STARTING)
    return FALSE;
  if (supervisor_has_ended (supervisor, key))
    return TRUE;
  return !supervisor->has_incomplete_lists && !supervisor->has_more_ends
         && row->state == ROW_STARTED && row->answered_us < sent_us
         && (!row->stop_wanted || row->stop_answered);
}

/* Stops what should have expired. A worker that restarted may have executed a start with a lease by
 * its earlier clock, which outlasts the time after which the owner starts the task elsewhere. */
static void
stop_expired_runs (Supervisor *supervisor, int64_t sent_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  if (supervisor->lease_end_us == 0 || sent_us <= supervisor->lease_end_us)
    return;
  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SupervisorRow *row = value;
      if (!row->is_listed || row->stop_wanted)
        continue;
      row->stop_wanted = TRUE;
      supervisor_log (supervisor, "lease_outlasted", "task=%s run=%" G_GINT64_FORMAT, row->task,
                      row->run);
    }
}

static void
remove_ended_rows (Supervisor *supervisor, int64_t sent_us)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      SupervisorRow *row = value;
      if (has_run_ended (supervisor, key, row, sent_us))
        {
          supervisor_add_gone (supervisor, row->task, row->run);
          supervisor_changed (supervisor);
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (row->state == ROW_IN_DOUBT && row->answered_us < sent_us)
        row->stop_wanted = TRUE;
    }
}

static void
clear_listed (Supervisor *supervisor)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SupervisorRow *row = value;
      row->was_listed = row->is_listed;
      row->is_listed = FALSE;
    }
}

/* Returns the version of an end that was listed before; 0 for a new one. */
static uint64_t
known_version (const GArray *ended, int64_t number)
{
  for (guint i = 0; i < ended->len; i++)
    {
      const SupervisorEnd *row = &g_array_index (ended, SupervisorEnd, i);
      if (row->end.number == number)
        return row->version;
    }
  return 0;
}

static void
update_ended (Supervisor *supervisor, const GArray *ended)
{
  g_autoptr (GArray) before = supervisor->ended;

  supervisor->ended = supervisor_ends_new ();
  g_hash_table_remove_all (supervisor->ended_keys);
  for (guint i = 0; i < ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (ended, WorkerEnd, i);
      SupervisorEnd row = { *end, 0 };
      if (end->number <= supervisor->ends_written)
        continue;
      row.end.task = g_strdup (end->task);
      row.end.checkpoint = g_strdup (end->checkpoint);
      row.version = known_version (before, end->number);
      if (row.version == 0)
        {
          row.version = supervisor_next_version (supervisor);
          supervisor_changed (supervisor);
        }
      g_array_append_val (supervisor->ended, row);
      (void) g_hash_table_add (supervisor->ended_keys, supervisor_row_key (end->task, end->run));
    }
}

/* Logs when the lists become incomplete, and when they are complete again. */
static void
note_completeness (Supervisor *supervisor, const RunnerAnswer *answer)
{
  gboolean is_incomplete = answer->n_unreadable > 0;

  if (is_incomplete != supervisor->has_incomplete_lists)
    supervisor_log (supervisor, is_incomplete ? "lists_incomplete" : "lists_complete",
                    "unreadable=%u running=%u ended=%u", answer->n_unreadable, answer->running->len,
                    answer->ended->len);
  supervisor->has_incomplete_lists = is_incomplete;
  if (answer->has_more_ends != supervisor->has_more_ends)
    supervisor_log (supervisor, answer->has_more_ends ? "ends_cut_off" : "ends_complete",
                    "running=%u ended=%u rows=%u ends_written=%" G_GINT64_FORMAT,
                    answer->running->len, answer->ended->len, g_hash_table_size (supervisor->rows),
                    supervisor->ends_written);
  supervisor->has_more_ends = answer->has_more_ends;
}

void
supervisor_handle_poll (Supervisor *supervisor, const RunnerAnswer *answer, int64_t sent_us)
{
  note_completeness (supervisor, answer);
  /* Polls return at once while an end is listed, also if it can't be read. */
  if (supervisor->has_incomplete_lists)
    supervisor->next_poll_us = supervisor_now_us (supervisor) + SUPERVISOR_RETRY_MS * 1000;
  /* The owner takes the first lists of an incarnation for all that runs there. */
  if (supervisor->incarnation == 0 && supervisor->has_incomplete_lists)
    return;
  supervisor->polled_us = supervisor_now_us (supervisor);
  supervisor->poll_sent_us = sent_us;
  supervisor->unanswered_us = 0;
  if (supervisor->incarnation == 0)
    {
      supervisor->incarnation = (uint64_t) supervisor->token;
      supervisor_log (supervisor, "worker_known", "life=%" G_GUINT64_FORMAT " running=%u ended=%u",
                      supervisor->incarnation, answer->running->len, answer->ended->len);
      supervisor_changed (supervisor);
    }
  update_ended (supervisor, answer->ended);
  clear_listed (supervisor);
  list_running (supervisor, answer->running);
  remove_ended_rows (supervisor, sent_us);
  stop_expired_runs (supervisor, sent_us);
}
