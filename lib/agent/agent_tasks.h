/**
 * @file agent_tasks.h
 * Attempts of batch tasks on this instance: each starts at most once, and its outcome is held until
 * the shard's owner has it in the log.
 *
 * An attempt that was refused, or stopped before it was seen, is fenced: it never starts. Fences
 * and acknowledged attempts are remembered by id; the oldest is forgotten only past an age, and
 * until then new starts are refused at the bound. Pure: time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "agent/agent_admission.h"
#include "agent/agent_lease.h"
#include "common/err.h"

G_BEGIN_DECLS

#define AGENT_TASK_TEXT_MAX 1024

typedef struct AgentTasks AgentTasks;

typedef struct
{
  uint64_t job;
  uint32_t index;
  uint32_t attempt;
} AgentTaskId;

typedef enum
{
  AGENT_TASK_STARTING, /**< the worker was or will be asked; it may run */
  AGENT_TASK_RUNNING,
  AGENT_TASK_DONE, /**< this and all below: ended, with its reservation given back */
  AGENT_TASK_FAILED,
  AGENT_TASK_CHECKPOINTED,
  AGENT_TASK_STOPPED,
  AGENT_TASK_REFUSED, /**< never started, and never will be */
} AgentTaskState;

typedef enum
{
  AGENT_END_NONE,
  AGENT_END_CHECKPOINT, /**< checkpoint, then stop */
  AGENT_END_STOP,
} AgentEndRequest;

/** One attempt; the table owns row and texts. */
typedef struct
{
  AgentTaskId id;
  uint32_t shard;
  uint64_t epoch;
  AgentTaskState state;
  AgentEndRequest end_requested;
  DocSize reserved;
  char *job_name;
  char *batch_class;
  char *checkpoint; /**< to resume from, then that of the end; NULL for none */
  ErrKind kind;     /**< of a failed or refused attempt */
  char *failure;    /**< the worker's own words about a failed attempt, or NULL */
  int64_t progress_ms;
  int64_t run_ms;
  DocSize used;
  int64_t measured_us; /**< when used was measured; 0: never */
  int64_t
      worker_end_us; /**< the worker ends it by itself at this time unless its lease is extended */
  gboolean end_accepted; /**< the worker has taken the order to end it */
  gboolean in_doubt;     /**< an answer of the worker to its start was lost */
  gboolean listed;       /**< the newest list of the worker names it */
} AgentTask;

/** A command to start one attempt; texts are copied. */
typedef struct
{
  AgentTaskId id;
  uint32_t shard;
  uint64_t epoch;
  DocSize reserved;
  const char *job_name;
  const char *batch_class;
  const char *checkpoint;
  int64_t progress_ms;
  int64_t run_ms;
} AgentStart;

typedef struct
{
  uint32_t rows_max;   /**< running attempts and outcomes not acknowledged */
  uint32_t fences_max; /**< ids of attempts that never start again */
  int64_t keep_us;     /**< fences are held at least this long */
  AgentAdmission *admission;
  AgentLeases *leases;
} AgentTasksOptions;

typedef enum
{
  AGENT_START_ACCEPTED, /**< recorded as starting: the worker is to be asked */
  AGENT_START_KNOWN,    /**< seen before and not forgotten: nothing to do but report the row */
  AGENT_START_REFUSED,
  AGENT_START_DROPPED, /**< no room for the fence of a refusal: nothing may be said about it */
} AgentStartResult;

AgentTasks *agent_tasks_new (const AgentTasksOptions *options);
void agent_tasks_free (AgentTasks *tasks);

/**
 * Decides on a start. With #AGENT_START_ACCEPTED sets @p task and @p lease_end_us, by which the
 * worker must have been asked; with #AGENT_START_KNOWN sets @p task; with #AGENT_START_REFUSED sets
 * @p kind, and the attempt is fenced, by its epoch for #ERR_STALE_EPOCH and by its id for all
 * others.
 */
AgentStartResult agent_tasks_start (AgentTasks *tasks,
                                    const AgentStart *start,
                                    int64_t now_us,
                                    AgentTask **task,
                                    int64_t *lease_end_us,
                                    ErrKind *kind);

/** Fences an attempt that isn't here; FALSE when there is no room for the fence. */
gboolean agent_tasks_fence (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us);

/**
 * Takes over an attempt that the worker runs since before this process started. NULL when it is
 * fenced, doesn't fit beside the others, or there is no room: the worker must end it.
 */
AgentTask *agent_tasks_adopt (AgentTasks *tasks, const AgentStart *start);

/** The row of an attempt, or NULL. */
AgentTask *agent_tasks_find (const AgentTasks *tasks, const AgentTaskId *id);

/** Whether an attempt is fenced: refused, or ended and acknowledged. */
gboolean agent_tasks_is_fenced (const AgentTasks *tasks, const AgentTaskId *id);

/** The worker has said that a starting attempt runs. */
void agent_tasks_running (AgentTasks *tasks, AgentTask *task);

/** Ends an attempt with @p state, which is none of starting and running; @p checkpoint may be NULL.
 */
void agent_tasks_end (AgentTasks *tasks,
                      AgentTask *task,
                      AgentTaskState state,
                      ErrKind kind,
                      const char *checkpoint,
                      const char *failure);

/** The outcome of an ended attempt is in the log: its row becomes a fence. FALSE: no such row. */
gboolean agent_tasks_acknowledge (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us);

gboolean agent_task_is_ended (const AgentTask *task);

/** Rows by number, in no special order; valid until a row is added or acknowledged. */
uint32_t agent_tasks_count (const AgentTasks *tasks);
AgentTask *agent_tasks_at (const AgentTasks *tasks, uint32_t index);

/** Attempts that start or run. */
uint32_t agent_tasks_live (const AgentTasks *tasks);

G_END_DECLS
