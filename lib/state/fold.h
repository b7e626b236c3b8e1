/**
 * @file fold.h
 * Computes the state of the system as one deterministic fold over the platform's log.
 *
 * Every process applies the same records in offset order and has the same state at the same
 * offset. A record takes effect only here: an append that was acknowledged has no effect until it
 * is folded. The fold does no I/O and reads no clock; its time is the log's time stamp of the
 * newest record. Only one thread at a time may use a fold.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"
#include "state/record.pb-c.h"

G_BEGIN_DECLS

typedef struct Fold Fold;

/** Replaced incarnations kept for each entry, so that they can't register again. */
#define FOLD_REPLACED_MAX 8

/** Defaults of #FoldOptions. */
#define FOLD_ENDED_JOBS_DEFAULT 4096
#define FOLD_ANSWERS_BYTES_DEFAULT (INT64_C (64) * 1024 * 1024)

/**
 * How far a writer's clock may be ahead of the log's: keys and record ids are kept this much longer
 * than their windows. An intent dated further in the future is refused.
 */
#define FOLD_DATE_SKEW_MS (INT64_C (5) * 60 * 1000)

/** Result of applying one record. */
typedef enum
{
  FOLD_APPLIED,
  FOLD_DUPLICATE, /**< its id was folded before */
  FOLD_FENCED,    /**< its id was fenced before it was folded */
  FOLD_REFUSED,   /**< well-formed, but its precondition fails (stale base, old epoch...) */
  FOLD_MALFORMED, /**< not a record, or over a limit */
  FOLD_UNKNOWN,   /**< a body that only newer builds know: ignored */
} FoldResult;

typedef struct
{
  int64_t key_window_ms;    /**< how long idempotency keys are kept, in log time */
  int64_t answer_bytes_max; /**< largest answer body kept with an outcome */
  int64_t
      id_window_ms; /**< records and fences older than this are refused; longer than any retry */
  uint32_t shards;
  uint32_t history_max; /**< configuration versions listed by fold_history() */

  /**
   * How long an entry must have been on the log before it may claim a shard that another entry
   * owns; at least the lease time. A shard whose owner has left may be claimed at once.
   */
  int64_t claim_wait_ms;
  int64_t entry_keep_ms;     /**< an entry without a record for this long is dropped; 0: never */
  uint32_t ended_jobs_max;   /**< ended jobs kept, newest first; 0: #FOLD_ENDED_JOBS_DEFAULT */
  int64_t answers_bytes_max; /**< total size of the answer bodies kept; 0:
                                #FOLD_ANSWERS_BYTES_DEFAULT */
} FoldOptions;

/** One accepted configuration; the fold owns its strings. Version 0: there is none yet. */
typedef struct
{
  uint64_t version;
  uint64_t base_version;
  int64_t wall_ms;
  char *author;
  char *note;
  GBytes *text; /**< NULL in all but the newest history row */
} FoldConfig;

/** Offset of a record that was loaded from a snapshot; lower than every folded offset. */
#define FOLD_NO_OFFSET (-1)

typedef struct
{
  uint64_t epoch; /**< 0: never claimed */
  char *entry;
  uint64_t incarnation;
  int64_t claimed_ms; /**< log time */
  int64_t offset;     /**< offset of its record; #FOLD_NO_OFFSET if loaded from a snapshot */
  gboolean released;  /**< the owner has left, so the next claim needs no wait */
} FoldClaim;

typedef struct
{
  char *entry;
  uint64_t incarnation;
  char *data_centre;
  char *wire_address;
  int64_t known_ms;     /**< log time of the first record of this incarnation */
  int64_t known_offset; /**< offset of that record; #FOLD_NO_OFFSET if loaded from a snapshot */
  gboolean leaving;     /**< always FALSE, since an entry that leaves is removed */
  int64_t seen_ms;      /**< log time of its newest record */
  uint32_t n_replaced;
  uint64_t replaced[FOLD_REPLACED_MAX]; /**< earlier incarnations, oldest first */
} FoldEntry;

