/* One owned shard with the real core and fold: takeover, expired leases, lost messages, outcomes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "entry/jobs.h"
#include "entry/shard.h"

#define JOB 7
#define MS CLK_US_PER_MS
#define LEASE_MS 1000
#define DRIFT_MS 100
#define EPOCH 2

typedef struct
{
  Fold *fold;
  Members *members;
  Shard *shard;
  DocDocument *document;
  int64_t now_us;
  uint64_t seq;
  GArray *starts; /**< uint32_t, attempt of each start command */
  uint32_t stops;
  gboolean refuses; /**< commands can't be sent */
  IdsId appended;
  uint32_t appends;
  int64_t offset;
} Fixture;

static gboolean
on_command (void *ctx, const char *agent, const Wire__TaskCommand *command)
{
  Fixture *fix = ctx;

  (void) agent;
  if (fix->refuses)
    return FALSE;
  if (command->verb == WIRE__TASK_VERB__VERB_START)
    g_array_append_val (fix->starts, command->attempt);
  else
    fix->stops++;
  return TRUE;
}

static void
fold_record (Fixture *fix, const Record__Record *record, IdsId id)
{
  Record__Record copy = *record;
  char writer[] = "e";

  copy.id_high = id.high;
  copy.id_low = id.low;
  copy.writer = writer;
  g_autofree uint8_t *data = g_malloc (record__record__get_packed_size (&copy));
  size_t size = record__record__pack (&copy, data);
  fold_apply (fix->fold, fix->offset++, 1000, data, size);
}

/* Folds the record at once; the shard learns of it only from shard_folded(). */
static gboolean
on_append (void *ctx, const Record__Record *record, IdsId *id)
{
  Fixture *fix = ctx;

  *id = ids_new ();
  fix->appended = *id;
  fix->appends++;
  fold_record (fix, record, *id);
  return TRUE;
}

static void
on_decided (void *ctx, const CoreCommand *command)
{
  (void) ctx;
  (void) command;
}

static void
fold_claim_epoch (Fixture *fix, uint64_t epoch)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Claim claim = RECORD__CLAIM__INIT;
  char entry[] = "e";

  Record__Record known = RECORD__RECORD__INIT;
  Record__Entry body = RECORD__ENTRY__INIT;

  body.entry = entry;
  body.incarnation = epoch;
  known.body_case = RECORD__RECORD__BODY_ENTRY;
  known.entry = &body;
  fold_record (fix, &known, ids_new ());
  claim.epoch = epoch;
  claim.entry = entry;
  claim.incarnation = epoch;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  fold_record (fix, &record, ids_new ());
}

static void
fold_job_record (Fixture *fix)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Job job = RECORD__JOB__INIT;
  char name[] = "render";
  g_autofree char *text = jobs_definition (doc_job (fix->document, name));

  job.job = JOB;
  job.name = name;
  job.submitter = name;
  job.tasks = 1;
  job.submitted_ms = 1;
  job.definition = (ProtobufCBinaryData){ strlen (text), (uint8_t *) text };
  record.body_case = RECORD__RECORD__BODY_JOB;
  record.job = &job;
  fold_record (fix, &record, ids_new ());
}

static void
make_shard (Fixture *fix, gboolean is_settled)
{
  ShardOptions options = { .shards = 1,
                           .epoch = EPOCH,
                           .entry_incarnation = 1,
                           .is_reconciled = is_settled,
                           .lease_us = LEASE_MS * MS,
                           .drift_us = DRIFT_MS * MS,
                           .core = { .seed = 1, .mechanisms = CORE_MECHANISM_ALL } };
  ShardOps ops = { on_command, on_append, on_decided, fix };

  fix->shard = shard_new (&options, &ops, fix->fold, fix->document, fix->now_us);
}

static int
set_up (void **state)
{
  const char *text = "[job.render]\ncpu_milli = 1000\n";
  FoldOptions options = { .key_window_ms = 1000000,
                          .answer_bytes_max = 100,
                          .id_window_ms = 1000000,
                          .shards = 1,
                          .history_max = 10 };
  Fixture *fix = g_new0 (Fixture, 1);

  fix->now_us = 10 * CLK_US_PER_S;
  fix->document = doc_parse (text, strlen (text), "t", NULL);
  fix->fold = fold_new (&options);
  fix->members = members_new (300 * MS);
  fix->starts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  fold_claim_epoch (fix, 1);
  fold_claim_epoch (fix, EPOCH);
  fold_job_record (fix);
  *state = fix;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fix = *state;

  shard_free (fix->shard);
  members_free (fix->members);
  fold_free (fix->fold);
  doc_free (fix->document);
  g_array_free (fix->starts, TRUE);
  g_free (fix);
  return 0;
}

