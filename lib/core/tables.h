/**
 * @file tables.h
 * The core's tables and the operations that keep their sums right. Internal to lib/core.
 *
 * Rows of workers, services and classes are found by a 32-bit index; a task is found by its job and
 * its index. Only tables.c changes a task's state, its place or a reservation.
 */
#pragma once

#include "core/core.h"

#include "common/clk.h"

G_BEGIN_DECLS

#define CORE_NONE UINT32_MAX
#define CORE_BANDS 4
#define CORE_FULL_PERMILLE 1000
#define CORE_LEARN_BUCKETS 64
#define CORE_STREAK_MAX 8
#define CORE_YOUNG_MAX 5
#define CORE_FAILED_ON_MAX 8

typedef struct CoreJob CoreJob;

typedef enum
{
  TASK_WAITING,
  TASK_LIVE,     /**< started, or commanded to */
  TASK_STOPPING, /**< told to stop; still counted where it runs */
  TASK_HELD,     /**< may run on an instance that can't be reached */
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
  uint32_t worker;    /**< CORE_NONE while it is on none */
  uint32_t place;     /**< place in the worker's list */
  uint32_t failed_on; /**< worker of the last failure */
  uint32_t placed_on; /**< worker of the newest start; CORE_NONE: started by an earlier owner */
  CoreWhy placed_why; /**< reason of the newest start */
  uint32_t failures;  /**< that were not blamed on a worker */
  uint32_t throttle_permille;
  gboolean is_probe;
  CoreCommandType stop_with; /**< of TASK_STOPPING */
  CoreWhy stop_why;          /**< of TASK_STOPPING */
  DocSize reserved;
  DocSize used; /**< newest report of this attempt */
  int64_t started_us;
  int64_t evicted_us; /**< time of the last eviction; 0: never */
  int64_t stop_sent_us;
  int64_t not_before_us;
  int64_t throttled_us;
  int64_t progress_ms;
  int64_t room_until_us; /**< room is being made for it until then */
  uint32_t room_on;      /**< where */
} CoreTask;

/** Where work with one set of labels may run. Shared by all runs of like definitions. */
typedef struct
{
  LabSet *labels;
  uint64_t generation; /**< of the configuration that @c allowed was made for */
  GArray *allowed;     /**< by worker: index of the forbidding rule, -1 for allowed */
  GArray *candidates;  /**< uint32_t: allowed workers */
  gboolean has_candidates;
  int64_t blocked_us; /**< tick in which a task of this shape and size found no place */
  DocSize blocked_size;
  gboolean blocked_lacks_room;
} CoreShape;

/** Learned ratios to what was declared, in eighth powers of two. */
typedef struct
{
  uint32_t count[CORE_LEARN_BUCKETS];
  uint32_t total;
  uint32_t known_permille; /**< quantile that was worked out last; 0: none since a sample */
  int64_t known_ratio;
} CoreLearned;

typedef struct
{
  char *name;
  CoreLearned cpu;
  CoreLearned memory;
  CoreLearned run;
  double growth;     /**< most that one task adds to a service's tail, as far as known */
  int64_t growth_us; /**< tick that it was worked out in */
} CoreClass;

struct CoreJob
{
  uint64_t id;
  char *name;
  char *team;
  uint32_t team_row;
  uint32_t class_row;
  CoreShape *shape;
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
  uint32_t next; /**< no waiting task has a lower index */
  uint32_t ready_place;
  gboolean is_cancelled;
  gboolean is_given_up;
  uint32_t cancel_next;
  gboolean is_unplaceable;
  CoreWhy unplaceable_why;
  char rule[CORE_NAME_SIZE];
  uint64_t placeable_at; /**< generation of the last check that it can be placed */
  uint32_t failed_on[CORE_FAILED_ON_MAX];
  uint32_t n_failed_on;
  int64_t failed_run_us; /**< longest run of a failed attempt */
  int64_t known_us;
  int64_t finished_us;
  int64_t laxity_us;
  gboolean is_due;       /**< little laxity is left, or it has waited long */
  int tail_cost;         /**< growth of the worst tail by processor, in steps of a factor of two */
  const char *waits_for; /**< why nothing was started last; static storage */
};

