/**
 * @file agent_announce.h
 * Builds heartbeats and task status messages from the agent's tables.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_admission.h"
#include "agent/agent_latency.h"
#include "agent/agent_lease.h"
#include "agent/agent_queue.h"
#include "agent/agent_tasks.h"
#include "common/lab.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

typedef struct AgentAnnounce AgentAnnounce;

/** Input of a heartbeat; all pointers are borrowed. */
typedef struct
{
  const char *name;
  uint64_t incarnation;
  uint64_t seq;
  int64_t now_us;
  const char *data_centre;
  const char *rack;
  const LabSet *labels;
  gboolean leaving;
  uint64_t config_version;
  const char *service; /**< NULL or "" for no endpoint */
  gboolean service_healthy;
  const AgentQueue *queue;
  uint64_t completed;
  AgentQuantiles quantiles;
  const AgentAdmission *admission;
  const AgentLeases *leases;
  const AgentTasks *tasks;
  int64_t previous_us; /**< usage measured before this time was in the last heartbeat */
  gboolean full;       /**< includes the reservation of each task, which doesn't change */
} AgentAnnounceSource;

/** Builds a heartbeat; valid while the source's tables are unchanged. */
AgentAnnounce *agent_announce_new (const AgentAnnounceSource *source);
void agent_announce_free (AgentAnnounce *announce);

/** The message, owned by @p announce. */
const Wire__Envelope *agent_announce_envelope (const AgentAnnounce *announce);

/**
 * Fills @p status from @p task, without the batch class, which the owner knows from the job. Usage
 * is included only when it was measured since @p previous_us, the reservation only when @p full.
 * @p used and @p reserved are storage of the caller, to which @p status may point.
 */
void agent_announce_task (const AgentTask *task,
                          int64_t now_us,
                          int64_t previous_us,
                          gboolean full,
                          Wire__TaskStatus *status,
                          Wire__Size *used,
                          Wire__Size *reserved);

G_END_DECLS
