#include "ledger/store_pace.h"

#include <math.h>
#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "ledger/appender.h"

/** Weight of the newest answer. A store turns slow and fast again from one append to the next. */
#define NEWEST_WEIGHT 0.5
/** The estimate halves in this time while nothing is sent, so that a store that has recovered is
 * tried again within a second or two. */
#define HALF_LIFE_MS 500
/** Appends that take this long are shared. With ten entries that append on their own, the last one
 * in the store's queue would wait for a second, a third of what callers usually wait. */
#define SLOW_MS 100
/** Appends that take this long are not shared any more. */
#define FAST_MS 50
/** Shortest time-out. A store that is not slow answers within some ms; a lost answer is noticed
 * after this. */
#define TIMEOUT_MIN_MS 900
/** An append is given up only after this multiple of the time that they took. */
#define TIMEOUT_FACTOR 4
/** An append without an answer was lost, or the store is slow: the next one gets this multiple of
 * its time. */
#define GIVEN_UP_FACTOR 2
/** Time kept for the retry of an owner's append, as a multiple of the time that appends take: it
 * may come behind the first copy in the store's queue. */
#define RETRY_FACTOR 1.5
/** At most one part in this many of the authority that is left is kept for it: an append that was
 * given up says little about the time of the next one. */
#define RETRY_SHARE 2
/** An answer is due after this multiple of the time that they took. */
#define DUE_FACTOR 2
/** Longest time-out of a read. With the wait of 500 ms, it ends before the view that the read
 * renews counts as interrupted (FEED_GAP_MS). */
#define READ_TIMEOUT_MAX_MS 1150
/** Bounds of the time that another process has to write a record before it is appended here as
 * well. Up to the longer one, which is as long as callers usually wait, an append of this process
 * would only delay that process's. */
#define FALLBACK_MIN_MS 600
#define FALLBACK_MAX_MS 3000
/** A record waits for half of the append under way on average, and for its own. */
#define FORWARDED_FACTOR 1.5
/** Longest Retry-After: slow spells last for some seconds. */
#define RETRY_AFTER_MAX_S 4

void
store_pace_init (StorePace *pace)
{
  memset (pace, 0, sizeof *pace);
}

uint32_t
store_pace_begin (StorePace *pace, int64_t now_us)
{
  uint32_t slot = 0;

  while (slot + 1 < STORE_PACE_OPEN_MAX && pace->open_us[slot] != 0)
    slot++;
  pace->open_us[slot] = MAX (now_us, 1);
  return slot;
}

static double
decayed_ms (double value_ms, int64_t since_us, int64_t now_us)
{
  double idle_ms = (double) MAX (now_us - since_us, 0) / CLK_US_PER_MS;

  return value_ms * exp2 (-floor (idle_ms / HALF_LIFE_MS));
}

static double
answered_ms (const StorePace *pace, int64_t now_us)
{
  return decayed_ms (pace->answer_ms, pace->updated_us, now_us);
}

static double
given_up_ms (const StorePace *pace, int64_t now_us)
{
  return decayed_ms ((double) pace->floor_ms, pace->floor_us, now_us);
}

void
store_pace_end (StorePace *pace, uint32_t slot, StoreOutcome outcome, int64_t now_us)
{
  g_return_if_fail (slot < STORE_PACE_OPEN_MAX && pace->open_us[slot] != 0);
  int64_t began_us = pace->open_us[slot];
  int64_t took_ms = MAX (now_us - began_us, 0) / CLK_US_PER_MS;

  pace->open_us[slot] = 0;
  if (outcome == STORE_IN_DOUBT)
    {
      /* It may be slow, or the answer was lost: the next answer tells. */
      pace->floor_ms = MAX (pace->floor_ms, took_ms);
      pace->floor_us = now_us;
      return;
    }
  /* A refusal says nothing about the time that an append takes. */
  if (outcome == STORE_REFUSED)
    return;
  double before_ms = answered_ms (pace, now_us);
  pace->answer_ms = pace->updated_us == 0
                        ? (double) took_ms
                        : before_ms + ((double) took_ms - before_ms) * NEWEST_WEIGHT;
  pace->updated_us = now_us;
  if (began_us >= pace->floor_us - pace->floor_ms * CLK_US_PER_MS)
    pace->floor_ms = 0;
}

