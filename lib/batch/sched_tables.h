/**
 * @file sched_tables.h
 * Tables of the scheduler. Internal to lib/batch.
 */
#pragma once

#include "batch/gaps.h"
#include "batch/interference.h"
#include "batch/sched.h"
#include "batch/sizes.h"

G_BEGIN_DECLS

typedef struct SchedJob SchedJob;
typedef struct SchedStage SchedStage;
typedef struct SchedTask SchedTask;
typedef struct SchedWorker SchedWorker;

/** CPU limit of a task that is not throttled, in percent. */
#define SCHED_CPU_LIMIT_NONE 100
/** Activity of a best-effort task before its first measurement, as a share of the maximum. */
#define SCHED_ACTIVITY_DEFAULT 0.7

typedef enum
{
  TASK_WAITING,
  TASK_UNWRITTEN, /**< its newest failure is not in the ledger: the next owner would not count it */
  TASK_UNCONFIRMED, /**< a previous owner may have started it at an agent that has not reported */
  TASK_PLACED,      /**< a start was ordered, or it runs */
  TASK_DONE,
} TaskState;

/** Whether the newest failure of a task is in the ledger. */
typedef enum
{
  SCHED_FAILURE_WRITTEN, /**< it is, or there is none */
  SCHED_FAILURE_PENDING,
  SCHED_FAILURE_FLUSHING, /**< in the open flush */
} SchedFailure;

/** Valid as long as its stage. */
struct SchedTask
{
  SchedStage *stage;
  uint32_t index;
  TaskState state;
  int64_t run; /**< highest run number that was used */
  uint32_t n_failed;
  SchedFailure failure;
  SchedWorker *worker;   /**< worker of a placed task */
  uint64_t order_number; /**< number of the start order; 0 if the run was adopted */
  int64_t placed_us;
  int64_t percent;
  int64_t percent_us;      /**< last change of percent */
  int64_t measurement;     /**< serving: tail latency in ms, else thousandths of a core in use */
  uint32_t cpu_limit;      /**< CPU limit in percent */
  int64_t cpu_limit_us;    /**< last change of the limit; 0: never */
  int64_t over_us;         /**< since when a serving task is over its target; 0: it is not */
  InterferenceTask offset; /**< offset of a serving task from the headroom of its service */
  InterferenceEstimate predicted; /**< predicted headroom of a serving task */
  double activity; /**< interference of a best-effort task, as a share of the maximum */
  gboolean is_starting;
  gboolean is_stopping;
  gboolean is_done_elsewhere; /**< another run completed; this one keeps its resources until it is
                                 gone */
  gboolean is_listed;         /**< listed in the newest full report, or a later one */
  char *checkpoint;
  SchedWorker *avoid; /**< worker where it last failed or stalled */
  GArray *crashes;    /**< SchedCrashedRun, oldest first; NULL for none */
  int64_t kept_us; /**< since when it waits for a worker without another suspect, or for one where
                      it is tried alone; 0: it does not */
};

/** A run that was lost when its worker crashed. */
typedef struct
{
  int64_t run;
  uint64_t crash; /**< identifies the crash */
  int64_t age_ms; /**< time from its start to the crash */
  gboolean is_alone;
  gboolean is_shared;  /**< many workers were lost at that time */
  gboolean is_cleared; /**< a later run went on for longer */
} SchedCrashedRun;

/** How tasks get CPU time: by reservation, or best-effort from what others leave. */
typedef enum
{
  SCHED_RESERVED,
  SCHED_BEST_EFFORT,
  SCHED_CLASSES,
} SchedClass;

/** Expected durations and work of one occurrence. */
typedef struct
{
  int64_t whole_ms;           /**< duration of the longest chain of steps */
  int64_t left_ms;            /**< duration of that chain without the steps that are done */
  double whole_work;          /**< core milliseconds of all tasks */
  double work[SCHED_CLASSES]; /**< core milliseconds of the tasks that are not done */
  uint32_t n_begun;           /**< tasks that are done or running */
} SchedChains;

/** Dispatch rank of a stage, most urgent first. Under overload, jobs that have begun meet their
 * deadlines and others are not begun. If new jobs were dispatched before those that have waited,
 * all jobs would be begun and all be late. Best-effort stages have no rank for begun jobs: their
 * tasks can give way and go on later. Favoured jobs do not give way, see sched_sizes.c. */
