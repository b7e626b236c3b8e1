#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/err.h"
#include "support/fake_state.h"

#define START_MS 1000000000

/* A fold, and the time and last record id of the log that it reads. */
typedef struct
{
  Fold *fold;
  int64_t time_ms;
  uint64_t last_id;
} Fixture;

static int
set_up (void **state)
{
  const FoldOptions options = fake_fold_options ();
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->fold = fold_new (&options);
  fixture->time_ms = START_MS;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  fold_free (fixture->fold);
  g_free (fixture);
  return 0;
}

static FoldResult
apply_packed (Fixture *fixture, const Record__Record *record)
{
  size_t size = record__record__get_packed_size (record);
  g_autofree uint8_t *data = g_malloc (size);

  (void) record__record__pack (record, data);
  return fold_apply (fixture->fold, fold_next_offset (fixture->fold), fixture->time_ms, data, size);
}

static Record__Record
new_record (Fixture *fixture, Record__Record__BodyCase body_case)
{
  Record__Record record = RECORD__RECORD__INIT;

  record.id_high = 1;
  record.id_low = ++fixture->last_id;
  record.wall_ms = fixture->time_ms;
  record.body_case = body_case;
  return record;
}

static FoldResult
apply_entry (Fixture *fixture, const char *name, uint64_t incarnation, gboolean leaving)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_ENTRY);
  Record__Entry entry = RECORD__ENTRY__INIT;

  entry.entry = (char *) name;
  entry.incarnation = incarnation;
  entry.leaving = leaving;
  record.entry = &entry;
  return apply_packed (fixture, &record);
}

static FoldResult
apply_claim (
    Fixture *fixture, uint32_t shard, uint64_t epoch, const char *name, uint64_t incarnation)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_CLAIM);
  Record__Claim claim = RECORD__CLAIM__INIT;

  claim.shard = shard;
  claim.epoch = epoch;
  claim.entry = (char *) name;
  claim.incarnation = incarnation;
  record.claim = &claim;
  return apply_packed (fixture, &record);
}

static FoldResult
apply_job (Fixture *fixture, uint64_t id, uint32_t tasks)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_JOB);
  Record__Job job = RECORD__JOB__INIT;

  job.job = id;
  job.name = (char *) "render";
  job.tasks = tasks;
  record.job = &job;
  return apply_packed (fixture, &record);
}

static FoldResult
apply_end (Fixture *fixture, uint64_t job, uint32_t index, uint32_t attempt, Record__TaskEnd end)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_TASKS);
  Record__TaskBatch batch = RECORD__TASK_BATCH__INIT;
  Record__TaskOutcome outcome = RECORD__TASK_OUTCOME__INIT;
  Record__TaskOutcome *outcomes[] = { &outcome };

  outcome.job = job;
  outcome.index = index;
  outcome.attempt = attempt;
  outcome.state = end;
  batch.epoch = 1;
  batch.n_outcomes = 1;
  batch.outcomes = outcomes;
  record.tasks = &batch;
  return apply_packed (fixture, &record);
}

static FoldResult
apply_intent (
    Fixture *fixture, const char *key, uint32_t attempt, uint64_t digest, const char *service)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_INTENT);
  Record__Intent intent = RECORD__INTENT__INIT;

  intent.tenant = (char *) "bank";
  intent.key = (char *) key;
  intent.service = (char *) service;
  intent.agent = (char *) "agent";
  intent.attempt = attempt;
  intent.request_digest = digest;
  intent.dated_ms = fixture->time_ms;
  record.intent = &intent;
  return apply_packed (fixture, &record);
}

static FoldResult
apply_outcome (Fixture *fixture, const char *key, uint32_t attempt, gboolean fenced, size_t size)
{
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_OUTCOME);
  Record__Outcome outcome = RECORD__OUTCOME__INIT;
  g_autofree uint8_t *body = g_malloc0 (size + 1);

  outcome.tenant = (char *) "bank";
  outcome.key = (char *) key;
  outcome.attempt = attempt;
  outcome.fenced = fenced;
  outcome.body = (ProtobufCBinaryData){ size, body };
  outcome.length = size;
  outcome.body_held = !fenced;
  record.outcome = &outcome;
  return apply_packed (fixture, &record);
}

/* Replaces the fold with one that is loaded from its snapshot. */
static void
restart (Fixture *fixture, const FoldOptions *options)
{
  g_autoptr (GBytes) snapshot = fold_snapshot (fixture->fold);
  gsize size;
  const uint8_t *data = g_bytes_get_data (snapshot, &size);

  fold_free (fixture->fold);
  fixture->fold = fold_from_snapshot (options, data, size, NULL);
  assert_non_null (fixture->fold);
}

