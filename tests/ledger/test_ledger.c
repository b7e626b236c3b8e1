#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "ledger/ledger.h"

#define JOB "00000000000000aa"

static Ledger *
new_ledger (void)
{
  const LedgerEvents events = { 0 };

  return ledger_new (&events);
}

static gboolean
apply (Ledger *ledger, int64_t offset, const char *key, const uint8_t *value, size_t size)
{
  return ledger_apply (ledger, offset, key, strlen (key), value, size);
}

static void
apply_submission (Ledger *ledger, int64_t offset, const char *queue)
{
  Batch__Submission message = BATCH__SUBMISSION__INIT;
  uint8_t bytes[256];

  message.queue = (char *) queue;
  size_t size = batch__submission__pack (&message, bytes);
  assert_true (apply (ledger, offset, "job." JOB, bytes, size));
}

static void
apply_state (Ledger *ledger, int64_t offset, SchedJobState value)
{
  Batch__Progress message = BATCH__PROGRESS__INIT;
  uint8_t bytes[64];

  message.state = value;
  size_t size = batch__progress__pack (&message, bytes);
  assert_true (apply (ledger, offset, "run." JOB, bytes, size));
}

static void
apply_owner_with_load (
    Ledger *ledger, int64_t offset, uint64_t term, const char *name, uint32_t n_pending)
{
  Batch__Owner message = BATCH__OWNER__INIT;
  Batch__QueueLoad load = BATCH__QUEUE_LOAD__INIT;
  Batch__QueueLoad *loads[] = { &load };
  uint8_t bytes[256];

  message.term = term;
  message.name = (char *) name;
  message.boot = term;
  load.queue = "q";
  load.pending = n_pending;
  message.loads = loads;
  message.n_loads = n_pending > 0;
  size_t size = batch__owner__pack (&message, bytes);
  assert_true (apply (ledger, offset, LEDGER_OWNER_KEY, bytes, size));
}

static void
apply_owner (Ledger *ledger, int64_t offset, uint64_t term, const char *name)
{
  apply_owner_with_load (ledger, offset, term, name, 0);
}

static void
second_submission_is_ignored (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  apply_submission (ledger, 3, "first");
  apply_submission (ledger, 9, "second");
  const LedgerJob *job = ledger_job (ledger, JOB);
  assert_string_equal (job->submission->queue, "first");
  assert_int_equal (job->offset, 3);
  ledger_free (ledger);
}

static void
progress_before_its_submission_is_kept (void **state)
{
  Ledger *ledger = new_ledger ();
  SchedJobState value = SCHED_QUEUED;

  (void) state;
  apply_state (ledger, 5, SCHED_COMPLETED);
  assert_false (ledger_job_state (ledger_job (ledger, JOB), &value));
  apply_submission (ledger, 6, "q");
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &value));
  assert_int_equal (value, SCHED_COMPLETED);
  ledger_free (ledger);
}

static void
completed_state_wins_over_cancel (void **state)
{
  Ledger *ledger = new_ledger ();
  SchedJobState value = SCHED_QUEUED;

  (void) state;
  apply_submission (ledger, 1, "q");
  assert_true (apply (ledger, 2, "cancel." JOB, (const uint8_t *) "\x08\x01", 2));
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &value));
  assert_int_equal (value, SCHED_CANCELLED);
  apply_state (ledger, 3, SCHED_COMPLETED);
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &value));
  assert_int_equal (value, SCHED_COMPLETED);
  ledger_free (ledger);
}

static void
older_owner_record_changes_nothing (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  apply_owner (ledger, 10, 2, "new");
  apply_owner (ledger, 4, 1, "old");
  assert_string_equal (ledger_owner (ledger)->name, "new");
  assert_int_equal (ledger_owner (ledger)->term, 2);
  ledger_free (ledger);
}

static void
level_counts_from_the_first_owner_of_an_unbroken_sequence (void **state)
{
  static const struct
  {
    uint64_t term;
    uint32_t level;
    uint64_t since;
  } cases[] = { { 0, 0, 4 }, { 3, 0, 4 }, { 3, 1, 4 }, { 3, 2, 2 }, { 3, 7, 2 } };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const LedgerOwner last = { .term = cases[i].term, .level = cases[i].level, .level_since = 2 };
      assert_int_equal (ledger_level_since (&last, 2, 4), cases[i].since);
    }
}

