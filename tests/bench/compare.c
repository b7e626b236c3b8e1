#include "bench/bench.h"

#include <stddef.h>
#include <string.h>

#define COMPARE_POLICIES 6
#define COMPARE_BATCH_ALONE 5
#define COMPARE_REACTIVE 4

/** Median, quartiles and maximum of one policy in one case of one deployment. */
typedef struct
{
  double median[RUN_FIELDS];
  double low[RUN_FIELDS];
  double high[RUN_FIELDS];
  double max[RUN_FIELDS];
  double weighted;
} Row;

/** All policies in one case of one deployment. */
typedef struct
{
  BenchCase bench;
  const BenchDeployment *site;
  Row rows[COMPARE_POLICIES];
} Group;

static const char *const field_names[RUN_FIELDS]
    = { "p99_ratio", "p999_ratio",      "work_s",          "deadlines",  "evictions", "lost_s",
        "urgent_ms", "decisions_per_s", "named_ms",        "bad_starts", "blamed",    "given_up",
        "over",      "doubles",         "early_evictions", "starts" };

#define FIELD(name) (offsetof (RunResult, name) / sizeof (double))

static double
field (const RunResult *result, guint index)
{
  double values[RUN_FIELDS];

  memcpy (values, result, sizeof values);
  return values[index];
}

static void
make_jobs (const BenchOptions *options, GArray *jobs)
{
  for (guint c = 0; c < n_bench_cases; c++)
    {
      BenchJob job = { .bench = bench_case (c) };
      if (options->only_case != NULL && strcmp (options->only_case, job.bench.name) != 0)
        continue;
      for (guint d = 0; d < n_bench_deployments; d++)
        for (guint p = 0; p < COMPARE_POLICIES; p++)
          for (uint32_t seed = 1; seed <= options->seeds; seed++)
            {
              job.site = &bench_deployments[d];
              job.policy = run_policies[p];
              job.seed = seed;
              g_array_append_val (jobs, job);
            }
    }
}

static void
summarise_row (const BenchJob *jobs, uint32_t seeds, Row *row)
{
  g_autofree double *values = g_new0 (double, seeds);

  for (guint f = 0; f < RUN_FIELDS; f++)
    {
      for (uint32_t s = 0; s < seeds; s++)
        values[s] = field (&jobs[s].result, f);
      row->median[f] = bench_quantile (values, seeds, 0.5);
      row->low[f] = bench_quantile (values, seeds, 0.25);
      row->high[f] = bench_quantile (values, seeds, 0.75);
      row->max[f] = values[seeds - 1];
    }
}

/* The operator's score: allowed growth of the tail by its actual growth (at most 1), batch work by
 * that of batch work without services, and the share of starts that were not evicted, averaged
 * with the published weights. */
static void
compute_weighted (Group *group)
{
  const BenchDeployment *site = group->site;
  double alone = MAX (group->rows[COMPARE_BATCH_ALONE].median[FIELD (work_s)], 1);
  double sum = (double) (site->tail_weight + site->batch_weight + site->eviction_weight);

  for (guint p = 0; p < COMPARE_POLICIES; p++)
    {
      Row *row = &group->rows[p];
      double growth = MAX (row->median[FIELD (p99_ratio)] - 1, 1e-6);
      double tail = MIN ((group->bench.p99_limit - 1) / growth, 1);
      double batch = row->median[FIELD (work_s)] / alone;
      double kept = 1 - row->median[FIELD (evictions)] / MAX (row->median[FIELD (starts)], 1);
      row->weighted = ((double) site->tail_weight * tail + (double) site->batch_weight * batch
                       + (double) site->eviction_weight * kept)
                      / sum;
    }
}

