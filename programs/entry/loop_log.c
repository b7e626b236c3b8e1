#include "common/clk.h"
#include "common/ids.h"
#include "common/jnl.h"
#include "loop_private.h"

#define PAGE_RECORDS 1024
#define POLL_WAIT_MS 250
#define COMMIT_BATCH_MAX 256
#define COMMIT_BATCH_BYTES (2 * 1024 * 1024)
#define COMMIT_QUEUE_MAX 16384
#define ID_WINDOW_MS INT64_C (3600000)
#define HISTORY_MAX 1000
/** Entries without a record for this long are removed from the state. */
#define ENTRY_KEEP_MS INT64_C (86400000)
#define SNAPSHOT_CHUNK_BYTES (256 * 1024)
/** Delay before a post to a full queue is retried. */
#define POST_RETRY_US 1000

FoldOptions
loop_fold_options (const EntrySettings *settings)
{
  FoldOptions options = { 0 };

  options.key_window_ms = settings->key_window_ms;
  options.answer_bytes_max = settings->answer_bytes_max;
  options.id_window_ms = ID_WINDOW_MS;
  options.shards = (uint32_t) settings->shards;
  options.history_max = HISTORY_MAX;
  options.claim_wait_ms = settings->lease_ms;
  options.entry_keep_ms = ENTRY_KEEP_MS;
  return options;
}

static PlatLogOptions
log_options (const EntrySettings *settings)
{
  return (PlatLogOptions){ settings->log_host, (uint16_t) settings->log_port,
                           settings->log_connect_ms, settings->log_read_ms };
}

gboolean
loop_log_is_up (const Loop *loop)
{
  int64_t age_us = owner_view_age_us (loop->owner, clk_now_us ());

  return loop->has_state && age_us <= loop->settings->fresh_ms * CLK_US_PER_MS
         && commit_log_is_up (loop->commit);
}

/* Waits for a full queue because state read from the log must not be lost. */
gboolean
loop_post_blocking (Loop *loop, void (*function) (void *ctx, void *data), void *data)
{
  while (!wire_post (loop->wire, function, loop, data))
    {
      if (g_atomic_int_get (&loop->stopping))
        return FALSE;
      g_usleep (POST_RETRY_US);
    }
  return TRUE;
}

static void
not_appended (Loop *loop, IdsId id)
{
  once_not_appended (loop->once, id);
  owner_not_appended (loop->owner, id);
  loop_pending_not_appended (loop, id);
  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    {
      if (loop->shards[i] != NULL)
        shard_not_appended (loop->shards[i], id);
    }
  if (ids_equal (loop->entry_record, id))
    loop->is_entry_sent = FALSE;
}

/* Runs on the loop thread. Handles appends that failed or are in doubt; the fold shows whether a
   record took effect. */
static void
appended (void *ctx, void *data)
{
  Loop *loop = ctx;
  g_autofree LoopAppended *appended = data;

  if (appended->result == COMMIT_NOT_APPENDED)
    not_appended (loop, appended->id);
  else if (appended->result == COMMIT_IN_DOUBT)
    {
      /* Earliest time at which the record can have been written. */
      int64_t wall_ms = clk_wall_ms () - loop->settings->log_give_up_ms;
      (void) commit_fence (loop->commit, appended->id, wall_ms, NULL, NULL, NULL);
      once_in_doubt (loop->once, appended->id);
    }
}

/* Runs on the commit thread. */
static void
on_appended (void *ctx, IdsId id, CommitResult result)
{
  Loop *loop = ctx;

  if (result == COMMIT_APPENDED)
    return;
  LoopAppended *message = g_new0 (LoopAppended, 1);
  message->id = id;
  message->result = result;
  if (!loop_post_blocking (loop, appended, message))
    g_free (message);
}

gboolean
loop_append (Loop *loop, const Record__Record *record, gboolean wait, IdsId *id)
{
  g_autoptr (GError) error = NULL;

  if (commit_submit (loop->commit, record, wait, on_appended, loop, id, &error))
    return TRUE;
  jnl_event (JNL_DEBUG, "log", "append_refused", "kind=%s", err_name (err_kind (error)));
  return FALSE;
}

