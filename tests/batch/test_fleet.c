/* Value for callers of a fleet whose serving tasks reserve most processors. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "support/fleet.h"

#define SEEDS 8
#define WORKERS 80
#define OVERLOADED_WORKERS 67
/** Median impact at which time over target and lateness match those of the users' large
 * installation.
 */
#define IMPACT 2.0
/** The users' target for their large installation. */
#define VALUE_TARGET 0.67
/** Value per second of the kinds of work there. */
static const double weights[FLEET_KINDS] = { 8, 40, 10 };

/* Load: short steps, wide best-effort steps with a burst, and serving tasks with oscillating loads.
 */
static void
fleet_reaches_value_target (void **state)
{
  double sum = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetOptions options;
      FleetResult result;
      fleet_options_large (&options, WORKERS);
      options.impact = IMPACT;
      options.seed = seed;
      fleet_simulate (&options, &result);
      sum += fleet_value (&result, weights);
      assert_true (result.kinds[FLEET_HEAVY].n_jobs > 0);
      assert_true (result.kinds[FLEET_SHORT].n_jobs > 0);
    }
  assert_true (sum / SEEDS >= VALUE_TARGET);
}

/* Without interference and failures only capacity matters, and nearly all jobs are in time. */
static void
jobs_are_in_time_without_interference (void **state)
{
  FleetOptions options;
  FleetResult result;

  (void) state;
  fleet_options_small (&options);
  options.impact = 0;
  for (uint32_t i = 0; i < FLEET_KINDS; i++)
    options.kinds[i].fail_share = 0;
  fleet_simulate (&options, &result);
  assert_true (result.interference_s == 0);
  assert_int_equal (result.n_stops, 0);
  assert_true (result.kinds[FLEET_HEAVY].n_in_time * 10 >= result.kinds[FLEET_HEAVY].n_jobs * 9);
}

/** Least value with learned impacts, in percent of the value with impacts that are known from the
 * start. Learned impacts stay valid for most of a day. */
#define LEARNED_PERCENT 95
/** The users' heaviest burst. */
#define BURST_FACTOR 2.6

static double
value_with_two_classes (uint32_t seed, gboolean are_impacts_known)
{
  /* Serving tasks are worth about as much as the best-effort tasks beside them. */
  static const double even[FLEET_KINDS] = { 8, 40, 40 };
  FleetOptions options;
  FleetResult result;

  fleet_options_two_classes (&options);
  options.burst_factor = BURST_FACTOR;
  options.seed = seed;
  options.are_impacts_known = are_impacts_known;
  fleet_simulate (&options, &result);
  return fleet_value (&result, even);
}

/* Load: a burst of wide best-effort steps, whose images have almost no impact or a large one and
 * change between phases, beside services with oscillating loads and replicas with bursts of their
 * own. */
static void
learned_impacts_keep_most_of_the_value (void **state)
{
  double learned = 0;
  double known = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      learned += value_with_two_classes (seed, FALSE);
      known += value_with_two_classes (seed, TRUE);
    }
  print_message ("value %.3f with learned impacts, %.3f with known ones\n", learned / SEEDS,
                 known / SEEDS);
  assert_true (learned * 100 >= known * LEARNED_PERCENT);
}

static void
same_seed_gives_same_result (void **state)
{
  FleetOptions options;
  FleetResult first;
  FleetResult second;

  (void) state;
  fleet_options_small (&options);
  fleet_simulate (&options, &first);
  fleet_simulate (&options, &second);
  assert_int_equal (first.n_starts, second.n_starts);
  assert_int_equal (first.kinds[FLEET_HEAVY].n_in_time, second.kinds[FLEET_HEAVY].n_in_time);
}

/* Under overload, which jobs come first must not depend on addresses. */
static void
same_seed_gives_same_result_under_overload (void **state)
{
  FleetOptions options;
  FleetResult first;
  FleetResult second;

  (void) state;
  fleet_options_overloaded (&options, OVERLOADED_WORKERS);
  fleet_simulate (&options, &first);
  fleet_simulate (&options, &second);
  assert_int_equal (first.n_starts, second.n_starts);
  assert_int_equal (first.n_stops, second.n_stops);
  assert_memory_equal (first.kinds, second.kinds, sizeof first.kinds);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (fleet_reaches_value_target),
    cmocka_unit_test (jobs_are_in_time_without_interference),
    cmocka_unit_test (learned_impacts_keep_most_of_the_value),
    cmocka_unit_test (same_seed_gives_same_result),
    cmocka_unit_test (same_seed_gives_same_result_under_overload),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
