/**
 * @file fold_private.h
 * The fold's inner state, for the files that make up the fold.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "state/fold.h"
#include "state/fold_ids.h"

G_BEGIN_DECLS

/** Bounds of what a record may hold; a record over one is malformed. */
#define FOLD_NAME_BYTES_MAX 255
#define FOLD_TEXT_BYTES_MAX 4096
#define FOLD_JOB_TASKS_MAX 1000000
#define FOLD_DEFINITION_BYTES_MAX (256 * 1024)

/** Latest time that is believed; it leaves room for adding windows. */
#define FOLD_TIME_MAX_MS (INT64_C (1) << 53)

/** Bounds of the whole state; a record that would pass one is refused. */
#define FOLD_ENTRIES_MAX 1024
#define FOLD_TASKS_MAX 4000000

typedef struct
{
  FoldJob job;
  uint64_t ended; /**< sequence number of its end; 0: not ended */
} FoldJobRow;

typedef struct
{
  FoldIntent intent;
  uint64_t ended;  /**< sequence number of its outcome */
  GList link;      /**< in Fold.intent_order */
  GList body_link; /**< in Fold.bodies while the body is held */
} FoldIntentRow;

struct Fold
{
  FoldOptions options;
  FoldObserver observer;
  void *observer_ctx;
  int64_t next_offset;
  int64_t time_ms;
  uint64_t sequence; /**< numbers ends of jobs and attempts */
  FoldIds *ids;
  FoldConfig none;
  GPtrArray *history; /**< FoldConfig, newest first */
  FoldClaim *claims;
  GPtrArray *entries; /**< FoldEntry */

  GPtrArray *jobs;       /**< FoldJobRow; its first field is the FoldJob */
  GHashTable *job_by_id; /**< not owned */
  GQueue ended_jobs;     /**< FoldJobRow, oldest end first, not owned */
  uint32_t n_tasks;

  GHashTable *intents; /**< set of FoldIntentRow by tenant and key, owned */
  GQueue intent_order; /**< oldest attempt first */
  GQueue bodies;       /**< rows whose body is held, oldest outcome first */
  int64_t body_bytes;
};

/** Whether @p text has at least @p min bytes and at most @p max. */
gboolean fold_text_fits (const char *text, size_t min, size_t max);

FoldResult fold_apply_config (Fold *fold, const Record__Record *record, int64_t offset);
FoldResult fold_apply_entry (Fold *fold, const Record__Entry *entry, int64_t offset);
FoldResult fold_apply_claim (Fold *fold, const Record__Claim *claim, int64_t offset);
FoldResult fold_apply_job (Fold *fold, const Record__Job *record);
FoldResult fold_apply_cancel (Fold *fold, const Record__JobCancel *cancel);
FoldResult fold_apply_tasks (Fold *fold, const Record__TaskBatch *batch);
FoldResult fold_apply_intent (Fold *fold, const Record__Intent *intent);
FoldResult fold_apply_outcome (Fold *fold, const Record__Outcome *outcome);

/** Drops what is past its window at the fold's time. */
void fold_expire_entries (Fold *fold);
void fold_expire_intents (Fold *fold);

/** Rows of a snapshot; they check the same bounds and return FALSE when one is passed. */
gboolean fold_load_config (Fold *fold, const Record__SnapshotConfig *row);
gboolean fold_load_claim (Fold *fold, const Record__SnapshotClaim *row, uint32_t shard);
gboolean fold_load_entry (Fold *fold, const Record__SnapshotEntry *row);
gboolean fold_load_job (Fold *fold, const Record__SnapshotJob *row);
gboolean fold_load_intent (Fold *fold, const Record__SnapshotIntent *row);

/** Set up and clear the parts of a fold. */
void fold_init_members (Fold *fold);
void fold_clear_members (Fold *fold);
void fold_init_jobs (Fold *fold);
void fold_clear_jobs (Fold *fold);
void fold_init_intents (Fold *fold);
void fold_clear_intents (Fold *fold);

G_END_DECLS
