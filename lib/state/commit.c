#include "state/commit.h"

#include <stdatomic.h>

#include "common/clk.h"
#include "common/err.h"
#include "state/backoff.h"
#include "state/wake.h"

/** How often an idle commit thread checks whether the log is available again. */
#define PROBE_INTERVAL_MS 250

typedef struct
{
  IdsId id;
  GBytes *data;
  CommitDone done;
  void *ctx;
  gboolean in_doubt; /**< an append that contained it ended without an answer */
  int64_t give_up_us;
} CommitItem;

struct Commit
{
  CommitOptions options;
  char *host;
  char *stream;
  char *writer;
  MetRegistry *own_metrics; /**< used when the options have no registry */
  MetSeries *appends;
  MetSeries *records;
  MetSeries *waiting;
  PlatLog *log;
  Backoff backoff;
  pthread_t thread;
  uint32_t batch_limit; /**< most records in the next append; halved after one without an answer */
  _Atomic int is_up;
  Wake wake;    /**< guards the fields below */
  GQueue queue; /**< CommitItem */
  gboolean is_stopping;
  uint32_t single_appends_left; /**< number of following appends that carry one record each */
};

static void
item_finish (CommitItem *item, CommitResult result)
{
  if (item->done != NULL)
    item->done (item->ctx, item->id, result);
  g_bytes_unref (item->data);
  g_free (item);
}

static CommitResult
failed_result (const CommitItem *item)
{
  return item->in_doubt ? COMMIT_IN_DOUBT : COMMIT_NOT_APPENDED;
}

/* Waits for work or, while the log is unavailable, until the next probe. */
static void
wait_for_work (Commit *commit)
{
  int64_t end_us = wake_now_us () + PROBE_INTERVAL_MS * CLK_US_PER_MS;

  while (!commit->is_stopping && commit->queue.length == 0)
    {
      if (atomic_load (&commit->is_up))
        wake_wait (&commit->wake);
      else if (!wake_wait_until (&commit->wake, end_us))
        return;
    }
}

static void
wait_backoff (Commit *commit)
{
  int64_t end_us = wake_now_us () + backoff_next_ms (&commit->backoff) * CLK_US_PER_MS;

  wake_lock (&commit->wake);
  while (!commit->is_stopping && wake_wait_until (&commit->wake, end_us))
    ;
  wake_unlock (&commit->wake);
}

/* Removes the records of the next append from the queue; the caller holds the lock. */
static GPtrArray *
take_batch (Commit *commit)
{
  GPtrArray *batch = g_ptr_array_new ();
  uint32_t limit = commit->single_appends_left > 0 ? 1 : commit->batch_limit;
  size_t bytes = 0;

  while (batch->len < limit && commit->queue.length > 0)
    {
      CommitItem *item = g_queue_peek_head (&commit->queue);
      bytes += g_bytes_get_size (item->data);
      if (batch->len > 0 && bytes > commit->options.batch_bytes_max)
        break;
      g_ptr_array_add (batch, g_queue_pop_head (&commit->queue));
    }
  if (commit->single_appends_left > 0)
    commit->single_appends_left--;
  return batch;
}

static void
finish_batch (const GPtrArray *batch)
{
  for (guint i = 0; i < batch->len; i++)
    item_finish (g_ptr_array_index (batch, i), COMMIT_APPENDED);
}

/* The log rejects a record of the batch: appends them one by one, so that only that one fails. */
static void
split_batch (Commit *commit, const GPtrArray *batch)
{
  if (batch->len == 1)
    {
      CommitItem *item = g_ptr_array_index (batch, 0);
      item_finish (item, failed_result (item));
      return;
    }
  wake_lock (&commit->wake);
  commit->single_appends_left = batch->len;
  for (guint i = batch->len; i > 0; i--)
    g_queue_push_head (&commit->queue, g_ptr_array_index (batch, i - 1));
  wake_unlock (&commit->wake);
}

/* Fails the records past their time limit; puts the others back at the head, with the same ids. */
static void
requeue_batch (Commit *commit, const GPtrArray *batch, gboolean in_doubt)
{
  int64_t now_us = clk_now_us ();

  for (guint i = batch->len; i > 0; i--)
    {
      CommitItem *item = g_ptr_array_index (batch, i - 1);
      item->in_doubt = item->in_doubt || in_doubt;
      if (now_us >= item->give_up_us)
        {
          item_finish (item, failed_result (item));
          continue;
        }
      wake_lock (&commit->wake);
      g_queue_push_head (&commit->queue, item);
      wake_unlock (&commit->wake);
    }
}

