/**
 * @file commit.h
 * Group commit: one append in flight a process; all that arrives meanwhile goes in the next.
 *
 * A thread of its own appends. An append whose answer was lost is repeated with the same record
 * ids, which is harmless since the fold takes each id once. When the log stays away past
 * give_up_ms the records are reported in doubt; the caller settles them with a fence record.
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
  COMMIT_APPENDED, /**< on the log; its effect is the fold's to say */
  COMMIT_NOT,      /**< certainly not on the log, and not tried again */
  COMMIT_DOUBT,    /**< may be on the log, now or later */
} CommitResult;

/** Called once for each record: on the commit thread, or within commit_free(). */
typedef void (*CommitDone) (void *ctx, IdsId id, CommitResult result);

typedef struct
{
  PlatLogOptions log;
  const char *stream;
  const char *writer; /**< name of this process, put into each record */
  uint32_t batch_max; /**< records an append */
  uint32_t batch_bytes_max;
  uint32_t queue_max; /**< records waiting; more are refused */
  int64_t give_up_ms;
  MetRegistry *metrics;
} CommitOptions;

Commit *commit_new (const CommitOptions *options);

/** Stops the thread; what still waits is reported COMMIT_NOT or COMMIT_DOUBT. */
void commit_free (Commit *commit);

/**
 * Queues a copy of @p record; id, writer and time are filled in where they are zero. Returns the
 * record's id. FALSE with #ERR_QUEUE_FULL, or #ERR_LOG_DOWN while the log is known to be away and
 * @p wait is FALSE. @p done may be NULL.
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
 * is folded, fold_settled() says whether the record took effect before it; if the fold refuses the
 * fence, the record is too old to tell.
 */
gboolean commit_fence (
    Commit *commit, IdsId id, int64_t wall_ms, CommitDone done, void *ctx, GError **error);

/** Whether the newest append, or the newest look at an idle log, succeeded. */
gboolean commit_log_is_up (const Commit *commit);

G_END_DECLS
