/**
 * @file agent_endpoint.h
 * Thread pool that calls the endpoint beside the agent, and a thread that checks its health.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_call.h"

G_BEGIN_DECLS

typedef struct AgentEndpoint AgentEndpoint;

typedef struct
{
  AgentCallerOptions caller;
  uint32_t threads;
  int64_t health_ms;
  /** Called on a pool thread; takes ownership of the call. */
  void (*on_done) (void *ctx, AgentCall *call);
  /** Called on the health thread after each check. */
  void (*on_health) (void *ctx, gboolean healthy);
  void *ctx;
} AgentEndpointOptions;

/** Starts the threads. */
AgentEndpoint *agent_endpoint_new (const AgentEndpointOptions *options);

/** Runs the queued calls, then ends the threads. NULL is allowed. */
void agent_endpoint_free (AgentEndpoint *endpoint);

/** Queues a call for the pool, which owns it until on_done. */
void agent_endpoint_push (AgentEndpoint *endpoint, AgentCall *call);

G_END_DECLS
