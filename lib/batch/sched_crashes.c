/*
 * Runs that were lost when their workers crashed, and which tasks are to blame.
 *
 * All runs of a worker that crashes are counted; the young ones are suspects. A task that is to
 * blame crashes the next worker too, so one that was alone at its second crash, or the only suspect
 * there, is given up: its job fails. A task is cleared of a crash once a run of it goes on for
 * longer than the one that was lost.
 *
 * Workers also crash by themselves. A task is given up only if its crashes are unlikely to be a
 * coincidence, given how often workers crash without it and for how long its runs were exposed;
 * else it is tried alone on a worker that has not crashed lately.
 */
#include "batch/message.h"
#include "batch/sched_tables.h"
#include "common/clk.h"

/** Crashes after which a task is given up, if it was alone or the only suspect there. Serving tasks
 * run for long and workers also crash by themselves, so they may be in more. */
#define ONLY_SUSPECT_CRASHES 2
#define SERVING_CRASHES_MAX 3
/** Crashes after which a task is tried alone, and after which it is given up while workers do not
 * crash without it, whether it was cleared of them or not. Of a serving task only those soon after
 * its start count towards the second bound. */
#define TRIAL_CRASHES 3
#define CRASHES_MAX 4
/** They must have been of at least so many workers, or one more crash is needed. */
#define CRASHED_WORKERS_MIN 3
/** Longest time for which nothing is started beside a task that is tried alone. */
#define TRIAL_MS 10000
/** Members of a gang can't be tried alone. */
#define GANG_CRASHES_MAX 3
/** A run that is at most this old when its worker crashes is likely to be the cause. */
#define YOUNG_MS 1000
/** An older run makes no suspect of its task. A serving one that is older is not to blame, even if
 * it was alone: workers also crash by themselves. */
#define SUSPECT_AGE_MAX_MS 5000
/** A run that is at most this old crashed its worker by starting. Older ones may only have been
 * there when it crashed, so beside others they are no proof. */
#define AT_START_MS 100
/** Ages of runs that count as the same: they differ by no more than this and a share of the age. */
#define SAME_AGE_MS 50
#define SAME_AGE_DIVISOR 8
/** A task is cleared of a crash by a run that goes on for this much longer than the one that was
 * lost had gone on, or twice as long if that is more, up to a limit. */
#define CLEAR_MARGIN_MS 300
#define CLEAR_MARGIN_MAX_MS 2000
/** Crashes within this time of each other may have one cause, if this share of the workers is lost,
 * and at least this many. */
#define SHARED_MS 1000
#define SHARED_DIVISOR 2
#define SHARED_MIN 3
/** Time for which crashes of workers are remembered, and most of them. */
#define LOST_WORKERS_MS 600000
#define LOST_WORKERS_MAX 512
/** A worker, or all workers, are calm if they did not crash for so long without the task. */
#define CALM_MS 60000
/** Crashes per worker and second are at least one in this time: fewer can't be told apart from
 * none in the time for which an owner remembers them. */
#define RATE_FLOOR_S 180.0
/** The rate is taken over at least this time, so that one crash soon after the start of an owner
 * does not count as many. */
#define RATE_SPAN_MIN_MS 30000
/** A run is exposed for at least this time: ages are known to about one poll of the worker. */
#define EXPOSED_MIN_MS 100
/** Crashes are a coincidence unless their likelihood is below this. At the least rate it takes two
 * crashes at 0.35 s, and three at 5 s; 4e-6 is that of two at 0.6 s, which sound tasks had in the
 * emulator (seed 1233). */
#define COINCIDENCE_MAX 2e-6
/** After one crash more, with runs of any age, a task is given up unless workers that crash by
 * themselves explain more than this share of the crashes. */
#define EXPECTED_DIVISOR 4
/** Most crashed runs of a task that are kept, and of a job that are written. */
#define RUNS_MAX 8
#define RECORD_RUNS_MAX 2048

/** A crashed run in a report. */
typedef struct
{
  SchedTask *task;
  gboolean is_suspected; /**< the task was a suspect before */
} CrashRow;

