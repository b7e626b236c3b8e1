/**
 * @file sched_tables.h
 * The scheduler's tables. Internal to lib/batch.
 */
#pragma once

#include "batch/interference.h"
#include "batch/sched.h"

G_BEGIN_DECLS

typedef struct SchedJob SchedJob;
typedef struct SchedPart SchedPart;
typedef struct SchedTask SchedTask;
typedef struct SchedWorker SchedWorker;

/** Pace at which a task starts, in percent. */
#define SCHED_FULL_PACE 100
/** Activity of a task that fills before anything was told of it, as a share of the most. */
#define SCHED_ACTIVITY_FIRST 0.7

typedef enum
{
  TASK_WAITING,
  TASK_UNSURE, /**< an earlier owner may have started it at an agent that has not reported */
  TASK_PLACED, /**< ordered to a worker, or running there */
  TASK_DONE,
} TaskState;

struct SchedTask
{
  SchedPart *part;
  uint32_t index;
  TaskState state;
  int64_t run; /**< highest that was used */
  uint32_t n_failed;
  SchedWorker *worker;   /**< of a placed task */
  uint64_t order_number; /**< of its start; 0 for one that was found running */
  int64_t placed_us;
  int64_t percent;
  int64_t percent_us; /**< when the percent last changed */
  int64_t figure;
  uint32_t pace;        /**< percent that it may work at */
  int64_t pace_us;      /**< when that was last changed; 0: never */
  int64_t over_us;      /**< of a serving task: since when it is over its target; 0: it is not */
  InterferenceTask own; /**< of a serving task: what it has beside its service */
  InterferenceEstimate room; /**< of a serving task: what they will leave of it */
  double activity; /**< of a task that fills: how much it presses, as a share of the most */
  gboolean is_starting;
  gboolean is_stopping;
  gboolean
      is_done_elsewhere; /**< another run ended done; this one holds its room until it is gone */
  gboolean is_listed;    /**< in the newest whole report, or a later one */
  char *saved;
  SchedWorker *avoid; /**< where it last failed or stood still */
};

/** What a task takes of a worker's processors: a share reserved for it, or what others leave. */
typedef enum
{
  SCHED_PLAIN,
  SCHED_FILLING,
  SCHED_CLASSES,
} SchedClass;

/** Expected work of one occurrence. */
typedef struct
{
  int64_t whole_ms;           /**< its longest chain */
  int64_t left_ms;            /**< without the steps that are done */
  double whole_work;          /**< core milliseconds of all tasks */
  double work[SCHED_CLASSES]; /**< of those that are not done */
  uint32_t n_begun;           /**< tasks that are done or at work */
} SchedChains;

/** Which jobs go first. Under overload, jobs that have begun are done in time and others are not
 * begun; were new ones to go before those that have waited, all would be begun and all be late. */
typedef enum
{
  SCHED_RANK_BEGUN,   /**< can be done in time, and has tasks that are done or at work */
  SCHED_RANK_IN_TIME, /**< can be done in time */
  SCHED_RANK_LATE,    /**< can be done while it is of use, though late */
  SCHED_RANK_USELESS,
} SchedRank;

/** A step whose tasks may start. */
typedef struct
{
  SchedPart *part;
  uint32_t priority;
  SchedRank rank;
  int64_t deadline_ms;
  double work; /**< core milliseconds of all tasks of the occurrence that are not done */
} SchedTurn;

/** One step of one occurrence. */
struct SchedPart
{
  SchedJob *job;
  const JobStep *step;
  uint32_t occurrence;
  uint32_t step_index;
  uint32_t n_done;
  uint32_t n_waiting;           /**< tasks in TASK_WAITING */
  SchedTask *tasks;             /**< step->n_tasks of them */
  GArray *failed;               /**< FailedRow */
  uint32_t n_timed;             /**< tasks that ran through at full pace */
  int64_t timed_ms;             /**< sum of their durations */
  int64_t ready_us;             /**< when its turn was first seen to have come; 0: not yet */
  SchedChains chains;           /**< of the occurrence; kept with its first step */
  uint64_t chains_change;       /**< the job's changes that they are of */
  gboolean is_planned;          /**< the occurrence was in a forecast; with its first step */
  gboolean is_chosen;           /**< and can be done in time by it */
  InterferenceService *service; /**< headroom of a step that serves; NULL before its first figure */
  uint32_t image;               /**< number of its image, once has_image is set */
  gboolean has_image;
};

