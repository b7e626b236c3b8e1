/* The size of messages with orders, and what waits for them. */
#include "rig.h"

#define LARGE "00000000000000a1"
#define SMALL "00000000000000b1"
#define GANG "00000000000000c1"
/** Tasks of a job whose starts fill many messages. */
#define N_TASKS 400
/** Bytes of a message besides its orders. */
#define HEADER_BYTES 200
#define ROUND_MS 20

/* Adds a job with the longest spec. */
static void
add_large_job (const Rig *rig, const char *id, uint32_t n_tasks, const char *more)
{
  g_autofree char *spec = g_strnfill (JOB_SPEC_BYTES_MAX, 'x');
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%s\",\"steps\":[{\"count\":%u,\"cpu\":10%s}]}", spec, n_tasks, more);
  const SchedNewJob job = { .id = id,
                            .queue = "bulk",
                            .accepted_wall_ms = rig->now_us / 1000,
                            .spec = caller_decode_job (body, strlen (body), NULL) };

  assert_non_null (job.spec);
  sched_add_job (rig->sched, &job);
}

static uint32_t
count_of (const Rig *rig, const char *id)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      for (uint32_t k = 0; k < rig->workers[i].n_tasks; k++)
        count += strncmp (rig->workers[i].tasks[k].name, id, JOB_ID_CHARS) == 0;
    }
  return count;
}

/* Guards against: all pending starts went into one message, which was larger than its receiver
 * takes, so that nothing started any more and all leases expired. */
static void
many_large_starts_go_in_bounded_messages (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  add_large_job (rig, LARGE, N_TASKS, "");
  for (int i = 0; i < 60; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_of (rig, LARGE), N_TASKS);
  assert_in_range (rig->message_bytes_max, 1, SCHED_ORDER_BYTES_MAX + HEADER_BYTES);
  rig_free (rig);
}

/* Guards against: the members of a large gang waited for each other until their time was over. */
static void
members_of_a_large_gang_start_within_their_time (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  add_large_job (rig, GANG, N_TASKS, ",\"gang\":true");
  for (int i = 0; i < 3000 / ROUND_MS && count_of (rig, GANG) < N_TASKS; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_of (rig, GANG), N_TASKS);
  assert_in_range (rig->message_bytes_max, 1, SCHED_ORDER_BYTES_MAX + HEADER_BYTES);
  rig_free (rig);
}

/* Guards against: an urgent job, and a stop, waited until all starts before them had been sent. */
static void
urgent_starts_and_stops_wait_for_one_message_at_most (void **state)
{
  Rig *rig = rig_new (1);

  (void) state;
  add_large_job (rig, LARGE, N_TASKS, "");
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_in_range (count_of (rig, LARGE), 1, N_TASKS / 4);
  rig_add_job (rig, SMALL, "urgent", "{\"count\":1,\"cpu\":10}");
  sched_cancel_job (rig->sched, LARGE);
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_of (rig, SMALL), 1);
  assert_int_equal (count_of (rig, LARGE), 0);
  rig_free (rig);
}

/* Guards against: orders that an agent did not confirm were sent again with all that had come
 * since, and the lease with them. */
static void
unconfirmed_orders_do_not_add_up (void **state)
{
  Rig *rig = rig_new (1);
  Batch__Orders orders = BATCH__ORDERS__INIT;

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig->loses_orders = TRUE;
  add_large_job (rig, LARGE, N_TASKS, "");
  for (int i = 0; i < 100; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_of (rig, LARGE), 0);
  assert_in_range (rig->message_bytes_max, 1, SCHED_ORDER_BYTES_MAX + HEADER_BYTES);
  rig_report (rig, &rig->workers[0]);
  assert_true (sched_orders (rig->sched, rig->workers[0].name, &orders));
  assert_true (orders.wants_report);
  rig->loses_orders = FALSE;
  for (int i = 0; i < 60; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (count_of (rig, LARGE), N_TASKS);
  rig_report (rig, &rig->workers[0]);
  assert_true (sched_orders (rig->sched, rig->workers[0].name, &orders));
  assert_false (orders.wants_report);
  rig_free (rig);
}

/* Guards against: message after message was sent to an agent that is behind, so that its lease
 * waited on a slow link. */
static void
nothing_more_is_sent_until_a_report_confirms (void **state)
{
  Rig *rig = rig_new (1);
  Batch__Orders orders = BATCH__ORDERS__INIT;

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig->loses_orders = TRUE;
  add_large_job (rig, GANG, N_TASKS, ",\"gang\":true");
  rig_round (rig, ROUND_MS, TRUE);
  rig_report (rig, &rig->workers[0]);
  assert_true (sched_orders (rig->sched, rig->workers[0].name, &orders));
  assert_in_range (orders.order_before, 1, N_TASKS / 4);
  assert_int_equal (orders.n_orders, 0);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (many_large_starts_go_in_bounded_messages),
    cmocka_unit_test (members_of_a_large_gang_start_within_their_time),
    cmocka_unit_test (urgent_starts_and_stops_wait_for_one_message_at_most),
    cmocka_unit_test (unconfirmed_orders_do_not_add_up),
    cmocka_unit_test (nothing_more_is_sent_until_a_report_confirms),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