typedef struct
{
  uint64_t epoch;
  gboolean granted;
  Wire__TaskState state; /**< TASK_UNKNOWN: no task is reported */
  uint32_t attempt;
} Heartbeat;

/* Delivers a heartbeat of agent @p name; returns whether the reported outcome is acknowledged. */
static gboolean
send_heartbeat (Fixture *fix, const char *name, const Heartbeat *heartbeat)
{
  Wire__Announce announce = WIRE__ANNOUNCE__INIT;
  Wire__ShardEpoch epoch = WIRE__SHARD_EPOCH__INIT;
  Wire__ShardEpoch *epochs[] = { &epoch };
  Wire__Size size = WIRE__SIZE__INIT;
  Wire__TaskStatus status = WIRE__TASK_STATUS__INIT;
  Wire__TaskStatus *tasks[] = { &status };

  size.cpu_milli = 8000;
  size.memory_mb = 8000;
  epoch.epoch = heartbeat->epoch;
  status.job = JOB;
  status.attempt = heartbeat->attempt;
  status.state = heartbeat->state;
  announce.agent = (char *) name;
  announce.incarnation = 1;
  announce.seq = ++fix->seq;
  announce.capacity = &size;
  announce.n_shards = 1;
  announce.shards = epochs;
  announce.n_tasks = heartbeat->state != WIRE__TASK_STATE__TASK_UNKNOWN;
  announce.tasks = tasks;
  members_announce (fix->members, &announce, fix->now_us);
  shard_announce (fix->shard, fix->fold, members_agent (fix->members, name, 0), &announce,
                  heartbeat->granted, fix->now_us);
  return reports_may_ack (shard_reports (fix->shard), &status);
}

static void
tick (Fixture *fix, int64_t after_ms, int64_t certain_ago_ms)
{
  fix->now_us += after_ms * MS;
  shard_tick (fix->shard, fix->members, TRUE, fix->now_us - certain_ago_ms * MS, fix->now_us);
}

static const Heartbeat idle = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_UNKNOWN, 0 };

static uint32_t
newest_start (const Fixture *fix)
{
  return fix->starts->len == 0 ? 0 : g_array_index (fix->starts, uint32_t, fix->starts->len - 1);
}

static void
a_task_starts_and_its_end_is_logged_before_it_is_acknowledged (void **state)
{
  Fixture *fix = *state;
  const Heartbeat done = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_DONE, 1 };

  make_shard (fix, TRUE);
  send_heartbeat (fix, "a0", &idle);
  tick (fix, 100, 0);
  assert_int_equal (newest_start (fix), 1);
  assert_false (send_heartbeat (fix, "a0", &done));
  tick (fix, 100, 0);
  assert_int_equal (fix->appends, 1);
  assert_false (send_heartbeat (fix, "a0", &done));
  shard_folded (fix->shard, fix->fold);
  assert_true (send_heartbeat (fix, "a0", &done));
  tick (fix, 100, 0);
  assert_int_equal (fix->appends, 1);
  assert_int_equal (fold_job (fix->fold, JOB)->n_final, 1);
}

static void
an_unsent_or_unconfirmed_start_is_sent_again (void **state)
{
  Fixture *fix = *state;

  make_shard (fix, TRUE);
  fix->refuses = TRUE;
  send_heartbeat (fix, "a0", &idle);
  tick (fix, 100, 0);
  assert_int_equal (fix->starts->len, 0);
  fix->refuses = FALSE;
  for (int i = 0; i < 100 && fix->starts->len == 0; i++)
    {
      send_heartbeat (fix, "a0", &idle);
      tick (fix, 100, 0);
    }
  assert_int_equal (fix->starts->len, 1);
  uint32_t first = newest_start (fix);
  for (int i = 0; i < 20; i++)
    {
      send_heartbeat (fix, "a0", &idle);
      tick (fix, 100, 0);
    }
  assert_int_equal (fix->starts->len, 2);
  assert_int_equal (newest_start (fix), first);
}

