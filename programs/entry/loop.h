/**
 * @file loop.h
 * The thread that owns all state of an entry, with the log's threads that post to it.
 */
#pragma once

#include <glib.h>

#include "common/met.h"
#include "entry/settings.h"
#include "entry/http.h"
#include "entry/view.h"

G_BEGIN_DECLS

typedef struct Loop Loop;

/** Starts the loop and the threads of the log; NULL with #ERR_REFUSED or #ERR_BAD_CONFIG. */
Loop *
loop_new (const EntrySettings *settings, MetRegistry *metrics, ViewBoard *board, GError **error);

/** Hands a request to the loop; FALSE: it can't take it now. From any thread. */
gboolean loop_submit (Loop *loop, HttpRequest *request);

/**
 * Takes nothing new, gives up the shards, and waits for requests in flight up to
 * EntrySettings.stop_wait_ms. From any thread but the loop's.
 */
void loop_leave (Loop *loop);

/** Stops all threads; what still waits is answered. */
void loop_free (Loop *loop);

G_END_DECLS
