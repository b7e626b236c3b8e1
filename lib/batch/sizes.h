/**
 * @file sizes.h
 * Size classes of the jobs of one queue, and which of the larger jobs come before smaller ones so
 * that jobs of all sizes are served. Pure: no I/O, no clock.
 *
 * A job is classified by its work relative to the newest jobs of the queue, as queues differ and
 * their jobs change.
 *
 * Under overload, work goes to jobs that need least of it, and larger ones would hardly be served.
 * Each new job of a larger class gives its class a credit: the share of all jobs that is served
 * now, times #SIZES_FLOOR_PERCENT. A job that is served takes 1 from it. While a class has credit,
 * it may favour jobs. While nearly all jobs are served, it does not.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Number of newest jobs that a job is compared with. */
#define SIZES_WINDOW 128
/** Jobs of a larger class are to be served this often, in percent of how often all are. Above
 * the callers' floor of 50, as some jobs that are favoured are late or fail. */
#define SIZES_FLOOR_PERCENT 75
/** Largest part of the open jobs of a class that is favoured at one time, in percent. With more of
 * them, each would take longer. */
#define SIZES_FAVOURED_PERCENT 35
/** While this percentage of the jobs is served, none is favoured: no size is short. */
#define SIZES_ENOUGH_PERCENT 98
/** Limits of the credit of a class, in jobs: service that lies far back does not count. */
#define SIZES_CREDIT_MAX 20.0
#define SIZES_CREDIT_MIN (-4.0)

typedef enum
{
  SIZES_LARGEST, /**< the largest tenth */
  SIZES_LARGE,   /**< the next largest fifth */
  SIZES_OTHER,   /**< never favoured */
  SIZES_CLASSES,
} SizesClass;

typedef struct Sizes Sizes;

/** Creates a table without jobs; free with sizes_free(). */
Sizes *sizes_new (void);

/** Frees a table; NULL is allowed. */
void sizes_free (Sizes *sizes);

/** Adds a new job; @p work is in any unit, but the same for all jobs. */
void sizes_add (Sizes *sizes, double work);

/** Class of a job with that work; without jobs #SIZES_OTHER. Of equal jobs all have the class of
 * the smallest one. */
SizesClass sizes_class (const Sizes *sizes, double work);

/** Counts an open job, from sizes_recount() on. */
void sizes_count_open (Sizes *sizes, SizesClass size, gboolean is_favoured);
void sizes_recount (Sizes *sizes);

/** Whether an open job that was counted is favoured from now on; takes its credit if so. */
gboolean sizes_favour (Sizes *sizes, SizesClass size);

/** Counts the result of a job. A favoured one that was not served returns its credit. */
void sizes_add_result (Sizes *sizes, SizesClass size, gboolean is_served, gboolean is_favoured);

/** Returns the credit of a favoured job that nobody waits for any more. */
void sizes_release (Sizes *sizes, SizesClass size);

/** Name of a class in logs and metrics. */
const char *sizes_class_name (SizesClass size);

G_END_DECLS
