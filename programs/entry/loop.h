/**
 * @file loop.h
 * Event loop of an entry. Its thread owns the entry's state; the threads that read and append to
 * the log post to it.
 */
#pragma once

#include <glib.h>

#include "common/met.h"
#include "entry/settings.h"
#include "entry/http.h"
#include "entry/view.h"

G_BEGIN_DECLS

typedef struct Loop Loop;

/** Starts the loop and the log threads. NULL with #ERR_REFUSED or #ERR_BAD_CONFIG on failure. */
Loop *
loop_new (const EntrySettings *settings, MetRegistry *metrics, ViewBoard *board, GError **error);

/** Queues a request for the loop. FALSE if its queue is full. Thread-safe. */
gboolean loop_submit (Loop *loop, HttpRequest *request);

/**
 * Stops accepting requests, releases the shards and waits up to EntrySettings.stop_wait_ms for
 * requests in flight. May be called from any thread but the loop's.
 */
void loop_leave (Loop *loop);

/** Stops all threads and answers the requests that still wait. NULL is allowed. */
void loop_free (Loop *loop);

G_END_DECLS