static void
apply_silent (Ledger *ledger, int64_t offset, uint64_t term)
{
  Batch__Silent message = BATCH__SILENT__INIT;
  uint8_t bytes[16];

  message.term = term;
  size_t size = batch__silent__pack (&message, bytes);
  assert_true (apply (ledger, offset, LEDGER_SILENT_KEY, bytes, size));
}

/* A newer owner, an older one and a newer one again. */
static void
owner_record_without_a_level_ends_the_sequence (void **state)
{
  Ledger *ledger = new_ledger ();
  Batch__Owner message = BATCH__OWNER__INIT;
  uint8_t bytes[64];

  (void) state;
  message.term = 1;
  message.name = (char *) "a";
  message.level = 1;
  message.level_since = 1;
  size_t size = batch__owner__pack (&message, bytes);
  assert_true (apply (ledger, 1, LEDGER_OWNER_KEY, bytes, size));
  assert_int_equal (ledger_level_since (ledger_owner (ledger), 1, 2), 1);
  apply_silent (ledger, 2, 1);
  assert_true (ledger_is_silent_kept (ledger, 1));
  apply_owner (ledger, 3, 2, "b");
  uint64_t since = ledger_level_since (ledger_owner (ledger), 1, 3);
  assert_int_equal (since, 3);
  assert_false (ledger_is_silent_kept (ledger, since));
  apply_silent (ledger, 4, 3);
  assert_true (ledger_is_silent_kept (ledger, since));
  ledger_free (ledger);
}

/* A claim is written before its owner has counted the jobs. Callers must not get a count of 0. */
static void
claim_leaves_the_last_counts_of_waiting_jobs (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  apply_owner_with_load (ledger, 1, 1, "old", 7);
  apply_owner (ledger, 2, 2, "new");
  assert_int_equal (ledger_pending (ledger, "q"), 7);
  apply_owner_with_load (ledger, 3, 2, "new", 5);
  assert_int_equal (ledger_pending (ledger, "q"), 5);
  apply_owner (ledger, 4, 2, "new");
  assert_int_equal (ledger_pending (ledger, "q"), 0);
  ledger_free (ledger);
}

static void
count_agent (void *ctx, const LedgerAgent *agent)
{
  (void) agent;
  (*(int *) ctx)++;
}

static void
removed_agent_returns_with_its_next_record (void **state)
{
  Ledger *ledger = new_ledger ();
  Batch__Member message = BATCH__MEMBER__INIT;
  uint8_t bytes[64];
  int count = 0;

  (void) state;
  message.address = "127.0.0.1:1";
  size_t size = batch__member__pack (&message, bytes);
  assert_true (apply (ledger, 1, "agent.a", bytes, size));
  assert_true (apply (ledger, 2, "agent.a", NULL, 0));
  ledger_each_agent (ledger, count_agent, &count);
  assert_int_equal (count, 0);
  assert_true (apply (ledger, 3, "agent.a", bytes, size));
  ledger_each_agent (ledger, count_agent, &count);
  assert_int_equal (count, 1);
  ledger_free (ledger);
}

/* Records can be read in any order. Progress must not go back to an older state. */
static void
older_progress_changes_nothing (void **state)
{
  Ledger *ledger = new_ledger ();
  SchedJobState value = SCHED_QUEUED;

  (void) state;
  apply_submission (ledger, 1, "q");
  apply_state (ledger, 9, SCHED_COMPLETED);
  apply_state (ledger, 4, SCHED_RUNNING);
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &value));
  assert_int_equal (value, SCHED_COMPLETED);
  ledger_free (ledger);
}

