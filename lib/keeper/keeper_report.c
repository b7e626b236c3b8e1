#include "batch/message.h"
#include "keeper/keeper_private.h"

static Batch__Worker *
report_worker (const WorkerInfo *info)
{
  Batch__Worker *row = message_alloc (sizeof *row);
  guint n_labels = g_strv_length (info->labels);

  batch__worker__init (row);
  row->id = message_strdup (info->id);
  row->born_wall_ms = info->started_wall_ms;
  row->service = message_strdup (info->service);
  row->data_centre = message_strdup (info->data_centre);
  row->instance = message_strdup (info->instance);
  row->labels = message_alloc (n_labels * sizeof *row->labels);
  for (guint i = 0; i < n_labels; i++)
    row->labels[row->n_labels++] = message_strdup (info->labels[i]);
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
  Batch__Running *entry = message_alloc (sizeof *entry);

  batch__running__init (entry);
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  entry->saved = message_strdup (row->polled.checkpoint);
  entry->percent = (int32_t) row->polled.percent;
  entry->figure = row->polled.measurement;
  entry->is_starting = !row->is_listed;
  entry->pace_known = row->cpu_limit_known;
  return entry;
}

static Batch__Ended *
report_ended (const WorkerEnd *end)
{
  Batch__Ended *entry = message_alloc (sizeof *entry);

  batch__ended__init (entry);
  entry->number = end->number;
  entry->task = message_strdup (end->task);
  entry->run = end->run;
  entry->how = (uint32_t) end->how;
  entry->saved = message_strdup (end->checkpoint);
  return entry;
}

static Batch__Refused *
report_refused (const KeeperRefused *row)
{
  Batch__Refused *entry = message_alloc (sizeof *entry);

  batch__refused__init (entry);
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  entry->outcome = (uint32_t) row->outcome;
  return entry;
}

static Batch__Gone *
report_gone (const KeeperGone *row)
{
  Batch__Gone *entry = message_alloc (sizeof *entry);

  batch__gone__init (entry);
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  return entry;
}

static void
add_running (const Keeper *keeper, Batch__Report *report)
{
  GHashTableIter iter;
  gpointer value = NULL;

  report->running = message_alloc (g_hash_table_size (keeper->rows) * sizeof *report->running);
  g_hash_table_iter_init (&iter, keeper->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const KeeperRow *row = value;
      if (row->version > report->since)
        report->running[report->n_running++] = report_running (row);
    }
}

static void
add_ended (const Keeper *keeper, Batch__Report *report)
{
  report->ended = message_alloc (keeper->ended->len * sizeof *report->ended);
  for (guint i = 0; i < keeper->ended->len; i++)
    {
      const KeeperEnd *row = &g_array_index (keeper->ended, KeeperEnd, i);
      if (row->version > report->since)
        report->ended[report->n_ended++] = report_ended (&row->end);
    }
}

static void
add_refused_rows (const Keeper *keeper, Batch__Report *report)
{
  report->refused = message_alloc (keeper->refused->len * sizeof *report->refused);
  for (guint i = 0; i < keeper->refused->len; i++)
    {
      const KeeperRefused *row = &g_array_index (keeper->refused, KeeperRefused, i);
      if (row->version > report->since)
        report->refused[report->n_refused++] = report_refused (row);
    }
}

static void
add_gone_rows (const Keeper *keeper, Batch__Report *report)
{
  if (report->since == 0)
    return;
  report->gone = message_alloc (keeper->gone->len * sizeof *report->gone);
  for (guint i = 0; i < keeper->gone->len; i++)
    {
      const KeeperGone *row = &g_array_index (keeper->gone, KeeperGone, i);
      if (row->version > report->since)
        report->gone[report->n_gone++] = report_gone (row);
    }
}

gboolean
keeper_is_live (const Keeper *keeper)
{
  return keeper_is_known (keeper) && !keeper->is_gone && keeper_is_responsive (keeper);
}

/* Returns the version that the report is based on; 0 for a full report. */
static uint64_t
report_base_version (Keeper *keeper)
{
  int64_t now = keeper_now_us (keeper);

  if (keeper->applied_version != 0 && now - keeper->full_report_us < KEEPER_FULL_REPORT_MS * 1000)
    return keeper->applied_version;
  keeper->full_report_us = now;
  return 0;
}

Batch__Report *
keeper_report (Keeper *keeper)
{
  if (!keeper_is_known (keeper) || !(keeper->is_gone || keeper_is_responsive (keeper)))
    return NULL;
  Batch__Report *report = message_alloc (sizeof *report);
  batch__report__init (report);
  report->epoch = keeper->epoch;
  report->boot = keeper->options.boot;
  report->clock_us = keeper_now_us (keeper);
  report->looked_us = keeper->polled_us;
  report->life = keeper->incarnation;
  report->done_number = keeper->done_number;
  report->is_leaving = keeper->is_leaving;
  report->version = keeper->version;
  report->since = report_base_version (keeper);
  if (keeper->info_version > report->since)
    report->worker = report_worker (keeper->info);
  add_running (keeper, report);
  add_ended (keeper, report);
  add_refused_rows (keeper, report);
  add_gone_rows (keeper, report);
  return report;
}
