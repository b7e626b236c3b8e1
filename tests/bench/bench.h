/**
 * @file bench.h
 * The parts of the bench: cases against baselines, single mechanisms, routing, size of a tick.
 */
#pragma once

#include <stdio.h>

#include "bench/run.h"

/** What was asked for on the command line. */
typedef struct
{
  const char *out;       /**< folder of the CSV files and plots; NULL: none are written */
  const char *only_case; /**< NULL: all */
  uint32_t seeds;
  uint32_t threads;
  uint32_t scale_max; /**< most instances in the size measurement */
} BenchOptions;

/** Counts targets and prints the missed ones. */
typedef struct
{
  uint32_t met;
  uint32_t all;
  GString *missed; /**< one line each */
} BenchTargets;

/** Counts one target; @p format says what was wanted and what was measured. */
void bench_target (BenchTargets *targets, gboolean is_met, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Opens @p name in the output folder for writing, or returns NULL without one. */
FILE *bench_open (const BenchOptions *options, const char *name);

void compare_run (const BenchOptions *options, BenchTargets *targets);
void mechanisms_run (const BenchOptions *options);
void routing_run (const BenchOptions *options, BenchTargets *targets);
void scale_run (const BenchOptions *options, BenchTargets *targets);
void fleet_run (const BenchOptions *options, BenchTargets *targets);

/** One run to be made by a pool of threads. */
typedef struct
{
  BenchCase bench;
  const BenchDeployment *site;
  RunPolicy policy;
  uint32_t seed;
  RunResult result;
} BenchJob;

/** Makes all runs of @p jobs, several at a time. */
void bench_run_all (GArray *jobs, uint32_t threads);

/** Sorts @p values and returns their quantile @p q. */
double bench_quantile (double *values, guint n, double q);
