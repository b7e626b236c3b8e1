/**
 * @file wire_posts.h
 * Bounded queue of function calls from any thread to the loop thread, which an eventfd wakes.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct WirePosts WirePosts;

/** Creates a queue of up to @p max calls; NULL with #ERR_INTERNAL when eventfd() fails. */
WirePosts *wire_posts_new (uint32_t max, GError **error);

/** Frees an empty queue. NULL is allowed. */
void wire_posts_free (WirePosts *posts);

/** Descriptor that is readable while calls are queued. */
int wire_posts_fd (const WirePosts *posts);

/** Adds a call; FALSE when the queue is full or closed. May be called from any thread. */
gboolean
wire_posts_add (WirePosts *posts, void (*function) (void *ctx, void *data), void *ctx, void *data);

/** Refuses all later calls and wakes the loop. May be called from any thread. */
void wire_posts_close (WirePosts *posts);

/** Runs the queued calls. Returns TRUE once the queue is closed and empty. */
gboolean wire_posts_run (WirePosts *posts);

G_END_DECLS
