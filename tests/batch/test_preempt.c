/* Best-effort tasks that give way to those of jobs with less work left. The load is that of a fleet
 * whose serving tasks leave headroom for one heavy task a worker, while a wide job has many. */
#include "rig.h"

#define WIDE_JOB "00000000000000aa"
#define SMALL_JOB "00000000000000bb"
#define SERVING_JOB "00000000000000cc"
#define ROUND_MS 100
/** Serving tasks reserve so many processors that the fleet is not mostly free. */
#define SERVING_CPU "10000"
#define TARGET_MS 300
/** Headroom of a serving task alone, and what one heavy task takes from it. */
#define HEADROOM 2.9
#define HEAVY_IMPACT 1.05
/** Impact of a whole worker of heavy tasks that gives a task of 1600 this impact, at the usual
 * activity. */
#define IMPACT 15.0
#define IMPACT_VARIANCE 0.01
#define WIDE(cpu, more)                                                                            \
  "{\"count\":6,\"cpu\":" cpu ",\"estimate_ms\":6000,\"fills\":true,\"image\":\"b\"" more "}"
/** The first step begins the job at once; the second one needs headroom. */
#define SMALL(cpu)                                                                                 \
  "{\"count\":1,\"cpu\":100,\"estimate_ms\":100},"                                                 \
  "{\"count\":1,\"cpu\":" cpu                                                                      \
  ",\"estimate_ms\":1000,\"fills\":true,\"image\":\"b\",\"after\":[0]}"
#define CHECKPOINTS ",\"checkpointing\":true"
/** Rounds until the model has seen the tails beside the tasks that run. */
#define SETTLE_ROUNDS 20
/** Rounds that a task of each kind takes. */
#define BRIEF_ROUNDS 1
#define SMALL_ROUNDS 10
#define WIDE_ROUNDS 60
/** Objective of the rig's queues for the small job: twice its chain, plus a second. */
#define SMALL_OBJECTIVE_ROUNDS ((2 * (100 + 1000) + 1000) / ROUND_MS)

static void
restore_impact (Rig *rig, double impact)
{
  Batch__Learned learned = BATCH__LEARNED__INIT;
  Batch__PairTake pair = BATCH__PAIR_TAKE__INIT;
  Batch__PairTake *pairs[] = { &pair };
  char *images[] = { (char[]){ "s" }, (char[]){ "b" } };

  pair.serving = 0;
  pair.filling = 1;
  pair.take = (float) impact;
  pair.variance = IMPACT_VARIANCE;
  learned.images = images;
  learned.n_images = G_N_ELEMENTS (images);
  learned.pairs = pairs;
  learned.n_pairs = G_N_ELEMENTS (pairs);
  sched_restore_learned (rig->sched, &learned);
}

static gboolean
is_of (const RigTask *task, const char *job)
{
  return strncmp (task->name, job, strlen (job)) == 0;
}

static uint32_t
count_of (const Rig *rig, const char *job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        count += is_of (&rig->workers[i].tasks[k], job);
    }
  return count;
}

/* Number of heavy tasks on the worker. */
static uint32_t
count_heavy (const RigWorker *worker)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < worker->n_tasks; i++)
    count
        += is_of (&worker->tasks[i], WIDE_JOB) || g_str_has_suffix (worker->tasks[i].name, ".1.0");
  return count;
}

/* Sets the tails of serving tasks to what the heavy tasks beside them cause. */
static void
measure_tails (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      double headroom = MAX (HEADROOM - HEAVY_IMPACT * count_heavy (worker), 0.1);
      for (uint32_t k = 0; k < worker->n_tasks; k++)
        {
          RigTask *task = &worker->tasks[k];
          if (!is_of (task, SERVING_JOB))
            continue;
          task->percent = 100;
          task->measurement = (int64_t) (TARGET_MS / headroom);
        }
    }
}

static void
run_round (Rig *rig)
{
  measure_tails (rig);
  rig_round (rig, ROUND_MS, TRUE);
}

static void
run_rounds (Rig *rig, int n_rounds)
{
  for (int i = 0; i < n_rounds; i++)
    run_round (rig);
}

