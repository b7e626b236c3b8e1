/**
 * @file sched.h
 * The job scheduler: decides which task starts on which worker, which runs are stopped and which
 * are throttled.
 *
 * Used by the one process that owns the jobs. No I/O, no threads, no clock: its inputs are reports
 * of agents and changes of jobs, its outputs are orders for agents and progress records for the
 * ledger.
 */
#pragma once

#include "batch/evacuations.h"
#include "batch/job.h"
#include "batch/ledger.pb-c.h"
#include "batch/queues.h"
#include "batch/shares.h"
#include "batch/worker.h"

G_BEGIN_DECLS

typedef struct Sched Sched;

/** State of a job; stored as Batch__Progress.state. */
typedef enum
{
  SCHED_QUEUED,
  SCHED_RUNNING,
  SCHED_COMPLETED,
  SCHED_FAILED,
  SCHED_CANCELLED,
} SchedJobState;

/** First start of a task of a job. */
typedef struct
{
  const char *queue;
  const char *data_centre; /**< of the entry that accepted the job; "" if it is not known */
  int64_t wait_ms;         /**< since the job was accepted, or its first occurrence was due */
} SchedFirstStart;

/** How an occurrence of a job ended, or that its result has become useless. */
typedef struct
{
  const char *queue;
  const char *size;    /**< sizes_class_name() */
  const char *outcome; /**< "in_time", "late", "expired", "failed" or "cancelled" */
} SchedResult;

typedef struct
{
  int64_t report_age_max_ms; /**< tasks are started only at agents that reported within this time */
  int64_t lease_expiry_ms; /**< this long after an agent's newest report the leases of its worker's
                       runs have expired */
  int64_t gang_timeout_ms; /**< how long members of a gang wait for each other */
  gboolean reserves_gaps;  /**< keeps a worker for a large task that waits; see sched_gaps.c */
  SharesBy shares_by;      /**< what makes up the origins that share processors */
  /** Logs a decision; @p text has its inputs as "key=value ...". */
  void (*note) (void *ctx, const char *event, const char *job, const char *text);
  void (*started) (void *ctx, const SchedFirstStart *start); /**< NULL for none */
  void (*ended) (void *ctx, const SchedResult *result);      /**< NULL for none */
  void *ctx;
} SchedOptions;

/** Creates a scheduler without jobs and agents; free with sched_free(). */
Sched *sched_new (const SchedOptions *options);

/** Frees a scheduler; NULL is allowed. */
void sched_free (Sched *sched);

/** Sets the configuration, which must stay valid until the next one is set; NULL for none. Jobs of
 * queues that it does not name keep their newest known terms. */
void sched_set_config (Sched *sched, const QueueConfig *config);

/** Sets the data centres whose workers start nothing; @p evacuations must stay valid and may change
 * between ticks. NULL for none. */
void sched_set_evacuations (Sched *sched, const Evacuations *evacuations);

/** While held, nothing is started anywhere: the operators' newest requests may not be known. */
void sched_hold_starts (Sched *sched, gboolean is_held);

/**
 * Begins a term. Until @p reconcile_until_us, runs that previous owners started may exist at agents
 * that have not reported. Tasks of jobs added with may_have_started are not started before that
 * time, unless all agents have reported.
 */
void sched_begin_term (Sched *sched, uint64_t term, int64_t reconcile_until_us);

typedef struct
{
  const char *id;
  const char *queue;
  const char *data_centre; /**< of the entry that accepted it; NULL: not known */
  int64_t accepted_wall_ms;
  JobSpec *spec;                   /**< ownership is taken */
  const Batch__Progress *progress; /**< NULL for none */
  const Batch__Crashes *crashes;   /**< NULL for none */
  const Batch__Terms *terms;       /**< terms under which it was accepted; NULL: not known */
  gboolean may_have_started;       /**< a previous owner may have started tasks of it */
} SchedNewJob;

/** Encodes what was learned about images and durations as a Batch__Learned; free the result with
 * g_bytes_unref(). */
GBytes *sched_encode_learned (const Sched *sched);

/** Restores what a previous owner learned; call it before the first report. */
void sched_restore_learned (Sched *sched, const Batch__Learned *learned);