/* While the log is unavailable, applies the time limit to the queued records as well. */
static void
give_up_waiting (Commit *commit)
{
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  int64_t now_us = clk_now_us ();

  wake_lock (&commit->wake);
  for (GList *link = commit->queue.head; link != NULL;)
    {
      GList *next = link->next;
      CommitItem *item = link->data;
      if (now_us >= item->give_up_us)
        {
          g_ptr_array_add (expired, item);
          g_queue_delete_link (&commit->queue, link);
        }
      link = next;
    }
  wake_unlock (&commit->wake);
  for (guint i = 0; i < expired->len; i++)
    {
      CommitItem *item = g_ptr_array_index (expired, i);
      item_finish (item, failed_result (item));
    }
}

static gboolean
append_batch (Commit *commit, const GPtrArray *batch, GError **error)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new ();

  for (guint i = 0; i < batch->len; i++)
    {
      const CommitItem *item = g_ptr_array_index (batch, i);
      g_ptr_array_add (records, item->data);
    }
  return plat_log_append (commit->log, commit->stream, records, NULL, error);
}

static void
commit_batch (Commit *commit, const GPtrArray *batch)
{
  g_autoptr (GError) error = NULL;

  met_add (commit->appends, 1);
  if (append_batch (commit, batch, &error))
    {
      atomic_store (&commit->is_up, TRUE);
      backoff_reset (&commit->backoff);
      met_add (commit->records, batch->len);
      commit->batch_limit = MIN (commit->batch_limit * 2, commit->options.batch_max);
      finish_batch (batch);
      return;
    }
  ErrKind kind = err_kind (error);
  met_kind_add (commit->options.metrics, "acacia_commit_retries_total", kind, 1);
  if (kind == ERR_TOO_LARGE || kind == ERR_BAD_REQUEST)
    {
      split_batch (commit, batch);
      return;
    }
  gboolean in_doubt = kind != ERR_REFUSED && kind != ERR_LOG_DOWN;
  atomic_store (&commit->is_up, FALSE);
  /* A slow service may answer a smaller append in time. */
  if (in_doubt)
    commit->batch_limit = MAX (batch->len / 2, 1);
  requeue_batch (commit, batch, in_doubt);
  give_up_waiting (commit);
  wait_backoff (commit);
}

/* Checks whether the log is available again while no queued record would show it. */
static void
probe_log (Commit *commit)
{
  int64_t first_kept;
  int64_t end;

  if (plat_log_bounds (commit->log, commit->stream, &first_kept, &end, NULL))
    {
      atomic_store (&commit->is_up, TRUE);
      backoff_reset (&commit->backoff);
    }
}

static gboolean
step (Commit *commit)
{
  wake_lock (&commit->wake);
  wait_for_work (commit);
  gboolean is_stopping = commit->is_stopping;
  g_autoptr (GPtrArray) batch = is_stopping ? g_ptr_array_new () : take_batch (commit);
  met_set (commit->waiting, commit->queue.length);
  wake_unlock (&commit->wake);
  if (batch->len > 0)
    commit_batch (commit, batch);
  else if (!is_stopping)
    probe_log (commit);
  return !is_stopping;
}

static void *
commit_thread (void *data)
{
  Commit *commit = data;

  while (step (commit))
    ;
  return NULL;
}

static void
register_metrics (Commit *commit)
{
  if (commit->options.metrics == NULL)
    {
      commit->own_metrics = met_new ();
      commit->options.metrics = commit->own_metrics;
    }
  commit->appends = met_counter (commit->options.metrics, "acacia_commit_appends_total", NULL,
                                 "Append calls to the log.");
  commit->records = met_counter (commit->options.metrics, "acacia_commit_records_total", NULL,
                                 "Records appended to the log.");
  commit->waiting = met_gauge (commit->options.metrics, "acacia_commit_waiting", NULL,
                               "Records that wait for the next append.");
}

