/**
 * @file core.h
 * Decision engine of the scheduler: tables of entities, and systems that process them each tick.
 *
 * The core is a pure function of (tables, inputs, now). It does no I/O, has no threads and no clock
 * of its own, and draws random numbers only from a seeded generator, so that the same inputs give
 * the same commands. All times are microseconds of the caller's monotonic clock.
 *
 *     Core *core = core_new (&options);
 *     core_set_document (core, document);
 *     core_tick (core, now_us, inputs, n_inputs, commands);
 *
 * A core is not thread-safe: only one thread at a time may use it.
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

/** Identifies one task; all zero for none. */
typedef struct
{
  uint64_t job;
  uint32_t index;
} CoreTaskKey;

/** Placement policy. The baselines run the same systems with another choice of instance. */
typedef enum
{
  CORE_POLICY_ACACIA,
  CORE_POLICY_FIRST_FIT,    /**< first instance on which the declared size fits */
  CORE_POLICY_LEAST_LOADED, /**< instance with the most free processors by declared sizes */
  CORE_POLICY_STATIC_SPLIT, /**< batch work only on a fixed third of the instances */
} CorePolicy;

/** Mechanisms that can be switched off one at a time, for ablation benchmarks. */
typedef enum
{
  CORE_MECHANISM_LEARNING = 1 << 0,
  CORE_MECHANISM_INTERFERENCE = 1 << 1,
  CORE_MECHANISM_THROTTLE = 1 << 2,
  CORE_MECHANISM_EVICTION_BUDGET = 1 << 3,
  CORE_MECHANISM_LAXITY = 1 << 4,
  CORE_MECHANISM_BACKFILL = 1 << 5,
  CORE_MECHANISM_FAULT_ATTRIBUTION = 1 << 6,
  CORE_MECHANISM_START_LIMIT = 1 << 7,
  CORE_MECHANISM_ALL = 0xff,
} CoreMechanism;

typedef struct
{
  uint32_t seed;
  CorePolicy policy;
  uint32_t mechanisms; /**< CoreMechanism bits */
  gboolean reactive;   /**< baseline: evicts a task whenever a tail is over its target */
} CoreOptions;

typedef enum
{
  CORE_IN_WORKER,      /**< an instance appeared, or its attributes changed; idempotent */
  CORE_IN_WORKER_LEFT, /**< the instance left or is leaving and this incarnation does not return:
                            it gets no new tasks, and its running tasks still count */
  CORE_IN_WORKER_LOST, /**< the longest lease of the instance expired: its tasks no longer run */
  CORE_IN_USAGE,       /**< delayed usage report of one task */
  CORE_IN_SERVICE,     /**< delayed tail latency report of a service's endpoint on an instance */
  CORE_IN_JOB,         /**< a run of a job was accepted */
  CORE_IN_CANCEL,      /**< cancel all tasks of a job that have not ended */
  CORE_IN_TASK,        /**< the state of an attempt changed */
} CoreInputType;

/** An instance's announcement. The core copies the strings and labels. */
typedef struct
{
  const char *id;
  uint64_t incarnation;
  const char *data_centre;
  const char *rack;
  const LabSet *labels; /**< announced labels; the core adds those of the document's label rules */
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
  uint32_t load_permille; /**< share of the endpoint's slots in use, in thousandths */
  int64_t measured_us;
} CoreServiceIn;

/** An accepted run of a job. The definition is copied. deadline_us is on the core's clock, 0: none.
 */
typedef struct
{
  uint64_t job;
  const DocJob *definition;
  int64_t submitted_us;
  int64_t deadline_us;
} CoreJobIn;

typedef enum
{
  CORE_TASK_RUNNING, /**< running; also reported for a run that a new owner found */
  CORE_TASK_DONE,
  CORE_TASK_FAILED,
  CORE_TASK_CHECKPOINTED,
  CORE_TASK_STOPPED, /**< stopped without a checkpoint */
  CORE_TASK_REFUSED, /**< rejected by the instance, never started */
  CORE_TASK_HELD,    /**< may run on an unreachable instance, so must not start (takeover) */
  CORE_TASK_FREE,    /**< no longer held, so may start */
} CoreTaskEvent;

