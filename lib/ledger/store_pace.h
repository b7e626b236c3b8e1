/**
 * @file store_pace.h
 * Estimates how long an append to the store takes now, and derives time-outs and waits from it.
 *
 * Answers the load of a store that becomes slow for seconds. It takes one append at a time, so
 * every append that is given up and sent again while its first copy is still queued delays all
 * others. Pure: the caller passes the time.
 */
#pragma once

#include "platform/store.h"

G_BEGIN_DECLS

/** Appends of one process that can be under way at the same time: the owner's and its outbox's. */
#define STORE_PACE_OPEN_MAX 4

/** Longest time-out of an append. The store refuses appends rather than queue them for longer than
 * 2 s; an append that is older than that, and some more for itself, is not in its queue any more.
 */
#define STORE_PACE_TIMEOUT_MAX_MS 3000

/** Fields are internal. Initialise with store_pace_init(). */
typedef struct
{
  double answer_ms;   /**< smoothed time from an append to its answer */
  int64_t floor_ms;   /**< age at which an append was given up; 0 once a later one was answered */
  int64_t floor_us;   /**< when that was */
  int64_t updated_us; /**< when the newest append ended; 0: none did */
  int64_t open_us[STORE_PACE_OPEN_MAX]; /**< when appends under way began; 0: unused */
  gboolean is_slow;
} StorePace;

void store_pace_init (StorePace *pace);

/** Notes that an append was sent at @p now_us. Returns a slot for store_pace_end(). */
uint32_t store_pace_begin (StorePace *pace, int64_t now_us);

/** Notes the outcome of the append of @p slot. */
void store_pace_end (StorePace *pace, uint32_t slot, StoreOutcome outcome, int64_t now_us);

/**
 * Time in ms that an append takes now. Decays while nothing is sent. At least the age of an append
 * under way.
 */
int64_t store_pace_expected_ms (const StorePace *pace, int64_t now_us);

/** Whether appends take so long that entries should share them. */
gboolean store_pace_is_slow (StorePace *pace, int64_t now_us);

/**
 * Time-out in ms of an append sent now. After an append was given up, the store may be slow, and
 * the next one gets the time that it can spend in the store's queue; if @p is_urgent, twice the
 * time of the one given up, if that is less.
 */
int64_t store_pace_timeout_ms (const StorePace *pace, gboolean is_urgent, int64_t now_us);

/**
 * Time-out in ms of the first transmission of an owner's append, whose authority ends in @p left_ms
 * unless the append is acknowledged: if its answer is lost, there is time for one retry. As
 * store_pace_timeout_ms() if no authority is left. A retry has no such limit: it is given up only
 * to queue another one.
 */
int64_t store_pace_owner_timeout_ms (const StorePace *pace, int64_t left_ms, int64_t now_us);

/** Time-out in ms of a read sent now, besides the time for which the store may hold its answer.
 * NULL is allowed: nothing is known. */
int64_t store_pace_read_timeout_ms (const StorePace *pace, int64_t now_us);

/**
 * Expected time in ms until a record is written that is added now.
 *
 * @param open_us when the append under way began, in which it can't be any more; 0 for none
 * @param n_appends number of appends until it is contained in one, at least 1
 */
int64_t
store_pace_wait_ms (const StorePace *pace, int64_t open_us, uint32_t n_appends, int64_t now_us);

/** Time in ms that appends took which were answered lately, at least 1; 0 if none was for
 * #STORE_PACE_KEEP_MS, since this process may not reach the store then. */
int64_t store_pace_answered_ms (const StorePace *pace, int64_t now_us);

/** As long as an owner acts after its newest acknowledged append. */
#define STORE_PACE_KEEP_MS 3000

/** Whether another process whose appends take @p append_ms, as it says, should share them. */
gboolean store_pace_is_slow_ms (int64_t append_ms);

/** Expected time in ms until a record is written that another process is asked to write now. */
int64_t store_pace_forwarded_wait_ms (int64_t append_ms);

/** Time in ms after which a record that another process was asked to write is appended here.
 * @p is_slow: the store still is, and that process still reaches it. */
int64_t store_pace_fallback_ms (gboolean is_slow);

/**
 * Retry-After in s of a submission that was refused since it would take @p wait_ms to be written.
 * Depends on the job only, so that callers who come back sooner get no shorter one.
 */
uint32_t store_pace_retry_after_s (int64_t wait_ms, const char *job);

G_END_DECLS
