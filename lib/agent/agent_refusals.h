/**
 * @file agent_refusals.h
 * Ids of recent requests that the agent refused as not run, so that a late duplicate is refused
 * too.
 *
 * Used for repeatable requests, which have no row in the table of attempts. When the set is full,
 * the oldest id is forgotten. Does no I/O.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"

G_BEGIN_DECLS

typedef struct AgentRefusals AgentRefusals;

AgentRefusals *agent_refusals_new (uint32_t max);
void agent_refusals_free (AgentRefusals *refusals);

/** Adds attempt @p attempt of request @p id. */
void agent_refusals_add (AgentRefusals *refusals, IdsId id, uint32_t attempt);

gboolean agent_refusals_has (const AgentRefusals *refusals, IdsId id, uint32_t attempt);

G_END_DECLS