/** A task that fills at a worker, at one pace. */
typedef struct
{
  SchedTask *task; /**< valid while the exposure goes on */
  uint32_t image;
  double share;    /**< of the worker's processors, at its pace */
  double activity; /**< of the task, or its last one */
  int64_t from_us;
  int64_t to_us; /**< 0: it goes on */
} SchedExposure;

typedef struct
{
  uint32_t index;
  int64_t run;
} FailedRow;

/** What a queue's tasks took, against what was declared; see sched_learn.c. */
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
  const Queue *queue; /**< NULL while no configuration has it */
  int64_t accepted_wall_ms;
  JobSpec *spec;
  SchedJobState state;
  gboolean is_old;
  gboolean has_begun;
  int64_t ended_us;          /**< when that was seen in this term; 0: not yet */
  GPtrArray *parts;          /**< SchedPart of the occurrences under way, by occurrence and step */
  uint32_t occurrences_done; /**< all before this one */
  uint32_t occurrences_made;
  uint64_t n_changes; /**< of its tasks; from 1 */
};

struct SchedWorker
{
  Sched *sched;
  char *name;       /**< of its agent */
  WorkerInfo *info; /**< NULL before its first report */
  uint64_t boot;
  uint64_t life;           /**< 0: not known */
  int64_t report_us;       /**< when the newest report came; 0: none in this term */
  int64_t silent_us;       /**< since when it has not reported; 0: it does */
  int64_t clock_us;        /**< of the agent in that report */
  int64_t figures_us;      /**< when the figures in it were measured */
  uint64_t report_version; /**< of the newest report that was applied; 0: a whole one is needed */
  uint64_t done_number;
  uint64_t next_number;
  uint64_t told_number; /**< newest order that was sent */
  int64_t told_us;      /**< when all orders not carried out were last sent */
  GPtrArray *orders;    /**< Batch__Order not carried out yet, owned */
  gboolean has_news;    /**< something has to be said */
  int64_t ends_taken;
  int64_t ends_kept;
  gboolean is_leaving;
  GPtrArray *tasks;   /**< SchedTask placed here */
  GHashTable *strays; /**< "task run" of what runs here and should not, as a set */
  JobSize used;       /**< processors without those of tasks that fill */
  int64_t fill_cpu_m; /**< wanted by tasks that fill */
  uint32_t n_serving;
  int64_t serving_cpu_m;  /**< reserved for serving tasks, part of used */
  GArray *exposures;      /**< SchedExposure, of now and the last moments */
  gboolean has_old_rooms; /**< rooms of its serving tasks have to be computed anew */
  int64_t pace_us;        /**< when tasks that fill were last paced */
  gboolean is_harmed;     /**< a serving task has been over its target for too long */
  uint32_t fail_streak;
  int64_t shun_until_us; /**< nothing new before */
  int64_t shun_ms;       /**< length of the last shunning */
};

struct Sched
{
  SchedOptions options;
  const QueueConfig *config;
  uint64_t term;
  int64_t settled_us;
  GHashTable *jobs;      /**< id -> SchedJob */
  GHashTable *open;      /**< SchedJob, as a set */
  GQueue *ended;         /**< SchedJob that are not open, oldest end first */
  GHashTable *workers;   /**< agent name -> SchedWorker */
  char *forgetting;      /**< agent whose record is being dropped; NULL for none */
  GHashTable *dirty;     /**< SchedJob whose progress has to be written */
  GHashTable *flushing;  /**< SchedJob in the flush under way, its own; NULL for none */
  GHashTable *pending;   /**< queue name -> number of jobs that have not begun */
  GHashTable *durations; /**< queue name -> SchedDurations */
  int64_t now_us;
  int64_t wall_ms;
  int64_t room_noted_us;
  Interference *interference;
  int64_t plan_us;                   /**< of the newest forecast */
  double cores[SCHED_CLASSES];       /**< that tasks of the class can have */
  uint32_t n_waiting[SCHED_CLASSES]; /**< tasks that found no room when last looked for */
};