/* Whether a run that went on for @p ran_ms clears the task of the crash. */
static gboolean
outlives (const SchedCrashedRun *row, int64_t ran_ms)
{
  return ran_ms > row->age_ms + CLAMP (row->age_ms, CLEAR_MARGIN_MS, CLEAR_MARGIN_MAX_MS);
}

/* How long the task has run, as far as its worker was polled. */
static int64_t
seen_running_ms (const SchedTask *task)
{
  return task->state == TASK_PLACED && task->is_listed && !task->is_starting
             ? (task->worker->measured_us - task->placed_us) / CLK_US_PER_MS
             : 0;
}

static gboolean
is_suspicion (const SchedTask *task, const SchedCrashedRun *row)
{
  return !row->is_cleared && !outlives (row, seen_running_ms (task));
}

static uint32_t
suspicions (const SchedTask *task)
{
  uint32_t count = 0;

  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    count += is_suspicion (task, &g_array_index (task->crashes, SchedCrashedRun, i));
  return count;
}

/* Number of crashes with a run that was at most @p age_ms old. */
static uint32_t
suspicions_of_age (const SchedTask *task, int64_t age_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < task->crashes->len; i++)
    {
      const SchedCrashedRun *row = &g_array_index (task->crashes, SchedCrashedRun, i);
      count += row->age_ms <= age_ms && is_suspicion (task, row);
    }
  return count;
}

/* Whether the task is likely to have caused the crash, if nothing else there was suspected. Serving
 * tasks run for long, so that they are in crashes that workers have by themselves. */
static gboolean
is_likely (const SchedTask *task, const SchedCrashedRun *row, gboolean needs_alone)
{
  if (row->is_cleared || row->is_shared)
    return FALSE;
  if (row->is_alone)
    return !task->stage->step->is_continuous || row->age_ms <= SUSPECT_AGE_MAX_MS;
  return !needs_alone && row->age_ms <= YOUNG_MS;
}

/* A task that crashes its workers does so at the same point of each run; crashes that workers have
 * by themselves come at any time. */
static gboolean
is_as_old (const SchedCrashedRun *row, const SchedCrashedRun *newest)
{
  return ABS (row->age_ms - newest->age_ms)
         <= SAME_AGE_MS + MAX (row->age_ms, newest->age_ms) / SAME_AGE_DIVISOR;
}

static const SchedCrashedRun *
newest_run (const SchedTask *task)
{
  return &g_array_index (task->crashes, SchedCrashedRun, task->crashes->len - 1);
}

static uint32_t
likely_crashes (const SchedTask *task, gboolean needs_alone)
{
  const SchedCrashedRun *newest = newest_run (task);
  uint32_t count = 0;

  for (guint i = 0; i < task->crashes->len; i++)
    {
      const SchedCrashedRun *row = &g_array_index (task->crashes, SchedCrashedRun, i);
      count += is_likely (task, row, needs_alone) && is_as_old (row, newest);
    }
  return count;
}

gboolean
sched_is_suspect (const SchedTask *task)
{
  return task->crashes != NULL
         && (suspicions_of_age (task, YOUNG_MS) > 0
             || suspicions_of_age (task, SUSPECT_AGE_MAX_MS) > 1);
}

gboolean
sched_is_on_trial (const Sched *sched, const SchedTask *task)
{
  return sched_needs_trial (task) && task->state == TASK_PLACED && suspicions (task) > 0
         && sched->now_us - task->placed_us < TRIAL_MS * CLK_US_PER_MS;
}

gboolean
sched_needs_trial (const SchedTask *task)
{
  const JobStep *step = task->stage->step;

  return task->crashes != NULL && !step->is_gang && !step->is_continuous
         && (task->crashes->len >= TRIAL_CRASHES
             || likely_crashes (task, FALSE) >= ONLY_SUSPECT_CRASHES);
}

static void
mark_new_crashes (Sched *sched, SchedTask *task)
{
  task->stage->job->has_new_crashes = TRUE;
  sched_mark_dirty (sched, task->stage->job);
}

