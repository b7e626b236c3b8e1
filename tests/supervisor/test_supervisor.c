#include "supervisor/rig.h"

/* The order was sent before the data centre was evacuated and is received after that. */
static void
forbidden_start_is_dropped_and_reported_gone (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  fake->forbids_starts = TRUE;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, version_of (fake), 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->done_number, 1);
  assert_int_equal (report->n_gone, 1);
  assert_string_equal (report->gone[0]->task, TASK);
  batch__report__free_unpacked (report, NULL);
  fake->forbids_starts = FALSE;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 2, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

/* Guards against: an owner that keeps starts back until a report confirms the earlier ones waited
 * for the regular report each time. */
static void
orders_are_confirmed_at_once_if_the_owner_wants_that (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, version_of (fake), 0 }));
  uint32_t n_changes = fake->n_changes;
  fake->wants_report = TRUE;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 2, 0, version_of (fake), 0 }));
  assert_int_equal (fake->n_changes, n_changes + 1);
  fake->wants_report = FALSE;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 3, 0, version_of (fake), 0 }));
  assert_int_equal (fake->n_changes, n_changes + 1);
  fake_free (fake);
}

/* Sends an order to limit the CPU of TASK run 1. */
static void
order_cpu_limit (const Fake *fake, uint64_t number, uint32_t percent)
{
  Batch__Orders orders = BATCH__ORDERS__INIT;
  Batch__Order order = BATCH__ORDER__INIT;
  Batch__Pace pace = BATCH__PACE__INIT;
  Batch__Order *rows[] = { &order };

  orders.epoch = 1;
  orders.owner = "owner";
  orders.agent_boot = 5;
  orders.life = incarnation_of (fake);
  orders.echo_us = fake->now_us;
  orders.orders = rows;
  orders.n_orders = 1;
  order.number = number;
  order.what_case = BATCH__ORDER__WHAT_PACE;
  order.pace = &pace;
  pace.task = TASK;
  pace.run = 1;
  pace.percent = percent;
  assert_true (supervisor_handle_orders (fake->supervisor, &orders));
}

/* The owner counts on a limit that it ordered. A worker that refused or did not answer is asked
 * again. */
static void
cpu_limit_is_repeated_until_the_worker_has_it (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  order_cpu_limit (fake, 1, 40);
  assert_true (take_call (fake, CALL_CPU_LIMIT, &call));
  answer_call (&call, RUNNER_UNHEALTHY);
  supervisor_tick (fake->supervisor);
  assert_false (take_call (fake, CALL_CPU_LIMIT, &call));
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_true (take_call (fake, CALL_CPU_LIMIT, &call));
  assert_int_equal (call.percent, 40);
  answer_call (&call, RUNNER_OK);
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_false (take_call (fake, CALL_CPU_LIMIT, &call));
  fake_free (fake);
}

/* Two calls for one run could be carried out in either order, so the newer limit waits for the
 * answer. */
static void
newer_cpu_limit_follows_the_answer (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;
  FakeCall second;

  (void) state;
  order_cpu_limit (fake, 1, 40);
  order_cpu_limit (fake, 2, 0);
  order_cpu_limit (fake, 3, 70);
  assert_true (take_call (fake, CALL_CPU_LIMIT, &call));
  assert_int_equal (call.percent, 40);
  assert_false (take_call (fake, CALL_CPU_LIMIT, &second));
  answer_call (&call, RUNNER_OK);
  assert_true (take_call (fake, CALL_CPU_LIMIT, &second));
  assert_int_equal (second.percent, 70);
  answer_call (&second, RUNNER_OK);
  fake_free (fake);
}

static void
start_carries_the_granted_lease (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  /* The worker's clock may be 2 % slow. The lease must still end in time. */
  assert_true (call.until_ms <= fake->now_us / 1000 + GRANT_MS * 98 / 100);
  assert_true (call.until_ms > fake->now_us / 1000 + GRANT_MS / 2);
  answer_call (&call, RUNNER_OK);
  /* A repeated order has no effect. */
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  fake_free (fake);
}

/* The owner needs the time of the poll to know which tasks ran beside a measured one. */
static void
report_contains_the_time_of_the_poll (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  int64_t looked_us = fake->now_us;

  (void) state;
  fake->now_us += 300 * 1000;
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->clock_us, fake->now_us);
  assert_int_equal (report->looked_us, looked_us);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

