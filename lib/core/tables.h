/**
 * @file tables.h
 * Tables of the core, and the operations that keep their sums consistent. Internal to lib/core.
 *
 * Workers, services, teams and classes are addressed by a 32-bit row index, tasks by job id and
 * task index. Only tables.c changes a task's state, its worker or its reservation.
 */
#pragma once

#include "core/core.h"

#include "common/clk.h"

G_BEGIN_DECLS

#define CORE_NONE UINT32_MAX
#define CORE_BANDS 4
#define CORE_FULL_PERMILLE 1000
#define CORE_HISTOGRAM_BUCKETS 64
#define CORE_STREAK_MAX 8
#define CORE_RECENT_STARTS_MAX 5
#define CORE_FAILED_ON_MAX 8

typedef struct CoreJob CoreJob;

typedef enum
{
  TASK_WAITING,
  TASK_LIVE,     /**< running, or a start was commanded */
  TASK_STOPPING, /**< a stop was commanded; still counted on its worker */
  TASK_HELD,     /**< may run on an unreachable instance */
  TASK_DONE,
  TASK_CANCELLED,
  TASK_GIVEN_UP,
  TASK_STATE_COUNT,
} CoreTaskState;

typedef struct
{
  CoreJob *job;
  uint32_t index;
  uint32_t attempt;
  CoreTaskState state;
  uint32_t worker;     /**< CORE_NONE while not on a worker */
  uint32_t list_index; /**< index in the worker's list of tasks */
  uint32_t failed_on;  /**< worker of the last failure */
  uint32_t placed_on;  /**< worker of the newest start; CORE_NONE if an earlier owner started it */
  CoreReason placed_why; /**< reason of the newest start */
  uint32_t failures;     /**< failures that were not attributed to a worker */
  uint32_t throttle_permille;
  gboolean is_probe;
  CoreCommandType stop_type; /**< command that stops the task; valid in TASK_STOPPING */
  CoreReason stop_why;       /**< reason of the stop; valid in TASK_STOPPING */
  DocSize reserved;
  DocSize used; /**< newest usage report of this attempt */
  int64_t started_us;
  int64_t evicted_us; /**< time of the last eviction; 0: never */
  int64_t stop_sent_us;
  int64_t not_before_us;
  int64_t throttled_us;
  int64_t progress_ms;
  int64_t eviction_until_us; /**< time until which evictions for this task are pending */
  uint32_t eviction_worker;  /**< worker of these evictions */
} CoreTask;

/** Workers that the rules allow for one set of labels. Shared by all jobs with equal labels. */
typedef struct
{
  LabSet *labels;
  uint64_t generation; /**< generation of the configuration that @c allowed belongs to */
  GArray *allowed; /**< by worker row: index of the forbidding rule, -1 if allowed, -2 if unknown */
  GArray *candidates; /**< uint32_t: rows of the allowed workers */
  gboolean has_candidates;
  int64_t blocked_us; /**< tick in which no worker was found for a task of blocked_size */
  DocSize blocked_size;
  gboolean blocked_lacks_capacity;
} CoreConstraints;

/** Histogram of the ratio of measured to declared values; eight buckets for each power of two. */
typedef struct
{
  uint32_t count[CORE_HISTOGRAM_BUCKETS];
  uint32_t total;
  uint32_t cached_permille; /**< quantile that was computed last; 0: none since the last sample */
  int64_t cached_ratio;
} CoreHistogram;

typedef struct
{
  char *name;
  CoreHistogram cpu;
  CoreHistogram memory;
  CoreHistogram run;
  double growth;     /**< largest known growth of a service's tail by one task */
  int64_t growth_us; /**< tick in which @c growth was computed */
} CoreClass;