static void
print_group (const Group *group, FILE *csv)
{
  for (guint p = 0; p < COMPARE_POLICIES; p++)
    {
      const Row *row = &group->rows[p];
      double alone = MAX (group->rows[COMPARE_BATCH_ALONE].median[FIELD (work_s)], 1);
      (void) printf ("%-14s %-11s %-12s %6.3f [%.3f %.3f] %6.3f %6.2f %5.2f %6.0f %7.0f %6.0f "
                     "%8.0f %6.3f\n",
                     group->bench.name, group->site->name, run_policies[p].name,
                     row->median[FIELD (p99_ratio)], row->low[FIELD (p99_ratio)],
                     row->high[FIELD (p99_ratio)], row->median[FIELD (p999_ratio)],
                     row->median[FIELD (work_s)] / alone, row->median[FIELD (deadlines)],
                     row->median[FIELD (evictions)], row->median[FIELD (lost_s)],
                     row->median[FIELD (urgent_ms)], row->median[FIELD (decisions_per_s)],
                     row->weighted);
      for (guint f = 0; csv != NULL && f < RUN_FIELDS; f++)
        (void) fprintf (csv, "%s,%s,%s,%s,%g,%g,%g\n", group->bench.name, group->site->name,
                        run_policies[p].name, field_names[f], row->median[f], row->low[f],
                        row->high[f]);
    }
}

/* Batch work of the best baseline whose tail is within its limit; 0 when there is none. */
static double
best_work_in_limit (const Group *group)
{
  double best = 0;

  for (guint p = 1; p < COMPARE_BATCH_ALONE; p++)
    {
      const Row *row = &group->rows[p];
      if (row->median[FIELD (p99_ratio)] <= group->bench.p99_limit)
        best = MAX (best, row->median[FIELD (work_s)]);
    }
  return best;
}

static void
check_weighted (const Group *group, BenchTargets *targets)
{
  guint best = 1;

  for (guint p = 2; p < COMPARE_BATCH_ALONE; p++)
    {
      if (group->rows[p].weighted > group->rows[best].weighted)
        best = p;
    }
  bench_target (targets, group->rows[0].weighted >= group->rows[best].weighted,
                "%s %s: weighted measure %.3f, %s has %.3f", group->bench.name, group->site->name,
                group->rows[0].weighted, run_policies[best].name, group->rows[best].weighted);
}

static void
check_tail (const Group *group, BenchTargets *targets)
{
  const Row *own = &group->rows[0];
  const char *name = group->bench.name;
  const char *site = group->site->name;
  double best_work = best_work_in_limit (group);

  bench_target (targets, own->median[FIELD (p99_ratio)] <= group->bench.p99_limit,
                "%s %s: p99 %.3f of alone, at most %.2f wanted", name, site,
                own->median[FIELD (p99_ratio)], group->bench.p99_limit);
  bench_target (targets, own->median[FIELD (work_s)] >= 0.85 * best_work,
                "%s %s: batch work %.2f of the best baseline that keeps the tail, 0.85 wanted",
                name, site, own->median[FIELD (work_s)] / MAX (best_work, 1));
}

static void
check_case (const Group *group, BenchTargets *targets)
{
  const Row *own = &group->rows[0];
  const char *name = group->bench.name;
  const char *site = group->site->name;

  if (strcmp (name, "steady") == 0 || strcmp (name, "waves") == 0)
    check_tail (group, targets);
  if (strcmp (name, "waves") == 0)
    bench_target (targets,
                  own->median[FIELD (evictions)]
                      <= 0.1 * group->rows[COMPARE_REACTIVE].median[FIELD (evictions)],
                  "%s %s: %.0f evictions, the reactive baseline has %.0f", name, site,
                  own->median[FIELD (evictions)],
                  group->rows[COMPARE_REACTIVE].median[FIELD (evictions)]);
  if (group->bench.accruals > 0)
    bench_target (targets, own->low[FIELD (deadlines)] >= 1,
                  "%s %s: %.3f of the deadlines met (lower quartile), all can be", name, site,
                  own->low[FIELD (deadlines)]);
  if (group->bench.impossible > 0)
    bench_target (targets,
                  own->max[FIELD (reported_ms)] <= 2000 && own->median[FIELD (reported_ms)] >= 0,
                  "%s %s: impossible jobs reported after %.0f ms, 2000 wanted", name, site,
                  own->max[FIELD (reported_ms)]);
  if (group->bench.failing_worker > 0)
    bench_target (targets, own->max[FIELD (bad_starts)] <= 5,
                  "%s %s: %.0f starts lost before quarantine, 5 wanted", name, site,
                  own->max[FIELD (bad_starts)]);
  if (group->bench.bad_jobs > 0)
    bench_target (targets,
                  own->max[FIELD (wrongly_quarantined)] <= 0
                      && own->low[FIELD (given_up)] >= group->bench.bad_jobs,
                  "%s %s: %.0f bad jobs given up, %.0f other instances quarantined", name, site,
                  own->low[FIELD (given_up)], own->max[FIELD (wrongly_quarantined)]);
  if (group->bench.urgent_every_s > 0)
    bench_target (targets, own->max[FIELD (urgent_ms)] <= 1100,
                  "%s %s: urgent work waited %.0f ms, 1100 wanted", name, site,
                  own->max[FIELD (urgent_ms)]);
}

