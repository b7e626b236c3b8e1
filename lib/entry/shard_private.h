/**
 * @file shard_private.h
 * Internal state of a shard; private to shard.c and shard_jobs.c.
 */
#pragma once

#include "entry/inputs.h"
#include "entry/shard.h"

G_BEGIN_DECLS

/* State of an agent as seen by this owner. */
typedef struct
{
  uint64_t incarnation;
  int64_t lease_until_us; /**< end of the last lease that this owner granted */
  uint64_t signature;     /**< digest of the worker's description that the core has */
  gboolean is_registered; /**< its newest heartbeat carried this owner's epoch */
  gboolean is_known;      /**< known to the core */
  gboolean has_left;      /**< reported to the core as leaving */
  gboolean is_replaced;   /**< the lease of an older incarnation may be live */
  int64_t replaced_until_us;
} AgentRow;

/* A start command that no report of the agent has confirmed yet. */
typedef struct
{
  CoreTaskKey task;
  uint32_t attempt;
  char *agent;
  Wire__TaskCommand command;
  Wire__Size reserved;
  char *batch_class;
  char *checkpoint;
  char *job_name;
  int64_t sent_us;
} StartRow;

/* A task that is older than this owner's claim and may run under its predecessor. */
typedef struct
{
  CoreTaskKey task;
  gboolean is_running; /**< reported as running by an agent; otherwise held by the core */
} HeldRow;

/* A job known to the core. */
typedef struct
{
  DocDocument *document;
  char *name;
  gboolean is_cancelled;
  GArray *checkpoints; /**< TaskProgress by index */
} JobRow;

typedef struct
{
  char *checkpoint;
  int64_t progress_ms;
  uint32_t newest_attempt; /**< newest attempt that was started by this owner */
} TaskProgress;

struct Shard
{
  ShardOptions options;
  ShardOps ops;
  Core *core;
  Reports *reports;
  GHashTable *agents;      /**< name -> AgentRow */
  GHashTable *jobs;        /**< id -> JobRow */
  GHashTable *starts;      /**< CoreTaskKey -> StartRow */
  int64_t certain_us;      /**< no other entry owned the shard up to this time */
  gboolean is_reconciling; /**< the predecessor's leases have expired, but first leases of this
                           owner may be live at agents that have not registered */
  GHashTable *held; /**< CoreTaskKey -> HeldRow; not started before the end of the reconciliation */
  Inputs *inputs;   /**< inputs of the next tick */
  GArray *commands;
};

/** Hash and equality of CoreTaskKey. */
guint shard_task_hash (gconstpointer data);
gboolean shard_task_equal (gconstpointer a, gconstpointer b);

/** Frees a StartRow or a JobRow. */
void shard_start_free (void *data);
void shard_job_free (void *data);

/**
 * Adds a run of a job, or its cancellation, to the core's inputs. @p may_run: a predecessor may
 * have started its tasks.
 */
void shard_add_job (Shard *shard, const FoldJob *job, gboolean may_run, int64_t now_us);

/** Progress of a task, or NULL when it is unknown. */
TaskProgress *shard_progress (const Shard *shard, CoreTaskKey task);

/** Stores the checkpoint in @p status for the next start of the task. */
void shard_store_checkpoint (Shard *shard, const Wire__TaskStatus *status);

G_END_DECLS
