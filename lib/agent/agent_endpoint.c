#include "agent/agent_endpoint.h"

#include "common/clk.h"

struct AgentEndpoint
{
  AgentEndpointOptions options;
  GAsyncQueue *calls; /**< AgentCall, or this object itself to end a thread */
  GPtrArray *threads;
  GThread *health_thread;
  GMutex mutex;
  GCond stopping;
  gboolean is_stopping; /**< guarded by mutex */
};

static void *
run_calls (void *data)
{
  AgentEndpoint *endpoint = data;
  AgentCaller *caller = agent_caller_new (&endpoint->options.caller);
  void *item;

  while ((item = g_async_queue_pop (endpoint->calls)) != endpoint)
    {
      AgentCall *call = item;
      agent_caller_run (caller, call);
      endpoint->options.on_done (endpoint->options.ctx, call);
    }
  agent_caller_free (caller);
  return NULL;
}

static gboolean
wait_health (AgentEndpoint *endpoint)
{
  int64_t end_us = g_get_monotonic_time () + endpoint->options.health_ms * CLK_US_PER_MS;
  gboolean go_on;

  g_mutex_lock (&endpoint->mutex);
  while (!endpoint->is_stopping
         && g_cond_wait_until (&endpoint->stopping, &endpoint->mutex, end_us))
    continue;
  go_on = !endpoint->is_stopping;
  g_mutex_unlock (&endpoint->mutex);
  return go_on;
}

static void *
run_health (void *data)
{
  AgentEndpoint *endpoint = data;
  AgentCaller *caller = agent_caller_new (&endpoint->options.caller);

  do
    endpoint->options.on_health (endpoint->options.ctx, agent_caller_check (caller));
  while (wait_health (endpoint));
  agent_caller_free (caller);
  return NULL;
}

AgentEndpoint *
agent_endpoint_new (const AgentEndpointOptions *options)
{
  AgentEndpoint *endpoint = g_new0 (AgentEndpoint, 1);

  endpoint->options = *options;
  endpoint->calls = g_async_queue_new ();
  endpoint->threads = g_ptr_array_new ();
  g_mutex_init (&endpoint->mutex);
  g_cond_init (&endpoint->stopping);
  for (uint32_t i = 0; i < options->threads; i++)
    g_ptr_array_add (endpoint->threads, g_thread_new ("endpoint", run_calls, endpoint));
  endpoint->health_thread = g_thread_new ("health", run_health, endpoint);
  return endpoint;
}

void
agent_endpoint_free (AgentEndpoint *endpoint)
{
  if (endpoint == NULL)
    return;
  g_mutex_lock (&endpoint->mutex);
  endpoint->is_stopping = TRUE;
  g_cond_broadcast (&endpoint->stopping);
  g_mutex_unlock (&endpoint->mutex);
  for (guint i = 0; i < endpoint->threads->len; i++)
    g_async_queue_push (endpoint->calls, endpoint);
  for (guint i = 0; i < endpoint->threads->len; i++)
    (void) g_thread_join (g_ptr_array_index (endpoint->threads, i));
  (void) g_thread_join (endpoint->health_thread);
  g_ptr_array_unref (endpoint->threads);
  g_async_queue_unref (endpoint->calls);
  g_cond_clear (&endpoint->stopping);
  g_mutex_clear (&endpoint->mutex);
  g_free (endpoint);
}

void
agent_endpoint_push (AgentEndpoint *endpoint, AgentCall *call)
{
  g_async_queue_push (endpoint->calls, call);
}