static void
start_without_a_live_grant_is_refused (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  assert_true (
      send_orders (fake, (OrdersSpec){ 1, fake->now_us - GRANT_MS * 1000, 0, 1, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->done_number, 1);
  assert_int_equal (report->n_running, 0);
  assert_int_equal (report->n_refused, 1);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

static void
replaced_owner_is_ignored (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 2, fake->now_us, 0, 0, 0, 0, 0 }));
  assert_false (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  fake_free (fake);
}

/* A start without an answer may take effect seconds later. It must be stopped before it counts
 * as gone. */
static void
start_without_an_answer_is_stopped_before_it_is_gone (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  answer_poll (fake, (Lists){ NULL, 0 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  fake->now_us += 1000;
  answer_call (&call, RUNNER_IN_DOUBT);
  for (int i = 0; i < 2; i++)
    {
      fake->now_us += 1000;
      answer_poll (fake, (Lists){ NULL, 0 });
    }
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_running, 1);
  batch__report__free_unpacked (report, NULL);
  supervisor_tick (fake->supervisor);
  assert_true (take_call (fake, CALL_STOP, &call));
  fake->now_us += 1000;
  answer_call (&call, RUNNER_OK);
  for (int i = 0; i < 2; i++)
    {
      fake->now_us += 1000;
      answer_poll (fake, (Lists){ NULL, 0 });
    }
  report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_running, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

static void
stop_is_repeated_until_answered (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 1, 0, 0 }));
  for (int i = 0; i < 3; i++)
    {
      assert_true (take_call (fake, CALL_STOP, &call));
      answer_call (&call, RUNNER_IN_DOUBT);
      fake->now_us += 400 * 1000;
      supervisor_tick (fake->supervisor);
    }
  assert_true (take_call (fake, CALL_STOP, &call));
  answer_call (&call, RUNNER_OK);
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_false (take_call (fake, CALL_STOP, &call));
  fake_free (fake);
}

static void
end_is_dropped_only_after_it_is_written (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  answer_poll (fake, (Lists){ NULL, 9 });
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_ended, 1);
  batch__report__free_unpacked (report, NULL);
  fake->now_us += 100 * 1000;
  supervisor_tick (fake->supervisor);
  assert_int_equal (fake->calls[0].seen, 0);
  answer_poll (fake, (Lists){ NULL, 9 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 0, 0, 0, 0 }));
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_true (take_call (fake, CALL_POLL, &call));
  assert_int_equal (call.seen, 9);
  answer_call (&call, RUNNER_IN_DOUBT);
  fake_free (fake);
}

/* The same id with another start time is a new incarnation: the old state is dropped and the
 * fencing token is raised. */
static void
new_incarnation_drops_the_old_state (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;
  uint64_t incarnation = incarnation_of (fake);

  (void) state;
  assert_true (take_call (fake, CALL_POLL, &call));
  int64_t token = call.token;
  supervisor_handle_info (fake->supervisor, info_of ("i1", 2, 1));
  answer_call (&call, RUNNER_OTHER_INCARNATION);
  assert_null (supervisor_report (fake->supervisor));
  assert_true (take_call (fake, CALL_POLL, &call));
  assert_true (call.token > token);
  fake->calls[fake->n_calls++] = call;
  answer_poll (fake, (Lists){ NULL, 0 });
  assert_true (incarnation_of (fake) > incarnation);
  /* A late report of the old incarnation has no effect. */
  incarnation = incarnation_of (fake);
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 50));
  assert_int_equal (incarnation_of (fake), incarnation);
  fake_free (fake);
}

static void
late_report_of_a_replaced_worker_is_ignored (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  supervisor_handle_info (fake->supervisor, info_of ("i2", 1, 1));
  FakeCall call;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_OTHER_INCARNATION);
  answer_poll (fake, (Lists){ NULL, 0 });
  uint64_t incarnation = incarnation_of (fake);
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 99));
  assert_int_equal (incarnation_of (fake), incarnation);
  fake_free (fake);
}

/* The worker restarted under its id, and its ends are numbered from 1 again. */
static void
answer_of_another_incarnation_is_not_applied (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  answer_poll_with (fake, (Lists){ NULL, 9 }, (Answer){ .born = 1, .n_unreadable = 0 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 0, 0, 0, 0 }));
  fake->now_us += 100 * 1000;
  supervisor_tick (fake->supervisor);
  answer_poll_with (fake, (Lists){ NULL, 1 }, (Answer){ .born = 2, .n_unreadable = 0 });
  assert_null (supervisor_report (fake->supervisor));
  fake->now_us += 1000 * 1000;
  supervisor_tick (fake->supervisor);
  assert_false (take_call (fake, CALL_POLL, &call));
  supervisor_handle_info (fake->supervisor, info_of ("i1", 2, 1));
  assert_int_equal (fake->calls[0].seen, 0);
  answer_poll_with (fake, (Lists){ NULL, 1 }, (Answer){ .born = 2, .n_unreadable = 0 });
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  assert_int_equal (report->n_ended, 1);
  assert_int_equal (report->ended[0]->number, 1);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* The worker may have restarted under its id: it would drop ends that nobody has seen. */
