/* Reservations for large tasks: the arithmetic, and a load in which short tasks of a later queue
 * take whatever becomes free before a large task fits. */
#include "batch/gaps.h"
#include "rig.h"

#define CPU(m) ((JobSize){ .cpu_m = (m) })

typedef struct
{
  const char *name;
  int64_t free_m;
  GapsEnd ends[3];
  int64_t wanted_m;
  gboolean fits; /**< by the time 1000; now is 100 */
  int64_t at_us;
  int64_t spare_m;
  gboolean is_freed_at_once;
} FitCase;

static const FitCase fit_cases[] = {
  { "fits now", 4000, { { CPU (0), 0 } }, 3000, TRUE, 100, 1000, FALSE },
  { "two ends", 500, { { CPU (2000), 700 }, { CPU (2000), 300 } }, 4000, TRUE, 700, 500, FALSE },
  { "order of time",
    0,
    { { CPU (1), 900 }, { CPU (3), 200 }, { CPU (2), 400 } },
    5,
    TRUE,
    400,
    0,
    FALSE },
  { "ends at one time", 0, { { CPU (3), 200 }, { CPU (3), 200 } }, 3, TRUE, 200, 3, TRUE },
  { "an end that is due", 1, { { CPU (2), 50 } }, 3, TRUE, 100, 0, FALSE },
  { "one end suffices", 500, { { CPU (4000), 300 } }, 4000, TRUE, 300, 500, TRUE },
  { "too late", 500, { { CPU (2000), 700 }, { CPU (2000), 1001 } }, 4000, FALSE, 0, 0, FALSE },
  { "never", 500, { { CPU (2000), 700 } }, 4000, FALSE, 0, 0, FALSE },
  { "more in use than there is", -1000, { { CPU (2), 200 } }, 1, FALSE, 0, 0, FALSE },
};

/* Guards against reservations at the wrong time. */
static void
task_fits_at_the_earliest_time (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (fit_cases); i++)
    {
      FitCase row = fit_cases[i];
      GapsWorker worker = { .free = CPU (row.free_m), .ends = row.ends };
      GapsFit fit;
      while (worker.n_ends < G_N_ELEMENTS (row.ends) && row.ends[worker.n_ends].size.cpu_m > 0)
        worker.n_ends++;
      print_message ("%s\n", row.name);
      assert_int_equal (gaps_fit (&worker, &CPU (row.wanted_m), 100, 1000, &fit), row.fits);
      if (!row.fits)
        continue;
      assert_int_equal (fit.at_us, row.at_us);
      assert_int_equal (fit.spare.cpu_m, row.spare_m);
      assert_int_equal (fit.is_freed_at_once, row.is_freed_at_once);
    }
}

/* Guards against a task that is reserved for by processors alone and lacks memory or a GPU. */
static void
all_resources_count (void **state)
{
  GapsEnd ends[] = { { { .cpu_m = 4, .mem_mb = 1 }, 200 }, { { .mem_mb = 4, .gpus = 1 }, 300 } };
  GapsWorker worker = { .ends = ends, .n_ends = 2 };
  GapsFit fit;

  (void) state;
  assert_true (gaps_fit (&worker, &(JobSize){ 4, 2, 0 }, 100, 1000, &fit));
  assert_int_equal (fit.at_us, 300);
  assert_int_equal (fit.spare.mem_mb, 3);
  assert_false (gaps_delays (&fit, &(JobSize){ 0, 3, 1 }, 301));
  assert_true (gaps_delays (&fit, &(JobSize){ 1, 0, 0 }, 301));
  assert_true (gaps_delays (&fit, &(JobSize){ 0, 4, 0 }, 301));
  assert_true (gaps_delays (&fit, &(JobSize){ 0, 0, 2 }, 301));
}

/* Guards against backfilling that takes what is reserved, also in several steps. */
static void
only_what_ends_before_or_is_spare_is_admitted (void **state)
{
  GapsFit fit = { .at_us = 500, .spare = CPU (3) };

  (void) state;
  assert_false (gaps_delays (&fit, &CPU (100), 500));
  assert_true (gaps_delays (&fit, &CPU (4), 501));
  assert_false (gaps_delays (&fit, &CPU (3), 501));
  gaps_take (&fit, &CPU (100), 500);
  assert_false (gaps_delays (&fit, &CPU (2), 501));
  gaps_take (&fit, &CPU (2), 501);
  assert_true (gaps_delays (&fit, &CPU (2), 501));
  assert_false (gaps_delays (&fit, &CPU (1), 501));
}