struct CoreJob
{
  uint64_t id;
  char *name;
  char *team;
  uint32_t team_row;
  uint32_t class_row;
  CoreConstraints *constraints;
  DocPriority priority;
  DocSize size;
  int64_t run_ms;
  int64_t checkpoint_ms;
  uint32_t max_failures;
  int64_t submitted_us;
  int64_t deadline_us;
  uint32_t n_tasks;
  CoreTask *tasks;
  uint32_t count[TASK_STATE_COUNT];
  uint32_t first_waiting; /**< no waiting task has a lower index */
  uint32_t ready_index;
  gboolean is_cancelled;
  gboolean is_given_up;
  uint32_t cancel_next;
  gboolean is_unplaceable;
  CoreReason unplaceable_why;
  char rule[CORE_NAME_SIZE];
  uint64_t checked_generation; /**< generation in which check.c last checked the job */
  uint32_t failed_on[CORE_FAILED_ON_MAX];
  uint32_t n_failed_on;
  int64_t failed_run_us; /**< longest run of a failed attempt */
  int64_t first_seen_us;
  int64_t finished_us;
  int64_t laxity_us;
  gboolean is_due;       /**< little laxity remains, or the job has waited for long */
  int tail_cost;         /**< log2 of the worst tail's growth per processor, rounded down */
  const char *waits_for; /**< why no task could start at the last attempt; static storage */
};

typedef struct
{
  char *name;
  DocSize quota;
  int64_t weight;
  DocSize used;
  double share; /**< dominant share of the total capacity, divided by the weight */
} CoreTeam;

typedef struct
{
  char *name;
  DocSize size;
  int64_t target_us; /**< 0: the document has no target */
  LabSet *labels;
  GArray *pairs;                  /**< CorePair, by class and load band */
  uint32_t band;                  /**< load band of the newest report of any instance */
  double baseline_us[CORE_BANDS]; /**< learned tail without batch tasks, by load band; 0: unknown */
} CoreService;

/** One service's endpoint on an instance. */
typedef struct
{
  uint32_t service;
  uint32_t band;
  int64_t p99_us;
  int64_t measured_us;     /**< 0: no report yet */
  double bias;             /**< smoothed ratio of measured to forecast tail; 0: unknown */
  gboolean has_new_report; /**< the newest report was not handled by tail_run() yet */
  gboolean is_over;        /**< the tail was over its target in the newest report */
} CoreEndpoint;

/** A change of the batch tasks on an instance; reconstructs the state that a delayed report saw. */
typedef struct
{
  int64_t at_us;
  uint32_t class_row;
  int32_t delta_permille;
} CoreChange;

typedef struct
{
  uint64_t job;
  uint32_t index;
} CoreFailure;

typedef enum
{
  WORKER_LIVE,
  WORKER_LEAVING,
  WORKER_GONE, /**< the row can be reused */
} CoreWorkerState;

typedef struct
{
  char *id;
  uint32_t row;
  uint64_t incarnation;
  CoreWorkerState state;
  char *data_centre;
  char *rack;
  LabSet *announced;
  LabSet *labels;
  DocSize capacity;
  DocSize endpoints_size; /**< capacity granted to the endpoints of services */
  DocSize tasks_size;     /**< sum of the tasks' reservations */
  DocSize excess;         /**< sum of the tasks' use above their reservations */
  GArray *endpoints;      /**< CoreEndpoint */
  GPtrArray *tasks;       /**< CoreTask, not owned */
  GArray *changes;        /**< CoreChange, oldest first */
  GArray *weights;        /**< int32_t by class: current tasks in thousandths, scaled by throttle */
  int64_t trial_until_us; /**< end of the trial of a pair without samples; no other task starts
                             until then */
  int64_t last_action_us; /**< time of the last throttle or eviction because of a tail */
  int64_t recent_starts_us[CORE_RECENT_STARTS_MAX];
  uint32_t n_recent_starts;
  CoreFailure streak[CORE_STREAK_MAX]; /**< failures since a task last succeeded */
  uint32_t n_streak;
  gboolean is_quarantined;
  int64_t quarantined_us;
  int64_t probe_at_us;
  int64_t probe_backoff_us;
  gboolean is_probing;
  int64_t first_seen_us; /**< when this incarnation was first seen */
  int64_t lag_us;        /**< observed age of the newest service report */
  gboolean has_new_reports;
} CoreWorker;