typedef enum
{
  SCHED_RANK_HELD, /**< favoured; or can meet its deadline, has tasks that are done or running, and
                      reserves */
  SCHED_RANK_IN_TIME, /**< can meet its deadline */
  SCHED_RANK_LATE,    /**< will be late, but its result is still of use */
  SCHED_RANK_USELESS, /**< its result will be too late to be of use */
} SchedRank;

/** A stage whose tasks may start, with its dispatch order. */
typedef struct
{
  SchedStage *stage;
  uint32_t priority;
  SchedRank rank;
  int64_t deadline_ms;
  double work;            /**< core milliseconds of the tasks of the occurrence that are not done */
  gboolean exceeds_share; /**< it comes later, as its origin uses more than its share */
} SchedReadyStage;

/** What a task waits for that no worker admits: the last of the conditions, in this order, that
 * some worker does not meet. */
typedef enum
{
  SCHED_WAIT_NONE,
  SCHED_WAIT_WORKER, /**< no worker of its service and label accepts tasks */
  SCHED_WAIT_MEMORY,
  SCHED_WAIT_PROCESSORS,
  SCHED_WAIT_OVER_TARGET, /**< serving tasks are over their targets */
  SCHED_WAIT_HEADROOM,    /**< serving tasks would be over their targets */
  SCHED_WAIT_RESERVATION, /**< a worker is kept for an earlier task, see sched_gaps.c */
  SCHED_WAIT_ORDERS,      /**< its agent has not confirmed earlier orders, see sched_orders.c */
  SCHED_WAITS,
} SchedWait;

/** Kinds of tasks whose waiting is counted apart. */
typedef enum
{
  SCHED_WAIT_RESERVED,
  SCHED_WAIT_BEST_EFFORT,
  SCHED_WAIT_SERVING,
  SCHED_WAIT_KINDS,
} SchedWaitKind;

/** A worker that is kept for the next task of a stage. */
typedef struct
{
  const SchedWorker *worker; /**< only compared, as it may have been removed; NULL for none */
  int64_t since_us;
  int64_t bound_ms;
  int64_t search_us; /**< none is looked for before this time */
} SchedGap;

/** What such a worker is kept for, in one pass. */
typedef struct
{
  uint64_t pass;    /**< the pass in which it applies */
  int64_t since_us; /**< since when it has been kept in each pass and no such task has started */
  GapsFit fit;
  gboolean is_best_effort; /**< fit counts processors as for best-effort tasks */
} SchedHold;

/** One step of one occurrence of a job. Once all steps of the occurrence are done, it is no longer
 * found by name, but stays valid until sched_reap(). */
struct SchedStage
{
  SchedJob *job;
  const JobStep *step;
  uint32_t occurrence;
  uint32_t step_index;
  uint32_t n_done;
  uint32_t n_waiting;   /**< tasks in TASK_WAITING */
  SchedWait waits_for;  /**< what the last task that found no worker waits for */
  SchedTask *tasks;     /**< step->n_tasks of them */
  GArray *failed;       /**< FailedRow */
  uint32_t n_timed;     /**< tasks that completed without throttling */
  int64_t timed_ms;     /**< sum of their durations */
  int64_t ready_us;     /**< when it was first seen ready; 0: not yet */
  int64_t preempted_us; /**< when other tasks were last stopped for it; 0: never */
  SchedGap gap;
  SchedChains chains;     /**< estimates of the occurrence; stored in its first stage */
  uint64_t chains_change; /**< n_changes of the job when chains was computed */
  gboolean is_planned;    /**< the occurrence was in a forecast; stored in its first stage */
  gboolean is_chosen;     /**< the forecast expects it to meet its deadline */
  SizesClass size;        /**< of the occurrence; stored in its first stage, as the next five are */
  gboolean is_favoured;   /**< it comes before others, as few jobs of its size were served */
  gboolean has_result;    /**< it was counted in this term */
  int64_t started_wall_ms; /**< first start of a task of the occurrence in this term; 0: none */
  int64_t left_out_ms;     /**< time in which forecasts did not choose it */
  uint32_t n_preempted;    /**< tasks of the occurrence that were stopped for others */
  InterferenceService
      *service;   /**< headroom of a serving step; NULL before the first measurement */
  uint32_t image; /**< number of its image; valid once has_image is set */
  gboolean has_image;
};

/** A period in which a best-effort task ran on a worker with one CPU limit. */
typedef struct
{
  SchedTask *task; /**< valid only while to_us is 0 */
  uint32_t image;
  double share;    /**< share of the worker's processors, at its CPU limit */
  double activity; /**< activity of the task; the last one if it has ended */
  int64_t from_us;
  int64_t to_us; /**< 0: not ended */
} SchedExposure;

