#include "state/follow.h"

#include <stdatomic.h>

#include "common/clk.h"
#include "common/err.h"
#include "state/backoff.h"
#include "state/chunks.h"
#include "state/wake.h"

/** Most snapshot chunks read or appended in one call. */
#define CHUNK_PAGE_RECORDS 16
#define CHUNK_BYTES_MAX (PLAT_LOG_RECORD_MAX - 1024)
#define APPEND_BYTES_MAX ((size_t) 2 * 1024 * 1024)

/** A snapshot is due when less than 1/2 of the kept records precede the offset that it needs. */
#define DUE_EXPIRED_DIVISOR 2
/** A snapshot is due when the newest one is as old as 1/4 of the retention time. */
#define DUE_AGE_DIVISOR 4
/** A snapshot is due this long before the records after it expire at the current append rate... */
#define DUE_AHEAD_S 120
/** ... but only once the records after it are more than 1/8 of those kept. */
#define DUE_UNCOVERED_DIVISOR 8

struct Follow
{
  FollowOptions options;
  FollowEvents events;
  char *host;
  char *stream;
  char *snapshot_stream;
  MetRegistry *own_metrics; /**< used when the options have no registry */
  MetSeries *pages;
  MetSeries *records;
  MetSeries *snapshots;
  MetSeries *bad_chunks;
  PlatLog *log;
  Backoff backoff;
  pthread_t thread;
  gboolean has_state; /**< the receiver has the state up to position */
  _Atomic int64_t position;
  Wake wake; /**< guards the fields below */
  gboolean is_stopping;
};

/* Reads the whole snapshot stream into @p chunks. */
static gboolean
collect_chunks (Follow *follow, Chunks *chunks, GError **error)
{
  int64_t at;
  int64_t end;

  if (!plat_log_bounds (follow->log, follow->snapshot_stream, &at, &end, error))
    return FALSE;
  while (at < end)
    {
      PlatLogPage *page
          = plat_log_read (follow->log, follow->snapshot_stream, at, CHUNK_PAGE_RECORDS, 0, error);
      if (page == NULL)
        return FALSE;
      for (guint i = 0; i < page->records->len; i++)
        {
          gsize size;
          const PlatLogRecord *record = &g_array_index (page->records, PlatLogRecord, i);
          const void *data = g_bytes_get_data (record->data, &size);
          if (!chunks_add (chunks, data, size))
            met_add (follow->bad_chunks, 1);
        }
      gboolean has_no_progress = page->next_offset == at;
      at = page->next_offset;
      plat_log_page_free (page);
      if (has_no_progress)
        break;
    }
  return TRUE;
}

/* Returns the newest snapshot that can be decoded, or NULL. */
static Fold *
load_newest (Follow *follow, Chunks *chunks)
{
  GBytes *bytes;

  while ((bytes = chunks_take_best (chunks)) != NULL)
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (bytes, &size);
      Fold *fold = fold_from_snapshot (&follow->options.fold, data, size, NULL);
      g_bytes_unref (bytes);
      if (fold != NULL)
        return fold;
      met_add (follow->bad_chunks, 1);
    }
  return NULL;
}

/* Loads a state to continue from, which is never older than what the receiver already has. */
static Fold *
load_state (Follow *follow, GError **error)
{
  int64_t position = atomic_load (&follow->position);
  int64_t first_kept;
  int64_t end;

  if (!plat_log_bounds (follow->log, follow->stream, &first_kept, &end, error))
    return NULL;
  Chunks *chunks = chunks_new (MAX (first_kept, position), end);
  if (!collect_chunks (follow, chunks, error))
    {
      chunks_free (chunks);
      return NULL;
    }
  Fold *fold = load_newest (follow, chunks);
  chunks_free (chunks);
  if (fold != NULL)
    return fold;
  if (first_kept == 0 && position == 0)
    return fold_new (&follow->options.fold);
  err_set (error, ERR_GAP,
           "log: records before %" G_GINT64_FORMAT " have expired and no snapshot "
           "covers them",
           first_kept);
  return NULL;
}

static gboolean
restart (Follow *follow, GError **error)
{
  Fold *fold = load_state (follow, error);

  if (fold == NULL)
    return FALSE;
  atomic_store (&follow->position, fold_next_offset (fold));
  follow->has_state = TRUE;
  met_add (follow->snapshots, 1);
  follow->events.on_snapshot (follow->events.ctx, fold);
  return TRUE;
}

static gboolean
read_page (Follow *follow, GError **error)
{
  int64_t read_us = clk_now_us ();
  PlatLogPage *page
      = plat_log_read (follow->log, follow->stream, atomic_load (&follow->position),
                       follow->options.page_records, follow->options.poll_wait_ms, error);

  if (page == NULL)
    return FALSE;
  atomic_store (&follow->position, page->next_offset);
  met_add (follow->pages, 1);
  met_add (follow->records, page->records->len);
  follow->events.on_page (follow->events.ctx, page, read_us);
  return TRUE;
}

/* Waits before the next retry; returns FALSE if the thread has to stop. */
static gboolean
wait_backoff (Follow *follow)
{
  int64_t end_us = wake_now_us () + backoff_next_ms (&follow->backoff) * CLK_US_PER_MS;

  wake_lock (&follow->wake);
  while (!follow->is_stopping && wake_wait_until (&follow->wake, end_us))
    ;
  gboolean should_continue = !follow->is_stopping;
  wake_unlock (&follow->wake);
  return should_continue;
}

