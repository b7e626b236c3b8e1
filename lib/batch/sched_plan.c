/*
 * Dispatch order. Each occurrence of a job gets a deadline and an estimate of its longest chain of
 * work. If more work waits than the processors can finish in time, a forecast chooses which
 * occurrences are dispatched first.
 */
#include <math.h>
#include <string.h>

#include "batch/forecast.h"
#include "batch/sched_tables.h"
#include "common/clk.h"

/** The rest of a job is expected to take this percentage of its remaining chain, since best-effort
 * tasks are sometimes throttled and some runs fail. A job is begun only if it can then meet its
 * deadline. */
#define SLACK_PERCENT 130
/** A job that has begun is considered late only if its remaining chain alone is too long. */
#define BEGUN_SLACK_PERCENT 100
/** Interval between two forecasts. */
#define PLAN_MS 100
/** Decay per forecast of the remembered maximum of busy processors. */
#define CORES_DECAY 0.95
/** Weights of the value of a job to its caller: a fixed part per job, and a part in proportion to
 * its work. */
#define VALUE_PER_JOB 0.3
#define VALUE_WORK 0.7
/** Value of a job relative to one of the next more urgent priority. */
#define PRIORITY_WEIGHT 1e-3
#define MILLI 1000.0
#define PERCENT 100.0

/** One occurrence in a forecast. */
typedef struct
{
  SchedStage *first;
  uint32_t priority;
  int64_t deadline_ms;
} PlanRow;

static void
add_work (SchedChains *chains, const JobStep *step, int64_t step_ms, uint32_t n_left)
{
  double core_ms = (double) step->size.cpu_m / MILLI * (double) step_ms;

  chains->whole_work += core_ms * step->n_tasks;
  chains->work[step->is_best_effort ? SCHED_BEST_EFFORT : SCHED_RESERVED] += core_ms * n_left;
}

SchedChains
sched_chains_of (const Sched *sched, const SchedJob *job, uint32_t occurrence)
{
  SchedChains ends[JOB_STEPS_MAX];
  SchedChains longest = { 0 };

  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    {
      const JobStep *step = g_ptr_array_index (job->spec->steps, i);
      const SchedStage *stage = sched_find_stage (job, occurrence, i);
      int64_t step_ms = sched_expected_ms (sched, job, step, stage);
      uint32_t n_left = step->n_tasks - (stage != NULL ? stage->n_done : 0);
      ends[i] = (SchedChains){ 0 };
      for (guint k = 0; k < step->after->len; k++)
        {
          const SchedChains *before = &ends[g_array_index (step->after, uint32_t, k)];
          ends[i].whole_ms = MAX (ends[i].whole_ms, before->whole_ms);
          ends[i].left_ms = MAX (ends[i].left_ms, before->left_ms);
        }
      ends[i].whole_ms += step_ms;
      ends[i].left_ms += n_left == 0 ? 0 : step_ms;
      longest.whole_ms = MAX (longest.whole_ms, ends[i].whole_ms);
      longest.left_ms = MAX (longest.left_ms, ends[i].left_ms);
      add_work (&longest, step, step_ms, n_left);
      longest.n_begun += stage != NULL ? stage->step->n_tasks - stage->n_waiting : 0;
    }
  return longest;
}

int64_t
sched_objective_ms (const SchedJob *job, const SchedChains *chains)
{
  return job->queue->target_ms + (int64_t) (job->queue->stretch * (double) chains->whole_ms);
}

/* Estimates of the occurrence, cached in its first stage until the job changes. */
static const SchedChains *
chains_for (const Sched *sched, SchedStage *first)
{
  if (first->chains_change != first->job->n_changes)
    first->chains = sched_chains_of (sched, first->job, first->occurrence);
  first->chains_change = first->job->n_changes;
  return &first->chains;
}

static int64_t
expected_rest_ms (const SchedChains *chains)
{
  int64_t percent = chains->n_begun > 0 ? BEGUN_SLACK_PERCENT : SLACK_PERCENT;

  return chains->left_ms * percent / 100;
}

static SchedRank
rank_of (const Sched *sched,
         const SchedStage *stage,
         const SchedStage *first,
         const SchedChains *chains,
         int64_t deadline_ms)
{
  gboolean has_begun = chains->n_begun > 0;
  int64_t end_ms = sched->wall_ms + expected_rest_ms (chains);
  int64_t due_ms = sched_due_wall_ms (stage->job, stage->occurrence);
  gboolean is_in_time = first->is_planned ? first->is_chosen : end_ms <= deadline_ms;
  gboolean is_useful = end_ms <= due_ms + (deadline_ms - due_ms) * SCHED_USEFUL_FACTOR;

  if (first->is_favoured && is_useful)
    return SCHED_RANK_HELD;
  if (stage->step->is_continuous || (is_in_time && end_ms <= deadline_ms))
    return has_begun && !stage->step->is_best_effort ? SCHED_RANK_HELD : SCHED_RANK_IN_TIME;
  return is_useful ? SCHED_RANK_LATE : SCHED_RANK_USELESS;
}

