/**
 * @file agent_admission.h
 * Admits reservations: the sum for the service and all tasks never exceeds the processors, memory
 * or accelerators of the instance. Does no I/O.
 */
#pragma once

#include <glib.h>

#include "common/doc.h"

G_BEGIN_DECLS

typedef struct AgentAdmission AgentAdmission;

AgentAdmission *agent_admission_new (const DocSize *capacity);
void agent_admission_free (AgentAdmission *admission);

/** Sets the capacity. While reservations exceed a lowered capacity, nothing is admitted. */
void agent_admission_set_capacity (AgentAdmission *admission, const DocSize *capacity);

/**
 * Sets the reservation of the service beside the agent. The share that doesn't fit beside the
 * running tasks is reserved as tasks end, ahead of any new task.
 */
void agent_admission_set_service (AgentAdmission *admission, const DocSize *wanted);

/** Reserves @p size for a task; FALSE when it doesn't fit or is negative. */
gboolean agent_admission_reserve (AgentAdmission *admission, const DocSize *size);

/** Releases the reservation of a task. */
void agent_admission_release (AgentAdmission *admission, const DocSize *size);

DocSize agent_admission_capacity (const AgentAdmission *admission);

/** Sum of the service's and all tasks' reservations. */
DocSize agent_admission_reserved (const AgentAdmission *admission);

G_END_DECLS
