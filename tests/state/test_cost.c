/**
 * @file test_cost.c
 * Measures the processor time and memory of the state at the design load and prints both. The
 * limits are the share of one instance that control may use: 3.5 % of a core at 8,000 task ends per
 * second, and 256 MB.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include <cmocka.h>

#include "common/clk.h"
#include "support/fake_log.h"
#include "support/fake_state.h"

#define ENDS_PER_S 8000
#define CORE_SHARE_PERMILLE 35
#define STATE_BYTES_MAX (INT64_C (256) * 1024 * 1024)

#define JOBS 1800
#define TASKS_PER_JOB 100
#define KEYS 100000
#define TASKS_PER_RECORD 100
#define KEY_TIME_MS 1000000

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define IS_SANITIZED TRUE
#else
#define IS_SANITIZED FALSE
#endif

/* Records that are packed beforehand, so that only the fold is measured. */
typedef struct
{
  GPtrArray *records; /**< GBytes */
  uint64_t last_id;
  size_t bytes;
} Workload;

static int64_t
cpu_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * CLK_US_PER_S + now.tv_nsec / 1000;
}

static void
workload_add (Workload *workload, Record__Record *record)
{
  record->id_high = 1;
  record->id_low = ++workload->last_id;
  size_t size = record__record__get_packed_size (record);
  uint8_t *data = g_malloc (size);
  (void) record__record__pack (record, data);
  workload->bytes += size;
  g_ptr_array_add (workload->records, g_bytes_new_take (data, size));
}

static Workload
workload_new (void)
{
  return (Workload){ .records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref) };
}

/* Folds all records of the workload and empties it; returns the processor time used. */
static int64_t
fold_workload (Fold *fold, Workload *workload)
{
  int64_t start_us = cpu_us ();

  for (guint i = 0; i < workload->records->len; i++)
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (g_ptr_array_index (workload->records, i), &size);
      FoldResult result = fold_apply (fold, fold_next_offset (fold), KEY_TIME_MS, data, size);
      assert_int_equal (result, FOLD_APPLIED);
    }
  int64_t spent_us = cpu_us () - start_us;
  g_ptr_array_set_size (workload->records, 0);
  workload->bytes = 0;
  return spent_us;
}

static void
workload_owner_and_jobs (Workload *workload)
{
  Record__Record record;
  Record__Entry entry;
  Record__Claim claim = RECORD__CLAIM__INIT;
  Record__Job job = RECORD__JOB__INIT;

  fake_entry_record (&record, &entry, "entry");
  workload_add (workload, &record);
  claim.epoch = 1;
  claim.entry = (char *) "entry";
  claim.incarnation = 1;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  workload_add (workload, &record);
  job.name = (char *) "render";
  job.submitter = (char *) "operator";
  job.tasks = TASKS_PER_JOB;
  record.body_case = RECORD__RECORD__BODY_JOB;
  record.job = &job;
  for (job.job = 1; job.job <= JOBS; job.job++)
    workload_add (workload, &record);
}

/* Adds one end of each task, a hundred in each record, as an owner batches them. */
static void
workload_ends (Workload *workload, Record__TaskEnd end)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__TaskBatch batch = RECORD__TASK_BATCH__INIT;
  Record__TaskOutcome outcomes[TASKS_PER_RECORD];
  Record__TaskOutcome *rows[TASKS_PER_RECORD];

  batch.epoch = 1;
  batch.n_outcomes = TASKS_PER_RECORD;
  batch.outcomes = rows;
  record.body_case = RECORD__RECORD__BODY_TASKS;
  record.tasks = &batch;
  for (uint64_t job = 1; job <= JOBS; job++)
    {
      for (uint32_t i = 0; i < TASKS_PER_RECORD; i++)
        {
          record__task_outcome__init (&outcomes[i]);
          outcomes[i].job = job;
          outcomes[i].index = i;
          outcomes[i].attempt = 1;
          outcomes[i].state = end;
          outcomes[i].checkpoint = (char *) "progress_ms=123456";
          rows[i] = &outcomes[i];
        }
      workload_add (workload, &record);
    }
}

static void
workload_keys (Workload *workload)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Intent intent = RECORD__INTENT__INIT;
  Record__Outcome outcome = RECORD__OUTCOME__INIT;
  uint8_t body[200] = { 0 };

  intent.tenant = (char *) "sparkasse-wien";
  intent.service = (char *) "zinspost";
  intent.agent = (char *) "agent-wien-ost-01";
  intent.attempt = 1;
  intent.dated_ms = KEY_TIME_MS;
  outcome.tenant = intent.tenant;
  outcome.attempt = 1;
  outcome.status = 200;
  outcome.content_type = (char *) "application/json";
  outcome.body = (ProtobufCBinaryData){ sizeof body, body };
  outcome.length = sizeof body;
  outcome.body_held = TRUE;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      g_autofree char *key = g_strdup_printf ("credit-2026-12-%08u", i);
      intent.key = key;
      outcome.key = key;
      record.body_case = RECORD__RECORD__BODY_INTENT;
      record.intent = &intent;
      workload_add (workload, &record);
      record.body_case = RECORD__RECORD__BODY_OUTCOME;
      record.outcome = &outcome;
      workload_add (workload, &record);
    }
}