static SchedReadyStage
order_of (const Sched *sched, SchedStage *stage, const SchedStage *first, const SchedChains *chains)
{
  const SchedJob *job = stage->job;
  int64_t deadline_ms
      = sched_due_wall_ms (job, stage->occurrence) + sched_objective_ms (job, chains);

  SchedReadyStage ready_stage
      = { .stage = stage,
          .priority = job->queue->priority,
          .rank = rank_of (sched, stage, first, chains, deadline_ms),
          .deadline_ms = deadline_ms,
          .work = chains->work[SCHED_BEST_EFFORT] + chains->work[SCHED_RESERVED] };
  ready_stage.exceeds_share = sched_exceeds_share (&ready_stage);
  return ready_stage;
}

/* Work of origins that exceed their share comes after that of the others, but before results that
 * are of no use to anyone. */
static int
share_order (const SchedReadyStage *ready_stage)
{
  return (ready_stage->rank == SCHED_RANK_USELESS ? 2 : 0) + (ready_stage->exceeds_share ? 1 : 0);
}

SchedReadyStage
sched_ready_stage (const Sched *sched, SchedStage *stage)
{
  SchedStage *first = sched_find_stage (stage->job, stage->occurrence, 0);

  return order_of (sched, stage, first, chains_for (sched, first));
}

/* Estimates that are missing are not cached: the next pass makes them from what is known then. */
SchedReadyStage
sched_peek_ready_stage (const Sched *sched, SchedStage *stage)
{
  const SchedJob *job = stage->job;
  const SchedStage *first = sched_find_stage (job, stage->occurrence, 0);
  const SchedChains chains = first->chains_change == job->n_changes
                                 ? first->chains
                                 : sched_chains_of (sched, job, stage->occurrence);

  return order_of (sched, stage, first, &chains);
}

gint
sched_compare_ready_stages (gconstpointer a, gconstpointer b)
{
  const SchedReadyStage *left = a;
  const SchedReadyStage *right = b;

  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (share_order (left) != share_order (right))
    return share_order (left) - share_order (right);
  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  if (left->rank != SCHED_RANK_HELD && left->work != right->work)
    return left->work < right->work ? -1 : 1;
  if (left->deadline_ms != right->deadline_ms)
    return left->deadline_ms < right->deadline_ms ? -1 : 1;
  return strcmp (left->stage->job->id, right->stage->job->id);
}

static void
add_ready_stages (const Sched *sched,
                  GArray *ready_stages,
                  const SchedJob *job,
                  SchedReadyStage (*order) (const Sched *, SchedStage *))
{
  if (!sched_has_terms (sched, job))
    return;
  for (guint i = 0; i < job->stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job->stages, i);
      if (stage->n_waiting == 0 || !sched_stage_is_ready (stage))
        continue;
      SchedReadyStage ready_stage = order (sched, stage);
      g_array_append_val (ready_stages, ready_stage);
    }
}

/* The forecast. */

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  const PlanRow *left = a;
  const PlanRow *right = b;

  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->deadline_ms != right->deadline_ms)
    return left->deadline_ms < right->deadline_ms ? -1 : 1;
  if (left->first->job != right->first->job)
    return strcmp (left->first->job->id, right->first->job->id);
  return left->first->occurrence < right->first->occurrence ? -1 : 1;
}

static void
add_rows (const Sched *sched, GArray *rows, const SchedJob *job)
{
  if (!sched_has_terms (sched, job))
    return;
  for (guint i = 0; i < job->stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job->stages, i);
      if (stage->step_index != 0 || stage->step->is_continuous)
        continue;
      stage->chains = sched_chains_of (sched, job, stage->occurrence);
      stage->chains_change = job->n_changes;
      stage->is_chosen = TRUE;
      const PlanRow row = { stage, job->queue->priority,
                            sched_due_wall_ms (job, stage->occurrence)
                                + sched_objective_ms (job, &stage->chains) };
      g_array_append_val (rows, row);
    }
}

static double
value_of (const PlanRow *row, double mean_work)
{
  return (VALUE_PER_JOB * mean_work + VALUE_WORK * row->first->chains.whole_work)
         * pow (PRIORITY_WEIGHT, row->priority);
}

static double
mean_work_of (const GArray *rows)
{
  double sum = 0;

  for (guint i = 0; i < rows->len; i++)
    sum += g_array_index (rows, PlanRow, i).first->chains.whole_work;
  return sum / MAX (rows->len, 1);
}

