/**
 * @file jobs.h
 * Submits runs of a job at a rate on a thread of its own, and reads what the fleet counted.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

typedef struct Jobs Jobs;

/** Starts submitting; ends by itself after the options' time. */
Jobs *jobs_start (const LoadOptions *options);

/** Waits for the submissions, then up to job_wait_s for the runs to end; frees @p jobs. */
void jobs_finish (Jobs *jobs, LoadJobs *result);

/** Evictions that all entries counted so far; -1 when none can be asked. */
int64_t jobs_evictions (const LoadOptions *options);

G_END_DECLS