typedef struct
{
  Record__TaskEnd before;
  uint32_t before_attempt;
  Record__TaskEnd end;
  uint32_t attempt;
  FoldResult result;
} EndCase;

#define DONE RECORD__TASK_END__END_DONE
#define FAILED RECORD__TASK_END__END_FAILED
#define CHECKPOINT RECORD__TASK_END__END_CHECKPOINT
#define CANCELLED RECORD__TASK_END__END_CANCELLED
#define GIVEN_UP RECORD__TASK_END__END_GIVEN_UP
#define UNPLACEABLE RECORD__TASK_END__END_UNPLACEABLE

static const EndCase end_cases[] = {
  { FAILED, 1, DONE, 2, FOLD_APPLIED },           { FAILED, 1, FAILED, 1, FOLD_REFUSED },
  { FAILED, 1, DONE, 1, FOLD_REFUSED },           { FAILED, 2, DONE, 1, FOLD_REFUSED },
  { CHECKPOINT, 1, CHECKPOINT, 1, FOLD_REFUSED }, { CHECKPOINT, 1, FAILED, 2, FOLD_APPLIED },
  { DONE, 1, FAILED, 2, FOLD_REFUSED },           { DONE, 1, CANCELLED, 1, FOLD_REFUSED },
  { CANCELLED, 0, DONE, 1, FOLD_REFUSED },        { FAILED, 1, GIVEN_UP, 1, FOLD_APPLIED },
  { GIVEN_UP, 1, FAILED, 2, FOLD_REFUSED },       { UNPLACEABLE, 0, DONE, 1, FOLD_APPLIED },
  { FAILED, 2, CANCELLED, 1, FOLD_REFUSED },      { CHECKPOINT, 1, UNPLACEABLE, 1, FOLD_APPLIED },
};

static void
first_end_of_an_attempt_wins (void **state)
{
  Fixture *fixture = *state;

  (void) apply_entry (fixture, "a", 1, FALSE);
  assert_int_equal (apply_claim (fixture, 0, 1, "a", 1), FOLD_APPLIED);
  for (size_t i = 0; i < G_N_ELEMENTS (end_cases); i++)
    {
      const EndCase *row = &end_cases[i];
      uint64_t job = 100 + i;
      assert_int_equal (apply_job (fixture, job, 2), FOLD_APPLIED);
      assert_int_equal (apply_end (fixture, job, 1, row->before_attempt, row->before),
                        FOLD_APPLIED);
      FoldResult result = apply_end (fixture, job, 1, row->attempt, row->end);
      if (result != row->result)
        fail_msg ("case %zu: result %d", i, result);
      const FoldTask *task = &fold_job (fixture->fold, job)->tasks[1];
      assert_int_equal (task->end, result == FOLD_APPLIED ? row->end : row->before);
    }
}

/* The job that ended first is dropped first, also after a restart. */
static void
ended_jobs_are_dropped_in_order_of_end (void **state)
{
  Fixture *fixture = *state;
  const FoldOptions options = fake_fold_options ();

  (void) apply_entry (fixture, "a", 1, FALSE);
  (void) apply_claim (fixture, 0, 1, "a", 1);
  for (uint64_t job = 1; job <= 6; job++)
    (void) apply_job (fixture, job, 1);
  for (uint64_t job = 4; job >= 1; job--)
    assert_int_equal (apply_end (fixture, job, 0, 1, DONE), FOLD_APPLIED);
  restart (fixture, &options);
  assert_int_equal (apply_end (fixture, 5, 0, 1, DONE), FOLD_APPLIED);
  assert_null (fold_job (fixture->fold, 4));
  assert_non_null (fold_job (fixture->fold, 1));
  assert_int_equal (fold_jobs (fixture->fold)->len, 5);
}

