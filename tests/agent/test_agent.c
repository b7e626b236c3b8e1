#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "agent/agent_announce.h"
#include "agent/agent_drain.h"
#include "agent/agent_entries.h"
#include "agent/agent_refusals.h"
#include "common/clk.h"

#define TASKS 20
/** Limit on the control traffic of a node, in bytes per second including headers. */
#define CONTROL_BYTES_PER_S 6144
#define HEARTBEATS_PER_S 2
#define ENTRIES 2
/** TCP, IP and ZeroMQ headers of one message and its acknowledgement. */
#define HEADER_BYTES 100
/** Size of an entry's answer to a heartbeat. */
#define LEASE_BYTES 60

/* With a margin as long as the lease, every task would end between two renewals. */
static void
margin_is_at_most_a_quarter_of_the_lease (void **state)
{
  static const int64_t sent_us = 5000000;
  AgentLeases *leases = agent_leases_new (1000);
  const AgentGrant grant = { .seq = 1, .sent_us = sent_us, .epoch = 1, .lease_ms = 2000 };
  int64_t end_us = 0;
  ErrKind kind = ERR_INTERNAL;

  (void) state;
  agent_leases_sent (leases, 1, sent_us);
  assert_int_equal (agent_leases_grant (leases, &grant, sent_us), AGENT_GRANT_APPLIED);
  assert_true (agent_leases_check (leases, 0, 1, sent_us + 1499 * CLK_US_PER_MS, &end_us, &kind));
  assert_int_equal (end_us, sent_us + 1500 * CLK_US_PER_MS);
  assert_false (agent_leases_check (leases, 0, 1, end_us, &end_us, &kind));
  assert_int_equal (kind, ERR_NO_LEASE);
  agent_leases_free (leases);
}

static AgentAnnounceSource
make_source (int64_t now_us)
{
  DocSize capacity = { 64000, 256000, 8 };
  DocSize service = { 8000, 16000, 0 };
  AgentAnnounceSource source = {
    .name = "agent-quito-norte-0042",
    .incarnation = G_MAXUINT64,
    .seq = 1000000,
    .now_us = now_us,
    .data_centre = "quito-norte",
    .rack = "rack-17",
    .labels = lab_parse ("disk=none,generation=3,role=render", NULL),
    .config_version = 10000,
    .service = "mixdesk",
    .service_healthy = TRUE,
    .queue = agent_queue_new (8, 64),
    .completed = 100000000,
    .quantiles = { 5000, 90000, now_us - 1000 },
    .admission = agent_admission_new (&capacity),
    .leases = agent_leases_new (1000),
    .previous_us = now_us - CLK_US_PER_S / HEARTBEATS_PER_S,
  };

  agent_admission_set_service ((AgentAdmission *) source.admission, &service);
  return source;
}

static AgentTasks *
make_tasks (const AgentAnnounceSource *source)
{
  AgentTasksOptions options
      = { 64, 64, 0, (AgentAdmission *) source->admission, (AgentLeases *) source->leases };
  AgentTasks *tasks = agent_tasks_new (&options);
  AgentGrant grant = { 41, 7, 1, source->now_us, 10000 };

  agent_leases_sent (options.leases, 1, source->now_us);
  assert_int_equal (agent_leases_grant (options.leases, &grant, source->now_us),
                    AGENT_GRANT_APPLIED);
  for (uint32_t i = 0; i < TASKS; i++)
    {
      AgentStart start = { .id = { G_MAXUINT64, 1000 + i, 2 },
                           .shard = 41,
                           .epoch = 7,
                           .reserved = { 2000, 8000, 0 },
                           .job_name = "master-render",
                           .batch_class = "master-render" };
      AgentTask *task;
      int64_t end_us;
      ErrKind kind;
      assert_int_equal (agent_tasks_start (tasks, &start, source->now_us, &task, &end_us, &kind),
                        AGENT_START_ACCEPTED);
      task->progress_ms = 3600000;
      task->used = (DocSize){ 1900, 7000, 0 };
      task->measured_us = source->previous_us - (i % 2 == 0 ? 1 : 0);
    }
  return tasks;
}