typedef struct
{
  uint32_t index;
  int64_t run;
} FailedRow;

/** Learned durations of a queue's tasks, absolute and relative to the declared ones; see
 * sched_learn.c. */
typedef struct
{
  uint32_t count;
  double log_ms;
  double log_ratio;
  double ms_error;
  double ratio_error;
} SchedDurations;

struct SchedJob
{
  char *id;
  char *queue_name;
  char *data_centre;  /**< of the entry that accepted it; "" if it is not known */
  const Queue *queue; /**< a reference, never NULL: the queue as it is configured; else the newest
                         known terms, or Sched.unknown_queue */
  int64_t accepted_wall_ms;
  JobSpec *spec;
  SchedJobState state;
  gboolean is_old;
  gboolean has_begun; /**< a run of one of its tasks was seen */
  gboolean has_unwritten_failures;
  int64_t ended_us;          /**< when the end was seen in this term; 0: not yet */
  GPtrArray *stages;         /**< SchedStage of the current occurrences, by occurrence and step */
  uint32_t occurrences_done; /**< occurrences before this one are done */
  uint32_t occurrences_made;
  uint64_t n_changes;       /**< number of changes of its tasks; starts at 1 */
  gboolean has_new_crashes; /**< crashed runs of its tasks are not in the ledger */
  int64_t running_cpu_m;    /**< requested by its tasks at workers, without serving ones */
  int64_t ordered_us;   /**< when a task was last started before one was seen to run; 0: not here */
  SharesOrigin *origin; /**< NULL without shares, or while its terms are not known */
  int64_t later_ms; /**< time before its first start in which it came later because of its origin */
  int64_t later_us; /**< newest pass that later_ms contains */
};

struct SchedWorker
{
  Sched *sched;
  char *name;       /**< name of its agent */
  WorkerInfo *info; /**< NULL before its first report */
  uint64_t boot;
  uint64_t incarnation;    /**< incarnation of the worker; 0: not known */
  int64_t report_us;       /**< when the newest report was received; 0: none in this term */
  int64_t no_report_us;    /**< start of its time without reports; 0: it reports */
  int64_t clock_us;        /**< clock of the agent in that report */
  int64_t measured_us;     /**< when the measurements in it were taken */
  uint64_t report_version; /**< version of the newest applied report; 0: a full one is needed */
  uint64_t done_number;
  uint64_t next_number;
  uint64_t sent_number; /**< newest order that was sent */
  int64_t sent_us;      /**< when all pending orders were last sent together */
  GPtrArray *orders;    /**< pending Batch__Order, owned */
  size_t order_bytes;   /**< their size in a message */
  gboolean is_message_due;
  int64_t ends_applied;
  int64_t ends_written;
  uint64_t crashes_applied; /**< number of the newest crashed run that was applied */
  uint64_t crashes_written;
  int64_t lost_us;     /**< its newest crash, unless a task was given up for it; 0: none is known */
  uint64_t lost_crash; /**< identifies that crash */
  gboolean has_suspect;   /**< a suspect was started here; it may have been cleared since */
  uint64_t reserved_pass; /**< pass in which it was last kept for such a task */
  SchedHold hold;
  int64_t gap_barred_until_us; /**< it is not kept for a large task before this time */
  gboolean is_leaving;
  gboolean has_reported;  /**< in this term */
  gboolean has_more_ends; /**< runs that its newest report does not list may have ended */
  GHashTable *confined;   /**< set of the tasks that may run there, as the previous owner published;
                             NULL: not known */
  GPtrArray *tasks;       /**< SchedTask placed on this worker */
  GHashTable *orphaned_runs; /**< set of "task run": runs that should not exist */
  JobSize used;              /**< reserved resources; CPU without that of best-effort tasks */
  int64_t best_effort_cpu_m; /**< CPU requested by best-effort tasks */
  uint32_t n_serving;
  int64_t serving_cpu_m;             /**< reserved for serving tasks; included in used */
  GArray *exposures;                 /**< SchedExposure, current and recent */
  gboolean has_outdated_predictions; /**< predicted headrooms of its serving tasks are outdated */
  int64_t cpu_limit_us;              /**< last change of a CPU limit */
  gboolean is_over_target;           /**< a serving task has been over its target for too long */
  int64_t refused_until_us; /**< no task is started here before this time, as one was refused */
  int64_t refused_ms;       /**< length of that pause; 0: the newest start was not refused */
  uint32_t fail_streak;
  int64_t quarantine_until_us; /**< no task is started here before this time */
  int64_t quarantine_ms;       /**< length of the last quarantine */
};