/* The load. */

#define N_WORKERS 6
#define ROUND_MS 100
#define ARRIVALS_MS 20000
#define END_MS 40000
#define SMALL_MS 600
#define LARGE_MS 2000
#define SMALL "{\"count\":1,\"cpu\":2000,\"estimate_ms\":600}"
#define LARGE "{\"count\":1,\"cpu\":7000,\"estimate_ms\":2000}"
/** Seven short tasks fit on a worker, as a sixteenth of it is kept for the most urgent queue. */
#define SLOTS (N_WORKERS * 7)
#define LARGE_EVERY_MS 1500
/** Objective of the rig's queues for a short job: twice its chain, plus a second. */
#define SMALL_OBJECTIVE_MS (2 * SMALL_MS + 1000)
#define JOBS_MAX 3000
#define SEEDS 5
/** Factor by which the durations differ from the estimates, which cannot be learned. */
#define WRONG 10

typedef struct
{
  const char *name;
  int64_t small_percent; /**< load of short tasks, in percent of the slots */
  gboolean is_wrong;     /**< half of the short tasks take a tenth, half ten times as long */
  int64_t replaced_ms;   /**< a new owner takes over; 0: none does */
} LoadCase;

typedef struct
{
  gboolean is_large;
  int64_t takes_ms;
  int64_t arrived_ms;
  int64_t started_ms; /**< -1: not yet */
  int64_t ended_ms;
} LoadJob;

typedef struct
{
  const LoadCase *options;
  Rig *rig;
  GRand *rand;
  LoadJob jobs[JOBS_MAX];
  uint32_t n_jobs;
  int64_t ms;
} Load;

typedef struct
{
  uint32_t n_large;
  int64_t large_wait_ms; /**< sum */
  int64_t large_wait_max_ms;
  uint32_t n_small;
  uint32_t n_small_in_time;
  int64_t small_wait_max_ms;
  uint32_t n_reserved;
  uint32_t n_used;
  uint32_t n_dropped;
} LoadResult;

static void
submit (Load *load, uint32_t index, gboolean may_have_started)
{
  g_autofree char *id = g_strdup_printf ("%016x", index);
  gboolean is_large = load->jobs[index].is_large;

  rig_add_job_as (load->rig, id, is_large ? "urgent" : "bulk", is_large ? LARGE : SMALL,
                  may_have_started);
}

static void
add_job (Load *load, gboolean is_large)
{
  LoadJob *job = &load->jobs[load->n_jobs];

  assert_true (load->n_jobs < JOBS_MAX);
  job->is_large = is_large;
  job->takes_ms = is_large ? LARGE_MS : SMALL_MS;
  if (!is_large && load->options->is_wrong)
    job->takes_ms = g_rand_boolean (load->rand) ? SMALL_MS / WRONG : SMALL_MS * WRONG;
  job->arrived_ms = load->ms;
  job->started_ms = -1;
  submit (load, load->n_jobs++, FALSE);
}

static double
mean_small_ms (const LoadCase *options)
{
  return options->is_wrong ? (1.0 / WRONG + WRONG) * SMALL_MS / 2 : SMALL_MS;
}

static void
add_arrivals (Load *load)
{
  double per_round
      = SLOTS * ROUND_MS / mean_small_ms (load->options) * load->options->small_percent / 100;

  for (int i = 0; i < 2 * per_round + 1; i++)
    {
      if (g_rand_double (load->rand) < per_round / (int) (2 * per_round + 1))
        add_job (load, FALSE);
    }
  if (load->ms % LARGE_EVERY_MS == 0 && load->ms > 0)
    add_job (load, TRUE);
}

