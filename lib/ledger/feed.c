#include "ledger/feed.h"

#include <string.h>

#include "common/clk.h"
#include "common/line.h"

/** Pause after a failed read. */
#define RETRY_MS 150
/** Refreshes under way at the same time. One whose answer is lost does not delay the next ones, and
 * 200 pipelined requests for unknown jobs opened 200 connections to the store without a limit. */
#define REFRESHES_MAX 4

struct Feed
{
  FeedOptions options;
  gboolean is_loaded;
  gboolean is_loading; /**< pages of the newest records are being loaded */
  int64_t load_end;    /**< end of the topic when the load began; -1 before its first page */
  int64_t load_us;     /**< when the load began */
  int64_t loaded_us;   /**< when the newest one ended */
  char *page;          /**< page that is loaded next; NULL: the first one */
  int64_t next;
  int64_t fresh_us;
  int64_t answered_us;
  int64_t steady_us;
  int64_t sent_us;
  int64_t failing_since_us; /**< when the first of the newest reads failed; 0: they succeed */
  int64_t overdue_us;       /**< when that one would have been answered */
  GHashTable *refreshes;    /**< Refresh, owned, as a set */
  GArray *waiting;          /**< Waiter that the next refresh serves */
  guint timer;
};

/** A caller of feed_refresh(). */
typedef struct
{
  void (*done) (void *ctx, gboolean is_fresh);
  void *ctx;
} Waiter;

/** A read that serves all waiters that asked for a refresh before it was sent. */
typedef struct
{
  Feed *feed;
  int64_t sent_us;
  GArray *waiters; /**< Waiter */
} Refresh;

/* Time-out of a call besides the time for which the store may hold its answer. */
static int64_t
timeout_ms (const Feed *feed)
{
  return store_pace_read_timeout_ms (feed->options.pace, clk_now_us ());
}

static void send_read (Feed *feed);
static void send_refresh (Feed *feed);

static gboolean
on_timer (gpointer data)
{
  Feed *feed = data;

  feed->timer = 0;
  send_read (feed);
  return G_SOURCE_REMOVE;
}

static void
schedule_read (Feed *feed, int64_t pause_ms)
{
  if (feed->timer == 0)
    feed->timer = g_timeout_add ((guint) pause_ms, on_timer, feed);
}

static void
handle_success (Feed *feed, int64_t sent_us)
{
  int64_t now = clk_now_us ();

  if (feed->failing_since_us != 0)
    line_add ("store", "regained", "topic=%s end=%" G_GINT64_FORMAT, feed->options.topic,
              feed->next);
  feed->failing_since_us = 0;
  if (feed->steady_us == 0 || now - feed->answered_us > FEED_GAP_MS * 1000)
    feed->steady_us = now;
  feed->answered_us = now;
  feed->fresh_us = MAX (feed->fresh_us, sent_us);
}

static void
handle_failure (Feed *feed, const StoreAnswer *answer)
{
  int64_t now = clk_now_us ();

  if (feed->failing_since_us != 0)
    return;
  line_add ("store", "lost", "topic=%s outcome=%s", feed->options.topic,
            store_outcome_name (answer->outcome));
  feed->failing_since_us = now;
  /* The store may hold an answer back for as long as it was asked to wait. */
  feed->overdue_us = answer->outcome == STORE_IN_DOUBT
                         ? MIN (feed->sent_us + feed->options.wait_ms * CLK_US_PER_MS, now)
                         : now;
}

static void
deliver_all (Feed *feed, const StoreAnswer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    feed->options.on_record (feed->options.ctx, &g_array_index (answer->records, StoreRecord, i));
}

/* Delivers records that were not delivered before. A poll and a refresh can be under way at the
 * same time; an older record after a newer one of its key would restore the old value. */
static void
deliver_new (Feed *feed, const StoreAnswer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    {
      const StoreRecord *record = &g_array_index (answer->records, StoreRecord, i);
      if (record->offset < feed->next)
        continue;
      feed->next = record->offset + 1;
      feed->options.on_record (feed->options.ctx, record);
    }
}

