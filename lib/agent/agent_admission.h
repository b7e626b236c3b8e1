/**
 * @file agent_admission.h
 * Admission of reservations: the service's and all tasks' never add up to more than the instance
 * has of processors, memory or accelerators. Pure.
 */
#pragma once

#include <glib.h>

#include "common/doc.h"

G_BEGIN_DECLS

typedef struct AgentAdmission AgentAdmission;

AgentAdmission *agent_admission_new (const DocSize *capacity);
void agent_admission_free (AgentAdmission *admission);

/** Sets the capacity; nothing is admitted while reservations exceed a lower one. */
void agent_admission_set_capacity (AgentAdmission *admission, const DocSize *capacity);

/**
 * Sets what the service beside the agent needs. What doesn't fit beside the tasks is held back and
 * taken as tasks end, before any task gets it.
 */
void agent_admission_set_service (AgentAdmission *admission, const DocSize *wanted);

/** Reserves @p size for a task; FALSE when it doesn't fit or is negative. */
gboolean agent_admission_reserve (AgentAdmission *admission, const DocSize *size);

/** Gives back what a task had reserved. */
void agent_admission_release (AgentAdmission *admission, const DocSize *size);

DocSize agent_admission_capacity (const AgentAdmission *admission);

/** Sum of the service's and all tasks' reservations. */
DocSize agent_admission_reserved (const AgentAdmission *admission);

G_END_DECLS
