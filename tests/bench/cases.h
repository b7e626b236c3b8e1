/**
 * @file cases.h
 * The benchmark cases and the two example deployments.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

/** One example deployment, with the weights that its operator publishes. */
typedef struct
{
  const char *name;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t tail_weight;
  int64_t batch_weight;
  int64_t eviction_weight;
} BenchDeployment;

/** One case. Times are in seconds from the start; 0: the event does not happen. */
typedef struct
{
  const char *name;
  double load;       /**< share of the services' slots in use at the start */
  double load_after; /**< share of the slots in use from load_change_s on */
  int load_change_s;
  int renders; /**< render jobs submitted at the start */
  int noisy;   /**< noisy jobs submitted at the start */
  int wave_s;  /**< period of the waves of noisy jobs */
  int wave_jobs;
  double size_error;  /**< actual sizes are up to this factor above or below the declared */
  double run_error;   /**< actual run times are up to this factor off */
  int impossible;     /**< jobs that fit no instance */
  int failing_worker; /**< number, from 1, of an instance on which every task fails */
  int bad_jobs;       /**< jobs whose tasks fail on every instance */
  int cancel_s;       /**< half of the jobs are cancelled at this time */
  int worker_dies_s;
  int rack_dies_s;
  int silent_from_s; /**< service and usage reports are missing for a minute */
  int accruals;      /**< jobs with a deadline */
  int deadline_s;
  int urgent_every_s;
  gboolean has_quotas;
  int takeover_s;
  double p99_limit; /**< target: services' p99 as a ratio to that without batch work */
} BenchCase;

extern const guint n_bench_cases;
extern const BenchDeployment bench_deployments[];
extern const guint n_bench_deployments;

/** Returns case @p index with defaults for the fields that its row leaves out. */
BenchCase bench_case (guint index);
