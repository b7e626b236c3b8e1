/*
 * Placement queries. The decisions are those of a pass, by the same functions, for a job that is in
 * none of the scheduler's tables. Stopping other tasks for it (sched_preempt.c) is not tried.
 */
#include "batch/sched_where.h"

#include <string.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** Id of the job in the dispatch order: after those of all jobs that are equal to it otherwise. */
#define QUERY_JOB "~"

/** Steps for which it is searched when they will fit: that goes over all tasks of all workers, and
 * the owner decides nothing meanwhile. */
#define FIT_SEARCHES_MAX 16

/** A query while it is answered. */
typedef struct
{
  Sched *sched;
  const SchedWhereQuery *query;
  SchedWhere *where;
  GPtrArray *workers;   /**< SchedWorker that accept tasks, as in a pass */
  GArray *ready_stages; /**< SchedReadyStage in dispatch order */
  GArray *peeks;        /**< SchedTailsPeek */
  SchedWait *waits;     /**< what the task waits for at each of the workers */
  uint32_t n_listed;
  uint32_t n_fit_searches;
} Search;

/** The worker that was found for a task. */
typedef struct
{
  SchedWorker *best;
  int64_t best_cost;
  SchedWorker *starved; /**< the best one if the stage was starved */
  int64_t starved_cost;
  SchedWorker *soonest; /**< where it is expected to fit first */
  GapsFit fit;
} Found;

const char *
sched_where_verdict_name (SchedWhereVerdict verdict)
{
  static const char *const names[SCHED_WHERE_VERDICTS] = { "now", "waits", "never" };

  return names[verdict];
}

const char *
sched_where_reason_name (SchedWhereReason reason)
{
  static const char *const names[SCHED_WHERE_REASONS]
      = { "chosen",      "costs_more", "other_service", "no_label",    "suspect",
          "memory",      "processors", "over_target",   "headroom",    "reservation",
          "orders",      "silent",     "outdated",      "published",   "draining",
          "leaving",     "evacuated",  "orphaned_runs", "quarantined", "refused_start",
          "starts_held", "members",    "not_due",       "worker" };

  return names[reason];
}

static SchedWhereReason
reason_of_refusal (SchedRefusal refusal)
{
  static const SchedWhereReason reasons[SCHED_REFUSALS]
      = { [SCHED_ACCEPTS] = SCHED_WHERE_CHOSEN,
          [SCHED_REFUSES_SILENT] = SCHED_WHERE_SILENT,
          [SCHED_REFUSES_OUTDATED] = SCHED_WHERE_OUTDATED,
          [SCHED_REFUSES_PUBLISHED] = SCHED_WHERE_PUBLISHED,
          [SCHED_REFUSES_DRAINING] = SCHED_WHERE_DRAINING,
          [SCHED_REFUSES_LEAVING] = SCHED_WHERE_LEAVING,
          [SCHED_REFUSES_EVACUATED] = SCHED_WHERE_EVACUATED,
          [SCHED_REFUSES_ORPHANED_RUNS] = SCHED_WHERE_ORPHANED_RUNS,
          [SCHED_REFUSES_QUARANTINED] = SCHED_WHERE_QUARANTINED,
          [SCHED_REFUSES_STARTS] = SCHED_WHERE_REFUSED_START,
          [SCHED_REFUSES_HELD] = SCHED_WHERE_STARTS_HELD };

  return reasons[refusal];
}

/* Whether the worker can't run any task of the stage; one that has not reported may. */
static gboolean
is_unsuitable (const SchedWorker *worker, const SchedStage *stage, SchedWhereReason *reason)
{
  const JobStep *step = stage->step;

  if (worker->info == NULL)
    return FALSE;
  if (strcmp (worker->info->service, stage->job->queue->service) != 0)
    *reason = SCHED_WHERE_OTHER_SERVICE;
  else if (step->label != NULL && !sched_has_label (worker->info, step->label))
    *reason = SCHED_WHERE_NO_LABEL;
  else
    return FALSE;
  return TRUE;
}