static void
end_tasks (Load *load)
{
  for (uint32_t i = 0; i < load->rig->n_workers; i++)
    {
      RigWorker *worker = &load->rig->workers[i];
      for (uint32_t k = worker->n_tasks; k-- > 0;)
        {
          RigTask *task = &worker->tasks[k];
          LoadJob *job = &load->jobs[g_ascii_strtoull (task->name, NULL, 16)];
          if (job->started_ms < 0)
            job->started_ms = load->ms;
          if (load->rig->now_us - task->started_us < job->takes_ms * 1000)
            continue;
          job->ended_ms = load->ms;
          rig_end (worker, task->name, WORKER_END_DONE);
        }
    }
}

/* The new owner knows the jobs and what was written of them. */
static void
replace_owner (Load *load)
{
  rig_replace_owner (load->rig, 2);
  for (uint32_t i = 0; i < load->n_jobs; i++)
    submit (load, i, TRUE);
}

static uint32_t
count_notes (const Rig *rig, const char *event)
{
  uint32_t count = 0;

  for (const char *at = rig->notes->str; (at = strstr (at, event)) != NULL; at++)
    count++;
  return count;
}

static void
add_results (const Load *load, LoadResult *result)
{
  for (uint32_t i = 0; i < load->n_jobs; i++)
    {
      const LoadJob *job = &load->jobs[i];
      int64_t wait_ms = job->started_ms - job->arrived_ms;
      assert_true (job->ended_ms > 0);
      if (job->is_large)
        {
          result->n_large++;
          result->large_wait_ms += wait_ms;
          result->large_wait_max_ms = MAX (result->large_wait_max_ms, wait_ms);
          continue;
        }
      result->n_small++;
      result->n_small_in_time += wait_ms + SMALL_MS <= SMALL_OBJECTIVE_MS;
      result->small_wait_max_ms = MAX (result->small_wait_max_ms, wait_ms);
    }
  result->n_reserved += count_notes (load->rig, "gap_reserved ");
  result->n_used += count_notes (load->rig, "gap_used ");
  result->n_dropped += count_notes (load->rig, "gap_dropped ");
}

static void
play_load (Load *load, gboolean reserves_gaps)
{
  load->rig = rig_new_with (N_WORKERS, reserves_gaps);
  for (load->ms = 0; load->ms < END_MS; load->ms += ROUND_MS)
    {
      if (load->ms < ARRIVALS_MS)
        add_arrivals (load);
      if (load->ms > 0 && load->ms == load->options->replaced_ms)
        replace_owner (load);
      rig_round (load->rig, ROUND_MS, TRUE);
      end_tasks (load);
    }
}

static void
close_load (Load *load)
{
  rig_free (load->rig);
  g_rand_free (load->rand);
}

static void
run_load (const LoadCase *options, gboolean reserves_gaps, uint32_t seed, LoadResult *result)
{
  Load load = { .options = options, .rand = g_rand_new_with_seed (seed) };

  play_load (&load, reserves_gaps);
  add_results (&load, result);
  close_load (&load);
}

static const LoadCase load_cases[] = {
  { "70 %", 70, FALSE, 0 },           { "80 %", 80, FALSE, 0 },
  { "90 %", 90, FALSE, 0 },           { "100 %", 100, FALSE, 0 },
  { "80 %, wrong", 80, TRUE, 0 },     { "90 %, wrong", 90, TRUE, 0 },
  { "90 %, owner", 90, FALSE, 7000 },
};

static void
print_result (const char *name, const char *setting, const LoadResult *result)
{
  print_message ("%s, %s: large jobs wait %" G_GINT64_FORMAT " ms, at most %" G_GINT64_FORMAT
                 "; short ones: %u of %u in time, wait at most %" G_GINT64_FORMAT
                 "; reservations %u, used %u, dropped %u\n",
                 name, setting, result->large_wait_ms / result->n_large, result->large_wait_max_ms,
                 result->n_small_in_time, result->n_small, result->small_wait_max_ms,
                 result->n_reserved, result->n_used, result->n_dropped);
}

/** With right estimates, large jobs wait for a third of the time or less, and not for longer than a
 * reservation looks ahead. */
#define WAIT_DIVISOR 3
#define WAIT_MAX_MS 2000
/** Large tasks use this share of the processors that short ones may use, in percent. The share of
 * the short jobs in time may fall by as much where all processors are in use. */
