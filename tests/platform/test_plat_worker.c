#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "common/err.h"
#include "platform/plat_worker.h"
#include "support/fake_worker.h"

#define JOB 0xabcu
#define LEASE_MS 60000
#define SHORT_LEASE_MS 800
#define LATE_MS 5000

/* Result of a successful call. */
#define NO_ERROR ERR_KIND_COUNT

typedef struct
{
  FakeWorker *worker;
  PlatWorker *client;
} Fixture;

static int
set_up (void **state)
{
  const FakeWorkerOptions options = { .capacity = { 4000, 1000, 1 }, .fail_after_ms = 20 };
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->worker = fake_worker_new (&options);
  const PlatWorkerOptions client = { .host = "127.0.0.1",
                                     .port = fake_worker_port (fixture->worker),
                                     .connect_ms = 500,
                                     .read_ms = 1000 };
  fixture->client = plat_worker_new (&client);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  plat_worker_free (fixture->client);
  fake_worker_free (fixture->worker);
  g_free (fixture);
  return 0;
}

static PlatStart
start_of (uint32_t index, uint32_t attempt)
{
  return (PlatStart){ .job = JOB,
                      .index = index,
                      .attempt = attempt,
                      .epoch = 5,
                      .job_name = "render",
                      .batch_class = "render",
                      .reserved = { 1000, 100, 0 },
                      .run_ms = 60000,
                      .lease_left_ms = LEASE_MS,
                      .sent_wall_ms = clk_wall_ms () };
}

static ErrKind
kind_of (gboolean ok, GError *error)
{
  ErrKind kind = ok ? NO_ERROR : err_kind (error);

  g_clear_error (&error);
  return kind;
}

static ErrKind
start (Fixture *fixture, const PlatStart *wanted)
{
  GError *error = NULL;
  gboolean ok = plat_worker_start (fixture->client, wanted, &error);

  return kind_of (ok, error);
}

/* Returns the state that the worker lists for an attempt, -1 when it is not listed. */
static int
state_of (Fixture *fixture, uint32_t index, uint32_t attempt)
{
  g_autoptr (GPtrArray) tasks = plat_worker_list (fixture->client, NULL);
  int found = -1;

  assert_non_null (tasks);
  for (guint i = 0; i < tasks->len; i++)
    {
      const PlatTask *task = g_ptr_array_index (tasks, i);
      if (task->job == JOB && task->index == index && task->attempt == attempt)
        found = (int) task->state;
    }
  return found;
}

typedef struct
{
  const char *name;
  uint64_t epoch;
  DocSize reserved;
  int64_t lease_left_ms;
  int64_t sent_before_ms; /**< simulated delay of the start request */
  ErrKind kind;
} StartCase;

static const StartCase start_cases[] = {
  { "accepted", 5, { 1000, 100, 0 }, LEASE_MS, 0, NO_ERROR },
  { "all remaining capacity", 5, { 3000, 900, 1 }, LEASE_MS, 0, NO_ERROR },
  { "one over capacity", 5, { 3001, 900, 1 }, LEASE_MS, 0, ERR_NO_CAPACITY },
  { "accelerator taken", 5, { 0, 0, 2 }, LEASE_MS, 0, ERR_NO_CAPACITY },
  { "older epoch", 4, { 1, 1, 0 }, LEASE_MS, 0, ERR_STALE_EPOCH },
  { "newer epoch", 6, { 1, 1, 0 }, LEASE_MS, 0, NO_ERROR },
  { "no lease left", 5, { 1, 1, 0 }, 0, 0, ERR_NO_LEASE },
  { "lease expired in transit", 5, { 1, 1, 0 }, 1000, 1500, ERR_NO_LEASE },
  { "delayed, lease still valid", 5, { 1, 1, 0 }, 5000, 1500, NO_ERROR },
  { "sender's clock ahead", 5, { 1, 1, 0 }, 5000, -60000, NO_ERROR },
};

static void
starts_are_accepted_or_refused (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (start_cases); i++)
    {
      const StartCase *row = &start_cases[i];
      void *each = NULL;
      (void) set_up (&each);
      Fixture *fixture = each;
      PlatStart first = start_of (0, 1);
      PlatStart next = start_of (1, 1);

      print_message ("  %s\n", row->name);
      assert_int_equal (start (fixture, &first), NO_ERROR);
      next.epoch = row->epoch;
      next.reserved = row->reserved;
      next.lease_left_ms = row->lease_left_ms;
      next.sent_wall_ms -= row->sent_before_ms;
      assert_int_equal (start (fixture, &next), row->kind);
      assert_int_equal (state_of (fixture, 1, 1), row->kind == NO_ERROR ? PLAT_TASK_RUNNING : -1);
      (void) tear_down (&each);
    }
  (void) state;
}