/* A fleet with one serving task a worker; the wide job runs one task a worker. */
static Rig *
make_fleet_on (
    Rig *rig, const char *wide_queue, const char *wide_step, double impact, const char *serving_cpu)
{
  g_autofree char *serving
      = g_strdup_printf ("{\"count\":%u,\"cpu\":%s,\"long_running\":true,\"target_ms\":%d,"
                         "\"image\":\"s\",\"max_per_server\":1}",
                         rig->n_workers, serving_cpu, TARGET_MS);

  if (impact > 0)
    restore_impact (rig, impact);
  run_round (rig);
  rig_add_job (rig, SERVING_JOB, "urgent", serving);
  run_rounds (rig, SETTLE_ROUNDS);
  rig_add_job (rig, WIDE_JOB, wide_queue, wide_step);
  run_rounds (rig, SETTLE_ROUNDS);
  return rig;
}

static Rig *
make_fleet (uint32_t n_workers,
            const char *wide_queue,
            const char *wide_step,
            double impact,
            const char *serving_cpu)
{
  return make_fleet_on (rig_new (n_workers), wide_queue, wide_step, impact, serving_cpu);
}

/* Adds the small job and lets it reach its second step. */
static void
add_small_job (Rig *rig, const char *steps)
{
  rig_add_job (rig, SMALL_JOB, "bulk", steps);
  run_rounds (rig, BRIEF_ROUNDS);
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      if (rig_find (&rig->workers[i], SMALL_JOB ".0.0.0") != NULL)
        rig_end (&rig->workers[i], SMALL_JOB ".0.0.0", WORKER_END_DONE);
    }
}

static void
wide_job_gives_way_to_a_small_one (void **state)
{
  Rig *rig = make_fleet (1, "bulk", WIDE ("1600", CHECKPOINTS), IMPACT, SERVING_CPU);

  (void) state;
  assert_int_equal (count_of (rig, WIDE_JOB), 1);
  add_small_job (rig, SMALL ("1600"));
  run_rounds (rig, 5);
  assert_non_null (strstr (rig->notes->str, "reason=preempted"));
  assert_int_equal (rig->n_stops, 1);
  assert_non_null (rig_find (&rig->workers[0], SMALL_JOB ".0.1.0"));
  rig_free (rig);
}

/* Guards against an origin that exceeds its share and stops the tasks of one that does not. */
static void
origin_above_its_share_stops_no_other (void **state)
{
  Rig *rig = rig_new_sharing (1, SHARES_DATA_CENTRE);

  (void) state;
  rig->data_centre = "a";
  (void) make_fleet_on (rig, "bulk", WIDE ("1600", CHECKPOINTS), IMPACT, SERVING_CPU);
  rig->data_centre = "b";
  rig_add_job (rig, "00000000000000dd", "bulk", "{\"count\":1,\"cpu\":5000,\"estimate_ms\":90000}");
  run_rounds (rig, 2 * SETTLE_ROUNDS);
  rig_add_job (rig, SMALL_JOB, "bulk",
               "{\"count\":1,\"cpu\":1600,\"estimate_ms\":1000,\"fills\":true,\"image\":\"b\"}");
  run_rounds (rig, 5);
  assert_int_equal (rig->n_stops, 0);
  rig_free (rig);
}

typedef struct
{
  const char *name;
  const char *wide_step;
  const char *small_steps;
  double impact; /**< 0: not known */
  const char *serving_cpu;
  int64_t percent; /**< progress of the wide job's task when the small job comes; 0: as it is */
} KeepCase;

static const KeepCase keep_cases[] = {
  { "without checkpoints", WIDE ("1600", ""), SMALL ("1600"), IMPACT, SERVING_CPU, 0 },
  { "close to its end", WIDE ("1600", CHECKPOINTS), SMALL ("1600"), IMPACT, SERVING_CPU, 75 },
  { "unknown impact", WIDE ("1600", CHECKPOINTS), SMALL ("1600"), 0, SERVING_CPU, 0 },
  { "mostly free", WIDE ("1600", CHECKPOINTS), SMALL ("1600"), IMPACT, "8000", 0 },
  { "no room even then", WIDE ("1600", CHECKPOINTS), SMALL ("3200"), IMPACT, SERVING_CPU, 0 },
};

static void
task_is_kept (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (keep_cases); i++)
    {
      const KeepCase *row = &keep_cases[i];
      Rig *rig = make_fleet (1, "bulk", row->wide_step, row->impact, row->serving_cpu);
      print_message ("%s\n", row->name);
      for (uint32_t k = 0; k < rig->workers[0].n_tasks && row->percent > 0; k++)
        {
          if (is_of (&rig->workers[0].tasks[k], WIDE_JOB))
            rig->workers[0].tasks[k].percent = row->percent;
        }
      add_small_job (rig, row->small_steps);
      run_rounds (rig, 5);
      assert_null (strstr (rig->notes->str, "reason=preempted"));
      rig_free (rig);
    }
}

