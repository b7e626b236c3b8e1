/**
 * @file agent_tasks.h
 * Attempts of batch tasks on this instance: each starts at most once, and its outcome is kept until
 * the shard's owner has written it to the log.
 *
 * An attempt that was refused, or stopped before its start arrived, is fenced: it never starts. Ids
 * of fenced and acknowledged attempts are kept for a minimum time; when the table is full of
 * younger ones, new starts are refused. Does no I/O; time is passed in.
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
  AGENT_TASK_STARTING, /**< the start is queued for or sent to the worker; it may run */
  AGENT_TASK_RUNNING,
  AGENT_TASK_DONE, /**< this and all following states: ended, reservation released */
  AGENT_TASK_FAILED,
  AGENT_TASK_CHECKPOINTED,
  AGENT_TASK_STOPPED,
  AGENT_TASK_REFUSED, /**< never started and never will */
} AgentTaskState;

typedef enum
{
  AGENT_END_NONE,
  AGENT_END_CHECKPOINT, /**< checkpoint, then stop */
  AGENT_END_STOP,
} AgentEndRequest;

/** One attempt; the table owns the row and its strings. */
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
  char *checkpoint; /**< to resume from; after the end, the final one; NULL for none */
  ErrKind kind;     /**< reason of a failed or refused attempt */
  char *failure;    /**< the worker's error message about a failed attempt, or NULL */
  int64_t progress_ms;
  int64_t run_ms;
  DocSize used;
  int64_t measured_us;   /**< when used was measured; 0: never */
  int64_t worker_end_us; /**< the worker ends it at this time unless its lease is extended */
  gboolean end_accepted; /**< the worker has accepted the order to end it */
  gboolean in_doubt;     /**< an answer of the worker to its start was lost */
  gboolean listed;       /**< it is in the worker's newest task list */
} AgentTask;

/** A command to start one attempt; strings are copied. */
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
  uint32_t rows_max;   /**< running attempts and unacknowledged outcomes */
  uint32_t fences_max; /**< ids of attempts that never start again */
  int64_t keep_us;     /**< fences are kept at least this long */
  AgentAdmission *admission;
  AgentLeases *leases;
} AgentTasksOptions;

typedef enum
{
  AGENT_START_ACCEPTED, /**< recorded as starting: the caller sends the start to the worker */
  AGENT_START_KNOWN,    /**< there is a row already: only its status is reported */
  AGENT_START_REFUSED,
  AGENT_START_DROPPED, /**< refused without room for a fence: no refusal may be sent */
} AgentStartResult;

AgentTasks *agent_tasks_new (const AgentTasksOptions *options);
void agent_tasks_free (AgentTasks *tasks);

/**
 * Decides on a start. #AGENT_START_ACCEPTED sets @p task and @p lease_end_us, the latest time to
 * send the start to the worker. #AGENT_START_KNOWN sets @p task. #AGENT_START_REFUSED sets @p kind;
 * the attempt is fenced, by its epoch for #ERR_STALE_EPOCH and by its id for all other reasons.
 */
AgentStartResult agent_tasks_start (AgentTasks *tasks,
                                    const AgentStart *start,
                                    int64_t now_us,
                                    AgentTask **task,
                                    int64_t *lease_end_us,
                                    ErrKind *kind);

/** Fences an attempt that has no row; FALSE when there is no room for the fence. */
gboolean agent_tasks_fence (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us);

/**
 * Takes over an attempt that an earlier agent process started on the worker. NULL when it is
 * fenced, exceeds the capacity, or the table is full: the worker must end it.
 */
AgentTask *agent_tasks_adopt (AgentTasks *tasks, const AgentStart *start);

/** The row of an attempt, or NULL. */
AgentTask *agent_tasks_find (const AgentTasks *tasks, const AgentTaskId *id);

/** Whether an attempt is fenced: refused, or ended and acknowledged. */
gboolean agent_tasks_is_fenced (const AgentTasks *tasks, const AgentTaskId *id);

/** Records that the worker runs a starting attempt. */
void agent_tasks_running (AgentTasks *tasks, AgentTask *task);

/**
 * Ends an attempt with @p state, which must be an ended state. @p checkpoint and @p failure may be
 * NULL.
 */
void agent_tasks_end (AgentTasks *tasks,
                      AgentTask *task,
                      AgentTaskState state,
                      ErrKind kind,
                      const char *checkpoint,
                      const char *failure);

/**
 * Replaces the row of an ended attempt, whose outcome is in the log, by a fence. FALSE when there
 * is no such row or no room for the fence.
 */
gboolean agent_tasks_acknowledge (AgentTasks *tasks, const AgentTaskId *id, int64_t now_us);

gboolean agent_task_is_ended (const AgentTask *task);

/** Rows by index, in no particular order; indices change when a row is added or acknowledged. */
uint32_t agent_tasks_count (const AgentTasks *tasks);
AgentTask *agent_tasks_at (const AgentTasks *tasks, uint32_t index);

/** Number of attempts that are starting or running. */
uint32_t agent_tasks_live (const AgentTasks *tasks);

G_END_DECLS
