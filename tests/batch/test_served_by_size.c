/* How often jobs of each size are served by a fleet that cannot serve all. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "support/fleet.h"

#define SEEDS 4
#define CROWDED_WORKERS 57
#define OVERLOADED_WORKERS 67
/** The users' floor: the largest tenth of the jobs of a kind, and the next largest fifth, are
 * served this often, relative to all jobs of the kind. */
#define RATIO_MIN 0.5

static uint32_t
count_short (const char *load, uint32_t seed, const FleetKindResult *kind, const char *name)
{
  static const char *const sizes[] = { "largest tenth", "next fifth" };
  uint32_t count = 0;

  for (uint32_t size = FLEET_SIZE_LARGEST; size <= FLEET_SIZE_LARGE; size++)
    {
      double ratio = fleet_size_ratio (kind, (FleetSize) size);
      if (ratio >= RATIO_MIN)
        continue;
      print_message ("%s, seed %u, %s jobs: %u of %u of the %s served, %.2f of the share of all\n",
                     load, seed, name, kind->sizes[size].n_served, kind->sizes[size].n_jobs,
                     sizes[size], ratio);
      count++;
    }
  return count;
}

static uint32_t
play (const char *load, const FleetOptions *options)
{
  FleetResult result;

  fleet_simulate (options, &result);
  assert_true (result.kinds[FLEET_HEAVY].sizes[FLEET_SIZE_LARGEST].n_jobs > 0);
  return count_short (load, options->seed, &result.kinds[FLEET_SHORT], "short")
         + count_short (load, options->seed, &result.kinds[FLEET_HEAVY], "heavy");
}

static void
large_jobs_are_served_half_as_often_as_all_in_a_crowded_fleet (void **state)
{
  uint32_t n_short = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetOptions options;
      fleet_options_crowded (&options, CROWDED_WORKERS);
      options.seed = seed;
      n_short += play ("crowded", &options);
    }
  assert_int_equal (n_short, 0);
}

static void
large_jobs_are_served_half_as_often_as_all_in_an_overloaded_fleet (void **state)
{
  uint32_t n_short = 0;

  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetOptions options;
      fleet_options_overloaded (&options, OVERLOADED_WORKERS);
      options.seed = seed;
      n_short += play ("overloaded", &options);
    }
  assert_int_equal (n_short, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (large_jobs_are_served_half_as_often_as_all_in_a_crowded_fleet),
          cmocka_unit_test (large_jobs_are_served_half_as_often_as_all_in_an_overloaded_fleet) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
