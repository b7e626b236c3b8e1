/**
 * @file bench.h
 * The parts of the benchmark: comparison with baseline policies, effect of single mechanisms,
 * request routing, cost of a tick by size, and workloads of the users' platform.
 */
#pragma once

#include <stdio.h>

#include "bench/run.h"

/** Command line options. */
typedef struct
{
  const char *out;       /**< output folder for CSV files and plots; NULL: writes none */
  const char *only_case; /**< name of the only case to run; NULL: all */
  uint32_t seeds;
  uint32_t threads;
  uint32_t scale_max; /**< largest number of instances in scale_run() */
} BenchOptions;

/** Number of targets checked and met, and a description of those missed. */
typedef struct
{
  uint32_t met;
  uint32_t all;
  GString *missed; /**< one line for each missed target */
} BenchTargets;

/** Counts one target; @p format describes the expected and the measured value. */
void bench_target (BenchTargets *targets, gboolean is_met, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Opens @p name in the output folder for writing. Returns NULL without an output folder or when
 * the file can't be opened. */
FILE *bench_open (const BenchOptions *options, const char *name);

void compare_run (const BenchOptions *options, BenchTargets *targets);
void mechanisms_run (const BenchOptions *options);
void routing_run (const BenchOptions *options, BenchTargets *targets);
void scale_run (const BenchOptions *options, BenchTargets *targets);
void fleet_run (const BenchOptions *options, BenchTargets *targets);

/** One run of a case, executed by a thread pool. */
typedef struct
{
  BenchCase bench;
  const BenchDeployment *site;
  RunPolicy policy;
  uint32_t seed;
  RunResult result;
} BenchJob;

/** Executes all runs of @p jobs on @p threads threads. */
void bench_run_all (GArray *jobs, uint32_t threads);

/** Sorts @p values in place and returns their quantile @p q. */
double bench_quantile (double *values, guint n, double q);
