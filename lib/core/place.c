#include "core/tables.h"

#include <string.h>

#define PLACE_SCAN_MAX 64U     /**< instances examined for one task */
#define PLACE_OFFERS_ENOUGH 4U /**< offers after which sampling ends */
#define PLACE_BLOCKED_MAX 256U /**< jobs without a place after which a tick ends */
#define PLACE_AVOID_US (10 * CLK_US_PER_S)
#define PLACE_RUN_PERMILLE 900U
#define PLACE_UNLIMITED UINT32_MAX
#define PLACE_EVICTION_WAIT_US (2 * CLK_US_PER_S)

/** Result of the search for an instance. */
typedef struct
{
  CoreWorker *worker;
  CoreOffer offer;
  double score;
  uint32_t n_offers;
  gboolean lacks_capacity; /**< an instance was suitable but for its free capacity */
} PlaceChoice;

guint
place_scan_length (const GArray *candidates)
{
  return MIN (candidates->len, PLACE_SCAN_MAX);
}

/* Up to PLACE_SCAN_MAX candidates are all examined, in order. Of more, a random sample is drawn. */
CoreWorker *
place_candidate (Core *core, const GArray *candidates, guint n)
{
  guint at = candidates->len <= PLACE_SCAN_MAX ? n : tables_random (core, candidates->len);

  if (core->options.policy == CORE_POLICY_FIRST_FIT)
    at = n;
  return tables_worker_row (core, g_array_index (candidates, uint32_t, at));
}

DocSize
place_size (const Core *core, const CoreJob *job, const CoreWorker *worker)
{
  DocSize available = size_sub (worker->capacity, worker->endpoints_size);

  return size_max (job->size, size_min (learn_size (core, job), available));
}

gboolean
place_is_open (Core *core, const CoreJob *job, CoreWorker *worker)
{
  return worker->state == WORKER_LIVE && rules_forbid (core, job->constraints, worker) < 0
         && core->placer.admits (core->placer.ctx, worker, job)
         && rules_broken_by_neighbours (core, job, worker, NULL) == NULL;
}

/* Whether @p worker is reserved for another job and @p job would not end before that job can start.
 */
static gboolean
is_reserved_for_other (const Core *core, const CoreJob *job, const CoreWorker *worker)
{
  int64_t run_us = learn_run_ms (core, job, PLACE_RUN_PERMILLE) * CLK_US_PER_MS;

  if (core->backfill_row != worker->row || core->backfill_job == job->id)
    return FALSE;
  return core->now_us + run_us > core->backfill_until_us;
}

static void
evaluate_worker (Core *core, const CoreTask *task, CoreWorker *worker, PlaceChoice *best)
{
  const CoreJob *job = task->job;
  CoreOffer offer = { .worker = worker, .size = place_size (core, job, worker) };

  if (task->failed_on == worker->row && core->now_us < task->not_before_us + PLACE_AVOID_US
      && rules_candidates (core, job->constraints)->len > 1)
    return;
  if (worker->is_quarantined && job->priority == DOC_URGENT)
    return;
  if (!place_is_open (core, job, worker) || health_start_allowance (core, worker) == 0)
    return;
  if (!size_fits (offer.size, tables_free_size (worker))
      || is_reserved_for_other (core, job, worker))
    {
      best->lacks_capacity = best->lacks_capacity || size_fits (job->size, worker->capacity);
      return;
    }
  interference_forecast (core, worker, job, &offer.forecast);
  if (!offer.forecast.is_allowed)
    return;
  double score = core->placer.score (core->placer.ctx, &offer);
  best->n_offers++;
  if (best->worker != NULL && score <= best->score)
    return;
  best->worker = worker;
  best->offer = offer;
  best->score = score;
}

static PlaceChoice
choose_worker (Core *core, const CoreTask *task)
{
  const GArray *candidates = rules_candidates (core, task->job->constraints);
  guint n = place_scan_length (candidates);
  PlaceChoice best = { 0 };

  gboolean is_sample = candidates->len > PLACE_SCAN_MAX;

  for (guint i = 0; i < n && !(is_sample && best.n_offers >= PLACE_OFFERS_ENOUGH); i++)
    {
      CoreWorker *worker = place_candidate (core, candidates, i);
      if (worker->state == WORKER_LIVE)
        evaluate_worker (core, task, worker, &best);
    }
  return best;
}

static CoreReason
reason_of (const CoreTask *task, const PlaceChoice *choice, gboolean is_backfill)
{
  if (choice->worker->is_quarantined)
    return CORE_REASON_PROBE_WORKER;
  if (task->job->priority == DOC_URGENT)
    return CORE_REASON_URGENT;
  if (choice->offer.forecast.is_trial)
    return CORE_REASON_PROBE_PAIR;
  return is_backfill ? CORE_REASON_BACKFILL : CORE_REASON_FITS;
}