typedef struct
{
  char *name;
  DocSize quota;
  int64_t weight;
  DocSize used;
  double share; /**< dominant share of the fleet, by weight */
} CoreTeam;

typedef struct
{
  char *name;
  DocSize size;
  int64_t target_us; /**< 0: not in the document */
  LabSet *labels;
  GArray *pairs;               /**< CorePair by class and load band */
  uint32_t band;               /**< newest load band seen anywhere */
  double alone_us[CORE_BANDS]; /**< learned tail without batch work; 0: unknown */
} CoreService;

/** One service's endpoint on an instance. */
typedef struct
{
  uint32_t service;
  uint32_t band;
  int64_t p99_us;
  int64_t measured_us; /**< 0: no report yet */
  double bias;         /**< smoothed share of the forecast that was seen; 0: not known */
  gboolean is_new;     /**< not yet answered by the interference system */
  gboolean is_over;    /**< the tail was over its target in the newest report */
} CoreEndpoint;

/** What changed on an instance and when, to know what a lagging report saw. */
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
} CoreBlamed;

typedef enum
{
  WORKER_LIVE,
  WORKER_LEAVING,
  WORKER_GONE, /**< the row may be used again */
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
  DocSize endpoints_size; /**< granted to services */
  DocSize tasks_size;     /**< sum of the tasks' reservations */
  DocSize excess;         /**< sum of use above reservations */
  GArray *endpoints;      /**< CoreEndpoint */
  GPtrArray *tasks;       /**< CoreTask, not owned */
  GArray *changes;        /**< CoreChange, oldest first */
  GArray *weights;        /**< by class: int32_t permille of tasks here now */
  int64_t trial_until_us; /**< an unproven pair is being tried: nothing else starts */
  int64_t acted_us;       /**< last throttle or eviction for a tail */
  int64_t young[CORE_YOUNG_MAX];
  uint32_t n_young;
  CoreBlamed streak[CORE_STREAK_MAX]; /**< failures since the last task done */
  uint32_t n_streak;
  gboolean is_quarantined;
  int64_t quarantined_us;
  int64_t probe_at_us;
  int64_t probe_wait_us;
  gboolean is_probing;
  int64_t known_us; /**< when this incarnation was first seen */
  int64_t lag_us;   /**< observed age of the newest service report */
  gboolean is_reported;
} CoreWorker;

