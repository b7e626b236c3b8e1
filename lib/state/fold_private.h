/**
 * @file fold_private.h
 * Internal state of the fold, for the files that implement it.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "state/fold.h"
#include "state/fold_ids.h"

G_BEGIN_DECLS

/** Limits on the contents of a record; a record that exceeds one is malformed. */
#define FOLD_NAME_BYTES_MAX 255
#define FOLD_TEXT_BYTES_MAX 4096
#define FOLD_JOB_TASKS_MAX 1000000
#define FOLD_DEFINITION_BYTES_MAX (256 * 1024)

/** Latest log time accepted; windows can be added to it without overflow. */
#define FOLD_TIME_MAX_MS (INT64_C (1) << 53)

/** Limits on the whole state; a record that would exceed one is refused. */
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
  GList link;      /**< link in Fold.intent_order */
  GList body_link; /**< link in Fold.bodies while the body is kept */
} FoldIntentRow;

struct Fold
{
  FoldOptions options;
  FoldObserver observer;
  void *observer_ctx;
  int64_t next_offset;
  int64_t time_ms;
  uint64_t sequence; /**< last number given to the end of a job or attempt */
  FoldIds *ids;
  FoldConfig no_config; /**< version 0, before the first configuration */
  GPtrArray *history;   /**< FoldConfig, newest first */
  FoldClaim *claims;
  GPtrArray *entries; /**< FoldEntry */

  GPtrArray
      *jobs; /**< FoldJobRow, whose first field is the FoldJob, so that fold_jobs() can return it */
  GHashTable *job_by_id; /**< not owned */
  GQueue ended_jobs;     /**< FoldJobRow, oldest end first, not owned */
  uint32_t n_tasks;

  GHashTable *intents; /**< set of FoldIntentRow by tenant and key, owned */
  GQueue intent_order; /**< oldest attempt first */
  GQueue bodies;       /**< rows whose body is kept, oldest outcome first */
  int64_t body_bytes;  /**< total size of the bodies kept */
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

/** Drop the rows that are past their window at the fold's time. */
void fold_expire_entries (Fold *fold);
void fold_expire_intents (Fold *fold);

/** Load rows of a snapshot; they check the same limits and return FALSE if one is exceeded. */
gboolean fold_load_config (Fold *fold, const Record__SnapshotConfig *row);
gboolean fold_load_claim (Fold *fold, const Record__SnapshotClaim *row, uint32_t shard);
gboolean fold_load_entry (Fold *fold, const Record__SnapshotEntry *row);
gboolean fold_load_job (Fold *fold, const Record__SnapshotJob *row);
gboolean fold_load_intent (Fold *fold, const Record__SnapshotIntent *row);

/** Initialise and clear the sections of a fold. */
void fold_init_members (Fold *fold);
void fold_clear_members (Fold *fold);
void fold_init_jobs (Fold *fold);
void fold_clear_jobs (Fold *fold);
void fold_init_intents (Fold *fold);
void fold_clear_intents (Fold *fold);

G_END_DECLS