#define LARGE_WORK_PERCENT (7000 * LARGE_MS / LARGE_EVERY_MS * 100 / (SLOTS * 2000))

/* Guards against large jobs that wait while ten times what they need becomes free every second, and
 * against short jobs that pay more for it than the work of the large ones. */
static void
large_jobs_wait_less (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      const LoadCase *row = &load_cases[i];
      LoadResult off = { 0 };
      LoadResult on = { 0 };
      for (uint32_t seed = 1; seed <= SEEDS; seed++)
        {
          run_load (row, FALSE, seed, &off);
          run_load (row, TRUE, seed, &on);
        }
      print_result (row->name, "off", &off);
      print_result (row->name, "on", &on);
      assert_int_equal (off.n_reserved, 0);
      assert_true (on.large_wait_ms * (row->is_wrong ? 1 : WAIT_DIVISOR) <= off.large_wait_ms);
      assert_true (row->is_wrong || on.large_wait_max_ms <= WAIT_MAX_MS);
      assert_true (on.n_small_in_time * 100 + on.n_small * LARGE_WORK_PERCENT
                   >= off.n_small_in_time * 100);
    }
}

/** Load at which nothing waits. */
static const LoadCase light_load = { "light", 30, FALSE, 0 };

/* Guards against decisions that change while no task waits for processors or memory. */
static void
decisions_are_as_before_while_nothing_waits (void **state)
{
  char *notes[2] = { NULL, NULL };

  (void) state;
  for (int i = 0; i < 2; i++)
    {
      Load load = { .options = &light_load, .rand = g_rand_new_with_seed (1) };
      LoadResult result = { 0 };
      play_load (&load, i == 1);
      add_results (&load, &result);
      assert_true (result.n_small > 100 && result.small_wait_max_ms == 0);
      notes[i] = g_strdup (load.rig->notes->str);
      close_load (&load);
    }
  assert_string_equal (notes[0], notes[1]);
  g_free (notes[0]);
  g_free (notes[1]);
}

/* One worker. Short tasks run there that never end, a large one waits, and a short one comes. */

/** Longest time for which a reservation keeps a task off a worker, and a round. */
#define BOUND_ROUNDS (3000 / ROUND_MS + 1)
#define FILLER(n) "{\"count\":" #n ",\"cpu\":2000,\"estimate_ms\":"
/** With it, half of a filler stays free. */
#define WIDE "{\"count\":1,\"cpu\":15000,\"estimate_ms\":2000}"
#define LONG_SMALL "{\"count\":1,\"cpu\":2000,\"estimate_ms\":60000}"
#define FILLER_JOB "00000000000000aa"
#define LARGE_JOB "00000000000000bb"
#define SMALL_JOB "00000000000000cc"
#define SMALL_TASK SMALL_JOB ".0.0.0"

typedef struct
{
  const char *name;
  const char *fillers;
  const char *large;
  const char *small_queue;
  const char *small;
  gboolean is_off;
  gboolean is_reserved;
  gboolean is_held;
} HoldCase;

