/**
 * @file shares.h
 * Fair shares of processors between origins of work. Tells which origins use more than their share
 * while others wait. Pure: no I/O, no clock.
 *
 * Origins of one group share the processors that the group uses: each that waits may use as much as
 * each other one, and those that need less leave the rest to them. The use of an origin is the mean
 * over the last seconds of the processors that its tasks ran on. No estimates enter.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** What makes up the origin of a job. */
typedef enum
{
  SHARES_NONE, /**< there are no shares */
  SHARES_DATA_CENTRE,
  SHARES_QUEUE,
  SHARES_BOTH,
} SharesBy;

/** Parses "none", "data_centre", "queue" or "both"; FALSE if @p text is none of them. */
gboolean shares_by_parse (const char *text, SharesBy *by);

/** Time constant of the mean use. The mean over the time of one task would call an origin that
 * starts many at once above its share; with 5 s, the others wait longer for a burst. */
#define SHARES_WINDOW_MS 2000
/** An origin that used less counts as if it had used this percentage of an equal split. Without it,
 * the others wait a fifth longer for a burst of an origin that was idle. */
#define SHARES_FLOOR_PERCENT 50
/** An origin exceeds its share from this percentage of it, until it is back at it. Two origins that
 * both want more than they get would otherwise change places in each pass. */
#define SHARES_EXCEED_PERCENT 110
/** An origin that had work waiting counts as waiting for this long, so that one whose tasks are
 * started at once in each pass still limits the others. */
#define SHARES_RECENT_MS 500
/** Least time between two reports that one origin exceeds its share, or is back within it. */
#define SHARES_REPORT_MS 1000

typedef struct Shares Shares;
typedef struct SharesOrigin SharesOrigin;

/** Creates a table without origins; free with shares_free(). In the first #SHARES_WINDOW_MS,
 * origins have no credit: what they used before is not known. */
Shares *shares_new (void);

/** Frees the table with all origins; NULL is allowed. */
void shares_free (Shares *shares);

/** Returns the origin @p name of @p group with a reference, and creates it on first use. Release it
 * with shares_unref(). */
SharesOrigin *shares_ref (Shares *shares, const char *group, const char *name);

/** Releases a reference; NULL is allowed. An origin without references is removed by a later
 * shares_update(). */
void shares_unref (SharesOrigin *origin);

/** Counts, until the next shares_update(), @p cpu_m thousandths of a core that run for the origin
 * in the time until then, and whether it has work waiting. */
void shares_count (SharesOrigin *origin, int64_t cpu_m, gboolean is_waiting);

/** Decides for each origin whether it exceeds its share, from what was counted since the last
 * update. */
void shares_update (Shares *shares, int64_t now_us);

/** Notes that work of the origin still waits after dispatch: processors are short in its group. No
 * origin of a group exceeds its share unless this was noted within #SHARES_RECENT_MS. */
void shares_note_left (SharesOrigin *origin, int64_t now_us);

/** Whether the origin exceeded its share at the last update. At least one origin of a group with
 * waiting work does not. */
gboolean shares_exceeds (const SharesOrigin *origin);

/** Core milliseconds that its share of the processors gives the origin within the window. */
double shares_window_work (const SharesOrigin *origin);

/** State of an origin at the last update; texts are owned by the table. */
typedef struct
{
  const char *group;
  const char *name;
  double running_m; /**< thousandths of a core that run for it */
  double use_m;     /**< the mean over the window */
  double share_m;   /**< what it may use */
  gboolean exceeds;
  gboolean is_news; /**< that is to be reported: it differs from the last report */
} SharesState;

typedef void (*SharesFn) (void *ctx, const SharesState *state);

/** Calls @p fn for each origin. */
void shares_each (const Shares *shares, SharesFn fn, void *ctx);

G_END_DECLS
