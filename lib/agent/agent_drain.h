/**
 * @file agent_drain.h
 * Decides when a leaving agent may exit. Does no I/O.
 *
 * The agent exits when no request is in flight, its tasks have ended and their outcomes are
 * acknowledged, and the entries have received its last messages. The wait for requests has no limit
 * of its own, as each request has a deadline; the waits for tasks and receipts are limited.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  int64_t task_us;    /**< limit for ending and reporting the tasks, from the start of leaving */
  int64_t receipt_us; /**< limit for the receipt of the last messages, once all else is done */
} AgentDrainOptions;

typedef struct
{
  AgentDrainOptions options;
  gboolean leaving;
  int64_t since_us;
  int64_t receipt_wait_from_us; /**< since when only receipts are pending; 0: not yet */
} AgentDrain;

/** Work that is still pending. */
typedef struct
{
  uint32_t requests;             /**< running and queued */
  uint32_t live_tasks;           /**< starting or running */
  uint32_t unacknowledged_tasks; /**< ended, outcome not acknowledged */
  gboolean all_received;         /**< entries have received all messages sent to them */
} AgentDrainPending;

void agent_drain_init (AgentDrain *drain, const AgentDrainOptions *options);

/** Starts leaving; FALSE when already leaving. */
gboolean agent_drain_leave (AgentDrain *drain, int64_t now_us);

/** Whether the process may exit now. */
gboolean agent_drain_is_done (AgentDrain *drain, const AgentDrainPending *pending, int64_t now_us);

G_END_DECLS