static const HoldCase hold_cases[] = {
  { "held", FILLER (6) "600}", WIDE, "bulk", LONG_SMALL, FALSE, TRUE, TRUE },
  { "setting", FILLER (6) "600}", WIDE, "bulk", LONG_SMALL, TRUE, FALSE, FALSE },
  { "ends before", FILLER (6) "600}", WIDE, "bulk", FILLER (1) "400}", FALSE, TRUE, FALSE },
  { "ends too late", FILLER (6) "600}", WIDE, "bulk", FILLER (1) "800}", FALSE, TRUE, TRUE },
  { "fits beside", FILLER (6) "600}", WIDE, "bulk",
    "{\"count\":1,\"cpu\":1000,\"estimate_ms\":60000}", FALSE, TRUE, FALSE },
  { "comes earlier", FILLER (6) "600}", WIDE, "urgent",
    "{\"count\":1,\"cpu\":2000,\"estimate_ms\":1000}", FALSE, TRUE, FALSE },
  { "mostly free", FILLER (4) "600}", WIDE, "bulk", LONG_SMALL, FALSE, FALSE, FALSE },
  { "one end suffices", "{\"count\":1,\"cpu\":12000,\"estimate_ms\":600}",
    "{\"count\":1,\"cpu\":12000,\"estimate_ms\":2000}", "bulk", LONG_SMALL, FALSE, FALSE, FALSE },
  { "too far ahead", FILLER (6) "3000}", WIDE, "bulk", LONG_SMALL, FALSE, FALSE, FALSE },
  { "serving tasks do not end", FILLER (6) "600,\"long_running\":true}", WIDE, "bulk", LONG_SMALL,
    FALSE, FALSE, FALSE },
  { "gang", FILLER (6) "600}", "{\"count\":2,\"cpu\":7500,\"estimate_ms\":2000,\"gang\":true}",
    "bulk", LONG_SMALL, FALSE, FALSE, FALSE },
  { "memory", "{\"count\":6,\"cpu\":2000,\"mem_mb\":10000,\"estimate_ms\":600}",
    "{\"count\":1,\"cpu\":100,\"mem_mb\":61000,\"estimate_ms\":2000}", "bulk",
    "{\"count\":1,\"cpu\":100,\"mem_mb\":4000,\"estimate_ms\":60000}", FALSE, TRUE, TRUE },
  { "best effort", FILLER (6) "600}",
    "{\"count\":1,\"cpu\":19000,\"estimate_ms\":2000,\"fills\":true}", "bulk", LONG_SMALL, FALSE,
    TRUE, TRUE },
  { "not large", "{\"count\":156,\"cpu\":100,\"estimate_ms\":600}",
    "{\"count\":1,\"cpu\":900,\"estimate_ms\":600}", "bulk",
    "{\"count\":1,\"cpu\":100,\"long_running\":true}", FALSE, FALSE, FALSE },
  { "label", FILLER (6) "600}",
    "{\"count\":1,\"cpu\":15000,\"estimate_ms\":2000,\"required_label\":\"none\"}", "bulk",
    LONG_SMALL, FALSE, FALSE, FALSE },
};

/* Guards against reservations that keep off more than they should, or for longer than their bound
 * when the tasks that run do not end as expected. */
static void
short_task_is_held_for_a_bounded_time (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (hold_cases); i++)
    {
      const HoldCase *row = &hold_cases[i];
      Rig *rig = rig_new_with (1, !row->is_off);
      int n_rounds = 0;
      print_message ("%s\n", row->name);
      rig_round (rig, ROUND_MS, TRUE);
      rig_add_job (rig, FILLER_JOB, "urgent", row->fillers);
      rig_round (rig, ROUND_MS, TRUE);
      rig_add_job (rig, LARGE_JOB, "urgent", row->large);
      rig_add_job (rig, SMALL_JOB, row->small_queue, row->small);
      rig_round (rig, ROUND_MS, TRUE);
      assert_int_equal (rig_find (&rig->workers[0], SMALL_TASK) == NULL, row->is_held);
      assert_int_equal (count_notes (rig, "gap_reserved "), row->is_reserved);
      while (rig_find (&rig->workers[0], SMALL_TASK) == NULL && n_rounds <= BOUND_ROUNDS)
        {
          rig_round (rig, ROUND_MS, TRUE);
          n_rounds++;
        }
      assert_true (n_rounds <= BOUND_ROUNDS);
      assert_int_equal (count_notes (rig, "gap_dropped "), row->is_held);
      rig_free (rig);
    }
}

#define SECOND_JOB "00000000000000dd"

typedef struct
{
  const char *name;
  uint32_t n_workers;
  gboolean has_second_job;
} BarCase;

static const BarCase bar_cases[] = {
  { "another worker for the same step", 2, FALSE },
  { "the same worker for another step", 1, TRUE },
};

/* Guards against reservations that follow one another, so that wrong estimates would keep tasks off
 * a worker, or a step without a result, for longer than the bound. */
