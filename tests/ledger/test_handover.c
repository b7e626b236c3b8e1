/* When an owner that the store does not serve hands over. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common/clk.h"
#include "ledger/handover.h"

#define MS CLK_US_PER_MS
#define OVERDUE_MS 100
#define NOW_US (1000000 * MS)

/* Guards against an owner that keeps its authority for seconds without seeing new jobs, and against
 * one that gives it up although no other entry is served better. */
static void
only_a_peer_that_is_served_takes_over (void **state)
{
  static const struct
  {
    int64_t failing_ms;   /* -1: reads are answered */
    int64_t peer_view_ms; /* age of the newest view of a peer; -1: none known */
    gboolean is_due;
  } rows[] = {
    { -1, 10, FALSE },     /* served */
    { 5000, -1, FALSE },   /* nobody else is known */
    { 5000, 5101, FALSE }, /* down for all since then */
    { 299, 10, FALSE },    /* one lost answer */
    { 300, 399, TRUE },    { 300, 400, FALSE }, { 1499, 150, TRUE },
  };

  (void) state;
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      Handover handover = { 0 };
      const HandoverInput input
          = { .failing_since_us = rows[i].failing_ms < 0 ? 0 : NOW_US - rows[i].failing_ms * MS,
              .overdue_us = NOW_US - (rows[i].failing_ms + OVERDUE_MS) * MS,
              .peer_view_us = rows[i].peer_view_ms < 0 ? 0 : NOW_US - rows[i].peer_view_ms * MS };
      assert_int_equal (handover_is_due (&handover, &input, NOW_US), rows[i].is_due);
    }
}

/* Guards against an owner that is replaced after an outage for all, since the store served another
 * entry some hundred ms sooner. */
static void
recovery_of_the_store_changes_no_owner (void **state)
{
  Handover handover = { 0 };
  HandoverInput input = { .failing_since_us = NOW_US, .overdue_us = NOW_US };
  int64_t now_us = NOW_US;

  (void) state;
  for (; now_us < NOW_US + 6000 * MS; now_us += 50 * MS)
    assert_false (handover_is_due (&handover, &input, now_us));
  input.peer_view_us = now_us;
  for (; now_us < NOW_US + 7500 * MS; now_us += 50 * MS)
    assert_false (handover_is_due (&handover, &input, now_us));
  /* It goes on to serve the other one only. */
  assert_true (handover_is_due (&handover, &input, now_us));
}

/* Guards against a view that is taken for newer than it is when an answer takes long. */
static void
peer_view_is_not_overestimated (void **state)
{
  int64_t fresh_us = NOW_US - 250 * MS;
  int64_t asked_us = NOW_US - 40 * MS; /* the answer left at NOW_US and arrives later */

  (void) state;
  uint32_t age_ms = handover_view_age_ms (fresh_us, NOW_US);
  assert_in_range (age_ms, 250, 251);
  assert_true (handover_peer_view_us (asked_us, age_ms) <= fresh_us);
  assert_int_equal (handover_view_age_ms (0, NOW_US), 0);
  assert_int_equal (handover_view_age_ms (NOW_US, NOW_US), 1);
  assert_int_equal (handover_peer_view_us (asked_us, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_a_peer_that_is_served_takes_over),
    cmocka_unit_test (recovery_of_the_store_changes_no_owner),
    cmocka_unit_test (peer_view_is_not_overestimated),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
