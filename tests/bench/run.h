/**
 * @file run.h
 * One run of one case under one policy and seed.
 */
#pragma once

#include "bench/fake.h"

/** A policy under test: options of the core, and whether services run beside the batch work. */
typedef struct
{
  const char *name;
  CoreOptions options;
  gboolean has_services;
} RunPolicy;

/** Results of a run. */
typedef struct
{
  double p99_ratio; /**< services' p99 as a ratio to that without batch work */
  double p999_ratio;
  double work_s;    /**< CPU seconds of completed batch work */
  double deadlines; /**< share of deadlines met; 1 when no job has one */
  double evictions;
  double lost_s;    /**< CPU seconds lost to evictions and instance failures */
  double urgent_ms; /**< longest wait of an urgent job for its first start */
  double decisions_per_s;
  double reported_ms; /**< longest time until an impossible job was reported; -1: one was not */
  double bad_starts;  /**< failed starts on the failing instance until its quarantine */
  double wrongly_quarantined; /**< quarantined instances other than the failing one */
  double given_up;            /**< bad jobs that the core gave up */
  double overcommits;         /**< ticks, summed over instances, with reservations above capacity */
  double double_starts;
  double early_evictions; /**< tasks evicted again within the cooldown of 60 s */
  double starts;
} RunResult;

#define RUN_FIELDS (sizeof (RunResult) / sizeof (double))
#define RUN_SECONDS 600

extern const RunPolicy run_policies[];
extern const guint n_run_policies;

void run_case (const BenchCase *bench,
               const BenchDeployment *site,
               const RunPolicy *policy,
               uint32_t seed,
               RunResult *result);
