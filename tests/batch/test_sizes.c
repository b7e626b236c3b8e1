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

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (classes_are_the_largest_tenth_and_the_next_fifth),
          cmocka_unit_test (equal_jobs_are_not_large) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