struct Sched
{
  SchedOptions options;
  const QueueConfig *config;
  Queue *unknown_queue; /**< of jobs whose terms are not known; no worker has its service */
  const Evacuations *evacuations; /**< NULL for none */
  gboolean are_starts_held;
  uint64_t term;
  int64_t reconcile_until_us;
  int64_t reconcile_ends;    /**< sum of the newest ends of workers that have more of them */
  int64_t reconcile_held_ms; /**< for this long that sum has not changed */
  GHashTable *published;     /**< set of agents in the newest written record of silent ones */
  GHashTable *publishing;    /**< the same for a record that is being written; NULL for none */
  GHashTable *jobs;          /**< id -> SchedJob */
  GHashTable *open;          /**< set of SchedJob that are queued or running */
  GPtrArray *dropped;        /**< SchedStage of occurrences that are done, until sched_reap() */
  GQueue *ended;             /**< SchedJob that are not open, oldest end first */
  GHashTable *workers;       /**< agent name -> SchedWorker */
  char *forgetting;          /**< agent whose record is being deleted; NULL for none */
  GHashTable *dirty;         /**< SchedJob whose progress has to be written */
  GHashTable *flushing;      /**< SchedJob in the open flush, owned by it; NULL for none */
  GHashTable *pending;       /**< queue name -> number of jobs that have not begun */
  GHashTable *durations;     /**< queue name -> SchedDurations */
  GHashTable *sizes;         /**< queue name -> Sizes */
  int64_t now_us;
  int64_t wall_ms;
  int64_t utilisation_noted_us;
  int64_t tick_us;                                  /**< time of the newest tick */
  int64_t pass_ms;                                  /**< time between it and the tick before */
  int64_t waited_ms[SCHED_WAIT_KINDS][SCHED_WAITS]; /**< task time since it was last noted */
  GArray *lost_workers;                             /**< SchedLostWorker of the last minutes */
  int64_t first_us;                                 /**< time of the first tick or report */
  uint64_t pass;                                    /**< number of the pass over the ready stages */
  int64_t gap_search_us;    /**< no worker is looked for for a large task before this time */
  gboolean are_holds_valid; /**< the pass goes on */
  Interference *interference;
  Shares *shares;                    /**< NULL for none */
  int64_t plan_us;                   /**< time of the newest forecast */
  double cores[SCHED_CLASSES];       /**< processors available to tasks of the class */
  uint32_t n_waiting[SCHED_CLASSES]; /**< tasks that could not be placed in the last tick */
};

/* sched_jobs.c */
void sched_job_free (gpointer data);
/* For sched_reap(), and for the stages of a job that is freed. */
void sched_stage_free (gpointer data);
SchedTask *sched_find_task (Sched *sched, const char *name);
char *sched_task_name (const SchedTask *task);
void sched_mark_dirty (Sched *sched, SchedJob *job);
void sched_make_occurrences (Sched *sched, SchedJob *job);
/* Time at which the occurrence is due; of a job that does not repeat, the time of acceptance. */
int64_t sched_due_wall_ms (const SchedJob *job, uint32_t occurrence);
gboolean sched_stage_is_ready (const SchedStage *stage);
/* Makes the occurrences up to that one. */
void sched_make_occurrences_to (SchedJob *job, uint32_t occurrence);
SchedStage *sched_find_stage (const SchedJob *job, uint32_t occurrence, uint32_t step);
void sched_end_job (Sched *sched, SchedJob *job, SchedJobState state);
/* Completes the task, or its whole gang. That may drop the occurrence of a job that repeats. */
void sched_task_done (Sched *sched, SchedTask *task);
/* Call it after sched_detach(): completes the task if another run of it completed. */
void sched_complete_if_done_elsewhere (Sched *sched, SchedTask *task);
/* Frees the stages that were dropped. Nothing else frees a stage of an open job. Call it only where
 * no caller holds a task or a stage: between two ends of a report, and before a public function
 * returns. */
void sched_reap (Sched *sched);
void sched_task_failed (Sched *sched, SchedTask *task, int64_t run);
/* Marks the failures that a flush of the job's progress contains, and handles its end. */
void sched_flush_failures (SchedJob *job);
void sched_failures_flushed (SchedJob *job, gboolean is_written);
/* Makes a task that is not at a worker wait for one, or for its failure to be written. */
void sched_release_task (SchedTask *task);
gboolean sched_job_is_open (const SchedJob *job);
GBytes *sched_encode_progress (const SchedJob *job);

