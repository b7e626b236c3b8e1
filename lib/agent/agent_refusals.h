/**
 * @file agent_refusals.h
 * Ids of the last requests that the agent refused as not run: a late duplicate is refused again.
 *
 * For repeatable requests, which have no row in the table of attempts. The oldest id is forgotten
 * at the bound. Pure.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"

G_BEGIN_DECLS

typedef struct AgentRefusals AgentRefusals;

AgentRefusals *agent_refusals_new (uint32_t max);
void agent_refusals_free (AgentRefusals *refusals);

/** Remembers attempt @p attempt of request @p id. */
void agent_refusals_add (AgentRefusals *refusals, IdsId id, uint32_t attempt);

gboolean agent_refusals_has (const AgentRefusals *refusals, IdsId id, uint32_t attempt);

G_END_DECLS