static void
finish_batch (Feed *feed)
{
  if (feed->options.on_batch != NULL)
    feed->options.on_batch (feed->options.ctx);
}

static void
refresh_free (gpointer data)
{
  Refresh *refresh = data;

  g_array_unref (refresh->waiters);
  g_free (refresh);
}

static void
finish_waiters (const GArray *waiters, gboolean is_fresh)
{
  for (guint i = 0; i < waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (waiters, Waiter, i);
      waiter->done (waiter->ctx, is_fresh);
    }
}

static void
fail_waiting (Feed *feed)
{
  g_autoptr (GArray) waiters = g_steal_pointer (&feed->waiting);

  feed->waiting = g_array_new (FALSE, FALSE, sizeof (Waiter));
  finish_waiters (waiters, FALSE);
}

/* Whether the store answers with the page before the one that was asked for. What follows is not
 * known then. */
static gboolean
repeats_page (const Feed *feed, const StoreAnswer *answer)
{
  if (answer->next_page == NULL || g_strcmp0 (answer->next_page, feed->page) != 0)
    return FALSE;
  line_add ("feed", "page_repeats", "topic=%s page=%s", feed->options.topic, feed->page);
  return TRUE;
}

static void
on_page (void *ctx, const StoreAnswer *answer)
{
  Feed *feed = ctx;

  if (answer->outcome != STORE_OK || repeats_page (feed, answer))
    {
      handle_failure (feed, answer);
      fail_waiting (feed);
      schedule_read (feed, RETRY_MS);
      return;
    }
  handle_success (feed, 0);
  deliver_all (feed, answer);
  if (feed->load_end < 0)
    feed->load_end = answer->end_offset;
  if (answer->next_page != NULL)
    {
      g_free (feed->page);
      feed->page = g_strdup (answer->next_page);
      send_read (feed);
      return;
    }
  /* The pages are not a snapshot, so records appended since the load began are read again. */
  feed->next = feed->load_end;
  feed->is_loading = FALSE;
  feed->is_loaded = TRUE;
  feed->loaded_us = clk_now_us ();
  feed->fresh_us = MAX (feed->fresh_us, feed->load_us);
  if (feed->options.on_load_end != NULL)
    feed->options.on_load_end (feed->options.ctx);
  line_add ("feed", "loaded", "topic=%s end=%" G_GINT64_FORMAT, feed->options.topic, feed->next);
  finish_batch (feed);
  send_refresh (feed);
  send_read (feed);
}

static void
begin_load (Feed *feed)
{
  feed->is_loading = TRUE;
  feed->load_end = -1;
  feed->load_us = clk_now_us ();
  g_clear_pointer (&feed->page, g_free);
  if (feed->options.on_load_begin != NULL)
    feed->options.on_load_begin (feed->options.ctx);
}

/* Applies the answer of a read; FALSE if it failed. */
static gboolean
apply_read (Feed *feed, const StoreAnswer *answer, int64_t sent_us)
{
  if (answer->outcome == STORE_EXPIRED)
    {
      line_add ("feed", "expired", "topic=%s next=%" G_GINT64_FORMAT, feed->options.topic,
                feed->next);
      begin_load (feed);
      return FALSE;
    }
  if (answer->outcome != STORE_OK)
    {
      handle_failure (feed, answer);
      if (feed->options.skips_missed)
        begin_load (feed);
      return FALSE;
    }
  deliver_new (feed, answer);
  handle_success (feed, feed->next >= answer->end_offset ? sent_us : 0);
  finish_batch (feed);
  return TRUE;
}

static void
on_read (void *ctx, const StoreAnswer *answer)
{
  Feed *feed = ctx;
  gboolean is_good = apply_read (feed, answer, feed->sent_us);
  gboolean is_behind = is_good && feed->next < answer->end_offset;

  if (is_behind || answer->outcome == STORE_EXPIRED)
    send_read (feed);
  else
    schedule_read (feed, is_good ? feed->options.pause_ms : RETRY_MS);
}

