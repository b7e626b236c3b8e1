/**
 * @file shard_private.h
 * Rows of a shard, shared by shard.c and shard_jobs.c alone.
 */
#pragma once

#include "entry/inputs.h"
#include "entry/shard.h"

G_BEGIN_DECLS

/* What this owner knows of an agent. */
typedef struct
{
  uint64_t incarnation;
  int64_t lease_until_us; /**< its leases from this owner have lapsed then */
  uint64_t signature;     /**< of the row that the core has */
  gboolean is_registered; /**< its newest heartbeat named this owner's epoch */
  gboolean is_known;      /**< the core has it */
  gboolean is_left;       /**< the core was told that it leaves */
  gboolean is_replaced;   /**< an older incarnation's lease may be live */
  int64_t replaced_until_us;
} AgentRow;

/* A start that was sent and not yet reported. */
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

/* A task that is older than this owner's claim. */
typedef struct
{
  CoreTaskKey task;
  gboolean is_running; /**< an agent reports it; else the core holds it */
} HeldRow;

/* A job that the core has. */
typedef struct
{
  DocDocument *document;
  char *name;
  gboolean is_cancelled;
  GArray *checkpoints; /**< TaskMemory by index */
} JobRow;

typedef struct
{
  char *checkpoint;
  int64_t progress_ms;
  uint32_t newest_attempt; /**< that this owner started */
} TaskMemory;

struct Shard
{
  ShardOptions options;
  ShardOps ops;
  Core *core;
  Reports *reports;
  GHashTable *agents;   /**< name -> AgentRow */
  GHashTable *jobs;     /**< id -> JobRow */
  GHashTable *starts;   /**< CoreTaskKey -> StartRow */
  int64_t certain_us;   /**< no other entry owned the shard up to then */
  gboolean is_settling; /**< the predecessor's leases have lapsed; this owner's first may not */
  GHashTable *held;     /**< HeldRow: tasks older than the claim; none is started until settled */
  Inputs *inputs;       /**< for the next tick */
  GArray *commands;
};

/** Hash and equality of CoreTaskKey. */
guint shard_task_hash (gconstpointer data);
gboolean shard_task_equal (gconstpointer a, gconstpointer b);

/** Frees a StartRow or a JobRow. */
void shard_start_free (void *data);
void shard_job_free (void *data);

/** Gives the core a run of a job, or its cancellation. @p may_run: a predecessor may have started
 * it. */
void shard_take_job (Shard *shard, const FoldJob *job, gboolean may_run, int64_t now_us);

/** What is remembered of a task, or NULL. */
TaskMemory *shard_memory (const Shard *shard, CoreTaskKey task);

/** Keeps the checkpoint that @p status names, for the next start. */
void shard_remember (Shard *shard, const Wire__TaskStatus *status);

G_END_DECLS
