/* Choice of jobs when not all can meet their deadlines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "batch/forecast.h"

#define CORES 10.0

/* A job that needs all processors for @p seconds, due after @p due_s. */
static ForecastJob
job_of (double seconds, int64_t due_s)
{
  return (ForecastJob){
    .deadline_ms = due_s * 1000, .chain_ms = 100, .work = seconds * 1000 * CORES, .value = seconds
  };
}

static void
all_jobs_are_chosen_within_capacity (void **state)
{
  ForecastJob jobs[] = { job_of (1, 1), job_of (1, 2), job_of (2, 4) };

  (void) state;
  forecast_choose (jobs, G_N_ELEMENTS (jobs), CORES, 0);
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++)
    assert_true (jobs[i].is_chosen);
}

static void
job_with_too_long_chain_uses_no_capacity (void **state)
{
  ForecastJob jobs[] = { job_of (1, 1), job_of (1, 2) };

  (void) state;
  jobs[0].chain_ms = 1500;
  jobs[1].work *= 2;
  forecast_choose (jobs, G_N_ELEMENTS (jobs), CORES, 0);
  assert_false (jobs[0].is_chosen);
  assert_true (jobs[1].is_chosen);
}

/* A job that has begun has little remaining work for its value, so it is kept. */
static void
job_with_least_value_per_work_is_left_out (void **state)
{
  ForecastJob jobs[] = { job_of (2, 3), job_of (2, 3), job_of (2, 4) };

  (void) state;
  jobs[1].work /= 4;
  forecast_choose (jobs, G_N_ELEMENTS (jobs), CORES, 0);
  assert_true (jobs[1].is_chosen);
  assert_int_equal (jobs[0].is_chosen + jobs[1].is_chosen + jobs[2].is_chosen, 2);
}

/* Load: twice the capacity. The chosen jobs meet their deadlines when processed by deadline. */
static void
chosen_jobs_meet_their_deadlines (void **state)
{
  (void) state;
  for (guint32 seed = 0; seed < 200; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      ForecastJob jobs[60];
      double sum = 0;
      double chosen = 0;
      for (guint i = 0; i < G_N_ELEMENTS (jobs); i++)
        {
          jobs[i] = job_of (g_rand_double_range (rand, 0.1, 1.0), 0);
          jobs[i].deadline_ms = 500 + 250 * i;
        }
      forecast_choose (jobs, G_N_ELEMENTS (jobs), CORES, 0);
      for (guint i = 0; i < G_N_ELEMENTS (jobs); i++)
        {
          if (!jobs[i].is_chosen)
            continue;
          sum += jobs[i].work;
          chosen += jobs[i].value;
          assert_true (sum / CORES <= (double) jobs[i].deadline_ms + 1e-6);
        }
      /* Nearly all of the available 15 seconds are used. */
      assert_true (chosen >= 13.0);
      g_rand_free (rand);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (all_jobs_are_chosen_within_capacity),
    cmocka_unit_test (job_with_too_long_chain_uses_no_capacity),
    cmocka_unit_test (job_with_least_value_per_work_is_left_out),
    cmocka_unit_test (chosen_jobs_meet_their_deadlines),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