static void
poll_after_a_failed_one_acknowledges_nothing (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  answer_poll (fake, (Lists){ NULL, 9 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 0, 0, 0, 0 }));
  fake->now_us += 100 * 1000;
  supervisor_tick (fake->supervisor);
  assert_true (take_call (fake, CALL_POLL, &call));
  assert_int_equal (call.seen, 9);
  assert_true (call.until_ms > 0);
  answer_call (&call, RUNNER_IN_DOUBT);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 1, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_int_equal (fake->calls[0].seen, 0);
  assert_int_equal (fake->calls[0].until_ms, 0);
  answer_poll (fake, (Lists){ NULL, 0 });
  assert_int_equal (fake->calls[0].seen, 9);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 2, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

static void
assert_runs_at (Fake *fake, const char *worker_id)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  assert_string_equal (report->worker->id, worker_id);
  assert_int_equal (report->n_running, 1);
  batch__report__free_unpacked (report, NULL);
}

/* The answer to a start shows it first, by the start time or by a clock that began anew. */
static void
start_that_another_incarnation_answers_ends_the_known_one (void **state)
{
  static const struct
  {
    int64_t born;
    int64_t clock_ms;
  } answers[] = { { 2, -1 }, { 0, 5 } };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      Fake *fake = fake_new ((Lists){ NULL, 0 });
      FakeCall call;
      const RunnerAnswer reply = { .outcome = RUNNER_OK,
                                   .clock_ms = answers[i].clock_ms,
                                   .born_wall_ms = answers[i].born };
      assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
      assert_true (take_call (fake, CALL_START, &call));
      call.done (call.done_ctx, &reply);
      assert_null (supervisor_report (fake->supervisor));
      supervisor_handle_info (fake->supervisor, info_of ("i1", 1 + answers[i].born, 2));
      while (fake->n_calls > 1)
        {
          assert_true (take_call (fake, CALL_POLL, &call));
          answer_call (&call, RUNNER_OTHER_INCARNATION);
        }
      answer_poll (fake, (Lists){ TASK, 0 });
      assert_runs_at (fake, "i1");
      fake_free (fake);
    }
}

/* The worker may have restarted: a lease by the clock of before could be too long. */
static void
nothing_starts_after_a_failed_call_before_a_poll_is_answered (void **state)
{
  static const RunnerOutcome outcomes[]
      = { RUNNER_OTHER_INCARNATION, RUNNER_NOT_SENT, RUNNER_IN_DOUBT };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Fake *fake = fake_new ((Lists){ NULL, 0 });
      FakeCall call;
      assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
      assert_true (take_call (fake, CALL_START, &call));
      answer_call (&call, outcomes[i]);
      assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 2, 0, 0, 0 }));
      assert_false (take_call (fake, CALL_START, &call));
      answer_poll (fake, (Lists){ NULL, 0 });
      assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 3, 0, 0, 0 }));
      assert_false (take_call (fake, CALL_START, &call));
      answer_poll (fake, (Lists){ NULL, 0 });
      assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 4, 0, 0, 0 }));
      assert_true (take_call (fake, CALL_START, &call));
      answer_call (&call, RUNNER_OK);
      fake_free (fake);
    }
}

static void
report_of_another_writer_does_not_replace_the_worker (void **state)
{
  static const struct
  {
    const char *id;
    int64_t born;
  } reports[] = { { "i9", 5 }, { "i9", 0 }, { "i1", 0 }, { "i1", 9000000000000000 } };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      Fake *fake = fake_new ((Lists){ TASK, 0 });
      supervisor_handle_info (fake->supervisor, info_of (reports[i].id, reports[i].born, 7));
      answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
      fake->now_us += 1000 * 1000;
      supervisor_tick (fake->supervisor);
      assert_string_equal (fake->calls[0].worker_id, "i1");
      answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
      supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 2));
      assert_runs_at (fake, "i1");
      fake_free (fake);
    }
}

static WorkerInfo *
info_with_service (int64_t sequence, const char *service)
{
  WorkerInfo *info = info_of ("i1", 1, sequence);

  g_free (info->service);
  info->service = g_strdup (service);
  return info;
}

static void
assert_service (const Fake *fake, const char *service)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  assert_string_equal (report->worker->service, service);
  batch__report__free_unpacked (report, NULL);
}

/* It names the worker's id and start time. */
static void
report_under_the_id_of_the_worker_does_not_change_its_service (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  supervisor_handle_info (fake->supervisor, info_with_service (9000000, "odd"));
  assert_service (fake, "s");
  supervisor_handle_info (fake->supervisor, info_with_service (2, "s"));
  supervisor_handle_info (fake->supervisor, info_with_service (9000001, "odd"));
  assert_service (fake, "s");
  fake_free (fake);
}

