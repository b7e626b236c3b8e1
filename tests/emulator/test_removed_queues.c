#include "emulator/schedules.h"

/* Guards against owners that end, and accepted jobs that are never finished, once the queue of open
 * jobs is removed. */
static void
jobs_of_removed_queues_are_finished (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_removed_queues = TRUE });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (jobs_of_removed_queues_are_finished),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
