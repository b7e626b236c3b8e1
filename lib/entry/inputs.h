/**
 * @file inputs.h
 * Inputs for one tick of the core, with the strings and labels that they refer to.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/core.h"
#include "entry/members.h"

G_BEGIN_DECLS

/** Owns all data that its rows refer to. */
typedef struct
{
  GArray *rows; /**< CoreInput */
  GStringChunk *texts;
  GPtrArray *labels; /**< LabSet */
  GPtrArray *arrays; /**< arrays of strings */
} Inputs;

Inputs *inputs_new (void);
void inputs_free (Inputs *inputs);

/** Copies @p text into the batch, which owns the copy. NULL for NULL. */
const char *inputs_keep (Inputs *inputs, const char *text);

/** Adds the description of an agent from its newest heartbeat. */
void inputs_worker (Inputs *inputs, const MembersAgent *agent);

/** Adds the end of a worker; @p type is #CORE_IN_WORKER_LEFT or #CORE_IN_WORKER_LOST. */
void inputs_worker_end (Inputs *inputs, const char *agent, CoreInputType type);

/** Adds the load and tail latency of each endpoint at @p agent. */
void inputs_services (Inputs *inputs, const MembersAgent *agent);

/** Adds an event of a task. Returns the row, to which the user may add a worker. */
CoreInput *inputs_task (Inputs *inputs, CoreTaskKey task, uint32_t attempt, CoreTaskEvent event);

/** Digest of the fields set by inputs_worker(), to detect changes. */
uint64_t inputs_signature (const MembersAgent *agent);

G_END_DECLS