/* sched_jobs.c */
void sched_job_free (gpointer data);
SchedTask *sched_find_task (Sched *sched, const char *name);
char *sched_task_name (const SchedTask *task);
void sched_mark_dirty (Sched *sched, SchedJob *job);
void sched_make_occurrences (Sched *sched, SchedJob *job);
/* When the occurrence was due; of a job without times, when it was accepted. */
int64_t sched_due_wall_ms (const SchedJob *job, uint32_t occurrence);
gboolean sched_part_is_ready (const SchedPart *part);
SchedPart *sched_find_part (const SchedJob *job, uint32_t occurrence, uint32_t step);
void sched_end_job (Sched *sched, SchedJob *job, SchedJobState state);
void sched_task_done (Sched *sched, SchedTask *task);
/* To be called after a detach: the task may have been done by another run. */
void sched_task_settle (Sched *sched, SchedTask *task);
void sched_task_failed (Sched *sched, SchedTask *task, int64_t run);
gboolean sched_job_is_open (const SchedJob *job);
GBytes *sched_encode_progress (const SchedJob *job);

/* sched_forget.c */
/* Dates the jobs that have ended since the last tick. */
void sched_date_ended (Sched *sched);

/* sched_workers.c */
SchedWorker *sched_worker_new (Sched *sched, const char *name);
void sched_worker_free (gpointer data);
void sched_order_start (Sched *sched, SchedWorker *worker, SchedTask *task);
void sched_order_stop (Sched *sched, SchedTask *task, const char *reason);
void sched_order_stop_run (SchedWorker *worker, const char *task, int64_t run);
void sched_order_pace (Sched *sched, SchedTask *task, uint32_t percent);
void sched_attach (SchedWorker *worker, SchedTask *task, int64_t now_us);
void sched_detach (SchedTask *task, TaskState state);
void sched_lose_worker (Sched *sched, SchedWorker *worker, const char *reason);
void sched_shun (Sched *sched, SchedWorker *worker, const char *reason);

/* sched_plan.c */
/* SchedTurn of all steps whose tasks wait and may start, first come first; free it. */
GArray *sched_turns (Sched *sched);
/* To be called once the turn of a part is over: what waits is more than there is room for. */
void sched_plan_note_waiting (Sched *sched, const SchedPart *part);

/* sched_place.c */
/* Returns how many tasks whose turn has come found no room. */
uint32_t sched_place (Sched *sched);

/* Whether another worker than its own would take the task now. */
gboolean sched_has_place (Sched *sched, const SchedTask *task);

/* sched_care.c */
void sched_care (Sched *sched);

/* sched_learn.c */
/* A task ran through in one run at full pace. */
void sched_learn_duration (const Sched *sched, SchedTask *task, int64_t took_ms);
/* What one task of the step takes, by what was learned; part is NULL once it was dropped. */
int64_t sched_expected_ms (const Sched *sched,
                           const SchedJob *job,
                           const JobStep *step,
                           const SchedPart *part);

/* sched_tails.c */
gboolean sched_is_serving (const SchedTask *task);
/* Target of a serving task divided by its tail: under 1 it is over its target; 0: not known. */
double sched_headroom (const SchedTask *serving);
/* Learns from the newest report of the worker. */
void sched_tails_learn (SchedWorker *worker);
/* To be called after a task was attached, before it is detached, and after its pace changed. */
void sched_tails_attach (SchedWorker *worker, SchedTask *task);
void sched_tails_detach (SchedWorker *worker, const SchedTask *task);
void sched_tails_pace (SchedWorker *worker, SchedTask *task);
/* Least headroom, with little doubt, that the serving tasks of the worker that would notice keep
 * for the next while if @p share more of its processors is at work for the task that fills. */
double sched_tails_room (SchedWorker *worker, const SchedTask *fill, double share);
/* Largest share of a serving task's room that the task would take. */
double sched_tails_use (SchedWorker *worker, const SchedTask *fill);
/* Headroom that the serving task has now beside all that was ordered. */
double sched_tails_now (const SchedWorker *worker, const SchedTask *serving);
/* Share of the worker's processors that a task uses at @p percent of its pace. */
double sched_tails_share (const SchedWorker *worker, const SchedTask *fill, uint32_t percent);
/* What a task that fills takes of a serving task's headroom now, and what all of them take. */
double
sched_tails_take (const SchedWorker *worker, const SchedTask *serving, const SchedTask *fill);
double sched_tails_takes (const SchedWorker *worker, const SchedTask *serving);

void sched_note (Sched *sched, const char *event, const char *job, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

G_END_DECLS