static int64_t
oldest_open_us (const StorePace *pace)
{
  int64_t oldest_us = 0;

  for (uint32_t i = 0; i < STORE_PACE_OPEN_MAX; i++)
    {
      if (pace->open_us[i] != 0 && (oldest_us == 0 || pace->open_us[i] < oldest_us))
        oldest_us = pace->open_us[i];
    }
  return oldest_us;
}

int64_t
store_pace_expected_ms (const StorePace *pace, int64_t now_us)
{
  int64_t open_us = oldest_open_us (pace);
  int64_t age_ms = open_us == 0 ? 0 : (now_us - open_us) / CLK_US_PER_MS;

  return MAX (age_ms, (int64_t) MAX (answered_ms (pace, now_us), given_up_ms (pace, now_us)));
}

gboolean
store_pace_is_slow (StorePace *pace, int64_t now_us)
{
  int64_t expected_ms = store_pace_expected_ms (pace, now_us);

  pace->is_slow = expected_ms >= (pace->is_slow ? FAST_MS : SLOW_MS);
  return pace->is_slow;
}

static int64_t
clamp_timeout_ms (double timeout_ms)
{
  return (int64_t) CLAMP (timeout_ms, TIMEOUT_MIN_MS, STORE_PACE_TIMEOUT_MAX_MS);
}

int64_t
store_pace_timeout_ms (const StorePace *pace, gboolean is_urgent, int64_t now_us)
{
  double given_up = given_up_ms (pace, now_us);

  if (given_up >= SLOW_MS && !is_urgent)
    return STORE_PACE_TIMEOUT_MAX_MS;
  return clamp_timeout_ms (
      MAX (answered_ms (pace, now_us) * TIMEOUT_FACTOR, given_up * GIVEN_UP_FACTOR));
}

int64_t
store_pace_owner_timeout_ms (const StorePace *pace, int64_t left_ms, int64_t now_us)
{
  double usual_ms = (double) store_pace_timeout_ms (pace, TRUE, now_us);
  double answer_ms = answered_ms (pace, now_us);

  if (left_ms <= 0)
    return (int64_t) usual_ms;
  double retry_ms = MAX (answer_ms, given_up_ms (pace, now_us)) * RETRY_FACTOR;
  double limit_ms
      = (double) left_ms - APPENDER_BACKOFF_MIN_MS - MIN (retry_ms, (double) left_ms / RETRY_SHARE);
  /* A copy that is sent before the answer is due only delays it. */
  limit_ms = MAX (limit_ms, answer_ms * DUE_FACTOR);
  return clamp_timeout_ms (MIN (usual_ms, limit_ms));
}

int64_t
store_pace_read_timeout_ms (const StorePace *pace, int64_t now_us)
{
  if (pace == NULL)
    return TIMEOUT_MIN_MS;
  return (int64_t) CLAMP (answered_ms (pace, now_us) * TIMEOUT_FACTOR, TIMEOUT_MIN_MS,
                          READ_TIMEOUT_MAX_MS);
}

int64_t
store_pace_wait_ms (const StorePace *pace, int64_t open_us, uint32_t n_appends, int64_t now_us)
{
  int64_t expected_ms = store_pace_expected_ms (pace, now_us);
  int64_t left_ms = open_us == 0 ? 0 : expected_ms - (now_us - open_us) / CLK_US_PER_MS;

  return MAX (left_ms, 0) + expected_ms * n_appends;
}

int64_t
store_pace_answered_ms (const StorePace *pace, int64_t now_us)
{
  if (pace->updated_us == 0 || now_us - pace->updated_us > STORE_PACE_KEEP_MS * CLK_US_PER_MS)
    return 0;
  return MAX ((int64_t) pace->answer_ms, 1);
}

gboolean
store_pace_is_slow_ms (int64_t append_ms)
{
  return append_ms >= SLOW_MS;
}

int64_t
store_pace_forwarded_wait_ms (int64_t append_ms)
{
  return (int64_t) ((double) append_ms * FORWARDED_FACTOR);
}

int64_t
store_pace_fallback_ms (gboolean is_slow)
{
  return is_slow ? FALLBACK_MAX_MS : FALLBACK_MIN_MS;
}

uint32_t
store_pace_retry_after_s (int64_t wait_ms, const char *job)
{
  int64_t latest_s = CLAMP (1 + wait_ms / CLK_MS_PER_S, 1, RETRY_AFTER_MAX_S);

  return 1 + (uint32_t) (ids_hash_text (job) % (uint64_t) latest_s);
}
