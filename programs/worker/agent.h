/**
 * @file agent.h
 * The agent of one worker: the server for its reports, the link to the owner, calls to the worker.
 */
#pragma once

#include "node/node.h"

G_BEGIN_DECLS

typedef struct Agent Agent;

/** Creates an agent; NULL if an address is in use. @p settings must outlive it. */
Agent *agent_new (const NodeSettings *settings, GError **error);
/** Runs the main loop until the process has left and may exit. */
void agent_run (Agent *agent);
void agent_free (Agent *agent);

G_END_DECLS
