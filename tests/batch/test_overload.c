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
#define JOBS_MAX 200
/** Least share of jobs in time, relative to the capacity of the workers: only the start and the end
 * of the load are lost. */
#define IN_TIME_PERCENT 80

typedef struct
{
  int64_t arrived_ms;
  int64_t ended_ms;
  uint32_t n_done;
} LoadJob;

typedef struct
{
  Rig *rig;
  LoadJob jobs[JOBS_MAX];
  uint32_t n_jobs;
  int64_t ms;
} Load;

static void
add_job (Load *load)
{
  g_autofree char *id = g_strdup_printf ("%016x", load->n_jobs);

  load->jobs[load->n_jobs++].arrived_ms = load->ms;
  rig_add_job (load->rig, id, "bulk", STEPS);
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
          if (++job->n_done == TASKS)
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
      assert_int_equal (job->n_done, TASKS);
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

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (jobs_within_capacity_are_in_time_under_overload) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
