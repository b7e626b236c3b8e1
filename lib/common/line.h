/**
 * @file line.h
 * Decision log: structured lines on standard output that never block the process.
 *
 * Format of a line: time module event key=value... Lines are kept in a bounded buffer until
 * line_flush() writes them. Lines that do not fit are dropped and counted, and the count is logged
 * once there is space again. Not thread-safe: meant for processes with a single event loop.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Limit on buffered bytes. */
#define LINE_BUFFER_MAX (256 * 1024)

/** Makes standard output non-blocking and starts the log, limited to @p lines_per_s_max. */
void line_open (const char *program, uint32_t lines_per_s_max);

/** Adds a line. @p format produces the key=value pairs. */
void line_add (const char *module, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/** Like line_add(), for lines that are frequent: the last quarter of the limits is left to others.
 */
void line_add_frequent (const char *module, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** Writes buffered lines as far as standard output accepts them without blocking. */
void line_flush (void);

G_END_DECLS