/* Clears the task of crashes that a run of it has outlived. */
static void
clear (Sched *sched, SchedTask *task, int64_t ran_ms)
{
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      SchedCrashedRun *row = &g_array_index (task->crashes, SchedCrashedRun, i);
      if (row->is_cleared || !outlives (row, ran_ms))
        continue;
      row->is_cleared = TRUE;
      mark_new_crashes (sched, task);
      sched_note (sched, "crash_cleared", task->stage->job->id,
                  "task=%u.%u.%u crashed_run=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
                  " ran_ms=%" G_GINT64_FORMAT,
                  task->stage->occurrence, task->stage->step_index, task->index, row->run,
                  row->age_ms, ran_ms);
    }
}

void
sched_clear_by_end (Sched *sched, SchedTask *task)
{
  clear (sched, task, (sched->now_us - task->placed_us) / CLK_US_PER_MS);
}

static gboolean
is_counted (const SchedTask *task, int64_t run)
{
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      if (g_array_index (task->crashes, SchedCrashedRun, i).run == run)
        return TRUE;
    }
  return FALSE;
}

static void
add_run (SchedTask *task, const SchedCrashedRun *row)
{
  if (task->crashes == NULL)
    task->crashes = g_array_new (FALSE, FALSE, sizeof (SchedCrashedRun));
  if (task->crashes->len >= RUNS_MAX)
    g_array_remove_index (task->crashes, 0);
  g_array_append_val (task->crashes, *row);
}

static gboolean
was_in_crash (const SchedTask *task, uint64_t crash)
{
  for (guint i = 0; i < task->crashes->len; i++)
    {
      if (g_array_index (task->crashes, SchedCrashedRun, i).crash == crash)
        return TRUE;
    }
  return FALSE;
}

/* The crashes that the task caused say nothing about the workers. */
static void
forget_crashes_of (Sched *sched, const SchedTask *task)
{
  for (guint i = sched->lost_workers->len; i-- > 0;)
    {
      if (was_in_crash (task, g_array_index (sched->lost_workers, SchedLostWorker, i).crash))
        g_array_remove_index (sched->lost_workers, i);
    }
}

static void
make_calm (Sched *sched, const SchedTask *task)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedWorker *worker = value;
      if (worker->lost_us != 0 && was_in_crash (task, worker->lost_crash))
        worker->lost_us = 0;
    }
}

static void
give_up (Sched *sched, SchedTask *task, const char *reason)
{
  sched_note (sched, "given_up", task->stage->job->id,
              "task=%u.%u.%u crashes=%u suspicions=%u reason=%s", task->stage->occurrence,
              task->stage->step_index, task->index, task->crashes != NULL ? task->crashes->len : 0,
              suspicions (task), reason);
  forget_crashes_of (sched, task);
  make_calm (sched, task);
  sched_end_job (sched, task->stage->job, SCHED_FAILED);
}

/* Identifies the worker of a crash, see crash_id(). Rows of builds that mixed the upper half of the
 * incarnation into it appear as of other workers. */
static uint32_t
crash_worker (uint64_t crash)
{
  return (uint32_t) (crash >> 32);
}

/* Crashes of the worker under the task. One that crashes again and again may itself be the cause.
 */
static uint32_t
crashes_at (const SchedTask *task, uint32_t worker)
{
  uint32_t count = 0;

  for (guint i = 0; i < task->crashes->len; i++)
    count += crash_worker (g_array_index (task->crashes, SchedCrashedRun, i).crash) == worker;
  return count;
}

/* Number of workers that crashed under the task. */
static uint32_t
crashed_workers (const SchedTask *task)
{
  uint32_t count = 0;

  for (guint i = 0; i < task->crashes->len; i++)
    {
      uint32_t worker = crash_worker (g_array_index (task->crashes, SchedCrashedRun, i).crash);
      guint first = 0;
      while (crash_worker (g_array_index (task->crashes, SchedCrashedRun, first).crash) != worker)
        first++;
      count += first == i;
    }
  return count;
}

/** Crashes of workers in which a task was not. */
typedef struct
{
  uint32_t n_all;
  uint32_t n_at_worker;
} OtherCrashes;

