/**
 * @file worker.h
 * State that a worker reports: its capacity and the tasks that it runs.
 */
#pragma once

#include "batch/job.h"

G_BEGIN_DECLS

typedef struct
{
  char *id;
  int64_t started_wall_ms; /**< start of this incarnation of the worker; 0 if not reported */
  char *service;
  char *data_centre;
  char *instance; /**< instance that it runs on; may be empty */
  char **labels;  /**< NULL-terminated: kind, rack */
  JobSize capacity;
  gboolean is_draining;
  int64_t remaining_ms; /**< while draining: least remaining time */
  int64_t sequence;     /**< increases with each report of one incarnation */
} WorkerInfo;

/** Allocates a zeroed row; free with worker_info_free(). */
WorkerInfo *worker_info_new (void);

/** Frees a row; NULL is allowed. */
void worker_info_free (WorkerInfo *info);

/** Whether both describe the same incarnation of the same worker. */
gboolean worker_info_same_incarnation (const WorkerInfo *a, const WorkerInfo *b);

/** Whether tasks may be started under the same conditions: draining, capacity, labels. */
gboolean worker_info_same_offer (const WorkerInfo *a, const WorkerInfo *b);

/** A task that a worker runs. */
typedef struct
{
  char *task;
  int64_t run;
  char *checkpoint;    /**< newest checkpoint, "" for none */
  int64_t percent;     /**< progress; of a long-running task: 100 once it is ready */
  int64_t measurement; /**< of a serving task the tail latency in ms, else thousandths of a
                       core in use */
} WorkerTask;

/** How a run ended. */
typedef enum
{
  WORKER_END_DONE,
  WORKER_END_FAILED,
  WORKER_END_STOPPED,
  WORKER_END_EXPIRED,      /**< its lease expired */
  WORKER_END_GANG_BROKEN,  /**< another member of its gang ended */
  WORKER_END_GANG_TIMEOUT, /**< the other members of its gang did not arrive in time */
  WORKER_END_OTHER,        /**< a kind that this build does not know; not counted as a failure */
  WORKER_END_COUNT,
} WorkerEndHow;

/** Returns the name for logs; static storage. */
const char *worker_end_name (WorkerEndHow how);

typedef struct
{
  int64_t number; /**< increases within an incarnation of the worker */
  char *task;
  int64_t run;
  WorkerEndHow how;
  char *checkpoint;
} WorkerEnd;

/** Free the strings of an element, not the element itself. */
void worker_task_clear (WorkerTask *task);
void worker_end_clear (WorkerEnd *end);

/** Arrays of WorkerTask and WorkerEnd whose elements are cleared when they are removed. */
GArray *worker_tasks_new (void);
GArray *worker_ends_new (void);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WorkerInfo, worker_info_free)

G_END_DECLS
