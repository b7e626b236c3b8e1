/**
 * @file plat_worker.h
 * Client of one worker's task interface. docs/PLATFORM.md has the protocol.
 *
 * A client must be used from one thread only; its calls block for up to its time-outs. A start
 * request carries the remaining time of the lease. The worker itself checkpoints and stops a task
 * whose lease has expired.
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
  uint64_t epoch; /**< the worker refuses an epoch below the highest one received for the shard */
  const char *job_name;
  const char *batch_class;
  DocSize reserved;
  int64_t run_ms;
  int64_t progress_ms;
  const char *checkpoint; /**< NULL for none */
  int64_t lease_left_ms;  /**< the worker refuses a start that arrives with no time left */
  int64_t sent_wall_ms;   /**< a start received after sent_wall_ms + lease_left_ms is refused too */
} PlatStart;

/** One attempt as reported by the worker; strings are owned by the array. */
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
  DocSize used;        /**< a sample that lags behind */
  int64_t used_age_ms; /**< age of used */
} PlatTask;

PlatWorker *plat_worker_new (const PlatWorkerOptions *options);
void plat_worker_free (PlatWorker *worker);

/** Reads the instance's capacity. */
gboolean plat_worker_capacity (PlatWorker *worker, DocSize *capacity, GError **error);

/**
 * Starts an attempt; idempotent by (job, index, attempt). #ERR_NO_LEASE, #ERR_STALE_EPOCH,
 * #ERR_NO_CAPACITY, #ERR_FENCED and #ERR_REFUSED: not started; #ERR_TIMEOUT and #ERR_PROTOCOL: may
 * have started.
 */
gboolean plat_worker_start (PlatWorker *worker, const PlatStart *start, GError **error);

/** Checkpoints and stops an attempt; idempotent. An attempt unknown to the worker is fenced. */
gboolean plat_worker_checkpoint (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error);

/** Stops an attempt without a checkpoint; idempotent. An unknown attempt is fenced. */
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

/** Lists attempts (PlatTask): running ones, and ended ones not yet discarded. Caller frees. */
GPtrArray *plat_worker_list (PlatWorker *worker, GError **error);

/** Makes the worker discard its record of an ended attempt. */
gboolean plat_worker_forget (
    PlatWorker *worker, uint64_t job, uint32_t index, uint32_t attempt, GError **error);

G_END_DECLS