/* Names what sched_admit() reports as one condition. */
static SchedWhereReason
reason_of_wait (SchedWait wait, const SchedWorker *worker, const SchedStage *stage)
{
  static const SchedWhereReason reasons[SCHED_WAITS]
      = { [SCHED_WAIT_NONE] = SCHED_WHERE_COSTS_MORE,
          [SCHED_WAIT_WORKER] = SCHED_WHERE_SUSPECT,
          [SCHED_WAIT_MEMORY] = SCHED_WHERE_MEMORY,
          [SCHED_WAIT_PROCESSORS] = SCHED_WHERE_PROCESSORS,
          [SCHED_WAIT_OVER_TARGET] = SCHED_WHERE_OVER_TARGET,
          [SCHED_WAIT_HEADROOM] = SCHED_WHERE_HEADROOM,
          [SCHED_WAIT_RESERVATION] = SCHED_WHERE_RESERVATION,
          [SCHED_WAIT_ORDERS] = SCHED_WHERE_ORDERS };
  SchedWhereReason reason = reasons[wait];

  if (wait == SCHED_WAIT_WORKER)
    (void) is_unsuitable (worker, stage, &reason);
  return reason;
}

/* The job. A stage has one task only, as its tasks are alike. */

static SchedStage *
query_stage_new (SchedJob *job, uint32_t step_index)
{
  SchedStage *stage = g_new0 (SchedStage, 1);

  stage->job = job;
  stage->step = g_ptr_array_index (job->spec->steps, step_index);
  stage->step_index = step_index;
  stage->n_waiting = stage->step->n_tasks;
  stage->tasks = g_new0 (SchedTask, 1);
  stage->tasks->stage = stage;
  stage->tasks->cpu_limit = SCHED_CPU_LIMIT_NONE;
  return stage;
}

static void
query_stage_free (gpointer data)
{
  SchedStage *stage = data;

  g_free (stage->tasks);
  g_free (stage);
}

static SchedJob
query_job (const Sched *sched, const SchedWhereQuery *query, const Queue *queue)
{
  SchedJob job = { .id = (char *) QUERY_JOB,
                   .queue_name = queue->name,
                   .queue = queue,
                   .accepted_wall_ms = sched->wall_ms,
                   .spec = query->spec,
                   .state = SCHED_QUEUED,
                   .stages = g_ptr_array_new_with_free_func (query_stage_free),
                   .occurrences_made = 1,
                   .n_changes = 1 };

  return job;
}

/* The search. */

static gboolean
is_before (const SchedReadyStage *other, const SchedReadyStage *own)
{
  return sched_compare_ready_stages (other, own) < 0
         && strcmp (other->stage->job->queue->service, own->stage->job->queue->service) == 0;
}

/* Whether a stage that is dispatched before keeps the worker from the task. Between passes, the
 * worker is kept as in the last one. */
static gboolean
is_kept (const Search *search, const SchedWorker *worker, const SchedReadyStage *own)
{
  if (!sched_was_held (worker, own->stage->tasks))
    return FALSE;
  for (guint i = 0; i < search->ready_stages->len; i++)
    {
      const SchedReadyStage *other = &g_array_index (search->ready_stages, SchedReadyStage, i);
      if (other->stage->gap.worker == worker && is_before (other, own))
        return TRUE;
    }
  return FALSE;
}

static void
consider_later (const Sched *sched, Found *found, SchedWorker *worker, const SchedTask *task)
{
  GapsFit fit;

  if (!sched_may_admit_later (worker, task) || !sched_fit_on (sched, worker, task, INT64_MAX, &fit)
      || fit.at_us <= sched->now_us)
    return;
  if (found->soonest != NULL && found->fit.at_us <= fit.at_us)
    return;
  found->soonest = worker;
  found->fit = fit;
}

