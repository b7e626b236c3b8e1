#include "batch/sched.h"

#include <string.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** Interval between two log lines about the utilisation of the workers. */
#define UTILISATION_NOTE_MS 1000
/** Longest time between two ticks that is counted as waiting. */
#define PASS_MAX_MS 500

struct SchedFlush
{
  GPtrArray *changes; /**< SchedChange */
  GHashTable *jobs;   /**< SchedJob of the changes, as a set */
  GHashTable *ends;   /**< agent name -> EndMark */
};

typedef struct
{
  uint64_t boot;
  uint64_t incarnation;
  int64_t ends_applied;
  uint64_t crashes_applied;
} EndMark;

static void
change_free (gpointer data)
{
  SchedChange *change = data;

  g_free (change->job);
  g_bytes_unref (change->progress);
  if (change->crashes != NULL)
    g_bytes_unref (change->crashes);
  g_free (change);
}

Sched *
sched_new (const SchedOptions *options)
{
  Sched *sched = g_new0 (Sched, 1);

  sched->options = *options;
  sched->unknown_queue = sched_unknown_queue_new ();
  sched->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sched_job_free);
  sched->open = g_hash_table_new (NULL, NULL);
  sched->dropped = g_ptr_array_new_with_free_func (sched_stage_free);
  sched->dirty = g_hash_table_new (NULL, NULL);
  sched->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sched_worker_free);
  sched->durations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched->sizes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) sizes_free);
  sched->published = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->interference = interference_new ();
  sched->lost_workers = g_array_new (FALSE, FALSE, sizeof (SchedLostWorker));
  sched->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->ended = g_queue_new ();
  sched->shares = options->shares_by != SHARES_NONE ? shares_new () : NULL;
  return sched;
}

void
sched_free (Sched *sched)
{
  if (sched == NULL)
    return;
  g_hash_table_destroy (sched->published);
  g_clear_pointer (&sched->publishing, g_hash_table_destroy);
  g_hash_table_destroy (sched->pending);
  g_free (sched->forgetting);
  g_hash_table_destroy (sched->durations);
  g_hash_table_destroy (sched->sizes);
  g_hash_table_destroy (sched->workers);
  g_hash_table_destroy (sched->dirty);
  g_hash_table_destroy (sched->open);
  g_queue_free (sched->ended);
  g_array_unref (sched->lost_workers);
  g_ptr_array_unref (sched->dropped);
  g_hash_table_destroy (sched->jobs);
  queue_unref (sched->unknown_queue);
  interference_free (sched->interference);
  shares_free (sched->shares);
  g_free (sched);
}

void
sched_note (Sched *sched, const char *event, const char *job, const char *format, ...)
{
  va_list args;

  if (sched->options.note == NULL)
    return;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  sched->options.note (sched->options.ctx, event, job, text);
}

void
sched_set_config (Sched *sched, const QueueConfig *config)
{
  sched->config = config;
  sched_update_terms (sched);
}

void
sched_set_evacuations (Sched *sched, const Evacuations *evacuations)
{
  sched->evacuations = evacuations;
}

void
sched_hold_starts (Sched *sched, gboolean is_held)
{
  if (sched->are_starts_held != is_held)
    sched_note (sched, is_held ? "starts_held" : "starts_resumed", "-", "open_jobs=%u",
                g_hash_table_size (sched->open));
  sched->are_starts_held = is_held;
}

void
sched_begin_term (Sched *sched, uint64_t term, int64_t reconcile_until_us)
{
  sched->term = term;
  sched->reconcile_until_us = reconcile_until_us;
}

gboolean
sched_add_agent (Sched *sched, const char *name)
{
  if (g_strcmp0 (sched->forgetting, name) == 0)
    return FALSE;
  if (g_hash_table_contains (sched->workers, name))
    return TRUE;
  SchedWorker *worker = sched_worker_new (sched, name);
  g_hash_table_insert (sched->workers, worker->name, worker);
  return TRUE;
}

uint32_t
sched_open_jobs (const Sched *sched)
{
  return g_hash_table_size (sched->open);
}

static void
expire_workers (Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedWorker *worker = value;
      if (worker->report_us == 0 && worker->no_report_us == 0)
        worker->no_report_us = sched->now_us;
      if (worker->report_us != 0
          && sched->now_us - worker->report_us > sched->options.lease_expiry_ms * 1000)
        sched_lose_worker (sched, worker, "silent");
    }
}

static void
update_jobs (Sched *sched)
{
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_remove_all (sched->pending);
  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SchedJob *job = key;
      sched_make_occurrences (sched, job);
      if (!job->has_begun)
        g_hash_table_replace (sched->pending, g_strdup (job->queue_name),
                              GUINT_TO_POINTER (sched_pending_jobs (sched, job->queue_name) + 1));
    }
}