/* The other writer was first, or named the right service and a large sequence number. */
static void
worker_is_believed_again_after_two_reports (void **state)
{
  static const char *const services[] = { "odd", "s" };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (services); i++)
    {
      Fake *fake = fake_new ((Lists){ TASK, 0 });
      supervisor_handle_info (fake->supervisor, info_with_service (9000000, services[i]));
      supervisor_handle_info (fake->supervisor, info_with_service (9000001, services[i]));
      assert_service (fake, services[i]);
      supervisor_handle_info (fake->supervisor, info_with_service (2, "s"));
      WorkerInfo *last = info_with_service (3, "s");
      last->is_draining = TRUE;
      supervisor_handle_info (fake->supervisor, last);
      assert_service (fake, "s");
      Batch__Report *report = supervisor_report (fake->supervisor);
      assert_true (report->worker->is_draining);
      batch__report__free_unpacked (report, NULL);
      fake_free (fake);
    }
}

/* The other report comes while the worker does not answer. */
static void
worker_returns_after_a_report_of_another_writer (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  fake->now_us += 2000 * 1000;
  supervisor_handle_info (fake->supervisor, info_of ("i9", 5, 1));
  assert_null (supervisor_report (fake->supervisor));
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 2));
  while (fake->n_calls > 1)
    {
      assert_true (take_call (fake, CALL_POLL, &call));
      answer_call (&call, RUNNER_OTHER_INCARNATION);
    }
  assert_string_equal (fake->calls[0].worker_id, "i1");
  answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
  assert_runs_at (fake, "i1");
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 3));
  assert_runs_at (fake, "i1");
  fake_free (fake);
}

static void
worker_that_returns_under_an_earlier_id_is_used (void **state)
{
  static const char *const ids[] = { "i2", "i1", "i2" };
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      int64_t born = 10 - (int64_t) i;
      supervisor_handle_info (fake->supervisor, info_of (ids[i], born, 1));
      assert_true (take_call (fake, CALL_POLL, &call));
      answer_call (&call, RUNNER_OTHER_INCARNATION);
      answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = born, .n_unreadable = 0 });
      assert_runs_at (fake, ids[i]);
    }
  fake_free (fake);
}

static void
run_is_not_gone_while_the_lists_are_incomplete (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  static const uint32_t unreadable[] = { 1, 0 };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (unreadable); i++)
    {
      uint32_t n_unreadable = unreadable[i];
      fake->now_us += 1000 * 1000;
      supervisor_tick (fake->supervisor);
      answer_poll_with (fake, (Lists){ NULL, 0 },
                        (Answer){ .born = 0, .n_unreadable = n_unreadable });
      Batch__Report *report = supervisor_report (fake->supervisor);
      assert_non_null (report);
      assert_int_equal (report->n_running, n_unreadable);
      batch__report__free_unpacked (report, NULL);
    }
  fake_free (fake);
}

static void
worker_is_not_known_before_its_lists_are_complete (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  supervisor_handle_info (fake->supervisor, info_of ("i1", 2, 1));
  FakeCall call;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_OTHER_INCARNATION);
  answer_poll_with (fake, (Lists){ NULL, 0 }, (Answer){ .born = 2, .n_unreadable = 1 });
  assert_null (supervisor_report (fake->supervisor));
  fake->now_us += 1000 * 1000;
  supervisor_tick (fake->supervisor);
  answer_poll_with (fake, (Lists){ NULL, 0 }, (Answer){ .born = 2, .n_unreadable = 0 });
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* It came late, over a connection that was replaced; the task may run elsewhere by then. */
static void
start_in_an_outdated_message_is_refused (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;
  int64_t echo_us = fake->now_us;

  (void) state;
  fake->now_us += 5000 * 1000;
  supervisor_tick (fake->supervisor);
  answer_poll (fake, (Lists){ NULL, 0 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  supervisor_tick (fake->supervisor);
  (void) send_orders (fake, (OrdersSpec){ 1, echo_us, 0, 7, 0, 0, 0 });
  assert_false (take_call (fake, CALL_START, &call));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 7, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

/* Another writer's report has the worker's id, but no start time. */
static void
worker_is_known_by_its_own_report_after_one_without_a_start_time (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_IN_DOUBT);
  fake->now_us += 2000 * 1000;
  WorkerInfo *odd = info_of ("i1", 0, 1);
  odd->capacity.cpu_m = 1;
  supervisor_handle_info (fake->supervisor, odd);
  answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
  for (int64_t i = 2; i < 5; i++)
    {
      supervisor_handle_info (fake->supervisor, info_of ("i1", 1, i));
      fake->now_us += 500 * 1000;
      supervisor_tick (fake->supervisor);
      answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
    }
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  assert_int_equal (report->worker->cpu_m, 16000);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* Its answer is that of the worker before it restarted. */
static void
answer_of_a_poll_sent_before_a_failed_call_verifies_nothing (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  answer_poll (fake, (Lists){ NULL, 9 });
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 0, 0, 0, 0 }));
  fake->now_us += 100 * 1000;
  supervisor_tick (fake->supervisor);
  fake->now_us += 10 * 1000;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  fake->now_us += 10 * 1000;
  answer_call (&call, RUNNER_NOT_SENT);
  answer_poll (fake, (Lists){ NULL, 0 });
  assert_int_equal (fake->calls[0].seen, 0);
  assert_int_equal (fake->calls[0].until_ms, 0);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 2, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  fake_free (fake);
}

