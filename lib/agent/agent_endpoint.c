#include "agent/agent_endpoint.h"

#include <pthread.h>

#include "agent/agent_handoff.h"
#include "common/clk.h"

#define FOREVER_US (-1)

struct AgentEndpoint
{
  AgentEndpointOptions options;
  AgentHandoff *calls; /**< AgentCall */
  AgentHandoff *stop;  /**< always empty; closed to end the health thread */
  pthread_t *threads;
  pthread_t health_thread;
};

static void *
run_calls (void *data)
{
  AgentEndpoint *endpoint = data;
  AgentCaller *caller = agent_caller_new (&endpoint->options.caller);
  AgentCall *call;

  while ((call = agent_handoff_pop (endpoint->calls, FOREVER_US)) != NULL)
    {
      agent_caller_run (caller, call);
      endpoint->options.on_done (endpoint->options.ctx, call);
    }
  agent_caller_free (caller);
  return NULL;
}

static void *
run_health (void *data)
{
  AgentEndpoint *endpoint = data;
  AgentCaller *caller = agent_caller_new (&endpoint->options.caller);

  while (!agent_handoff_is_closed (endpoint->stop))
    {
      endpoint->options.on_health (endpoint->options.ctx, agent_caller_check (caller));
      (void) agent_handoff_pop (endpoint->stop, endpoint->options.health_ms * CLK_US_PER_MS);
    }
  agent_caller_free (caller);
  return NULL;
}

AgentEndpoint *
agent_endpoint_new (const AgentEndpointOptions *options)
{
  AgentEndpoint *endpoint = g_new0 (AgentEndpoint, 1);
  int rc;

  endpoint->options = *options;
  endpoint->calls = agent_handoff_new (G_MAXUINT32);
  endpoint->stop = agent_handoff_new (0);
  endpoint->threads = g_new0 (pthread_t, options->threads);
  for (uint32_t i = 0; i < options->threads; i++)
    {
      rc = pthread_create (&endpoint->threads[i], NULL, run_calls, endpoint);
      g_assert (rc == 0);
    }
  rc = pthread_create (&endpoint->health_thread, NULL, run_health, endpoint);
  g_assert (rc == 0);
  return endpoint;
}

void
agent_endpoint_free (AgentEndpoint *endpoint)
{
  if (endpoint == NULL)
    return;
  agent_handoff_close (endpoint->calls);
  agent_handoff_close (endpoint->stop);
  for (uint32_t i = 0; i < endpoint->options.threads; i++)
    (void) pthread_join (endpoint->threads[i], NULL);
  (void) pthread_join (endpoint->health_thread, NULL);
  agent_handoff_free (endpoint->calls, NULL);
  agent_handoff_free (endpoint->stop, NULL);
  g_free (endpoint->threads);
  g_free (endpoint);
}

void
agent_endpoint_push (AgentEndpoint *endpoint, AgentCall *call)
{
  gboolean pushed = agent_handoff_push (endpoint->calls, call);

  g_assert (pushed);
}