/* Logs the utilisation of the workers once a second. */
static void
note_utilisation (Sched *sched, uint32_t n_waiting)
{
  GHashTableIter iter;
  gpointer value = NULL;
  JobSize capacity = { 0 };
  int64_t used_m = 0;
  int64_t serving_m = 0;
  int64_t best_effort_m = 0;
  int64_t left_m = 0;
  uint32_t n_workers = 0;
  uint32_t n_refusing[SCHED_REFUSALS] = { 0 };

  if (sched->now_us - sched->utilisation_noted_us < UTILISATION_NOTE_MS * 1000)
    return;
  sched->utilisation_noted_us = sched->now_us;
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      n_refusing[sched_worker_refusal (sched, worker)]++;
      if (worker->report_us == 0)
        continue;
      n_workers++;
      capacity.cpu_m += worker->info->capacity.cpu_m;
      used_m += worker->used.cpu_m;
      serving_m += worker->serving_cpu_m;
      best_effort_m += worker->best_effort_cpu_m;
      if (worker->n_serving == 0)
        left_m += worker->info->capacity.cpu_m - worker->used.cpu_m - worker->best_effort_cpu_m;
    }
  const SchedTermsCount terms = sched_count_terms (sched);
  sched_note (sched, "room", "-",
              "workers=%u cpu_m=%" G_GINT64_FORMAT " used_m=%" G_GINT64_FORMAT
              " serving_m=%" G_GINT64_FORMAT " fill_m=%" G_GINT64_FORMAT
              " left_without_serving_m=%" G_GINT64_FORMAT
              " open_jobs=%u ready_tasks=%u not_reporting=%u draining=%u evacuated=%u"
              " quarantined=%u queue_removed=%u terms_unknown=%u",
              n_workers, capacity.cpu_m, used_m, serving_m, best_effort_m, left_m,
              g_hash_table_size (sched->open), n_waiting,
              n_refusing[SCHED_REFUSES_SILENT] + n_refusing[SCHED_REFUSES_OUTDATED],
              n_refusing[SCHED_REFUSES_DRAINING], n_refusing[SCHED_REFUSES_EVACUATED],
              n_refusing[SCHED_REFUSES_QUARANTINED], terms.n_kept, terms.n_unknown);
  sched_note_waiting (sched);
}

void
sched_tick (Sched *sched, int64_t now_us, int64_t wall_ms)
{
  sched->pass_ms = MIN ((now_us - sched->tick_us) / CLK_US_PER_MS, PASS_MAX_MS);
  sched->tick_us = now_us;
  sched->now_us = now_us;
  sched->first_us = sched->first_us != 0 ? sched->first_us : now_us;
  sched->wall_ms = wall_ms;
  expire_workers (sched);
  sched_reconcile (sched);
  update_jobs (sched);
  sched_date_ended (sched);
  sched_remediate (sched);
  note_utilisation (sched, sched_place (sched));
  sched_reap (sched);
}

uint32_t
sched_pending_jobs (const Sched *sched, const char *queue)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (sched->pending, queue));
}

static gboolean
has_unwritten (const SchedWorker *worker)
{
  return worker->ends_applied > worker->ends_written
         || worker->crashes_applied > worker->crashes_written;
}

static void
mark_ends (SchedFlush *flush, const Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (!has_unwritten (worker))
        continue;
      EndMark *mark = g_new (EndMark, 1);
      *mark = (EndMark){ worker->boot, worker->incarnation, worker->ends_applied,
                         worker->crashes_applied };
      g_hash_table_insert (flush->ends, worker->name, mark);
    }
}

static gboolean
has_unwritten_ends (const Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (has_unwritten (worker))
        return TRUE;
    }
  return FALSE;
}

SchedFlush *
sched_flush_begin (Sched *sched)
{
  GHashTableIter iter;
  gpointer key = NULL;

  if (g_hash_table_size (sched->dirty) == 0 && !has_unwritten_ends (sched))
    return NULL;
  SchedFlush *flush = g_new0 (SchedFlush, 1);
  flush->changes = g_ptr_array_new_with_free_func (change_free);
  flush->jobs = g_hash_table_new (NULL, NULL);
  flush->ends = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, sched->dirty);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SchedChange *change = g_new (SchedChange, 1);
      change->job = g_strdup (((SchedJob *) key)->id);
      change->progress = sched_encode_progress (key);
      sched_flush_failures (key);
      change->crashes = ((SchedJob *) key)->has_new_crashes ? sched_encode_crashes (key) : NULL;
      ((SchedJob *) key)->has_new_crashes = FALSE;
      g_ptr_array_add (flush->changes, change);
      (void) g_hash_table_add (flush->jobs, key);
    }
  g_hash_table_remove_all (sched->dirty);
  sched->flushing = flush->jobs;
  mark_ends (flush, sched);
  return flush;
}

const GPtrArray *
sched_flush_changes (const SchedFlush *flush)
{
  return flush->changes;
}

static void
acknowledge_ends (Sched *sched, const SchedFlush *flush)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, flush->ends);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      SchedWorker *worker = g_hash_table_lookup (sched->workers, key);
      const EndMark *mark = value;
      if (worker == NULL || worker->boot != mark->boot)
        continue;
      worker->crashes_written = MAX (worker->crashes_written, mark->crashes_applied);
      worker->is_message_due = TRUE;
      if (worker->incarnation != mark->incarnation)
        continue;
      worker->ends_written = MAX (worker->ends_written, mark->ends_applied);
    }
}

static void
note_failures_flushed (const SchedFlush *flush, gboolean is_written)
{
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, flush->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    sched_failures_flushed (key, is_written);
}

static void
mark_dirty_again (Sched *sched, const SchedFlush *flush)
{
  for (guint i = 0; i < flush->changes->len; i++)
    {
      const SchedChange *change = g_ptr_array_index (flush->changes, i);
      SchedJob *job = g_hash_table_lookup (sched->jobs, change->job);
      if (job == NULL)
        continue;
      job->has_new_crashes |= change->crashes != NULL;
      sched_mark_dirty (sched, job);
    }
}

void
sched_flush_end (Sched *sched, SchedFlush *flush, gboolean is_written)
{
  sched->flushing = NULL;
  note_failures_flushed (flush, is_written);
  if (is_written)
    acknowledge_ends (sched, flush);
  else
    mark_dirty_again (sched, flush);
  g_ptr_array_unref (flush->changes);
  g_hash_table_destroy (flush->jobs);
  g_hash_table_destroy (flush->ends);
  g_free (flush);
}