/* Two jobs of the same size do not stop each other's tasks. */
static void
equal_jobs_do_not_give_way (void **state)
{
  Rig *rig = make_fleet (1, "bulk", WIDE ("1600", CHECKPOINTS), IMPACT, SERVING_CPU);

  (void) state;
  rig_add_job (rig, SMALL_JOB, "bulk", WIDE ("1600", CHECKPOINTS));
  run_rounds (rig, 20);
  assert_null (strstr (rig->notes->str, "reason=preempted"));
  rig_free (rig);
}

/* A job of a less urgent queue does not stop tasks of a more urgent one. */
static void
more_urgent_job_does_not_give_way (void **state)
{
  Rig *rig = make_fleet (1, "urgent", WIDE ("1600", CHECKPOINTS), IMPACT, SERVING_CPU);

  (void) state;
  assert_int_equal (count_of (rig, WIDE_JOB), 1);
  add_small_job (rig, SMALL ("1600"));
  run_rounds (rig, 5);
  assert_null (strstr (rig->notes->str, "reason=preempted"));
  rig_free (rig);
}

#define LOAD_WORKERS 4
#define LOAD_JOBS 5
#define LOAD_GAP_ROUNDS 10
#define LOAD_ROUNDS 900

typedef struct
{
  int arrived;
  int ended; /**< 0: not yet */
} LoadJob;

static int64_t
rounds_of (const RigTask *task)
{
  if (is_of (task, WIDE_JOB))
    return WIDE_ROUNDS;
  return g_str_has_suffix (task->name, ".1.0") ? SMALL_ROUNDS : BRIEF_ROUNDS;
}

/* Ends tasks that are done. Returns the number of those of the wide job. */
static uint32_t
end_tasks (Rig *rig, LoadJob *jobs, int round)
{
  uint32_t n_wide = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      RigWorker *worker = &rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          const RigTask *task = &worker->tasks[k];
          if (is_of (task, SERVING_JOB) || task->percent < rounds_of (task))
            continue;
          n_wide += is_of (task, WIDE_JOB);
          if (g_str_has_suffix (task->name, ".1.0"))
            jobs[g_ascii_strtoull (task->name, NULL, 16) - 1].ended = round;
          rig_end (worker, worker->tasks[k].name, WORKER_END_DONE);
        }
    }
  return n_wide;
}

/* Load: small jobs, one a second, while a wide job holds the headroom of all workers. Callers of
 * the small ones get their results in time, and the wide job is done, too. */
static void
small_jobs_are_in_time_beside_a_wide_one (void **state)
{
  Rig *rig = make_fleet (LOAD_WORKERS, "bulk", WIDE ("1600", CHECKPOINTS), IMPACT, SERVING_CPU);
  LoadJob jobs[LOAD_JOBS] = { 0 };
  int n_jobs = 0;
  uint32_t n_wide = 0;

  (void) state;
  assert_int_equal (count_of (rig, WIDE_JOB), LOAD_WORKERS);
  for (int round = 1; round < LOAD_ROUNDS; round++)
    {
      if (n_jobs < LOAD_JOBS && round >= n_jobs * LOAD_GAP_ROUNDS)
        {
          g_autofree char *id = g_strdup_printf ("%016x", n_jobs + 1);
          rig_add_job (rig, id, "bulk", SMALL ("1600"));
          jobs[n_jobs++].arrived = round;
        }
      run_round (rig);
      n_wide += end_tasks (rig, jobs, round);
    }
  for (int i = 0; i < LOAD_JOBS; i++)
    {
      assert_true (jobs[i].ended > 0);
      assert_true (jobs[i].ended - jobs[i].arrived <= SMALL_OBJECTIVE_ROUNDS);
    }
  assert_int_equal (n_wide, 6);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (wide_job_gives_way_to_a_small_one),
    cmocka_unit_test (origin_above_its_share_stops_no_other),
    cmocka_unit_test (task_is_kept),
    cmocka_unit_test (equal_jobs_do_not_give_way),
    cmocka_unit_test (more_urgent_job_does_not_give_way),
    cmocka_unit_test (small_jobs_are_in_time_beside_a_wide_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
