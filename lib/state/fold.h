/**
 * @file fold.h
 * The state of the system as one deterministic fold over the platform's log.
 *
 * Every process applies the same records in offset order and holds the same state at the same
 * offset. A record takes effect here and nowhere else: an append that was answered has no effect
 * until it is folded. The fold does no I/O and reads no clock; the time it knows is the log's own
 * time stamp of the newest record. One thread at a time may use a fold.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"
#include "state/record.pb-c.h"

G_BEGIN_DECLS

typedef struct Fold Fold;

/** Earlier incarnations of an entry that are remembered, so that they don't come back. */
#define FOLD_REPLACED_MAX 8

/** Defaults of #FoldOptions. */
#define FOLD_ENDED_JOBS 4096
#define FOLD_ANSWERS_BYTES (INT64_C (64) * 1024 * 1024)

/**
 * How far a writer's clock may be ahead of the log's: keys and record ids are held so much longer
 * than their windows. An intent dated still later is refused.
 */
#define FOLD_DATE_SKEW_MS (INT64_C (5) * 60 * 1000)

/** What applying one record did. */
typedef enum
{
  FOLD_APPLIED,
  FOLD_DUPLICATE, /**< its id was folded before */
  FOLD_FENCED,    /**< its id was fenced before it came */
  FOLD_REFUSED,   /**< understood, but its precondition does not hold (stale base, old epoch...) */
  FOLD_MALFORMED, /**< not a record, or over a bound */
  FOLD_UNKNOWN,   /**< a body of a newer build: ignored */
} FoldResult;

typedef struct
{
  int64_t key_window_ms;    /**< how long idempotency keys are held, by log time */
  int64_t answer_bytes_max; /**< largest answer body held with an outcome */
  int64_t id_window_ms; /**< records and fences written longer ago are refused; beyond any retry */
  uint32_t shards;
  uint32_t history_max; /**< configuration versions listed by fold_history() */

  /**
   * How long an entry must have been on the log before it may claim a shard that another entry
   * owns; a lease time at least. A shard whose owner has left may be claimed at once.
   */
  int64_t claim_wait_ms;
  int64_t entry_keep_ms;   /**< an entry not heard of on the log for so long is dropped; 0: never */
  uint32_t ended_jobs_max; /**< newest ended jobs that are held; 0: #FOLD_ENDED_JOBS */
  int64_t answers_bytes_max; /**< sum of the answer bodies that are held; 0: #FOLD_ANSWERS_BYTES */
} FoldOptions;

/** One accepted configuration; the fold owns texts. Version 0 is "none yet". */
typedef struct
{
  uint64_t version;
  uint64_t base_version;
  int64_t wall_ms;
  char *author;
  char *note;
  GBytes *text; /**< NULL in older history rows */
} FoldConfig;

/** Offset of what came with a snapshot: before all that was folded here. */
#define FOLD_NO_OFFSET (-1)

typedef struct
{
  uint64_t epoch; /**< 0: never claimed */
  char *entry;
  uint64_t incarnation;
  int64_t claimed_ms; /**< log time */
  int64_t offset;     /**< of its record; #FOLD_NO_OFFSET if it came with a snapshot */
  gboolean released;  /**< the owner has left: the next claim need not wait */
} FoldClaim;

typedef struct
{
  char *entry;
  uint64_t incarnation;
  char *data_centre;
  char *wire_address;
  int64_t known_ms;     /**< log time of the first record of this incarnation */
  int64_t known_offset; /**< of that record; #FOLD_NO_OFFSET if it came with a snapshot */
  gboolean leaving;     /**< always FALSE: one that leaves is no longer known */
  int64_t seen_ms;      /**< log time of its newest record */
  uint32_t n_replaced;
  uint64_t replaced[FOLD_REPLACED_MAX]; /**< incarnations that came before, oldest first */
} FoldEntry;

/** One task as the log knows it: only ends are logged, never starts. */
typedef struct
{
  Record__TaskEnd end;
  uint32_t attempts; /**< highest attempt that an outcome named */
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
  uint32_t n_final; /**< tasks done, cancelled or given up */
  FoldTask *tasks;  /**< n_tasks rows */
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
  gboolean has_outcome; /**< fenced or ended */
  gboolean fenced;      /**< truly not run: the next attempt may be recorded */
  char *kind;           /**< of the outcome; "" for an answer */
  uint32_t status;
  char *content_type;
  GBytes *body; /**< NULL when the answer isn't held */
  uint64_t length;
  uint64_t body_digest;
  gboolean body_held;
} FoldIntent;

/** Called by fold_apply() after a record took effect; must not change the fold. */
typedef void (*FoldObserver) (void *ctx, const Record__Record *record, int64_t offset);

/** Makes an empty fold that expects offset 0. Free with fold_free(). */
Fold *fold_new (const FoldOptions *options);
void fold_free (Fold *fold);

/** At most one observer; NULL removes it. */
void fold_observe (Fold *fold, FoldObserver observer, void *ctx);

/**
 * Applies the record at @p offset; the log may skip offsets. One below fold_next_offset() is
 * already in the state: it changes nothing and gives #FOLD_DUPLICATE. @p time_ms is the log's
 * time stamp.
 */
FoldResult
fold_apply (Fold *fold, int64_t offset, int64_t time_ms, const uint8_t *data, size_t size);

/** Offset after the newest record folded. */
int64_t fold_next_offset (const Fold *fold);

/** Log time of the newest record folded; 0 for none. */
int64_t fold_time_ms (const Fold *fold);

/** What became of a record id; FALSE while neither it nor a fence for it was folded. */
gboolean fold_settled (const Fold *fold, IdsId id, FoldResult *result);

/** Newest accepted configuration; never NULL, version 0 with empty text before the first. */
const FoldConfig *fold_config (const Fold *fold);

/** Accepted configurations, newest first (FoldConfig); owned by the fold. */
const GPtrArray *fold_history (const Fold *fold);

/** Claim of @p shard; never NULL for shard < FoldOptions.shards. */
const FoldClaim *fold_claim (const Fold *fold, uint32_t shard);

/** Known entries that have not left (FoldEntry); owned by the fold. */
const GPtrArray *fold_entries (const Fold *fold);

/** All jobs that are held (FoldJob), in order of submission; owned by the fold. */
const GPtrArray *fold_jobs (const Fold *fold);
const FoldJob *fold_job (const Fold *fold, uint64_t job);

/** Newest attempt under this tenant's key, or NULL. Keys of two tenants never meet. */
const FoldIntent *fold_intent (const Fold *fold, const char *tenant, const char *key);

/** Requests dated before this (log time) are outside the key window. */
int64_t fold_key_window_start_ms (const Fold *fold);

/** The whole state as bytes; unref with g_bytes_unref(). Equal states give equal bytes. */
GBytes *fold_snapshot (const Fold *fold);

/** The state of a snapshot; NULL with #ERR_PROTOCOL. */
Fold *
fold_from_snapshot (const FoldOptions *options, const uint8_t *data, size_t size, GError **error);

G_END_DECLS