/* sched_results.c */
/** A result is of some use up to this multiple of the job's time objective. */
#define SCHED_USEFUL_FACTOR 3
/* Call these with the first stage of an occurrence: when it ends, and in each forecast. */
void sched_note_result (Sched *sched, SchedStage *first, SchedJobState state);
void sched_check_expired (Sched *sched, SchedStage *first);

/* sched_sizes.c */
/* Size classes of the jobs of the same queue. */
Sizes *sched_sizes_of (Sched *sched, const SchedJob *job);
/* Decides which occurrences are favoured; @p firsts are the first stages of those in a forecast. */
void sched_favour_large (Sched *sched, const GPtrArray *firsts);

/* sched_forget.c */
/* Sets ended_us of the jobs that have ended since the last tick. */
void sched_date_ended (Sched *sched);

/** Why a worker accepts no tasks at all. */
typedef enum
{
  SCHED_ACCEPTS,
  SCHED_REFUSES_SILENT,    /**< it has not reported in full in this term */
  SCHED_REFUSES_OUTDATED,  /**< its newest report is too old */
  SCHED_REFUSES_PUBLISHED, /**< the ledger says that it does not report */
  SCHED_REFUSES_DRAINING,
  SCHED_REFUSES_LEAVING, /**< its agent shuts down */
  SCHED_REFUSES_EVACUATED,
  SCHED_REFUSES_ORPHANED_RUNS, /**< it runs what should not exist */
  SCHED_REFUSES_QUARANTINED,
  SCHED_REFUSES_STARTS, /**< its agent or the worker itself refused a start a moment ago */
  SCHED_REFUSES_HELD,   /**< all starts are held */
  SCHED_REFUSALS,
} SchedRefusal;

/* sched_reconcile.c */
/* Ends the reconciliation once all agents have reported, or the leases of runs that previous owners
 * started have expired. Before that, releases tasks that cannot run at the agents that are missing.
 */
void sched_reconcile (Sched *sched);

/* sched_crashes.c: runs that were lost when their workers crashed, and which tasks are to blame. */
/** A worker that crashed lately. */
typedef struct
{
  uint64_t crash;
  int64_t crash_us;
  gboolean is_restored; /**< known from a record; its time is not known */
} SchedLostWorker;
/* Counts the crashed runs of a report; call it once its runs were applied. */
void sched_apply_crashes (Sched *sched, SchedWorker *worker, const Batch__Report *report);
/* Counts the runs at a worker of which an agent that does not report crashes has found another
 * incarnation. */
void sched_assume_crash (Sched *sched, SchedWorker *worker);
/* Remembers that the worker has crashed, whatever ran there; call it before its incarnation is
 * replaced. */
void sched_note_lost_worker (Sched *sched, SchedWorker *worker);
/* Whether the worker has not crashed under the task, nor lately without it; the task has been in a
 * crash. */
gboolean
sched_is_calm_worker (const Sched *sched, const SchedWorker *worker, const SchedTask *task);
/* Whether the worker has crashed under the task. A crash of another one tells whether the task or
 * the worker is to blame. */
gboolean sched_has_crashed_under (const SchedWorker *worker, const SchedTask *task);
/* Call it when a run ended in another way than by a crash. */
void sched_clear_by_end (Sched *sched, SchedTask *task);
/* Whether the task is likely to crash its worker; FALSE once it has run for longer than the runs
 * that were lost. */
gboolean sched_is_suspect (const SchedTask *task);
/* Whether the task has been in such crashes that it is tried alone. */
gboolean sched_needs_trial (const SchedTask *task);
/* Whether such a task runs and may still crash its worker. */
gboolean sched_is_on_trial (const Sched *sched, const SchedTask *task);
/* Returns a Batch__Crashes of the job. */
GBytes *sched_encode_crashes (const SchedJob *job);
void sched_restore_crashes (Sched *sched, SchedJob *job, const Batch__Crashes *crashes);

/* sched_trials.c: workers on which a suspect runs. */
/* Whether the task must not run there because of a suspect: two of them are kept apart, so that a
 * crash shows which one is to blame, and nothing is started beside one that is tried alone. */
gboolean sched_is_guarded (const SchedWorker *worker, const SchedTask *task);
typedef enum
{
  SCHED_TRIAL_STARTED,
  SCHED_TRIAL_WAITS,
  SCHED_TRIAL_IMPOSSIBLE, /**< serving tasks run on all workers */
} SchedTrial;
/* Starts the task alone on one of the workers, or keeps one free for it; @p workers accept tasks.
 */
