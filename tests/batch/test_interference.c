/* Impacts of pairs of images on the headroom, learned from noisy measurements. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "batch/interference.h"

#define MEASUREMENT_US (500 * 1000)
#define SERVING 0
#define HEAVY 1
#define LIGHT 2

/* A serving task with an oscillating load beside images with given impacts; measurements have an
 * error of up to 5 %. */
typedef struct
{
  Interference *model;
  InterferenceService *service;
  InterferenceTask task;
  GRand *rand;
  int64_t now_us;
  double impacts[3];
} Simulation;

static Simulation *
simulation_new (guint32 seed)
{
  Simulation *simulation = g_new0 (Simulation, 1);

  simulation->model = interference_new ();
  simulation->service = interference_service_new (simulation->model, SERVING);
  simulation->rand = g_rand_new_with_seed (seed);
  simulation->now_us = 1000 * 1000;
  simulation->impacts[HEAVY] = 8.0;
  simulation->impacts[LIGHT] = 0.0;
  return simulation;
}

static void
simulation_free (Simulation *simulation)
{
  g_rand_free (simulation->rand);
  interference_service_free (simulation->service);
  interference_free (simulation->model);
  g_free (simulation);
}

/* Upper bound of the impact of a pair: two standard deviations above its mean. */
static double
impact_upper_bound (const Interference *model, uint32_t serving, uint32_t best_effort)
{
  InterferenceEstimate pair = interference_pair (model, serving, best_effort);

  return pair.mean + 2.0 * sqrt (pair.variance);
}

static double
alone_now (const Simulation *simulation)
{
  return 3.0 + sin ((double) simulation->now_us / 1e6 * 2.0 * G_PI / 14.0);
}

static void
step (Simulation *simulation, const InterferenceLoad *loads, uint32_t n_loads)
{
  double headroom = alone_now (simulation);

  simulation->now_us += MEASUREMENT_US;
  for (uint32_t i = 0; i < n_loads; i++)
    headroom -= simulation->impacts[loads[i].image] * loads[i].share;
  headroom = MAX (headroom, 0.1) * g_rand_double_range (simulation->rand, 0.95, 1.05);
  interference_observe (simulation->service, &simulation->task, headroom, loads, n_loads,
                        simulation->now_us);
}

/* Both images run intermittently, at times together. */
static void
measure_steps (Simulation *simulation, uint32_t n_steps)
{
  for (uint32_t i = 0; i < n_steps; i++)
    {
      InterferenceLoad loads[2];
      uint32_t n_loads = 0;
      if (i / 4 % 2 == 1)
        loads[n_loads++] = (InterferenceLoad){ HEAVY, 0.15 };
      if (i / 6 % 2 == 1)
        loads[n_loads++] = (InterferenceLoad){ LIGHT, 0.3 };
      step (simulation, loads, n_loads);
    }
}

static void
heavy_and_light_pairs_are_distinguished (void **state)
{
  (void) state;
  for (guint32 seed = 0; seed < 20; seed++)
    {
      Simulation *simulation = simulation_new (seed);
      measure_steps (simulation, 60);
      double heavy = interference_impact (simulation->model, SERVING, HEAVY);
      double light = interference_impact (simulation->model, SERVING, LIGHT);
      assert_true (heavy > 4.0 && heavy < 12.0);
      assert_true (light < 2.0);
      assert_true (impact_upper_bound (simulation->model, SERVING, LIGHT) < heavy);
      simulation_free (simulation);
    }
}

/* Guards against placing many tasks of an image whose impact is unknown. */
static void
unknown_pair_has_larger_bound_than_light_one (void **state)
{
  Simulation *simulation = simulation_new (1);

  (void) state;
  measure_steps (simulation, 60);
  assert_true (impact_upper_bound (simulation->model, SERVING, 7)
               > 2.0 * impact_upper_bound (simulation->model, SERVING, LIGHT));
  simulation_free (simulation);
}

/* Reports may contain the same measurement more than once. */
static void
repeated_measurement_counts_once (void **state)
{
  Simulation *simulation = simulation_new (1);
  const InterferenceLoad load = { HEAVY, 0.2 };

  (void) state;
  step (simulation, NULL, 0);
  step (simulation, &load, 1);
  double impact = interference_impact (simulation->model, SERVING, HEAVY);
  for (int i = 0; i < 10; i++)
    interference_observe (simulation->service, &simulation->task, simulation->task.headroom, &load,
                          1, simulation->now_us + i);
  assert_float_equal (interference_impact (simulation->model, SERVING, HEAVY), impact, 1e-9);
  simulation_free (simulation);
}

/* Reported tails are capped, so a saturated one is only a lower bound of the tail. */
static void
saturated_measurement_does_not_lower_impact (void **state)
{
  Simulation *simulation = simulation_new (1);
  const InterferenceLoad load = { HEAVY, 1.0 };

  (void) state;
  measure_steps (simulation, 60);
  double impact = interference_impact (simulation->model, SERVING, HEAVY);
  for (int i = 0; i < 40; i++)
    step (simulation, &load, 1);
  assert_true (interference_impact (simulation->model, SERVING, HEAVY) > impact * 0.8);
  simulation_free (simulation);
}

