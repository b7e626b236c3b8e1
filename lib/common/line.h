/**
 * @file line.h
 * Decision lines: structured log lines on standard output that never block the process.
 *
 * A line reads: time module event key=value... Lines wait in a bounded buffer and are written by
 * line_flush(); what does not fit is dropped and counted, and the count is written when there is
 * room again. For processes with one loop thread.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Bytes that may wait for a reader. */
#define LINE_BUFFER_MAX (256 * 1024)

/** Makes standard output non-blocking and begins. @p lines_per_s_max bounds the volume. */
void line_open (const char *program, uint32_t lines_per_s_max);

/** Adds a line. @p format gives the key=value pairs. */
void line_add (const char *module, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/** Writes what waits, as far as the reader takes it. */
void line_flush (void);

G_END_DECLS