static void
clear_source (AgentAnnounceSource *source)
{
  agent_queue_free ((AgentQueue *) source->queue);
  agent_leases_free ((AgentLeases *) source->leases);
  agent_admission_free ((AgentAdmission *) source->admission);
  lab_free ((LabSet *) source->labels);
}

/* Reads the reported tail latency and its age, @p idle_us after the last request ended. */
static void
read_service (int64_t idle_us, gboolean is_running, int64_t *p99_us, int64_t *measured_ago_us)
{
  AgentAnnounceSource source = make_source (CLK_US_PER_S * 1000000);
  AgentTasks *tasks = make_tasks (&source);
  AgentQueue *queue = (AgentQueue *) source.queue;
  gboolean is_expired = FALSE;
  ErrKind kind;

  source.tasks = tasks;
  source.quantiles.newest_us = source.now_us - idle_us;
  if (is_running)
    {
      assert_true (agent_queue_add (queue, &source, G_MAXINT64, source.now_us, &kind));
      assert_non_null (agent_queue_take (queue, source.now_us, &is_expired));
    }
  AgentAnnounce *announce = agent_announce_new (&source);
  const Wire__ServiceStatus *status = agent_announce_envelope (announce)->announce->services[0];
  *p99_us = status->p99_us;
  *measured_ago_us = status->measured_ago_us;
  agent_announce_free (announce);
  if (is_running)
    agent_queue_done (queue);
  agent_tasks_free (tasks);
  clear_source (&source);
}

/* An idle endpoint reports no tail latency, with age 0. A stalled endpoint reports its last tail
 * latency with its true age. */
static void
idle_service_reports_no_tail_latency (void **state)
{
  int64_t p99_us = -1;
  int64_t ago_us = -1;

  (void) state;
  read_service (5 * CLK_US_PER_S, FALSE, &p99_us, &ago_us);
  assert_int_equal (p99_us, 0);
  assert_int_equal (ago_us, 0);
  read_service (5 * CLK_US_PER_S, TRUE, &p99_us, &ago_us);
  assert_int_equal (p99_us, 90000);
  assert_int_equal (ago_us, 5 * CLK_US_PER_S);
  read_service (1000, FALSE, &p99_us, &ago_us);
  assert_int_equal (p99_us, 90000);
  assert_int_equal (ago_us, 1000);
}

static void
heartbeat_is_within_the_control_budget (void **state)
{
  AgentAnnounceSource source = make_source (CLK_US_PER_S * 1000000);
  AgentTasks *tasks = make_tasks (&source);

  (void) state;
  source.tasks = tasks;
  AgentAnnounce *announce = agent_announce_new (&source);
  size_t bytes = wire__envelope__get_packed_size (agent_announce_envelope (announce));
  size_t per_s = ENTRIES * HEARTBEATS_PER_S * (bytes + LEASE_BYTES + 2 * HEADER_BYTES);
  printf ("heartbeat: %zu bytes; %zu bytes a second to %d entries\n", bytes, per_s, ENTRIES);
  assert_true (per_s <= CONTROL_BYTES_PER_S);
  agent_announce_free (announce);
  agent_tasks_free (tasks);
  clear_source (&source);
}

/** One state of a leaving agent. */
typedef struct
{
  const char *name;
  AgentDrainPending pending;
  int64_t at_ms;
  gboolean done;
} DrainCase;

static const DrainCase drain_cases[] = {
  { "nothing pending", { 0, 0, 0, TRUE }, 0, TRUE },
  { "a request", { 1, 0, 0, TRUE }, 0, FALSE },
  { "a request, past all bounds", { 1, 0, 0, TRUE }, 100000, FALSE },
  { "a task", { 0, 1, 0, TRUE }, 999, FALSE },
  { "a task, past its bound", { 0, 1, 0, TRUE }, 1000, TRUE },
  { "an outcome", { 0, 0, 1, TRUE }, 999, FALSE },
  { "an outcome, past its bound", { 0, 0, 1, TRUE }, 1000, TRUE },
  { "a receipt", { 0, 0, 0, FALSE }, 0, FALSE },
};