static void
set_numbers (const Core *core, const CoreTask *task, const PlaceChoice *choice, CoreCommand *out)
{
  DocSize free = tables_free_size (choice->worker);

  out->numbers[0] = choice->offer.forecast.tail_permille;
  out->numbers[1] = choice->offer.forecast.growth_permille;
  out->numbers[2] = free.cpu_milli;
  out->numbers[3] = free.memory_mb;
  if (out->why == CORE_REASON_URGENT)
    {
      out->numbers[0] = (core->now_us - task->job->submitted_us) / CLK_US_PER_MS;
      out->numbers[1] = core->config.policy.urgent_start_ms;
    }
  if (out->why == CORE_REASON_BACKFILL)
    {
      out->numbers[0] = learn_run_ms (core, task->job, PLACE_RUN_PERMILLE);
      out->numbers[1] = MAX (core->backfill_until_us - core->now_us, 0) / CLK_US_PER_MS;
    }
  if (out->why == CORE_REASON_PROBE_WORKER)
    out->numbers[0] = (core->now_us - choice->worker->quarantined_us) / CLK_US_PER_MS;
}

static void
start (Core *core, CoreTask *task, const PlaceChoice *choice, gboolean is_backfill)
{
  CoreCommand command = emit_command (CORE_DO_START, reason_of (task, choice, is_backfill));

  set_numbers (core, task, choice, &command);
  if (choice->offer.forecast.service != NULL)
    g_strlcpy (command.rule, choice->offer.forecast.service, sizeof command.rule);
  interference_started (core, choice->worker, task->job);
  task->attempt++;
  task->is_probe = choice->worker->is_quarantined;
  task->placed_on = choice->worker->row;
  task->placed_why = command.why;
  tables_assign (core, task, choice->worker, choice->offer.size);
  g_assert (size_fits (size_add (choice->worker->endpoints_size, choice->worker->tasks_size),
                       choice->worker->capacity));
  health_started (core, choice->worker, task);
  core->starts++;
  if (core->starts_left != PLACE_UNLIMITED)
    core->starts_left--;
  emit_task (core, task, command);
}

/* The waiting task with the lowest index that is not delayed; NULL for none. */
static CoreTask *
next_task (const Core *core, CoreJob *job)
{
  gboolean is_first = TRUE;

  for (uint32_t i = job->first_waiting; i < job->n_tasks; i++)
    {
      CoreTask *task = &job->tasks[i];
      if (task->state != TASK_WAITING)
        continue;
      if (is_first)
        job->first_waiting = i;
      is_first = FALSE;
      if (core->now_us >= task->not_before_us)
        return task;
    }
  return NULL;
}

/* Free capacity only shrinks within a tick, so if a task found no instance, an equal one finds none
 * either. */
static gboolean
is_known_blocked (const Core *core, const CoreTask *task)
{
  const CoreConstraints *constraints = task->job->constraints;

  return constraints->blocked_us == core->now_us && !core->config.has_spread
         && memcmp (&constraints->blocked_size, &task->job->size, sizeof (DocSize)) == 0;
}

static void
record_blocked (const Core *core, const CoreTask *task, gboolean lacks_capacity)
{
  CoreConstraints *constraints = task->job->constraints;

  if (task->failed_on != CORE_NONE)
    return;
  constraints->blocked_us = core->now_us;
  constraints->blocked_size = task->job->size;
  constraints->blocked_lacks_capacity = lacks_capacity;
}

/** Predicted end of a task and the reservation that it releases. */
typedef struct
{
  int64_t end_us;
  DocSize size;
} Completion;

static int
compare_completions (const void *a, const void *b)
{
  const Completion *x = a;
  const Completion *y = b;

  return x->end_us < y->end_us ? -1 : (x->end_us > y->end_us ? 1 : 0);
}

/* Predicts when enough tasks on @p worker have ended for a task of @p job to fit; INT64_MAX for
 * never. */
static int64_t
predict_fit_us (const Core *core, const CoreJob *job, const CoreWorker *worker)
{
  DocSize wanted = place_size (core, job, worker);
  DocSize free = tables_free_size (worker);
  int64_t at_us = INT64_MAX;

  if (!size_fits (wanted, size_sub (worker->capacity, worker->endpoints_size)))
    return INT64_MAX;
  GArray *completions = g_array_new (FALSE, FALSE, sizeof (Completion));
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const CoreTask *task = g_ptr_array_index (worker->tasks, i);
      int64_t run_us = learn_run_ms (core, task->job, PLACE_RUN_PERMILLE) * CLK_US_PER_MS;
      Completion completion = { MAX (task->started_us + run_us, core->now_us), task->reserved };
      g_array_append_val (completions, completion);
    }
  g_array_sort (completions, compare_completions);
  for (guint i = 0; i < completions->len && at_us == INT64_MAX; i++)
    {
      const Completion *completion = &g_array_index (completions, Completion, i);
      free = size_add (free, completion->size);
      if (size_fits (wanted, free))
        at_us = completion->end_us;
    }
  g_array_free (completions, TRUE);
  return at_us;
}

