#include "supervisor/rig.h"

/* A worker with TASK run 1, whose lease was extended as far as the grant allows. */
static Fake *
fake_with_lease (void)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  fake->now_us += (GRANT_MS + 1000) * 1000;
  answer_poll (fake, (Lists){ TASK, 0 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  answer_poll (fake, (Lists){ TASK, 0 });
  return fake;
}

static void
drain (const Fake *fake)
{
  WorkerInfo *info = info_of ("i1", 1, 2);

  info->is_draining = TRUE;
  supervisor_handle_info (fake->supervisor, info);
}

/* Answers a poll after 100 ms, and renews the grant. */
static void
renew (Fake *fake)
{
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  advance (fake, 100);
  answer_poll (fake, (Lists){ TASK, 0 });
}

/* A partition with resets refuses connections, too. If the run counts as gone, it is started
 * elsewhere while it still runs here. */
static void
refused_poll_of_a_leaving_worker_is_no_proof_of_its_end (void **state)
{
  Fake *fake = fake_with_lease ();
  uint64_t incarnation = incarnation_of (fake);

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  for (int i = 0; i < 10; i++)
    {
      refuse_poll (fake);
      assert_not_reported_gone (fake, incarnation);
      advance (fake, 100);
    }
  answer_poll (fake, (Lists){ TASK, 0 });
  assert_not_reported_gone (fake, incarnation);
  assert_int_equal (incarnation_of (fake), incarnation);
  fake_free (fake);
}

/* Its lease is as long as a grant, as it did not drain before. */
static void
worker_that_left_and_refuses_is_gone_after_its_lease (void **state)
{
  Fake *fake = fake_with_lease ();
  int64_t lease_end_us = fake->now_us + GRANT_MS * 1000;

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  refuse_until_gone (fake, lease_end_us);
  fake_free (fake);
}

/* A task of a worker that really left waits for this. */
static void
worker_that_drained_and_refuses_is_gone_after_its_short_lease (void **state)
{
  Fake *fake = fake_with_lease ();

  (void) state;
  drain (fake);
  for (int i = 0; i < 40; i++)
    renew (fake);
  supervisor_worker_left (fake->supervisor, "i1");
  refuse_until_gone (fake, fake->now_us + 1500 * 1000);
  fake_free (fake);
}

/* It was refused before the lease ended; the agent was frozen and learns it later. */
static void
poll_that_was_refused_inside_the_lease_is_no_proof (void **state)
{
  Fake *fake = fake_with_lease ();
  uint64_t incarnation = incarnation_of (fake);

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  fake->now_us += (GRANT_MS + 100) * 1000;
  refuse_poll (fake);
  assert_not_reported_gone (fake, incarnation);
  advance (fake, 50);
  answer_poll (fake, (Lists){ TASK, 0 });
  assert_int_equal (incarnation_of (fake), incarnation);
  fake_free (fake);
}

/* The start carries a later end than the poll that is under way. */
static void
lease_of_a_start_counts (void **state)
{
  Fake *fake = fake_with_lease ();
  FakeCall call;

  (void) state;
  fake->now_us += 300 * 1000;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  assert_true (call.until_ms > fake->now_us / 1000 - 300 + GRANT_MS);
  answer_call (&call, RUNNER_OK);
  supervisor_worker_left (fake->supervisor, "i1");
  refuse_until_gone (fake, fake->now_us + GRANT_MS * 1000);
  fake_free (fake);
}

/* An earlier agent process may have extended the lease just before this one began. */
static void
lease_of_an_earlier_agent_process_counts (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  refuse_until_gone (fake, fake->now_us + GRANT_MS * 1000);
  fake_free (fake);
}

/* Also after a poll without an answer, the lease is extended before it ends. */
static void
draining_worker_is_given_short_leases (void **state)
{
  Fake *fake = fake_with_lease ();
  FakeCall call;

  (void) state;
  drain (fake);
  renew (fake);
  assert_true (take_call (fake, CALL_POLL, &call));
  int64_t lease_ms = call.until_ms - fake->now_us / 1000;
  assert_in_range (lease_ms, 1400, 1500);
  int64_t timeout_ms = 600 + call.wait_ms;
  fake->now_us += timeout_ms * 1000;
  answer_call (&call, RUNNER_IN_DOUBT);
  advance (fake, 100);
  answer_poll (fake, (Lists){ TASK, 0 });
  assert_true (take_call (fake, CALL_POLL, &call));
  assert_in_range (call.until_ms - fake->now_us / 1000, 1400, 1500);
  /* The poll that was lost did not extend the lease; the one 100 ms before it did. */
  assert_true (100 + timeout_ms + 100 < lease_ms - 500);
  answer_call (&call, RUNNER_IN_DOUBT);
  fake_free (fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refused_poll_of_a_leaving_worker_is_no_proof_of_its_end),
    cmocka_unit_test (worker_that_left_and_refuses_is_gone_after_its_lease),
    cmocka_unit_test (worker_that_drained_and_refuses_is_gone_after_its_short_lease),
    cmocka_unit_test (poll_that_was_refused_inside_the_lease_is_no_proof),
    cmocka_unit_test (lease_of_a_start_counts),
    cmocka_unit_test (lease_of_an_earlier_agent_process_counts),
    cmocka_unit_test (draining_worker_is_given_short_leases),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