/* The worker answers at once as long as it lists an end. */
static void
polls_pause_while_the_first_end_cannot_be_read (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  answer_poll_with (fake, (Lists){ NULL, 0 }, (Answer){ .born = 0, .n_unreadable = 1 });
  assert_int_equal (fake->n_calls, 0);
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  assert_int_equal (fake->n_calls, 1);
  fake_free (fake);
}

static gboolean
take_poll_of (Fake *fake, const char *worker_id)
{
  FakeCall call;
  gboolean is_found = FALSE;

  while (take_call (fake, CALL_POLL, &call))
    {
      is_found |= strcmp (call.worker_id, worker_id) == 0;
      answer_call (&call, RUNNER_IN_DOUBT);
    }
  return is_found;
}

/* The agent was frozen, and reads the first report of the new incarnation first. */
static void
worker_is_used_after_a_late_leave_of_its_earlier_incarnation (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  fake->now_us += 2000 * 1000;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_NOT_SENT);
  supervisor_handle_info (fake->supervisor, info_of ("i1", 2, 1));
  answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 2, .n_unreadable = 0 });
  assert_runs_at (fake, "i1");
  supervisor_worker_left (fake->supervisor, "i1");
  answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 2, .n_unreadable = 0 });
  for (int64_t i = 2; i < 6; i++)
    {
      fake->now_us += 1500 * 1000;
      supervisor_handle_info (fake->supervisor, info_of ("i1", 2, i));
      supervisor_tick (fake->supervisor);
    }
  assert_true (take_poll_of (fake, "i1"));
  fake_free (fake);
}

/* A leave says nothing of what runs while the worker still answers. */
static void
runs_of_a_worker_that_answers_are_not_gone_after_a_late_leave (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  Batch__Report *report = supervisor_report (fake->supervisor);
  if (report != NULL)
    {
      assert_int_equal (report->n_running, 1);
      batch__report__free_unpacked (report, NULL);
    }
  fake_free (fake);
}

static void
worker_that_reports_after_it_counted_as_gone_is_used (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  supervisor_worker_left (fake->supervisor, "i1");
  refuse_until_gone (fake, fake->now_us + GRANT_MS * 1000);
  supervisor_handle_info (fake->supervisor, info_of ("i1", 1, 2));
  answer_poll_with (fake, (Lists){ TASK, 0 }, (Answer){ .born = 1, .n_unreadable = 0 });
  assert_runs_at (fake, "i1");
  fake_free (fake);
}

static void
capacity_that_shrinks_is_reported_at_once (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version_of (fake), 0 }));
  WorkerInfo *info = info_of ("i1", 1, 2);
  info->capacity.cpu_m = 8000;
  supervisor_handle_info (fake->supervisor, info);
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  assert_non_null (report->worker);
  assert_int_equal (report->worker->cpu_m, 8000);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* It was started with a lease by the clock of an earlier incarnation. */
static void
run_that_outlasts_the_granted_lease_is_stopped (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  for (int64_t ms = 0; ms <= GRANT_MS; ms += 1000)
    {
      answer_poll (fake, (Lists){ TASK, 0 });
      assert_false (take_call (fake, CALL_STOP, &call));
      fake->now_us += 1001 * 1000;
    }
  answer_poll (fake, (Lists){ TASK, 0 });
  answer_poll (fake, (Lists){ TASK, 0 });
  assert_true (take_call (fake, CALL_STOP, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

static void
silent_worker_is_not_reported (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_non_null (report);
  assert_true (supervisor_is_live (fake->supervisor));
  batch__report__free_unpacked (report, NULL);
  fake->now_us += 2000 * 1000;
  assert_null (supervisor_report (fake->supervisor));
  assert_false (supervisor_is_live (fake->supervisor));
  fake_free (fake);
}

static void
token_is_raised_after_fencing (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_FENCED);
  fake->now_us += 400 * 1000;
  supervisor_tick (fake->supervisor);
  FakeCall next;
  assert_true (take_call (fake, CALL_POLL, &next));
  assert_true (next.token > call.token);
  answer_call (&next, RUNNER_NOT_SENT);
  fake_free (fake);
}

/* A poll returns at once while an end is listed. Without a pause, the worker would be polled in a
 * tight loop until the owner has written the end. */
static void
polls_pause_until_the_owner_writes_an_end (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  answer_poll (fake, (Lists){ NULL, 9 });
  assert_false (take_call (fake, CALL_POLL, &call));
  fake->now_us += 50 * 1000;
  supervisor_tick (fake->supervisor);
  assert_false (take_call (fake, CALL_POLL, &call));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 9, 0, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_POLL, &call));
  assert_int_equal (call.seen, 9);
  answer_call (&call, RUNNER_NOT_SENT);
  fake_free (fake);
}

