/**
 * @file agent_handoff.h
 * Bounded, blocking queue of pointers between threads.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct AgentHandoff AgentHandoff;

/** Creates a queue of at most @p max items. */
AgentHandoff *agent_handoff_new (uint32_t max);

/** Frees the queue, and the items left in it with @p free_item. NULL is allowed. */
void agent_handoff_free (AgentHandoff *handoff, GDestroyNotify free_item);

/** Adds an item; FALSE when the queue is full or closed. */
gboolean agent_handoff_push (AgentHandoff *handoff, void *item);

/**
 * Removes the oldest item, waiting up to @p wait_us (negative: without limit) for one. NULL on
 * time-out, or when the queue is closed and empty.
 */
void *agent_handoff_pop (AgentHandoff *handoff, int64_t wait_us);

/** Refuses further items and wakes all waiting threads; queued items can still be popped. */
void agent_handoff_close (AgentHandoff *handoff);

gboolean agent_handoff_is_closed (AgentHandoff *handoff);

G_END_DECLS
