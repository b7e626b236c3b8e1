/**
 * @file core.h
 * The decisions: tables of entities and systems that run over them each tick.
 *
 * The core is a pure function of (tables, inputs, now): no I/O, no threads, no clock of its own,
 * and random numbers only from a seeded generator. The same inputs give the same commands. All
 * times are microseconds of the caller's monotonic clock.
 *
 *     Core *core = core_new (&options);
 *     core_set_document (core, document);
 *     core_tick (core, now_us, inputs, n_inputs, commands);
 *
 * One thread at a time may use a core.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "common/lab.h"

G_BEGIN_DECLS

#define CORE_NAME_SIZE 64
#define CORE_NUMBERS_MAX 4

typedef struct Core Core;

/** Names one task; zeroed for none. */
typedef struct
{
  uint64_t job;
  uint32_t index;
} CoreTaskKey;

/** How the core chooses an instance; the baselines are other choices of the same systems. */
typedef enum
{
  CORE_POLICY_ACACIA,
  CORE_POLICY_FIRST_FIT,    /**< first instance that fits declared sizes */
  CORE_POLICY_LEAST_LOADED, /**< most free processors by declared sizes */
  CORE_POLICY_STATIC_SPLIT, /**< batch work only on a fixed third of the instances */
} CorePolicy;

/** Mechanisms that a measurement can switch off one at a time. */
typedef enum
{
  CORE_MECHANISM_LEARNING = 1 << 0,
  CORE_MECHANISM_INTERFERENCE = 1 << 1,
  CORE_MECHANISM_THROTTLE = 1 << 2,
  CORE_MECHANISM_EVICTION_BUDGET = 1 << 3,
  CORE_MECHANISM_LAXITY = 1 << 4,
  CORE_MECHANISM_BACKFILL = 1 << 5,
  CORE_MECHANISM_BLAME = 1 << 6,
  CORE_MECHANISM_PACING = 1 << 7,
  CORE_MECHANISM_ALL = 0xff,
} CoreMechanism;

typedef struct
{
  uint32_t seed;
  CorePolicy policy;
  uint32_t mechanisms; /**< CoreMechanism bits */
  gboolean reactive;   /**< baseline: evict whenever a tail is over its target */
} CoreOptions;

typedef enum
{
  CORE_IN_WORKER,      /**< an instance is known, or its row changed; may be repeated freely */
  CORE_IN_WORKER_LEFT, /**< it left or is leaving, for good with this incarnation: nothing new;
                            its tasks still count */
  CORE_IN_WORKER_LOST, /**< its longest lease has lapsed: its tasks run no more */
  CORE_IN_USAGE,       /**< lagging usage of one task */
  CORE_IN_SERVICE,     /**< lagging tail of one service's endpoint on one instance */
  CORE_IN_JOB,         /**< a run of a job was accepted */
  CORE_IN_CANCEL,      /**< cancel all tasks of a job that are not done */
  CORE_IN_TASK,        /**< what became of an attempt */
} CoreInputType;

/** An instance as it announced itself. Texts and labels are copied by the core. */
typedef struct
{
  const char *id;
  uint64_t incarnation;
  const char *data_centre;
  const char *rack;
  const LabSet *labels; /**< announced; the core adds the document's label rules */
  DocSize capacity;
  const char *const *services; /**< NULL-terminated names of endpoints; may be NULL */
} CoreWorkerIn;

typedef struct
{
  const char *worker;
  CoreTaskKey task;
  uint32_t attempt;
  DocSize used;
  int64_t measured_us;
} CoreUsageIn;

typedef struct
{
  const char *worker;
  const char *service;
  int64_t p99_us;
  uint32_t load_permille; /**< share of its slots in use */
  int64_t measured_us;
} CoreServiceIn;

/** The definition is copied. deadline_us is on the core's clock, 0 for none. */
typedef struct
{
  uint64_t job;
  const DocJob *definition;
  int64_t submitted_us;
  int64_t deadline_us;
} CoreJobIn;

typedef enum
{
  CORE_TASK_RUNNING, /**< also: found running by a new owner */
  CORE_TASK_DONE,
  CORE_TASK_FAILED,
  CORE_TASK_CHECKPOINTED,
  CORE_TASK_STOPPED, /**< stopped without a checkpoint */
  CORE_TASK_REFUSED, /**< the instance never started it */
  CORE_TASK_HELD,    /**< may run on an unreachable instance: don't start (takeover) */
  CORE_TASK_FREE,    /**< no longer held: may start */
} CoreTaskEvent;

typedef struct
{
  CoreTaskKey task;
  uint32_t attempt;
  const char *worker; /**< NULL where not known */
  CoreTaskEvent event;
  int64_t progress_ms;
  const char *checkpoint; /**< NULL for none */
} CoreTaskIn;