static void
on_record (void *ctx, const Record__Record *record, int64_t offset)
{
  Loop *loop = ctx;

  if (record->body_case == RECORD__RECORD__BODY_JOB)
    g_array_append_val (loop->dirty_jobs, record->job->job);
  else if (record->body_case == RECORD__RECORD__BODY_CANCEL)
    g_array_append_val (loop->dirty_jobs, record->cancel->job);
  else if (record->body_case == RECORD__RECORD__BODY_CONFIG)
    loop_pending_version (loop, (IdsId){ record->id_high, record->id_low }, (uint64_t) offset + 1);
}

void
loop_observe (Loop *loop)
{
  fold_observe (loop->fold, on_record, loop);
}

static void
jobs_folded (Loop *loop, int64_t now_us)
{
  for (guint i = 0; i < loop->dirty_jobs->len; i++)
    {
      uint64_t job = g_array_index (loop->dirty_jobs, uint64_t, i);
      for (uint32_t shard = 0; shard < (uint32_t) loop->settings->shards; shard++)
        {
          if (loop->shards[shard] != NULL)
            shard_job (loop->shards[shard], loop->fold, job, now_us);
        }
    }
  g_array_set_size (loop->dirty_jobs, 0);
}

/* Notifies all modules that wait for folded records. */
static void
notify_folded (Loop *loop)
{
  int64_t now_us = clk_now_us ();
  const FoldConfig *config = fold_config (loop->fold);

  loop_accept_config (loop, config->version, config->author, config->wall_ms, config->text);
  owner_folded (loop->owner, loop->fold, now_us);
  jobs_folded (loop, now_us);
  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    {
      if (loop->shards[i] != NULL)
        shard_folded (loop->shards[i], loop->fold);
    }
  once_folded (loop->once, loop->fold, now_us);
  loop_pending_folded (loop);
}

static void
install_snapshot (void *ctx, void *data)
{
  Loop *loop = ctx;

  /* A snapshot older than the current state would undo records that were already folded. */
  if (loop->has_state && fold_next_offset (data) < fold_next_offset (loop->fold))
    {
      fold_free (data);
      return;
    }
  fold_free (loop->fold);
  loop->fold = data;
  loop->has_state = TRUE;
  loop_observe (loop);
  notify_folded (loop);
}

typedef struct
{
  PlatLogPage *page;
  int64_t read_us;
} LoopPage;

static void
count_fold (Loop *loop, FoldResult result)
{
  static const char *const names[]
      = { "applied", "duplicate", "fenced", "refused", "malformed", "unknown" };
  g_autofree char *labels = g_strdup_printf ("result=\"%s\"", names[result]);

  met_add (met_counter (loop->metrics, "acacia_entry_records_total", labels,
                        "Log records folded, by result."),
           1);
}

static void
apply_page (void *ctx, void *data)
{
  Loop *loop = ctx;
  g_autofree LoopPage *message = data;
  const PlatLogPage *page = message->page;
  guint applied = 0;

  for (guint i = 0; i < page->records->len; i++)
    {
      const PlatLogRecord *record = &g_array_index (page->records, PlatLogRecord, i);
      gsize size = 0;
      const uint8_t *bytes = g_bytes_get_data (record->data, &size);
      if (record->offset < fold_next_offset (loop->fold))
        continue;
      count_fold (loop, fold_apply (loop->fold, record->offset, record->time_ms, bytes, size));
      applied++;
    }
  if (page->next_offset >= page->end_offset)
    {
      loop->has_state = TRUE;
      loop->is_caught_up = TRUE;
      owner_log_read (loop->owner, message->read_us);
    }
  if (applied > 0)
    notify_folded (loop);
  plat_log_page_free (message->page);
}