static void
consider_starved (Found *found, SchedWorker *worker, const SchedTask *task)
{
  if (sched_admit (worker, task, TRUE) != SCHED_WAIT_NONE)
    return;
  int64_t cost = sched_cost (worker, task);
  if (found->starved != NULL && found->starved_cost <= cost)
    return;
  found->starved = worker;
  found->starved_cost = cost;
}

/* Returns what the task waits for on the worker. */
static SchedWait
consider (const Search *search, Found *found, SchedWorker *worker, const SchedReadyStage *own)
{
  const SchedTask *task = own->stage->tasks;
  SchedWait wait = sched_admit (worker, task, FALSE);

  if (wait == SCHED_WAIT_NONE && is_kept (search, worker, own))
    wait = SCHED_WAIT_RESERVATION;
  if (wait != SCHED_WAIT_NONE)
    return wait;
  int64_t cost = sched_cost (worker, task);
  if (found->best == NULL || cost < found->best_cost)
    {
      found->best = worker;
      found->best_cost = cost;
    }
  return wait;
}

static void
list_worker (Search *search, SchedWhereStep *row, const char *name, SchedWhereReason reason)
{
  const SchedWhereWorker listed = { name, reason };

  if (!search->query->lists_workers)
    return;
  if (search->n_listed >= SCHED_WHERE_WORKERS_MAX)
    {
      search->where->is_cut = TRUE;
      return;
    }
  g_array_append_val (row->workers, listed);
  search->n_listed++;
}

static void
count_refusing (Search *search, SchedWhereStep *row, const SchedStage *stage)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, search->sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      SchedRefusal refusal = sched_worker_refusal (search->sched, worker);
      if (refusal == SCHED_ACCEPTS)
        continue;
      SchedWhereReason reason = reason_of_refusal (refusal);
      (void) is_unsuitable (worker, stage, &reason);
      row->n_by_reason[reason]++;
      list_worker (search, row, worker->name, reason);
    }
}

/* What the task waits for if no worker admits it. With none that accepts tasks and suits it, the
 * reason of those that come closest to that. */
static SchedWhereReason
nearest_reason (const SchedWhereStep *row, SchedWait nearest)
{
  SchedWhereReason reason = SCHED_WHERE_STARTS_HELD;

  if (nearest > SCHED_WAIT_WORKER)
    return (SchedWhereReason) (SCHED_WHERE_MEMORY + (nearest - SCHED_WAIT_MEMORY));
  while (reason > SCHED_WHERE_COSTS_MORE && row->n_by_reason[reason] == 0)
    reason--;
  return reason > SCHED_WHERE_COSTS_MORE ? reason : SCHED_WHERE_NO_WORKER;
}

static Found
find_worker (Search *search, SchedWhereStep *row, const SchedReadyStage *own)
{
  Found found = { 0 };
  SchedWait nearest = SCHED_WAIT_WORKER;
  SchedWait *waits = search->waits;

  for (guint i = 0; i < search->workers->len; i++)
    {
      SchedWorker *worker = g_ptr_array_index (search->workers, i);
      waits[i] = consider (search, &found, worker, own);
      nearest = MAX (nearest, waits[i]);
      if (waits[i] == SCHED_WAIT_NONE)
        row->n_now = MIN (row->n_tasks, row->n_now + sched_count_free (worker, own->stage));
    }
  for (guint i = 0; i < search->workers->len; i++)
    {
      const SchedWorker *worker = g_ptr_array_index (search->workers, i);
      SchedWhereReason reason = worker == found.best
                                    ? SCHED_WHERE_CHOSEN
                                    : reason_of_wait (waits[i], worker, own->stage);
      row->n_by_reason[reason]++;
      list_worker (search, row, worker->name, reason);
    }
  count_refusing (search, row, own->stage);
  if (search->where->due_ms > 0)
    row->waits_for = SCHED_WHERE_NOT_DUE;
  else
    row->waits_for = found.best != NULL ? SCHED_WHERE_MEMBERS : nearest_reason (row, nearest);
  return found;
}

