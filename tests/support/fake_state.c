#include "support/fake_state.h"

#include "common/clk.h"
#include "common/err.h"

FoldOptions
fake_fold_options (void)
{
  return (FoldOptions){ .key_window_ms = 600000,
                        .answer_bytes_max = 4096,
                        .id_window_ms = 600000,
                        .shards = 2,
                        .history_max = 4,
                        .claim_wait_ms = 1000,
                        .ended_jobs_max = 4 };
}

PlatLogOptions
fake_log_options (uint16_t port)
{
  return (PlatLogOptions){ .host = "127.0.0.1", .port = port, .connect_ms = 1000, .read_ms = 1000 };
}

CommitOptions
fake_commit_options (uint16_t port)
{
  return (CommitOptions){ .log = fake_log_options (port),
                          .stream = FAKE_STREAM,
                          .writer = "writer",
                          .batch_max = 512,
                          .batch_bytes_max = 1024 * 1024,
                          .queue_max = 100000,
                          .give_up_ms = 5000 };
}

FollowOptions
fake_follow_options (uint16_t port)
{
  return (FollowOptions){ .log = fake_log_options (port),
                          .stream = FAKE_STREAM,
                          .snapshot_stream = FAKE_SNAPSHOTS,
                          .page_records = 500,
                          .poll_wait_ms = 100,
                          .fold = fake_fold_options () };
}

void
fake_entry_record (Record__Record *record, Record__Entry *entry, const char *name)
{
  record__record__init (record);
  record__entry__init (entry);
  entry->entry = (char *) name;
  entry->incarnation = 1;
  record->body_case = RECORD__RECORD__BODY_ENTRY;
  record->entry = entry;
}

void
fake_receiver_init (FakeReceiver *receiver)
{
  *receiver = (FakeReceiver){ .fold = NULL };
  wake_init (&receiver->wake);
}

void
fake_receiver_clear (FakeReceiver *receiver)
{
  fold_free (receiver->fold);
  wake_clear (&receiver->wake);
}

static void
on_snapshot (void *ctx, Fold *fold)
{
  FakeReceiver *receiver = ctx;

  wake_lock (&receiver->wake);
  if (receiver->fold != NULL && fold_next_offset (fold) < fold_next_offset (receiver->fold))
    receiver->older_snapshots++;
  fold_free (receiver->fold);
  receiver->fold = fold;
  receiver->snapshots++;
  wake_signal (&receiver->wake);
  wake_unlock (&receiver->wake);
}

static void
on_page (void *ctx, PlatLogPage *page, int64_t read_us)
{
  FakeReceiver *receiver = ctx;

  (void) read_us;
  wake_lock (&receiver->wake);
  for (guint i = 0; i < page->records->len; i++)
    {
      gsize size;
      const PlatLogRecord *record = &g_array_index (page->records, PlatLogRecord, i);
      const void *data = g_bytes_get_data (record->data, &size);
      (void) fold_apply (receiver->fold, record->offset, record->time_ms, data, size);
    }
  wake_signal (&receiver->wake);
  wake_unlock (&receiver->wake);
  plat_log_page_free (page);
}

static void
on_down (void *ctx, const GError *error)
{
  FakeReceiver *receiver = ctx;

  wake_lock (&receiver->wake);
  receiver->failures[err_kind (error)]++;
  wake_unlock (&receiver->wake);
}

FollowEvents
fake_receiver_events (FakeReceiver *receiver)
{
  return (FollowEvents){ on_snapshot, on_page, on_down, receiver };
}

gboolean
fake_receiver_wait (FakeReceiver *receiver, int64_t offset, int64_t wait_ms)
{
  int64_t end_us = wake_now_us () + wait_ms * CLK_US_PER_MS;
  gboolean in_time = TRUE;

  wake_lock (&receiver->wake);
  while (in_time && (receiver->fold == NULL || fold_next_offset (receiver->fold) < offset))
    in_time = wake_wait_until (&receiver->wake, end_us);
  gboolean ok = receiver->fold != NULL && fold_next_offset (receiver->fold) >= offset;
  wake_unlock (&receiver->wake);
  return ok;
}
