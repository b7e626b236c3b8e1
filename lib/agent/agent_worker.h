/**
 * @file agent_worker.h
 * The thread that calls the worker: it runs orders in sequence and polls the list of tasks.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_tasks.h"
#include "platform/plat_worker.h"

G_BEGIN_DECLS

/** Maximum number of queued orders. */
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

/** One order and its result; freed with agent_order_free(). */
typedef struct
{
  AgentVerb verb;
  AgentTaskId id;
  uint32_t shard;
  uint64_t epoch;
  int64_t lease_end_us; /**< a start or an extension is not sent after this time */
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

/** The worker's tasks, listed after all earlier orders; freed by the receiver. */
typedef struct
{
  GPtrArray *tasks; /**< of PlatTask; NULL when the worker did not answer */
  gboolean has_capacity;
  DocSize capacity;
  int64_t asked_us;
} AgentReport;

typedef struct
{
  PlatWorkerOptions client;
  int64_t poll_ms;
  /** Both callbacks run on the worker thread and take ownership of their argument. */
  void (*on_result) (void *ctx, AgentOrder *order);
  void (*on_report) (void *ctx, AgentReport *report);
  void *ctx;
} AgentWorkerOptions;

AgentWorker *agent_worker_new (const AgentWorkerOptions *options);

/** Ends the thread after its current call and drops queued orders. NULL is allowed. */
void agent_worker_free (AgentWorker *worker);

/** Queues an order and takes ownership of it; FALSE when the queue is full: the caller keeps it. */
gboolean agent_worker_push (AgentWorker *worker, AgentOrder *order);

void agent_order_free (AgentOrder *order);
void agent_report_free (AgentReport *report);

G_END_DECLS
