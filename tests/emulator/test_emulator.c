#include "emulator/schedules.h"

static void
test_rules_hold_in_random_schedules (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ 0 });
}

static void
test_leaving_workers_that_refuse_are_not_taken_for_gone (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_cut_leaves = TRUE });
}

/* Guards against two runs of a task at the same time, and more tasks of a step on one worker than
 * its limit, when starts that were executed are taken for not sent. */
static void
test_starts_taken_for_not_sent_run_nowhere_else (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_step_limits = TRUE, .has_overlooked_starts = TRUE });
}

/* Guards against two runs of a task, and jobs that do not end, when an owner's appends wait in the
 * queue of a slow store or are refused by it, and are repeated while an earlier copy is still
 * queued. */
static void
test_rules_hold_while_the_store_queues_appends (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_store_queue = TRUE });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rules_hold_in_random_schedules),
    cmocka_unit_test (test_leaving_workers_that_refuse_are_not_taken_for_gone),
    cmocka_unit_test (test_starts_taken_for_not_sent_run_nowhere_else),
    cmocka_unit_test (test_rules_hold_while_the_store_queues_appends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
