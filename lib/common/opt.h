/**
 * @file opt.h
 * Command line options that all programs share (--help, --version, --config, --check-config and
 * --print-example), their error messages and exit codes. A program may add options of its own.
 */
#pragma once

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Version of all programs. */
#define OPT_VERSION "0.1.0"

/** Exit codes; the help text of each program explains them. */
typedef enum
{
  OPT_EXIT_DONE = 0,
  OPT_EXIT_FAILED = 1,
  OPT_EXIT_USAGE = 2, /**< invalid command line or settings: nothing was done */
} OptExit;

/** Description of a program. The caller owns the texts, @p arguments and @p ctx. */
typedef struct
{
  const char *name;
  const char *about;      /**< printed after the syntax */
  const char *exit_codes; /**< printed last */
  void *const *arguments; /**< argtable entries of the program; opt_main() frees them */
  size_t n_arguments;
  char *(*example) (void); /**< returns all settings with defaults; free with g_free() */
  /** Runs the program. @p config is NULL without a settings file; @p check only validates it. */
  OptExit (*run) (void *ctx, const char *config, gboolean check);
  void *ctx;
} OptProgram;

/** Parses the command line and runs the program or prints the requested text. Returns OptExit. */
int opt_main (int argc, char **argv, const OptProgram *program);

/** Prints "name: message" to standard error and returns #OPT_EXIT_USAGE. */
OptExit opt_usage_error (const char *name, const GError *error);

/** Prints that the settings are valid and returns #OPT_EXIT_DONE. */
OptExit opt_settings_valid (void);

G_END_DECLS