SchedTrial sched_start_trial (Sched *sched, const GPtrArray *workers, SchedTask *task);

/* sched_silent.c */
/* Whether the agent is published as silent, so that nothing may be started there. */
gboolean sched_is_published (const Sched *sched, const SchedWorker *worker);
/* Whether the task may run at a published agent that has not reported yet. */
gboolean sched_may_run_unseen (const Sched *sched, const SchedTask *task);

/* sched_workers.c */
/* Whether the newest report of the worker is too old to start anything there. */
gboolean sched_is_report_outdated (const Sched *sched, const SchedWorker *worker);
SchedRefusal sched_worker_refusal (const Sched *sched, const SchedWorker *worker);
/* Whether the data centre of the worker is evacuated; FALSE before its first report. */
gboolean sched_is_evacuated (const Sched *sched, const SchedWorker *worker);
SchedWorker *sched_worker_new (Sched *sched, const char *name);
void sched_worker_free (gpointer data);
void sched_order_start (Sched *sched, SchedWorker *worker, SchedTask *task);
/* Notes that a task of the job has started. An order to start it does not prove that. */
void sched_mark_begun (Sched *sched, SchedJob *job);
void sched_order_stop (Sched *sched, SchedTask *task, const char *reason);
void sched_order_stop_run (SchedWorker *worker, const char *task, int64_t run);
void sched_order_cpu_limit (Sched *sched, SchedTask *task, uint32_t percent);
void sched_attach (SchedWorker *worker, SchedTask *task, int64_t now_us);
/* Takes the task from its worker. With TASK_WAITING it waits for a worker, unless a failure of it
 * is not written, or a previous owner may have started a later run of it. */
void sched_detach (SchedTask *task, TaskState state);
void sched_lose_worker (Sched *sched, SchedWorker *worker, const char *reason);
void sched_quarantine_worker (Sched *sched, SchedWorker *worker, const char *reason);

/* sched_plan.c */
SchedChains sched_chains_of (const Sched *sched, const SchedJob *job, uint32_t occurrence);
/* Time from when an occurrence is due until it is late. */
int64_t sched_objective_ms (const SchedJob *job, const SchedChains *chains);
/* Returns a SchedReadyStage for each stage with waiting tasks that may start, in dispatch order;
 * the caller frees the array. */
GArray *sched_ready_stages (Sched *sched);
/* Dispatch order of a stage, whether or not its tasks wait. The queue of its job is configured. */
SchedReadyStage sched_ready_stage (const Sched *sched, SchedStage *stage);
/* The stages that sched_ready_stages() would return now, and the order of one stage, without a
 * change of any state; the forecast is that of the last pass. The caller frees the array. */
GArray *sched_peek_ready_stages (const Sched *sched);
SchedReadyStage sched_peek_ready_stage (const Sched *sched, SchedStage *stage);
/* Negative if the first one is dispatched before the second one; a GCompareFunc of
 * SchedReadyStage. */
gint sched_compare_ready_stages (gconstpointer a, gconstpointer b);
/* Call it when a stage has been dispatched: the tasks that still wait exceed the free capacity. */
void sched_plan_note_waiting (Sched *sched, const SchedStage *stage);

/* sched_admit.c */
gboolean sched_has_label (const WorkerInfo *info, const char *label);
/* What the task waits for on this worker; SCHED_WAIT_NONE if it may start there. A task of a
 * starved stage is subject to fewer conditions. */
SchedWait sched_admit (SchedWorker *worker, const SchedTask *task, gboolean is_starved);
/* Whether the worker would admit the task if it had the processors and memory. */
gboolean sched_may_admit_later (SchedWorker *worker, const SchedTask *task);
/* What is free for tasks of the stage, with processors counted as for its kind. */
JobSize sched_free_for (const SchedWorker *worker, const SchedStage *stage);
/* What a task of the step takes from what sched_free_for() gives for a stage that is best-effort,
 * or is not. */
JobSize sched_size_for (const JobStep *step, gboolean is_best_effort);
/* Number of tasks of the stage that the processors and memory which are free on the worker hold.
 * For best-effort tasks an upper bound, as headroom is not counted. */
uint32_t sched_count_free (const SchedWorker *worker, const SchedStage *stage);
/* The same if the worker ran nothing else; 0 if it has another service or lacks the label. */
uint32_t sched_count_empty (const SchedWorker *worker, const SchedStage *stage);
/* Whether the best-effort task would fit on the worker of the running one if that ended, and
 * serving tasks would keep their headroom. */
