/**
 * @file checker.h
 * Checks what callers and workers observe against the scheduler's guarantees.
 *
 * The checker records each job that a caller submits, each start, end and acknowledgement at the
 * workers and each reply to a caller. Violations are counted and written to the journal.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Checker Checker;

typedef struct
{
  uint32_t n_tasks;
  uint32_t per_worker_max; /**< most tasks on one worker; 0: no limit */
  int64_t cpu_m;
  int64_t mem_mb;
  int64_t work_ms;
  gboolean has_after; /**< waits for the preceding step */
  gboolean has_checkpoints;
  gboolean is_continuous;
  gboolean fails;   /**< its first task always fails */
  int64_t crash_ms; /**< its first task crashes each worker this long after its start; 0: never */
} CheckerStep;

typedef struct
{
  char *id;
  char *spec;
  GArray *steps;      /**< CheckerStep */
  uint32_t n_unknown; /**< submissions without a reply, or with an inconclusive one */
  gboolean is_accepted;
  gboolean was_cancelled;   /**< a cancel was sent */
  gboolean is_cancel_known; /**< a cancel was acknowledged */
  gboolean has_ended;       /**< an ended state was reported to a caller */
  int64_t idle_since_ms;    /**< since when no task runs although capacity is free; 0: not idle */
  GHashTable *tasks;        /**< name -> CheckerTask */
} CheckerJob;

typedef struct CheckerTask CheckerTask;

/** How a run ended. #CHECKER_CRASHED is never listed by a worker; #CHECKER_MOVED is listed with a
 * name that this build does not know. */
typedef enum
{
  CHECKER_DONE,
  CHECKER_FAILED,
  CHECKER_STOPPED,
  CHECKER_EXPIRED,
  CHECKER_CRASHED,
  CHECKER_MOVED,
} CheckerRunEnd;

typedef struct
{
  int64_t cpu_m;
  int64_t mem_mb;
} CheckerCapacity;

Checker *checker_new (const Soak *soak);
void checker_free (Checker *checker);

/** Adds a job; takes ownership of @p id, @p spec and @p steps. */
CheckerJob *checker_add_job (Checker *checker, char *id, char *spec, GArray *steps);

/** Returns the step and task index for a task's name; NULL if no caller submitted the task. */
const CheckerStep *checker_find_step (Checker *checker, const char *task, uint32_t *index);

/** Records and checks the start of a run. */
void checker_run_started (Checker *checker,
                          uint32_t worker,
                          const char *task,
                          int64_t run,
                          const char *spec,
                          const char *checkpoint);
/** Checks that what a worker's tasks use, including those being stopped, fits its capacity. */
void checker_check_capacity (Checker *checker,
                             uint32_t worker,
                             const CheckerCapacity *used,
                             const CheckerCapacity *capacity);
/** Checks how often a task was started after it has crashed its workers; returns FALSE for one that
 * must not start any more. Not called for starts that a worker executed late. */
gboolean checker_check_crashes (Checker *checker, const char *task);
/** Records that an agent polled its worker @p n_polls times within a second. */
void checker_polled_too_often (Checker *checker, uint32_t worker, uint32_t n_polls);
/** Records that a task crashed its worker. */
void checker_worker_crashed_by (Checker *checker, const char *task);
void checker_run_ended (
    Checker *checker, uint32_t worker, const char *task, int64_t run, CheckerRunEnd end);
/** The agent acknowledged an end. Not called if the worker's lease expired after it was listed. */
void checker_end_acknowledged (Checker *checker, const char *task, int64_t run, CheckerRunEnd end);
/** Records a new checkpoint of a task. */
void checker_checkpoint_saved (Checker *checker, const char *task, const char *checkpoint);

/** Checks a job state that was returned to a caller; NULL stands for 410. */
void checker_check_state (Checker *checker, CheckerJob *job, const char *state);

/** Checks that no due job stays without a running task while @p has_capacity. Not during faults. */
void checker_check_idle (Checker *checker, int64_t now_ms, gboolean has_capacity);

/** Whether every accepted job that can end has ended. */
gboolean checker_all_ended (const Checker *checker);
/** Sets the job whose tasks each need a worker of their own; checked at the end is that every
 * worker has run one. */
void checker_set_wide_job (Checker *checker, const CheckerJob *job);
/** Whether all have ended, the wide job included. */
gboolean checker_is_finished (const Checker *checker);

/** At the end of the run: checks that every accepted job has ended or runs all its tasks. */
void checker_check_end (Checker *checker);

uint32_t checker_n_violations (const Checker *checker);
/** Returns a one-line summary of the run; free with g_free(). */
char *checker_summary (Checker *checker);

G_END_DECLS