typedef struct
{
  const char *name;
  FakeFault fault;
  ErrKind kind;
  gboolean has_started;
} FaultCase;

static const FaultCase fault_cases[] = {
  { "down", { FAKE_FAULT_DOWN, 1, 0, 0 }, ERR_REFUSED, FALSE },
  { "slow, too late", { FAKE_FAULT_SLOW, 1, 0, 1400 }, ERR_TIMEOUT, TRUE },
  { "answer lost", { FAKE_FAULT_LOSE_ANSWER, 2, 0, 0 }, ERR_TIMEOUT, TRUE },
  { "duplicate", { FAKE_FAULT_DUPLICATE, 1, 0, 0 }, NO_ERROR, TRUE },
  { "truncated", { FAKE_FAULT_TRUNCATE, 1, 0, 0 }, ERR_PROTOCOL, TRUE },
  { "garbage", { FAKE_FAULT_GARBAGE, 1, 0, 0 }, ERR_PROTOCOL, TRUE },
  { "closed without effect", { FAKE_FAULT_REFUSE, 2, 0, 0 }, ERR_TIMEOUT, FALSE },
};

/* Whatever happens to the answer, the attempt runs at most once and the start can be retried. */
static void
faults_start_at_most_once (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *row = &fault_cases[i];
      void *each = NULL;
      (void) set_up (&each);
      Fixture *fixture = each;
      const PlatStart wanted = start_of (0, 1);

      print_message ("  %s\n", row->name);
      fake_http_fault (fake_worker_http (fixture->worker), &row->fault);
      assert_int_equal (start (fixture, &wanted), row->kind);
      fake_http_fault (fake_worker_http (fixture->worker), &(FakeFault){ .mode = FAKE_FAULT_NONE });
      int64_t limit_us = clk_now_us () + LATE_MS * CLK_US_PER_MS;
      while (row->has_started && state_of (fixture, 0, 1) < 0 && clk_now_us () < limit_us)
        g_usleep (2000);
      assert_int_equal (state_of (fixture, 0, 1), row->has_started ? PLAT_TASK_RUNNING : -1);
      assert_int_equal (start (fixture, &wanted), NO_ERROR);
      g_autoptr (GPtrArray) tasks = plat_worker_list (fixture->client, NULL);
      assert_int_equal (tasks->len, 1);
      (void) tear_down (&each);
    }
  (void) state;
}

static void
closed_port_is_refused (void **state)
{
  const PlatWorkerOptions options
      = { .host = "127.0.0.1", .port = 1, .connect_ms = 500, .read_ms = 500 };
  Fixture fixture = { NULL, plat_worker_new (&options) };
  const PlatStart wanted = start_of (0, 1);

  assert_int_equal (start (&fixture, &wanted), ERR_REFUSED);
  plat_worker_free (fixture.client);
  (void) state;
}

static void
attempt_stopped_before_start_is_fenced (void **state)
{
  Fixture *fixture = *state;
  const PlatStart first = start_of (0, 1);
  const PlatStart second = start_of (0, 2);

  assert_true (plat_worker_stop (fixture->client, JOB, 0, 1, NULL));
  assert_int_equal (start (fixture, &first), ERR_FENCED);
  assert_int_equal (start (fixture, &second), NO_ERROR);
  assert_int_equal (start (fixture, &first), ERR_FENCED);
}

/* A second attempt is refused while the first one runs, and an ended attempt does not restart. */
static void
one_attempt_at_a_time (void **state)
{
  Fixture *fixture = *state;
  const PlatStart first = start_of (0, 1);
  const PlatStart second = start_of (0, 2);

  assert_int_equal (start (fixture, &first), NO_ERROR);
  assert_int_equal (start (fixture, &second), ERR_REFUSED);
  assert_false (plat_worker_forget (fixture->client, JOB, 0, 1, NULL));
  assert_true (plat_worker_checkpoint (fixture->client, JOB, 0, 1, NULL));
  assert_true (plat_worker_checkpoint (fixture->client, JOB, 0, 1, NULL));
  assert_int_equal (start (fixture, &first), NO_ERROR);
  assert_int_equal (state_of (fixture, 0, 1), PLAT_TASK_CHECKPOINTED);
  assert_true (plat_worker_forget (fixture->client, JOB, 0, 1, NULL));
  assert_int_equal (state_of (fixture, 0, 1), -1);
  assert_int_equal (start (fixture, &first), ERR_FENCED);
  assert_int_equal (start (fixture, &second), NO_ERROR);
}

