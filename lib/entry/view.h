/**
 * @file view.h
 * The immutable snapshot that the loop publishes and HTTP threads read under RCU.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "entry/config.h"

G_BEGIN_DECLS

typedef struct ViewBoard ViewBoard;

/** One snapshot; valid inside view_enter() and view_leave(). */
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

/** No reader may be left. */
void view_board_free (ViewBoard *board);

/** Publishes @p view, which the board owns from now on, and reclaims the old one later. */
void view_publish (ViewBoard *board, const View *view);

/** Starts reading; on a thread that is registered with liburcu. NULL before the first. */
const View *view_enter (ViewBoard *board);
void view_leave (ViewBoard *board);

G_END_DECLS