static gboolean
is_stopping (Follow *follow)
{
  wake_lock (&follow->wake);
  gboolean result = follow->is_stopping;
  wake_unlock (&follow->wake);
  return result;
}

static void
report_failure (Follow *follow, const GError *error)
{
  met_kind_add (follow->options.metrics, "acacia_follow_retries_total", err_kind (error), 1);
  if (err_kind (error) == ERR_GAP)
    follow->has_state = FALSE;
  if (follow->events.on_down != NULL)
    follow->events.on_down (follow->events.ctx, error);
}

static void *
follow_thread (void *data)
{
  Follow *follow = data;

  while (!is_stopping (follow))
    {
      g_autoptr (GError) error = NULL;
      gboolean ok = follow->has_state ? read_page (follow, &error) : restart (follow, &error);
      if (ok)
        {
          backoff_reset (&follow->backoff);
          continue;
        }
      report_failure (follow, error);
      if (!wait_backoff (follow))
        break;
    }
  return NULL;
}

static void
register_metrics (Follow *follow)
{
  if (follow->options.metrics == NULL)
    {
      follow->own_metrics = met_new ();
      follow->options.metrics = follow->own_metrics;
    }
  MetRegistry *metrics = follow->options.metrics;
  follow->pages = met_counter (metrics, "acacia_follow_pages_total", NULL, "Pages read.");
  follow->records = met_counter (metrics, "acacia_follow_records_total", NULL, "Records read.");
  follow->snapshots = met_counter (metrics, "acacia_follow_snapshots_total", NULL,
                                   "States that reading started from.");
  follow->bad_chunks = met_counter (metrics, "acacia_follow_bad_chunks_total", NULL,
                                    "Malformed snapshots and snapshot chunks.");
}

Follow *
follow_new (const FollowOptions *options, const FollowEvents *events)
{
  Follow *follow = g_new0 (Follow, 1);

  g_assert (options->page_records > 0);
  follow->options = *options;
  follow->events = *events;
  follow->host = g_strdup (options->log.host);
  follow->stream = g_strdup (options->stream);
  follow->snapshot_stream = g_strdup (options->snapshot_stream);
  follow->options.log.host = follow->host;
  register_metrics (follow);
  follow->log = plat_log_new (&follow->options.log);
  backoff_init (&follow->backoff);
  wake_init (&follow->wake);
  pthread_create (&follow->thread, NULL, follow_thread, follow);
  return follow;
}

void
follow_free (Follow *follow)
{
  if (follow == NULL)
    return;
  wake_lock (&follow->wake);
  follow->is_stopping = TRUE;
  wake_signal (&follow->wake);
  wake_unlock (&follow->wake);
  pthread_join (follow->thread, NULL);
  plat_log_free (follow->log);
  backoff_clear (&follow->backoff);
  wake_clear (&follow->wake);
  met_free (follow->own_metrics);
  g_free (follow->host);
  g_free (follow->stream);
  g_free (follow->snapshot_stream);
  g_free (follow);
}

int64_t
follow_position (const Follow *follow)
{
  return atomic_load (&follow->position);
}

gboolean
follow_write_snapshot_bytes (PlatLog *log,
                             const char *snapshot_stream,
                             GBytes *snapshot,
                             int64_t next_offset,
                             uint32_t chunk_bytes,
                             GError **error)
{
  g_autoptr (GPtrArray) records
      = chunks_split (snapshot, next_offset, CLAMP (chunk_bytes, 1, CHUNK_BYTES_MAX));
  gboolean ok = TRUE;

  for (guint i = 0; ok && i < records->len;)
    {
      g_autoptr (GPtrArray) batch = g_ptr_array_new ();
      size_t bytes = 0;
      while (i < records->len && batch->len < CHUNK_PAGE_RECORDS && bytes < APPEND_BYTES_MAX)
        {
          bytes += g_bytes_get_size (g_ptr_array_index (records, i));
          g_ptr_array_add (batch, g_ptr_array_index (records, i++));
        }
      ok = plat_log_append (log, snapshot_stream, batch, NULL, error);
    }
  return ok;
}

gboolean
follow_write_snapshot (PlatLog *log,
                       const char *snapshot_stream,
                       const Fold *fold,
                       uint32_t chunk_bytes,
                       GError **error)
{
  g_autoptr (GBytes) snapshot = fold_snapshot (fold);

  return follow_write_snapshot_bytes (log, snapshot_stream, snapshot, fold_next_offset (fold),
                                      chunk_bytes, error);
}

/* Whether @p needed lies in the older half of the kept offsets, which expire first. */
static gboolean
is_expiring (int64_t needed, int64_t first_kept, int64_t end)
{
  return first_kept > 0 && needed - first_kept < (end - first_kept) / DUE_EXPIRED_DIVISOR;
}

gboolean
follow_snapshot_due (const FollowSnapshotStatus *status)
{
  if (status->end == 0)
    return FALSE;
  if (status->covered == 0 || status->end - status->covered >= FOLLOW_REPLAY_MAX)
    return TRUE;
  if (is_expiring (status->covered, status->first_kept, status->end)
      || is_expiring (status->chunk_first, status->chunk_first_kept, status->chunk_end))
    return TRUE;
  int64_t lookahead_records = status->records_per_s * DUE_AHEAD_S;
  int64_t uncovered = status->end - status->covered;
  if (status->first_kept > 0 && status->covered - status->first_kept < lookahead_records
      && uncovered > (status->end - status->first_kept) / DUE_UNCOVERED_DIVISOR)
    return TRUE;
  return status->retention_ms > 0 && status->age_ms >= status->retention_ms / DUE_AGE_DIVISOR;
}
