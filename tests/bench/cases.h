/**
 * @file cases.h
 * The cases that the policy is measured in, and the two deployments.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

/** One example deployment; the weights are what its operator publishes. */
typedef struct
{
  const char *name;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t tail_weight;
  int64_t batch_weight;
  int64_t eviction_weight;
} BenchDeployment;

/** One case. Times are seconds from the start; 0: does not happen. */
typedef struct
{
  const char *name;
  double load;       /**< share of the services' slots in use */
  double load_after; /**< from noon_s on */
  int noon_s;
  int renders; /**< jobs in the queue from the start */
  int noisy;   /**< noisy jobs at the start */
  int wave_s;  /**< a wave of noisy jobs every so often */
  int wave_jobs;
  double size_error;  /**< actual sizes are declared ones times up to this, or by this */
  double run_error;   /**< like it, for run times */
  int impossible;     /**< jobs that can never run */
  int failing_worker; /**< number, from 1, of an instance that fails all it starts */
  int bad_jobs;       /**< jobs that fail everywhere */
  int cancel_s;       /**< half the queue is cancelled then */
  int worker_dies_s;
  int rack_dies_s;
  int silent_from_s; /**< no report for a minute */
  int accruals;      /**< jobs with a deadline */
  int deadline_s;
  int urgent_every_s;
  gboolean has_quotas;
  int takeover_s;
  double p99_limit; /**< target: tail as a ratio to running alone */
} BenchCase;

extern const guint n_bench_cases;
extern const BenchDeployment bench_deployments[];
extern const guint n_bench_deployments;

/** The case @p index with what its row leaves out filled in. */
BenchCase bench_case (guint index);
