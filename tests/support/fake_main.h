/**
 * @file fake_main.h
 * What the programs of the stand-ins share: flags, the ready line and the wait for a signal.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** One flag with a whole number, from 0 up. */
typedef struct
{
  const char *name;
  const char *help;
  int value; /**< default, replaced by what was given */
} FakeFlag;

/** Reads the flags; FALSE when the program should end now with @p status. */
gboolean fake_main_flags (
    int argc, char **argv, const char *program, FakeFlag *flags, uint32_t n_flags, int *status);

/** Prints "program ready on 127.0.0.1:port" and waits for SIGINT or SIGTERM. */
void fake_main_wait (const char *program, uint16_t port);

/** Blocks SIGINT and SIGTERM for this thread and those it starts. */
void fake_main_block_signals (void);

G_END_DECLS
