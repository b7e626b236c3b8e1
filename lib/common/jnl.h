/**
 * @file jnl.h
 * Structured logs: one line an event, written through log4c to standard error.
 *
 * A line reads: time level module event key=value... Values with spaces are quoted by the caller's
 * format. Threads may log at any time between jnl_open() and jnl_close().
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

/** Starts logging at @p level; FALSE when log4c can't be set up. One open log a process. */
gboolean jnl_open (JnlLevel level, GError **error);

/** Flushes and ends logging. */
void jnl_close (void);

/** Parses "debug", "info", "warn" or "error". */
gboolean jnl_level_from_name (const char *name, JnlLevel *level);

/**
 * Writes one event. @p module and @p event are single words; @p format gives the key=value pairs,
 * "" for none. Before jnl_open() nothing is written.
 */
void jnl_event (JnlLevel level, const char *module, const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

G_END_DECLS
