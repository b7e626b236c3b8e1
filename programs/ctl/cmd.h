/**
 * @file cmd.h
 * Commands of acaciactl. They manage documents and jobs; there are no commands for single machines.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "cli.h"

G_BEGIN_DECLS

/** Base version that stands for the newest version. */
#define CMD_BASE_NEWEST (-1)

/** Exit codes of acaciactl. */
typedef enum
{
  CMD_EXIT_OK = 0,
  CMD_EXIT_REFUSED = 1, /**< rejected, failed, or no entry could be reached */
  CMD_EXIT_USAGE = 2,   /**< invalid command line, settings or document; nothing was sent */
  /* Of the command where; 0 is a job that would start now. */
  CMD_EXIT_WAITS = 1,
  CMD_EXIT_NO_ANSWER = 3,
  CMD_EXIT_NEVER = 4, /**< the job can't start on any worker that is known */
} CmdExit;

/** Parsed command line. The caller owns the texts. */
typedef struct
{
  CliOptions cli;
  const char *command;
  const char *argument; /**< NULL if the command line has none */
  gboolean is_json;
  gboolean is_dry_run;
  int64_t base;
  const char *note;
  const char *key;
  const char *author;
  const char *queue; /**< NULL for none */
  gboolean is_all;
} CmdOptions;

/** Runs the command; prints its answer to stdout and failures to stderr. */
CmdExit cmd_run (const CmdOptions *options);

/** Returns the help text of all commands; free with g_free(). */
char *cmd_help (void);

G_END_DECLS