static void
send_read (Feed *feed)
{
  /* After a failure, an answer without a record tells as much as one with records. */
  int64_t wait_ms = feed->failing_since_us != 0 ? 0 : feed->options.wait_ms;
  const StoreRead read = { .topic = feed->options.topic,
                           .from = feed->next,
                           .wait_ms = wait_ms,
                           .timeout_ms = wait_ms + timeout_ms (feed) };

  feed->sent_us = clk_now_us ();
  if (feed->is_loading)
    store_newest (feed->options.store, feed->options.topic, feed->page, timeout_ms (feed), on_page,
                  feed);
  else
    store_read (feed->options.store, &read, on_read, feed);
}

Feed *
feed_new (const FeedOptions *options)
{
  Feed *feed = g_new0 (Feed, 1);

  feed->options = *options;
  feed->refreshes = g_hash_table_new_full (NULL, NULL, refresh_free, NULL);
  feed->waiting = g_array_new (FALSE, FALSE, sizeof (Waiter));
  begin_load (feed);
  send_read (feed);
  return feed;
}

void
feed_free (Feed *feed)
{
  if (feed == NULL)
    return;
  if (feed->timer != 0)
    g_source_remove (feed->timer);
  g_array_unref (feed->waiting);
  g_hash_table_destroy (feed->refreshes);
  g_free (feed->page);
  g_free (feed);
}

gboolean
feed_is_loaded (const Feed *feed)
{
  return feed->is_loaded;
}

int64_t
feed_end (const Feed *feed)
{
  return feed->next;
}

int64_t
feed_fresh_us (const Feed *feed)
{
  return feed->fresh_us;
}

int64_t
feed_failing_since_us (const Feed *feed)
{
  return feed->failing_since_us;
}

int64_t
feed_overdue_us (const Feed *feed)
{
  return feed->overdue_us;
}

gboolean
feed_is_loading (const Feed *feed)
{
  return feed->is_loading;
}

int64_t
feed_loaded_us (const Feed *feed)
{
  return feed->is_loading ? clk_now_us () : feed->loaded_us;
}

int64_t
feed_steady_since_us (const Feed *feed)
{
  if (feed->steady_us == 0 || clk_now_us () - feed->answered_us > FEED_GAP_MS * 1000)
    return 0;
  return feed->steady_us;
}

void
feed_set_pause (Feed *feed, int64_t pause_ms)
{
  feed->options.pause_ms = pause_ms;
}

static void
on_refreshed (void *ctx, const StoreAnswer *answer)
{
  Refresh *refresh = ctx;
  Feed *feed = refresh->feed;
  gboolean is_fresh = FALSE;

  /* If a load began in the meantime, the answer is not applied: reads continue from the load's
   * offset. */
  if (answer->outcome == STORE_OK && !feed->is_loading)
    {
      (void) apply_read (feed, answer, refresh->sent_us);
      is_fresh = feed->next >= answer->end_offset;
    }
  finish_waiters (refresh->waiters, is_fresh);
  (void) g_hash_table_remove (feed->refreshes, refresh);
  send_refresh (feed);
}

/* Sends a refresh for all waiters, unless there are none, or they have to wait for a load or for
 * another refresh. */
static void
send_refresh (Feed *feed)
{
  const StoreRead read
      = { .topic = feed->options.topic, .from = feed->next, .timeout_ms = timeout_ms (feed) };

  if (feed->is_loading || feed->waiting->len == 0
      || g_hash_table_size (feed->refreshes) >= REFRESHES_MAX)
    return;
  Refresh *refresh = g_new0 (Refresh, 1);
  *refresh = (Refresh){ feed, clk_now_us (), feed->waiting };
  feed->waiting = g_array_new (FALSE, FALSE, sizeof (Waiter));
  (void) g_hash_table_add (feed->refreshes, refresh);
  store_read (feed->options.store, &read, on_refreshed, refresh);
}

void
feed_refresh (Feed *feed, void (*done) (void *ctx, gboolean is_fresh), void *ctx)
{
  const Waiter waiter = { done, ctx };

  g_array_append_val (feed->waiting, waiter);
  send_refresh (feed);
}
