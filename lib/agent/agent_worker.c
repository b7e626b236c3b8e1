#include "agent/agent_worker.h"

#include <pthread.h>

#include "agent/agent_handoff.h"
#include "common/clk.h"
#include "common/err.h"

struct AgentWorker
{
  AgentWorkerOptions options;
  AgentHandoff *orders; /**< AgentOrder */
  pthread_t thread;
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

/* Reads the clock right before the call, as the process may have been paused since the order. */
static gboolean
lease_left (const AgentOrder *order, int64_t *left_ms, GError **error)
{
  *left_ms = (order->lease_end_us - clk_now_us ()) / CLK_US_PER_MS;
  if (*left_ms > 0)
    return TRUE;
  err_set (error, ERR_NO_LEASE, "the lease expired before the order was sent");
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

  while (!agent_handoff_is_closed (worker->orders))
    {
      AgentOrder *order = agent_handoff_pop (worker->orders, MAX (due_us - clk_now_us (), 0));
      if (order != NULL)
        {
          run_order (client, order);
          worker->options.on_result (worker->options.ctx, order);
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
  int rc;

  worker->options = *options;
  worker->orders = agent_handoff_new (AGENT_ORDERS_MAX);
  rc = pthread_create (&worker->thread, NULL, run_worker, worker);
  g_assert (rc == 0);
  return worker;
}

static void
free_order (void *data)
{
  agent_order_free (data);
}

void
agent_worker_free (AgentWorker *worker)
{
  if (worker == NULL)
    return;
  agent_handoff_close (worker->orders);
  (void) pthread_join (worker->thread, NULL);
  agent_handoff_free (worker->orders, free_order);
  g_free (worker);
}

gboolean
agent_worker_push (AgentWorker *worker, AgentOrder *order)
{
  return agent_handoff_push (worker->orders, order);
}
