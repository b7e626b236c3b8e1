/**
 * @file node_program.h
 * Common main function of the programs on the users' platform.
 */
#pragma once

#include "common/opt.h"
#include "node/node_settings.h"

G_BEGIN_DECLS

typedef struct
{
  const char *name;
  const char *about; /**< printed by --help */
  /** Runs until the program may exit. */
  OptExit (*run) (const NodeSettings *settings);
} NodeProgram;

/** Parses the command line, loads the settings, opens the log and runs; returns the exit code. */
int node_program_main (int argc, char **argv, const NodeProgram *program);

G_END_DECLS
