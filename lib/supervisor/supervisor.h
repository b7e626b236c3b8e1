/**
 * @file supervisor.h
 * Worker supervisor: carries out the owner's orders, extends the worker's lease no further than the
 * owner's grants allow, and reports what runs and what has ended.
 *
 * All effects go through callbacks; the module itself has no I/O and no clock.
 */
#pragma once

#include "batch/ledger.pb-c.h"
#include "batch/worker.h"
#include "platform/runner.h"

G_BEGIN_DECLS

typedef struct Supervisor Supervisor;

typedef struct
{
  uint64_t boot;           /**< random for each process */
  int64_t token;           /**< first fencing token; higher than those of earlier agent processes */
  int64_t grant_ms;        /**< duration of a grant, from the time of the report that it echoes */
  int64_t poll_wait_ms;    /**< how long a poll waits for a run to end */
  int64_t call_timeout_ms; /**< timeout of a call to the worker, without the wait of a poll */
  int64_t (*now_us) (void *ctx);
  void (*start) (void *ctx,
                 const RunnerTarget *target,
                 const RunnerStart *start,
                 RunnerDone done,
                 void *done_ctx);
  void (*stop) (void *ctx,
                const RunnerTarget *target,
                const char *task,
                int64_t run,
                RunnerDone done,
                void *done_ctx);
  void (*set_cpu_limit) (void *ctx,
                         const RunnerTarget *target,
                         const char *task,
                         int64_t run,
                         int64_t percent,
                         RunnerDone done,
                         void *done_ctx);
  void (*poll) (void *ctx,
                const RunnerTarget *target,
                const RunnerPoll *request,
                RunnerDone done,
                void *done_ctx);
  /** Called on a change that the owner acts on: an end, a refusal, a new incarnation. */
  void (*changed) (void *ctx);
  /** Logs a decision. */
  void (*log) (void *ctx, const char *event, const char *text);
  void *ctx;
} SupervisorOptions;

Supervisor *supervisor_new (const SupervisorOptions *options);
/** Call it after the client that carries its calls was freed. NULL is allowed. */
void supervisor_free (Supervisor *supervisor);

/** Handles a report of the worker about itself; takes ownership of @p info. */
void supervisor_handle_info (Supervisor *supervisor, WorkerInfo *info);
/** Handles the message of the worker @p id that it is shutting down. */
void supervisor_worker_left (Supervisor *supervisor, const char *id);
/** Handles orders of an owner; FALSE if they are outdated: another owner, or a newer message, came
 * before them. */
gboolean supervisor_handle_orders (Supervisor *supervisor, const Batch__Orders *orders);
/** Starts the next poll when one is due, and repeats stops. Call it about every 100 ms. */
void supervisor_tick (Supervisor *supervisor);

/**
 * Builds the report for the owner. It holds the changes since the newest report that the owner
 * applied, or everything if it applied none or #SUPERVISOR_FULL_REPORT_MS have passed. NULL while
 * the state of the worker is not known. Free with batch__report__free_unpacked().
 */
Batch__Report *supervisor_report (Supervisor *supervisor);

/** Interval of full reports, which correct any difference between owner and agent. */
#define SUPERVISOR_FULL_REPORT_MS 4000

/** Whether there is a worker that answers. */
gboolean supervisor_is_live (const Supervisor *supervisor);

/** Marks later reports as those of a process that is shutting down. */
void supervisor_leave (Supervisor *supervisor);

G_END_DECLS