static void
key_is_bound_to_its_request (void **state)
{
  Fixture *fixture = *state;

  assert_int_equal (apply_intent (fixture, "k", 2, 7, "credit"), FOLD_REFUSED);
  assert_int_equal (apply_intent (fixture, "k", 1, 7, "credit"), FOLD_APPLIED);
  assert_int_equal (apply_intent (fixture, "k", 2, 7, "credit"), FOLD_REFUSED);
  assert_int_equal (apply_outcome (fixture, "k", 2, TRUE, 0), FOLD_REFUSED);
  assert_int_equal (apply_outcome (fixture, "k", 1, TRUE, 0), FOLD_APPLIED);
  assert_int_equal (apply_outcome (fixture, "k", 1, FALSE, 3), FOLD_REFUSED);
  assert_int_equal (apply_intent (fixture, "k", 2, 8, "credit"), FOLD_REFUSED);
  assert_int_equal (apply_intent (fixture, "k", 2, 7, "debit"), FOLD_REFUSED);
  assert_int_equal (apply_intent (fixture, "k", 3, 7, "credit"), FOLD_REFUSED);
  assert_int_equal (apply_intent (fixture, "k", 2, 7, "credit"), FOLD_APPLIED);
  assert_int_equal (apply_outcome (fixture, "k", 2, FALSE, 3), FOLD_APPLIED);
  assert_int_equal (apply_intent (fixture, "k", 3, 7, "credit"), FOLD_REFUSED);
  assert_true (fold_intent (fixture->fold, "bank", "k")->body_held);
  assert_null (fold_intent (fixture->fold, "other", "k"));
}

/* Over the size limit, the body of the oldest answer is dropped first, also after a restart. */
static void
oldest_answers_are_dropped_first (void **state)
{
  Fixture *fixture = *state;
  FoldOptions options = fake_fold_options ();

  options.answers_bytes_max = 250;
  restart (fixture, &options);
  (void) apply_intent (fixture, "a", 1, 7, "credit");
  (void) apply_intent (fixture, "b", 1, 7, "credit");
  (void) apply_intent (fixture, "c", 1, 7, "credit");
  assert_int_equal (apply_outcome (fixture, "b", 1, FALSE, 100), FOLD_APPLIED);
  assert_int_equal (apply_outcome (fixture, "a", 1, FALSE, 100), FOLD_APPLIED);
  restart (fixture, &options);
  assert_int_equal (apply_outcome (fixture, "c", 1, FALSE, 100), FOLD_APPLIED);
  assert_false (fold_intent (fixture->fold, "bank", "b")->body_held);
  assert_int_equal (fold_intent (fixture->fold, "bank", "b")->length, 100);
  assert_true (fold_intent (fixture->fold, "bank", "a")->body_held);
  assert_true (fold_intent (fixture->fold, "bank", "c")->body_held);
}

static void
owner_that_left_is_replaced_at_once (void **state)
{
  Fixture *fixture = *state;

  assert_int_equal (apply_claim (fixture, 0, 1, "a", 1), FOLD_REFUSED);
  (void) apply_entry (fixture, "a", 1, FALSE);
  assert_int_equal (apply_claim (fixture, 0, 1, "a", 1), FOLD_APPLIED);
  fixture->time_ms += 5000;
  (void) apply_entry (fixture, "b", 2, FALSE);
  assert_int_equal (apply_claim (fixture, 0, 2, "b", 2), FOLD_REFUSED);
  /* A leave of another incarnation releases nothing. */
  assert_int_equal (apply_entry (fixture, "a", 9, TRUE), FOLD_REFUSED);
  assert_int_equal (apply_claim (fixture, 0, 2, "b", 2), FOLD_REFUSED);
  assert_int_equal (apply_entry (fixture, "a", 1, TRUE), FOLD_APPLIED);
  assert_int_equal (apply_claim (fixture, 0, 2, "a", 1), FOLD_REFUSED);
  assert_int_equal (apply_claim (fixture, 0, 2, "b", 2), FOLD_APPLIED);
  assert_int_equal (apply_claim (fixture, 0, 2, "b", 2), FOLD_REFUSED);
}

/* A process that was paused and replaced under its name must not displace its successor. */
static void
replaced_incarnation_is_refused (void **state)
{
  Fixture *fixture = *state;
  const FoldOptions options = fake_fold_options ();

  assert_int_equal (apply_entry (fixture, "a", 1, FALSE), FOLD_APPLIED);
  assert_int_equal (apply_entry (fixture, "a", 2, FALSE), FOLD_APPLIED);
  assert_int_equal (apply_entry (fixture, "a", 1, FALSE), FOLD_REFUSED);
  restart (fixture, &options);
  assert_int_equal (apply_entry (fixture, "a", 1, FALSE), FOLD_REFUSED);
  assert_int_equal (apply_claim (fixture, 0, 1, "a", 1), FOLD_REFUSED);
  assert_int_equal (apply_claim (fixture, 0, 1, "a", 2), FOLD_APPLIED);
  for (uint64_t incarnation = 3; incarnation < 30; incarnation++)
    assert_int_equal (apply_entry (fixture, "a", incarnation, FALSE), FOLD_APPLIED);
  assert_int_equal (apply_entry (fixture, "a", 28, FALSE), FOLD_REFUSED);
  assert_int_equal (apply_entry (fixture, "a", 29, FALSE), FOLD_APPLIED);
}

