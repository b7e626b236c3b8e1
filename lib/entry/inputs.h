/**
 * @file inputs.h
 * A batch of inputs for one tick of the core, with the texts and labels that they name.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/core.h"
#include "entry/members.h"

G_BEGIN_DECLS

/** Owns all that its rows name. */
typedef struct
{
  GArray *rows; /**< CoreInput */
  GStringChunk *texts;
  GPtrArray *labels; /**< LabSet */
  GPtrArray *arrays; /**< arrays of texts */
} Inputs;

Inputs *inputs_new (void);
void inputs_free (Inputs *inputs);

/** Copies @p text for as long as the batch lives; NULL stays NULL. */
const char *inputs_keep (Inputs *inputs, const char *text);

/** An agent as it announced itself. */
void inputs_worker (Inputs *inputs, const MembersAgent *agent);

/** #CORE_IN_WORKER_LEFT or #CORE_IN_WORKER_LOST. */
void inputs_worker_end (Inputs *inputs, const char *agent, CoreInputType type);

/** Load and tail of each endpoint beside @p agent. */
void inputs_services (Inputs *inputs, const MembersAgent *agent);

/** An event of a task without a worker; returns the row for more. */
CoreInput *inputs_task (Inputs *inputs, CoreTaskKey task, uint32_t attempt, CoreTaskEvent event);

/** Digest of what inputs_worker() says, to tell whether it changed. */
uint64_t inputs_signature (const MembersAgent *agent);

G_END_DECLS
