/**
 * @file feed.h
 * Reads a keyed topic of the store: the newest records first, then what is appended.
 */
#pragma once

#include "platform/store.h"

G_BEGIN_DECLS

typedef struct Feed Feed;

typedef struct
{
  Store *store;
  const char *topic;
  int64_t wait_ms;  /**< a read waits this long for a record */
  int64_t pause_ms; /**< between two reads */
  /** After a read that failed, the newest records are read in place of all that were missed: for
   * topics of few keys whose older records say nothing. */
  gboolean skips_missed;
  void (*on_record) (void *ctx, const StoreRecord *record);
  /** After the records of one answer. May be NULL. */
  void (*on_batch) (void *ctx);
  void *ctx;
} FeedOptions;

/** Starts at once; texts must outlive it. */
Feed *feed_new (const FeedOptions *options);
/** No call may be under way any more. NULL is allowed. */
void feed_free (Feed *feed);

/** Whether the newest records were read once. */
gboolean feed_is_loaded (const Feed *feed);
/** Offset behind the last record that was handed on. */
int64_t feed_end (const Feed *feed);
/** All that was acknowledged by this time, on clk_now_us(), was handed on; 0: nothing yet. */
int64_t feed_fresh_us (const Feed *feed);
/** Since when reads have been answered without a gap of #FEED_GAP_MS; 0: they are not. */
int64_t feed_steady_since_us (const Feed *feed);
/** Changes the pause between two reads. */
void feed_set_pause (Feed *feed, int64_t pause_ms);

/** Reads on to the topic's end of now, once the newest records were read; then calls @p done. */
void feed_refresh (Feed *feed, void (*done) (void *ctx, gboolean is_fresh), void *ctx);

/** Reads whose answers are further apart do not count as steady. */
#define FEED_GAP_MS 1700

G_END_DECLS