static OtherCrashes
count_others (const Sched *sched, const SchedTask *task, uint32_t worker, int64_t within_ms)
{
  OtherCrashes count = { 0 };

  for (guint i = 0; i < sched->lost_workers->len; i++)
    {
      const SchedLostWorker *row = &g_array_index (sched->lost_workers, SchedLostWorker, i);
      if (sched->now_us - row->crash_us > within_ms * CLK_US_PER_MS
          || was_in_crash (task, row->crash))
        continue;
      count.n_all++;
      count.n_at_worker += crash_worker (row->crash) == worker;
    }
  return count;
}

/* Crashes per second to be expected at the worker without the task; @p n_under crashes there count
 * although the task was in them. */
static double
crash_rate (const Sched *sched, const SchedTask *task, uint32_t worker, uint32_t n_under)
{
  OtherCrashes others = count_others (sched, task, worker, LOST_WORKERS_MS);
  int64_t seen_ms = (sched->now_us - sched->first_us) / CLK_US_PER_MS;
  double span_s = (double) CLAMP (seen_ms, RATE_SPAN_MIN_MS, LOST_WORKERS_MS) / 1000.0;
  double of_all = others.n_all / (span_s * MAX (g_hash_table_size (sched->workers), 1));
  double of_worker = (others.n_at_worker + n_under) / span_s;

  return MAX (MAX (of_all, of_worker), 1.0 / RATE_FLOOR_S);
}

/* For how long the run was exposed to crashes that count as much against its task: a crash at
 * the same age as the newest one could only be within the difference that is_as_old() allows. */
static int64_t
exposed_ms (const SchedCrashedRun *row, const SchedCrashedRun *newest)
{
  int64_t same_ms = 2 * (SAME_AGE_MS + MAX (row->age_ms, newest->age_ms) / SAME_AGE_DIVISOR);
  gboolean is_narrow = row != newest && is_as_old (row, newest);

  return MAX (is_narrow ? MIN (row->age_ms, same_ms) : row->age_ms, EXPOSED_MIN_MS);
}

/* Whether workers that crash by themselves are unlikely to have crashed under the runs that
 * likely_crashes() counts. */
static gboolean
is_no_coincidence (const Sched *sched, const SchedTask *task, gboolean needs_alone)
{
  const SchedCrashedRun *newest = newest_run (task);
  double likelihood = 1;

  for (guint i = 0; i < task->crashes->len; i++)
    {
      const SchedCrashedRun *row = &g_array_index (task->crashes, SchedCrashedRun, i);
      if (!is_likely (task, row, needs_alone) || !is_as_old (row, newest))
        continue;
      uint32_t worker = crash_worker (row->crash);
      double rate = crash_rate (sched, task, worker, crashes_at (task, worker) - 1);
      likelihood *= MIN (rate * (double) exposed_ms (row, newest) / 1000.0, 1);
    }
  return likelihood <= COINCIDENCE_MAX;
}

/* Whether the task was in many more crashes than other tasks that ran for as long were. */
static gboolean
exceeds_expected (const Sched *sched, const SchedTask *task, uint32_t n_crashes)
{
  double n_expected = 0;

  for (guint i = 0; i < task->crashes->len; i++)
    {
      const SchedCrashedRun *row = &g_array_index (task->crashes, SchedCrashedRun, i);
      n_expected += crash_rate (sched, task, crash_worker (row->crash), 0)
                    * (double) MAX (row->age_ms, EXPOSED_MIN_MS) / 1000.0;
    }
  return n_expected * EXPECTED_DIVISOR <= n_crashes;
}

/* Whether no worker has crashed lately without the task. */
static gboolean
are_calm (const Sched *sched, const SchedTask *task)
{
  return count_others (sched, task, 0, CALM_MS).n_all == 0;
}

gboolean
sched_has_crashed_under (const SchedWorker *worker, const SchedTask *task)
{
  return task->crashes != NULL && crashes_at (task, g_str_hash (worker->name)) > 0;
}

gboolean
sched_is_calm_worker (const Sched *sched, const SchedWorker *worker, const SchedTask *task)
{
  return !sched_has_crashed_under (worker, task)
         && (worker->lost_us == 0 || sched->now_us - worker->lost_us > CALM_MS * CLK_US_PER_MS);
}