/* A replica without measurements is predicted from its service, not from another service. */
static void
new_replica_is_predicted_from_its_service (void **state)
{
  Simulation *simulation = simulation_new (1);
  const InterferenceTask fresh = { 0 };
  InterferenceService *other = interference_service_new (simulation->model, SERVING);

  (void) state;
  for (int i = 0; i < 60; i++)
    step (simulation, NULL, 0);
  InterferenceEstimate alone = interference_alone (simulation->service, &fresh, simulation->now_us);
  InterferenceEstimate unknown = interference_alone (other, &fresh, simulation->now_us);
  assert_true (fabs (alone.mean - alone_now (simulation)) < 0.5);
  assert_true (unknown.variance > 4.0 * alone.variance);
  interference_service_free (other);
  simulation_free (simulation);
}

#define REPLICAS 6

/* One measurement of each replica, with an error of up to 5 %. */
static void
step_replicas (Simulation *simulation, InterferenceTask *replicas)
{
  simulation->now_us += MEASUREMENT_US;
  for (size_t k = 0; k < REPLICAS; k++)
    interference_observe (simulation->service, &replicas[k],
                          alone_now (simulation)
                              * g_rand_double_range (simulation->rand, 0.95, 1.05),
                          NULL, 0, simulation->now_us + (int64_t) k);
}

/* A service without measurements gets a cautious prior. */
static void
service_without_measurements_has_cautious_prior (void **state)
{
  Interference *model = interference_new ();
  InterferenceService *service = interference_service_new (model, SERVING);
  const InterferenceTask fresh = { 0 };

  (void) state;
  InterferenceEstimate alone = interference_alone (service, &fresh, 1);
  InterferenceEstimate none = interference_alone (NULL, &fresh, 1);
  assert_true (alone.mean > 1.0 && alone.mean < 4.0);
  assert_float_equal (none.mean, alone.mean, 0);
  assert_true (alone.variance > 0);
  interference_service_free (service);
  interference_free (model);
}

/* A rising load is extrapolated: a placement by the current headroom would put tasks over their
 * target a second later. */
static void
rising_load_is_extrapolated (void **state)
{
  (void) state;
  for (guint32 seed = 0; seed < 20; seed++)
    {
      Simulation *simulation = simulation_new (seed);
      InterferenceTask replicas[REPLICAS] = { { 0 } };
      /* The load has a period of 14 s; at 21 s the headroom falls fastest, by 0.6 in 1.5 s. */
      while (simulation->now_us < 21 * 1000 * 1000)
        step_replicas (simulation, replicas);
      double now = interference_alone (simulation->service, &replicas[0], simulation->now_us).mean;
      double later
          = interference_alone (simulation->service, &replicas[0], simulation->now_us + 1500 * 1000)
                .mean;
      assert_true (later < now - 0.1);
      simulation_free (simulation);
    }
}

/* A burst of one replica is attributed mostly to the replica and not to its service. */
static void
burst_of_one_replica_is_attributed_to_it (void **state)
{
  Simulation *simulation = simulation_new (1);
  InterferenceTask replicas[REPLICAS] = { { 0 } };

  (void) state;
  for (int i = 0; i < 40; i++)
    step_replicas (simulation, replicas);
  for (int i = 0; i < 3; i++)
    {
      simulation->now_us += MEASUREMENT_US;
      for (size_t k = 0; k < REPLICAS; k++)
        interference_observe (simulation->service, &replicas[k],
                              alone_now (simulation) - (k == 0 ? 1.2 : 0.0), NULL, 0,
                              simulation->now_us + (int64_t) k);
    }
  double affected
      = interference_alone (simulation->service, &replicas[0], simulation->now_us + 10).mean;
  double other
      = interference_alone (simulation->service, &replicas[5], simulation->now_us + 10).mean;
  assert_true (affected < alone_now (simulation) - 0.7);
  assert_true (other > alone_now (simulation) - 0.3);
  simulation_free (simulation);
}

/* Two images ran only together; measurements of one alone correct the estimate of the other. */
static void
estimate_of_harmless_neighbour_is_corrected (void **state)
{
  (void) state;
  for (guint32 seed = 0; seed < 20; seed++)
    {
      Simulation *simulation = simulation_new (seed);
      const InterferenceLoad both[] = { { HEAVY, 0.1 }, { LIGHT, 0.1 } };
      for (int i = 0; i < 20; i++)
        step (simulation, NULL, 0);
      for (int i = 0; i < 8; i++)
        step (simulation, both, 2);
      double before = interference_impact (simulation->model, SERVING, LIGHT);
      for (int i = 0; i < 30; i++)
        step (simulation, both, i % 3 != 0);
      assert_true (before > 1.0);
      assert_true (interference_impact (simulation->model, SERVING, LIGHT) < before - 0.5);
      simulation_free (simulation);
    }
}

