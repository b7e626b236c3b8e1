/**
 * @file follow.h
 * Reads the log from a snapshot or its start, on a thread of its own, and hands pages on.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/met.h"
#include "platform/plat_log.h"
#include "state/fold.h"

G_BEGIN_DECLS

typedef struct Follow Follow;

typedef struct
{
  PlatLogOptions log;
  const char *stream;
  const char *snapshot_stream;
  uint32_t page_records;
  int64_t poll_wait_ms; /**< long poll of the log */
  FoldOptions fold;
  MetRegistry *metrics;
} FollowOptions;

/** What the reader thread hands on; all called on that thread. */
typedef struct
{
  /** A state to start from: at start, and again after a gap. The receiver owns @p fold. */
  void (*on_snapshot) (void *ctx, Fold *fold);
  /** Records in order; the receiver owns @p page. read_us: when the read was sent. */
  void (*on_page) (void *ctx, PlatLogPage *page, int64_t read_us);
  /** The log can't be read, with the reason; called at each failed try. */
  void (*on_down) (void *ctx, const GError *error);
  void *ctx;
} FollowEvents;

/** Starts the reader thread. */
Follow *follow_new (const FollowOptions *options, const FollowEvents *events);

/** Stops the thread and joins it. */
void follow_free (Follow *follow);

/** Offset up to which records were handed on; any thread. */
int64_t follow_position (const Follow *follow);

/** What is known about the streams when asking whether a new snapshot is due. */
typedef struct
{
  int64_t covered;          /**< next_offset of the newest whole snapshot; 0 for none */
  int64_t first_kept;       /**< of the records */
  int64_t end;              /**< of the records */
  int64_t chunk_first;      /**< offset of the newest snapshot's first chunk */
  int64_t chunk_first_kept; /**< of the snapshot stream */
  int64_t chunk_end;        /**< of the snapshot stream */
  int64_t age_ms;           /**< of the newest snapshot */
  int64_t retention_ms;     /**< how long the platform keeps records; 0: unknown */
  int64_t records_per_s;    /**< rate at which records come */
} FollowKept;

/** Most records that a starting process should have to fold. */
#define FOLLOW_REPLAY_MAX 50000

/**
 * Whether a snapshot should be written now: long before the newest one, or the records after it,
 * expire, and before the records after it are too many to fold at a start.
 */
gboolean follow_snapshot_due (const FollowKept *kept);

/**
 * Writes @p fold as snapshot chunks on the snapshot stream; call it on any thread but the reader's.
 * A snapshot that was cut off by a failure is never used; write another.
 */
gboolean follow_write_snapshot (PlatLog *log,
                                const char *snapshot_stream,
                                const Fold *fold,
                                uint32_t chunk_bytes,
                                GError **error);

/** Like follow_write_snapshot(), from the bytes of fold_snapshot() at @p next_offset. */
gboolean follow_write_saved (PlatLog *log,
                             const char *snapshot_stream,
                             GBytes *saved,
                             int64_t next_offset,
                             uint32_t chunk_bytes,
                             GError **error);

G_END_DECLS