/* Whether the worker has not crashed lately without the task. */
static gboolean
was_calm (const Sched *sched, const SchedTask *task, uint32_t worker)
{
  return count_others (sched, task, worker, CALM_MS).n_at_worker == 0;
}

/* Whether the newest crash was a trial: the task was alone on a worker that had not crashed
 * before, under it or lately without it. A run that is older was exposed for too long to tell. */
static gboolean
is_proof (const Sched *sched, const SchedTask *task)
{
  const SchedCrashedRun *newest = newest_run (task);
  uint32_t worker = crash_worker (newest->crash);

  return newest->is_alone && !newest->is_shared && newest->age_ms <= TRIAL_MS
         && crashes_at (task, worker) == 1 && was_calm (sched, task, worker);
}

/* Whether the workers that crashed under the task have not crashed lately without it. */
static gboolean
were_calm (const Sched *sched, const SchedTask *task)
{
  for (guint i = 0; i < task->crashes->len; i++)
    {
      if (!was_calm (sched, task,
                     crash_worker (g_array_index (task->crashes, SchedCrashedRun, i).crash)))
        return FALSE;
    }
  return TRUE;
}

/* Whether crashes with runs of any age show that the task is to blame. */
static gboolean
has_most_crashes (const Sched *sched, const SchedTask *task)
{
  const JobStep *step = task->stage->step;
  uint32_t n_max = step->is_gang ? GANG_CRASHES_MAX : CRASHES_MAX;
  uint32_t n_crashes
      = step->is_continuous ? suspicions_of_age (task, YOUNG_MS) : task->crashes->len;

  if (n_crashes < n_max)
    return FALSE;
  if (n_crashes > n_max)
    return exceeds_expected (sched, task, n_crashes);
  return are_calm (sched, task) && crashed_workers (task) >= CRASHED_WORKERS_MIN;
}

/* Why the task is given up after its newest crash; NULL if it is not. @p n_suspected tasks there
 * had been suspects before. */
static const char *
verdict (const Sched *sched, const CrashRow *crash, uint32_t n_suspected)
{
  const SchedTask *task = crash->task;
  uint32_t n_most = task->stage->step->is_continuous ? SERVING_CRASHES_MAX : ONLY_SUSPECT_CRASHES;
  uint32_t n_alone = likely_crashes (task, TRUE);

  if (has_most_crashes (sched, task))
    return "most_crashes";
  if (n_alone > n_most && (is_proof (sched, task) || are_calm (sched, task)))
    return "trial";
  if (n_alone >= n_most && is_no_coincidence (sched, task, TRUE))
    return "alone";
  /* Beside others, the crash may have been caused by one of them or by the worker. */
  uint32_t n_likely = likely_crashes (task, FALSE);
  return crash->is_suspected && n_suspected == 1 && newest_run (task)->age_ms <= AT_START_MS
                 && n_likely >= n_most && (n_likely > n_most || were_calm (sched, task))
                 && is_no_coincidence (sched, task, FALSE)
             ? "only_suspect"
             : NULL;
}

static void
add_row (Sched *sched, GArray *rows, SchedTask *task, const SchedCrashedRun *row)
{
  CrashRow crash = { task, FALSE };

  if (!sched_job_is_open (task->stage->job) || task->state == TASK_DONE
      || is_counted (task, row->run))
    return;
  /* The run that was lost had itself outlived earlier ones. */
  clear (sched, task, row->age_ms);
  sched_mark_begun (sched, task->stage->job);
  crash.is_suspected = sched_is_suspect (task);
  add_run (task, row);
  mark_new_crashes (sched, task);
  g_array_append_val (rows, crash);
  sched_note (sched, "crash_counted", task->stage->job->id,
              "task=%u.%u.%u run=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
              " alone=%d shared=%d crashes=%u suspicions=%u",
              task->stage->occurrence, task->stage->step_index, task->index, row->run, row->age_ms,
              row->is_alone, row->is_shared, task->crashes->len, suspicions (task));
}

