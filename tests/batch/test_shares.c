/* Shares between origins: a load in which one origin bursts, and what the callers of each get. */
#include "rig.h"

#define N_WORKERS 4
#define ROUND_MS 50
#define BURST_AT_MS 4000
#define BURST_MS 6000
#define BURST_FACTOR 2.6
#define ARRIVALS_MS 14000
#define END_MS 60000
#define ORIGINS_MAX 3
#define JOBS_MAX 1000
#define SEEDS 5
/** A job like the users' short ones: two steps of ten tasks of 0.6 s on half a core. */
#define TASK_MS 600
#define STEP "{\"count\":10,\"cpu\":500,\"estimate_ms\":600"
#define STEPS STEP "}," STEP ",\"after\":[0]}"
#define JOB_CORE_MS (20 * TASK_MS / 2.0)
#define HUGE "{\"count\":1500,\"cpu\":500,\"estimate_ms\":600}"
/** Processors that the rig's later queue may use: a sixteenth is kept for the most urgent one. */
#define CORES (N_WORKERS * RIG_CPU_M / 1000.0 * 15 / 16)
/** Objective of the rig's queues: twice the longest chain, plus a second. */
#define OBJECTIVE_MS (2 * 2 * TASK_MS + 1000)
#define WRONG 10

typedef struct
{
  const char *name;
  uint32_t n_origins;
  double load;         /**< of all origins without the burst, relative to CORES */
  gboolean is_wrong;   /**< tasks take a tenth of, or ten times, what is declared */
  int64_t replaced_ms; /**< a new owner takes over; 0: none does */
  gboolean is_huge;    /**< the first origin has one huge job in place of the burst */
  gboolean is_quiet;   /**< it requests nothing but the burst */
} LoadCase;

typedef struct
{
  uint32_t origin;
  gboolean is_huge;
  int64_t takes_ms;
  int64_t arrived_ms;
  int64_t started_ms; /**< -1: not yet */
  int64_t ended_ms;
  uint32_t n_left;
} LoadJob;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_in_time;
  uint32_t n_late; /**< within three times the objective */
  int64_t wait_ms; /**< sum */
  int64_t wait_max_ms;
} OriginResult;

typedef struct
{
  const LoadCase *options;
  Rig *rig;
  GRand *rand;
  LoadJob jobs[JOBS_MAX];
  uint32_t n_jobs;
  int64_t ms;
  int64_t busy_ms; /**< task time until the end of the burst */
} Load;

static void
submit (Load *load, uint32_t index, gboolean may_have_started)
{
  static const char *const origins[ORIGINS_MAX] = { "a", "b", "c" };
  g_autofree char *id = g_strdup_printf ("%016x", index);

  load->rig->data_centre = origins[load->jobs[index].origin];
  rig_add_job_as (load->rig, id, "bulk", load->jobs[index].is_huge ? HUGE : STEPS,
                  may_have_started);
}

static void
add_job (Load *load, uint32_t origin, gboolean is_huge)
{
  LoadJob *job = &load->jobs[load->n_jobs];
  gboolean is_long = load->options->is_wrong && g_rand_int_range (load->rand, 0, 11) == 0;

  assert_true (load->n_jobs < JOBS_MAX);
  *job = (LoadJob){ origin, is_huge, TASK_MS, load->ms, -1, 0, is_huge ? 1500 : 20 };
  if (load->options->is_wrong)
    job->takes_ms = is_long ? TASK_MS * WRONG : TASK_MS / WRONG;
  submit (load, load->n_jobs++, FALSE);
}

static void
add_arrivals (Load *load)
{
  const LoadCase *options = load->options;
  gboolean is_burst = load->ms >= BURST_AT_MS && load->ms < BURST_AT_MS + BURST_MS;

  for (uint32_t i = 0; i < options->n_origins; i++)
    {
      double per_round = options->load * CORES * ROUND_MS / JOB_CORE_MS / options->n_origins;
      if (i == 0 && is_burst && !options->is_huge)
        per_round *= BURST_FACTOR;
      else if (i == 0 && options->is_quiet)
        per_round = 0;
      uint32_t n_draws = (uint32_t) per_round + 1;
      for (uint32_t k = 0; k < n_draws; k++)
        {
          if (g_rand_double (load->rand) < per_round / n_draws)
            add_job (load, i, FALSE);
        }
    }
  if (options->is_huge && load->ms == BURST_AT_MS)
    add_job (load, 0, TRUE);
}