static gint
compare_ends (gconstpointer a, gconstpointer b)
{
  const SchedWhereEnd *left = a;
  const SchedWhereEnd *right = b;

  if (left->in_ms != right->in_ms)
    return left->in_ms < right->in_ms ? -1 : 1;
  return strcmp (left->task, right->task);
}

static void
end_clear (gpointer data)
{
  g_free (((SchedWhereEnd *) data)->task);
}

/* Lists the tasks of the worker that end before the other one fits. */
static void
add_ends (const Sched *sched, SchedWhereStep *row, const Found *found)
{
  const GPtrArray *tasks = found->soonest->tasks;

  for (guint i = 0; i < tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (tasks, i);
      int64_t end_us = sched_expected_end_us (sched, task);
      if (end_us > found->fit.at_us || (task->stage->step->is_continuous && !task->is_stopping))
        continue;
      SchedWhereEnd end = { sched_task_name (task), (end_us - sched->now_us) / CLK_US_PER_MS };
      g_array_append_val (row->ends, end);
    }
  g_array_sort (row->ends, compare_ends);
  row->n_ends = row->ends->len;
  g_array_set_size (row->ends, MIN (row->n_ends, SCHED_WHERE_LISTED_MAX));
}

/* Adds when the task is expected to start, if it does not start now. */
static void
add_wait (Search *search, SchedWhereStep *row, Found *found, const SchedStage *stage)
{
  const Sched *sched = search->sched;

  if (search->n_fit_searches++ >= FIT_SEARCHES_MAX)
    {
      search->where->is_cut = TRUE;
      return;
    }
  for (guint i = 0; i < search->workers->len; i++)
    {
      consider_starved (found, g_ptr_array_index (search->workers, i), stage->tasks);
      consider_later (sched, found, g_ptr_array_index (search->workers, i), stage->tasks);
    }
  int64_t in_ms
      = found->soonest != NULL ? (found->fit.at_us - sched->now_us) / CLK_US_PER_MS : INT64_MAX;

  if (found->starved != NULL && !stage->step->is_gang && in_ms > SCHED_STARVED_MS
      && sched_is_mostly_free (search->workers, stage->job->queue->service))
    {
      row->worker = found->starved->name;
      row->in_ms = SCHED_STARVED_MS;
      row->is_starved = TRUE;
    }
  else if (found->soonest != NULL)
    {
      row->worker = found->soonest->name;
      row->in_ms = in_ms;
      add_ends (sched, row, found);
    }
}

static void
add_before (const Search *search, SchedWhereStep *row, const SchedReadyStage *own)
{
  for (guint i = 0; i < search->ready_stages->len; i++)
    {
      const SchedReadyStage *other = &g_array_index (search->ready_stages, SchedReadyStage, i);
      if (!is_before (other, own))
        continue;
      const SchedWhereBefore before = { other->stage->job->id, other->stage->step_index,
                                        other->stage->n_waiting, other->priority };
      row->n_before++;
      if (row->before->len < SCHED_WHERE_LISTED_MAX)
        g_array_append_val (row->before, before);
    }
}

/* Whether the step could start if the workers ran nothing else. A worker that has not reported yet
 * may be one that suits it. */
static gboolean
can_ever_start (const Search *search, const SchedStage *stage)
{
  const JobStep *step = stage->step;
  uint32_t n_wanted = step->is_gang ? step->n_tasks : 1;
  uint64_t count = 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, search->sched->workers);
  while (count < n_wanted && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      count += worker->info == NULL ? n_wanted : sched_count_empty (worker, stage);
    }
  return count >= n_wanted;
}

static void
step_free (gpointer data)
{
  SchedWhereStep *row = data;

  g_array_unref (row->ends);
  g_array_unref (row->before);
  g_array_unref (row->workers);
  g_free (row);
}