/* Gives up the tasks that are to blame. */
static void
judge (Sched *sched, const GArray *rows)
{
  uint32_t n_suspected = 0;

  for (guint i = 0; i < rows->len; i++)
    n_suspected += g_array_index (rows, CrashRow, i).is_suspected;
  for (guint i = 0; i < rows->len; i++)
    {
      const CrashRow *crash = &g_array_index (rows, CrashRow, i);
      const char *reason = verdict (sched, crash, n_suspected);
      if (reason != NULL && sched_job_is_open (crash->task->stage->job))
        give_up (sched, crash->task, reason);
    }
}

static void
remember (Sched *sched, const SchedLostWorker *lost)
{
  if (sched->lost_workers->len >= LOST_WORKERS_MAX)
    g_array_remove_index (sched->lost_workers, 0);
  g_array_append_val (sched->lost_workers, *lost);
}

/* Whether the worker has not crashed again since, so that it is counted once. */
static gboolean
is_newest_of_worker (const Sched *sched, guint index)
{
  uint64_t crash = g_array_index (sched->lost_workers, SchedLostWorker, index).crash;

  for (guint i = index + 1; i < sched->lost_workers->len; i++)
    {
      if (crash_worker (g_array_index (sched->lost_workers, SchedLostWorker, i).crash)
          == crash_worker (crash))
        return FALSE;
    }
  return TRUE;
}

/* Remembers the crash, and returns whether many workers were lost at that time. */
static gboolean
is_shared (Sched *sched, uint64_t id, int64_t crash_us)
{
  uint32_t n_near = 1;

  for (guint i = sched->lost_workers->len; i-- > 0;)
    {
      const SchedLostWorker *row = &g_array_index (sched->lost_workers, SchedLostWorker, i);
      if (sched->now_us - row->crash_us > LOST_WORKERS_MS * CLK_US_PER_MS || row->crash == id)
        g_array_remove_index (sched->lost_workers, i);
      else
        n_near += !row->is_restored && ABS (row->crash_us - crash_us) <= SHARED_MS * CLK_US_PER_MS
                  && is_newest_of_worker (sched, i)
                  && crash_worker (row->crash) != crash_worker (id);
    }
  const SchedLostWorker lost = { id, crash_us, FALSE };
  remember (sched, &lost);
  return n_near >= SHARED_MIN && n_near * SHARED_DIVISOR >= g_hash_table_size (sched->workers);
}

static uint64_t
crash_id (const SchedWorker *worker, uint64_t incarnation)
{
  return ((uint64_t) g_str_hash (worker->name) << 32) | (uint32_t) incarnation;
}

static void
apply_crash (Sched *sched,
             const SchedWorker *worker,
             GArray *rows,
             const Batch__Crash *crash,
             gboolean shared)
{
  SchedTask *task = sched_find_task (sched, crash->task);
  uint64_t id = crash_id (worker, crash->life);
  const SchedCrashedRun row = { .run = crash->run,
                                .crash = id,
                                .age_ms = MAX (crash->age_ms, 0),
                                .is_alone = crash->n_others == 0,
                                .is_shared = shared };

  if (task != NULL)
    add_row (sched, rows, task, &row);
}

/* Remembers a crash of the worker; returns whether many workers were lost at that time. */
static gboolean
note_lost (Sched *sched, SchedWorker *worker, uint64_t incarnation, int64_t crash_us)
{
  worker->lost_crash = crash_id (worker, incarnation);
  worker->lost_us = crash_us;
  return is_shared (sched, worker->lost_crash, crash_us);
}

void
sched_note_lost_worker (Sched *sched, SchedWorker *worker)
{
  (void) note_lost (sched, worker, worker->incarnation, worker->report_us);
}

void
sched_apply_crashes (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (CrashRow));
  uint64_t applied = worker->crashes_applied;
  uint64_t incarnation = 0;
  gboolean shared = FALSE;

  for (size_t i = 0; i < report->n_crashes; i++)
    {
      const Batch__Crash *crash = report->crashes[i];
      if (crash->number <= applied)
        continue;
      if (crash->life != incarnation)
        {
          judge (sched, rows);
          g_array_set_size (rows, 0);
          incarnation = crash->life;
          shared = note_lost (sched, worker, incarnation,
                              sched->now_us - crash->ago_ms * CLK_US_PER_MS);
        }
      apply_crash (sched, worker, rows, crash, shared);
      worker->crashes_applied = MAX (worker->crashes_applied, crash->number);
    }
  judge (sched, rows);
}

