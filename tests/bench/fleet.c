#include "support/fleet.h"

#include "bench/bench.h"

/** Value per second of each kind of work in the users' large deployment. */
static const double large_weights[FLEET_KINDS] = { 8, 40, 10 };
/** Weights with which serving and best-effort tasks are worth about the same. */
static const double even_weights[FLEET_KINDS] = { 8, 40, 40 };
/** The users' target for the large deployment. */
#define TARGET_WORTH 0.67
#define LARGE_WORKERS 80
#define CROWDED_WORKERS 57

static double
share_in_time (const FleetKindResult *kind)
{
  return kind->n_jobs > 0 ? (double) kind->n_in_time / kind->n_jobs : 0;
}

/* Runs a fleet with all seeds, prints the means over the seeds and returns the mean worth. */
static double
run_fleet (const BenchOptions *options,
           const FleetOptions *wanted,
           const double weights[FLEET_KINDS],
           const char *name,
           FILE *file)
{
  double worth = 0;
  double interference_s = 0;
  double kinds[FLEET_KINDS] = { 0 };

  for (uint32_t seed = 1; seed <= options->seeds; seed++)
    {
      FleetOptions fleet = *wanted;
      FleetResult result;
      fleet.seed = seed;
      fleet_simulate (&fleet, &result);
      worth += fleet_value (&result, weights);
      interference_s += result.interference_s;
      kinds[FLEET_SHORT] += share_in_time (&result.kinds[FLEET_SHORT]);
      kinds[FLEET_HEAVY] += share_in_time (&result.kinds[FLEET_HEAVY]);
      kinds[FLEET_SERVING] += result.serving_value;
      if (file != NULL)
        (void) fprintf (file, "%s,%u,%.4f,%.4f,%.4f,%.4f,%.1f,%u,%u,%.3f\n", name, seed,
                        fleet_value (&result, weights), share_in_time (&result.kinds[FLEET_SHORT]),
                        share_in_time (&result.kinds[FLEET_HEAVY]), result.serving_value,
                        result.interference_s, result.n_starts, result.n_stops,
                        (double) result.decide_us / 1e6);
    }
  (void) printf ("fleet %-12s worth %.3f; in time: short %.3f, heavy %.3f; serving %.3f; "
                 "harmed %.0f s\n",
                 name, worth / options->seeds, kinds[FLEET_SHORT] / options->seeds,
                 kinds[FLEET_HEAVY] / options->seeds, kinds[FLEET_SERVING] / options->seeds,
                 interference_s / options->seeds);
  return worth / options->seeds;
}

/* Shares of the value that callers of the short and the heavy jobs get from a crowded fleet. Prints
 * means over the seeds. */
static void
run_crowded (const BenchOptions *options, FILE *file)
{
  double short_value = 0;
  double heavy_value = 0;
  double serving_value = 0;

  for (uint32_t seed = 1; seed <= options->seeds; seed++)
    {
      FleetOptions fleet;
      FleetResult result;
      fleet_options_crowded (&fleet, CROWDED_WORKERS);
      fleet.seed = seed;
      fleet_simulate (&fleet, &result);
      short_value += result.kinds[FLEET_SHORT].value_earned / result.kinds[FLEET_SHORT].value_owed;
      heavy_value += result.kinds[FLEET_HEAVY].value_earned / result.kinds[FLEET_HEAVY].value_owed;
      serving_value += result.serving_value;
      if (file != NULL)
        (void) fprintf (
            file, "crowded,%u,,%.4f,%.4f,%.4f,%.1f,%u,%u,%.3f\n", seed,
            result.kinds[FLEET_SHORT].value_earned / result.kinds[FLEET_SHORT].value_owed,
            result.kinds[FLEET_HEAVY].value_earned / result.kinds[FLEET_HEAVY].value_owed,
            result.serving_value, result.interference_s, result.n_starts, result.n_stops,
            (double) result.decide_us / 1e6);
    }
  (void) printf ("fleet crowded      value: short %.3f, heavy %.3f, serving %.3f\n",
                 short_value / options->seeds, heavy_value / options->seeds,
                 serving_value / options->seeds);
}

/* Measures the regret of learning: runs the same load with the impacts unknown and known. */
static void
run_learning_regret (const BenchOptions *options,
                     double burst_factor,
                     const char *const names[2],
                     FILE *file)
{
  FleetOptions fleet;

  fleet_options_two_classes (&fleet);
  if (burst_factor > 0)
    fleet.burst_factor = burst_factor;
  (void) run_fleet (options, &fleet, even_weights, names[0], file);
  fleet.are_impacts_known = TRUE;
  (void) run_fleet (options, &fleet, even_weights, names[1], file);
}

void
fleet_run (const BenchOptions *options, BenchTargets *targets)
{
  FILE *file = bench_open (options, "fleet.csv");
  FleetOptions fleet;

  if (file != NULL)
    (void) fprintf (file, "fleet,seed,worth,short,heavy,serving,harmed_s,starts,stops,decide_s\n");
  fleet_options_small (&fleet);
  (void) run_fleet (options, &fleet, large_weights, "small", file);
  fleet_options_large (&fleet, LARGE_WORKERS);
  double worth = run_fleet (options, &fleet, large_weights, "large", file);
  bench_target (targets, worth >= TARGET_WORTH, "fleet large: worth %.3f of %.2f", worth,
                TARGET_WORTH);
  fleet.kinds[FLEET_SERVING].n_at_start = fleet.kinds[FLEET_SERVING].n_at_start * 6 / 5;
  fleet.burst_factor = 2.6;
  (void) run_fleet (options, &fleet, large_weights, "overloaded", file);
  run_crowded (options, file);
  run_learning_regret (options, 0, (const char *const[]){ "two sorts", "and told" }, file);
  run_learning_regret (options, 2.6, (const char *const[]){ "burst", "and told" }, file);
  if (file != NULL)
    (void) fclose (file);
}
