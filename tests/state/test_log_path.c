#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "common/err.h"
#include "support/fake_log.h"
#include "support/fake_state.h"

#define WAIT_MS 60000

/* Counts the records with each result. */
typedef struct
{
  pthread_mutex_t lock;
  uint32_t results[3];
} CommitCounts;

static void
on_done (void *ctx, IdsId id, CommitResult result)
{
  CommitCounts *counts = ctx;

  (void) id;
  pthread_mutex_lock (&counts->lock);
  counts->results[result]++;
  pthread_mutex_unlock (&counts->lock);
}

static uint32_t
count_result (CommitCounts *counts, CommitResult result)
{
  pthread_mutex_lock (&counts->lock);
  uint32_t n = counts->results[result];
  pthread_mutex_unlock (&counts->lock);
  return n;
}

static void
wait_result (CommitCounts *counts, CommitResult result, uint32_t n)
{
  int64_t end_us = clk_now_us () + WAIT_MS * CLK_US_PER_MS;

  while (count_result (counts, result) < n && clk_now_us () < end_us)
    g_usleep (2000);
  assert_int_equal (count_result (counts, result), n);
}

static IdsId
submit_entry (Commit *commit, CommitCounts *counts, uint32_t number)
{
  g_autofree char *name = g_strdup_printf ("entry-%u", number);
  Record__Record record;
  Record__Entry entry;
  IdsId id;

  fake_entry_record (&record, &entry, name);
  assert_true (commit_submit (commit, &record, TRUE, on_done, counts, &id, NULL));
  return id;
}

static void
records_are_batched (void **state)
{
  (void) state;
  const FakeLogOptions log_options = { .append_delay_ms = 5 };
  FakeLog *log = fake_log_new (&log_options);
  const CommitOptions options = fake_commit_options (fake_log_port (log));
  Commit *commit = commit_new (&options);
  CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };
  FakeReceiver receiver;
  fake_receiver_init (&receiver);
  const FollowOptions follow_options = fake_follow_options (fake_log_port (log));
  const FollowEvents events = fake_receiver_events (&receiver);
  Follow *follow = follow_new (&follow_options, &events);

  for (uint32_t i = 0; i < 600; i++)
    (void) submit_entry (commit, &counts, i % 50);
  wait_result (&counts, COMMIT_APPENDED, 600);
  assert_true (fake_receiver_wait (&receiver, 600, WAIT_MS));
  assert_true (fake_log_appends (log) < 60);
  assert_int_equal (fold_entries (receiver.fold)->len, 50);
  follow_free (follow);
  fake_receiver_clear (&receiver);
  commit_free (commit);
  fake_log_free (log);
}

typedef struct
{
  const char *name;
  FakeFault fault;
  int64_t give_up_ms;
  CommitResult result;
  gboolean is_folded; /**< whether the record must take effect in the end */
} CommitCase;

static const CommitCase commit_cases[] = {
  { "down, then back", { FAKE_FAULT_DOWN, 3, 0, 0 }, 5000, COMMIT_APPENDED, TRUE },
  { "answer lost", { FAKE_FAULT_LOSE_ANSWER, 1, 0, 0 }, 5000, COMMIT_APPENDED, TRUE },
  { "answer cut short", { FAKE_FAULT_TRUNCATE, 2, 0, 0 }, 5000, COMMIT_APPENDED, TRUE },
  { "answer garbled", { FAKE_FAULT_GARBAGE, 2, 0, 0 }, 5000, COMMIT_APPENDED, TRUE },
  { "appended twice", { FAKE_FAULT_DUPLICATE, 1, 0, 0 }, 5000, COMMIT_APPENDED, TRUE },
  { "slow beyond the time-out", { FAKE_FAULT_SLOW, 1, 0, 1500 }, 5000, COMMIT_APPENDED, TRUE },
  { "down for good", { FAKE_FAULT_DOWN, 0, 0, 0 }, 200, COMMIT_NOT_APPENDED, FALSE },
  { "answers lost for good", { FAKE_FAULT_LOSE_ANSWER, 0, 0, 0 }, 200, COMMIT_IN_DOUBT, TRUE },
};

