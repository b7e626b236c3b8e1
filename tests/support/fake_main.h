/**
 * @file fake_main.h
 * Common code of the stand-in programs: flags, the ready line and the wait for a signal.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** A flag with an integer value, 0 or above. */
typedef struct
{
  const char *name;
  const char *help;
  int value; /**< default, replaced by the given value */
} FakeFlag;

/** Parses the flags. Returns FALSE when the program must exit with @p status. */
gboolean fake_main_flags (
    int argc, char **argv, const char *program, FakeFlag *flags, uint32_t n_flags, int *status);

/** Prints "program ready on 127.0.0.1:port" and waits for SIGINT or SIGTERM. */
void fake_main_wait (const char *program, uint16_t port);

/** Blocks SIGINT and SIGTERM for the calling thread and the threads that it starts. */
void fake_main_block_signals (void);

G_END_DECLS