typedef struct
{
  CoreInputType type;
  union
  {
    CoreWorkerIn worker;
    const char *worker_id; /**< LEFT and LOST */
    CoreUsageIn usage;
    CoreServiceIn service;
    CoreJobIn job;
    uint64_t cancelled_job;
    CoreTaskIn task;
  };
} CoreInput;

typedef enum
{
  CORE_DO_START,
  CORE_DO_THROTTLE,
  CORE_DO_CHECKPOINT,  /**< checkpoint and stop: an eviction; repeated until its end is told */
  CORE_DO_STOP,        /**< stop; an eviction of a task that has no checkpoints, unless cancelled;
                            repeated until its end is told */
  CORE_DO_UNPLACEABLE, /**< report: no instance can hold the job's tasks; names its first */
  CORE_DO_GIVE_UP,     /**< report: the job's failure limit is reached */
  CORE_DO_CANCELLED,   /**< report: the task is cancelled and runs nowhere */
  CORE_DO_QUARANTINE,  /**< report: instance out of use */
  CORE_DO_RELEASE,     /**< report: instance back in use */
} CoreCommandType;

/** Why; each has a stable name for explanations and counters. */
typedef enum
{
  CORE_WHY_FITS,
  CORE_WHY_PROBE_PAIR, /**< an unproven pair is tried, alone within a lag */
  CORE_WHY_BACKFILL,
  CORE_WHY_URGENT,
  CORE_WHY_TAIL_OVER, /**< a service's tail is over its target on this instance */
  CORE_WHY_RULE,      /**< a rule forbids it where it runs */
  CORE_WHY_MAKE_ROOM, /**< urgent work needs the room */
  CORE_WHY_CANCEL,
  CORE_WHY_TOO_LARGE,    /**< no instance has that much */
  CORE_WHY_NO_INSTANCE,  /**< rules leave no instance */
  CORE_WHY_QUOTA,        /**< larger than its team's quota */
  CORE_WHY_TASK_FAILS,   /**< fails on healthy instances */
  CORE_WHY_WORKER_FAILS, /**< instance fails many jobs */
  CORE_WHY_PROBE_WORKER, /**< one start on a quarantined instance */
  CORE_WHY_RELIEVED,     /**< the tail is back under its target */
  CORE_WHY_LEAVING,      /**< the instance is leaving */
  CORE_WHY_STALE,        /**< a newer attempt of the task is the valid one */
  CORE_WHY_COUNT,
} CoreWhy;

/** One decision with the numbers that made it. Fixed size: copied freely, owns nothing. */
typedef struct
{
  CoreCommandType type;
  CoreTaskKey task;
  uint32_t attempt;
  char worker[CORE_NAME_SIZE];
  DocSize reserved;
  uint32_t throttle_permille;
  CoreWhy why;
  char rule[CORE_NAME_SIZE];         /**< the rule or the service that decided; may be empty */
  int64_t numbers[CORE_NUMBERS_MAX]; /**< meaning by why: core_why_numbers() */
} CoreCommand;

/** Makes a core; NULL options are the defaults (seed 1, ACACIA, all mechanisms). */
Core *core_new (const CoreOptions *options);

/** Frees @p core and all its tables. NULL is allowed. */
void core_free (Core *core);

/** Puts a new configuration in force from the next tick on. The core keeps no reference. */
void core_set_document (Core *core, const DocDocument *document);

/**
 * Runs all systems once. Appends #CoreCommand values to @p commands (element size
 * sizeof (CoreCommand)). now_us never goes back.
 */
void
core_tick (Core *core, int64_t now_us, const CoreInput *inputs, size_t n_inputs, GArray *commands);

/** Counts for status pages and tests. */
typedef struct
{
  uint32_t workers;
  uint32_t quarantined;
  uint32_t jobs;
  uint32_t waiting; /**< held ones too */
  uint32_t running;
  uint32_t done;
  uint32_t unplaceable;   /**< waiting tasks of jobs that no instance can hold */
  uint64_t evictions;     /**< attempts told to stop for another reason than cancel or failure */
  uint64_t interruptions; /**< attempts that ended early untold, lost instances' included */
  uint64_t starts;
} CoreCounts;

void core_counts (const Core *core, CoreCounts *counts);

/** Reservations on an instance: FALSE if unknown. */
gboolean core_reserved (const Core *core, const char *worker, DocSize *reserved);

/**
 * Explains a job (all tasks, with where each runs or why it waits) as JSON text; free with
 * g_free(). NULL if unknown.
 */
char *core_explain_job (const Core *core, uint64_t job);

/** Stable name of a reason and the comma-separated names of its numbers; static storage. */
const char *core_why_name (CoreWhy why);
const char *core_why_numbers (CoreWhy why);

/** Stable name of a command type; static storage. */
const char *core_command_name (CoreCommandType type);

G_END_DECLS
