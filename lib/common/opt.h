/**
 * @file opt.h
 * The command line that all programs share: --help, --version, --config, --check-config,
 * --print-example, messages and exit codes, beside the flags of each program's own.
 */
#pragma once

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Version of all programs. */
#define OPT_VERSION "0.1.0"

/** Exit codes; each program's help says what they mean to it. */
typedef enum
{
  OPT_EXIT_DONE = 0,
  OPT_EXIT_FAILED = 1,
  OPT_EXIT_USAGE = 2, /**< wrong command line or settings: nothing was done */
} OptExit;

/** One program. Texts, flags and @p ctx belong to the caller. */
typedef struct
{
  const char *name;
  const char *about;      /**< printed after the syntax */
  const char *exit_codes; /**< printed last */
  void *const *own;       /**< argtable rows of its own; opt_main() frees them */
  size_t n_own;
  char *(*example) (void); /**< all settings with their defaults, to be freed with g_free() */
  /** Runs; @p config is NULL without a settings file, @p check asks for a check of it alone. */
  OptExit (*run) (void *ctx, const char *config, gboolean check);
  void *ctx;
} OptProgram;

/** Reads the command line and runs the program, or prints what was asked for. Returns its code. */
int opt_main (int argc, char **argv, const OptProgram *program);

/** Prints "name: message" to standard error and gives #OPT_EXIT_USAGE. */
OptExit opt_refuse (const char *name, const GError *error);

/** Prints that the settings are valid and gives #OPT_EXIT_DONE. */
OptExit opt_checked (void);

G_END_DECLS
