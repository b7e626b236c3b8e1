/**
 * @file agent.h
 * The process beside a worker: its server, its link to the owner, its calls to the worker.
 */
#pragma once

#include "node/node.h"

G_BEGIN_DECLS

typedef struct Agent Agent;

/** Opens everything; NULL when an address is taken. Settings must outlive it. */
Agent *agent_new (const NodeSettings *settings, GError **error);
/** Runs until the process may end. */
void agent_run (Agent *agent);
void agent_free (Agent *agent);

G_END_DECLS
