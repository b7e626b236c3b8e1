#include "batch/message.h"
#include "supervisor/supervisor_private.h"

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
report_running (const SupervisorRow *row)
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
report_refused (const SupervisorRefused *row)
{
  Batch__Refused *entry = message_alloc (sizeof *entry);

  batch__refused__init (entry);
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  entry->outcome = (uint32_t) row->outcome;
  return entry;
}

static Batch__Gone *
report_gone (const SupervisorGone *row)
{
  Batch__Gone *entry = message_alloc (sizeof *entry);

  batch__gone__init (entry);
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  return entry;
}

static void
add_running (const Supervisor *supervisor, Batch__Report *report)
{
  GHashTableIter iter;
  gpointer value = NULL;

  report->running = message_alloc (g_hash_table_size (supervisor->rows) * sizeof *report->running);
  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SupervisorRow *row = value;
      if (row->version > report->since)
        report->running[report->n_running++] = report_running (row);
    }
}

static void
add_ended (const Supervisor *supervisor, Batch__Report *report)
{
  report->ended = message_alloc (supervisor->ended->len * sizeof *report->ended);
  for (guint i = 0; i < supervisor->ended->len; i++)
    {
      const SupervisorEnd *row = &g_array_index (supervisor->ended, SupervisorEnd, i);
      if (row->version > report->since)
        report->ended[report->n_ended++] = report_ended (&row->end);
    }
}

static void
add_refused_rows (const Supervisor *supervisor, Batch__Report *report)
{
  report->refused = message_alloc (supervisor->refused->len * sizeof *report->refused);
  for (guint i = 0; i < supervisor->refused->len; i++)
    {
      const SupervisorRefused *row = &g_array_index (supervisor->refused, SupervisorRefused, i);
      if (row->version > report->since)
        report->refused[report->n_refused++] = report_refused (row);
    }
}

static void
add_gone_rows (const Supervisor *supervisor, Batch__Report *report)
{
  if (report->since == 0)
    return;
  report->gone = message_alloc (supervisor->gone->len * sizeof *report->gone);
  for (guint i = 0; i < supervisor->gone->len; i++)
    {
      const SupervisorGone *row = &g_array_index (supervisor->gone, SupervisorGone, i);
      if (row->version > report->since)
        report->gone[report->n_gone++] = report_gone (row);
    }
}

gboolean
supervisor_is_live (const Supervisor *supervisor)
{
  return supervisor_is_known (supervisor) && !supervisor->is_gone
         && supervisor_is_responsive (supervisor);
}

/* Returns the version that the report is based on; 0 for a full report. */
static uint64_t
report_base_version (Supervisor *supervisor)
{
  int64_t now = supervisor_now_us (supervisor);

  if (supervisor->applied_version != 0
      && now - supervisor->full_report_us < SUPERVISOR_FULL_REPORT_MS * 1000)
    return supervisor->applied_version;
  supervisor->full_report_us = now;
  return 0;
}

Batch__Report *
supervisor_report (Supervisor *supervisor)
{
  if (!supervisor_is_known (supervisor)
      || !(supervisor->is_gone || supervisor_is_responsive (supervisor)))
    return NULL;
  Batch__Report *report = message_alloc (sizeof *report);
  batch__report__init (report);
  report->epoch = supervisor->epoch;
  report->boot = supervisor->options.boot;
  report->clock_us = supervisor_now_us (supervisor);
  report->looked_us = supervisor->polled_us;
  report->life = supervisor->incarnation;
  report->done_number = supervisor->done_number;
  report->is_leaving = supervisor->is_leaving;
  report->version = supervisor->version;
  report->since = report_base_version (supervisor);
  if (supervisor->info_version > report->since)
    report->worker = report_worker (supervisor->info);
  add_running (supervisor, report);
  add_ended (supervisor, report);
  add_refused_rows (supervisor, report);
  add_gone_rows (supervisor, report);
  report->level = SUPERVISOR_LEVEL;
  report->has_more_ends = supervisor->has_more_ends;
  supervisor_report_crashes (supervisor, report);
  return report;
}
