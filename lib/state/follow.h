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

/**
 * Writes @p fold as snapshot chunks on the snapshot stream; call it on any thread but the reader's.
 */
gboolean follow_write_snapshot (PlatLog *log,
                                const char *snapshot_stream,
                                const Fold *fold,
                                uint32_t chunk_bytes,
                                GError **error);

G_END_DECLS