static SchedWhereStep *
step_new (const SchedStage *stage)
{
  SchedWhereStep *row = g_new0 (SchedWhereStep, 1);

  row->step = stage->step_index;
  row->n_tasks = stage->step->n_tasks;
  row->in_ms = -1;
  row->ends = g_array_new (FALSE, FALSE, sizeof (SchedWhereEnd));
  g_array_set_clear_func (row->ends, end_clear);
  row->before = g_array_new (FALSE, FALSE, sizeof (SchedWhereBefore));
  row->workers = g_array_new (FALSE, FALSE, sizeof (SchedWhereWorker));
  return row;
}

static void
answer_step (Search *search, SchedStage *stage)
{
  const SchedReadyStage own = sched_ready_stage (search->sched, stage);
  SchedWhereStep *row = step_new (stage);
  Found found = find_worker (search, row, &own);
  uint32_t n_wanted = stage->step->is_gang ? row->n_tasks : 1;

  if (found.best != NULL && row->n_now >= n_wanted && search->where->due_ms == 0)
    {
      row->verdict = SCHED_WHERE_NOW;
      row->worker = found.best->name;
      row->in_ms = 0;
      row->waits_for = SCHED_WHERE_CHOSEN;
    }
  else
    {
      row->verdict = can_ever_start (search, stage) ? SCHED_WHERE_WAITS : SCHED_WHERE_NEVER;
      if (found.best == NULL)
        add_wait (search, row, &found, stage);
    }
  add_before (search, row, &own);
  search->where->verdict = MAX (search->where->verdict, row->verdict);
  g_ptr_array_add (search->where->steps, row);
}

static void
begin_search (Search *search)
{
  Sched *sched = search->sched;
  GHashTableIter iter;
  gpointer value = NULL;

  search->workers = g_ptr_array_new ();
  search->peeks = g_array_new (FALSE, FALSE, sizeof (SchedTailsPeek));
  search->ready_stages = sched_peek_ready_stages (sched);
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedWorker *worker = value;
      if (sched_worker_refusal (sched, worker) != SCHED_ACCEPTS)
        continue;
      SchedTailsPeek peek = sched_tails_peek_begin (worker);
      g_array_append_val (search->peeks, peek);
      g_ptr_array_add (search->workers, worker);
      search->where->report_age_ms
          = MAX (search->where->report_age_ms,
                 (search->query->now_us - worker->report_us) / CLK_US_PER_MS);
    }
  search->waits = g_new0 (SchedWait, search->workers->len + 1);
}

static void
end_search (Search *search)
{
  g_free (search->waits);
  for (guint i = search->peeks->len; i-- > 0;)
    sched_tails_peek_end (&g_array_index (search->peeks, SchedTailsPeek, i));
  g_array_unref (search->peeks);
  g_ptr_array_unref (search->workers);
  g_array_unref (search->ready_stages);
}

SchedWhere *
sched_where (Sched *sched, const SchedWhereQuery *query)
{
  const Queue *queue
      = sched->config != NULL ? queue_config_find (sched->config, query->queue) : NULL;

  if (queue == NULL)
    return NULL;
  SchedWhere *where = g_new0 (SchedWhere, 1);
  Search search = { .sched = sched, .query = query, .where = where };
  SchedJob job = query_job (sched, query, queue);
  where->term = sched->term;
  where->report_age_ms = -1;
  where->due_ms = MAX (sched_due_wall_ms (&job, 0) - sched->wall_ms, 0);
  where->steps = g_ptr_array_new_with_free_func (step_free);
  for (uint32_t i = 0; i < query->spec->steps->len; i++)
    g_ptr_array_add (job.stages, query_stage_new (&job, i));
  begin_search (&search);
  for (uint32_t i = 0; i < job.stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job.stages, i);
      stage->image = interference_find_image (sched->interference, stage->step->image);
      stage->has_image = TRUE;
      if (stage->step->after->len == 0)
        answer_step (&search, stage);
    }
  end_search (&search);
  g_ptr_array_unref (job.stages);
  return where;
}

void
sched_where_free (SchedWhere *where)
{
  if (where == NULL)
    return;
  g_ptr_array_unref (where->steps);
  g_free (where);
}
