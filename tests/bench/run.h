/**
 * @file run.h
 * One run of one case under one policy and seed.
 */
#pragma once

#include "bench/fake.h"

/** A policy to compare: a core's options, and whether services run beside the batch work. */
typedef struct
{
  const char *name;
  CoreOptions options;
  gboolean has_services;
} RunPolicy;

/** What is reported of a run. */
typedef struct
{
  double p99_ratio; /**< services' tail by that of services alone */
  double p999_ratio;
  double work_s;    /**< processor seconds of batch work done */
  double deadlines; /**< share of deadline jobs met; 1 without any */
  double evictions;
  double lost_s;    /**< processor seconds lost in evictions and deaths */
  double urgent_ms; /**< longest wait of urgent work */
  double decisions_per_s;
  double named_ms;   /**< longest time until an impossible job was named; -1: one never was */
  double bad_starts; /**< starts lost on the failing instance before it was out of use */
  double blamed;     /**< instances quarantined, other than the failing one */
  double given_up;   /**< bad jobs given up */
  double over;       /**< ticks in which a reservation passed an instance's capacity */
  double doubles;
  double early_evictions; /**< a task evicted again within the cooldown */
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