Commit *
commit_new (const CommitOptions *options)
{
  Commit *commit = g_new0 (Commit, 1);

  g_assert (options->batch_max > 0 && options->queue_max > 0);
  commit->options = *options;
  commit->host = g_strdup (options->log.host);
  commit->stream = g_strdup (options->stream);
  commit->writer = g_strdup (options->writer != NULL ? options->writer : "");
  commit->options.log.host = commit->host;
  register_metrics (commit);
  commit->log = plat_log_new (&commit->options.log);
  backoff_init (&commit->backoff);
  commit->batch_limit = options->batch_max;
  atomic_store (&commit->is_up, TRUE);
  wake_init (&commit->wake);
  g_queue_init (&commit->queue);
  pthread_create (&commit->thread, NULL, commit_thread, commit);
  return commit;
}

void
commit_free (Commit *commit)
{
  if (commit == NULL)
    return;
  wake_lock (&commit->wake);
  commit->is_stopping = TRUE;
  wake_signal (&commit->wake);
  wake_unlock (&commit->wake);
  pthread_join (commit->thread, NULL);
  CommitItem *item;
  while ((item = g_queue_pop_head (&commit->queue)) != NULL)
    item_finish (item, failed_result (item));
  plat_log_free (commit->log);
  backoff_clear (&commit->backoff);
  wake_clear (&commit->wake);
  met_free (commit->own_metrics);
  g_free (commit->host);
  g_free (commit->stream);
  g_free (commit->writer);
  g_free (commit);
}

static GBytes *
pack_record (const Commit *commit, const Record__Record *record, IdsId *id)
{
  Record__Record copy = *record;

  if (copy.id_high == 0 && copy.id_low == 0)
    {
      IdsId fresh = ids_new ();
      copy.id_high = fresh.high;
      copy.id_low = fresh.low;
    }
  if (copy.writer == NULL || copy.writer[0] == '\0')
    copy.writer = commit->writer;
  if (copy.wall_ms == 0)
    copy.wall_ms = clk_wall_ms ();
  *id = (IdsId){ copy.id_high, copy.id_low };
  size_t size = record__record__get_packed_size (&copy);
  uint8_t *data = g_malloc (size);
  (void) record__record__pack (&copy, data);
  return g_bytes_new_take (data, size);
}

static CommitItem *
item_new (const Commit *commit, const Record__Record *record, CommitDone done, void *ctx)
{
  CommitItem *item = g_new0 (CommitItem, 1);

  item->data = pack_record (commit, record, &item->id);
  item->done = done;
  item->ctx = ctx;
  item->give_up_us = clk_now_us () + commit->options.give_up_ms * CLK_US_PER_MS;
  return item;
}

static void
item_drop (CommitItem *item)
{
  g_bytes_unref (item->data);
  g_free (item);
}

gboolean
commit_submit (Commit *commit,
               const Record__Record *record,
               gboolean wait,
               CommitDone done,
               void *ctx,
               IdsId *id,
               GError **error)
{
  if (!wait && !commit_log_is_up (commit))
    {
      err_set (error, ERR_LOG_DOWN, "log: unavailable");
      return FALSE;
    }
  CommitItem *item = item_new (commit, record, done, ctx);
  IdsId queued = item->id;
  if (g_bytes_get_size (item->data) > PLAT_LOG_RECORD_MAX)
    {
      err_set (error, ERR_TOO_LARGE, "log: record of %zu bytes is too large",
               g_bytes_get_size (item->data));
      item_drop (item);
      return FALSE;
    }
  wake_lock (&commit->wake);
  gboolean is_full = commit->queue.length >= commit->options.queue_max;
  if (!is_full)
    {
      g_queue_push_tail (&commit->queue, item);
      wake_signal (&commit->wake);
    }
  wake_unlock (&commit->wake);
  if (is_full)
    {
      err_set (error, ERR_QUEUE_FULL, "log: queue is full (%u records)", commit->options.queue_max);
      item_drop (item);
      return FALSE;
    }
  if (id != NULL)
    *id = queued;
  return TRUE;
}

gboolean
commit_fence (Commit *commit, IdsId id, int64_t wall_ms, CommitDone done, void *ctx, GError **error)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Fence fence = RECORD__FENCE__INIT;

  fence.id_high = id.high;
  fence.id_low = id.low;
  fence.wall_ms = wall_ms;
  record.body_case = RECORD__RECORD__BODY_FENCE;
  record.fence = &fence;
  return commit_submit (commit, &record, TRUE, done, ctx, NULL, error);
}

gboolean
commit_log_is_up (const Commit *commit)
{
  return atomic_load (&commit->is_up) != 0;
}
