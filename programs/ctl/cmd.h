/**
 * @file cmd.h
 * The commands of acaciactl. They publish documents, labels and jobs; none handles one machine.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "cli.h"

G_BEGIN_DECLS

/** Base version that stands for "the newest one". */
#define CMD_BASE_NEWEST (-1)

/** Exit codes of acaciactl. */
typedef enum
{
  CMD_EXIT_OK = 0,
  CMD_EXIT_REFUSED = 1, /**< the system refused it, failed, or could not be reached */
  CMD_EXIT_USAGE = 2,   /**< command line, settings or document are wrong; nothing was sent */
} CmdExit;

/** What the command line asks for; texts belong to the caller. */
typedef struct
{
  CliOptions cli;
  const char *command;
  const char *argument; /**< NULL when the command line has none */
  gboolean is_json;
  gboolean is_dry_run;
  int64_t base;
  const char *note;
  const char *key;
  const char *author;
} CmdOptions;

/** Runs the command; prints its answer to stdout and failures to stderr. */
CmdExit cmd_run (const CmdOptions *options);

/** Prints one line for each command; free with g_free(). */
char *cmd_help (void);

G_END_DECLS
