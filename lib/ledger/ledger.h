/**
 * @file ledger.h
 * The fold of the ledger's records into the state of jobs, owner and agents.
 *
 * Records of a keyed topic are applied in order of their offsets. Applying a record again changes
 * nothing.
 */
#pragma once

#include "batch/ledger.pb-c.h"
#include "batch/sched.h"
#include "platform/store.h"

G_BEGIN_DECLS

/** Topic of the store that holds the ledger. */
#define LEDGER_TOPIC STORE_KEYED_PREFIX "acaciadale"
/** Prefixes of keys, and the keys of the owner's record and of learned state. */
#define LEDGER_JOB_PREFIX "job."
#define LEDGER_RUN_PREFIX "run."
#define LEDGER_CANCEL_PREFIX "cancel."
#define LEDGER_CRASH_PREFIX "crash."
#define LEDGER_AGENT_PREFIX "agent."
#define LEDGER_OWNER_KEY "owner"
#define LEDGER_LEARNED_KEY "learned"
#define LEDGER_SILENT_KEY "silent"
/** Most cancels of unknown jobs that are held; further ones are refused. */
#define LEDGER_HELD_CANCELS_MAX 10000
/** Longer than the outbox retries a record. */
#define LEDGER_RESERVED_MS 90000
/** Highest term of an owner record; the run numbers of that term are still exact in JSON. */
#define LEDGER_TERM_MAX (UINT64_C (1) << 40)

typedef struct
{
  char *id;
  Batch__Submission *submission; /**< NULL if only progress or a cancel is known */
  Batch__Progress *progress;     /**< NULL until the owner wrote some */
  int64_t progress_offset;
  gboolean is_cancelled; /**< also before its submission, which then is cancelled from the start */
  int64_t held_us;       /**< when a cancel without a submission was first dated; 0: it was not */
  int64_t offset;        /**< offset of the submission */
} LedgerJob;

typedef struct
{
  char *name;
  char *address;
  uint64_t boot;
} LedgerAgent;

typedef struct
{
  uint64_t term;         /**< 0: there has been no owner */
  char *name;            /**< empty while the owner may have to wait before it acts */
  uint64_t boot;         /**< 0: the last owner released its ownership */
  int64_t offset;        /**< offset of the newest owner record */
  int64_t epoch;         /**< epoch of the term's appends; 0 if the owner did not say */
  char *address;         /**< where the owner receives requests of other entries; may be empty */
  char *metrics_address; /**< where the owner serves its metrics; may be empty */
  char **deputies;       /**< addresses of some other entries; NULL-terminated */
  GHashTable *pending;   /**< queue name -> jobs not yet begun, in the owner's newest record */
  uint32_t level;        /**< level of its build; 0 if it did not say */
  uint64_t level_since; /**< first term since which all owners were of that level or a higher one */
} LedgerOwner;

typedef struct Ledger Ledger;

/** Callbacks after a record changed the state. Any may be NULL. */
typedef struct
{
  void (*on_job) (void *ctx, const LedgerJob *job);
  void (*on_cancel) (void *ctx, const LedgerJob *job);
  void (*on_job_gone) (void *ctx, const char *id);
  void (*on_agent) (void *ctx, const LedgerAgent *agent);
  void (*on_agent_gone) (void *ctx, const char *name);
  void (*on_owner) (void *ctx, const LedgerOwner *owner);
  void *ctx;
} LedgerEvents;

Ledger *ledger_new (const LedgerEvents *events);
/** NULL is allowed. */
void ledger_free (Ledger *ledger);

/** Whether the key is that of a job or of a cancel, which entries forward to each other. */
gboolean ledger_is_job_key (const char *key);

/** Applies one record; FALSE without a change if its key is unknown or its value malformed. */
gboolean ledger_apply (Ledger *ledger,
                       int64_t offset,
                       const char *key,
                       size_t key_size,
                       const uint8_t *value,
                       size_t value_size);

/** The job with @p id, or NULL. */
const LedgerJob *ledger_job (const Ledger *ledger, const char *id);
/** The state that callers get; FALSE if @p job is NULL or was not submitted. */
gboolean ledger_job_state (const LedgerJob *job, SchedJobState *state);
const LedgerOwner *ledger_owner (const Ledger *ledger);
/** Returns the first term since which all owners were of @p level or a higher one. The owner of
 * @p term is of that level and follows @p last. */
uint64_t ledger_level_since (const LedgerOwner *last, uint32_t level, uint64_t term);
/** Calls @p each for all jobs that were submitted, oldest first. */
void
ledger_each_job (const Ledger *ledger, void (*each) (void *ctx, const LedgerJob *job), void *ctx);
void ledger_each_agent (const Ledger *ledger,
                        void (*each) (void *ctx, const LedgerAgent *agent),
                        void *ctx);
/** Learned state of the owners; NULL until one wrote it. */
const Batch__Learned *ledger_learned (const Ledger *ledger);
/** Agents that did not report to the owner that wrote this last; NULL until one wrote it. */
const Batch__Silent *ledger_silent (const Ledger *ledger);
/** Crashed runs of a job's tasks; NULL until an owner wrote some. */
const Batch__Crashes *ledger_crashes (const Ledger *ledger, const char *id);
/** Appends to @p ids, up to a length of @p n_most, jobs of which only crashed runs are known: an
 * owner that does not know that key has removed them. The ids are owned by the ledger. */
void ledger_orphaned_crashes (const Ledger *ledger, GPtrArray *ids, guint n_most);
/** Bytes of the bodies of all jobs that were submitted. */
uint64_t ledger_body_bytes (const Ledger *ledger);
/** Tasks of one occurrence of all jobs that were submitted, and of those that are reserved. */
uint64_t ledger_tasks (const Ledger *ledger);
/** Reserves tasks for a job that is to be submitted, until its record is read, or they are
 * released, or for #LEDGER_RESERVED_MS. FALSE without a change if the sum would exceed @p max;
 * never for a job whose tasks are reserved already. */
gboolean ledger_reserve_tasks (
    Ledger *ledger, const char *id, uint32_t n_tasks, uint64_t max, int64_t now_us);
void ledger_release_tasks (Ledger *ledger, const char *id);
/** Number of cancels of jobs that were not submitted. */
uint32_t ledger_held_cancels (const Ledger *ledger);
/** Appends to @p ids, up to a length of @p n_most, jobs whose cancel has been held for @p keep_ms;
 * times count from the first call that saw the newest cancel. The ids are owned by the ledger. */
void ledger_expired_cancels (
    Ledger *ledger, int64_t now_us, int64_t keep_ms, GPtrArray *ids, guint n_most);
/** Whether that record was written since the term from which all owners have kept it. */
gboolean ledger_is_silent_kept (const Ledger *ledger, uint64_t level_since);
/** Number of a queue's jobs that have not begun, in the owner's newest record. */
uint32_t ledger_pending (const Ledger *ledger, const char *queue);

G_END_DECLS