void
sched_assume_crash (Sched *sched, SchedWorker *worker)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (CrashRow));
  uint64_t id = crash_id (worker, worker->incarnation);
  gboolean shared = note_lost (sched, worker, worker->incarnation, worker->report_us);

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      const SchedCrashedRun row
          = { .run = task->run,
              .crash = id,
              .age_ms = MAX (worker->report_us - task->placed_us, 0) / CLK_US_PER_MS,
              .is_alone = worker->tasks->len == 1,
              .is_shared = shared };
      if (task->order_number <= worker->done_number)
        add_row (sched, rows, task, &row);
    }
  judge (sched, rows);
}

/* The record. */

static Batch__CrashedRun *
encode_run (const SchedTask *task, const SchedCrashedRun *row)
{
  Batch__CrashedRun *entry = message_alloc (sizeof *entry);

  batch__crashed_run__init (entry);
  entry->occurrence = task->stage->occurrence;
  entry->step = task->stage->step_index;
  entry->index = task->index;
  entry->run = row->run;
  entry->age_ms = row->age_ms;
  entry->is_alone = row->is_alone;
  entry->crash = row->crash;
  entry->is_shared = row->is_shared;
  entry->is_cleared = row->is_cleared;
  return entry;
}

static void
encode_stage (const SchedStage *stage, Batch__Crashes *message)
{
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      const SchedTask *task = &stage->tasks[i];
      if (task->state == TASK_DONE || task->crashes == NULL)
        continue;
      for (guint k = 0; k < task->crashes->len && message->n_runs < RECORD_RUNS_MAX; k++)
        message->runs[message->n_runs++]
            = encode_run (task, &g_array_index (task->crashes, SchedCrashedRun, k));
    }
}

GBytes *
sched_encode_crashes (const SchedJob *job)
{
  Batch__Crashes *message = message_alloc (sizeof *message);

  batch__crashes__init (message);
  message->runs = message_alloc (RECORD_RUNS_MAX * sizeof *message->runs);
  for (guint i = 0; sched_job_is_open (job) && i < job->stages->len; i++)
    encode_stage (g_ptr_array_index (job->stages, i), message);
  size_t size = batch__crashes__get_packed_size (message);
  uint8_t *bytes = g_malloc (MAX (size, 1));
  (void) batch__crashes__pack (message, bytes);
  batch__crashes__free_unpacked (message, NULL);
  return g_bytes_new_take (bytes, size);
}

/* The time of a crash is not in the record: it counts as a recent one. */
static void
restore_lost_worker (Sched *sched, uint64_t crash)
{
  const SchedLostWorker lost = { crash, sched->now_us, TRUE };

  for (guint i = 0; i < sched->lost_workers->len; i++)
    {
      if (g_array_index (sched->lost_workers, SchedLostWorker, i).crash == crash)
        return;
    }
  remember (sched, &lost);
}

void
sched_restore_crashes (Sched *sched, SchedJob *job, const Batch__Crashes *crashes)
{
  for (size_t i = 0; i < crashes->n_runs; i++)
    {
      const Batch__CrashedRun *entry = crashes->runs[i];
      sched_make_occurrences_to (job, entry->occurrence);
      SchedStage *stage = sched_find_stage (job, entry->occurrence, entry->step);
      if (stage == NULL || entry->index >= stage->step->n_tasks)
        continue;
      const SchedCrashedRun row = { .run = entry->run,
                                    .crash = entry->crash,
                                    .age_ms = entry->age_ms,
                                    .is_alone = entry->is_alone,
                                    .is_shared = entry->is_shared,
                                    .is_cleared = entry->is_cleared };
      add_run (&stage->tasks[entry->index], &row);
      restore_lost_worker (sched, row.crash);
    }
}
