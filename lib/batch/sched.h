/**
 * @file sched.h
 * The scheduler of jobs: which task starts where, what is stopped, what is slowed down.
 *
 * A context of the one process that owns the jobs. No I/O, no threads, no clock of its own: reports
 * of agents and changes of jobs go in, orders for agents and progress for the ledger come out.
 */
#pragma once

#include "batch/job.h"
#include "batch/ledger.pb-c.h"
#include "batch/queues.h"
#include "batch/worker.h"

G_BEGIN_DECLS

typedef struct Sched Sched;

/** State of a job; the numbers are those of Batch__Progress.state. */
typedef enum
{
  SCHED_QUEUED,
  SCHED_RUNNING,
  SCHED_COMPLETED,
  SCHED_FAILED,
  SCHED_CANCELLED,
} SchedJobState;

typedef struct
{
  int64_t fresh_ms;        /**< starts go only to agents that reported within this time */
  int64_t lapse_ms;        /**< after an agent's newest report: what its worker ran has lapsed */
  int64_t gang_timeout_ms; /**< members of a gang wait this long for each other */
  /** Notes a decision for the log; @p text is "key=value ..." of the inputs. */
  void (*note) (void *ctx, const char *event, const char *job, const char *text);
  void *ctx;
} SchedOptions;

/** Makes a scheduler without jobs and agents; free with sched_free(). */
Sched *sched_new (const SchedOptions *options);

/** NULL is allowed. */
void sched_free (Sched *sched);

/** Takes a configuration, which must live until the next one is set. */
void sched_set_config (Sched *sched, const QueueConfig *config);

/**
 * Begins a term. What earlier owners started may run at agents that have not reported until
 * @p settled_us; tasks of jobs added as old wait until then, or until all agents have reported.
 */
void sched_begin_term (Sched *sched, uint64_t term, int64_t settled_us);

typedef struct
{
  const char *id;
  const char *queue;
  int64_t accepted_wall_ms;
  JobSpec *spec;                   /**< taken */
  const Batch__Progress *progress; /**< NULL for none */
  gboolean is_old;                 /**< an earlier owner may have started it */
} SchedNewJob;

/** What was learned of images and durations, as a Batch__Learned; the caller frees it. */
GBytes *sched_encode_learned (const Sched *sched);

/** Takes over what an earlier owner learned; to be called before the first report. */
void sched_restore_learned (Sched *sched, const Batch__Learned *learned);

/** Adds a job; one that is known already only frees the spec. */
void sched_add_job (Sched *sched, const SchedNewJob *job);

/** Cancels a job; unknown and ended ones are left. */
void sched_cancel_job (Sched *sched, const char *id);

/** An agent that may report; adding it twice changes nothing. FALSE while it is being forgotten. */
gboolean sched_add_agent (Sched *sched, const char *name);

/** An agent whose record was dropped. */
void sched_remove_agent (Sched *sched, const char *name);

/**
 * Forgets an agent that has not reported for #SCHED_FORGET_MS and gives its name, owned by the
 * scheduler; NULL if there is none. Its record has to be dropped. Until that is told by
 * sched_remove_agent() the agent can't be added again: an owner that follows would not know of it.
 */
const char *sched_forget_agent (Sched *sched);

/** The record of the agent that was being forgotten stays. */
void sched_keep_agent (Sched *sched);

/** Agents that were not heard for this long are forgotten: longer than any lease and restart. */
#define SCHED_FORGET_MS 5000

/**
 * Adds to @p ids, up to @p n_most in all, jobs that ended @p keep_ms ago in this term; the ids are
 * owned by the scheduler. Their ends are written, and none of their tasks runs.
 */
void sched_expired_jobs (const Sched *sched, int64_t keep_ms, GPtrArray *ids, guint n_most);

/** Forgets a job that has ended and left no trace at the workers; others stay. */
void sched_forget_job (Sched *sched, const char *id);

/** Takes what an agent says of its worker. */
void
sched_take_report (Sched *sched, const char *agent, const Batch__Report *report, int64_t now_us);

/** Decides; call it after inputs and about every 100 ms. */
void sched_tick (Sched *sched, int64_t now_us, int64_t wall_ms);

/**
 * Fills @p orders with what @p agent has to be told; pointers are owned by the scheduler and valid
 * until its next call. FALSE if nothing new has to be said.
 */
gboolean sched_orders (Sched *sched, const char *agent, Batch__Orders *orders);

/** Progress to be written to the ledger in one append. */
typedef struct
{
  char *job;
  GBytes *progress;
} SchedChange;

typedef struct SchedFlush SchedFlush;

/** What changed since the last flush; NULL if nothing did. One flush at a time. */
SchedFlush *sched_flush_begin (Sched *sched);
/** SchedChange, owned by @p flush; may be empty when only ends have to be acknowledged. */
const GPtrArray *sched_flush_changes (const SchedFlush *flush);
/** Ends a flush: with @p is_written the ends behind it are acknowledged, else it is due again. */
void sched_flush_end (Sched *sched, SchedFlush *flush, gboolean is_written);

/** Jobs of @p queue of which no task had started at the last tick. */
uint32_t sched_pending (const Sched *sched, const char *queue);

/** Jobs that are neither ended nor cancelled. */
uint32_t sched_open_jobs (const Sched *sched);

G_END_DECLS
