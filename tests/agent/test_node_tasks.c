#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "agent/rig.h"

#define LONGER_THAN_A_LEASE_MS (3 * LEASE_MS)

static void
task_runs_under_a_lease_until_acknowledged (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  (void) wait_for (rig, is_running, 11, 1);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 12, 3, 400);
  const Wire__TaskStatus *full = wait_for (rig, is_ended, 12, 1)->event;
  assert_int_equal (full->state, WIRE__TASK_STATE__TASK_REFUSED);
  assert_string_equal (full->kind, "no_capacity");
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_DONE);
  set_grant (rig, 3, TRUE);
  for (int i = 0; i < 100 && announced_tasks (rig) > 0; i++)
    g_usleep (20000);
  assert_int_equal (announced_tasks (rig), 0);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  assert_string_equal (wait_for (rig, is_ended, 11, 2)->event->kind, "fenced");
  rig_free (rig);
}

static void
command_without_a_lease_is_refused (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  assert_string_equal (wait_for (rig, is_ended, 11, 1)->event->kind, "no_lease");
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 12, 2, 400);
  assert_string_equal (wait_for (rig, is_ended, 12, 1)->event->kind, "stale_epoch");
  rig_free (rig);
}

static void
expired_lease_checkpoints_its_tasks (void **state)
{
  Rig *rig = rig_new (TRUE);
  int64_t since_us;

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 60000);
  (void) wait_for (rig, is_running, 11, 1);
  since_us = clk_now_us ();
  set_grant (rig, 0, FALSE);
  const Wire__TaskStatus *ended = wait_for (rig, is_ended, 11, 1)->event;
  assert_int_equal (ended->state, WIRE__TASK_STATE__TASK_CHECKPOINTED);
  assert_true (clk_now_us () - since_us < LEASE_MS * CLK_US_PER_MS);
  rig_free (rig);
}

static void
leaving_checkpoints_and_reports_tasks (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, TRUE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 60000);
  (void) wait_for (rig, is_running, 11, 1);
  agent_node_leave (rig->node);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state,
                    WIRE__TASK_STATE__TASK_CHECKPOINTED);
  for (int i = 0; i < 200 && !atomic_load (&rig->node->is_done); i++)
    g_usleep (20000);
  assert_true (atomic_load (&rig->node->is_done));
  rig_free (rig);
}

static void
set_worker_fault (Rig *rig, FakeFaultMode mode, int64_t for_ms)
{
  FakeFault fault = { .mode = mode, .for_ms = for_ms };

  fake_http_fault (fake_worker_http (rig->worker), &fault);
}

static void
start_whose_answer_is_lost_runs_once (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  set_worker_fault (rig, FAKE_FAULT_LOSE_ANSWER, 400);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 600);
  (void) wait_for (rig, is_running, 11, 1);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_DONE);
  rig_free (rig);
}

static void
refused_start_never_runs (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  set_worker_fault (rig, FAKE_FAULT_DOWN, 300);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 600);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_REFUSED);
  g_usleep (400000);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 600);
  (void) wait_for (rig, is_ended, 11, 2);
  assert_null (find_received (rig, is_running, 11, 1));
  rig_free (rig);
}

static void
task_of_unresponsive_worker_is_stopped_after_its_lease (void **state)
{
  Rig *rig = rig_new (TRUE);
  int64_t since_us;

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 60000);
  (void) wait_for (rig, is_running, 11, 1);
  since_us = clk_now_us ();
  set_worker_fault (rig, FAKE_FAULT_DOWN, 0);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_STOPPED);
  assert_true (clk_now_us () - since_us >= (LEASE_MS - 1000) * CLK_US_PER_MS);
  rig_free (rig);
}

static void
restart_agent (Rig *rig)
{
  agent_node_close (rig->node);
  pthread_mutex_lock (&rig->mutex);
  wire_parsed_free (rig->announce);
  rig->announce = NULL;
  pthread_mutex_unlock (&rig->mutex);
  rig->node = agent_node_open (&rig->settings, rig->metrics, NULL);
  wait_healthy (rig);
}

static void
restarted_agent_takes_over_running_tasks (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 1000);
  (void) wait_for (rig, is_running, 11, 1);
  restart_agent (rig);
  assert_int_equal (announced_tasks (rig), 1);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_DONE);
  rig_free (rig);
}

/* A restarted agent extends the leases of the tasks it takes over, under the shard that started
 * them. */
static void
lease_of_adopted_task_is_extended (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 12, 3, LONGER_THAN_A_LEASE_MS);
  (void) wait_for (rig, is_running, 12, 1);
  restart_agent (rig);
  assert_int_equal (wait_for (rig, is_ended, 12, 1)->event->state, WIRE__TASK_STATE__TASK_DONE);
  rig_free (rig);
}

static void
record_order (void *ctx, AgentOrder *order)
{
  AgentOrder **result = ctx;

  g_assert_null (*result);
  *result = order;
}

static void
drop_report (void *ctx, AgentReport *report)
{
  (void) ctx;
  agent_report_free (report);
}

/* Guards against a process that was paused and resumes: it holds an order whose lease has expired
 * in the meantime, and must not send it. */
static void
order_with_expired_lease_is_not_sent (void **state)
{
  FakeWorkerOptions fake = { .capacity = { 4000, 4000, 1 } };
  FakeWorker *server = fake_worker_new (&fake);
  AgentOrder *result = NULL;
  AgentWorkerOptions options = { .client = { "127.0.0.1", fake_worker_port (server), 1000, 1000 },
                                 .poll_ms = 3600000,
                                 .on_result = record_order,
                                 .on_report = drop_report,
                                 .ctx = &result };
  AgentOrder *order = g_new0 (AgentOrder, 1);

  (void) state;
  *order = (AgentOrder){ .verb = AGENT_VERB_START,
                         .id = { 1, 2, 3 },
                         .epoch = 1,
                         .lease_end_us = clk_now_us () - 1,
                         .job_name = g_strdup ("render") };
  AgentWorker *worker = agent_worker_new (&options);
  assert_true (agent_worker_push (worker, order));
  g_usleep (200000);
  agent_worker_free (worker);
  assert_non_null (result);
  assert_false (result->ok);
  assert_int_equal (result->kind, ERR_NO_LEASE);
  agent_order_free (result);
  /* Only the two calls of the report, capacity and list; a sent start would be a third call. The
   * call count is checked because the worker would have refused the start as well. */
  assert_int_equal (fake_http_calls (fake_worker_http (server)), 2);
  PlatWorkerOptions client_options = { "127.0.0.1", fake_worker_port (server), 1000, 1000 };
  PlatWorker *client = plat_worker_new (&client_options);
  GPtrArray *tasks = plat_worker_list (client, NULL);
  assert_int_equal (tasks->len, 0);
  g_ptr_array_unref (tasks);
  plat_worker_free (client);
  fake_worker_free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (task_runs_under_a_lease_until_acknowledged),
    cmocka_unit_test (command_without_a_lease_is_refused),
    cmocka_unit_test (expired_lease_checkpoints_its_tasks),
    cmocka_unit_test (leaving_checkpoints_and_reports_tasks),
    cmocka_unit_test (start_whose_answer_is_lost_runs_once),
    cmocka_unit_test (refused_start_never_runs),
    cmocka_unit_test (task_of_unresponsive_worker_is_stopped_after_its_lease),
    cmocka_unit_test (restarted_agent_takes_over_running_tasks),
    cmocka_unit_test (lease_of_adopted_task_is_extended),
    cmocka_unit_test (order_with_expired_lease_is_not_sent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