/* A removed job must be unknown, whatever the order in which its records were removed. */
static void
removed_job_is_unknown (void **state)
{
  static const char *const keys[] = { "job." JOB, "run." JOB, "cancel." JOB };

  (void) state;
  for (size_t first = 0; first < G_N_ELEMENTS (keys); first++)
    {
      Ledger *ledger = new_ledger ();
      apply_submission (ledger, 1, "q");
      apply_state (ledger, 2, SCHED_CANCELLED);
      assert_true (apply (ledger, 3, "cancel." JOB, (const uint8_t *) "\x08\x01", 2));
      for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
        assert_true (
            apply (ledger, 4 + (int64_t) i, keys[(first + i) % G_N_ELEMENTS (keys)], NULL, 0));
      assert_null (ledger_job (ledger, JOB));
      ledger_free (ledger);
    }
}

typedef struct
{
  const char *key;
  const char *value;
} MalformedRecord;

static const MalformedRecord malformed_records[] = {
  { "", "" },
  { "unknown", "" },
  { "job.short", "" },
  { "job." JOB, "\xff\xff\xff" },
  { "run." JOB, "\xff\xff\xff" },
  { "owner", "\xff" },
  { "agent.a", "\xff" },
};

static void
malformed_records_change_nothing (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed_records); i++)
    assert_false (apply (ledger, (int64_t) i, malformed_records[i].key,
                         (const uint8_t *) malformed_records[i].value,
                         strlen (malformed_records[i].value)));
  assert_int_equal (ledger_owner (ledger)->term, 0);
  ledger_free (ledger);
}

/* The rest of a key after a zero byte must not be ignored. */
static void
key_with_a_zero_byte_names_nothing (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  apply_submission (ledger, 3, "first");
  assert_false (ledger_apply (ledger, 4, "job." JOB "\0b", strlen ("job." JOB) + 2, NULL, 0));
  assert_non_null (ledger_job (ledger, JOB));
  ledger_free (ledger);
}

static const struct
{
  const char *key;
  gboolean is_job_key;
} forwarded_keys[] = { { "job." JOB, TRUE },
                       { "cancel." JOB, TRUE },
                       { "job.", FALSE },
                       { "job." JOB "0", FALSE },
                       { "cancel." JOB ".0", FALSE },
                       { "cancel.000000000000000g", FALSE },
                       { "run." JOB, FALSE },
                       { "owner", FALSE },
                       { "", FALSE } };

/* A key of more than 255 bytes would be cut when it is written. */
static void
only_records_of_jobs_are_forwarded (void **state)
{
  g_autofree char *id = g_strnfill (256 + strlen (JOB), '0');
  g_autofree char *key = g_strconcat (LEDGER_CANCEL_PREFIX, id, NULL);

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (forwarded_keys); i++)
    assert_true (ledger_is_job_key (forwarded_keys[i].key) == forwarded_keys[i].is_job_key);
  assert_false (ledger_is_job_key (key));
}

static void
assert_owner_is_kept (const uint8_t *value, size_t size)
{
  Ledger *ledger = new_ledger ();

  apply_owner (ledger, 4, 7, "first");
  assert_false (apply (ledger, 5, LEDGER_OWNER_KEY, value, size));
  assert_int_equal (ledger_owner (ledger)->term, 7);
  assert_string_equal (ledger_owner (ledger)->name, "first");
  apply_owner (ledger, 6, 8, "second");
  assert_int_equal (ledger_owner (ledger)->term, 8);
  ledger_free (ledger);
}

/* Terms number the runs, and the first term starts tasks without waiting for reports. */
static void
owner_record_of_another_writer_does_not_reset_the_term (void **state)
{
  static const uint64_t terms[] = { 0, 6, LEDGER_TERM_MAX + 1, UINT64_MAX };
  uint8_t bytes[64] = { 0 };

  (void) state;
  assert_owner_is_kept (bytes, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (terms); i++)
    {
      Batch__Owner message = BATCH__OWNER__INIT;
      message.term = terms[i];
      message.name = "odd";
      assert_owner_is_kept (bytes, batch__owner__pack (&message, bytes));
    }
}

static void
apply_crash (Ledger *ledger, int64_t offset, int64_t run)
{
  Batch__Crashes message = BATCH__CRASHES__INIT;
  Batch__CrashedRun row = BATCH__CRASHED_RUN__INIT;
  Batch__CrashedRun *rows[] = { &row };
  uint8_t bytes[64];

  row.run = run;
  message.runs = rows;
  message.n_runs = 1;
  size_t size = batch__crashes__pack (&message, bytes);
  assert_true (apply (ledger, offset, "crash." JOB, bytes, size));
}

