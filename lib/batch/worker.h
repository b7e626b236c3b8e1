/**
 * @file worker.h
 * What a worker says of itself and of the tasks that it runs.
 */
#pragma once

#include "batch/job.h"

G_BEGIN_DECLS

typedef struct
{
  char *id;
  int64_t born_wall_ms; /**< start of this life of the worker; 0 if it doesn't say */
  char *service;
  char *data_centre;
  char *instance; /**< the instance that it is a life of; may be empty */
  char **labels;  /**< NULL-terminated: kind, rack */
  JobSize capacity;
  gboolean is_draining;
  int64_t remaining_ms; /**< while draining: time that is left at least */
  int64_t sequence;     /**< rises with each report of one life */
} WorkerInfo;

/** Makes an empty row; free with worker_info_free(). */
WorkerInfo *worker_info_new (void);

/** NULL is allowed. */
void worker_info_free (WorkerInfo *info);

/** Whether both describe one life of one worker. */
gboolean worker_info_same_life (const WorkerInfo *a, const WorkerInfo *b);

/** A task at a worker. */
typedef struct
{
  char *task;
  int64_t run;
  char *saved;     /**< newest checkpoint, "" for none */
  int64_t percent; /**< of its work; of a task that lasts: 100 once it is at work */
  int64_t figure;  /**< tail latency in ms of a serving task, else thousandths of a core in use */
} WorkerTask;

/** How a run ended. */
typedef enum
{
  WORKER_END_DONE,
  WORKER_END_FAILED,
  WORKER_END_STOPPED,
  WORKER_END_LAPSED, /**< its lease ran out */
  WORKER_END_BROKEN, /**< another member of its gang ended */
  WORKER_END_ALONE,  /**< it waited too long for its gang */
  WORKER_END_COUNT,
} WorkerEndHow;

/** Name for logs; static storage. */
const char *worker_end_name (WorkerEndHow how);

typedef struct
{
  int64_t number; /**< rises within a life of the worker */
  char *task;
  int64_t run;
  WorkerEndHow how;
  char *saved;
} WorkerEnd;

void worker_task_clear (WorkerTask *task);
void worker_end_clear (WorkerEnd *end);

/** Arrays of WorkerTask and WorkerEnd that own what is in them. */
GArray *worker_tasks_new (void);
GArray *worker_ends_new (void);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WorkerInfo, worker_info_free)

G_END_DECLS
