#include "agent/agent_worker.h"

#include <stdatomic.h>

#include "common/clk.h"
#include "common/err.h"

struct AgentWorker
{
  AgentWorkerOptions options;
  GAsyncQueue *orders; /**< AgentOrder, or this object itself to wake the thread */
  GThread *thread;
  atomic_bool is_stopping;
};

void
agent_order_free (AgentOrder *order)
{
  if (order == NULL)
    return;
  g_free (order->job_name);
  g_free (order->batch_class);
  g_free (order->checkpoint);
  g_free (order->message);
  g_free (order);
}

void
agent_report_free (AgentReport *report)
{
  if (report->tasks != NULL)
    g_ptr_array_unref (report->tasks);
  g_free (report);
}

/* The clock is read right before the call: the process may have been paused since the order. */
static gboolean
lease_left (const AgentOrder *order, int64_t *left_ms, GError **error)
{
  *left_ms = (order->lease_end_us - clk_now_us ()) / CLK_US_PER_MS;
  if (*left_ms > 0)
    return TRUE;
  err_set (error, ERR_NO_LEASE, "the lease lapsed before the worker was asked");
  return FALSE;
}

static gboolean
start (PlatWorker *client, const AgentOrder *order, GError **error)
{
  PlatStart request = {
    .job = order->id.job,
    .index = order->id.index,
    .attempt = order->id.attempt,
    .shard = order->shard,
    .epoch = order->epoch,
    .job_name = order->job_name,
    .batch_class = order->batch_class,
    .reserved = order->reserved,
    .run_ms = order->run_ms,
    .progress_ms = order->progress_ms,
    .checkpoint = order->checkpoint,
  };

  if (!lease_left (order, &request.lease_left_ms, error))
    return FALSE;
  request.sent_wall_ms = clk_wall_ms ();
  return plat_worker_start (client, &request, error);
}

static gboolean
extend (PlatWorker *client, const AgentOrder *order, GError **error)
{
  int64_t left_ms;

  return lease_left (order, &left_ms, error)
         && plat_worker_extend (client, order->shard, order->epoch, left_ms, error);
}

static void
run_order (PlatWorker *client, AgentOrder *order)
{
  const AgentTaskId *id = &order->id;
  g_autoptr (GError) error = NULL;

  switch (order->verb)
    {
    case AGENT_VERB_START:
      order->ok = start (client, order, &error);
      break;
    case AGENT_VERB_CHECKPOINT:
      order->ok = plat_worker_checkpoint (client, id->job, id->index, id->attempt, &error);
      break;
    case AGENT_VERB_STOP:
      order->ok = plat_worker_stop (client, id->job, id->index, id->attempt, &error);
      break;
    case AGENT_VERB_THROTTLE:
      order->ok
          = plat_worker_throttle (client, id->job, id->index, id->attempt, order->permille, &error);
      break;
    case AGENT_VERB_EXTEND:
      order->ok = extend (client, order, &error);
      break;
    case AGENT_VERB_FORGET:
      order->ok = plat_worker_forget (client, id->job, id->index, id->attempt, &error);
      break;
    }
  if (order->ok)
    return;
  order->kind = err_kind (error);
  order->message = g_strdup (error != NULL ? error->message : "");
}

static AgentReport *
make_report (PlatWorker *client)
{
  AgentReport *report = g_new0 (AgentReport, 1);

  report->asked_us = clk_now_us ();
  report->has_capacity = plat_worker_capacity (client, &report->capacity, NULL);
  if (report->has_capacity)
    report->tasks = plat_worker_list (client, NULL);
  return report;
}

static void *
run_worker (void *data)
{
  AgentWorker *worker = data;
  PlatWorker *client = plat_worker_new (&worker->options.client);
  int64_t due_us = clk_now_us ();

  while (!atomic_load (&worker->is_stopping))
    {
      int64_t wait_us = MAX (due_us - clk_now_us (), 0);
      void *item = wait_us > 0 ? g_async_queue_timeout_pop (worker->orders, (guint64) wait_us)
                               : g_async_queue_try_pop (worker->orders);
      if (item != NULL && item != worker)
        {
          run_order (client, item);
          worker->options.on_result (worker->options.ctx, item);
        }
      if (clk_now_us () < due_us)
        continue;
      worker->options.on_report (worker->options.ctx, make_report (client));
      due_us = clk_now_us () + worker->options.poll_ms * CLK_US_PER_MS;
    }
  plat_worker_free (client);
  return NULL;
}

AgentWorker *
agent_worker_new (const AgentWorkerOptions *options)
{
  AgentWorker *worker = g_new0 (AgentWorker, 1);

  worker->options = *options;
  worker->orders = g_async_queue_new ();
  atomic_init (&worker->is_stopping, FALSE);
  worker->thread = g_thread_new ("worker", run_worker, worker);
  return worker;
}

void
agent_worker_free (AgentWorker *worker)
{
  void *item;

  if (worker == NULL)
    return;
  atomic_store (&worker->is_stopping, TRUE);
  g_async_queue_push (worker->orders, worker);
  (void) g_thread_join (worker->thread);
  while ((item = g_async_queue_try_pop (worker->orders)) != NULL)
    {
      if (item != worker)
        agent_order_free (item);
    }
  g_async_queue_unref (worker->orders);
  g_free (worker);
}

gboolean
agent_worker_push (AgentWorker *worker, AgentOrder *order)
{
  if (g_async_queue_length (worker->orders) >= AGENT_ORDERS_MAX)
    return FALSE;
  g_async_queue_push (worker->orders, order);
  return TRUE;
}
