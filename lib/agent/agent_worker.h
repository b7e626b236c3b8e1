/**
 * @file agent_worker.h
 * The one thread that calls the worker: orders in turn, and a list of its tasks now and then.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_tasks.h"
#include "platform/plat_worker.h"

G_BEGIN_DECLS

/** Orders that may wait for the thread. */
#define AGENT_ORDERS_MAX 4096

typedef struct AgentWorker AgentWorker;

typedef enum
{
  AGENT_VERB_START,
  AGENT_VERB_CHECKPOINT,
  AGENT_VERB_STOP,
  AGENT_VERB_THROTTLE,
  AGENT_VERB_EXTEND,
  AGENT_VERB_FORGET,
} AgentVerb;

/** One order and what became of it; freed with agent_order_free(). */
typedef struct
{
  AgentVerb verb;
  AgentTaskId id;
  uint32_t shard;
  uint64_t epoch;
  int64_t lease_end_us; /**< of a start or an extension: void from then on */
  char *job_name;
  char *batch_class;
  char *checkpoint;
  DocSize reserved;
  int64_t run_ms;
  int64_t progress_ms;
  uint32_t permille;
  /** Result. */
  gboolean ok;
  ErrKind kind;
  char *message;
} AgentOrder;

/** One list of the worker's tasks, made after all orders before it; freed by the receiver. */
typedef struct
{
  GPtrArray *tasks; /**< PlatTask; NULL when the worker did not answer */
  gboolean has_capacity;
  DocSize capacity;
  int64_t asked_us;
} AgentReport;

typedef struct
{
  PlatWorkerOptions client;
  int64_t poll_ms;
  /** Both are called on the worker's thread and are handed what they get. */
  void (*on_result) (void *ctx, AgentOrder *order);
  void (*on_report) (void *ctx, AgentReport *report);
  void *ctx;
} AgentWorkerOptions;

AgentWorker *agent_worker_new (const AgentWorkerOptions *options);

/** Ends the thread after its present call; orders that wait are dropped. NULL is allowed. */
void agent_worker_free (AgentWorker *worker);

/** Hands an order over; FALSE when too many wait, and the caller keeps it. */
gboolean agent_worker_push (AgentWorker *worker, AgentOrder *order);

void agent_order_free (AgentOrder *order);
void agent_report_free (AgentReport *report);

G_END_DECLS
