/**
 * @file agent_endpoint.h
 * The pool of threads that call the endpoint beside the agent, and one that checks its health.
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
  /** Called on a thread of the pool; the call is handed back. */
  void (*on_done) (void *ctx, AgentCall *call);
  /** Called on a thread of the pool after each check. */
  void (*on_health) (void *ctx, gboolean healthy);
  void *ctx;
} AgentEndpointOptions;

/** Starts the threads. */
AgentEndpoint *agent_endpoint_new (const AgentEndpointOptions *options);

/** Ends the threads after the calls that wait. NULL is allowed. */
void agent_endpoint_free (AgentEndpoint *endpoint);

/** Hands a call to the pool, which owns it until on_done. */
void agent_endpoint_push (AgentEndpoint *endpoint, AgentCall *call);

G_END_DECLS
