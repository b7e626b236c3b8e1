/**
 * @file handover.h
 * Decides when an owner hands its ownership to another entry because the store does not serve it.
 *
 * Answers the load of a store that turns some instances away, or can't be reached by them, while it
 * serves the others. An owner in that position does not see the jobs that other entries accept, and
 * keeps its authority for seconds. Pure: the caller passes the time.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** A read that fails may be one lost answer. The next one is sent 150 ms later, and fails or is
 * answered within this time while the store is fast. */
#define HANDOVER_FAILING_MS 300
/** While the store is slow, it takes this many answers longer. */
#define HANDOVER_ANSWERS 2
/** If no other entry is served for this long, the store is down for all. It then recovers for some
 * entries sooner than for others, and the owner gets as long to be served as well. */
#define HANDOVER_OUTAGE_MS 1500

/** Initialise with zeros. */
typedef struct
{
  int64_t peer_served_us; /**< when another entry was first known to be served; 0: none is */
} Handover;

typedef struct
{
  int64_t failing_since_us; /**< end of the first of the reads that failed in succession; 0: the
                               newest one was answered */
  int64_t overdue_us;       /**< when that read would have been answered */
  int64_t peer_view_us;     /**< newest time at which another entry had read all records; 0: none */
  int64_t own_written_us; /**< when the newest append was first sent that the store acknowledged */
  int64_t answer_ms;      /**< how long the store's answers take; 0 if that is not known */
} HandoverInput;

/**
 * Whether the owner is to hand over at @p now_us. It does only if another entry has read the store
 * since this one's answer was due. A store that is slow or down for all entries changes no owner.
 */
gboolean handover_is_due (Handover *handover, const HandoverInput *input, int64_t now_us);

/**
 * Time up to which an entry had read all records, at the least, given that it reported a view of
 * @p view_age_ms in answer to a message sent at @p asked_us. 0 if it did not report one.
 */
int64_t handover_peer_view_us (int64_t asked_us, uint32_t view_age_ms);

/** Age in ms that an entry reports of a view of @p fresh_us; 0 if it has none. At least 1. */
uint32_t handover_view_age_ms (int64_t fresh_us, int64_t now_us);

G_END_DECLS
