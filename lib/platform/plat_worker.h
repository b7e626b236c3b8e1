/**
 * @file plat_worker.h
 * Client of one worker's task interface. docs/PLATFORM.md has the protocol.
 *
 * A client belongs to one thread; its calls block up to its time-outs. A start carries the end of
 * the lease as a duration; the worker itself checkpoints and stops a task whose lease has lapsed.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"

G_BEGIN_DECLS

typedef struct PlatWorker PlatWorker;

typedef struct
{
  const char *host;
  uint16_t port;
  int64_t connect_ms;
  int64_t read_ms;
} PlatWorkerOptions;

typedef enum
{
  PLAT_TASK_RUNNING,
  PLAT_TASK_DONE,
  PLAT_TASK_FAILED,
  PLAT_TASK_CHECKPOINTED,
  PLAT_TASK_STOPPED,
} PlatTaskState;

typedef struct
{
  uint64_t job;
  uint32_t index;
  uint32_t attempt;
  uint32_t shard;
  uint64_t epoch; /**< the worker refuses one lower than it has seen for the shard */
  const char *job_name;
  const char *batch_class;
  DocSize reserved;
  int64_t run_ms;
  int64_t progress_ms;
  const char *checkpoint; /**< NULL for none */
  int64_t lease_left_ms;  /**< a start is void when it arrives with nothing left */
  int64_t sent_wall_ms;   /**< a delayed start is judged by it as well */
} PlatStart;

/** One attempt as the worker knows it; texts are owned by the array. */
typedef struct
{
  uint64_t job;
  uint32_t index;
  uint32_t attempt;
  uint32_t shard;
  uint64_t epoch;
  PlatTaskState state;
  int64_t progress_ms;
  char *checkpoint;
  char *error;
  DocSize reserved;
  DocSize used;        /**< lagging */
  int64_t used_age_ms; /**< how old the usage is */
} PlatTask;

PlatWorker *plat_worker_new (const PlatWorkerOptions *options);
void plat_worker_free (PlatWorker *worker);

/** Reads the instance's capacity. */
gboolean plat_worker_capacity (PlatWorker *worker, DocSize *capacity, GError **error);

/**
 * Starts an attempt; idempotent by (job, index, attempt). #ERR_NO_LEASE, #ERR_STALE_EPOCH,
 * #ERR_NO_CAPACITY, #ERR_FENCED and #ERR_REFUSED: not started; #ERR_TIMEOUT, #ERR_PROTOCOL: may be.
 */
gboolean plat_worker_start (PlatWorker *worker, const PlatStart *start, GError **error);

/** Checkpoints and stops; idempotent. An attempt never seen is fenced. */
gboolean plat_worker_checkpoint (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error);

/** Stops without a checkpoint; idempotent. An attempt never seen is fenced. */
gboolean plat_worker_stop (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error);

gboolean plat_worker_throttle (PlatWorker *worker,
                               uint64_t job,
                               uint32_t index,
                               uint32_t attempt,
                               uint32_t permille,
                               GError **error);

/** Extends the lease of every running attempt that was started for shard @p shard. */
gboolean plat_worker_extend (
    PlatWorker *worker, uint32_t shard, uint64_t epoch, int64_t lease_left_ms, GError **error);

/** Lists attempts (PlatTask): running ones, and ended ones not yet forgotten. Caller frees. */
GPtrArray *plat_worker_list (PlatWorker *worker, GError **error);

/** Lets the worker forget an ended attempt. */
gboolean plat_worker_forget (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error);

G_END_DECLS