static void
end_that_is_not_written_is_polled_with_pauses (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  uint32_t n_polls = 0;

  (void) state;
  answer_poll (fake, (Lists){ NULL, 9 });
  for (int ms = 0; ms < 1000; ms += 10)
    {
      fake->now_us += 10 * 1000;
      supervisor_tick (fake->supervisor);
      if (fake->n_calls == 0)
        continue;
      n_polls++;
      answer_poll (fake, (Lists){ NULL, 9 });
    }
  assert_in_range (n_polls, 5, 10);
  fake_free (fake);
}

static Batch__Report *
next_report (Fake *fake)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  return report;
}

static void
report_contains_only_changes (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  Batch__Report *report = next_report (fake);
  assert_int_equal (report->since, 0);
  assert_int_equal (report->n_running, 1);
  assert_non_null (report->worker);
  uint64_t version = report->version;
  batch__report__free_unpacked (report, NULL);
  /* Reports are full until the owner confirms that it applied one. */
  report = next_report (fake);
  assert_int_equal (report->since, 0);
  batch__report__free_unpacked (report, NULL);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version, 0 }));
  report = next_report (fake);
  assert_int_equal (report->since, version);
  assert_int_equal (report->n_running, 0);
  assert_null (report->worker);
  batch__report__free_unpacked (report, NULL);
  answer_poll (fake, (Lists){ NULL, 9 });
  report = next_report (fake);
  assert_int_equal (report->n_ended, 1);
  assert_int_equal (report->n_gone, 1);
  version = report->version;
  batch__report__free_unpacked (report, NULL);
  /* An end is reported until the owner has applied it. */
  report = next_report (fake);
  assert_int_equal (report->n_ended, 1);
  batch__report__free_unpacked (report, NULL);
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version, 0 }));
  report = next_report (fake);
  assert_int_equal (report->n_ended, 0);
  assert_int_equal (report->n_gone, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

static void
report_is_full_for_a_new_owner (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, 0, 0 }));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version_of (fake), 0 }));
  Batch__Report *report = next_report (fake);
  assert_int_not_equal (report->since, 0);
  batch__report__free_unpacked (report, NULL);
  assert_true (send_orders (fake, (OrdersSpec){ 2, fake->now_us, 0, 0, 0, 0, 0 }));
  report = next_report (fake);
  assert_int_equal (report->since, 0);
  assert_int_equal (report->n_running, 1);
  batch__report__free_unpacked (report, NULL);
  /* The same holds for an owner that lost its state of this process. */
  assert_true (send_orders (fake, (OrdersSpec){ 2, fake->now_us, 0, 0, 0, version_of (fake), 0 }));
  Batch__Orders greeting = BATCH__ORDERS__INIT;
  greeting.epoch = 2;
  greeting.owner = "owner";
  assert_true (supervisor_handle_orders (fake->supervisor, &greeting));
  report = next_report (fake);
  assert_int_equal (report->since, 0);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* The owner must not count a start that is never carried out as running. */
static void
refused_start_is_reported_as_gone (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, 0, 0, 0, 0, 0, 0 }));
  assert_true (send_orders (fake, (OrdersSpec){ 1, 0, 0, 0, 0, version_of (fake), 0 }));
  assert_true (send_orders (fake, (OrdersSpec){ 1, 0, 0, 1, 0, version_of (fake), 0 }));
  Batch__Report *report = next_report (fake);
  assert_int_equal (report->n_refused, 1);
  assert_int_equal (report->n_gone, 1);
  assert_string_equal (report->gone[0]->task, TASK);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* Orders after a lost one must wait until that one arrives again. */
static void
orders_after_a_lost_one_wait (void **state)
{
  Fake *fake = fake_new ((Lists){ TASK, 0 });
  FakeCall call;

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 2, 0, 1 }));
  assert_false (take_call (fake, CALL_STOP, &call));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 2, 0, 0 }));
  assert_true (take_call (fake, CALL_STOP, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

static WorkerInfo *
info_with_cpu (int64_t sequence, int64_t cpu_m)
{
  WorkerInfo *info = info_of ("i1", 1, sequence);

  info->capacity.cpu_m = cpu_m;
  return info;
}

static void
changed_capacity_is_reported_at_once (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });

  (void) state;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version_of (fake), 0 }));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 0, 0, version_of (fake), 0 }));
  uint32_t n_changes = fake->n_changes;
  supervisor_handle_info (fake->supervisor, info_with_cpu (2, 16000));
  assert_int_equal (fake->n_changes, n_changes);
  supervisor_handle_info (fake->supervisor, info_with_cpu (3, 4000));
  assert_int_equal (fake->n_changes, n_changes + 1);
  Batch__Report *report = next_report (fake);
  assert_int_not_equal (report->since, 0);
  assert_non_null (report->worker);
  assert_int_equal (report->worker->cpu_m, 4000);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