/** State of one task. Only the ends of attempts are logged, never their starts. */
typedef struct
{
  Record__TaskEnd end;
  uint32_t attempts; /**< highest attempt number in any outcome */
  uint32_t failures;
  char *checkpoint; /**< NULL for none */
  int64_t progress_ms;
} FoldTask;

typedef struct
{
  uint64_t job;
  char *name;
  char *submitter;
  uint32_t shard;
  int64_t submitted_ms;
  int64_t deadline_ms;
  gboolean cancelled;
  uint32_t n_tasks;
  uint32_t n_final; /**< number of tasks that are done, cancelled or given up */
  FoldTask *tasks;  /**< array of n_tasks elements */
  GBytes *definition;
} FoldJob;

/** The newest attempt of a once request. */
typedef struct
{
  char *tenant;
  char *key;
  char *service;
  uint64_t request_digest;
  IdsId request;
  uint32_t attempt;
  char *agent;
  uint64_t agent_incarnation;
  int64_t intent_ms;    /**< log time */
  gboolean has_outcome; /**< the attempt was fenced or has ended */
  gboolean fenced;      /**< certainly not run, so the next attempt may be recorded */
  char *kind;           /**< error kind of the outcome; "" for an answer */
  uint32_t status;
  char *content_type;
  GBytes *body; /**< NULL if the answer's body is not kept */
  uint64_t length;
  uint64_t body_digest;
  gboolean body_held;
} FoldIntent;

/** Called by fold_apply() after a record took effect; must not change the fold. */
typedef void (*FoldObserver) (void *ctx, const Record__Record *record, int64_t offset);

/** Makes an empty fold that expects offset 0. Free with fold_free(). */
Fold *fold_new (const FoldOptions *options);
void fold_free (Fold *fold);

/** Sets the only observer; NULL removes it. */
void fold_observe (Fold *fold, FoldObserver observer, void *ctx);

/**
 * Applies the record at @p offset; the log may skip offsets. A record below fold_next_offset() is
 * already part of the state: it changes nothing and returns #FOLD_DUPLICATE. @p time_ms is the
 * log's time stamp of the record.
 */
FoldResult
fold_apply (Fold *fold, int64_t offset, int64_t time_ms, const uint8_t *data, size_t size);

/** Offset after the newest record folded. */
int64_t fold_next_offset (const Fold *fold);

/** Log time of the newest record folded; 0 if there is none. */
int64_t fold_time_ms (const Fold *fold);

/** Result of a record id; FALSE while neither the record nor a fence for it has been folded. */
gboolean fold_record_result (const Fold *fold, IdsId id, FoldResult *result);

/** Newest accepted configuration; never NULL, version 0 with empty text before the first. */
const FoldConfig *fold_config (const Fold *fold);

/** Accepted configurations, newest first (FoldConfig); owned by the fold. */
const GPtrArray *fold_history (const Fold *fold);

/** Claim of @p shard; never NULL for shard < FoldOptions.shards. */
const FoldClaim *fold_claim (const Fold *fold, uint32_t shard);

/** Entries that are registered and have not left (FoldEntry); owned by the fold. */
const GPtrArray *fold_entries (const Fold *fold);

/** All jobs that are kept (FoldJob), in order of submission; owned by the fold. */
const GPtrArray *fold_jobs (const Fold *fold);
const FoldJob *fold_job (const Fold *fold, uint64_t job);

/** Newest attempt under this tenant's key, or NULL. Each tenant has its own key space. */
const FoldIntent *fold_intent (const Fold *fold, const char *tenant, const char *key);

/** Requests dated before this (log time) are outside the key window. */
int64_t fold_key_window_start_ms (const Fold *fold);

/** Encodes the whole state; free with g_bytes_unref(). Equal states give equal bytes. */
GBytes *fold_snapshot (const Fold *fold);

/** Decodes the state of a snapshot; returns NULL with #ERR_PROTOCOL if it is malformed. */
Fold *
fold_from_snapshot (const FoldOptions *options, const uint8_t *data, size_t size, GError **error);

G_END_DECLS
