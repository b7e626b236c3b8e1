/**
 * @file agent_drain.h
 * Leaving: nothing new from the first moment, nothing in flight cut, outcomes reported. Pure.
 *
 * A leaving agent exits when no request is in flight, its tasks have ended and their outcomes are
 * acknowledged, and the entries have received its last messages. Requests are waited for without a
 * bound of the agent's own (each has its deadline); tasks and receipts are bounded.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t task_us;    /**< bound on ending and reporting the tasks, from the start of leaving */
  int64_t receipt_us; /**< bound on the receipt of the last messages, from when all else is done */
} AgentDrainOptions;

typedef struct
{
  AgentDrainOptions options;
  gboolean leaving;
  int64_t since_us;
  int64_t receipt_wait_from_us; /**< since when only receipts are missing; 0: not yet */
} AgentDrain;

/** What is left to do. */
typedef struct
{
  uint32_t requests;             /**< running and queued */
  uint32_t live_tasks;           /**< starting or running */
  uint32_t unacknowledged_tasks; /**< ended, and not acknowledged */
  gboolean all_received;         /**< entries have received all that was sent to them */
} AgentDrainPending;

void agent_drain_init (AgentDrain *drain, const AgentDrainOptions *options);

/** Starts leaving; FALSE when it was leaving already. */
gboolean agent_drain_leave (AgentDrain *drain, int64_t now_us);

/** Whether the process may exit now. */
gboolean agent_drain_is_done (AgentDrain *drain, const AgentDrainPending *left, int64_t now_us);

G_END_DECLS