/**
 * Encodes the agents that do not report, with the tasks that may run there, as a Batch__Silent, if
 * they changed since they were last written; else NULL. Free the result with g_bytes_unref().
 * Nothing is started at these agents until a record without them was written. Call
 * sched_end_publish() with the result of writing it before the next call.
 */
GBytes *sched_publish_silent (Sched *sched);
void sched_end_publish (Sched *sched, gboolean is_written);

/** Restores the newest such record; call it after all agents were added and before the first
 * report. Nothing is started at these agents until a record without them was written. If all owners
 * since it was written have kept it, tasks of old jobs that cannot run at these agents need not
 * wait for their reports. */
void sched_restore_silent (Sched *sched, const Batch__Silent *silent, gboolean is_kept);

/** Adds a job; if its id is already known, only frees the spec. */
void sched_add_job (Sched *sched, const SchedNewJob *job);

/** Cancels a job; ignores unknown and ended ones. */
void sched_cancel_job (Sched *sched, const char *id);

/** Adds an agent, whose reports are accepted from then on; no effect if it is known. Returns FALSE
 * while the agent is being forgotten. */
gboolean sched_add_agent (Sched *sched, const char *name);

/** Removes an agent whose ledger record was deleted. */
void sched_remove_agent (Sched *sched, const char *name);

/**
 * Removes an agent that has not reported for #SCHED_FORGET_MS and returns its name, owned by the
 * scheduler, or NULL if there is none. The caller must delete the agent's ledger record. Until it
 * confirms that with sched_remove_agent(), the agent cannot be added again: the next owner would
 * not know of it.
 */
const char *sched_forget_agent (Sched *sched);

/** Agents without a report for this long are forgotten. Longer than any lease and any restart. */
#define SCHED_FORGET_MS 5000

/**
 * Appends to @p ids, up to a length of @p n_most, jobs that ended at least @p keep_ms ago; times
 * count from when this term first saw the end. The ids are owned by the scheduler. The ends of
 * these jobs are written to the ledger and none of their tasks runs.
 */
void sched_expired_jobs (const Sched *sched, int64_t keep_ms, GPtrArray *ids, guint n_most);

/** Removes a job that has ended and has no task at a worker; no effect on other jobs. */
void sched_forget_job (Sched *sched, const char *id);

/** Applies an agent's report about its worker. */
void
sched_apply_report (Sched *sched, const char *agent, const Batch__Report *report, int64_t now_us);

/** Makes all decisions that are due; call it after inputs and about every 100 ms. */
void sched_tick (Sched *sched, int64_t now_us, int64_t wall_ms);

/** Most bytes of orders that are under way to one agent, unless one order alone is larger. On a
 * slow link, the lease of what runs waits behind them. */
#define SCHED_ORDER_BYTES_MAX ((size_t) 64 * 1024)

/**
 * Fills @p orders with the message to send to @p agent; its pointers are owned by the scheduler and
 * valid until the next call. Returns FALSE if there is nothing new to send.
 */
gboolean sched_orders (Sched *sched, const char *agent, Batch__Orders *orders);

/** Progress record of one job. The records of a flush are written to the ledger in one append. */
typedef struct
{
  char *job;
  GBytes *progress;
  GBytes *crashes; /**< crashed runs of its tasks, a Batch__Crashes; NULL if unchanged */
} SchedChange;

typedef struct SchedFlush SchedFlush;

/** Collects the changes since the last flush; NULL if there are none. Only one flush may be open.
 */
SchedFlush *sched_flush_begin (Sched *sched);
/** Elements are SchedChange, owned by @p flush. Empty if only ends have to be acknowledged. */
const GPtrArray *sched_flush_changes (const SchedFlush *flush);
/** Ends and frees a flush. If @p is_written, the ends that it covers are acknowledged to the
 * agents, else its changes are part of the next flush. */
void sched_flush_end (Sched *sched, SchedFlush *flush, gboolean is_written);

/** Number of jobs of @p queue of which no task had started at the last tick. */
uint32_t sched_pending_jobs (const Sched *sched, const char *queue);

/** Number of jobs that are queued or running. */
uint32_t sched_open_jobs (const Sched *sched);

/** Calls @p fn for each origin that shares processors, with its state at the last tick. */
void sched_each_origin (const Sched *sched, SharesFn fn, void *ctx);

G_END_DECLS
