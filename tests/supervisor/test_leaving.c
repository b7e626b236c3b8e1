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
refuse_poll (Fake *fake)
{
  FakeCall call;

  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_NOT_SENT);
}

/* Advances the time and starts a poll that is due. */
static void
advance (Fake *fake, int64_t ms)
{
  fake->now_us += ms * 1000;
  supervisor_tick (fake->supervisor);
}

/* A report need not come, but must not say that the run is gone. */
static void
assert_not_reported_gone (const Fake *fake, uint64_t incarnation)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  if (report == NULL)
    return;
  assert_int_equal (report->life, incarnation);
  assert_int_equal (report->n_gone, 0);
  assert_int_equal (report->n_running, 1);
  batch__report__free_unpacked (report, NULL);
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refused_poll_of_a_leaving_worker_is_no_proof_of_its_end),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
