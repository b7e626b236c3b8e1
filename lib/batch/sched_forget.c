/* Removes state that is no longer needed: agents that do not report, jobs that ended long ago. */
#include "batch/sched_tables.h"
#include "common/clk.h"

static void
forget_avoided (Sched *sched, const SchedWorker *worker)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedJob *job = value;
      for (guint i = 0; i < job->stages->len; i++)
        {
          SchedStage *stage = g_ptr_array_index (job->stages, i);
          for (uint32_t k = 0; k < stage->step->n_tasks; k++)
            {
              if (stage->tasks[k].avoid == worker)
                stage->tasks[k].avoid = NULL;
            }
        }
    }
}

static void
drop_worker (Sched *sched, SchedWorker *worker)
{
  if (worker->tasks->len > 0)
    sched_lose_worker (sched, worker, "removed");
  sched_reap (sched);
  forget_avoided (sched, worker);
  (void) g_hash_table_remove (sched->workers, worker->name);
}

void
sched_remove_agent (Sched *sched, const char *name)
{
  SchedWorker *worker = g_hash_table_lookup (sched->workers, name);

  if (g_strcmp0 (sched->forgetting, name) == 0)
    g_clear_pointer (&sched->forgetting, g_free);
  if (worker != NULL)
    drop_worker (sched, worker);
}

static SchedWorker *
find_not_reporting (const Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedWorker *worker = value;
      if (worker->no_report_us != 0
          && sched->now_us - worker->no_report_us > SCHED_FORGET_MS * CLK_US_PER_MS)
        return worker;
    }
  return NULL;
}

const char *
sched_forget_agent (Sched *sched)
{
  SchedWorker *worker = find_not_reporting (sched);

  if (worker == NULL || sched->forgetting != NULL)
    return NULL;
  sched->forgetting = g_strdup (worker->name);
  drop_worker (sched, worker);
  return sched->forgetting;
}

void
sched_date_ended (Sched *sched)
{
  for (GList *link = sched->ended->tail; link != NULL; link = link->prev)
    {
      SchedJob *job = link->data;
      if (job->ended_us != 0)
        return;
      job->ended_us = sched->now_us;
    }
}

static gboolean
has_placed (const SchedJob *job)
{
  for (guint i = 0; i < job->stages->len; i++)
    {
      const SchedStage *stage = g_ptr_array_index (job->stages, i);
      for (uint32_t k = 0; k < stage->step->n_tasks; k++)
        {
          if (stage->tasks[k].state == TASK_PLACED)
            return TRUE;
        }
    }
  return FALSE;
}

static gboolean
may_be_forgotten (const Sched *sched, const SchedJob *job)
{
  gboolean is_flushing = sched->flushing != NULL && g_hash_table_contains (sched->flushing, job);

  return !is_flushing && !g_hash_table_contains (sched->dirty, job) && !has_placed (job);
}

void
sched_expired_jobs (const Sched *sched, int64_t keep_ms, GPtrArray *ids, guint n_most)
{
  int64_t before_us = sched->now_us - keep_ms * CLK_US_PER_MS;

  for (const GList *link = sched->ended->head; link != NULL && ids->len < n_most; link = link->next)
    {
      const SchedJob *job = link->data;
      if (job->ended_us == 0 || job->ended_us > before_us)
        return;
      if (may_be_forgotten (sched, job))
        g_ptr_array_add (ids, job->id);
    }
}

void
sched_forget_job (Sched *sched, const char *id)
{
  SchedJob *job = g_hash_table_lookup (sched->jobs, id);

  if (job == NULL || sched_job_is_open (job) || !may_be_forgotten (sched, job))
    return;
  (void) g_queue_remove (sched->ended, job);
  (void) g_hash_table_remove (sched->jobs, id);
}
