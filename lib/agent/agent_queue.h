/**
 * @file agent_queue.h
 * Queue of requests for the endpoint: at most `slots` run, and at most `connections` run or wait.
 * Does no I/O.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

typedef struct AgentQueue AgentQueue;

AgentQueue *agent_queue_new (uint32_t slots, uint32_t connections);

/** Frees a queue, which must be empty. NULL is allowed. */
void agent_queue_free (AgentQueue *queue);

/** Sets the limits; lower ones take effect as requests end. */
void agent_queue_set_limits (AgentQueue *queue, uint32_t slots, uint32_t connections);

/** Adds a request; FALSE with #ERR_ALL_BUSY or #ERR_DEADLINE in @p kind: it was not added. */
gboolean
agent_queue_add (AgentQueue *queue, void *item, int64_t deadline_us, int64_t now_us, ErrKind *kind);

/**
 * Removes a request whose deadline has passed (sets @p expired), or else the oldest request if a
 * slot is free, which then counts as running. NULL when there is neither.
 */
void *agent_queue_take (AgentQueue *queue, int64_t now_us, gboolean *expired);

/** Records that a running request has ended. */
void agent_queue_done (AgentQueue *queue);

uint32_t agent_queue_running (const AgentQueue *queue);
uint32_t agent_queue_queued (const AgentQueue *queue);
uint32_t agent_queue_slots (const AgentQueue *queue);
uint32_t agent_queue_connections (const AgentQueue *queue);

G_END_DECLS