/** Relative growth of a service's tail by one task of a class, in one load band. */
typedef struct
{
  double growth;
  double growth_upper_bound; /**< @c growth plus its uncertainty, which shrinks with samples */
  double information; /**< sum over the samples of the squared number of tasks; 0: no samples */
  int64_t trial_until_us;
} CorePair;

typedef struct
{
  char *name;
  DocEffect effect;
  Sel *work;
  Sel *instances;
  Sel *beside;
  DocSpread spread;
  int64_t max_each;
} CoreRule;

/** Copy of the parts of the document that the core reads. */
typedef struct
{
  GPtrArray *rules;         /**< CoreRule */
  DocDocument *label_rules; /**< contains only the label rules, for doc_apply_labels() */
  DocPolicy policy;
  gboolean has_spread; /**< a rule spreads the tasks of a job */
  uint64_t generation;
} CoreConfig;

/** Predicted effect of one more task on the services of an instance. */
typedef struct
{
  gboolean is_allowed;
  gboolean is_trial;
  int64_t tail_permille; /**< predicted tail of the worst service, in thousandths of its target */
  int64_t growth_permille;
  const char *service; /**< the service that decided; may be NULL */
} CoreForecast;

/** An instance on which a task could start. */
typedef struct
{
  const CoreWorker *worker;
  DocSize size;
  CoreForecast forecast;
} CoreOffer;

/** Callbacks that choose among instances; each placement policy has its own. */
typedef struct
{
  void *ctx;
  gboolean (*admits) (void *ctx, const CoreWorker *worker, const CoreJob *job);
  double (*score) (void *ctx, const CoreOffer *offer);
} CorePlacer;

struct Core
{
  CoreOptions options;
  CoreConfig config;
  CorePlacer placer;
  int64_t now_us;
  uint64_t generation; /**< grows when the document or an instance changes */
  GArray *commands;    /**< output of the running tick; not owned */
  GPtrArray *workers;
  GHashTable *worker_rows;   /**< id to row + 1 */
  GHashTable *jobs_by_id;    /**< CoreJob, owned */
  GPtrArray *ready;          /**< jobs with waiting tasks, not owned */
  GPtrArray *order;          /**< placeable ready jobs in scheduling order, made at ordered_us */
  GPtrArray *deadlines;      /**< the jobs of @c order that have a deadline */
  gboolean is_ready_changed; /**< the set of ready, placeable jobs changed since ordered_us */
  int64_t ordered_us;
  GPtrArray *teams;
  GHashTable *team_rows;
  GPtrArray *services;
  GHashTable *service_rows;
  GPtrArray *classes;
  GHashTable *class_rows;
  GHashTable *pairs;                 /**< CorePair by key */
  GHashTable *constraints_by_labels; /**< CoreConstraints by printed labels */
  GPtrArray *cancels;                /**< jobs being cancelled, not owned */
  GPtrArray *ended;                  /**< ended jobs without tasks, oldest first, not owned */
  GPtrArray *finished;    /**< ended jobs that still have tasks, oldest first, not owned */
  GArray *free_rows;      /**< rows of gone workers */
  GPtrArray *quarantined; /**< CoreWorker, not owned */
  GPtrArray *reported;    /**< CoreWorker with new service reports, not owned */
  GArray *scratch;        /**< double by class, of interference.c */
  uint32_t backfill_row; /**< worker reserved for the first job that lacks capacity, or CORE_NONE */
  uint64_t backfill_job;
  int64_t backfill_until_us;
  DocSize fleet;          /**< capacity of all instances */
  uint32_t next_scan_row; /**< next worker of the periodic scan */
  double budget;          /**< evictions that are allowed now */
  int64_t budget_us;      /**< time of the last refill of @c budget */
  uint32_t starts_left;   /**< starts left in this tick */
  uint64_t random;
  uint64_t evictions;
  uint64_t interruptions;
  uint64_t starts;
  uint32_t total[TASK_STATE_COUNT];
};

