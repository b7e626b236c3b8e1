/**
 * @file terms.h
 * Terms under which a job was accepted, as its ledger record holds them.
 *
 * A job follows its queue while that is configured. Afterwards it keeps the newest terms that are
 * known: an accepted job is finished whatever becomes of its queue.
 */
#pragma once

#include "batch/ledger.pb-c.h"
#include "batch/queues.h"

G_BEGIN_DECLS

/** Fills @p terms from @p queue, which owns its strings and must outlive it. */
void terms_init (Batch__Terms *terms, const Queue *queue);

/** Creates the queue @p name from the terms of a record; values out of range are replaced by the
 * nearest valid ones. Drop the result with queue_unref(). It has no host and no prefix. */
Queue *terms_to_queue (const Batch__Terms *terms, const char *name);

G_END_DECLS
