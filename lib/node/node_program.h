/**
 * @file node_program.h
 * The main function that the programs on the users' platform share.
 */
#pragma once

#include "common/opt.h"
#include "node/node_settings.h"

G_BEGIN_DECLS

typedef struct
{
  const char *name;
  const char *about; /**< printed by --help */
  /** Runs until the program may end. */
  OptExit (*run) (const NodeSettings *settings);
} NodeProgram;

/** Reads the command line and the settings, opens the log, and runs; returns the exit code. */
int node_program_main (int argc, char **argv, const NodeProgram *program);

G_END_DECLS
