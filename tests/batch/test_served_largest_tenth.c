/* How often the largest tenth of the jobs are served by a fleet that cannot serve all. */
#include "served.h"

static void
largest_tenth_is_served_half_as_often_as_all_in_a_crowded_fleet (void **state)
{
  (void) state;
  served_check_crowded (FLEET_SIZE_LARGEST);
}

static void
largest_tenth_is_served_half_as_often_as_all_in_an_overloaded_fleet (void **state)
{
  (void) state;
  served_check_overloaded (FLEET_SIZE_LARGEST);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (largest_tenth_is_served_half_as_often_as_all_in_a_crowded_fleet),
          cmocka_unit_test (largest_tenth_is_served_half_as_often_as_all_in_an_overloaded_fleet) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
