/* Value for callers of a fleet whose serving tasks reserve most processors. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "support/fleet.h"

#define SEEDS 8
#define WORKERS 80
/** Median impact at which time over target and lateness match those of the users' large
 * installation.
 */
#define PRESS 2.0
/** The users' target for their large installation. */
#define WORTH_WANTED 0.67
/** Value per second of the kinds of work there. */
static const double weights[FLEET_KINDS] = { 8, 40, 10 };

/* Load: short steps, wide best-effort steps with a burst, and serving tasks with oscillating loads.
 */
static void
callers_get_what_the_users_want (void **state)
{
  double sum = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetOptions options;
      FleetResult result;
      fleet_options_large (&options, WORKERS);
      options.press = PRESS;
      options.seed = seed;
      fleet_play (&options, &result);
      sum += fleet_worth (&result, weights);
      assert_true (result.kinds[FLEET_HEAVY].n_jobs > 0);
      assert_true (result.kinds[FLEET_SHORT].n_jobs > 0);
    }
  assert_true (sum / SEEDS >= WORTH_WANTED);
}

/* Without interference and failures only capacity matters, and nearly all jobs are in time. */
static void
nothing_is_late_without_interference (void **state)
{
  FleetOptions options;
  FleetResult result;

  (void) state;
  fleet_options_small (&options);
  options.press = 0;
  for (uint32_t i = 0; i < FLEET_KINDS; i++)
    options.kinds[i].fail_share = 0;
  fleet_play (&options, &result);
  assert_true (result.harmed_s == 0);
  assert_int_equal (result.n_stops, 0);
  assert_true (result.kinds[FLEET_HEAVY].n_in_time * 10 >= result.kinds[FLEET_HEAVY].n_jobs * 9);
}

/** Least value with learned impacts, in percent of the value with impacts that are known from the
 * start. Learned impacts stay valid for most of a day. */
#define LEARNED_PERCENT 95
/** The users' heaviest burst. */
#define BURST_X 2.6

static double
worth_of_two_sorts (uint32_t seed, gboolean are_takes_told)
{
  /* Serving tasks are worth about as much as the best-effort tasks beside them. */
  static const double even[FLEET_KINDS] = { 8, 40, 40 };
  FleetOptions options;
  FleetResult result;

  fleet_options_two_sorts (&options);
  options.burst_x = BURST_X;
  options.seed = seed;
  options.are_takes_told = are_takes_told;
  fleet_play (&options, &result);
  return fleet_worth (&result, even);
}

/* Load: a burst of wide best-effort steps, whose images have almost no impact or a large one and
 * change between phases, beside services with oscillating loads and replicas with bursts of their
 * own. */
static void
learning_costs_callers_little (void **state)
{
  double learned = 0;
  double told = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      learned += worth_of_two_sorts (seed, FALSE);
      told += worth_of_two_sorts (seed, TRUE);
    }
  print_message ("worth %.3f learned, %.3f told\n", learned / SEEDS, told / SEEDS);
  assert_true (learned * 100 >= told * LEARNED_PERCENT);
}

static void
seed_plays_the_same (void **state)
{
  FleetOptions options;
  FleetResult first;
  FleetResult second;

  (void) state;
  fleet_options_small (&options);
  fleet_play (&options, &first);
  fleet_play (&options, &second);
  assert_int_equal (first.n_starts, second.n_starts);
  assert_int_equal (first.kinds[FLEET_HEAVY].n_in_time, second.kinds[FLEET_HEAVY].n_in_time);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_get_what_the_users_want),
    cmocka_unit_test (nothing_is_late_without_interference),
    cmocka_unit_test (learning_costs_callers_little),
    cmocka_unit_test (seed_plays_the_same),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
