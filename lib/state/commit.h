/**
 * @file commit.h
 * Group commit: a process has one append in flight; records that arrive meanwhile go into the next.
 *
 * A dedicated thread appends. An append whose answer was lost is repeated with the same record
 * ids, which is safe because the fold applies each id once. If the log stays unavailable for longer
 * than give_up_ms, records that may have been appended are reported in doubt; the caller resolves
 * them with a fence record.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"
#include "common/met.h"
#include "platform/plat_log.h"
#include "state/record.pb-c.h"

G_BEGIN_DECLS

typedef struct Commit Commit;

typedef enum
{
  COMMIT_APPENDED,     /**< on the log; the fold decides whether it takes effect */
  COMMIT_NOT_APPENDED, /**< certainly not on the log; not retried */
  COMMIT_IN_DOUBT,     /**< may be on the log already, or appear on it later */
} CommitResult;

/** Called once for each record, on the commit thread or within commit_free(). */
typedef void (*CommitDone) (void *ctx, IdsId id, CommitResult result);

typedef struct
{
  PlatLogOptions log;
  const char *stream;
  const char *writer; /**< name of this process, stored in each record */
  uint32_t batch_max; /**< most records in one append */
  uint32_t batch_bytes_max;
  uint32_t queue_max; /**< most records waiting; further ones are refused */
  int64_t give_up_ms; /**< time limit of one record */
  MetRegistry *metrics;
} CommitOptions;

Commit *commit_new (const CommitOptions *options);

/** Stops the thread; records still waiting are reported COMMIT_NOT_APPENDED or COMMIT_IN_DOUBT. */
void commit_free (Commit *commit);

/**
 * Queues a copy of @p record; its id, writer and time are set where they are zero or empty. Stores
 * the record's id in @p id unless that is NULL. Returns FALSE with #ERR_QUEUE_FULL, #ERR_TOO_LARGE,
 * or #ERR_LOG_DOWN if the log is known to be unavailable and @p wait is FALSE. @p done may be NULL.
 */
gboolean commit_submit (Commit *commit,
                        const Record__Record *record,
                        gboolean wait,
                        CommitDone done,
                        void *ctx,
                        IdsId *id,
                        GError **error);

/**
 * Queues a fence for the record @p id, which was submitted at wall time @p wall_ms. Once the fence
 * is folded, fold_record_result() returns whether the record took effect before it. If the fold
 * refuses the fence, the record is too old for its result to be known.
 */
gboolean commit_fence (
    Commit *commit, IdsId id, int64_t wall_ms, CommitDone done, void *ctx, GError **error);

/** Whether the newest append, or the newest probe of an idle log, succeeded. */
gboolean commit_log_is_up (const Commit *commit);

G_END_DECLS
