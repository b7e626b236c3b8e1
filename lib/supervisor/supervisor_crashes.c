/* Runs that were lost when the worker crashed. They are reported until an owner has written them.
 */
#include "batch/message.h"
#include "common/clk.h"
#include "supervisor/supervisor_private.h"

/** Most crashed runs that are kept. */
#define CRASHES_MAX 512

static void
crash_clear (gpointer data)
{
  g_free (((SupervisorCrash *) data)->task);
}

GArray *
supervisor_crashes_new (void)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (SupervisorCrash));

  g_array_set_clear_func (crashes, crash_clear);
  return crashes;
}

/* A run that was ordered after the worker had stopped answering never reached it. */
static gboolean
was_lost (const Supervisor *supervisor, const char *key, const SupervisorRow *row, int64_t crash_us)
{
  return row->added_us <= crash_us && !supervisor_has_ended (supervisor, key)
         && !supervisor_may_have_unlisted_end (supervisor, row);
}

static uint32_t
count_lost (const Supervisor *supervisor, int64_t crash_us)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  uint32_t n_lost = 0;

  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    n_lost += was_lost (supervisor, key, value, crash_us);
  return n_lost;
}

static void
keep_crash (Supervisor *supervisor, const SupervisorRow *row, int64_t crash_us, uint32_t n_others)
{
  const SupervisorCrash crash = { .number = ++supervisor->n_crashes,
                                  .task = g_strdup (row->task),
                                  .run = row->run,
                                  .age_ms = (crash_us - row->added_us) / CLK_US_PER_MS,
                                  .n_others = n_others,
                                  .incarnation = supervisor->incarnation,
                                  .crash_us = crash_us,
                                  .version = supervisor_next_version (supervisor) };

  if (supervisor->crashes->len >= CRASHES_MAX)
    g_array_remove_index (supervisor->crashes, 0);
  g_array_append_val (supervisor->crashes, crash);
}

void
supervisor_note_crash (Supervisor *supervisor)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;

  if (!supervisor_is_known (supervisor) || supervisor->is_gone || supervisor->info->is_draining)
    return;
  int64_t crash_us
      = supervisor->unanswered_us != 0 ? supervisor->unanswered_us : supervisor_now_us (supervisor);
  /* An expired lease ended the runs before. */
  if (supervisor->lease_end_us < crash_us)
    return;
  uint32_t n_lost = count_lost (supervisor, crash_us);
  supervisor_log (supervisor, "worker_crashed",
                  "id=%s life=%" G_GUINT64_FORMAT " ago_ms=%" G_GINT64_FORMAT " runs=%u",
                  supervisor->info->id, supervisor->incarnation,
                  (supervisor_now_us (supervisor) - crash_us) / CLK_US_PER_MS, n_lost);
  g_hash_table_iter_init (&iter, supervisor->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (was_lost (supervisor, key, value, crash_us))
        keep_crash (supervisor, value, crash_us, n_lost - 1);
    }
}

void
supervisor_drop_crashes (Supervisor *supervisor, uint64_t number)
{
  while (supervisor->crashes->len > 0
         && g_array_index (supervisor->crashes, SupervisorCrash, 0).number <= number)
    g_array_remove_index (supervisor->crashes, 0);
}

static Batch__Crash *
report_crash (const SupervisorCrash *row, int64_t now)
{
  Batch__Crash *entry = message_alloc (sizeof *entry);

  batch__crash__init (entry);
  entry->number = row->number;
  entry->task = message_strdup (row->task);
  entry->run = row->run;
  entry->age_ms = row->age_ms;
  entry->n_others = row->n_others;
  entry->life = row->incarnation;
  entry->ago_ms = (now - row->crash_us) / CLK_US_PER_MS;
  return entry;
}

void
supervisor_report_crashes (const Supervisor *supervisor, Batch__Report *report)
{
  report->crashes = message_alloc (supervisor->crashes->len * sizeof *report->crashes);
  for (guint i = 0; i < supervisor->crashes->len; i++)
    {
      const SupervisorCrash *row = &g_array_index (supervisor->crashes, SupervisorCrash, i);
      if (row->version > report->since)
        report->crashes[report->n_crashes++] = report_crash (row, report->clock_us);
    }
}
