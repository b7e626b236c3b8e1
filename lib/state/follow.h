/**
 * @file follow.h
 * Reads the log from a snapshot or its start on a dedicated thread and passes pages to a receiver.
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
  int64_t poll_wait_ms; /**< long-poll time of one read */
  FoldOptions fold;
  MetRegistry *metrics;
} FollowOptions;

/** Callbacks of the receiver; all are called on the reader thread. */
typedef struct
{
  /** State to continue from, at the start and after each gap. The receiver owns @p fold. */
  void (*on_snapshot) (void *ctx, Fold *fold);
  /** Records in order; the receiver owns @p page. @p read_us is when the read was sent. */
  void (*on_page) (void *ctx, PlatLogPage *page, int64_t read_us);
  /** The log can't be read, with the reason; called for each failed attempt. */
  void (*on_down) (void *ctx, const GError *error);
  void *ctx;
} FollowEvents;

/** Starts the reader thread. */
Follow *follow_new (const FollowOptions *options, const FollowEvents *events);

/** Stops the thread and joins it. */
void follow_free (Follow *follow);

/** Offset up to which records were passed to the receiver; may be called on any thread. */
int64_t follow_position (const Follow *follow);

/** State of both streams, from which follow_snapshot_due() decides. */
typedef struct
{
  int64_t covered;          /**< next_offset of the newest complete snapshot; 0: none */
  int64_t first_kept;       /**< oldest offset kept of the record stream */
  int64_t end;              /**< end of the record stream */
  int64_t chunk_first;      /**< offset of the newest snapshot's first chunk */
  int64_t chunk_first_kept; /**< oldest offset kept of the snapshot stream */
  int64_t chunk_end;        /**< end of the snapshot stream */
  int64_t age_ms;           /**< age of the newest snapshot */
  int64_t retention_ms;     /**< how long the platform keeps records; 0: unknown */
  int64_t records_per_s;    /**< append rate */
} FollowSnapshotStatus;

/** Most records that a starting process should have to replay. */
#define FOLLOW_REPLAY_MAX 50000

/**
 * Whether a snapshot should be written now: well before the newest snapshot or the records after it
 * expire, and before there are too many records after it to replay at a start.
 */
gboolean follow_snapshot_due (const FollowSnapshotStatus *status);

/**
 * Appends @p fold as chunks to the snapshot stream; must not be called on the reader thread. After
 * a failure the incomplete snapshot is never used; write another one.
 */
gboolean follow_write_snapshot (PlatLog *log,
                                const char *snapshot_stream,
                                const Fold *fold,
                                uint32_t chunk_bytes,
                                GError **error);

/** Like follow_write_snapshot(), but from the result of fold_snapshot() at @p next_offset. */
gboolean follow_write_snapshot_bytes (PlatLog *log,
                                      const char *snapshot_stream,
                                      GBytes *snapshot,
                                      int64_t next_offset,
                                      uint32_t chunk_bytes,
                                      GError **error);

G_END_DECLS