/* tables.c */
void tables_init (Core *core);
void tables_clear (Core *core);
CoreWorker *tables_worker (const Core *core, const char *id);
CoreWorker *tables_worker_row (const Core *core, uint32_t row);
CoreWorker *tables_worker_add (Core *core, const char *id);
void tables_worker_remove (Core *core, CoreWorker *worker);
uint32_t tables_service (Core *core, const char *name);
CoreService *tables_service_row (const Core *core, uint32_t row);
uint32_t tables_class (Core *core, const char *name);
CoreClass *tables_class_row (const Core *core, uint32_t row);
uint32_t tables_team (Core *core, const char *name);
CoreTeam *tables_team_row (const Core *core, uint32_t row);
CoreJob *tables_job (const Core *core, uint64_t id);
CoreJob *tables_job_add (Core *core, const CoreJobIn *in);
CoreTask *tables_task (const Core *core, CoreTaskKey key);
/** Changes the state of @p task and the counts by state; the worker and reservation stay. */
void tables_set_state (Core *core, CoreTask *task, CoreTaskState state);
/** Assigns @p task to @p worker and reserves @p size, which must fit. */
void tables_assign (Core *core, CoreTask *task, CoreWorker *worker, DocSize size);
/** Removes @p task from its worker, releases its reservation and sets @p state. */
void tables_release (Core *core, CoreTask *task, CoreTaskState state);
void tables_set_used (Core *core, CoreTask *task, DocSize used);
void tables_set_throttle (Core *core, CoreTask *task, uint32_t permille);
/** Grants the services their reservations, up to the capacity that the tasks leave. */
void tables_grant_endpoints (Core *core, CoreWorker *worker);
/** Sum of the sizes that the document declares for @p worker's services. */
DocSize tables_endpoints_demand (const Core *core, const CoreWorker *worker);
DocSize tables_free_size (const CoreWorker *worker);
int64_t tables_lag_us (const Core *core);
gboolean tables_has_mechanism (const Core *core, CoreMechanism mechanism);
uint32_t tables_random (Core *core, uint32_t below);
DocSize size_add (DocSize a, DocSize b);
DocSize size_sub (DocSize a, DocSize b);
DocSize size_min (DocSize a, DocSize b);
DocSize size_max (DocSize a, DocSize b);
gboolean size_fits (DocSize inner, DocSize outer);

/* config.c */
void config_clear (CoreConfig *config);
void config_load (Core *core, const DocDocument *document);

/* rules.c */
CoreConstraints *rules_constraints (Core *core, const LabSet *labels);
void rules_constraints_free (void *constraints);
/** Index of the rule that forbids the labels on @p worker, -1 for none. */
int32_t rules_forbid (Core *core, CoreConstraints *constraints, const CoreWorker *worker);
/**
 * Gets the spread or anti-affinity rule that forbids @p job on @p worker, or NULL. @p self is a
 * task of the job that already runs there and is not counted, or NULL.
 */
const CoreRule *rules_broken_by_neighbours (Core *core,
                                            const CoreJob *job,
                                            const CoreWorker *worker,
                                            const CoreTask *self);
const GArray *rules_candidates (Core *core, CoreConstraints *constraints);
void rules_label_worker (Core *core, CoreWorker *worker);

/* ingest.c */
void ingest_run (Core *core, const CoreInput *inputs, size_t n_inputs);

/* learn.c */
void learn_add (CoreHistogram *histogram, int64_t value, int64_t declared);
/** Quantile in thousandths of the declared value; 0 without samples. */
int64_t learn_quantile_permille (CoreHistogram *histogram, uint32_t permille);
DocSize learn_size (const Core *core, const CoreJob *job);
int64_t learn_run_ms (const Core *core, const CoreJob *job, uint32_t permille);
/** Work in milliseconds that is lost if @p task is stopped now. */
int64_t learn_lost_ms (const Core *core, const CoreTask *task);

