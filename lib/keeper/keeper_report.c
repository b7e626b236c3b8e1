#include "batch/message.h"
#include "keeper/keeper_private.h"

static Batch__Worker *
report_worker (const WorkerInfo *info)
{
  Batch__Worker *row = message_part (sizeof *row);
  guint n_labels = g_strv_length (info->labels);

  batch__worker__init (row);
  row->id = message_text (info->id);
  row->born_wall_ms = info->born_wall_ms;
  row->service = message_text (info->service);
  row->data_centre = message_text (info->data_centre);
  row->instance = message_text (info->instance);
  row->labels = message_part (n_labels * sizeof *row->labels);
  for (guint i = 0; i < n_labels; i++)
    row->labels[row->n_labels++] = message_text (info->labels[i]);
  row->cpu_m = info->capacity.cpu_m;
  row->mem_mb = info->capacity.mem_mb;
  row->gpus = info->capacity.gpus;
  row->is_draining = info->is_draining;
  row->remaining_ms = info->remaining_ms;
  return row;
}

static Batch__Running *
report_running (const KeeperRow *row)
{
  Batch__Running *entry = message_part (sizeof *entry);

  batch__running__init (entry);
  entry->task = message_text (row->task);
  entry->run = row->run;
  entry->saved = message_text (row->seen.saved);
  entry->percent = (int32_t) row->seen.percent;
  entry->figure = row->seen.figure;
  entry->is_starting = !row->is_listed;
  return entry;
}

static Batch__Ended *
report_ended (const WorkerEnd *end)
{
  Batch__Ended *entry = message_part (sizeof *entry);

  batch__ended__init (entry);
  entry->number = end->number;
  entry->task = message_text (end->task);
  entry->run = end->run;
  entry->how = (uint32_t) end->how;
  entry->saved = message_text (end->saved);
  return entry;
}

static void
report_refused (const Keeper *keeper, Batch__Report *report)
{
  report->refused = message_part (keeper->refused->len * sizeof *report->refused);
  for (guint i = 0; i < keeper->refused->len; i++)
    {
      const KeeperRefused *row = &g_array_index (keeper->refused, KeeperRefused, i);
      Batch__Refused *entry = message_part (sizeof *entry);
      batch__refused__init (entry);
      entry->task = message_text (row->task);
      entry->run = row->run;
      entry->outcome = (uint32_t) row->outcome;
      report->refused[report->n_refused++] = entry;
    }
}

gboolean
keeper_is_live (const Keeper *keeper)
{
  return keeper_is_known (keeper) && !keeper->is_gone && keeper_is_heard (keeper);
}

Batch__Report *
keeper_report (const Keeper *keeper)
{
  GHashTableIter iter;
  gpointer value = NULL;

  if (!keeper_is_known (keeper) || !(keeper->is_gone || keeper_is_heard (keeper)))
    return NULL;
  Batch__Report *report = message_part (sizeof *report);
  batch__report__init (report);
  report->epoch = keeper->epoch;
  report->boot = keeper->options.boot;
  report->clock_us = keeper_now_us (keeper);
  report->life = keeper->life;
  report->done_number = keeper->done_number;
  report->is_leaving = keeper->is_leaving;
  report->worker = report_worker (keeper->info);
  report->running = message_part (g_hash_table_size (keeper->rows) * sizeof *report->running);
  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    report->running[report->n_running++] = report_running (value);
  report->ended = message_part (keeper->ended->len * sizeof *report->ended);
  for (guint i = 0; i < keeper->ended->len; i++)
    report->ended[report->n_ended++] = report_ended (&g_array_index (keeper->ended, WorkerEnd, i));
  report_refused (keeper, report);
  return report;
}
