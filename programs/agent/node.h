/**
 * @file node.h
 * The agent's loop: all its state belongs to the wire's loop thread, which the other threads reach
 * by posts. What is decided is in lib/agent; here are its inputs and outputs.
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
#include "endpoint.h"
#include "settings.h"
#include "wire/wire.h"
#include "worker.h"

G_BEGIN_DECLS

typedef struct
{
  const AgentSettings *settings;
  MetRegistry *metrics;
  Wire *wire;
  Endpoint *endpoint; /**< NULL for none */
  Worker *worker;     /**< NULL for none */
  uint64_t incarnation;
  /** Below: the loop thread's. */
  uint64_t seq; /**< of the newest heartbeat */
  int64_t opened_us;
  int64_t beat_us;     /**< when the newest heartbeat left */
  gboolean has_listed; /**< the worker's tasks are known, or can't be running any more */
  gboolean endpoint_healthy;
  uint64_t config_version;
  uint64_t completed;
  uint32_t extends_waiting; /**< extensions handed to the worker and not yet answered */
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
  /** Read by other threads. */
  atomic_bool is_ready;
  atomic_bool is_done;
} Node;

/** Makes the tables, connects to the entries and starts all threads. NULL with the reason. */
Node *node_open (const AgentSettings *settings, MetRegistry *metrics, GError **error);

/** Ends all threads and frees all. NULL is allowed. */
void node_close (Node *node);

/** Starts leaving; from any thread. */
void node_leave (Node *node);

/** Counts something refused, by reason. */
void node_count_refused (Node *node, ErrKind kind);

/** Adds one to a counter. */
void node_count (Node *node, const char *name, const char *help);

/** Posts to the loop from another thread; waits while its queue is full. */
void node_post (Node *node, void (*function) (void *ctx, void *data), void *data);

/** Sends to an entry and notes it for the receipt. */
gboolean node_send (Node *node, const char *peer, const Wire__Envelope *envelope);

/** Sends a heartbeat to every entry now. */
void node_beat (Node *node, int64_t now_us);

/** requests.c: requests to the endpoint. */
void requests_take (Node *node, const char *peer, const Wire__Request *request);
void requests_query (Node *node, const char *peer, const Wire__AttemptQuery *query);
void requests_pump (Node *node, int64_t now_us);
void requests_on_done (void *ctx, EndpointCall *call);

/** tasks.c: commands for tasks and what the worker says. */
void tasks_command (Node *node, const char *peer, const Wire__TaskCommand *command);
void tasks_acknowledge (Node *node, const Wire__TaskAck *ack, int64_t now_us);
void tasks_extend_all (Node *node, int64_t now_us);
void tasks_end_lapsed (Node *node, int64_t now_us);
void tasks_end_all (Node *node);
void tasks_on_result (void *ctx, WorkerOrder *order);
void tasks_on_report (void *ctx, WorkerReport *report);

G_END_DECLS