/* The next attempt resumes with the progress of the checkpoint. */
static void
checkpoint_is_resumed (void **state)
{
  Fixture *fixture = *state;
  PlatStart first = start_of (0, 1);
  PlatStart second = start_of (0, 2);

  assert_int_equal (start (fixture, &first), NO_ERROR);
  g_usleep (60000);
  assert_true (plat_worker_checkpoint (fixture->client, JOB, 0, 1, NULL));
  g_autoptr (GPtrArray) tasks = plat_worker_list (fixture->client, NULL);
  const PlatTask *task = g_ptr_array_index (tasks, 0);
  assert_true (task->progress_ms >= 50);
  assert_non_null (task->checkpoint);
  second.checkpoint = task->checkpoint;
  second.run_ms = task->progress_ms + 30;
  assert_int_equal (start (fixture, &second), NO_ERROR);
  g_usleep (60000);
  assert_int_equal (state_of (fixture, 0, 2), PLAT_TASK_DONE);
}

static void
expired_lease_checkpoints (void **state)
{
  Fixture *fixture = *state;
  PlatStart expiring = start_of (0, 1);
  PlatStart renewed = start_of (1, 1);
  PlatStart plain = start_of (2, 1);

  expiring.lease_left_ms = SHORT_LEASE_MS;
  renewed.lease_left_ms = SHORT_LEASE_MS;
  renewed.shard = 1;
  plain.lease_left_ms = SHORT_LEASE_MS;
  plain.job_name = "no-checkpoint";
  assert_int_equal (start (fixture, &expiring), NO_ERROR);
  assert_int_equal (start (fixture, &renewed), NO_ERROR);
  assert_int_equal (start (fixture, &plain), NO_ERROR);
  assert_true (plat_worker_extend (fixture->client, 1, 5, LEASE_MS, NULL));
  g_usleep ((SHORT_LEASE_MS + 50) * CLK_US_PER_MS);
  assert_int_equal (state_of (fixture, 0, 1), PLAT_TASK_CHECKPOINTED);
  assert_int_equal (state_of (fixture, 1, 1), PLAT_TASK_RUNNING);
  assert_int_equal (state_of (fixture, 2, 1), PLAT_TASK_STOPPED);
}

static void
lower_epoch_does_not_extend_the_lease (void **state)
{
  Fixture *fixture = *state;
  GError *error = NULL;
  const PlatStart wanted = start_of (0, 1);

  assert_int_equal (start (fixture, &wanted), NO_ERROR);
  gboolean ok = plat_worker_extend (fixture->client, 0, 4, LEASE_MS, &error);
  assert_int_equal (kind_of (ok, error), ERR_STALE_EPOCH);
  error = NULL;
  ok = plat_worker_extend (fixture->client, 0, 6, 0, &error);
  assert_int_equal (kind_of (ok, error), ERR_NO_LEASE);
}

static void
tasks_end_and_fail (void **state)
{
  Fixture *fixture = *state;
  PlatStart done = start_of (0, 1);
  PlatStart failing = start_of (1, 1);
  PlatStart slowed = start_of (2, 1);
  DocSize capacity;

  done.run_ms = 30;
  failing.job_name = "will-fail";
  slowed.run_ms = 700;
  assert_true (plat_worker_capacity (fixture->client, &capacity, NULL));
  assert_int_equal (capacity.cpu_milli, 4000);
  assert_int_equal (start (fixture, &done), NO_ERROR);
  assert_int_equal (start (fixture, &failing), NO_ERROR);
  assert_int_equal (start (fixture, &slowed), NO_ERROR);
  assert_true (plat_worker_throttle (fixture->client, JOB, 2, 1, 0, NULL));
  g_usleep (60000);
  assert_int_equal (state_of (fixture, 0, 1), PLAT_TASK_DONE);
  assert_int_equal (state_of (fixture, 1, 1), PLAT_TASK_FAILED);
  assert_int_equal (state_of (fixture, 2, 1), PLAT_TASK_RUNNING);
  assert_true (plat_worker_throttle (fixture->client, JOB, 2, 1, 1000, NULL));
  g_usleep (750000);
  assert_int_equal (state_of (fixture, 2, 1), PLAT_TASK_DONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (starts_are_accepted_or_refused),
    cmocka_unit_test (faults_start_at_most_once),
    cmocka_unit_test (closed_port_is_refused),
    cmocka_unit_test_setup_teardown (attempt_stopped_before_start_is_fenced, set_up, tear_down),
    cmocka_unit_test_setup_teardown (one_attempt_at_a_time, set_up, tear_down),
    cmocka_unit_test_setup_teardown (checkpoint_is_resumed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (expired_lease_checkpoints, set_up, tear_down),
    cmocka_unit_test_setup_teardown (lower_epoch_does_not_extend_the_lease, set_up, tear_down),
    cmocka_unit_test_setup_teardown (tasks_end_and_fail, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