static void
check_always (const Group *group, BenchTargets *targets)
{
  const Row *own = &group->rows[0];

  check_weighted (group, targets);
  bench_target (targets,
                own->max[FIELD (overcommits)] <= 0 && own->max[FIELD (double_starts)] <= 0
                    && own->max[FIELD (early_evictions)] <= 0,
                "%s %s: %.0f reservations over capacity, %.0f double starts, %.0f early evictions",
                group->bench.name, group->site->name, own->max[FIELD (overcommits)],
                own->max[FIELD (double_starts)], own->max[FIELD (early_evictions)]);
}

static void
write_plot (const BenchOptions *options)
{
  FILE *plot = bench_open (options, "compare.gnuplot");

  if (plot == NULL)
    return;
  (void) fputs ("# gnuplot compare.gnuplot: tail against batch work, one point a case and policy\n"
                "set terminal svg size 900,600\nset output 'compare.svg'\n"
                "set datafile separator ','\nset xlabel 'batch work, share of alone'\n"
                "set ylabel 'p99, ratio to alone'\nset key outside\nset logscale y\n"
                "plot for [p in 'acacia first-fit least-loaded static-split reactive'] "
                "'points.csv' using (strcol(3) eq p ? $4 : 1/0):5 with points pt 7 title p\n",
                plot);
  (void) fclose (plot);
}

static void
write_points (const Group *group, FILE *points)
{
  double alone = MAX (group->rows[COMPARE_BATCH_ALONE].median[FIELD (work_s)], 1);

  for (guint p = 0; points != NULL && p < COMPARE_BATCH_ALONE; p++)
    (void) fprintf (points, "%s,%s,%s,%g,%g,%g\n", group->bench.name, group->site->name,
                    run_policies[p].name, group->rows[p].median[FIELD (work_s)] / alone,
                    group->rows[p].median[FIELD (p99_ratio)], group->rows[p].weighted);
}

void
compare_run (const BenchOptions *options, BenchTargets *targets)
{
  GArray *jobs = g_array_new (FALSE, TRUE, sizeof (BenchJob));
  FILE *csv = bench_open (options, "compare.csv");
  FILE *points = bench_open (options, "points.csv");
  guint per_group = COMPARE_POLICIES * options->seeds;

  make_jobs (options, jobs);
  bench_run_all (jobs, options->threads);
  (void) printf ("%-14s %-11s %-12s %6s %-13s %6s %6s %5s %6s %7s %6s %8s %6s\n", "case",
                 "deployment", "policy", "p99", "[quartiles]", "p99.9", "batch", "dead", "evict",
                 "lost s", "urgent", "dec/s", "weigh");
  for (guint g = 0; g * per_group < jobs->len; g++)
    {
      const BenchJob *first = &g_array_index (jobs, BenchJob, g * per_group);
      Group group = { .bench = first->bench, .site = first->site };
      for (guint p = 0; p < COMPARE_POLICIES; p++)
        summarise_row (first + p * options->seeds, options->seeds, &group.rows[p]);
      compute_weighted (&group);
      print_group (&group, csv);
      write_points (&group, points);
      check_case (&group, targets);
      check_always (&group, targets);
    }
  if (csv != NULL)
    (void) fclose (csv);
  if (points != NULL)
    (void) fclose (points);
  write_plot (options);
  g_array_free (jobs, TRUE);
}
