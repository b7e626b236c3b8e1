/* How often the next largest fifth of the jobs are served by a fleet that cannot serve all. */
#include "served.h"

static void
next_largest_fifth_is_served_half_as_often_as_all_in_a_crowded_fleet (void **state)
{
  (void) state;
  served_check_crowded (FLEET_SIZE_LARGE);
}

static void
next_largest_fifth_is_served_half_as_often_as_all_in_an_overloaded_fleet (void **state)
{
  (void) state;
  served_check_overloaded (FLEET_SIZE_LARGE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (next_largest_fifth_is_served_half_as_often_as_all_in_a_crowded_fleet),
    cmocka_unit_test (next_largest_fifth_is_served_half_as_often_as_all_in_an_overloaded_fleet)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