static int64_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t) (info.uordblks + info.hblkhd);
}

static void
state_fits_a_node (void **state)
{
  (void) state;
  FoldOptions options = fake_fold_options ();
  options.ended_jobs_max = 0;
  Workload workload = workload_new ();
  int64_t empty_bytes = heap_bytes ();
  Fold *fold = fold_new (&options);

  workload_owner_and_jobs (&workload);
  (void) fold_workload (fold, &workload);
  workload_ends (&workload, RECORD__TASK_END__END_CHECKPOINT);
  size_t end_bytes = workload.bytes / ((size_t) JOBS * TASKS_PER_RECORD);
  double end_us = (double) fold_workload (fold, &workload) / (JOBS * TASKS_PER_RECORD);
  workload_keys (&workload);
  size_t key_bytes = workload.bytes / KEYS;
  double key_us = (double) fold_workload (fold, &workload) / KEYS;
  int64_t held_bytes = heap_bytes () - empty_bytes;
  int64_t start_us = cpu_us ();
  g_autoptr (GBytes) snapshot = fold_snapshot (fold);
  int64_t save_us = cpu_us () - start_us;
  start_us = cpu_us ();
  gsize size;
  const uint8_t *data = g_bytes_get_data (snapshot, &size);
  Fold *loaded = fold_from_snapshot (&options, data, size, NULL);
  int64_t load_us = cpu_us () - start_us;

  assert_non_null (loaded);
  print_message ("task end: %.2f us, %zu bytes on the log (%d a record)\n", end_us, end_bytes,
                 TASKS_PER_RECORD);
  print_message ("once request: %.2f us, %zu bytes on the log (2 records)\n", key_us, key_bytes);
  print_message ("%d tasks, %d keys, %d record ids: %.1f MB held\n", JOBS * TASKS_PER_JOB, KEYS,
                 2 * KEYS + 2 * JOBS, (double) held_bytes / 1e6);
  print_message ("snapshot: %.1f MB, saved in %.0f ms, loaded in %.0f ms\n", (double) size / 1e6,
                 (double) save_us / 1e3, (double) load_us / 1e3);
  if (!IS_SANITIZED)
    {
      assert_true (end_us * ENDS_PER_S < (double) CLK_US_PER_S * CORE_SHARE_PERMILLE / 1000);
      assert_true (held_bytes < STATE_BYTES_MAX);
    }
  fold_free (loaded);
  fold_free (fold);
  g_ptr_array_unref (workload.records);
}

/* A few hundred appends per second must be enough for the ends of 8,000 tasks per second. */
static void
few_appends_carry_many_records (void **state)
{
  (void) state;
  enum
  {
    RECORDS = 16000,
    APPEND_MS = 3
  };
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .append_delay_ms = APPEND_MS });
  CommitOptions options = fake_commit_options (fake_log_port (log));
  options.give_up_ms = 60000;
  Commit *commit = commit_new (&options);
  Record__Record record;
  Record__Entry entry;
  int64_t start_us = clk_now_us ();

  fake_entry_record (&record, &entry, "entry");
  for (int i = 0; i < RECORDS; i++)
    {
      record.id_low = (uint64_t) i + 1;
      assert_true (commit_submit (commit, &record, TRUE, NULL, NULL, NULL, NULL));
      /* 8,000 per second, in bursts of eight. */
      while (clk_now_us () - start_us < (int64_t) (i - 8) * CLK_US_PER_S / ENDS_PER_S)
        g_usleep (500);
    }
  while (fake_log_end (log, FAKE_STREAM) < RECORDS && clk_now_us () - start_us < 60 * CLK_US_PER_S)
    g_usleep (500);
  double spent_s = (double) (clk_now_us () - start_us) / CLK_US_PER_S;
  double appends_per_s = (double) fake_log_appends (log) / spent_s;

  assert_int_equal (fake_log_end (log, FAKE_STREAM), RECORDS);
  print_message ("group commit: %.0f records/s in %.0f appends/s of %d ms\n", RECORDS / spent_s,
                 appends_per_s, APPEND_MS);
  assert_true (appends_per_s < 400);
  if (!IS_SANITIZED)
    assert_true (spent_s < 2 * (double) RECORDS / ENDS_PER_S);
  commit_free (commit);
  fake_log_free (log);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (state_fits_a_node),
    cmocka_unit_test (few_appends_carry_many_records),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
