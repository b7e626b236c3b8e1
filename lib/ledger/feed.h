/**
 * @file feed.h
 * Reads a keyed topic of the store: the newest record of each key first, then new records.
 */
#pragma once

#include "ledger/store_pace.h"
#include "platform/store.h"

G_BEGIN_DECLS

typedef struct Feed Feed;

typedef struct
{
  Store *store;
  const char *topic;
  int64_t wait_ms;       /**< how long a read waits for a record */
  int64_t pause_ms;      /**< pause between two reads */
  const StorePace *pace; /**< of this process's appends, for time-outs; NULL if it has none */
  /** After a failed read, load the newest records instead of reading all missed ones. For topics
   * with few keys, whose older records don't matter. */
  gboolean skips_missed;
  void (*on_record) (void *ctx, const StoreRecord *record);
  /** Called after the records of one answer. May be NULL. */
  void (*on_batch) (void *ctx);
  /** Called before and after the newest record of each key is loaded. A key whose record is not
   * delivered in between no longer exists. May be NULL. */
  void (*on_load_begin) (void *ctx);
  void (*on_load_end) (void *ctx);
  void *ctx;
} FeedOptions;

/** Creates a feed and starts to read. The texts in @p options must outlive it. */
Feed *feed_new (const FeedOptions *options);
/** No call may be under way. NULL is allowed. */
void feed_free (Feed *feed);

/** Whether the newest records have been loaded once. */
gboolean feed_is_loaded (const Feed *feed);
/** Offset after the last record that was delivered. */
int64_t feed_end (const Feed *feed);
/** Time on clk_now_us() up to which all acknowledged records were delivered; 0: none yet. */
int64_t feed_fresh_us (const Feed *feed);
/** Whether the newest records are being loaded: records of different keys may be of different
 * times. */
gboolean feed_is_loading (const Feed *feed);
/** When the newest load of the newest records ended; now, while there is one. */
int64_t feed_loaded_us (const Feed *feed);
/** Since when reads have been answered without a gap of #FEED_GAP_MS; 0: there is such a gap
 * now. */
int64_t feed_steady_since_us (const Feed *feed);
/** Time on clk_now_us() at which the first of the reads ended that failed in succession; 0: the
 * newest one that ended was answered. */
int64_t feed_failing_since_us (const Feed *feed);
/** When the first of those reads would have been answered, had the store served it. */
int64_t feed_overdue_us (const Feed *feed);
/** Changes the pause between two reads. */
void feed_set_pause (Feed *feed, int64_t pause_ms);

/** Reads up to the topic's current end, after the newest records were loaded; then calls @p
 * done. A few such reads are under way at the same time; later callers share the next one. */
void feed_refresh (Feed *feed, void (*done) (void *ctx, gboolean is_fresh), void *ctx);

/** Longest time between two answers for reads to count as steady. */
#define FEED_GAP_MS 1700

G_END_DECLS
