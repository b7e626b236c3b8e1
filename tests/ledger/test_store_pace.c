/* The estimate of how long appends take, and what follows from it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/clk.h"
#include "ledger/appender.h"
#include "ledger/store_pace.h"

#define MS CLK_US_PER_MS
#define FAST_MS 10
#define SLOW_MS 700
/** As long as an owner acts after its newest acknowledged append was sent. */
#define AUTHORITY_MS 3000

static int64_t
run_append (StorePace *pace, int64_t now_us, int64_t took_ms, StoreOutcome outcome)
{
  uint32_t slot = store_pace_begin (pace, now_us);

  store_pace_end (pace, slot, outcome, now_us + took_ms * MS);
  return now_us + took_ms * MS;
}

/* Guards against an append that is given up while it is still queued in a slow store. */
static void
timeout_follows_the_answers (void **state)
{
  StorePace pace;
  int64_t now_us = 1000 * MS;

  (void) state;
  store_pace_init (&pace);
  now_us = run_append (&pace, now_us, FAST_MS, STORE_OK);
  assert_int_equal (store_pace_timeout_ms (&pace, TRUE, now_us), 900);
  assert_false (store_pace_is_slow (&pace, now_us));
  for (int i = 0; i < 5; i++)
    now_us = run_append (&pace, now_us, SLOW_MS, STORE_OK);
  assert_true (store_pace_is_slow (&pace, now_us));
  assert_in_range (store_pace_timeout_ms (&pace, TRUE, now_us), 2 * SLOW_MS,
                   STORE_PACE_TIMEOUT_MAX_MS);
  /* With the wait of a long poll this stays below FEED_GAP_MS. */
  assert_int_equal (store_pace_read_timeout_ms (&pace, now_us), 1150);
}

/* Guards against entries that notice a slow store only after a time-out. */
static void
append_without_an_answer_yet_counts (void **state)
{
  StorePace pace;
  int64_t now_us = run_append ((store_pace_init (&pace), &pace), 1000 * MS, FAST_MS, STORE_OK);

  (void) state;
  uint32_t slot = store_pace_begin (&pace, now_us);
  assert_false (store_pace_is_slow (&pace, now_us + 20 * MS));
  assert_true (store_pace_is_slow (&pace, now_us + 150 * MS));
  store_pace_end (&pace, slot, STORE_OK, now_us + 160 * MS);
  assert_true (store_pace_expected_ms (&pace, now_us + 160 * MS) < 100);
}

/* Guards against one lost answer that makes a fast store count as slow for long. */
static void
lost_answer_is_forgotten_with_the_next_one (void **state)
{
  StorePace pace;
  int64_t now_us = run_append ((store_pace_init (&pace), &pace), 1000 * MS, FAST_MS, STORE_OK);

  (void) state;
  now_us = run_append (&pace, now_us, 900, STORE_IN_DOUBT);
  assert_true (store_pace_is_slow (&pace, now_us));
  assert_int_equal (store_pace_timeout_ms (&pace, FALSE, now_us), STORE_PACE_TIMEOUT_MAX_MS);
  assert_in_range (store_pace_timeout_ms (&pace, TRUE, now_us), 900, 2000);
  now_us = run_append (&pace, now_us, FAST_MS, STORE_OK);
  assert_false (store_pace_is_slow (&pace, now_us));
  assert_int_equal (store_pace_timeout_ms (&pace, FALSE, now_us), 900);
}

/* Guards against a store that counts as slow after it has recovered. */
static void
estimate_decays_within_two_seconds (void **state)
{
  StorePace pace;
  int64_t now_us = run_append ((store_pace_init (&pace), &pace), 1000 * MS, SLOW_MS, STORE_OK);

  (void) state;
  assert_true (store_pace_is_slow (&pace, now_us));
  assert_false (store_pace_is_slow (&pace, now_us + 2000 * MS));
  for (int i = 0; i < 4; i++)
    now_us = run_append (&pace, now_us, FAST_MS, STORE_OK);
  assert_false (store_pace_is_slow (&pace, now_us));
}

/* Guards against records that are handed over to an owner that does not reach the store. */
static void
nothing_is_published_without_a_recent_answer (void **state)
{
  StorePace pace;
  int64_t now_us = 1000 * MS;

  (void) state;
  store_pace_init (&pace);
  assert_int_equal (store_pace_answered_ms (&pace, now_us), 0);
  now_us = run_append (&pace, now_us, 0, STORE_OK);
  assert_int_equal (store_pace_answered_ms (&pace, now_us), 1);
  (void) store_pace_begin (&pace, now_us);
  assert_int_equal (store_pace_answered_ms (&pace, now_us + 4000 * MS), 0);
}

