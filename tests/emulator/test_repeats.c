#include "emulator/schedules.h"

/* Guards against owners that end, and work that is lost or runs twice, as late ends meet jobs that
 * repeat. */
static void
jobs_that_repeat_are_finished (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_repeats = TRUE });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (jobs_that_repeat_are_finished),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
