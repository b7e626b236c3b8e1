/* Kalman filter whose states are added and removed while it runs. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "batch/filter.h"

#define NEAR 1e-9

/* With one state the result is the mean of prior and measurement, weighted by their precisions. */
static void
single_state_is_weighted_mean (void **state)
{
  Filter *filter = filter_new ();
  uint32_t a = filter_add (filter, 2.0, 4.0);
  const FilterTerm term = { a, 1.0 };

  (void) state;
  filter_correct (filter, &term, 1, 5.0 - filter_sum (filter, &term, 1), 2.0);
  assert_float_equal (filter_mean (filter, a), (2.0 / 4.0 + 5.0 / 2.0) / (1 / 4.0 + 1 / 2.0), NEAR);
  assert_float_equal (filter_covariance (filter, a, a), 1 / (1 / 4.0 + 1 / 2.0), NEAR);
  filter_free (filter);
}

/* After a measurement of the sum of two states, a measurement of one of them corrects the other. */
static void
measurement_corrects_correlated_state (void **state)
{
  Filter *filter = filter_new ();
  uint32_t a = filter_add (filter, 0.0, 10.0);
  uint32_t b = filter_add (filter, 0.0, 10.0);
  const FilterTerm both[] = { { a, 1.0 }, { b, 1.0 } };

  (void) state;
  filter_correct (filter, both, 2, 6.0, 0.01);
  assert_float_equal (filter_mean (filter, a), filter_mean (filter, b), NEAR);
  assert_true (filter_covariance (filter, a, b) < 0);
  filter_correct (filter, both, 1, 6.0 - filter_mean (filter, a), 0.01);
  assert_true (filter_mean (filter, a) > 5.9);
  assert_true (fabs (filter_mean (filter, b)) < 0.1);
  filter_free (filter);
}

static void
slope_advances_level (void **state)
{
  Filter *filter = filter_new ();
  uint32_t level = filter_add (filter, 1.0, 1.0);
  uint32_t slope = filter_add (filter, 0.5, 0.25);

  (void) state;
  filter_advance (filter, level, slope, 2.0, 0.5);
  assert_float_equal (filter_mean (filter, level), 2.0, NEAR);
  assert_float_equal (filter_mean (filter, slope), 0.25, NEAR);
  assert_float_equal (filter_covariance (filter, level, level), 1.0 + 4.0 * 0.25, NEAR);
  assert_float_equal (filter_covariance (filter, level, slope), 2.0 * 0.25 * 0.5, NEAR);
  assert_float_equal (filter_covariance (filter, slope, slope), 0.25 * 0.25, NEAR);
  filter_free (filter);
}

static void
dropped_state_has_no_covariance (void **state)
{
  Filter *filter = filter_new ();
  uint32_t a = filter_add (filter, 1.0, 1.0);
  uint32_t b = filter_add (filter, 1.0, 1.0);
  const FilterTerm both[] = { { a, 1.0 }, { b, 1.0 } };

  (void) state;
  filter_correct (filter, both, 2, 1.0, 0.1);
  double mean = filter_mean (filter, a);
  filter_drop (filter, b);
  filter_drop (filter, FILTER_NONE);
  uint32_t next = filter_add (filter, 3.0, 2.0);
  assert_int_equal (next, b);
  assert_float_equal (filter_covariance (filter, a, next), 0, NEAR);
  assert_float_equal (filter_covariance (filter, next, next), 2.0, NEAR);
  assert_float_equal (filter_mean (filter, a), mean, NEAR);
  filter_free (filter);
}

static void
states_are_bounded (void **state)
{
  Filter *filter = filter_new ();

  (void) state;
  for (uint32_t i = 0; i < FILTER_STATES_MAX; i++)
    assert_int_equal (filter_add (filter, i, 1.0), i);
  assert_int_equal (filter_add (filter, 0, 1.0), FILTER_NONE);
  for (uint32_t i = 0; i < FILTER_STATES_MAX; i++)
    assert_float_equal (filter_mean (filter, i), i, NEAR);
  filter_drop (filter, 7);
  assert_int_equal (filter_add (filter, 0, 1.0), 7);
  filter_free (filter);
}

/* Under random measurements covariances stay symmetric and bounded, and variances positive. */
static void
covariances_stay_valid (void **state)
{
  (void) state;
  for (guint32 seed = 0; seed < 20; seed++)
    {
      Filter *filter = filter_new ();
      GRand *rand = g_rand_new_with_seed (seed);
      enum
      {
        STATES = 10
      };
      for (int i = 0; i < STATES; i++)
        (void) filter_add (filter, 0, g_rand_double_range (rand, 0.1, 30.0));
      for (int i = 0; i < 2000; i++)
        {
          uint32_t n_terms = (uint32_t) g_rand_int_range (rand, 1, 4);
          FilterTerm terms[3];
          for (uint32_t k = 0; k < n_terms; k++)
            terms[k] = (FilterTerm){ (uint32_t) g_rand_int_range (rand, 0, STATES),
                                     g_rand_double_range (rand, -1.0, 1.0) };
          filter_correct (filter, terms, n_terms, g_rand_double_range (rand, -2.0, 2.0),
                          g_rand_double_range (rand, 1e-3, 1.0));
          filter_drift (filter, terms[0].state, 0.002);
        }
      for (uint32_t i = 0; i < STATES; i++)
        {
          assert_true (filter_covariance (filter, i, i) > 0);
          assert_true (isfinite (filter_mean (filter, i)));
          for (uint32_t k = 0; k < STATES; k++)
            {
              double limit
                  = sqrt (filter_covariance (filter, i, i) * filter_covariance (filter, k, k));
              assert_float_equal (filter_covariance (filter, i, k),
                                  filter_covariance (filter, k, i), 1e-6);
              assert_true (fabs (filter_covariance (filter, i, k)) <= limit * 1.001 + 1e-6);
            }
        }
      g_rand_free (rand);
      filter_free (filter);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (single_state_is_weighted_mean),
    cmocka_unit_test (measurement_corrects_correlated_state),
    cmocka_unit_test (slope_advances_level),
    cmocka_unit_test (dropped_state_has_no_covariance),
    cmocka_unit_test (states_are_bounded),
    cmocka_unit_test (covariances_stay_valid),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
