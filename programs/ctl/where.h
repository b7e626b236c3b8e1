/**
 * @file where.h
 * acaciactl where: asks the owner where a job would be placed. Nothing is submitted.
 */
#pragma once

#include "cmd.h"

/** Asks and prints the answer to stdout, failures to stderr. */
CmdExit where_run (const CmdOptions *options);
