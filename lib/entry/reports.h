/**
 * @file reports.h
 * Task reports of agents: inputs for the core, outcomes for the log, acknowledgements for agents.
 *
 * An outcome is acknowledged to its agent only when it is on the log. The agent repeats it until
 * then, so the outcome survives a crash of any entry.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/core.h"
#include "state/fold.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

typedef struct Reports Reports;

/** Action that a status requires in addition to the core inputs. */
typedef enum
{
  REPORTS_ACCEPTED,
  REPORTS_STOP_TASK, /**< it runs although its end is on the log: stop it */
} ReportsVerdict;

Reports *reports_new (uint32_t shard, uint64_t epoch);
void reports_free (Reports *reports);

/**
 * Handles one status from @p agent. Appends #CoreInput values to @p inputs; their strings belong
 * to @p status and to @p agent.
 */
ReportsVerdict reports_status (Reports *reports,
                               const Fold *fold,
                               const char *agent,
                               const Wire__TaskStatus *status,
                               int64_t now_us,
                               GArray *inputs);

/** Adds the outcome of a task that the core cancelled or gave up. */
void reports_decided (
    Reports *reports, CoreTaskKey task, uint32_t attempt, Record__TaskEnd end, const char *reason);

/**
 * Passes waiting outcomes to @p append as one record, unless there are none or an earlier batch is
 * still pending. @p append returns FALSE when the record is certainly not on the log.
 */
void reports_flush (Reports *reports,
                    gboolean (*append) (void *ctx, const Record__Record *record, IdsId *id),
                    void *ctx);

/** Must be called after records were folded. Outcomes of an applied batch may be acknowledged. */
void reports_folded (Reports *reports, const Fold *fold);

/** Reports that batch @p id will certainly never be on the log; its outcomes are queued again. */
void reports_not_appended (Reports *reports, IdsId id);

/** Whether the outcome in @p status is on the log or needs no record. */
gboolean reports_may_ack (const Reports *reports, const Wire__TaskStatus *status);

G_END_DECLS