/* Runs the forecast over the occurrences with remaining work of one class. */
static void
choose_class (const Sched *sched, const GArray *rows, SchedClass class, double cores)
{
  g_autoptr (GArray) jobs = g_array_new (FALSE, FALSE, sizeof (ForecastJob));
  g_autoptr (GPtrArray) firsts = g_ptr_array_new ();
  double mean_work = mean_work_of (rows);

  for (guint i = 0; i < rows->len; i++)
    {
      const PlanRow *row = &g_array_index (rows, PlanRow, i);
      if (row->first->chains.work[class] <= 0)
        continue;
      const ForecastJob job = { .deadline_ms = row->deadline_ms,
                                .chain_ms = expected_rest_ms (&row->first->chains),
                                .work = row->first->chains.work[class],
                                .value = value_of (row, mean_work) };
      g_array_append_val (jobs, job);
      g_ptr_array_add (firsts, row->first);
    }
  forecast_choose ((ForecastJob *) (void *) jobs->data, jobs->len, cores, sched->wall_ms);
  for (guint i = 0; i < jobs->len; i++)
    ((SchedStage *) g_ptr_array_index (firsts, i))->is_chosen
        &= g_array_index (jobs, ForecastJob, i).is_chosen;
}

/* Measures the processors that best-effort tasks use, and those that other tasks may reserve. */
static void
measure_cores (Sched *sched)
{
  double cores[SCHED_CLASSES] = { 0 };
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (worker->report_us == 0)
        continue;
      cores[SCHED_RESERVED]
          += (double) (worker->info->capacity.cpu_m - worker->serving_cpu_m) / MILLI;
      for (guint i = 0; i < worker->exposures->len; i++)
        {
          const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
          if (row->to_us == 0)
            cores[SCHED_BEST_EFFORT] += row->share * (double) worker->info->capacity.cpu_m / MILLI;
        }
    }
  sched->cores[SCHED_RESERVED] = cores[SCHED_RESERVED];
  sched->cores[SCHED_BEST_EFFORT]
      = MAX (cores[SCHED_BEST_EFFORT], sched->cores[SCHED_BEST_EFFORT] * CORES_DECAY);
}

/* In the order of the rows: that of the table of open jobs differs from run to run. */
static void
count_rows (Sched *sched, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      SchedStage *first = g_array_index (rows, PlanRow, i).first;
      if (!first->is_planned)
        sizes_add (sched_sizes_of (sched, first->job), first->chains.whole_work);
      first->is_planned = TRUE;
      sched_check_expired (sched, first);
    }
}

static void
favour_large (Sched *sched, const GArray *rows)
{
  g_autoptr (GPtrArray) firsts = g_ptr_array_sized_new (rows->len);

  for (guint i = 0; i < rows->len; i++)
    g_ptr_array_add (firsts, g_array_index (rows, PlanRow, i).first);
  sched_favour_large (sched, firsts);
}

static void
count_left_out (const GArray *rows, int64_t since_ms)
{
  for (guint i = 0; i < rows->len; i++)
    {
      SchedStage *first = g_array_index (rows, PlanRow, i).first;
      first->left_out_ms += first->is_chosen ? 0 : since_ms;
    }
}

static void
update_plan (Sched *sched)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (PlanRow));
  int64_t since_ms = MIN ((sched->now_us - sched->plan_us) / CLK_US_PER_MS, 2 * PLAN_MS);
  GHashTableIter iter;
  gpointer key = NULL;

  if (sched->now_us - sched->plan_us < PLAN_MS * CLK_US_PER_MS)
    return;
  sched->plan_us = sched->now_us;
  measure_cores (sched);
  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    add_rows (sched, rows, key);
  g_array_sort (rows, compare_rows);
  count_rows (sched, rows);
  for (guint i = 0; i < SCHED_CLASSES; i++)
    {
      /* While nothing waits, more processors may be free than were measured as busy. */
      if (sched->n_waiting[i] > 0)
        choose_class (sched, rows, (SchedClass) i, sched->cores[i]);
    }
  count_left_out (rows, since_ms);
  if (sched->n_waiting[SCHED_RESERVED] + sched->n_waiting[SCHED_BEST_EFFORT] > 0)
    favour_large (sched, rows);
}

void
sched_plan_note_waiting (Sched *sched, const SchedStage *stage)
{
  if (!stage->step->is_continuous)
    sched->n_waiting[stage->step->is_best_effort ? SCHED_BEST_EFFORT : SCHED_RESERVED]
        += stage->n_waiting;
}

GArray *
sched_ready_stages (Sched *sched)
{
  GArray *ready_stages = g_array_new (FALSE, FALSE, sizeof (SchedReadyStage));
  GHashTableIter iter;
  gpointer key = NULL;

  update_plan (sched);
  memset (sched->n_waiting, 0, sizeof sched->n_waiting);
  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    add_ready_stages (sched, ready_stages, key, sched_ready_stage);
  sched_update_shares (sched, ready_stages);
  g_array_sort (ready_stages, sched_compare_ready_stages);
  return ready_stages;
}

GArray *
sched_peek_ready_stages (const Sched *sched)
{
  GArray *ready_stages = g_array_new (FALSE, FALSE, sizeof (SchedReadyStage));
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    add_ready_stages (sched, ready_stages, key, sched_peek_ready_stage);
  g_array_sort (ready_stages, sched_compare_ready_stages);
  return ready_stages;
}
