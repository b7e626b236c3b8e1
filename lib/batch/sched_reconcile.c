/* The first seconds of a term: tasks that a previous owner may have started. */
#include "batch/sched_tables.h"

/** While workers have more ends than they list, and the owner gets no further ends of them for this
 * long, it does not wait for the others. */
#define ENDS_HELD_MS 10000

/* Whether each agent has reported in full, or, if @p or_confined, is known to run nothing but
 * certain tasks. */
static gboolean
all_reported (const Sched *sched, gboolean or_confined)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if ((worker->report_us == 0 || worker->has_more_ends)
          && !(or_confined && worker->confined != NULL))
        return FALSE;
    }
  return or_confined || g_hash_table_size (sched->workers) > 0;
}

static void
release_unconfirmed (const Sched *sched, SchedStage *stage, gboolean is_final)
{
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      SchedTask *task = &stage->tasks[i];
      if (task->state != TASK_UNCONFIRMED || (!is_final && sched_may_run_unseen (sched, task)))
        continue;
      sched_release_task (task);
    }
}

static void
release_all (Sched *sched, gboolean is_final)
{
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SchedJob *job = key;
      job->is_old &= !is_final;
      for (guint i = 0; i < job->stages->len; i++)
        release_unconfirmed (sched, g_ptr_array_index (job->stages, i), is_final);
    }
}

/* Nothing that earlier owners started runs any more, or it was reported. */
static void
forget_confined (Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_clear_pointer (&((SchedWorker *) value)->confined, g_hash_table_destroy);
}

/* Whether tasks of earlier owners may have ends that workers have yet to list. No expired lease
 * says that such a task has to run again. */
static gboolean
awaits_ends (Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;
  gboolean has_more = FALSE;
  int64_t newest = 0;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (worker->report_us == 0 || !worker->has_more_ends)
        continue;
      has_more = TRUE;
      newest += worker->ends_applied;
    }
  sched->reconcile_held_ms
      = newest == sched->reconcile_ends ? sched->reconcile_held_ms + sched->pass_ms : 0;
  sched->reconcile_ends = newest;
  return has_more && sched->reconcile_held_ms <= ENDS_HELD_MS;
}

void
sched_reconcile (Sched *sched)
{
  if (sched->reconcile_until_us == 0)
    return;
  gboolean is_expired = sched->now_us >= sched->reconcile_until_us && !awaits_ends (sched);
  if (!is_expired && !all_reported (sched, FALSE))
    {
      if (all_reported (sched, TRUE))
        release_all (sched, FALSE);
      return;
    }
  sched->reconcile_until_us = 0;
  release_all (sched, TRUE);
  forget_confined (sched);
  sched_note (sched, "settled", "-", "term=%" G_GUINT64_FORMAT " open_jobs=%u", sched->term,
              g_hash_table_size (sched->open));
}