/* The rig keeps all ends; these loads have more than it has room for. */
static void
drop_written_ends (RigWorker *worker)
{
  uint32_t n_written = 0;

  while (n_written < worker->n_ends && worker->ends[n_written].number <= worker->ends_acked)
    n_written++;
  worker->n_ends -= n_written;
  memmove (worker->ends, worker->ends + n_written, worker->n_ends * sizeof *worker->ends);
}

static void
end_tasks (Load *load)
{
  if (load->ms < BURST_AT_MS + BURST_MS)
    load->busy_ms += rig_running (load->rig) * ROUND_MS;
  for (uint32_t i = 0; i < N_WORKERS; i++)
    {
      RigWorker *worker = &load->rig->workers[i];
      drop_written_ends (worker);
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          RigTask *task = &worker->tasks[k];
          LoadJob *job = &load->jobs[g_ascii_strtoull (task->name, NULL, 16)];
          if (job->started_ms < 0)
            job->started_ms = load->ms;
          if (load->rig->now_us - task->started_us < job->takes_ms * 1000)
            continue;
          if (--job->n_left == 0)
            job->ended_ms = load->ms;
          rig_end (worker, task->name, WORKER_END_DONE);
        }
    }
}

static void
add_results (const Load *load, OriginResult results[ORIGINS_MAX])
{
  for (uint32_t i = 0; i < load->n_jobs; i++)
    {
      const LoadJob *job = &load->jobs[i];
      OriginResult *result = &results[job->origin];
      int64_t wait_ms = job->started_ms - job->arrived_ms;
      int64_t took_ms = job->ended_ms - job->arrived_ms;
      assert_true (job->ended_ms > 0);
      result->n_jobs++;
      result->n_in_time += took_ms <= OBJECTIVE_MS;
      result->n_late += took_ms > OBJECTIVE_MS && took_ms <= 3 * OBJECTIVE_MS;
      result->wait_ms += wait_ms;
      result->wait_max_ms = MAX (result->wait_max_ms, wait_ms);
    }
}

/* Returns the busy time until the end of the burst; @p notes gets the decisions, or is NULL. */
static int64_t
run_load (const LoadCase *options,
          SharesBy by,
          uint32_t seed,
          OriginResult results[ORIGINS_MAX],
          char **notes)
{
  Load load = { .options = options, .rand = g_rand_new_with_seed (seed) };

  load.rig = rig_new_sharing (N_WORKERS, by);
  for (load.ms = 0; load.ms < END_MS; load.ms += ROUND_MS)
    {
      if (load.ms < ARRIVALS_MS)
        add_arrivals (&load);
      if (load.ms > 0 && load.ms == options->replaced_ms)
        {
          rig_replace_owner (load.rig, 2);
          for (uint32_t i = 0; i < load.n_jobs; i++)
            submit (&load, i, TRUE);
        }
      rig_round (load.rig, ROUND_MS, TRUE);
      end_tasks (&load);
    }
  add_results (&load, results);
  if (notes != NULL)
    *notes = g_strdup (load.rig->notes->str);
  rig_free (load.rig);
  g_rand_free (load.rand);
  return load.busy_ms;
}

static void
print_results (const char *name, const char *setting, const OriginResult results[ORIGINS_MAX])
{
  for (int i = 0; i < ORIGINS_MAX && results[i].n_jobs > 0; i++)
    print_message ("%s, %s, origin %d: %u jobs, %u in time, %u late, wait mean %" G_GINT64_FORMAT
                   " ms, longest %" G_GINT64_FORMAT "\n",
                   name, setting, i, results[i].n_jobs, results[i].n_in_time, results[i].n_late,
                   results[i].wait_ms / results[i].n_jobs, results[i].wait_max_ms);
}

static const LoadCase load_cases[] = {
  { .name = "two", .n_origins = 2, .load = 0.8 },
  { .name = "three", .n_origins = 3, .load = 0.8 },
  { .name = "two, wrong", .n_origins = 2, .load = 0.8, .is_wrong = TRUE },
  { .name = "two, owner", .n_origins = 2, .load = 0.8, .replaced_ms = 7000 },
  { .name = "two, huge", .n_origins = 2, .load = 0.8, .is_huge = TRUE },
  { .name = "two, quiet", .n_origins = 2, .load = 0.8, .is_quiet = TRUE },
};

/** The others wait for at most half as long on average as without shares. */
#define WAIT_DIVISOR 2
/** Least share of their jobs in time. Their own load exceeds their share for some seconds. */
#define IN_TIME_PERCENT 92
/** Least number of jobs in time of all origins, relative to that without shares: who waits changes,
 * and more jobs have begun when they have to wait. */
