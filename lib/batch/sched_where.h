/**
 * @file sched_where.h
 * Where the tasks of a job would be placed, if it was submitted now. A query changes nothing: the
 * scheduler decides afterwards as it would have without it.
 */
#pragma once

#include "batch/sched.h"

G_BEGIN_DECLS

/** Stages before a step in the dispatch order, and ends it waits for, that an answer lists. */
#define SCHED_WHERE_LISTED_MAX 10
/** Workers that an answer lists, for all steps together. */
#define SCHED_WHERE_WORKERS_MAX 10000

typedef enum
{
  SCHED_WHERE_NOW,   /**< a task, or all members of a gang, would start now */
  SCHED_WHERE_WAITS, /**< none would */
  SCHED_WHERE_NEVER, /**< none can start on any worker that is known, not even if that is empty */
  SCHED_WHERE_VERDICTS,
} SchedWhereVerdict;

/** Why a worker is not the one where the next task starts. */
typedef enum
{
  SCHED_WHERE_CHOSEN, /**< it is */
  SCHED_WHERE_COSTS_MORE,
  SCHED_WHERE_OTHER_SERVICE,
  SCHED_WHERE_NO_LABEL,
  SCHED_WHERE_SUSPECT, /**< kept free because of a task that may crash its worker */
  SCHED_WHERE_MEMORY,  /**< memory or GPUs */
  SCHED_WHERE_PROCESSORS,
  SCHED_WHERE_OVER_TARGET,
  SCHED_WHERE_HEADROOM,
  SCHED_WHERE_RESERVATION, /**< kept for a task that comes earlier in the dispatch order */
  SCHED_WHERE_ORDERS,      /**< its agent has not confirmed earlier orders */
  SCHED_WHERE_SILENT,      /**< this one and those below: it accepts no tasks at all */
  SCHED_WHERE_OUTDATED,
  SCHED_WHERE_PUBLISHED,
  SCHED_WHERE_DRAINING,
  SCHED_WHERE_LEAVING,
  SCHED_WHERE_EVACUATED,
  SCHED_WHERE_ORPHANED_RUNS,
  SCHED_WHERE_QUARANTINED,
  SCHED_WHERE_REFUSED_START,
  SCHED_WHERE_STARTS_HELD,
  SCHED_WHERE_MEMBERS,   /**< of a step: not all members of the gang have a worker */
  SCHED_WHERE_NOT_DUE,   /**< of a step: its first occurrence is not due */
  SCHED_WHERE_NO_WORKER, /**< of a step: there is no worker at all */
  SCHED_WHERE_REASONS,
} SchedWhereReason;

typedef struct
{
  const char *worker; /**< owned by the scheduler */
  SchedWhereReason reason;
} SchedWhereWorker;

/** A stage that is dispatched before the step, of the same service. */
typedef struct
{
  const char *job; /**< owned by the scheduler */
  uint32_t step;
  uint32_t n_waiting;
  uint32_t priority;
} SchedWhereBefore;

typedef struct
{
  char *task;
  int64_t in_ms;
} SchedWhereEnd;

/** One of the steps that wait for no other step. */
typedef struct
{
  uint32_t step;
  uint32_t n_tasks;
  SchedWhereVerdict verdict;
  uint32_t n_now;     /**< tasks that may start now; without the headroom that each one takes */
  const char *worker; /**< where the next task would start; NULL if that is not known */
  /** 0: at once; otherwise when it is expected to fit there, or -1 if that is not known. */
  int64_t in_ms;
  gboolean is_starved;        /**< it would start there since its stage would be starved by then */
  SchedWhereReason waits_for; /**< SCHED_WHERE_CHOSEN if it does not wait */
  GArray *ends;               /**< SchedWhereEnd, by time: the first ends it waits for */
  uint32_t n_ends;
  GArray *before; /**< SchedWhereBefore, in dispatch order: the first ones */
  uint32_t n_before;
  uint32_t n_by_reason[SCHED_WHERE_REASONS]; /**< workers */
  GArray *workers;                           /**< SchedWhereWorker; empty unless asked for */
} SchedWhereStep;

typedef struct
{
  uint64_t term;
  SchedWhereVerdict verdict; /**< of the step that is worst off */
  int64_t report_age_ms;     /**< of the oldest report that was used; -1: none was */
  int64_t due_ms;            /**< time until the first occurrence of a job that repeats; or 0 */
  gboolean is_cut;  /**< not all workers are listed, or not all steps have an expected time */
  GPtrArray *steps; /**< SchedWhereStep */
} SchedWhere;

typedef struct
{
  const char *queue;
  JobSpec *spec; /**< not changed */
  int64_t now_us;
  gboolean lists_workers;
} SchedWhereQuery;

/** Answers from the state after the newest pass; NULL if the queue is not configured. Free it with
 * sched_where_free() before the scheduler changes. */
SchedWhere *sched_where (Sched *sched, const SchedWhereQuery *query);

/** NULL is allowed. */
void sched_where_free (SchedWhere *where);

/** Names for people and scripts; static storage. */
const char *sched_where_verdict_name (SchedWhereVerdict verdict);
const char *sched_where_reason_name (SchedWhereReason reason);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SchedWhere, sched_where_free)

G_END_DECLS
