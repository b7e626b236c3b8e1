/**
 * @file agent_node.h
 * The agent's event loop. All state belongs to the wire's loop thread; other threads post to it.
 * The decision modules (see README.md) hold the rules; this module does their input and output.
 */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "agent/agent_admission.h"
#include "agent/agent_attempts.h"
#include "agent/agent_drain.h"
#include "agent/agent_entries.h"
#include "agent/agent_latency.h"
#include "agent/agent_lease.h"
#include "agent/agent_queue.h"
#include "agent/agent_refusals.h"
#include "agent/agent_tasks.h"
#include "common/met.h"
#include "agent/agent_endpoint.h"
#include "agent/agent_settings.h"
#include "wire/wire.h"
#include "agent/agent_worker.h"

G_BEGIN_DECLS

typedef struct
{
  const AgentSettings *settings;
  MetRegistry *metrics;
  Wire *wire;
  AgentEndpoint *endpoint; /**< NULL for none */
  AgentWorker *worker;     /**< NULL for none */
  uint64_t incarnation;
  /** The following fields belong to the loop thread. */
  uint64_t seq; /**< number of the newest heartbeat */
  int64_t opened_us;
  int64_t last_heartbeat_us; /**< when the newest heartbeat was sent */
  gboolean has_worker_tasks; /**< the worker's tasks are known, or their leases have expired */
  gboolean endpoint_healthy;
  gboolean full_heartbeat_due; /**< the next heartbeat includes fields that don't change */
  uint64_t config_version;
  uint64_t completed;
  uint32_t extensions_pending; /**< lease extensions queued for the worker, not yet answered */
  AgentAdmission *admission;
  AgentLeases *leases;
  AgentTasks *tasks;
  AgentAttempts *attempts;
  AgentRefusals *refusals;
  AgentQueue *queue;
  AgentEntries *entries;
  AgentDrain drain;
  AgentLatency latency;
  MetHistogram *request_us;
  /** The following fields are read by other threads. */
  atomic_bool is_ready;
  atomic_bool is_done;
} AgentNode;

/** Creates the tables, connects to the entries and starts all threads. NULL with @p error set. */
AgentNode *agent_node_open (const AgentSettings *settings, MetRegistry *metrics, GError **error);

/** Ends all threads and frees the node. NULL is allowed. */
void agent_node_close (AgentNode *node);

/** Starts leaving; may be called from any thread. */
void agent_node_leave (AgentNode *node);

/** Increments the counter of refusals, by reason. */
void agent_node_count_refused (AgentNode *node, ErrKind kind);

/** Increments a counter. */
void agent_node_count (AgentNode *node, const char *name, const char *help);

/** Posts to the loop from another thread; blocks while the loop's queue is full. */
void agent_node_post (AgentNode *node, void (*function) (void *ctx, void *data), void *data);

/** Sends a message to an entry and records it, to track its receipt. */
gboolean agent_node_send (AgentNode *node, const char *peer, const Wire__Envelope *envelope);

/** Sends a heartbeat to every entry. */
void agent_node_send_heartbeat (AgentNode *node, int64_t now_us);

/** agent_requests.c: requests to the endpoint. */
void agent_requests_receive (AgentNode *node, const char *peer, const Wire__Request *request);
void agent_requests_query (AgentNode *node, const char *peer, const Wire__AttemptQuery *query);
void agent_requests_dispatch (AgentNode *node, int64_t now_us);
void agent_requests_on_done (void *ctx, AgentCall *call);

/** agent_work.c: task commands, and the worker's results and reports. */
void agent_work_command (AgentNode *node, const char *peer, const Wire__TaskCommand *command);
void agent_work_acknowledge (AgentNode *node, const Wire__TaskAck *ack, int64_t now_us);
void agent_work_extend (AgentNode *node, int64_t now_us);
void agent_work_end_expired (AgentNode *node, int64_t now_us);
void agent_work_end_all (AgentNode *node);
void agent_work_on_result (void *ctx, AgentOrder *order);
void agent_work_on_report (void *ctx, AgentReport *report);

G_END_DECLS
