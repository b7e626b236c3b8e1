#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support/emulator.h"

static void
assert_rules_hold (const uint64_t *seeds, size_t n_seeds)
{
  uint32_t n_broken = 0;

  for (size_t i = 0; i < n_seeds; i++)
    {
      EmulatorOptions options = emulator_options (seeds[i]);
      g_autoptr (EmulatorResult) result = emulator_play (&options);
      if (result->violations->len == 0)
        continue;
      n_broken++;
      printf ("seed %" G_GUINT64_FORMAT ":\n%s", seeds[i], result->violations->str);
    }
  assert_int_equal (n_broken, 0);
}
/* The record of silent agents, trusted after an owner of a build that does not keep it. */
static void
record_of_silent_agents_does_not_outlast_an_older_owner (void **state)
{
  static const uint64_t seeds[] = { 200076, 210174, 212494, 218764, 223278 };

  (void) state;
  assert_rules_hold (seeds, G_N_ELEMENTS (seeds));
}

/* The number of acknowledged ends and the lease, sent to a worker that has restarted under its id.
 */
static void
calls_for_an_earlier_start_of_a_worker_have_no_effect (void **state)
{
  static const uint64_t seeds[] = { 204298, 207464, 214402, 218817, 223016, 226361 };

  (void) state;
  assert_rules_hold (seeds, G_N_ELEMENTS (seeds));
}

/* A failure that the last owner had read but not written, while its agent is silent. */
static void
failure_is_written_before_the_next_attempt (void **state)
{
  static const uint64_t seeds[] = { 208378, 217104 };

  (void) state;
  assert_rules_hold (seeds, G_N_ELEMENTS (seeds));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (record_of_silent_agents_does_not_outlast_an_older_owner),
    cmocka_unit_test (calls_for_an_earlier_start_of_a_worker_have_no_effect),
    cmocka_unit_test (failure_is_written_before_the_next_attempt),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
