#include <string.h>

#include "keeper/keeper_private.h"

static gboolean
is_ended (const Keeper *keeper, const KeeperRow *row)
{
  for (guint i = 0; i < keeper->ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (keeper->ended, WorkerEnd, i);
      if (end->run == row->run && strcmp (end->task, row->task) == 0)
        return TRUE;
    }
  return FALSE;
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
      row->is_listed = TRUE;
      if (row->state == ROW_IN_DOUBT)
        row->state = ROW_STARTED;
      g_free (row->seen.saved);
      row->seen.saved = g_strdup (task->saved);
      row->seen.percent = task->percent;
      row->seen.figure = task->figure;
    }
}

/* A row that the look would have shown, had it been there, is gone. */
static gboolean
is_over (const Keeper *keeper, const KeeperRow *row, int64_t sent_us)
{
  if (row->is_listed || row->state == ROW_STARTING)
    return FALSE;
  if (is_ended (keeper, row))
    return TRUE;
  return row->state == ROW_STARTED && row->settled_us < sent_us
         && (!row->stop_wanted || row->stop_answered);
}

static void
drop_over (Keeper *keeper, int64_t sent_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KeeperRow *row = value;
      if (is_over (keeper, row, sent_us))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (row->state == ROW_IN_DOUBT && row->settled_us < sent_us)
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
    ((KeeperRow *) value)->is_listed = FALSE;
}

static void
take_ended (Keeper *keeper, const GArray *ended)
{
  g_array_set_size (keeper->ended, 0);
  for (guint i = 0; i < ended->len; i++)
    {
      const WorkerEnd *end = &g_array_index (ended, WorkerEnd, i);
      WorkerEnd copy = *end;
      if (end->number <= keeper->seen)
        continue;
      copy.task = g_strdup (end->task);
      copy.saved = g_strdup (end->saved);
      g_array_append_val (keeper->ended, copy);
    }
}

void
keeper_take_look (Keeper *keeper, const RunnerAnswer *answer, int64_t sent_us)
{
  keeper->heard_us = keeper_now_us (keeper);
  if (keeper->life == 0)
    {
      keeper->life = (uint64_t) keeper->token;
      keeper_note (keeper, "worker_known", "life=%" G_GUINT64_FORMAT " running=%u ended=%u",
                   keeper->life, answer->running->len, answer->ended->len);
    }
  take_ended (keeper, answer->ended);
  clear_listed (keeper);
  list_running (keeper, answer->running);
  drop_over (keeper, sent_us);
  keeper_changed (keeper);
}
