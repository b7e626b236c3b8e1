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

/* Returns after how many ms of failing reads the owner hands over; 0: never within 3 s. The peer is
 * served from @p served_ms on. */
static int64_t
hands_over_after (HandoverInput input, int64_t served_ms)
{
  Handover handover = { 0 };

  input.failing_since_us = NOW_US;
  input.overdue_us = NOW_US - OVERDUE_MS * MS;
  for (int64_t ms = 0; ms < 3000; ms += 50)
    {
      if (served_ms >= 0 && ms >= served_ms)
        input.peer_view_us = NOW_US + ms * MS;
      if (handover_is_due (&handover, &input, NOW_US + ms * MS))
        return ms;
    }
  return 0;
}

/* Guards against an owner that keeps its authority for seconds without seeing new jobs, and against
 * one that gives it up although no other entry is served better. */
static void
only_a_peer_that_is_served_takes_over (void **state)
{
  const HandoverInput served = { .own_written_us = NOW_US };
  const HandoverInput down = { .peer_view_us = NOW_US - OVERDUE_MS * MS };

  (void) state;
  assert_int_equal (hands_over_after ((HandoverInput){ 0 }, 0), 300);
  assert_int_equal (hands_over_after ((HandoverInput){ 0 }, 100), 400);
  assert_int_equal (hands_over_after ((HandoverInput){ 0 }, -1), 0);
  assert_int_equal (hands_over_after (down, -1), 0);
  assert_int_equal (hands_over_after (served, 0), 0);
}

/* Guards against one lost answer in a slow store that replaces a working owner: the next read is
 * answered 502 ms after the first one failed. */
static void
slow_answers_are_waited_for (void **state)
{
  (void) state;
  assert_in_range (hands_over_after ((HandoverInput){ .answer_ms = 352 }, 0), 550, 1200);
}

/* Guards against a change of owner after a short outage for all. */
static void
short_outage_changes_no_owner (void **state)
{
  (void) state;
  for (int64_t outage_ms = 400; outage_ms <= 1400; outage_ms += 500)
    assert_true (hands_over_after ((HandoverInput){ 0 }, outage_ms) >= outage_ms + 250);
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
    cmocka_unit_test (slow_answers_are_waited_for),
    cmocka_unit_test (short_outage_changes_no_owner),
    cmocka_unit_test (recovery_of_the_store_changes_no_owner),
    cmocka_unit_test (peer_view_is_not_overestimated),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
