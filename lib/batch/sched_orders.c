/* Orders that wait for their agent, and the messages that take them there.
 *
 * The worker's lease travels in the same messages and waits behind orders that are still under way,
 * so these have a bound in bytes. Orders that the agent has not confirmed count. While they reach
 * the bound, no further task is started there: its start would only wait here, and delay the stops
 * that come after it. */
#include "batch/message.h"
#include "batch/sched_tables.h"
#include "common/clk.h"

/** Orders that no report has confirmed are sent again with the next message after this time. A
 * report that was sent before the orders arrived does not confirm them. */
#define RESEND_MS 100
/** Most bytes of a row's tag and length within a message. */
#define ROW_BYTES 6

static size_t
bytes_of (const Batch__Order *order)
{
  return batch__order__get_packed_size (order) + ROW_BYTES;
}

Batch__Order *
sched_order_new (Batch__Order__WhatCase what_case)
{
  Batch__Order *order = message_alloc (sizeof *order);

  batch__order__init (order);
  order->what_case = what_case;
  return order;
}

uint64_t
sched_order_add (SchedWorker *worker, Batch__Order *order)
{
  order->number = worker->next_number++;
  g_ptr_array_add (worker->orders, order);
  worker->order_bytes += bytes_of (order);
  worker->is_message_due = TRUE;
  return order->number;
}

void
sched_orders_confirm (SchedWorker *worker, uint64_t number)
{
  guint n_done = 0;

  for (; n_done < worker->orders->len; n_done++)
    {
      const Batch__Order *order = g_ptr_array_index (worker->orders, n_done);
      if (order->number > number)
        break;
      worker->order_bytes -= bytes_of (order);
    }
  if (n_done > 0)
    g_ptr_array_remove_range (worker->orders, 0, n_done);
}

void
sched_orders_clear (SchedWorker *worker)
{
  g_ptr_array_set_size (worker->orders, 0);
  worker->order_bytes = 0;
}

gboolean
sched_has_room_for_orders (const SchedWorker *worker)
{
  return worker->order_bytes < SCHED_ORDER_BYTES_MAX;
}

/* Adds pending orders, as many as may be under way. Those that were sent less than the resend
 * interval ago are omitted, but count. The first order that is pending goes whatever its size. */
static void
add_orders (const Sched *sched, SchedWorker *worker, Batch__Orders *orders)
{
  Batch__Order **rows = (Batch__Order **) worker->orders->pdata;
  gboolean is_resend_due = sched->now_us - worker->sent_us >= RESEND_MS * CLK_US_PER_MS;
  size_t bytes = 0;
  guint first = 0;

  if (worker->orders->len == 0)
    return;
  while (!is_resend_due && first < worker->orders->len
         && rows[first]->number <= worker->sent_number)
    bytes += bytes_of (rows[first++]);
  guint end = first;
  while (end < worker->orders->len
         && (end == 0 || bytes + bytes_of (rows[end]) <= SCHED_ORDER_BYTES_MAX))
    bytes += bytes_of (rows[end++]);
  orders->order_before = first > 0 ? rows[first - 1]->number : 0;
  orders->n_orders = end - first;
  orders->orders = rows + first;
  if (first == 0)
    worker->sent_us = sched->now_us;
  if (end > 0)
    worker->sent_number = rows[end - 1]->number;
}

gboolean
sched_orders (Sched *sched, const char *agent, Batch__Orders *orders)
{
  SchedWorker *worker = g_hash_table_lookup (sched->workers, agent);

  if (worker == NULL || !worker->is_message_due)
    return FALSE;
  worker->is_message_due = FALSE;
  orders->agent_boot = worker->boot;
  orders->echo_us = worker->clock_us;
  orders->life = worker->incarnation;
  orders->ends_kept = worker->ends_written;
  orders->crashes_kept = worker->crashes_written;
  orders->report_taken = worker->report_version;
  orders->forbids_starts = sched_is_evacuated (sched, worker);
  add_orders (sched, worker, orders);
  orders->wants_report = !sched_has_room_for_orders (worker);
  return TRUE;
}
