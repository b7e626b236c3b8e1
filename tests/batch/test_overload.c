/* Jobs that meet their objective when more jobs arrive than the workers can process. */
#include "rig.h"

#define N_WORKERS 4
#define ROUND_MS 100
#define ARRIVALS_MS 40000
/** Each job has two steps of eight tasks; a worker has capacity for eight tasks. */
#define STEPS                                                                                      \
  "{\"count\":8,\"cpu\":2000,\"estimate_ms\":1700},"                                               \
  "{\"count\":8,\"cpu\":2000,\"estimate_ms\":1700,\"after\":[0]}"
#define TASKS 16
#define TASK_ROUNDS 17
/** Objective of the rig's queues: twice the longest chain of work, plus a second. */
#define OBJECTIVE_MS (2 * 2 * TASK_ROUNDS * ROUND_MS + 1000)
#define JOBS_MAX 400
/** Least share of jobs in time, relative to the capacity of the workers: only the start and the end
 * of the load are lost. */
#define IN_TIME_PERCENT 80

/** A job of a quarter of the width. */
#define SMALL_STEPS                                                                                \
  "{\"count\":2,\"cpu\":2000,\"estimate_ms\":1700},"                                               \
  "{\"count\":2,\"cpu\":2000,\"estimate_ms\":1700,\"after\":[0]}"
#define SMALL_TASKS 4

typedef struct
{
  int64_t arrived_ms;
  int64_t ended_ms;
  uint32_t n_tasks;
  uint32_t n_done;
} LoadJob;

typedef struct
{
  Rig *rig;
  gboolean has_small_jobs; /**< every second job is small */
  LoadJob jobs[JOBS_MAX];
  uint32_t n_jobs;
  int64_t ms;
} Load;

static void
add_job (Load *load)
{
  g_autofree char *id = g_strdup_printf ("%016x", load->n_jobs);
  gboolean is_small = load->has_small_jobs && load->n_jobs % 2 == 1;

  load->jobs[load->n_jobs].n_tasks = is_small ? SMALL_TASKS : TASKS;
  load->jobs[load->n_jobs++].arrived_ms = load->ms;
  rig_add_job (load->rig, id, "bulk", is_small ? SMALL_STEPS : STEPS);
}

static void
end_tasks (Load *load)
{
  for (uint32_t i = 0; i < load->rig->n_workers; i++)
    {
      RigWorker *worker = &load->rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          if (worker->tasks[k].percent < TASK_ROUNDS)
            continue;
          LoadJob *job = &load->jobs[g_ascii_strtoull (worker->tasks[k].name, NULL, 16)];
          rig_end (worker, worker->tasks[k].name, WORKER_END_DONE);
          if (++job->n_done == job->n_tasks)
            job->ended_ms = load->ms;
        }
    }
}

/* Submits a job every @p gap_ms; returns the number of jobs that are done in time. */
static uint32_t
run_load (Load *load, int64_t gap_ms)
{
  uint32_t n_in_time = 0;

  load->rig = rig_new (N_WORKERS);
  for (load->ms = 0; load->ms < ARRIVALS_MS * 4; load->ms += ROUND_MS)
    {
      if (load->ms < ARRIVALS_MS && load->ms >= load->n_jobs * gap_ms)
        add_job (load);
      rig_round (load->rig, ROUND_MS, TRUE);
      end_tasks (load);
    }
  for (uint32_t i = 0; i < load->n_jobs; i++)
    {
      const LoadJob *job = &load->jobs[i];
      assert_int_equal (job->n_done, job->n_tasks);
      n_in_time += job->ended_ms - job->arrived_ms <= OBJECTIVE_MS;
    }
  rig_free (load->rig);
  return n_in_time;
}

static uint32_t
capacity_jobs (void)
{
  int64_t slots = (int64_t) N_WORKERS * RIG_CPU_M / 2000;

  return (uint32_t) (slots * ARRIVALS_MS / (ROUND_MS * TASK_ROUNDS) / TASKS);
}

typedef struct
{
  const char *name;
  int64_t load_percent; /**< relative to the capacity of the workers */
} Case;

static const Case cases[]
    = { { "just full", 100 }, { "a quarter more", 125 }, { "half more", 150 }, { "twice", 200 } };

/* Under overload the jobs that fit are done in time, instead of all jobs being late. */
static void
jobs_within_capacity_are_in_time_under_overload (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Load load = { .n_jobs = 0 };
      int64_t gap_ms = ARRIVALS_MS * 100 / (capacity_jobs () * cases[i].load_percent);
      uint32_t n_in_time = run_load (&load, gap_ms);
      print_message ("%s: %u of %u in time, capacity for %u\n", cases[i].name, n_in_time,
                     load.n_jobs, capacity_jobs ());
      assert_true (n_in_time * 100 >= MIN (capacity_jobs (), load.n_jobs) * IN_TIME_PERCENT);
    }
}

static uint32_t
count_in_time (const Load *load, uint32_t n_tasks)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < load->n_jobs; i++)
    count += load->jobs[i].n_tasks == n_tasks
             && load->jobs[i].ended_ms - load->jobs[i].arrived_ms <= OBJECTIVE_MS;
  return count;
}

/** Load of large and small jobs, relative to the capacity of the workers. */
#define MIXED_LOAD_PERCENT 150
/** Least share of the small jobs in time: all of them fit, but for the start of the load. */
#define SMALL_IN_TIME_PERCENT 95

/* Load: large and small jobs in turn, half more than the workers can process. Small jobs are in
 * time, as they need little of what is short. Large ones are served at least half as often as all:
 * the users' rule on sizes. */
static void
small_jobs_are_in_time_under_overload (void **state)
{
  Load load = { .has_small_jobs = TRUE };
  int64_t full_gap_ms = ARRIVALS_MS / capacity_jobs ();
  int64_t gap_ms = full_gap_ms * (TASKS + SMALL_TASKS) / 2 / TASKS * 100 / MIXED_LOAD_PERCENT;

  (void) state;
  uint32_t n_in_time = run_load (&load, gap_ms);
  uint32_t n_small = load.n_jobs / 2;
  uint32_t n_large = load.n_jobs - n_small;
  uint32_t n_small_in_time = count_in_time (&load, SMALL_TASKS);
  uint32_t n_large_in_time = count_in_time (&load, TASKS);
  print_message ("%u of %u small jobs in time, %u of %u large ones\n", n_small_in_time, n_small,
                 n_large_in_time, n_large);
  assert_true (n_small_in_time * 100 >= n_small * SMALL_IN_TIME_PERCENT);
  assert_true (n_large_in_time * load.n_jobs * 2 >= n_in_time * n_large);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (jobs_within_capacity_are_in_time_under_overload),
          cmocka_unit_test (small_jobs_are_in_time_under_overload) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