static void
newest_crashes_of_a_job_are_kept (void **state)
{
  Ledger *ledger = new_ledger ();

  (void) state;
  assert_null (ledger_crashes (ledger, JOB));
  apply_submission (ledger, 1, "q");
  apply_crash (ledger, 8, 5);
  apply_crash (ledger, 3, 4);
  assert_int_equal (ledger_crashes (ledger, JOB)->runs[0]->run, 5);
  assert_true (apply (ledger, 9, "crash." JOB, NULL, 0));
  assert_null (ledger_crashes (ledger, JOB));
  assert_false (apply (ledger, 10, "crash." JOB, (const uint8_t *) "\xff", 1));
  ledger_free (ledger);
}

/* An owner that does not know the key removes the job without it. */
static void
crashes_of_a_job_that_is_gone_are_found (void **state)
{
  Ledger *ledger = new_ledger ();
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  (void) state;
  apply_submission (ledger, 1, "q");
  apply_crash (ledger, 2, 1);
  ledger_orphaned_crashes (ledger, ids, 10);
  assert_int_equal (ids->len, 0);
  assert_true (apply (ledger, 3, "job." JOB, NULL, 0));
  ledger_orphaned_crashes (ledger, ids, 10);
  assert_int_equal (ids->len, 1);
  assert_string_equal (g_ptr_array_index (ids, 0), JOB);
  ledger_free (ledger);
}

/* Guards against a job that starts after its cancel was acknowledged as that of an unknown job. */
static void
cancel_before_the_submission_is_held (void **state)
{
  Ledger *ledger = ledger_new (&(LedgerEvents){ 0 });
  SchedJobState job_state = SCHED_QUEUED;

  (void) state;
  assert_true (apply (ledger, 1, "cancel." JOB, (const uint8_t *) "\x08\x01", 2));
  assert_int_equal (ledger_held_cancels (ledger), 1);
  assert_false (ledger_job_state (ledger_job (ledger, JOB), &job_state));
  assert_true (apply (ledger, 2, "job." JOB, (const uint8_t *) "\x0a\x01q", 3));
  assert_int_equal (ledger_held_cancels (ledger), 0);
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &job_state));
  assert_int_equal (job_state, SCHED_CANCELLED);
  ledger_free (ledger);
}

/* Guards against cancels of unknown jobs that fill the store. */
static void
held_cancels_expire (void **state)
{
  Ledger *ledger = ledger_new (&(LedgerEvents){ 0 });
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  SchedJobState job_state = SCHED_QUEUED;

  (void) state;
  assert_true (apply (ledger, 1, "cancel." JOB, (const uint8_t *) "\x08\x01", 2));
  ledger_expired_cancels (ledger, 1000 * 1000, 500, ids, 9);
  ledger_expired_cancels (ledger, 1499 * 1000, 500, ids, 9);
  assert_int_equal (ids->len, 0);
  /* A repeat of the cancel is acknowledged, too, and is held as long. */
  assert_true (apply (ledger, 2, "cancel." JOB, (const uint8_t *) "\x08\x01", 2));
  ledger_expired_cancels (ledger, 1500 * 1000, 500, ids, 9);
  assert_int_equal (ids->len, 0);
  ledger_expired_cancels (ledger, 2000 * 1000, 500, ids, 9);
  assert_int_equal (ids->len, 1);
  assert_string_equal (g_ptr_array_index (ids, 0), JOB);
  assert_true (apply (ledger, 3, "cancel." JOB, NULL, 0));
  assert_int_equal (ledger_held_cancels (ledger), 0);
  assert_null (ledger_job (ledger, JOB));
  assert_true (apply (ledger, 4, "job." JOB, (const uint8_t *) "\x0a\x01q", 3));
  assert_true (ledger_job_state (ledger_job (ledger, JOB), &job_state));
  assert_int_equal (job_state, SCHED_QUEUED);
  assert_false (apply (ledger, 5, "cancel.x", (const uint8_t *) "\x08\x01", 2));
  ledger_free (ledger);
}

/* Guards against tables of tasks at the owner without a limit, while many records are not read yet;
 * and against a limit that stays reached because a record was refused or never came. */