static void
dropped_reservation_is_not_made_again_at_once (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (bar_cases); i++)
    {
      Rig *rig = rig_new_with (bar_cases[i].n_workers, TRUE);
      int n_rounds = 0;
      print_message ("%s\n", bar_cases[i].name);
      rig_round (rig, ROUND_MS, TRUE);
      rig_add_job (rig, FILLER_JOB, "urgent",
                   bar_cases[i].n_workers == 1 ? FILLER (6) "600}" : FILLER (12) "600}");
      rig_round (rig, ROUND_MS, TRUE);
      rig_add_job (rig, LARGE_JOB, "urgent", WIDE);
      if (bar_cases[i].has_second_job)
        rig_add_job (rig, SECOND_JOB, "bulk", WIDE);
      for (; count_notes (rig, "gap_dropped ") == 0 && n_rounds <= BOUND_ROUNDS; n_rounds++)
        rig_round (rig, ROUND_MS, TRUE);
      assert_int_equal (count_notes (rig, "gap_dropped "), 1);
      for (int k = 0; k < n_rounds - 2; k++)
        rig_round (rig, ROUND_MS, TRUE);
      assert_int_equal (count_notes (rig, "gap_reserved "), 1);
      rig_free (rig);
    }
}

/* Guards against reservations that together keep later tasks off many workers. */
static void
one_reservation_for_each_priority (void **state)
{
  Rig *rig = rig_new_with (2, TRUE);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, FILLER_JOB, "urgent", FILLER (12) "600}");
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, LARGE_JOB, "urgent", WIDE);
  rig_add_job (rig, SECOND_JOB, "urgent", WIDE);
  for (int i = 0; i < 4; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_notes (rig, "gap_reserved "), 1);
  rig_free (rig);
}

/* Guards against the reservation of a worker without the label, where tasks end sooner. */
static void
reserved_worker_has_the_label (void **state)
{
  Rig *rig = rig_new_with (4, TRUE);

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (
      rig, FILLER_JOB, "urgent",
      FILLER (12) "400,\"required_label\":\"r0\"}," FILLER (12) "900,\"required_label\":\"r1\"}");
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, LARGE_JOB, "urgent",
               "{\"count\":1,\"cpu\":15000,\"estimate_ms\":2000,\"required_label\":\"r1\"}");
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_notes (rig, "gap_reserved "), 1);
  assert_true (strstr (rig->notes->str, "gap_reserved step=0 worker=w2") != NULL
               || strstr (rig->notes->str, "gap_reserved step=0 worker=w3") != NULL);
  rig_free (rig);
}

/** Interval at which another large job comes that is dispatched before those that wait. */
#define TURN_ROUNDS 5

/* Guards against a worker that is kept for one large job after another, each within its bound. */
static void
worker_is_not_held_for_several_jobs_in_turn (void **state)
{
  Rig *rig = rig_new_with (1, TRUE);
  int n_rounds = 0;

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, FILLER_JOB, "urgent", FILLER (6) "2000}");
  rig_round (rig, ROUND_MS, TRUE);
  rig_add_job (rig, SMALL_JOB, "bulk", LONG_SMALL);
  for (; rig_find (&rig->workers[0], SMALL_TASK) == NULL && n_rounds <= BOUND_ROUNDS; n_rounds++)
    {
      if (n_rounds % TURN_ROUNDS == 0)
        {
          g_autofree char *id = g_strdup_printf ("%016x", n_rounds);
          g_autofree char *large = g_strdup_printf (
              "{\"count\":1,\"cpu\":15000,\"estimate_ms\":%d}", 2000 - 10 * n_rounds);
          rig_add_job (rig, id, "urgent", large);
        }
      rig_round (rig, ROUND_MS, TRUE);
    }
  assert_true (count_notes (rig, "gap_reserved ") > 1);
  assert_true (n_rounds > 1 && n_rounds <= BOUND_ROUNDS);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (task_fits_at_the_earliest_time),
    cmocka_unit_test (all_resources_count),
    cmocka_unit_test (only_what_ends_before_or_is_spare_is_admitted),
    cmocka_unit_test (large_jobs_wait_less),
    cmocka_unit_test (decisions_are_as_before_while_nothing_waits),
    cmocka_unit_test (short_task_is_held_for_a_bounded_time),
    cmocka_unit_test (dropped_reservation_is_not_made_again_at_once),
    cmocka_unit_test (one_reservation_for_each_priority),
    cmocka_unit_test (worker_is_not_held_for_several_jobs_in_turn),
    cmocka_unit_test (reserved_worker_has_the_label),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