typedef struct
{
  CoreTaskKey task;
  uint32_t attempt;
  const char *worker; /**< NULL if unknown */
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
    const char *worker_id; /**< CORE_IN_WORKER_LEFT and CORE_IN_WORKER_LOST */
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
  CORE_DO_CHECKPOINT,  /**< checkpoint and stop: an eviction; resent until the end is reported */
  CORE_DO_STOP,        /**< stop: the eviction of a task without checkpoints, or a cancellation;
                            resent until the end is reported */
  CORE_DO_UNPLACEABLE, /**< report: no instance can hold the job's tasks; names the first task */
  CORE_DO_GIVE_UP,     /**< report: the job's failure limit is reached */
  CORE_DO_CANCELLED,   /**< report: the task is cancelled and no longer runs */
  CORE_DO_QUARANTINE,  /**< report: the instance is quarantined */
  CORE_DO_RELEASE,     /**< report: the instance left quarantine */
} CoreCommandType;

/** Reason of a command. Each has a stable name for explanations and counters. */
typedef enum
{
  CORE_REASON_FITS,
  CORE_REASON_PROBE_PAIR, /**< trial of a pair of service and class without samples; nothing else
                          starts on the instance for one report lag */
  CORE_REASON_BACKFILL,
  CORE_REASON_URGENT,
  CORE_REASON_TAIL_OVER,  /**< a service's tail is over its target on this instance */
  CORE_REASON_RULE,       /**< a rule forbids the task on the instance it runs on */
  CORE_REASON_PREEMPTION, /**< frees capacity for urgent work or for services */
  CORE_REASON_CANCEL,
  CORE_REASON_TOO_LARGE,    /**< larger than every allowed instance */
  CORE_REASON_NO_INSTANCE,  /**< the rules allow no instance */
  CORE_REASON_QUOTA,        /**< larger than the team's quota */
  CORE_REASON_TASK_FAILS,   /**< the task fails on healthy instances */
  CORE_REASON_WORKER_FAILS, /**< tasks of jobs that can run elsewhere fail on the instance */
  CORE_REASON_PROBE_WORKER, /**< a single start on a quarantined instance */
  CORE_REASON_RELIEVED,     /**< the tail is below its target again */
  CORE_REASON_LEAVING,      /**< the instance is leaving */
  CORE_REASON_STALE,        /**< the attempt is superseded by a newer one */
  CORE_REASON_COUNT,
} CoreReason;

/** One decision with the numbers behind it. Fixed size, owns no memory, may be copied. */
typedef struct
{
  CoreCommandType type;
  CoreTaskKey task;
  uint32_t attempt;
  char worker[CORE_NAME_SIZE];
  DocSize reserved;
  uint32_t throttle_permille;
  CoreReason why;
  char rule[CORE_NAME_SIZE]; /**< name of the deciding rule, service, team or job; may be empty */
  int64_t numbers[CORE_NUMBERS_MAX]; /**< core_reason_numbers() names them for each reason */
} CoreCommand;

/**
 * Creates a core. NULL options select the defaults: seed 1, CORE_POLICY_ACACIA, all mechanisms.
 * Free with core_free().
 */
Core *core_new (const CoreOptions *options);

/** Frees @p core and all its tables. NULL is allowed. */
void core_free (Core *core);

/** Applies a new configuration from the next tick on. The core keeps no reference to it. */
void core_set_document (Core *core, const DocDocument *document);

/**
 * Runs all systems once and appends #CoreCommand values to @p commands, whose element size must be
 * sizeof (CoreCommand). @p now_us must not decrease from one call to the next.
 */
void
core_tick (Core *core, int64_t now_us, const CoreInput *inputs, size_t n_inputs, GArray *commands);

/** Counters for status pages and tests. */
typedef struct
{
  uint32_t workers;
  uint32_t quarantined;
  uint32_t jobs;
  uint32_t waiting; /**< waiting and held tasks */
  uint32_t running;
  uint32_t done;
  uint32_t unplaceable;   /**< waiting tasks of jobs that no instance can hold */
  uint64_t evictions;     /**< attempts stopped for a reason other than cancellation or failure */
  uint64_t interruptions; /**< attempts that ended early without a command, including those of lost
                               instances */
  uint64_t starts;
} CoreCounts;

void core_counts (const Core *core, CoreCounts *counts);

/** Gets the sum of the reservations on an instance. FALSE if the instance is unknown. */
gboolean core_reserved (const Core *core, const char *worker, DocSize *reserved);

/**
 * Describes a job as JSON text: where each task runs or why it waits, for at most 1000 tasks. Free
 * with g_free(). NULL if the job is unknown.
 */
char *core_explain_job (const Core *core, uint64_t job);

/** Stable name of a reason, and the comma-separated names of its numbers. Static storage. */
const char *core_reason_name (CoreReason why);
const char *core_reason_numbers (CoreReason why);

/** Stable name of a command type. Static storage. */
const char *core_command_name (CoreCommandType type);

G_END_DECLS
