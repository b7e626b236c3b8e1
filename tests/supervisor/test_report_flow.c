/* Tests when an agent's reports are due: at once for urgent changes, within the owner's
 * capacity. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "supervisor/report_flow.h"

#define MS 1000
#define PERIOD_MS 400
#define SOON_MS 8

static ReportFlow
flow_new (void)
{
  const ReportFlowOptions options = { .period_ms = PERIOD_MS, .soon_ms = SOON_MS };
  ReportFlow flow;

  report_flow_init (&flow, &options);
  return flow;
}

static void
urgent_change_is_sent_at_once (void **state)
{
  ReportFlow flow = flow_new ();

  (void) state;
  report_flow_sent (&flow, 1, 1000 * MS);
  report_flow_answered (&flow, 1, 0);
  assert_int_equal (report_flow_due_us (&flow), (1000 + PERIOD_MS) * MS);
  report_flow_urgent (&flow, 1100 * MS);
  report_flow_urgent (&flow, 1105 * MS);
  assert_int_equal (report_flow_due_us (&flow), (1100 + SOON_MS) * MS);
}

static void
one_report_is_under_way (void **state)
{
  ReportFlow flow = flow_new ();

  (void) state;
  report_flow_sent (&flow, 5, 1000 * MS);
  report_flow_urgent (&flow, 1001 * MS);
  /* An answer to an earlier report does not count for this one. */
  report_flow_answered (&flow, 4, 0);
  assert_int_equal (report_flow_due_us (&flow), (1000 + PERIOD_MS) * MS);
  report_flow_answered (&flow, 5, 0);
  assert_int_equal (report_flow_due_us (&flow), (1001 + SOON_MS) * MS);
}

static void
silent_owner_gets_fewer_reports (void **state)
{
  ReportFlow flow = flow_new ();
  int64_t now_us = 0;
  uint32_t n_sent = 0;

  (void) state;
  report_flow_sent (&flow, 1, now_us);
  while (now_us < 16000 * MS)
    {
      report_flow_urgent (&flow, now_us);
      assert_true (report_flow_due_us (&flow) > now_us);
      now_us = report_flow_due_us (&flow);
      report_flow_sent (&flow, 1, now_us);
      n_sent++;
    }
  assert_in_range (n_sent, 10, 14);
}

static void
reports_keep_the_gap_of_the_owner (void **state)
{
  ReportFlow flow = flow_new ();

  (void) state;
  report_flow_sent (&flow, 1, 1000 * MS);
  report_flow_answered (&flow, 1, 90);
  report_flow_urgent (&flow, 1002 * MS);
  assert_int_equal (report_flow_due_us (&flow), 1090 * MS);
  /* The gap never delays a regular report. */
  report_flow_answered (&flow, 1, 5000);
  assert_int_equal (report_flow_due_us (&flow), (1000 + PERIOD_MS) * MS);
}

static void
new_owner_gets_a_report_at_once (void **state)
{
  ReportFlow flow = flow_new ();

  (void) state;
  for (uint64_t i = 1; i < 9; i++)
    report_flow_sent (&flow, i, 1000 * MS);
  report_flow_restart (&flow, 1010 * MS);
  assert_int_equal (report_flow_due_us (&flow), (1010 + SOON_MS) * MS);
}

/* Simulates all agents of an owner that handles a fixed number of reports per second. All agents
 * always have urgent changes. The owner's queue must never hold more than one report per agent. */
static void
owner_is_never_overloaded (void **state)
{
  enum
  {
    AGENTS = 240,
    HANDLED_PER_S = 1500,
    SECONDS = 10,
  };
  static ReportFlow flows[AGENTS];
  static gboolean is_queued[AGENTS];
  uint32_t n_queued = 0;
  uint32_t n_handled = 0;
  uint32_t next = 0;
  int64_t credit = 0;

  (void) state;
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      flows[i] = flow_new ();
      is_queued[i] = FALSE;
    }
  for (int64_t now_us = MS; now_us <= SECONDS * 1000 * MS; now_us += MS)
    {
      for (uint32_t i = 0; i < AGENTS; i++)
        {
          report_flow_urgent (&flows[i], now_us);
          if (report_flow_due_us (&flows[i]) > now_us)
            continue;
          report_flow_sent (&flows[i], (uint64_t) now_us, now_us);
          n_queued += !is_queued[i];
          is_queued[i] = TRUE;
        }
      assert_in_range (n_queued, 0, AGENTS);
      for (credit += HANDLED_PER_S; credit >= 1000 && n_queued > 0; credit -= 1000)
        {
          while (!is_queued[next % AGENTS])
            next++;
          is_queued[next % AGENTS] = FALSE;
          report_flow_answered (&flows[next % AGENTS], flows[next % AGENTS].version,
                                report_flow_gap_ms (AGENTS, 0.25));
          n_queued--;
          n_handled++;
        }
      credit = MIN (credit, 1000);
    }
  assert_in_range (n_handled, HANDLED_PER_S * SECONDS * 8 / 10, HANDLED_PER_S * SECONDS);
}

static void
gap_grows_with_the_agents_of_an_owner (void **state)
{
  (void) state;
  assert_in_range (report_flow_gap_ms (11, 0.25), 0, 10);
  assert_int_equal (report_flow_gap_ms (480, 0.5), 2 * report_flow_gap_ms (240, 0.5));
  assert_true (report_flow_gap_ms (11, 0.1) > report_flow_gap_ms (11, 0.25));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (urgent_change_is_sent_at_once),
    cmocka_unit_test (one_report_is_under_way),
    cmocka_unit_test (silent_owner_gets_fewer_reports),
    cmocka_unit_test (reports_keep_the_gap_of_the_owner),
    cmocka_unit_test (new_owner_gets_a_report_at_once),
    cmocka_unit_test (owner_is_never_overloaded),
    cmocka_unit_test (gap_grows_with_the_agents_of_an_owner),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
