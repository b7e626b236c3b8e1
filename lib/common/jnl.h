/**
 * @file jnl.h
 * Structured logs: one line per event, written through log4c to standard error.
 *
 * Format of a line: time level module event key=value... The caller's format quotes values with
 * spaces. Any thread may log between jnl_open() and jnl_close().
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  JNL_DEBUG,
  JNL_INFO,
  JNL_WARN,
  JNL_ERROR,
} JnlLevel;

/** Starts logging at @p level. FALSE if log4c can't be set up. A process has one open log. */
gboolean jnl_open (JnlLevel level, GError **error);

/** Flushes the log and stops logging. */
void jnl_close (void);

/** Parses "debug", "info", "warn" or "error". */
gboolean jnl_level_from_name (const char *name, JnlLevel *level);

/**
 * Writes one event. @p module and @p event are single words; @p format produces the key=value
 * pairs and is "" for none. Before jnl_open() nothing is written.
 */
void jnl_event (JnlLevel level, const char *module, const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

G_END_DECLS
