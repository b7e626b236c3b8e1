/**
 * @file jobs.h
 * Submits runs of a job at a fixed rate on a separate thread, and reads eviction counters.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

typedef struct Jobs Jobs;

/** Starts submitting runs; stops after LoadOptions.seconds. */
Jobs *jobs_start (const LoadOptions *options);

/** Waits for the submissions, then up to job_wait_s for runs to finish, and frees @p jobs. */
void jobs_finish (Jobs *jobs, LoadJobs *result);

/** Returns the sum of all entries' eviction counters, or -1 if no entry answers. */
int64_t jobs_evictions (const LoadOptions *options);

G_END_DECLS