/* Reserves the instance on which the first job that lacks capacity can start soonest. */
static void
reserve_worker (Core *core, const CoreJob *job)
{
  const GArray *candidates = rules_candidates (core, job->constraints);
  guint n = place_scan_length (candidates);
  int64_t soonest_us = INT64_MAX;

  for (guint i = 0; i < n; i++)
    {
      CoreWorker *worker = place_candidate (core, candidates, i);
      if (worker->is_quarantined || !place_is_open (core, job, worker))
        continue;
      int64_t at_us = predict_fit_us (core, job, worker);
      if (at_us >= soonest_us)
        continue;
      soonest_us = at_us;
      core->backfill_row = worker->row;
      core->backfill_job = job->id;
      core->backfill_until_us = at_us;
    }
}

/* Whether tasks that were evicted for @p task are still stopping. */
static gboolean
is_eviction_pending (const Core *core, const CoreTask *task)
{
  const CoreWorker *worker = tables_worker_row (core, task->eviction_worker);

  if (core->now_us >= task->eviction_until_us || worker == NULL)
    return FALSE;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const CoreTask *other = g_ptr_array_index (worker->tasks, i);
      if (other->state == TASK_STOPPING)
        return TRUE;
    }
  return FALSE;
}

static void
evict_for_urgent (Core *core, CoreJob *job)
{
  for (uint32_t i = job->first_waiting; i < job->n_tasks; i++)
    {
      CoreTask *task = &job->tasks[i];
      if (task->state != TASK_WAITING || is_eviction_pending (core, task)
          || core->now_us < task->not_before_us)
        continue;
      task->eviction_until_us = core->now_us + PLACE_EVICTION_WAIT_US;
      task->eviction_worker = reclaim_evict_for (core, task);
    }
}

/* Starts as many tasks of the job as possible. FALSE if a task could not be placed. */
static gboolean
place_job (Core *core, CoreJob *job, gboolean is_backfill, gboolean *lacks_capacity)
{
  while (core->starts_left > 0)
    {
      CoreTask *task = next_task (core, job);
      if (task == NULL)
        return TRUE;
      if (!health_allows_job (core, job))
        {
          job->waits_for = "one task at a time until one has shown that it can run";
          return FALSE;
        }
      if (!quota_allows (core, job, job->size))
        {
          job->waits_for = "quota of the team";
          return FALSE;
        }
      PlaceChoice choice = { .lacks_capacity = job->constraints->blocked_lacks_capacity };
      if (!is_known_blocked (core, task))
        choice = choose_worker (core, task);
      if (choice.worker == NULL)
        {
          record_blocked (core, task, choice.lacks_capacity);
          *lacks_capacity = choice.lacks_capacity;
          job->waits_for = choice.lacks_capacity ? "room on an instance"
                                                 : "an instance that services and health allow";
          return FALSE;
        }
      if (!quota_allows (core, job, choice.offer.size))
        {
          job->waits_for = "quota of the team";
          return FALSE;
        }
      start (core, task, &choice, is_backfill);
    }
  job->waits_for = "pacing of starts";
  return TRUE;
}

void
place_run (Core *core)
{
  uint32_t blocked = 0;

  core->backfill_row = CORE_NONE;
  core->starts_left = core->options.policy != CORE_POLICY_ACACIA
                              || tables_has_mechanism (core, CORE_MECHANISM_START_LIMIT)
                          ? (uint32_t) core->config.policy.starts_per_tick
                          : PLACE_UNLIMITED;
  for (guint i = 0; i < core->order->len && blocked < PLACE_BLOCKED_MAX; i++)
    {
      CoreJob *job = g_ptr_array_index (core->order, i);
      gboolean lacks_capacity = FALSE;
      if (core->starts_left == 0)
        break;
      if (job->count[TASK_WAITING] == 0 || job->is_cancelled || job->is_given_up)
        continue;
      if (place_job (core, job, blocked > 0, &lacks_capacity))
        continue;
      if (lacks_capacity && job->priority == DOC_URGENT)
        evict_for_urgent (core, job);
      else if (lacks_capacity && !tables_has_mechanism (core, CORE_MECHANISM_BACKFILL)
               && core->options.policy == CORE_POLICY_ACACIA)
        break;
      else if (lacks_capacity && core->backfill_row == CORE_NONE)
        reserve_worker (core, job);
      blocked++;
    }
}
