#include <string.h>

#include "keeper/keeper_private.h"

/** A running task's progress is reported in steps of this many percent, and at this interval if
 * it changed by less. */
#define REPORT_PERCENT_STEP 5
#define REPORT_INTERVAL_MS 1000
/** A continuous task serves at this percent; its measurement is then its tail latency. */
#define SERVING_PERCENT 100
/** Growth of the tail latency that is reported at once. */
#define TAIL_GROWTH_FACTOR 1.3

static gboolean
is_ended (const Keeper *keeper, const KeeperRow *row)
{
  for (guint i = 0; i < keeper->ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (keeper->ended, KeeperEnd, i).end;
      if (end->run == row->run && strcmp (end->task, row->task) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether a task's state in a poll should be reported. Small steps are not: the owner does not
 * act on each percent. */
static gboolean
should_report (const Keeper *keeper, const KeeperRow *row, const WorkerTask *task)
{
  gboolean is_report_due = keeper_now_us (keeper) - row->reported_us >= REPORT_INTERVAL_MS * 1000;

  if (!row->was_listed || strcmp (row->polled.checkpoint, task->checkpoint) != 0
      || ABS (task->percent - row->reported_percent) >= REPORT_PERCENT_STEP)
    return TRUE;
  if (task->percent >= SERVING_PERCENT && task->measurement != row->polled.measurement)
    return TRUE;
  return is_report_due && task->percent != row->reported_percent;
}

static gboolean
tail_has_grown (const KeeperRow *row, const WorkerTask *task)
{
  return task->percent >= SERVING_PERCENT && row->reported_percent >= SERVING_PERCENT
         && (double) task->measurement >= (double) row->reported_measurement * TAIL_GROWTH_FACTOR;
}

static void
update_row (Keeper *keeper, KeeperRow *row, const WorkerTask *task)
{
  if (should_report (keeper, row, task))
    {
      if (tail_has_grown (row, task))
        keeper_changed (keeper);
      row->version = keeper_next_version (keeper);
      row->reported_percent = task->percent;
      row->reported_measurement = task->measurement;
      row->reported_us = keeper_now_us (keeper);
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
list_running (Keeper *keeper, const GArray *running)
{
  for (guint i = 0; i < running->len; i++)
    {
      const WorkerTask *task = &g_array_index (running, WorkerTask, i);
      g_autofree char *key = keeper_row_key (task->task, task->run);
      KeeperRow *row = g_hash_table_lookup (keeper->rows, key);
      if (row == NULL)
        row = keeper_add_row (keeper, task->task, task->run, ROW_STARTED);
      update_row (keeper, row, task);
    }
}

/* Whether a run is over: the poll would have listed it if it were still at the worker. */
static gboolean
has_run_ended (const Keeper *keeper, const KeeperRow *row, int64_t sent_us)
{
  if (row->is_listed || row->state == ROW_STARTING)
    return FALSE;
  if (is_ended (keeper, row))
    return TRUE;
  return row->state == ROW_STARTED && row->answered_us < sent_us
         && (!row->stop_wanted || row->stop_answered);
}

static void
remove_ended_rows (Keeper *keeper, int64_t sent_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KeeperRow *row = value;
      if (has_run_ended (keeper, row, sent_us))
        {
          keeper_add_gone (keeper, row->task, row->run);
          keeper_changed (keeper);
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (row->state == ROW_IN_DOUBT && row->answered_us < sent_us)
        row->stop_wanted = TRUE;
    }
}

static void
clear_listed (Keeper *keeper)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KeeperRow *row = value;
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
      const KeeperEnd *row = &g_array_index (ended, KeeperEnd, i);
      if (row->end.number == number)
        return row->version;
    }
  return 0;
}

static void
update_ended (Keeper *keeper, const GArray *ended)
{
  g_autoptr (GArray) before = keeper->ended;

  keeper->ended = keeper_ends_new ();
  for (guint i = 0; i < ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (ended, WorkerEnd, i);
      KeeperEnd row = { *end, 0 };
      if (end->number <= keeper->ends_written)
        continue;
      row.end.task = g_strdup (end->task);
      row.end.checkpoint = g_strdup (end->checkpoint);
      row.version = known_version (before, end->number);
      if (row.version == 0)
        {
          row.version = keeper_next_version (keeper);
          keeper_changed (keeper);
        }
      g_array_append_val (keeper->ended, row);
    }
}

void
keeper_handle_poll (Keeper *keeper, const RunnerAnswer *answer, int64_t sent_us)
{
  keeper->polled_us = keeper_now_us (keeper);
  if (keeper->incarnation == 0)
    {
      keeper->incarnation = (uint64_t) keeper->token;
      keeper_log (keeper, "worker_known", "life=%" G_GUINT64_FORMAT " running=%u ended=%u",
                  keeper->incarnation, answer->running->len, answer->ended->len);
      keeper_changed (keeper);
    }
  update_ended (keeper, answer->ended);
  clear_listed (keeper);
  list_running (keeper, answer->running);
  remove_ended_rows (keeper, sent_us);
}
