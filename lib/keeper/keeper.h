/**
 * @file keeper.h
 * The agent's side of a worker: carries out the owner's orders, prolongs the worker's lease no
 * further than the owner's grants allow, and reports what runs and what has ended.
 *
 * Effects go through callbacks; the keeper itself has no I/O and no clock.
 */
#pragma once

#include "batch/ledger.pb-c.h"
#include "batch/worker.h"
#include "platform/runner.h"

G_BEGIN_DECLS

typedef struct Keeper Keeper;

typedef struct
{
  uint64_t boot;           /**< random for each process */
  int64_t token;           /**< first fencing token; higher than those of earlier processes */
  int64_t grant_ms;        /**< a grant lasts this long from the report that it echoes */
  int64_t look_wait_ms;    /**< a look waits this long for an end */
  int64_t call_timeout_ms; /**< of a call to the worker */
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
  void (*pace) (void *ctx,
                const RunnerTarget *target,
                const char *task,
                int64_t run,
                int64_t percent,
                RunnerDone done,
                void *done_ctx);
  void (*look) (void *ctx,
                const RunnerTarget *target,
                const RunnerLook *look,
                RunnerDone done,
                void *done_ctx);
  /** Something changed on which the owner decides: an end, a refusal, another life. */
  void (*changed) (void *ctx);
  /** Notes a decision for the log. */
  void (*note) (void *ctx, const char *event, const char *text);
  void *ctx;
} KeeperOptions;

Keeper *keeper_new (const KeeperOptions *options);
/** To be called after the client of its calls was freed. NULL is allowed. */
void keeper_free (Keeper *keeper);

/** A report of the worker about itself; takes @p info. */
void keeper_take_info (Keeper *keeper, WorkerInfo *info);
/** The worker called @p id says that it ends. */
void keeper_worker_left (Keeper *keeper, const char *id);
/** Orders of an owner; FALSE if they come from one that was replaced. */
gboolean keeper_take_orders (Keeper *keeper, const Batch__Orders *orders);
/** Starts the next look when one is due, and repeats stops. Call it about every 100 ms. */
void keeper_tick (Keeper *keeper);

/**
 * Builds the report for the owner: what changed since the newest one that it applied, or all that
 * is known when it applied none, and every #KEEPER_WHOLE_MS. NULL while nothing certain can be
 * said. Free with batch__report__free_unpacked().
 */
Batch__Report *keeper_report (Keeper *keeper);

/** A whole report is made at least this often, so that no difference lasts. */
#define KEEPER_WHOLE_MS 4000

/** Whether there is a worker here that answers. */
gboolean keeper_is_live (const Keeper *keeper);

/** Says in reports that this process ends. */
void keeper_leave (Keeper *keeper);

G_END_DECLS