static void
history_is_bounded_and_keeps_one_text (void **state)
{
  Fixture *fixture = *state;

  assert_int_equal (fold_config (fixture->fold)->version, 0);
  for (int i = 0; i < 6; i++)
    {
      Record__Record record = new_record (fixture, RECORD__RECORD__BODY_CONFIG);
      Record__Config config = RECORD__CONFIG__INIT;
      config.base_version = fold_config (fixture->fold)->version;
      config.text = (ProtobufCBinaryData){ 4, (uint8_t *) "text" };
      record.config = &config;
      assert_int_equal (apply_packed (fixture, &record), FOLD_APPLIED);
    }
  const GPtrArray *history = fold_history (fixture->fold);
  assert_int_equal (history->len, 4);
  assert_non_null (((const FoldConfig *) g_ptr_array_index (history, 0))->text);
  assert_null (((const FoldConfig *) g_ptr_array_index (history, 1))->text);
}

static void
newer_and_malformed_records_change_nothing (void **state)
{
  Fixture *fixture = *state;
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY__NOT_SET);
  /* A record id and a body with a field number that this build does not know. */
  static const uint8_t newer[]
      = { 0x09, 1, 0, 0, 0, 0, 0, 0, 0, 0x11, 99, 0, 0, 0, 0, 0, 0, 0, 0x9a, 0x06, 1, 0 };
  static const uint8_t garbage[] = { 0xff, 0xff, 0xff };
  g_autofree char *longest = g_strnfill (300, 'k');

  assert_int_equal (fold_apply (fixture->fold, 0, START_MS, newer, sizeof newer), FOLD_UNKNOWN);
  assert_int_equal (fold_apply (fixture->fold, 1, START_MS, garbage, sizeof garbage),
                    FOLD_MALFORMED);
  assert_int_equal (apply_intent (fixture, longest, 1, 7, "credit"), FOLD_MALFORMED);
  assert_int_equal (apply_intent (fixture, "", 1, 7, "credit"), FOLD_MALFORMED);
  assert_int_equal (apply_claim (fixture, 99, 1, "a", 1), FOLD_MALFORMED);
  assert_int_equal (apply_job (fixture, 1, 0), FOLD_MALFORMED);
  assert_int_equal (apply_job (fixture, 1, 2000000), FOLD_MALFORMED);
  record.id_high = 0;
  record.id_low = 0;
  assert_int_equal (apply_packed (fixture, &record), FOLD_MALFORMED);
}

/* A fence is refused if its record is too old for its result to be known. */
static void
late_fence_is_refused (void **state)
{
  Fixture *fixture = *state;
  FoldResult result;

  (void) apply_entry (fixture, "a", 1, FALSE);
  int64_t written_ms = fixture->time_ms;
  fixture->time_ms += 2000000;
  Record__Record record = new_record (fixture, RECORD__RECORD__BODY_FENCE);
  Record__Fence fence = RECORD__FENCE__INIT;
  fence.id_high = 1;
  fence.id_low = 1;
  fence.wall_ms = written_ms;
  record.fence = &fence;
  assert_int_equal (apply_packed (fixture, &record), FOLD_REFUSED);
  assert_false (fold_record_result (fixture->fold, (IdsId){ 1, 1 }, &result));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (first_end_of_an_attempt_wins, set_up, tear_down),
    cmocka_unit_test_setup_teardown (ended_jobs_are_dropped_in_order_of_end, set_up, tear_down),
    cmocka_unit_test_setup_teardown (key_is_bound_to_its_request, set_up, tear_down),
    cmocka_unit_test_setup_teardown (oldest_answers_are_dropped_first, set_up, tear_down),
    cmocka_unit_test_setup_teardown (owner_that_left_is_replaced_at_once, set_up, tear_down),
    cmocka_unit_test_setup_teardown (replaced_incarnation_is_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (history_is_bounded_and_keeps_one_text, set_up, tear_down),
    cmocka_unit_test_setup_teardown (newer_and_malformed_records_change_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (late_fence_is_refused, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