static void
tasks_are_counted_from_their_reservation (void **state)
{
  Ledger *ledger = new_ledger ();
  Batch__Submission message = BATCH__SUBMISSION__INIT;
  uint8_t bytes[256];

  (void) state;
  message.queue = (char *) "q";
  message.tasks = 6;
  size_t size = batch__submission__pack (&message, bytes);
  assert_true (ledger_reserve_tasks (ledger, JOB, 6, 10, 0));
  assert_true (ledger_reserve_tasks (ledger, JOB, 6, 10, 0));
  assert_int_equal (ledger_tasks (ledger), 6);
  assert_false (ledger_reserve_tasks (ledger, "0000000000000002", 5, 10, 1));
  assert_true (ledger_reserve_tasks (ledger, "0000000000000002", 4, 10, 1));
  assert_true (apply (ledger, 1, "job." JOB, bytes, size));
  assert_true (apply (ledger, 2, "job." JOB, bytes, size));
  assert_int_equal (ledger_tasks (ledger), 10);
  ledger_release_tasks (ledger, "0000000000000002");
  ledger_release_tasks (ledger, JOB);
  assert_int_equal (ledger_tasks (ledger), 6);
  assert_true (ledger_reserve_tasks (ledger, "0000000000000003", 4, 10, 2));
  assert_false (ledger_reserve_tasks (ledger, "0000000000000004", 4, 10, 3));
  assert_true (
      ledger_reserve_tasks (ledger, "0000000000000004", 4, 10, LEDGER_RESERVED_MS * 1000 + 2));
  assert_true (apply (ledger, 3, "job." JOB, NULL, 0));
  assert_int_equal (ledger_tasks (ledger), 4);
  ledger_free (ledger);
}

/* The limit on bodies of accepted jobs must not count a job twice, or after it is gone. */
static void
bodies_are_counted_until_their_job_is_gone (void **state)
{
  const LedgerEvents events = { 0 };
  Ledger *ledger = ledger_new (&events);
  Batch__Submission message = BATCH__SUBMISSION__INIT;
  uint8_t bytes[256];

  (void) state;
  message.queue = (char *) "q";
  message.body = (ProtobufCBinaryData){ .data = (uint8_t *) "12345", .len = 5 };
  size_t size = batch__submission__pack (&message, bytes);
  assert_true (apply (ledger, 1, "job." JOB, bytes, size));
  assert_true (apply (ledger, 2, "job." JOB, bytes, size));
  assert_int_equal (ledger_body_bytes (ledger), 5);
  assert_true (apply (ledger, 3, "job." JOB, NULL, 0));
  assert_int_equal (ledger_body_bytes (ledger), 0);
  ledger_free (ledger);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (second_submission_is_ignored),
    cmocka_unit_test (progress_before_its_submission_is_kept),
    cmocka_unit_test (completed_state_wins_over_cancel),
    cmocka_unit_test (cancel_before_the_submission_is_held),
    cmocka_unit_test (held_cancels_expire),
    cmocka_unit_test (older_owner_record_changes_nothing),
    cmocka_unit_test (claim_leaves_the_last_counts_of_waiting_jobs),
    cmocka_unit_test (removed_agent_returns_with_its_next_record),
    cmocka_unit_test (older_progress_changes_nothing),
    cmocka_unit_test (level_counts_from_the_first_owner_of_an_unbroken_sequence),
    cmocka_unit_test (owner_record_without_a_level_ends_the_sequence),
    cmocka_unit_test (tasks_are_counted_from_their_reservation),
    cmocka_unit_test (bodies_are_counted_until_their_job_is_gone),
    cmocka_unit_test (removed_job_is_unknown),
    cmocka_unit_test (malformed_records_change_nothing),
    cmocka_unit_test (key_with_a_zero_byte_names_nothing),
    cmocka_unit_test (only_records_of_jobs_are_forwarded),
    cmocka_unit_test (owner_record_of_another_writer_does_not_reset_the_term),
    cmocka_unit_test (newest_crashes_of_a_job_are_kept),
    cmocka_unit_test (crashes_of_a_job_that_is_gone_are_found),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