gboolean sched_fits_instead (SchedWorker *worker, const SchedTask *task, const SchedTask *running);
/* Counts the time since the last pass for the tasks of the stage that still wait. */
void sched_count_waiting (Sched *sched, const SchedStage *stage);
/* Logs and resets the waiting times. */
void sched_note_waiting (Sched *sched);

/* sched_preempt.c */
/** Preemptions of one pass over the ready stages. */
typedef struct SchedPreemption SchedPreemption;
/* @p workers accept tasks, and outlive the result. Free it with sched_preemption_free(). */
SchedPreemption *sched_preemption_new (Sched *sched, const GPtrArray *workers);
void sched_preemption_free (SchedPreemption *preemption);
/* Stops best-effort tasks so that tasks of a stage that wait for headroom may start in their place.
 */
void sched_preempt (SchedPreemption *preemption, const SchedReadyStage *waiting);

/* sched_gaps.c */
/** Reservations of one pass over the ready stages. */
typedef struct SchedGaps SchedGaps;
/* @p workers accept tasks, and outlive the result. Free it with sched_gaps_free(). */
SchedGaps *sched_gaps_new (Sched *sched, const GPtrArray *workers);
void sched_gaps_free (SchedGaps *gaps);
/* Call it when a stage has been dispatched: keeps a worker for its next task, if that waits for
 * processors or memory. */
void sched_reserve_gap (SchedGaps *gaps, SchedStage *stage);
/* Whether the task would delay one that comes before it in the pass. */
gboolean sched_is_held (const SchedWorker *worker, const SchedTask *task);
/* The same between passes, of what the worker was kept for in the last one. */
gboolean sched_was_held (const SchedWorker *worker, const SchedTask *task);
/* When the task, which runs, is expected to end. */
int64_t sched_expected_end_us (const Sched *sched, const SchedTask *task);
/* Fills @p fit with when the task is expected to fit on the worker; FALSE if it does not by then.
 */
gboolean sched_fit_on (
    const Sched *sched, SchedWorker *worker, const SchedTask *task, int64_t until_us, GapsFit *fit);
/* Call it before each start in a pass. */
void sched_note_gap_start (SchedWorker *worker, const SchedTask *task);

/* sched_orders.c */
/* Creates an order; sched_order_add() takes ownership of it. */
Batch__Order *sched_order_new (Batch__Order__WhatCase what_case);
/* Adds a filled order to the worker's pending ones. Returns its number. */
uint64_t sched_order_add (SchedWorker *worker, Batch__Order *order);
/* Drops the orders up to the number, which the agent has executed or is executing. */
void sched_orders_confirm (SchedWorker *worker, uint64_t number);
void sched_orders_clear (SchedWorker *worker);
/* Whether a start that is ordered now would be under way at once. */
gboolean sched_has_room_for_orders (const SchedWorker *worker);

/* Ends the job if a task has used up its attempts. Its limit may have been unknown when it failed.
 */
void sched_end_if_spent (Sched *sched, SchedJob *job);

/* sched_terms.c */
/* Creates the queue of jobs whose terms are not known. */
Queue *sched_unknown_queue_new (void);
/* Sets the queue of a new job from its terms, which may be NULL, and the configuration. */
void sched_set_terms (Sched *sched, SchedJob *job, const Batch__Terms *terms);
/* Makes all jobs follow the configuration, which was replaced. */
void sched_update_terms (Sched *sched);
/* Whether the terms of the job are known. Else what runs goes on and nothing is started. */
gboolean sched_has_terms (const Sched *sched, const SchedJob *job);
/** Open jobs whose queue is not configured. */
typedef struct
{
  uint32_t n_kept;    /**< they have the newest known terms */
  uint32_t n_unknown; /**< their terms are not known */
} SchedTermsCount;
SchedTermsCount sched_count_terms (const Sched *sched);

/* sched_shares.c */
/* Sets the origin of the job from its queue and data centre. */
void sched_share_job (Sched *sched, SchedJob *job);
/* Decides which origins exceed their shares, and sets that in the SchedReadyStage of the array. */
void sched_update_shares (Sched *sched, GArray *ready_stages);
/* Whether the work of the stage comes after that of other origins. */
gboolean sched_exceeds_share (const SchedReadyStage *ready_stage);
/* Counts what runs for each origin; call it when all stages have been dispatched. */
void sched_count_shares (Sched *sched);
/* Call it when a stage has been dispatched. */
void sched_note_share_left (const Sched *sched, const SchedStage *stage);
/* Call it when the first task of the job has started. */
void sched_note_first_start (Sched *sched, const SchedJob *job);