/** How much a service's tail grows by one task of a class at one load. */
typedef struct
{
  double growth;
  double safe_growth; /**< with the doubt that few samples leave */
  double information; /**< sum of squared tasks that were seen beside the service; 0: unproven */
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

/** What of the document the core reads, copied. */
typedef struct
{
  GPtrArray *rules;        /**< CoreRule */
  DocDocument *label_only; /**< holds label rules for doc_apply_labels() */
  DocPolicy policy;
  gboolean has_spread; /**< a rule spreads the tasks of a job */
  uint64_t generation;
} CoreConfig;

/** What the interference system expects of one more task on an instance. */
typedef struct
{
  gboolean is_allowed;
  gboolean is_trial;
  int64_t tail_permille; /**< predicted tail of the worst service, by its target */
  int64_t growth_permille;
  const char *service; /**< that decided; may be NULL */
} CoreForecast;

/** One instance that a task could start on. */
typedef struct
{
  const CoreWorker *worker;
  DocSize size;
  CoreForecast forecast;
} CoreOffer;

/** Chooses among instances: the baselines are other callbacks over the same systems. */
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
  GArray *commands;    /**< of the running tick; not owned */
  GPtrArray *workers;
  GHashTable *worker_rows;   /**< id to row + 1 */
  GHashTable *jobs_by_id;    /**< CoreJob, owned */
  GPtrArray *ready;          /**< jobs with waiting tasks, not owned */
  GPtrArray *order;          /**< ready jobs, sorted this tick */
  GPtrArray *deadlines;      /**< those of them that have a deadline */
  gboolean is_ready_changed; /**< a job began to wait since the order was made */
  int64_t ordered_us;
  GPtrArray *teams;
  GHashTable *team_rows;
  GPtrArray *services;
  GHashTable *service_rows;
  GPtrArray *classes;
  GHashTable *class_rows;
  GHashTable *pairs;      /**< CorePair by key */
  GHashTable *shapes;     /**< CoreShape by printed labels */
  GPtrArray *cancels;     /**< jobs being cancelled, not owned */
  GPtrArray *ended;       /**< jobs whose rows can be forgotten, oldest first, not owned */
  GPtrArray *finished;    /**< jobs whose tasks can be forgotten, oldest first, not owned */
  GArray *free_rows;      /**< rows of gone workers */
  GPtrArray *quarantined; /**< CoreWorker, not owned */
  GPtrArray *reported;    /**< CoreWorker with new reports of services, not owned */
  GArray *scratch;        /**< double by class, of interference.c */
  uint32_t hold_row;      /**< instance kept for a task that needs much room; CORE_NONE */
  uint64_t hold_job;
  int64_t hold_until_us;
  DocSize fleet;        /**< capacity of all instances */
  uint32_t scan_next;   /**< next worker that the slow scan looks at */
  double budget;        /**< evictions that may be made now */
  int64_t budget_us;    /**< when it was last filled */
  uint32_t starts_left; /**< of this tick */
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
void tables_worker_gone (Core *core, CoreWorker *worker);
uint32_t tables_service (Core *core, const char *name);
CoreService *tables_service_row (const Core *core, uint32_t row);
uint32_t tables_class (Core *core, const char *name);
CoreClass *tables_class_row (const Core *core, uint32_t row);
uint32_t tables_team (Core *core, const char *name);
CoreTeam *tables_team_row (const Core *core, uint32_t row);
CoreJob *tables_job (const Core *core, uint64_t id);
CoreJob *tables_job_add (Core *core, const CoreJobIn *in);
CoreTask *tables_task (const Core *core, CoreTaskKey key);
/** Moves @p task between states that are on no instance, or from one to such a state. */
void tables_set_state (Core *core, CoreTask *task, CoreTaskState state);
/** Puts @p task on @p worker with a reservation; it must fit. */
void tables_put (Core *core, CoreTask *task, CoreWorker *worker, DocSize size);
/** Takes @p task off its instance and gives it @p state. */
void tables_take (Core *core, CoreTask *task, CoreTaskState state);
void tables_set_used (Core *core, CoreTask *task, DocSize used);
void tables_set_throttle (Core *core, CoreTask *task, uint32_t permille);
/** Grants services what they reserve, as far as there is room beside the tasks. */
void tables_grant_endpoints (Core *core, CoreWorker *worker);
/** What @p worker's services reserve by the document. */
DocSize tables_endpoints_wanted (const Core *core, const CoreWorker *worker);
DocSize tables_free_size (const CoreWorker *worker);
int64_t tables_lag_us (const Core *core);
gboolean tables_has (const Core *core, CoreMechanism mechanism);
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
CoreShape *rules_shape (Core *core, const LabSet *labels);
void rules_shape_free (void *shape);
/** Index of the rule that forbids the shape on @p worker, -1 for none. */
int32_t rules_forbid (Core *core, CoreShape *shape, const CoreWorker *worker);
/**
 * The rule on spread or neighbours that keeps @p job off @p worker, or NULL; @p self is a task that
 * runs there already and is not counted, or NULL.
 */
const CoreRule *
rules_neighbour (Core *core, const CoreJob *job, const CoreWorker *worker, const CoreTask *self);
const GArray *rules_candidates (Core *core, CoreShape *shape);
void rules_label_worker (Core *core, CoreWorker *worker);

/* ingest.c */
void ingest_run (Core *core, const CoreInput *inputs, size_t n_inputs);

/* learn.c */
void learn_add (CoreLearned *learned, int64_t value, int64_t declared);
/** Quantile as permille of what was declared; 0 without samples. */
int64_t learn_quantile_permille (CoreLearned *learned, uint32_t permille);
DocSize learn_size (const Core *core, const CoreJob *job);
int64_t learn_run_ms (const Core *core, const CoreJob *job, uint32_t permille);
/** Work that is lost when @p task is stopped now. */
int64_t learn_lost_ms (const Core *core, const CoreTask *task);

/* health.c */
/** Blames the job or @p worker (NULL when not known) for a failure. */
void health_failed (Core *core, CoreTask *task, CoreWorker *worker);
void health_done (Core *core, CoreTask *task, CoreWorker *worker);
void health_run (Core *core);
/** Starts that @p worker may still be given before it has shown that it works. */
uint32_t health_room (Core *core, CoreWorker *worker);
/** Whether a job that has only failed so far may have one more task tried. */
gboolean health_allows_job (Core *core, const CoreJob *job);
void health_started (Core *core, CoreWorker *worker, const CoreTask *task);

/* interference.c */
void interference_report (Core *core, CoreWorker *worker, const CoreServiceIn *in);
void interference_forecast (Core *core, CoreWorker *worker, const CoreJob *job, CoreForecast *out);
void interference_started (Core *core, CoreWorker *worker, const CoreJob *job);
/** Growth of the worst service's tail by one task of the class; 0 while unproven. */
double interference_growth (Core *core, uint32_t class_row);
void interference_change (Core *core, CoreWorker *worker, uint32_t class_row, int32_t delta);

/** Growth by one task, on the safe side; FALSE while nothing is known in any band. */
gboolean interference_growth_of (
    const Core *core, uint32_t service, uint32_t class_row, uint32_t band, double *growth);
/** The service's tail without batch work; 0 while unknown. */
double interference_alone_of (const CoreService *service, uint32_t band);
/** What the batch work on @p worker now adds to the tail of a service. */
double
interference_now (const Core *core, const CoreWorker *worker, uint32_t service, uint32_t band);

/* tail.c */
/** Answers new reports: throttles, evicts, gives back. */
void tail_run (Core *core);

/* order.c */
void quota_run (Core *core);
gboolean quota_allows (const Core *core, const CoreJob *job, DocSize size);
void order_run (Core *core);

/* place.c */
void place_run (Core *core);
/** What @p job would reserve on @p worker: what was learned, where the instance can hold it. */
DocSize place_size (const Core *core, const CoreJob *job, const CoreWorker *worker);
/** Whether @p worker may take a task of @p job but for room and interference. */
gboolean place_is_open (Core *core, const CoreJob *job, CoreWorker *worker);
/** The next instance to look at, in a bounded walk of @p candidates; NULL at its end. */
CoreWorker *place_nth (Core *core, const GArray *candidates, guint n);
guint place_walk_length (const GArray *candidates);

/* policy.c */
CorePlacer policy_placer (Core *core);

/* check.c */
/** Finds jobs that no instance can hold and says why. */
void check_run (Core *core);

/* reclaim.c */
void reclaim_run (Core *core);
/** Checkpoints and stops @p task if cooldown and budget allow it. */
gboolean reclaim_evict (Core *core, CoreTask *task, const CoreCommand *because, gboolean is_owed);
/** Evicts what costs least to make room for an urgent task; the row, or CORE_NONE. */
uint32_t reclaim_make_room (Core *core, CoreTask *task);
void reclaim_stop (Core *core, CoreTask *task, CoreCommandType with, const CoreCommand *because);

/* emit.c */
CoreCommand emit_command (CoreCommandType type, CoreWhy why);
/** Fills in task, attempt, worker and reservation and appends it. */
void emit_task (Core *core, const CoreTask *task, CoreCommand command);
void emit (Core *core, const CoreCommand *command);

G_END_DECLS