/* health.c */
/** Attributes a failure to the job or to @p worker, which is NULL if unknown. */
void health_failed (Core *core, CoreTask *task, CoreWorker *worker);
void health_done (Core *core, CoreTask *task, CoreWorker *worker);
void health_run (Core *core);
/** Number of starts that @p worker may get before its recent starts have proven healthy. */
uint32_t health_start_allowance (Core *core, CoreWorker *worker);
/** Whether another task of a job may start; a job that has only failed runs one task at a time. */
gboolean health_allows_job (Core *core, const CoreJob *job);
void health_started (Core *core, CoreWorker *worker, const CoreTask *task);

/* interference.c */
void interference_report (Core *core, CoreWorker *worker, const CoreServiceIn *in);
void interference_forecast (Core *core, CoreWorker *worker, const CoreJob *job, CoreForecast *out);
void interference_started (Core *core, CoreWorker *worker, const CoreJob *job);
/** Growth of the worst service's tail by one task of the class; 0 without samples. */
double interference_growth (Core *core, uint32_t class_row);
void interference_change (Core *core, CoreWorker *worker, uint32_t class_row, int32_t delta);

/** Upper estimate of the growth by one task. FALSE while no load band has samples. */
gboolean interference_growth_of (
    const Core *core, uint32_t service, uint32_t class_row, uint32_t band, double *growth);
/** The service's tail without batch tasks, in microseconds; 0 if unknown. */
double interference_baseline_of (const CoreService *service, uint32_t band);
/** Relative growth of a service's tail by the tasks that run on @p worker now. */
double
interference_current (const Core *core, const CoreWorker *worker, uint32_t service, uint32_t band);

/* tail.c */
/** Handles new service reports: throttles, evicts, lifts throttles. */
void tail_run (Core *core);

/* order.c */
void quota_run (Core *core);
gboolean quota_allows (const Core *core, const CoreJob *job, DocSize size);
void order_run (Core *core);

/* place.c */
void place_run (Core *core);
/** Size that a task of @p job reserves on @p worker: the learned size within the worker's capacity,
 * but at least the declared size. */
DocSize place_size (const Core *core, const CoreJob *job, const CoreWorker *worker);
/** Whether @p worker may run @p job, regardless of free capacity and interference. */
gboolean place_is_open (Core *core, const CoreJob *job, CoreWorker *worker);
/** The instance that step @p n of a bounded scan of @p candidates examines. */
CoreWorker *place_candidate (Core *core, const GArray *candidates, guint n);
guint place_scan_length (const GArray *candidates);

/* policy.c */
CorePlacer policy_placer (Core *core);

/* check.c */
/** Finds the jobs that no instance can hold and reports the reason. */
void check_run (Core *core);

/* reclaim.c */
void reclaim_run (Core *core);
/**
 * Evicts @p task if its cooldown and the eviction budget allow it. @p is_mandatory: the budget is
 * charged but does not limit the eviction.
 */
gboolean
reclaim_evict (Core *core, CoreTask *task, const CoreCommand *reason, gboolean is_mandatory);
/** Evicts the cheapest tasks that free capacity for an urgent task. Returns the worker's row, or
 * CORE_NONE. */
uint32_t reclaim_evict_for (Core *core, CoreTask *task);
void reclaim_stop (Core *core, CoreTask *task, CoreCommandType type, const CoreCommand *reason);

/* emit.c */
CoreCommand emit_command (CoreCommandType type, CoreReason why);
/** Sets task, attempt, worker, reservation and throttle of @p command and appends it. */
void emit_task (Core *core, const CoreTask *task, CoreCommand command);
void emit (Core *core, const CoreCommand *command);

G_END_DECLS
