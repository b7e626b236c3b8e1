/**
 * @file agent_handoff.h
 * Queue of pointers from any thread to the threads that wait for them.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct AgentHandoff AgentHandoff;

/** @p max bounds the items that wait. */
AgentHandoff *agent_handoff_new (uint32_t max);

/** Frees the queue, with @p free_item for what still waits. NULL is allowed. */
void agent_handoff_free (AgentHandoff *handoff, GDestroyNotify free_item);

/** Adds an item; FALSE when the queue is full or closed. */
gboolean agent_handoff_push (AgentHandoff *handoff, void *item);

/**
 * Takes the oldest item, waiting up to @p wait_us (negative: without bound) for one. NULL when none
 * came, or the queue is closed and empty.
 */
void *agent_handoff_pop (AgentHandoff *handoff, int64_t wait_us);

/** Refuses later items and wakes all that wait; what waits can still be taken. */
void agent_handoff_close (AgentHandoff *handoff);

gboolean agent_handoff_is_closed (AgentHandoff *handoff);

G_END_DECLS