/* Whatever fault hits an append, its record takes effect once, or not at all if so reported. */
static void
appends_survive_faults (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (commit_cases); i++)
    {
      const CommitCase *row = &commit_cases[i];
      FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
      CommitOptions options = fake_commit_options (fake_log_port (log));
      options.give_up_ms = row->give_up_ms;
      Commit *commit = commit_new (&options);
      CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };
      FoldResult settled = FOLD_UNKNOWN;

      print_message ("  %s\n", row->name);
      fake_http_fault (fake_log_http (log), &row->fault);
      IdsId id = submit_entry (commit, &counts, 1);
      wait_result (&counts, row->result, 1);
      fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_NONE });
      assert_true (commit_fence (commit, id, clk_wall_ms (), on_done, &counts, NULL));
      wait_result (&counts, COMMIT_APPENDED, row->result == COMMIT_APPENDED ? 2 : 1);
      FakeReceiver receiver;
      fake_receiver_init (&receiver);
      const FollowOptions follow_options = fake_follow_options (fake_log_port (log));
      const FollowEvents events = fake_receiver_events (&receiver);
      Follow *follow = follow_new (&follow_options, &events);
      assert_true (fake_receiver_wait (&receiver, fake_log_end (log, FAKE_STREAM), WAIT_MS));
      assert_true (fold_record_result (receiver.fold, id, &settled));
      assert_int_equal (settled, row->is_folded ? FOLD_APPLIED : FOLD_FENCED);
      assert_int_equal (fold_entries (receiver.fold)->len, row->is_folded ? 1 : 0);
      follow_free (follow);
      fake_receiver_clear (&receiver);
      commit_free (commit);
      fake_log_free (log);
    }
}

static void
full_queue_and_unavailable_log_refuse (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  CommitOptions options = fake_commit_options (fake_log_port (log));
  options.queue_max = 3;
  Commit *commit = commit_new (&options);
  CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };
  Record__Record record;
  Record__Entry entry;
  g_autoptr (GError) error = NULL;

  fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_DOWN });
  (void) submit_entry (commit, &counts, 0);
  while (commit_log_is_up (commit))
    g_usleep (1000);
  fake_entry_record (&record, &entry, "x");
  assert_false (commit_submit (commit, &record, FALSE, NULL, NULL, NULL, &error));
  assert_int_equal (err_kind (error), ERR_LOG_DOWN);
  g_clear_error (&error);
  for (int i = 0; i < 10 && error == NULL; i++)
    (void) commit_submit (commit, &record, TRUE, NULL, NULL, NULL, &error);
  assert_int_equal (err_kind (error), ERR_QUEUE_FULL);
  /* The log was down all the time, so the queued record is reported as not appended. */
  commit_free (commit);
  assert_int_equal (count_result (&counts, COMMIT_NOT_APPENDED), 1);
  fake_log_free (log);
}

static void
idle_commit_detects_log_recovery (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  CommitOptions options = fake_commit_options (fake_log_port (log));
  options.give_up_ms = 1;
  Commit *commit = commit_new (&options);
  CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };
  int64_t end_us = clk_now_us () + WAIT_MS * CLK_US_PER_MS;

  fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_DOWN, .count = 2 });
  /* The record is given up at once, so no queued record shows that the log is available again. */
  (void) submit_entry (commit, &counts, 0);
  wait_result (&counts, COMMIT_NOT_APPENDED, 1);
  while (!commit_log_is_up (commit) && clk_now_us () < end_us)
    g_usleep (2000);
  assert_true (commit_log_is_up (commit));
  commit_free (commit);
  fake_log_free (log);
}

/* If a full append times out, smaller ones follow; repeating it unchanged would never succeed. */
static void
slow_log_gets_smaller_appends (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .record_delay_ms = 20 });
  const CommitOptions options = fake_commit_options (fake_log_port (log));
  Commit *commit = commit_new (&options);
  CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };

  /* The first is appended alone; the other 60 wait and would take 1.2 s in one append. */
  for (uint32_t i = 0; i < 61; i++)
    (void) submit_entry (commit, &counts, i);
  wait_result (&counts, COMMIT_APPENDED, 61);
  commit_free (commit);
  fake_log_free (log);
}

/* A rejected append is split, since one record that is never accepted must not block the others. */
static void
rejected_append_is_split (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .append_delay_ms = 50 });
  CommitOptions options = fake_commit_options (fake_log_port (log));
  options.batch_bytes_max = 64 * 1024 * 1024;
  /* An append has ten megabytes; time-outs are not tested here. */
  options.log.read_ms = WAIT_MS;
  options.give_up_ms = WAIT_MS;
  Commit *commit = commit_new (&options);
  CommitCounts counts = { .lock = PTHREAD_MUTEX_INITIALIZER };
  Record__Record record = RECORD__RECORD__INIT;
  Record__Config config = RECORD__CONFIG__INIT;
  g_autofree uint8_t *text = g_malloc0 (500 * 1024);

  config.text = (ProtobufCBinaryData){ 500 * 1024, text };
  record.body_case = RECORD__RECORD__BODY_CONFIG;
  record.config = &config;
  /* Twenty of these exceed the size limit of one append. */
  for (int i = 0; i < 20; i++)
    assert_true (commit_submit (commit, &record, TRUE, on_done, &counts, NULL, NULL));
  wait_result (&counts, COMMIT_APPENDED, 20);
  commit_free (commit);
  fake_log_free (log);
}

