/**
 * @file gaps.h
 * Finds the worker on which a waiting task fits soonest, from the expected ends of the tasks that
 * run, and tells whether another task would delay it. Pure: arrays in, results out.
 */
#pragma once

#include "batch/job.h"

G_BEGIN_DECLS

/** What a running task gives back, and when. */
typedef struct
{
  JobSize size;
  int64_t end_us;
} GapsEnd;

typedef struct
{
  JobSize free;  /**< negative if more is in use than the capacity */
  GapsEnd *ends; /**< tasks that are expected to end; gaps_fit() sorts them by time */
  guint n_ends;
} GapsWorker;

/** When and how a task fits on a worker. */
typedef struct
{
  int64_t at_us;
  JobSize spare;             /**< what is free beside the task from that time on */
  gboolean is_freed_at_once; /**< the end at that time alone gives back what the task needs */
} GapsFit;

/** Fills @p fit with the earliest time at which @p wanted fits, if it does so by @p until_us; else
 * returns FALSE. */
gboolean gaps_fit (const GapsWorker *worker,
                   const JobSize *wanted,
                   int64_t now_us,
                   int64_t until_us,
                   GapsFit *fit);

/** Whether a task of @p size that starts now and ends at @p end_us would delay the task. */
gboolean gaps_delays (const GapsFit *fit, const JobSize *size, int64_t end_us);

/** Counts such a task that was started; one that does not delay the task. */
void gaps_take (GapsFit *fit, const JobSize *size, int64_t end_us);

G_END_DECLS