static void
on_snapshot (void *ctx, Fold *fold)
{
  if (!loop_post_blocking (ctx, install_snapshot, fold))
    fold_free (fold);
}

static void
on_page (void *ctx, PlatLogPage *page, int64_t read_us)
{
  LoopPage *message = g_new0 (LoopPage, 1);

  message->page = page;
  message->read_us = read_us;
  if (loop_post_blocking (ctx, apply_page, message))
    return;
  plat_log_page_free (page);
  g_free (message);
}

static void
on_down (void *ctx, const GError *error)
{
  (void) ctx;
  jnl_event (JNL_WARN, "log", "down", "kind=%s message=\"%s\"", err_name (err_kind (error)),
             error->message);
}

typedef struct
{
  Loop *loop;
  GBytes *state;
  int64_t next_offset; /**< next offset of the fold in the snapshot */
} SnapshotWork;

static void *
write_snapshot (void *data)
{
  SnapshotWork *work = data;
  const EntrySettings *settings = work->loop->settings;
  PlatLogOptions options = log_options (settings);
  g_autoptr (GError) error = NULL;
  PlatLog *log = plat_log_new (&options);

  if (follow_write_snapshot_bytes (log, settings->log_snapshot_stream, work->state,
                                   work->next_offset, SNAPSHOT_CHUNK_BYTES, &error))
    jnl_event (JNL_INFO, "log", "snapshot", "bytes=%" G_GSIZE_FORMAT,
               g_bytes_get_size (work->state));
  else
    jnl_event (JNL_WARN, "log", "snapshot_failed", "kind=%s", err_name (err_kind (error)));
  plat_log_free (log);
  g_bytes_unref (work->state);
  g_atomic_int_set (&work->loop->snapshot_done, 1);
  g_free (work);
  return NULL;
}

void
loop_join_snapshot (Loop *loop)
{
  if (loop->has_snapshot)
    (void) pthread_join (loop->snapshot, NULL);
  loop->has_snapshot = FALSE;
}

void
loop_snapshot_tick (Loop *loop, int64_t now_us)
{
  if (loop->has_snapshot && g_atomic_int_get (&loop->snapshot_done))
    loop_join_snapshot (loop);
  if (now_us < loop->snapshot_due_us || loop->has_snapshot || !loop_log_is_up (loop)
      || owner_epoch (loop->owner, 0) == 0)
    return;
  loop->snapshot_due_us = now_us + loop->settings->snapshot_every_ms * CLK_US_PER_MS;
  SnapshotWork *work = g_new0 (SnapshotWork, 1);
  work->loop = loop;
  work->state = fold_snapshot (loop->fold);
  work->next_offset = fold_next_offset (loop->fold);
  g_atomic_int_set (&loop->snapshot_done, 0);
  int rc = pthread_create (&loop->snapshot, NULL, write_snapshot, work);
  g_assert (rc == 0);
  loop->has_snapshot = TRUE;
}

Commit *
loop_open_commit (const Loop *loop)
{
  CommitOptions options = { 0 };

  options.log = log_options (loop->settings);
  options.stream = loop->settings->log_stream;
  options.writer = loop->settings->name;
  options.batch_max = COMMIT_BATCH_MAX;
  options.batch_bytes_max = COMMIT_BATCH_BYTES;
  options.queue_max = COMMIT_QUEUE_MAX;
  options.give_up_ms = loop->settings->log_give_up_ms;
  options.metrics = loop->metrics;
  return commit_new (&options);
}

Follow *
loop_open_follow (Loop *loop)
{
  FollowOptions options = { 0 };
  FollowEvents events = { on_snapshot, on_page, on_down, loop };

  options.log = log_options (loop->settings);
  options.stream = loop->settings->log_stream;
  options.snapshot_stream = loop->settings->log_snapshot_stream;
  options.page_records = PAGE_RECORDS;
  options.poll_wait_ms = POLL_WAIT_MS;
  options.fold = loop_fold_options (loop->settings);
  options.metrics = loop->metrics;
  return follow_new (&options, &events);
}
