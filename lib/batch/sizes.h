/**
 * @file sizes.h
 * Size classes of the jobs of one queue, and how many jobs of each class were served. Pure: no I/O,
 * no clock.
 *
 * A job is classified by its work relative to the newest jobs of the queue, as queues differ and
 * their jobs change.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Number of newest jobs that a job is compared with. */
#define SIZES_WINDOW 128

typedef enum
{
  SIZES_LARGEST, /**< the largest tenth */
  SIZES_LARGE,   /**< the next largest fifth */
  SIZES_OTHER,
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

/** Name of a class in logs and metrics. */
const char *sizes_class_name (SizesClass size);

G_END_DECLS
