/**
 * @file reports.h
 * What agents report of tasks: inputs for the core, outcomes for the log, acknowledgements back.
 *
 * An outcome is acknowledged to its agent only when the log has it; until then the agent repeats
 * it, so that it survives the death of any entry.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/core.h"
#include "state/fold.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

typedef struct Reports Reports;

/** What a status asks for beyond core inputs. */
typedef enum
{
  REPORTS_TAKEN,
  REPORTS_STOP_IT, /**< it runs, but the log knows its end: stop it */
} ReportsVerdict;

Reports *reports_new (uint32_t shard, uint64_t epoch);
void reports_free (Reports *reports);

/**
 * Takes in one status of @p agent. Appends #CoreInput values to @p inputs; their texts belong to
 * the agent's message and to @p agent.
 */
ReportsVerdict reports_status (Reports *reports,
                               const Fold *fold,
                               const char *agent,
                               const Wire__TaskStatus *status,
                               int64_t now_us,
                               GArray *inputs);

/** Ends that the core decided: cancelled and given up tasks. */
void reports_decided (
    Reports *reports, CoreTaskKey task, uint32_t attempt, Record__TaskEnd end, const char *reason);

/**
 * All outcomes that wait, as one record: @p append is called with it when there are any and no
 * other batch is on its way; it returns FALSE when the record is certainly not on the log.
 */
void reports_flush (Reports *reports,
                    gboolean (*append) (void *ctx, const Record__Record *record, IdsId *id),
                    void *ctx);

/** After records were folded: outcomes whose batch took effect may be acknowledged. */
void reports_folded (Reports *reports, const Fold *fold);

/** The batch will certainly never be on the log: its outcomes wait again. */
void reports_not_appended (Reports *reports, IdsId id);

/** Whether the outcome that @p status repeats is on the log, or needs no record. */
gboolean reports_may_ack (const Reports *reports, const Wire__TaskStatus *status);

G_END_DECLS
