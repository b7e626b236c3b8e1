#include "bench/bench.h"

#include <string.h>

#define MECHANISMS_SEEDS_MAX 5U

typedef struct
{
  const char *name;
  uint32_t off;
} Mechanism;

static const Mechanism mechanisms[] = {
  { "none", 0 },
  { "learning", CORE_MECHANISM_LEARNING },
  { "interference", CORE_MECHANISM_INTERFERENCE },
  { "throttle", CORE_MECHANISM_THROTTLE },
  { "eviction-budget", CORE_MECHANISM_EVICTION_BUDGET },
  { "laxity", CORE_MECHANISM_LAXITY },
  { "backfill", CORE_MECHANISM_BACKFILL },
  { "blame", CORE_MECHANISM_FAULT_ATTRIBUTION },
  { "pacing", CORE_MECHANISM_START_LIMIT },
};

static const char *const mechanism_cases[]
    = { "steady", "waves", "wrong-sizes", "failing-worker", "month-end", "urgent-full" };

static guint
case_index (const char *name)
{
  for (guint c = 0; c < n_bench_cases; c++)
    {
      if (strcmp (bench_case (c).name, name) == 0)
        return c;
    }
  g_assert_not_reached ();
}

static double
median (const GArray *jobs, guint first, guint n, size_t offset)
{
  g_autofree double *values = g_new0 (double, n);

  for (guint i = 0; i < n; i++)
    {
      const BenchJob *job = &g_array_index (jobs, BenchJob, first + i);
      memcpy (&values[i], (const char *) &job->result + offset, sizeof (double));
    }
  return bench_quantile (values, n, 0.5);
}

static void
make_jobs (GArray *jobs, uint32_t seeds)
{
  for (guint c = 0; c < G_N_ELEMENTS (mechanism_cases); c++)
    for (guint m = 0; m < G_N_ELEMENTS (mechanisms); m++)
      for (uint32_t seed = 1; seed <= seeds; seed++)
        {
          BenchJob job = { .bench = bench_case (case_index (mechanism_cases[c])),
                           .site = &bench_deployments[0],
                           .policy = run_policies[0],
                           .seed = seed };
          job.policy.options.mechanisms &= ~mechanisms[m].off;
          g_array_append_val (jobs, job);
        }
}

void
mechanisms_run (const BenchOptions *options)
{
  GArray *jobs = g_array_new (FALSE, TRUE, sizeof (BenchJob));
  FILE *csv = bench_open (options, "mechanisms.csv");
  uint32_t seeds = MIN (options->seeds, MECHANISMS_SEEDS_MAX);

  make_jobs (jobs, seeds);
  bench_run_all (jobs, options->threads);
  (void) printf ("\n%-14s %-16s %6s %8s %5s %6s %6s %6s\n", "case (mezcla)", "switched off", "p99",
                 "work s", "dead", "evict", "bad", "urgent");
  for (guint at = 0; at < jobs->len; at += seeds)
    {
      guint m = at / seeds % G_N_ELEMENTS (mechanisms);
      const char *name = g_array_index (jobs, BenchJob, at).bench.name;
      double p99 = median (jobs, at, seeds, offsetof (RunResult, p99_ratio));
      double work_s = median (jobs, at, seeds, offsetof (RunResult, work_s));
      double deadlines = median (jobs, at, seeds, offsetof (RunResult, deadlines));
      double evictions = median (jobs, at, seeds, offsetof (RunResult, evictions));
      double bad = median (jobs, at, seeds, offsetof (RunResult, bad_starts));
      double urgent = median (jobs, at, seeds, offsetof (RunResult, urgent_ms));
      (void) printf ("%-14s %-16s %6.3f %8.0f %5.2f %6.0f %6.0f %6.0f\n", name, mechanisms[m].name,
                     p99, work_s, deadlines, evictions, bad, urgent);
      if (csv != NULL)
        (void) fprintf (csv, "%s,%s,%g,%g,%g,%g,%g,%g\n", name, mechanisms[m].name, p99, work_s,
                        deadlines, evictions, bad, urgent);
    }
  if (csv != NULL)
    (void) fclose (csv);
  g_array_free (jobs, TRUE);
}