static void
an_expired_lease_counts_only_when_no_other_entry_can_own (void **state)
{
  Fixture *fix = *state;
  const Heartbeat running = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_RUNNING, 1 };

  make_shard (fix, TRUE);
  send_heartbeat (fix, "a0", &idle);
  tick (fix, 100, 0);
  send_heartbeat (fix, "a0", &running);
  tick (fix, LEASE_MS + DRIFT_MS, LEASE_MS);
  send_heartbeat (fix, "a1", &idle);
  tick (fix, 100, LEASE_MS);
  assert_int_equal (fix->starts->len, 1);
  tick (fix, 100, 0);
  send_heartbeat (fix, "a1", &idle);
  tick (fix, 100, 0);
  assert_int_equal (newest_start (fix), 2);
}

static void
a_start_is_not_resent_to_a_lost_agent (void **state)
{
  Fixture *fix = *state;

  make_shard (fix, TRUE);
  send_heartbeat (fix, "a0", &idle);
  tick (fix, 100, 0);
  assert_int_equal (fix->starts->len, 1);
  tick (fix, 3000, 0);
  send_heartbeat (fix, "a0", &idle);
  assert_int_equal (fix->starts->len, 1);
  tick (fix, 100, 0);
  assert_int_equal (newest_start (fix), 2);
  assert_int_equal (fix->starts->len, 2);
}

static void
an_end_of_an_earlier_attempt_cancels_the_later_start (void **state)
{
  Fixture *fix = *state;
  const Heartbeat done = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_DONE, 1 };
  const Heartbeat running = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_RUNNING, 2 };

  make_shard (fix, TRUE);
  send_heartbeat (fix, "a0", &idle);
  tick (fix, 100, 0);
  tick (fix, 3000, 0);
  send_heartbeat (fix, "a1", &idle);
  tick (fix, 100, 0);
  assert_int_equal (newest_start (fix), 2);
  send_heartbeat (fix, "a0", &done);
  for (int i = 0; i < 20; i++)
    {
      tick (fix, 100, 0);
      shard_folded (fix->shard, fix->fold);
      send_heartbeat (fix, "a1", &idle);
    }
  assert_int_equal (fix->starts->len, 2);
  send_heartbeat (fix, "a1", &running);
  assert_int_equal (fix->stops, 1);
}

static void
a_new_owner_waits_for_leases_of_unregistered_agents (void **state)
{
  Fixture *fix = *state;
  const Heartbeat unregistered = { 1, TRUE, WIRE__TASK_STATE__TASK_RUNNING, 1 };

  make_shard (fix, FALSE);
  send_heartbeat (fix, "a1", &idle);
  tick (fix, 100, 0);
  assert_int_equal (fix->starts->len, 0);
  send_heartbeat (fix, "a0", &unregistered);
  shard_reconciled (fix->shard);
  assert_false (shard_may_grant (fix->shard, members_agent (fix->members, "a0", 0)));
  assert_true (shard_may_grant (fix->shard, members_agent (fix->members, "a1", 0)));
  tick (fix, 100, 0);
  send_heartbeat (fix, "a1", &idle);
  tick (fix, 100, 0);
  assert_int_equal (fix->starts->len, 0);
  for (int i = 0; i < 14; i++)
    {
      send_heartbeat (fix, "a1", &idle);
      tick (fix, 100, 0);
    }
  assert_int_equal (fix->starts->len, 1);
}

static void
an_end_starts_nothing_during_the_reconciliation (void **state)
{
  Fixture *fix = *state;
  const Heartbeat running = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_RUNNING, 1 };
  const Heartbeat failed = { EPOCH, TRUE, WIRE__TASK_STATE__TASK_FAILED, 1 };

  make_shard (fix, FALSE);
  send_heartbeat (fix, "a0", &running);
  tick (fix, 100, 0);
  send_heartbeat (fix, "a0", &failed);
  for (int i = 0; i < 10; i++)
    {
      send_heartbeat (fix, "a0", &idle);
      tick (fix, 100, 0);
    }
  assert_int_equal (fix->starts->len, 0);
  shard_reconciled (fix->shard);
  for (int i = 0; i < 100 && fix->starts->len == 0; i++)
    {
      send_heartbeat (fix, "a0", &idle);
      tick (fix, 100, 0);
    }
  assert_int_equal (newest_start (fix), 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_task_starts_and_its_end_is_logged_before_it_is_acknowledged,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (an_unsent_or_unconfirmed_start_is_sent_again, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (an_expired_lease_counts_only_when_no_other_entry_can_own,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_start_is_not_resent_to_a_lost_agent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (an_end_of_an_earlier_attempt_cancels_the_later_start, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_new_owner_waits_for_leases_of_unregistered_agents, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (an_end_starts_nothing_during_the_reconciliation, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
