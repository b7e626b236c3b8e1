/* Lists of a worker that are cut off: what is not listed may have ended. */
#include "supervisor/rig.h"

static const Answer cut_off = { .has_more_ends = TRUE };

/* A supervisor that has started TASK run 1. */
static Fake *
fake_with_run (void)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  advance (fake, 500);
  return fake;
}

static void
poll_again (Fake *fake, Lists lists, Answer answer)
{
  answer_poll_with (fake, lists, answer);
  advance (fake, 400);
}

/* Guards against a second run of a task whose end is behind the ends that a worker lists. */
static void
run_absent_from_a_cut_off_list_is_not_gone (void **state)
{
  Fake *fake = fake_with_run ();
  uint64_t incarnation = incarnation_of (fake);

  (void) state;
  answer_poll (fake, (Lists){ TASK, 0 });
  advance (fake, 400);
  for (int i = 0; i < 3; i++)
    {
      poll_again (fake, (Lists){ NULL, 0 }, cut_off);
      assert_not_reported_gone (fake, incarnation);
      Batch__Report *report = supervisor_report (fake->supervisor);
      assert_true (report->has_more_ends);
      batch__report__free_unpacked (report, NULL);
    }
  poll_again (fake, (Lists){ NULL, 501 }, (Answer){ 0 });
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_false (report->has_more_ends);
  assert_int_equal (report->n_ended, 1);
  assert_int_equal (report->n_running, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* Guards against a run that is held for good: once the list is complete, absence is an end. */
static void
run_absent_from_a_complete_list_is_gone (void **state)
{
  Fake *fake = fake_with_run ();
  uint64_t version = version_of (fake);

  (void) state;
  poll_again (fake, (Lists){ NULL, 0 }, cut_off);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version, 0 }));
  poll_again (fake, (Lists){ NULL, 0 }, (Answer){ 0 });
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_gone, 1);
  assert_int_equal (report->n_running, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* Guards against a stopped run that counts as gone while its end `done` is yet to be listed. */
static void
stopped_run_absent_from_a_cut_off_list_is_not_gone (void **state)
{
  Fake *fake = fake_with_run ();
  uint64_t incarnation = incarnation_of (fake);
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 2, 0, 0 }));
  assert_true (take_call (fake, CALL_STOP, &call));
  answer_call (&call, RUNNER_OK);
  advance (fake, 400);
  poll_again (fake, (Lists){ NULL, 0 }, cut_off);
  poll_again (fake, (Lists){ NULL, 0 }, cut_off);
  assert_not_reported_gone (fake, incarnation);
  fake_free (fake);
}

/* Guards against a task that is blamed for a crash of its worker after it had ended. */
static void
run_with_an_unlisted_end_was_not_lost_in_a_crash (void **state)
{
  (void) state;
  for (int is_cut = 0; is_cut <= 1; is_cut++)
    {
      Fake *fake = fake_with_run ();
      answer_poll (fake, (Lists){ TASK, 0 });
      advance (fake, 400);
      if (is_cut)
        poll_again (fake, (Lists){ NULL, 0 }, cut_off);
      supervisor_handle_info (fake->supervisor, info_of ("i2", 2, 1));
      refuse_poll (fake);
      advance (fake, 100);
      answer_poll (fake, (Lists){ NULL, 0 });
      Batch__Report *report = supervisor_report (fake->supervisor);
      assert_non_null (report);
      assert_int_equal (report->n_crashes, is_cut ? 0 : 1);
      batch__report__free_unpacked (report, NULL);
      fake_free (fake);
    }
}

/* Orders the start of TASK run 1, which the client reports as not sent. */
static Fake *
fake_with_start_not_sent (void)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_NOT_SENT);
  return fake;
}

/* Guards against a run that nobody counts at its worker while its task starts elsewhere, if a start
 * that was executed is taken for not sent: more tasks of a step there than its limit. */
static void
run_of_a_start_that_was_not_sent_is_not_gone (void **state)
{
  Fake *fake = fake_with_start_not_sent ();
  uint64_t incarnation = incarnation_of (fake);

  (void) state;
  assert_not_reported_gone (fake, incarnation);
  for (int i = 0; i < 5; i++)
    {
      answer_poll (fake, (Lists){ TASK, 0 });
      assert_not_reported_gone (fake, incarnation);
      advance (fake, 200);
    }
  fake_free (fake);
}

/* Guards against the same if the start arrives late: it is stopped, so that it is refused then. */
static void
start_that_was_not_sent_is_stopped_before_it_is_gone (void **state)
{
  Fake *fake = fake_with_start_not_sent ();
  uint64_t incarnation = incarnation_of (fake);
  FakeCall call;
  int n_polls = 0;

  (void) state;
  while (!take_call (fake, CALL_STOP, &call))
    {
      assert_true (++n_polls < 5);
      answer_poll (fake, (Lists){ NULL, 0 });
      assert_not_reported_gone (fake, incarnation);
      advance (fake, 200);
    }
  assert_int_equal (call.run, 1);
  answer_call (&call, RUNNER_OK);
  for (int i = 0; i < 3; i++)
    {
      answer_poll (fake, (Lists){ NULL, 0 });
      advance (fake, 200);
    }
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_running, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (run_absent_from_a_cut_off_list_is_not_gone),
    cmocka_unit_test (run_absent_from_a_complete_list_is_gone),
    cmocka_unit_test (stopped_run_absent_from_a_cut_off_list_is_not_gone),
    cmocka_unit_test (run_with_an_unlisted_end_was_not_lost_in_a_crash),
    cmocka_unit_test (run_of_a_start_that_was_not_sent_is_not_gone),
    cmocka_unit_test (start_that_was_not_sent_is_stopped_before_it_is_gone),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