/* sched_place.c */
/** A stage that has been ready for this long always gets tasks started, if less than this
 * percentage of the processors is reserved. Otherwise it could wait indefinitely in favour of
 * others. */
#define SCHED_STARVED_MS 1000
/* Cost of placing the task there; the worker with the least one is chosen. */
int64_t sched_cost (SchedWorker *worker, const SchedTask *task);
/* Whether most processors of a service's workers are unreserved. */
gboolean sched_is_mostly_free (const GPtrArray *workers, const char *service);
/* First task of the stage that waits; there must be one. */
SchedTask *sched_first_waiting (const SchedStage *stage);
/* Run number of the next start of the task. */
int64_t sched_next_run (const Sched *sched, const SchedTask *task);
/* Starts tasks. Returns the number of ready tasks that could not be placed. */
uint32_t sched_place (Sched *sched);

/* Whether the task could be started on a worker other than its own now. */
gboolean sched_has_other_worker (Sched *sched, const SchedTask *task);

/* sched_remediation.c */
void sched_remediate (Sched *sched);

/* sched_learn.c */
/* Learns the duration of a task that completed in one run without throttling. */
void sched_learn_duration (const Sched *sched, SchedTask *task, int64_t took_ms);
/* Expected duration of one task of the step; stage is NULL once the occurrence was dropped. */
int64_t sched_expected_ms (const Sched *sched,
                           const SchedJob *job,
                           const JobStep *step,
                           const SchedStage *stage);

/* sched_tails.c */
gboolean sched_is_serving (const SchedTask *task);
/* Target latency of a serving task divided by its tail latency: below 1 it is over its target; 0:
 * not known. */
double sched_headroom (const SchedTask *serving);
/* Updates the interference model from the newest report of the worker. */
void sched_tails_learn (SchedWorker *worker);
/* Call these after a task was attached, before it is detached, and after its CPU limit changed. */
void sched_tails_attach (SchedWorker *worker, SchedTask *task);
void sched_tails_detach (SchedWorker *worker, const SchedTask *task);
void sched_tails_cpu_limit (SchedWorker *worker, SchedTask *task);
/* Least headroom, with a margin for its variance, that is predicted for the serving tasks of the
 * worker if the best-effort task uses another @p share of its processors. Counts only serving tasks
 * that the image noticeably affects. */
double sched_tails_headroom_with (SchedWorker *worker, const SchedTask *best_effort, double share);
/* Like sched_tails_headroom_with(), if the best-effort task ran in place of a running one. Only
 * impacts that are known from measurements count as spared. */
double sched_tails_headroom_instead (SchedWorker *worker,
                                     const SchedTask *best_effort,
                                     const SchedTask *running);
/* Whether the impact of the task on some serving task of the worker is known from measurements. */
gboolean sched_tails_is_impact_known (const SchedWorker *worker, const SchedTask *best_effort);
/* Largest share of a serving task's spare headroom that the best-effort task would use up. */
double sched_tails_headroom_use (SchedWorker *worker, const SchedTask *best_effort);
/** What a query changes in a worker's cached predictions, and takes back at its end. */
typedef struct
{
  SchedWorker *worker;
  GPtrArray *stages; /**< SchedStage without an image number of their own */
  gboolean was_outdated;
} SchedTailsPeek;
/* Until sched_tails_peek_end(), predictions for the worker leave no trace: no image gets a number,
 * and predictions that were outdated are made again for the next pass, at its time. The worker's
 * tasks must not change meanwhile. */
SchedTailsPeek sched_tails_peek_begin (SchedWorker *worker);
void sched_tails_peek_end (SchedTailsPeek *peek);
/* Predicted headroom of the serving task now, given all orders that were issued. */
double sched_tails_headroom_now (const SchedWorker *worker, const SchedTask *serving);
/* Share of the worker's processors that a task uses at a CPU limit of @p percent. */
double
sched_tails_share (const SchedWorker *worker, const SchedTask *best_effort, uint32_t percent);
/* Reduction of a serving task's headroom by one best-effort task now, and by all of them. */
double sched_tails_impact (const SchedWorker *worker,
                           const SchedTask *serving,
                           const SchedTask *best_effort);
double sched_tails_total_impact (const SchedWorker *worker, const SchedTask *serving);

void sched_note (Sched *sched, const char *event, const char *job, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

G_END_DECLS