#define ALL_IN_TIME_PERCENT 90
/** Least busy time of the processors, relative to that without shares. */
#define BUSY_PERCENT 99

/* Guards against a burst of one origin that makes the others wait, against processors that idle for
 * fairness, and against an origin whose jobs do not end. */
static void
others_do_not_wait_for_a_burst (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      const LoadCase *row = &load_cases[i];
      OriginResult off[ORIGINS_MAX] = { 0 };
      OriginResult on[ORIGINS_MAX] = { 0 };
      int64_t busy_ms[2] = { 0, 0 };
      for (uint32_t seed = 1; seed <= SEEDS; seed++)
        {
          busy_ms[0] += run_load (row, SHARES_NONE, seed, off, NULL);
          busy_ms[1] += run_load (row, SHARES_DATA_CENTRE, seed, on, NULL);
        }
      print_results (row->name, "off", off);
      print_results (row->name, "on", on);
      assert_true (busy_ms[1] * 100 >= busy_ms[0] * BUSY_PERCENT);
      OriginResult all[2] = { off[0], on[0] };
      for (uint32_t k = 1; k < row->n_origins; k++)
        {
          all[0].n_in_time += off[k].n_in_time;
          all[1].n_in_time += on[k].n_in_time;
          assert_true (row->is_huge || on[k].wait_ms * WAIT_DIVISOR <= off[k].wait_ms);
          assert_true (on[k].n_in_time * 100 >= on[k].n_jobs * IN_TIME_PERCENT
                       || (row->is_wrong && on[k].n_in_time > off[k].n_in_time));
        }
      assert_true (all[1].n_in_time * 100 >= all[0].n_in_time * ALL_IN_TIME_PERCENT);
    }
}

/* Guards against decisions that change while no task is left waiting. */
static void
decisions_are_as_before_while_nothing_waits (void **state)
{
  static const LoadCase light = { .name = "light", .n_origins = 2, .load = 0.2 };
  OriginResult results[ORIGINS_MAX] = { 0 };
  g_autoptr (GRegex) begun = g_regex_new ("begun [^\n]*\n", 0, 0, NULL);
  char *notes[2] = { NULL, NULL };

  (void) state;
  run_load (&light, SHARES_NONE, 1, results, &notes[0]);
  run_load (&light, SHARES_DATA_CENTRE, 1, results, &notes[1]);
  g_autofree char *decisions = g_regex_replace_literal (begun, notes[1], -1, 0, "", 0, NULL);
  assert_true (results[0].n_jobs > 20);
  assert_string_equal (decisions, notes[0]);
  g_free (notes[0]);
  g_free (notes[1]);
}

/* One worker. Origin "a" fills it but for a task of "c"; a job of "a" and one of "b" wait for that
 * to end. The one of "a" is smaller, and goes first unless its origin exceeds its share. */

#define FILLER_JOB "00000000000000aa"
#define OWN_JOB "00000000000000bb"
#define OTHER_JOB "00000000000000cc"
#define LAST_JOB "00000000000000dd"
#define FILLER(ms, more) "{\"count\":14,\"cpu\":990,\"estimate_ms\":" #ms more "}"
#define LAST "{\"count\":1,\"cpu\":1000,\"estimate_ms\":60000}"
#define OTHER "{\"count\":1,\"cpu\":1000,\"estimate_ms\":100}"
#define OWN(ms, more) "{\"count\":1,\"cpu\":900,\"estimate_ms\":" #ms more "}"
/** Its first step fits beside the others, and has ended. */
#define OWN_BEGUN(ms) "{\"count\":1,\"cpu\":100,\"estimate_ms\":100}," OWN (ms, ",\"after\":[0]")

typedef struct
{
  const char *name;
  SharesBy by;
  const char *queue; /**< of the tasks of "a" that run; NULL: that of the jobs that wait */
  const char *filler;
  const char *own;
  int64_t other_waits_ms; /**< before the job of "a" comes */
  gboolean is_replaced;   /**< a new owner takes over just before that */
  gboolean is_other_first;
} OrderCase;

