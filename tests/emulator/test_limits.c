#include "emulator/schedules.h"

/* Guards against more tasks of a step on one worker than its limit. */
static void
test_limits_of_steps_hold (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_step_limits = TRUE });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limits_of_steps_hold),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
