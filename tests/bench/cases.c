#include "bench/cases.h"

/* Defaults for fields that a case leaves at 0. */
#define BENCH_LOAD 0.5
#define BENCH_RENDERS 180
#define BENCH_NOISY 30
#define BENCH_SIZE_ERROR 1.0
#define BENCH_RUN_ERROR 1.0
#define BENCH_P99_LIMIT 1.15

static const BenchCase bench_cases[] = {
  { .name = "steady" },
  { .name = "waves", .renders = 60, .noisy = 1, .wave_s = 100, .wave_jobs = 20, .p99_limit = 1.3 },
  { .name = "noon", .load = 0.25, .load_after = 0.75, .load_change_s = 300 },
  { .name = "wrong-sizes", .size_error = 5.0, .run_error = 10.0 },
  { .name = "impossible", .impossible = 10 },
  { .name = "failing-worker", .failing_worker = 5 },
  { .name = "bad-job", .bad_jobs = 2 },
  { .name = "cancel-wave", .cancel_s = 120 },
  { .name = "worker-dies", .worker_dies_s = 200 },
  { .name = "rack-dies", .rack_dies_s = 200 },
  { .name = "silent", .silent_from_s = 200, .renders = 60, .wave_s = 210, .wave_jobs = 20 },
  { .name = "month-end", .accruals = 100, .deadline_s = 420 },
  { .name = "urgent-full", .urgent_every_s = 5 },
  { .name = "quotas", .has_quotas = TRUE },
  { .name = "takeover",
    .renders = 60,
    .noisy = 1,
    .wave_s = 150,
    .wave_jobs = 20,
    .takeover_s = 165 },
};
const guint n_bench_cases = G_N_ELEMENTS (bench_cases);

const BenchDeployment bench_deployments[] = {
  { "mezcla", 16000, 60000, 3, 1, 1 },
  { "zinsverbund", 32000, 125000, 1, 3, 1 },
};
const guint n_bench_deployments = G_N_ELEMENTS (bench_deployments);

static double
value_or (double value, double fallback)
{
  return value > 0 ? value : fallback;
}

BenchCase
bench_case (guint index)
{
  BenchCase row = bench_cases[index];

  row.load = value_or (row.load, BENCH_LOAD);
  row.load_after = value_or (row.load_after, row.load);
  row.renders = row.renders > 0 ? row.renders : BENCH_RENDERS;
  row.noisy = row.noisy > 0 ? row.noisy : BENCH_NOISY;
  row.size_error = value_or (row.size_error, BENCH_SIZE_ERROR);
  row.run_error = value_or (row.run_error, BENCH_RUN_ERROR);
  row.p99_limit = value_or (row.p99_limit, BENCH_P99_LIMIT);
  return row;
}
