/**
 * @file view.h
 * Immutable snapshot of the state that the loop publishes and HTTP threads read under RCU.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "entry/config.h"

G_BEGIN_DECLS

typedef struct ViewBoard ViewBoard;

/** One snapshot; valid between view_enter() and view_leave(). */
typedef struct
{
  Config *config;
  gboolean is_ready;
  gboolean is_leaving;
  gboolean log_is_up;
  int64_t published_us;
  GHashTable *live_services; /**< names of services with a usable endpoint */
} View;

ViewBoard *view_board_new (void);

/** Frees the board; there must be no readers. */
void view_board_free (ViewBoard *board);

/** Publishes @p view, takes ownership of its contents, and reclaims the old one later. */
void view_publish (ViewBoard *board, const View *view);

/** Enters a read section; the thread must be registered with liburcu. NULL before the first
 * view_publish(). */
const View *view_enter (ViewBoard *board);
void view_leave (ViewBoard *board);

G_END_DECLS