/* Guards against callers who get a shorter Retry-After by asking again. */
static void
retry_after_depends_on_the_job_only (void **state)
{
  uint32_t counts[8] = { 0 };

  (void) state;
  for (int i = 0; i < 300; i++)
    {
      g_autofree char *job = g_strdup_printf ("%016x", i);
      uint32_t retry_after_s = store_pace_retry_after_s (2500, job);
      assert_int_equal (store_pace_retry_after_s (2500, job), retry_after_s);
      assert_in_range (retry_after_s, 1, 3);
      counts[retry_after_s]++;
    }
  for (int s = 1; s <= 3; s++)
    assert_true (counts[s] > 60);
}

/* A submission waits for the append under way and for those before its own. */
static void
wait_counts_the_appends_before_it (void **state)
{
  StorePace pace;
  int64_t now_us = run_append ((store_pace_init (&pace), &pace), 1000 * MS, 400, STORE_OK);

  (void) state;
  assert_int_equal (store_pace_wait_ms (&pace, 0, 1, now_us), 400);
  assert_int_equal (store_pace_wait_ms (&pace, now_us - 100 * MS, 2, now_us), 300 + 800);
}

/* Guards against an owner that loses its authority since the answer to its append was lost. */
static void
owner_has_time_for_one_retry (void **state)
{
  /* Times of appends with which two fit into an owner's authority. */
  static const int64_t took_ms[] = { FAST_MS, 200, 528, 600 };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (took_ms); i++)
    {
      StorePace pace;
      int64_t now_us = 1000 * MS;
      store_pace_init (&pace);
      for (int k = 0; k < 6; k++)
        now_us = run_append (&pace, now_us, took_ms[i], STORE_OK);
      /* The newest acknowledged append was sent then, or 500 ms ago if that is longer. */
      int64_t left_ms = AUTHORITY_MS - MAX (took_ms[i], 500);
      int64_t timeout_ms = store_pace_owner_timeout_ms (&pace, left_ms, now_us);
      assert_in_range (timeout_ms, MAX (took_ms[i] * 3 / 2, 900),
                       left_ms - APPENDER_BACKOFF_MIN_MS - took_ms[i]);
    }
}

/* Guards against a time-out of all of the owner's authority, after an append was given up. */
static void
append_that_was_given_up_leaves_time_for_a_retry (void **state)
{
  StorePace pace;
  int64_t now_us = run_append ((store_pace_init (&pace), &pace), 1000 * MS, FAST_MS, STORE_OK);

  (void) state;
  now_us = run_append (&pace, now_us, 3000, STORE_IN_DOUBT);
  assert_int_equal (store_pace_timeout_ms (&pace, TRUE, now_us), STORE_PACE_TIMEOUT_MAX_MS);
  assert_in_range (store_pace_owner_timeout_ms (&pace, 2500, now_us), 900, 1250);
  assert_int_equal (store_pace_owner_timeout_ms (&pace, 0, now_us), STORE_PACE_TIMEOUT_MAX_MS);
}

/* Guards against appends that are repeated before their answer is due: each copy delays the store.
 */
static void
owner_awaits_answers_that_are_due (void **state)
{
  StorePace pace;
  int64_t now_us = 1000 * MS;

  (void) state;
  store_pace_init (&pace);
  for (int k = 0; k < 6; k++)
    now_us = run_append (&pace, now_us, 1300, STORE_OK);
  assert_in_range (store_pace_owner_timeout_ms (&pace, AUTHORITY_MS - 1300, now_us), 1400,
                   STORE_PACE_TIMEOUT_MAX_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (timeout_follows_the_answers),
    cmocka_unit_test (append_without_an_answer_yet_counts),
    cmocka_unit_test (lost_answer_is_forgotten_with_the_next_one),
    cmocka_unit_test (estimate_decays_within_two_seconds),
    cmocka_unit_test (nothing_is_published_without_a_recent_answer),
    cmocka_unit_test (retry_after_depends_on_the_job_only),
    cmocka_unit_test (wait_counts_the_appends_before_it),
    cmocka_unit_test (owner_has_time_for_one_retry),
    cmocka_unit_test (append_that_was_given_up_leaves_time_for_a_retry),
    cmocka_unit_test (owner_awaits_answers_that_are_due),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
