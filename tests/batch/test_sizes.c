/* Size classes of jobs, and the counts of their results. */
#include "rig.h"

#include "batch/sizes.h"

static void
classes_are_the_largest_tenth_and_the_next_fifth (void **state)
{
  Sizes *sizes = sizes_new ();
  uint32_t counts[SIZES_CLASSES] = { 0 };

  (void) state;
  assert_int_equal (sizes_class (sizes, 1), SIZES_OTHER);
  for (uint32_t i = 0; i < SIZES_WINDOW; i++)
    sizes_add (sizes, 1e6);
  for (uint32_t i = 0; i < SIZES_WINDOW; i++)
    sizes_add (sizes, i * 7 % SIZES_WINDOW);
  for (uint32_t i = 0; i < SIZES_WINDOW; i++)
    counts[sizes_class (sizes, i)]++;
  assert_int_equal (counts[SIZES_LARGEST], SIZES_WINDOW / 10);
  assert_int_equal (counts[SIZES_LARGE], SIZES_WINDOW * 3 / 10 - SIZES_WINDOW / 10);
  assert_int_equal (sizes_class (sizes, 1e9), SIZES_LARGEST);
  sizes_free (sizes);
}

static void
equal_jobs_are_not_large (void **state)
{
  Sizes *sizes = sizes_new ();

  (void) state;
  for (uint32_t i = 0; i < SIZES_WINDOW; i++)
    sizes_add (sizes, 5);
  assert_int_equal (sizes_class (sizes, 5), SIZES_OTHER);
  sizes_free (sizes);
}

/* A table whose class SIZES_LARGE has the credit of @p n_large of its jobs, and in which a job was
 * not served. */
static Sizes *
table_with_credit (uint32_t n_large)
{
  Sizes *sizes = sizes_new ();

  for (uint32_t i = 0; i < SIZES_WINDOW; i++)
    sizes_add (sizes, 1);
  for (uint32_t i = 0; i < SIZES_WINDOW / 10; i++)
    sizes_add (sizes, 1000);
  for (uint32_t i = 0; i < n_large; i++)
    sizes_add (sizes, 500);
  sizes_add_result (sizes, SIZES_OTHER, FALSE, FALSE);
  return sizes;
}

static uint32_t
count_favoured (Sizes *sizes, uint32_t n_open)
{
  uint32_t n_favoured = 0;

  sizes_recount (sizes);
  for (uint32_t i = 0; i < n_open; i++)
    sizes_count_open (sizes, SIZES_LARGE, FALSE);
  for (uint32_t i = 0; i < n_open; i++)
    n_favoured += sizes_favour (sizes, SIZES_LARGE) ? 1 : 0;
  return n_favoured;
}

#define N_LARGE 14
#define N_CREDIT (N_LARGE * SIZES_FLOOR_PERCENT / 100)

static void
credit_limits_how_many_jobs_are_favoured (void **state)
{
  Sizes *sizes = table_with_credit (N_LARGE);

  (void) state;
  assert_int_equal (sizes_class (sizes, 500), SIZES_LARGE);
  assert_int_equal (count_favoured (sizes, 100), N_CREDIT);
  assert_int_equal (count_favoured (sizes, 100), 0);
  sizes_add_result (sizes, SIZES_LARGE, FALSE, TRUE);
  assert_int_equal (count_favoured (sizes, 100), 1);
  sizes_add_result (sizes, SIZES_LARGE, TRUE, TRUE);
  assert_int_equal (count_favoured (sizes, 100), 0);
  sizes_release (sizes, SIZES_LARGE);
  assert_int_equal (count_favoured (sizes, 100), 1);
  assert_false (sizes_favour (sizes, SIZES_OTHER));
  sizes_free (sizes);
}

static void
served_jobs_take_credit (void **state)
{
  Sizes *sizes = table_with_credit (N_LARGE);

  (void) state;
  for (uint32_t i = 0; i < N_CREDIT; i++)
    sizes_add_result (sizes, SIZES_LARGE, TRUE, FALSE);
  assert_int_equal (count_favoured (sizes, 100), 0);
  sizes_free (sizes);
}

static void
only_a_part_of_the_open_jobs_is_favoured (void **state)
{
  Sizes *sizes = table_with_credit (N_LARGE);

  (void) state;
  assert_int_equal (count_favoured (sizes, 10), (10 * SIZES_FAVOURED_PERCENT + 99) / 100);
  sizes_free (sizes);
}

static void
no_job_is_favoured_while_nearly_all_are_served (void **state)
{
  Sizes *sizes = table_with_credit (N_LARGE);

  (void) state;
  for (uint32_t i = 0; i < 100 * SIZES_WINDOW; i++)
    sizes_add_result (sizes, SIZES_OTHER, TRUE, FALSE);
  assert_int_equal (count_favoured (sizes, 100), 0);
  for (uint32_t i = 0; i < 4; i++)
    sizes_add_result (sizes, SIZES_OTHER, FALSE, FALSE);
  assert_int_equal (count_favoured (sizes, 100), N_CREDIT);
  sizes_free (sizes);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (classes_are_the_largest_tenth_and_the_next_fifth),
          cmocka_unit_test (equal_jobs_are_not_large),
          cmocka_unit_test (credit_limits_how_many_jobs_are_favoured),
          cmocka_unit_test (served_jobs_take_credit),
          cmocka_unit_test (only_a_part_of_the_open_jobs_is_favoured),
          cmocka_unit_test (no_job_is_favoured_while_nearly_all_are_served) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