#define BUSY FILLER (60000, "")
/** Fills what 13 tasks of "a" leave, which then end in place of that of "c". */
#define N_ENDS 13
#define OWN_WIDE "{\"count\":20,\"cpu\":900,\"estimate_ms\":4}"
#define BRIEF OWN (100, "")
static const OrderCase order_cases[] = {
  { "share", SHARES_DATA_CENTRE, NULL, BUSY, BRIEF, 0, FALSE, TRUE },
  { "both", SHARES_BOTH, NULL, BUSY, BRIEF, 0, FALSE, TRUE },
  { "off", SHARES_NONE, NULL, BUSY, BRIEF, 0, FALSE, FALSE },
  { "one queue", SHARES_QUEUE, NULL, BUSY, BRIEF, 0, FALSE, FALSE },
  { "other priority", SHARES_DATA_CENTRE, "urgent", FILLER (100, ""), BRIEF, 0, FALSE, FALSE },
  { "beside serving", SHARES_DATA_CENTRE, NULL, FILLER (60000, ",\"long_running\":true"), BRIEF, 0,
    FALSE, FALSE },
  { "serving", SHARES_DATA_CENTRE, NULL, BUSY, OWN (100, ",\"long_running\":true"), 0, FALSE,
    FALSE },
  { "begun", SHARES_DATA_CENTRE, NULL, BUSY, OWN_BEGUN (100), 0, FALSE, FALSE },
  { "begun, huge", SHARES_DATA_CENTRE, NULL, BUSY, OWN_BEGUN (60000), 0, FALSE, TRUE },
  { "useless", SHARES_DATA_CENTRE, NULL, BUSY, BRIEF, 4000, FALSE, FALSE },
  { "ends at once", SHARES_DATA_CENTRE, NULL, BUSY, OWN_WIDE, 2500, FALSE, TRUE },
  { "new owner", SHARES_DATA_CENTRE, NULL, BUSY, BRIEF, 0, TRUE, TRUE },
};

static void
run_rounds (Rig *rig, int64_t ms)
{
  for (; ms > 0; ms -= ROUND_MS)
    rig_round (rig, ROUND_MS, TRUE);
}

static void
add_running (Rig *rig, const OrderCase *row, gboolean may_have_started)
{
  rig->data_centre = "a";
  rig_add_job_as (rig, FILLER_JOB, row->queue != NULL ? row->queue : "bulk", row->filler,
                  may_have_started);
  rig->data_centre = "c";
  rig_add_job_as (rig, LAST_JOB, "bulk", LAST, may_have_started);
}

/* Returns whether the job of "b" was started. */
static gboolean
run_order (Rig *rig, const OrderCase *row)
{
  rig_round (rig, ROUND_MS, TRUE);
  add_running (rig, row, FALSE);
  run_rounds (rig, 1000);
  assert_int_equal (rig->workers[0].n_tasks, 15);
  if (row->is_replaced)
    {
      rig_replace_owner (rig, 2);
      add_running (rig, row, TRUE);
    }
  rig->data_centre = "b";
  rig_add_job (rig, OTHER_JOB, "bulk", OTHER);
  run_rounds (rig, row->other_waits_ms);
  rig->data_centre = "a";
  rig_add_job (rig, OWN_JOB, "bulk", row->own);
  run_rounds (rig, 2 * ROUND_MS);
  if (rig_worker_of (rig, OWN_JOB ".0.0.0") != NULL)
    rig_end (&rig->workers[0], OWN_JOB ".0.0.0", WORKER_END_DONE);
  run_rounds (rig, 2 * ROUND_MS);
  gboolean is_wide = strcmp (row->own, OWN_WIDE) == 0;
  if (!is_wide)
    rig_end (&rig->workers[0], LAST_JOB ".0.0.0", WORKER_END_DONE);
  for (int i = 0; is_wide && i < N_ENDS; i++)
    {
      g_autofree char *name = g_strdup_printf (FILLER_JOB ".0.0.%d", i);
      rig_end (&rig->workers[0], name, WORKER_END_DONE);
    }
  run_rounds (rig, 2 * ROUND_MS);
  return rig_worker_of (rig, OTHER_JOB ".0.0.0") != NULL;
}

/* Guards against an origin above its share that goes first, and one that is held back although it
 * is within it. */
static void
job_within_its_share_goes_first (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (order_cases); i++)
    {
      Rig *rig = rig_new_sharing (1, order_cases[i].by);
      print_message ("%s\n", order_cases[i].name);
      assert_int_equal (run_order (rig, &order_cases[i]), order_cases[i].is_other_first);
      rig_free (rig);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (others_do_not_wait_for_a_burst),
          cmocka_unit_test (decisions_are_as_before_while_nothing_waits),
          cmocka_unit_test (job_within_its_share_goes_first) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
