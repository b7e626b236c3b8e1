#include "state/follow.h"

#include <stdatomic.h>

#include "common/clk.h"
#include "common/err.h"
#include "state/backoff.h"
#include "state/chunks.h"

/** Snapshot chunks read or written in one call. */
#define CHUNK_PAGE_RECORDS 16
#define CHUNK_BYTES_MAX (PLAT_LOG_RECORD_MAX - 1024)
#define APPEND_BYTES_MAX ((size_t) 2 * 1024 * 1024)

/** A snapshot is due when this share of the records that it needs has expired. */
#define DUE_SHARE 2
/** A snapshot is due at this share of the retention time. */
#define DUE_AGE_SHARE 4
/** A snapshot is due this long before the records after it would expire at the present rate. */
#define DUE_AHEAD_S 120
/** ... but not before the records after it are this share of what is kept. */
#define DUE_UNCOVERED_SHARE 8

struct Follow
{
  FollowOptions options;
  FollowEvents events;
  char *host;
  char *stream;
  char *snapshot_stream;
  MetRegistry *own_metrics; /**< when none was given */
  MetSeries *pages;
  MetSeries *records;
  MetSeries *snapshots;
  MetSeries *bad_chunks;
  PlatLog *log;
  Backoff backoff;
  GThread *thread;
  gboolean has_state; /**< the receiver has a state up to position */
  _Atomic int64_t position;
  GMutex lock;
  GCond stopping;
  gboolean is_stopping;
};

/* Reads the whole snapshot stream. */
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
      gboolean is_stuck = page->next_offset == at;
      at = page->next_offset;
      plat_log_page_free (page);
      if (is_stuck)
        break;
    }
  return TRUE;
}

/* The newest snapshot that loads, or NULL. */
static Fold *
load_best (Follow *follow, Chunks *chunks)
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

/* A state to go on from: never older than what was handed on before. */
static Fold *
find_state (Follow *follow, GError **error)
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
  Fold *fold = load_best (follow, chunks);
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
  Fold *fold = find_state (follow, error);

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

/* Waits before the next try; FALSE when the thread is to stop. */
static gboolean
wait_backoff (Follow *follow)
{
  int64_t end_us = g_get_monotonic_time () + backoff_next_ms (&follow->backoff) * CLK_US_PER_MS;

  g_mutex_lock (&follow->lock);
  while (!follow->is_stopping && g_cond_wait_until (&follow->stopping, &follow->lock, end_us))
    ;
  gboolean go_on = !follow->is_stopping;
  g_mutex_unlock (&follow->lock);
  return go_on;
}

static gboolean
is_stopping (Follow *follow)
{
  g_mutex_lock (&follow->lock);
  gboolean stops = follow->is_stopping;
  g_mutex_unlock (&follow->lock);
  return stops;
}

static void
note_failure (Follow *follow, const GError *error)
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
      note_failure (follow, error);
      if (!wait_backoff (follow))
        break;
    }
  return NULL;
}

static void
make_series (Follow *follow)
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
  make_series (follow);
  follow->log = plat_log_new (&follow->options.log);
  backoff_init (&follow->backoff);
  g_mutex_init (&follow->lock);
  g_cond_init (&follow->stopping);
  follow->thread = g_thread_new ("follow", follow_thread, follow);
  return follow;
}

void
follow_free (Follow *follow)
{
  if (follow == NULL)
    return;
  g_mutex_lock (&follow->lock);
  follow->is_stopping = TRUE;
  g_cond_broadcast (&follow->stopping);
  g_mutex_unlock (&follow->lock);
  g_thread_join (follow->thread);
  plat_log_free (follow->log);
  backoff_clear (&follow->backoff);
  g_cond_clear (&follow->stopping);
  g_mutex_clear (&follow->lock);
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
follow_write_saved (PlatLog *log,
                    const char *snapshot_stream,
                    GBytes *saved,
                    int64_t next_offset,
                    uint32_t chunk_bytes,
                    GError **error)
{
  g_autoptr (GPtrArray) records
      = chunks_cut (saved, next_offset, CLAMP (chunk_bytes, 1, CHUNK_BYTES_MAX));
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
  g_autoptr (GBytes) saved = fold_snapshot (fold);

  return follow_write_saved (log, snapshot_stream, saved, fold_next_offset (fold), chunk_bytes,
                             error);
}

/* Whether half of what lies between the oldest kept offset and the end has expired under it. */
static gboolean
is_expiring (int64_t needed, int64_t first_kept, int64_t end)
{
  return first_kept > 0 && needed - first_kept < (end - first_kept) / DUE_SHARE;
}

gboolean
follow_snapshot_due (const FollowKept *kept)
{
  if (kept->end == 0)
    return FALSE;
  if (kept->covered == 0 || kept->end - kept->covered >= FOLLOW_REPLAY_MAX)
    return TRUE;
  if (is_expiring (kept->covered, kept->first_kept, kept->end)
      || is_expiring (kept->chunk_first, kept->chunk_first_kept, kept->chunk_end))
    return TRUE;
  int64_t ahead = kept->records_per_s * DUE_AHEAD_S;
  int64_t uncovered = kept->end - kept->covered;
  if (kept->first_kept > 0 && kept->covered - kept->first_kept < ahead
      && uncovered > (kept->end - kept->first_kept) / DUE_UNCOVERED_SHARE)
    return TRUE;
  return kept->retention_ms > 0 && kept->age_ms >= kept->retention_ms / DUE_AGE_SHARE;
}