/* The order was under way when the capacity shrank. */
static void
start_beyond_a_shrunk_capacity_is_refused (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  supervisor_handle_info (fake->supervisor, info_with_cpu (2, 4000));
  fake->needs_cpu_m = 4001;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_false (take_call (fake, CALL_START, &call));
  Batch__Report *report = next_report (fake);
  assert_int_equal (report->n_refused, 1);
  assert_int_equal (report->refused[0]->outcome, RUNNER_NO_CAPACITY);
  batch__report__free_unpacked (report, NULL);
  fake->needs_cpu_m = 4000;
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 2, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

static void
start_of_an_older_owner_is_not_checked (void **state)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  (void) state;
  supervisor_handle_info (fake->supervisor, info_with_cpu (2, 1));
  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  fake_free (fake);
}

/* Starts TASK under a grant; the worker confirms it and lists it. */
static Fake *
fake_with_run (void)
{
  Fake *fake = fake_new ((Lists){ NULL, 0 });
  FakeCall call;

  assert_true (send_orders (fake, (OrdersSpec){ 1, fake->now_us, 0, 1, 0, 0, 0 }));
  assert_true (take_call (fake, CALL_START, &call));
  answer_call (&call, RUNNER_OK);
  return fake;
}

/* The worker is back as another incarnation, whose first poll is answered. */
static void
restart_worker (Fake *fake, int64_t born)
{
  FakeCall call;

  while (take_call (fake, CALL_POLL, &call))
    answer_call (&call, RUNNER_NOT_SENT);
  supervisor_handle_info (fake->supervisor, info_of ("i1", born, 1));
  /* The poll that is under way may be one for the incarnation before. */
  Batch__Report *report = supervisor_report (fake->supervisor);
  answer_poll_with (fake, (Lists){ NULL, 0 }, (Answer){ .born = born, .n_unreadable = 0 });
  if (report == NULL)
    return;
  batch__report__free_unpacked (report, NULL);
  answer_poll_with (fake, (Lists){ NULL, 0 }, (Answer){ .born = born, .n_unreadable = 0 });
}

static size_t
reported_crashes (const Fake *fake)
{
  Batch__Report *report = supervisor_report (fake->supervisor);

  assert_non_null (report);
  assert_int_equal (report->level, 1);
  size_t n_crashes = report->n_crashes;
  batch__report__free_unpacked (report, NULL);
  return n_crashes;
}

static void
confirm_crashes (Fake *fake, uint64_t number)
{
  Batch__Orders orders = BATCH__ORDERS__INIT;

  orders.epoch = 1;
  orders.owner = "owner";
  orders.agent_boot = 5;
  orders.life = incarnation_of (fake);
  orders.echo_us = fake->now_us;
  orders.crashes_kept = number;
  assert_true (supervisor_handle_orders (fake->supervisor, &orders));
}

static void
run_lost_in_a_crash_is_reported_until_it_is_written (void **state)
{
  Fake *fake = fake_with_run ();

  (void) state;
  fake->now_us += 250 * 1000;
  restart_worker (fake, 2);
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_crashes, 1);
  assert_string_equal (report->crashes[0]->task, TASK);
  assert_int_equal (report->crashes[0]->run, 1);
  assert_int_equal (report->crashes[0]->age_ms, 250);
  assert_int_equal (report->crashes[0]->n_others, 0);
  uint64_t number = report->crashes[0]->number;
  batch__report__free_unpacked (report, NULL);
  confirm_crashes (fake, 0);
  assert_int_equal (reported_crashes (fake), 1);
  confirm_crashes (fake, number);
  assert_int_equal (reported_crashes (fake), 0);
  fake_free (fake);
}

static void
crash_is_dated_by_the_first_poll_that_failed (void **state)
{
  Fake *fake = fake_with_run ();
  FakeCall call;

  (void) state;
  fake->now_us += 10 * 1000;
  assert_true (take_call (fake, CALL_POLL, &call));
  answer_call (&call, RUNNER_IN_DOUBT);
  fake->now_us += 2000 * 1000;
  restart_worker (fake, 2);
  Batch__Report *report = supervisor_report (fake->supervisor);
  assert_int_equal (report->n_crashes, 1);
  assert_int_equal (report->crashes[0]->age_ms, 10);
  assert_int_equal (report->crashes[0]->ago_ms, 2000);
  batch__report__free_unpacked (report, NULL);
  fake_free (fake);
}

static void
worker_that_drains_or_left_did_not_crash (void **state)
{
  Fake *fake = fake_with_run ();
  WorkerInfo *info = info_of ("i1", 1, 2);

  (void) state;
  info->is_draining = TRUE;
  supervisor_handle_info (fake->supervisor, info);
  restart_worker (fake, 2);
  assert_int_equal (reported_crashes (fake), 0);
  fake_free (fake);

  fake = fake_with_run ();
  supervisor_worker_left (fake->supervisor, "i1");
  restart_worker (fake, 2);
  assert_int_equal (reported_crashes (fake), 0);
  fake_free (fake);
}