static void
drain_waits_for_pending_work (void **state)
{
  AgentDrainOptions options = { 1000 * CLK_US_PER_MS, 100 * CLK_US_PER_MS };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (drain_cases); i++)
    {
      const DrainCase *row = &drain_cases[i];
      AgentDrain drain;
      agent_drain_init (&drain, &options);
      assert_false (agent_drain_is_done (&drain, &row->pending, 1));
      assert_true (agent_drain_leave (&drain, 1));
      assert_false (agent_drain_leave (&drain, 2));
      if (agent_drain_is_done (&drain, &row->pending, 1 + row->at_ms * CLK_US_PER_MS) != row->done)
        fail_msg ("%s", row->name);
    }
}

static void
drain_waits_for_receipts_up_to_a_limit (void **state)
{
  AgentDrainOptions options = { 0, 100 * CLK_US_PER_MS };
  AgentDrainPending pending = { 0, 0, 0, FALSE };
  AgentDrain drain;

  (void) state;
  agent_drain_init (&drain, &options);
  assert_true (agent_drain_leave (&drain, 1));
  assert_false (agent_drain_is_done (&drain, &pending, 1));
  assert_false (agent_drain_is_done (&drain, &pending, 100 * CLK_US_PER_MS));
  assert_true (agent_drain_is_done (&drain, &pending, 101 * CLK_US_PER_MS));
}

static void
receipt_is_confirmed_by_a_later_heartbeat (void **state)
{
  AgentEntries *entries = agent_entries_new ();

  (void) state;
  assert_false (agent_entries_any_echoed (entries, 100, 50));
  assert_true (agent_entries_note_echo (entries, "a", 1, 50));
  assert_true (agent_entries_any_echoed (entries, 100, 150));
  assert_false (agent_entries_any_echoed (entries, 100, 151));
  agent_entries_note_sent (entries, "a", 1);
  assert_false (agent_entries_all_received (entries, 100, 60));
  assert_true (agent_entries_note_echo (entries, "a", 1, 60));
  assert_false (agent_entries_all_received (entries, 100, 60));
  assert_true (agent_entries_note_echo (entries, "a", 2, 70));
  assert_true (agent_entries_all_received (entries, 100, 70));
  agent_entries_note_sent_all (entries, 2);
  assert_false (agent_entries_all_received (entries, 100, 70));
  assert_true (agent_entries_all_received (entries, 100, 171));
  agent_entries_free (entries);
}

static void
full_refusals_drop_the_oldest (void **state)
{
  AgentRefusals *refusals = agent_refusals_new (3);

  (void) state;
  for (uint64_t i = 1; i <= 5; i++)
    {
      agent_refusals_add (refusals, (IdsId){ 1, i }, 1);
      agent_refusals_add (refusals, (IdsId){ 1, i }, 1);
    }
  for (uint64_t i = 1; i <= 5; i++)
    {
      assert_int_equal (agent_refusals_has (refusals, (IdsId){ 1, i }, 1), i > 2);
      assert_false (agent_refusals_has (refusals, (IdsId){ 1, i }, 2));
    }
  agent_refusals_free (refusals);
}

static void
latency_covers_only_the_window (void **state)
{
  static AgentLatency latency;
  AgentQuantiles quantiles = agent_latency_read (&latency, 100, 1000);

  (void) state;
  assert_int_equal (quantiles.newest_us, 0);
  for (int i = 1; i <= 100; i++)
    agent_latency_add (&latency, i, 1000);
  agent_latency_add (&latency, 7, 2000);
  quantiles = agent_latency_read (&latency, 1000, 2000);
  assert_in_range (quantiles.p50_us, 49, 51);
  assert_in_range (quantiles.p99_us, 98, 100);
  quantiles = agent_latency_read (&latency, 500, 2000);
  assert_int_equal (quantiles.p99_us, 7);
  assert_int_equal (quantiles.newest_us, 2000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (margin_is_at_most_a_quarter_of_the_lease),
    cmocka_unit_test (idle_service_reports_no_tail_latency),
    cmocka_unit_test (heartbeat_is_within_the_control_budget),
    cmocka_unit_test (drain_waits_for_pending_work),
    cmocka_unit_test (drain_waits_for_receipts_up_to_a_limit),
    cmocka_unit_test (receipt_is_confirmed_by_a_later_heartbeat),
    cmocka_unit_test (full_refusals_drop_the_oldest),
    cmocka_unit_test (latency_covers_only_the_window),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
