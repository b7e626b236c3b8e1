/**
 * @file wire_posts.h
 * Bounded queue of function calls from any thread to the loop thread, with an eventfd to wake it.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct WirePosts WirePosts;

/** Makes a queue for @p max calls; NULL with #ERR_INTERNAL when there is no descriptor left. */
WirePosts *wire_posts_new (uint32_t max, GError **error);

/** Frees an empty queue. NULL is allowed. */
void wire_posts_free (WirePosts *posts);

/** Descriptor that is readable while calls wait. */
int wire_posts_fd (const WirePosts *posts);

/** Adds a call; FALSE when the queue is full or closed. From any thread. */
gboolean
wire_posts_add (WirePosts *posts, void (*function) (void *ctx, void *data), void *ctx, void *data);

/** Refuses all later calls and wakes the loop. From any thread. */
void wire_posts_close (WirePosts *posts);

/** Runs the calls that wait now; TRUE once the queue is closed and empty. */
gboolean wire_posts_run (WirePosts *posts);

G_END_DECLS