static void
count_pair (void *ctx, const InterferencePair *pair)
{
  (void) pair;
  (*(uint32_t *) ctx)++;
}

/* The filter of a serving image is bounded, whatever the number of best-effort images and services.
 * Pairs and services beyond the limit get the prior and are never treated as harmless. */
static void
filter_of_image_is_bounded (void **state)
{
  Interference *model = interference_new ();
  g_autoptr (GPtrArray) services
      = g_ptr_array_new_with_free_func ((GDestroyNotify) interference_service_free);
  const InterferenceTask fresh = { 0 };
  uint32_t n_pairs = 0;

  (void) state;
  for (uint32_t i = 0; i < 4 * INTERFERENCE_IMPACTS_MAX; i++)
    {
      const InterferenceLoad load = { interference_image (model, NULL) + i, 0.1 };
      InterferenceTask task = { 0 };
      g_ptr_array_add (services, interference_service_new (model, SERVING));
      for (int k = 1; k <= 3; k++)
        interference_observe (g_ptr_array_index (services, i), &task, 5.0 + 0.01 * k, &load, 1,
                              (int64_t) (3 * i + (uint32_t) k) * MEASUREMENT_US);
    }
  for (uint32_t i = 0; i < 4 * INTERFERENCE_IMPACTS_MAX; i++)
    {
      g_autofree char *name = g_strdup_printf ("image-%u", i);
      (void) interference_image (model, name);
    }
  interference_each_pair (model, count_pair, &n_pairs);
  assert_int_equal (n_pairs, INTERFERENCE_IMPACTS_MAX);
  InterferenceEstimate beyond
      = interference_pair (model, SERVING, 4 * INTERFERENCE_IMPACTS_MAX - 1);
  InterferenceEstimate never = interference_pair (model, SERVING, INTERFERENCE_IMAGES_MAX - 1);
  assert_float_equal (beyond.mean, never.mean, 0);
  assert_float_equal (beyond.variance, never.variance, 0);
  InterferenceEstimate last = interference_alone (g_ptr_array_index (services, services->len - 1),
                                                  &fresh, MEASUREMENT_US);
  assert_float_equal (last.mean, interference_alone (NULL, &fresh, MEASUREMENT_US).mean, 0);
  g_ptr_array_set_size (services, 0);
  interference_free (model);
}

static void
image_numbers_are_stable_and_bounded (void **state)
{
  Interference *model = interference_new ();

  (void) state;
  assert_int_equal (interference_image (model, "a"), interference_image (model, "a"));
  assert_int_not_equal (interference_image (model, "a"), interference_image (model, NULL));
  for (int i = 0; i < 3 * INTERFERENCE_IMAGES_MAX; i++)
    {
      g_autofree char *name = g_strdup_printf ("image-%d", i);
      assert_in_range (interference_image (model, name), 0, INTERFERENCE_IMAGES_MAX);
    }
  interference_free (model);
}

static void
restore_pair (void *ctx, const InterferencePair *pair)
{
  interference_restore (ctx, pair);
}

/* A new owner restores what the previous one learned, with a larger variance. */
static void
learned_pairs_are_restored (void **state)
{
  Simulation *simulation = simulation_new (1);
  Interference *next = interference_new ();

  (void) state;
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *name = g_strdup_printf ("image-%d", i);
      assert_int_equal (interference_image (simulation->model, name), i);
    }
  measure_steps (simulation, 60);
  /* Image numbers differ between models. */
  (void) interference_image (next, "another");
  interference_each_pair (simulation->model, restore_pair, next);
  uint32_t serving = interference_image (next, "image-0");
  uint32_t heavy = interference_image (next, "image-1");
  assert_float_equal (interference_impact (next, serving, heavy),
                      interference_impact (simulation->model, SERVING, HEAVY), 1e-9);
  assert_true (impact_upper_bound (next, serving, heavy)
               > impact_upper_bound (simulation->model, SERVING, HEAVY));
  interference_free (next);
  simulation_free (simulation);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (heavy_and_light_pairs_are_distinguished),
    cmocka_unit_test (unknown_pair_has_larger_bound_than_light_one),
    cmocka_unit_test (repeated_measurement_counts_once),
    cmocka_unit_test (saturated_measurement_does_not_lower_impact),
    cmocka_unit_test (new_replica_is_predicted_from_its_service),
    cmocka_unit_test (service_without_measurements_has_cautious_prior),
    cmocka_unit_test (rising_load_is_extrapolated),
    cmocka_unit_test (burst_of_one_replica_is_attributed_to_it),
    cmocka_unit_test (estimate_of_harmless_neighbour_is_corrected),
    cmocka_unit_test (filter_of_image_is_bounded),
    cmocka_unit_test (image_numbers_are_stable_and_bounded),
    cmocka_unit_test (learned_pairs_are_restored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
