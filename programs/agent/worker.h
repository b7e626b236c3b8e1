/**
 * @file worker.h
 * The one thread that calls the worker: orders in turn, and a list of its tasks now and then.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_tasks.h"
#include "platform/plat_worker.h"

G_BEGIN_DECLS

/** Orders that may wait for the thread. */
#define WORKER_ORDERS_MAX 4096

typedef struct Worker Worker;

typedef enum
{
  WORKER_START,
  WORKER_CHECKPOINT,
  WORKER_STOP,
  WORKER_THROTTLE,
  WORKER_EXTEND,
  WORKER_FORGET,
} WorkerVerb;

/** One order and what became of it; freed with worker_order_free(). */
typedef struct
{
  WorkerVerb verb;
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
} WorkerOrder;

/** One list of the worker's tasks, made after all orders before it; freed by the receiver. */
typedef struct
{
  GPtrArray *tasks; /**< PlatTask; NULL when the worker did not answer */
  gboolean has_capacity;
  DocSize capacity;
  int64_t asked_us;
} WorkerReport;

typedef struct
{
  PlatWorkerOptions client;
  int64_t poll_ms;
  /** Both are called on the worker's thread and are handed what they get. */
  void (*on_result) (void *ctx, WorkerOrder *order);
  void (*on_report) (void *ctx, WorkerReport *report);
  void *ctx;
} WorkerOptions;

Worker *worker_new (const WorkerOptions *options);

/** Ends the thread after its present call; orders that wait are dropped. NULL is allowed. */
void worker_free (Worker *worker);

/** Hands an order over; FALSE when too many wait, and the caller keeps it. */
gboolean worker_push (Worker *worker, WorkerOrder *order);

void worker_order_free (WorkerOrder *order);
void worker_report_free (WorkerReport *report);

G_END_DECLS