static void
expired_lease_is_not_a_crash (void **state)
{
  Fake *fake = fake_with_run ();

  (void) state;
  fake->now_us += (GRANT_MS + 1000) * 1000;
  restart_worker (fake, 2);
  assert_int_equal (reported_crashes (fake), 0);
  fake_free (fake);
}

static void
run_that_had_ended_did_not_crash (void **state)
{
  Fake *fake = fake_with_run ();

  (void) state;
  fake->now_us += 100 * 1000;
  supervisor_tick (fake->supervisor);
  answer_poll (fake, (Lists){ NULL, 1 });
  restart_worker (fake, 2);
  assert_int_equal (reported_crashes (fake), 0);
  fake_free (fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (cpu_limit_is_repeated_until_the_worker_has_it),
    cmocka_unit_test (newer_cpu_limit_follows_the_answer),
    cmocka_unit_test (start_carries_the_granted_lease),
    cmocka_unit_test (forbidden_start_is_dropped_and_reported_gone),
    cmocka_unit_test (start_without_a_live_grant_is_refused),
    cmocka_unit_test (replaced_owner_is_ignored),
    cmocka_unit_test (start_without_an_answer_is_stopped_before_it_is_gone),
    cmocka_unit_test (stop_is_repeated_until_answered),
    cmocka_unit_test (end_is_dropped_only_after_it_is_written),
    cmocka_unit_test (new_incarnation_drops_the_old_state),
    cmocka_unit_test (late_report_of_a_replaced_worker_is_ignored),
    cmocka_unit_test (answer_of_another_incarnation_is_not_applied),
    cmocka_unit_test (poll_after_a_failed_one_acknowledges_nothing),
    cmocka_unit_test (start_that_another_incarnation_answers_ends_the_known_one),
    cmocka_unit_test (nothing_starts_after_a_failed_call_before_a_poll_is_answered),
    cmocka_unit_test (report_of_another_writer_does_not_replace_the_worker),
    cmocka_unit_test (report_under_the_id_of_the_worker_does_not_change_its_service),
    cmocka_unit_test (worker_is_believed_again_after_two_reports),
    cmocka_unit_test (worker_returns_after_a_report_of_another_writer),
    cmocka_unit_test (worker_that_returns_under_an_earlier_id_is_used),
    cmocka_unit_test (run_is_not_gone_while_the_lists_are_incomplete),
    cmocka_unit_test (worker_is_not_known_before_its_lists_are_complete),
    cmocka_unit_test (start_in_an_outdated_message_is_refused),
    cmocka_unit_test (worker_is_known_by_its_own_report_after_one_without_a_start_time),
    cmocka_unit_test (answer_of_a_poll_sent_before_a_failed_call_verifies_nothing),
    cmocka_unit_test (polls_pause_while_the_first_end_cannot_be_read),
    cmocka_unit_test (worker_is_used_after_a_late_leave_of_its_earlier_incarnation),
    cmocka_unit_test (runs_of_a_worker_that_answers_are_not_gone_after_a_late_leave),
    cmocka_unit_test (worker_that_reports_after_it_counted_as_gone_is_used),
    cmocka_unit_test (capacity_that_shrinks_is_reported_at_once),
    cmocka_unit_test (run_that_outlasts_the_granted_lease_is_stopped),
    cmocka_unit_test (silent_worker_is_not_reported),
    cmocka_unit_test (token_is_raised_after_fencing),
    cmocka_unit_test (polls_pause_until_the_owner_writes_an_end),
    cmocka_unit_test (end_that_is_not_written_is_polled_with_pauses),
    cmocka_unit_test (report_contains_only_changes),
    cmocka_unit_test (report_is_full_for_a_new_owner),
    cmocka_unit_test (refused_start_is_reported_as_gone),
    cmocka_unit_test (report_contains_the_time_of_the_poll),
    cmocka_unit_test (orders_after_a_lost_one_wait),
    cmocka_unit_test (run_lost_in_a_crash_is_reported_until_it_is_written),
    cmocka_unit_test (crash_is_dated_by_the_first_poll_that_failed),
    cmocka_unit_test (worker_that_drains_or_left_did_not_crash),
    cmocka_unit_test (expired_lease_is_not_a_crash),
    cmocka_unit_test (run_that_had_ended_did_not_crash),
    cmocka_unit_test (changed_capacity_is_reported_at_once),
    cmocka_unit_test (orders_are_confirmed_at_once_if_the_owner_wants_that),
    cmocka_unit_test (start_beyond_a_shrunk_capacity_is_refused),
    cmocka_unit_test (start_of_an_older_owner_is_not_checked),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
