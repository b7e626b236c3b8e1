/**
 * @file process.h
 * Runs a program under test as a child process: start, restart, suspension.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Process Process;

typedef struct
{
  const Soak *soak;
  const char *name;             /**< names the log file and the journal's lines */
  const char *program;          /**< file name of the program */
  SoakBuild build;              /**< build of the program */
  const char *const *arguments; /**< NULL-terminated */
  /** The process exited without a signal from the soak. May be NULL. */
  void (*on_unexpected_exit) (void *ctx, const char *name, int status);
  void *ctx;
} ProcessOptions;

/** Starts the program; NULL if that fails. Its output goes to NAME.log. */
Process *process_new (const ProcessOptions *options, GError **error);
/** Kills the process if it runs. */
void process_free (Process *process);

/** Sends SIGKILL or SIGTERM and restarts the program @p restart_delay_ms after it has exited.
 * SIGTERM waits until the process handles it. */
void process_restart (Process *process, int signal_number, uint32_t restart_delay_ms);
/** The program starts from this build from its next start on. */
void process_set_build (Process *process, SoakBuild build);
/** Build of the next start. */
SoakBuild process_build (const Process *process);
/** Build of the newest start. */
SoakBuild process_running_build (const Process *process);
const char *process_name (const Process *process);
/** Suspends the process with SIGSTOP for @p for_ms. */
void process_pause (Process *process, uint32_t for_ms);

G_END_DECLS