static void
write_snapshot (FakeLog *log, const Fold *fold)
{
  const PlatLogOptions options = fake_log_options (fake_log_port (log));
  PlatLog *client = plat_log_new (&options);

  assert_true (follow_write_snapshot (client, FAKE_SNAPSHOTS, fold, 100, NULL));
  plat_log_free (client);
}

/* Puts entry records on the log, bypassing its faults, and folds them. */
static void
put_entries (FakeLog *log, Fold *fold, uint32_t from, uint32_t n)
{
  for (uint32_t i = from; i < from + n; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", i);
      Record__Record record;
      Record__Entry entry;
      fake_entry_record (&record, &entry, name);
      record.id_low = i + 1;
      size_t size = record__record__get_packed_size (&record);
      uint8_t *data = g_malloc (size);
      (void) record__record__pack (&record, data);
      g_autoptr (GBytes) bytes = g_bytes_new_take (data, size);
      (void) fold_apply (fold, fake_log_end (log, FAKE_STREAM), clk_wall_ms (), data, size);
      fake_log_put (log, FAKE_STREAM, bytes);
    }
}

static uint32_t
count_failed_reads (FakeReceiver *receiver, ErrKind kind)
{
  wake_lock (&receiver->wake);
  uint32_t n = receiver->failures[kind];
  wake_unlock (&receiver->wake);
  return n;
}

/* A reader whose next records expired restarts from a newer snapshot, never from an older one. */
static void
reader_behind_retention_restarts_from_snapshot (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  FakeReceiver receiver;
  fake_receiver_init (&receiver);
  const FollowOptions options = fake_follow_options (fake_log_port (log));
  const FollowEvents events = fake_receiver_events (&receiver);
  Fold *writer_fold = fold_new (&options.fold);

  put_entries (log, writer_fold, 0, 10);
  write_snapshot (log, writer_fold);
  put_entries (log, writer_fold, 10, 10);
  Follow *follow = follow_new (&options, &events);
  assert_true (fake_receiver_wait (&receiver, 20, WAIT_MS));

  /* The reader is disconnected while the log grows and expires the records that it needs. */
  fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_DOWN });
  while (count_failed_reads (&receiver, ERR_LOG_DOWN) == 0)
    g_usleep (2000);
  put_entries (log, writer_fold, 20, 30);
  fake_log_expire (log, FAKE_STREAM, 45);
  /* The only snapshot covers less than the reader already has, so it can't be used. */
  fake_http_fault (fake_log_http (log), &(FakeFault){ .mode = FAKE_FAULT_NONE });
  while (count_failed_reads (&receiver, ERR_GAP) < 2)
    g_usleep (2000);
  assert_int_equal (follow_position (follow), 20);
  write_snapshot (log, writer_fold);
  assert_true (fake_receiver_wait (&receiver, 50, WAIT_MS));
  follow_free (follow);
  assert_int_equal (receiver.snapshots, 2);
  assert_int_equal (receiver.older_snapshots, 0);
  assert_int_equal (fold_entries (receiver.fold)->len, 50);
  fake_receiver_clear (&receiver);
  fold_free (writer_fold);
  fake_log_free (log);
}

/* A reader waits while no snapshot covers the gap, and continues once there is one. */
static void
gap_without_snapshot_waits (void **state)
{
  (void) state;
  FakeLog *log = fake_log_new (&(FakeLogOptions){ .port = 0 });
  FakeReceiver receiver;
  fake_receiver_init (&receiver);
  const FollowOptions options = fake_follow_options (fake_log_port (log));
  const FollowEvents events = fake_receiver_events (&receiver);
  Fold *writer_fold = fold_new (&options.fold);

  put_entries (log, writer_fold, 0, 10);
  fake_log_expire (log, FAKE_STREAM, 5);
  Follow *follow = follow_new (&options, &events);
  while (count_failed_reads (&receiver, ERR_GAP) < 2)
    g_usleep (2000);
  assert_int_equal (receiver.snapshots, 0);
  write_snapshot (log, writer_fold);
  assert_true (fake_receiver_wait (&receiver, 10, WAIT_MS));
  follow_free (follow);
  fake_receiver_clear (&receiver);
  fold_free (writer_fold);
  fake_log_free (log);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_are_batched),
    cmocka_unit_test (appends_survive_faults),
    cmocka_unit_test (full_queue_and_unavailable_log_refuse),
    cmocka_unit_test (idle_commit_detects_log_recovery),
    cmocka_unit_test (slow_log_gets_smaller_appends),
    cmocka_unit_test (rejected_append_is_split),
    cmocka_unit_test (reader_behind_retention_restarts_from_snapshot),
    cmocka_unit_test (gap_without_snapshot_waits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
