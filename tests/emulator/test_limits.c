#include "emulator/schedules.h"

/* Guards against more tasks of a step on one worker than its limit. */
static void
test_limits_of_steps_hold (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_step_limits = TRUE });
}

/* Seed 314 once showed a sound job that was given up after crashes of workers. */
#define SEEDS "350"

int
main (void)
{
  (void) g_setenv ("EMULATOR_SEEDS", SEEDS, FALSE);

  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limits_of_steps_hold),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
