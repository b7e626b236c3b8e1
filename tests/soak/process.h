/**
 * @file process.h
 * The programs under test, each as a process of its own, and the signals that they get.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Process Process;

typedef struct
{
  const Soak *soak;
  const char *name;        /**< of its log and in the journal */
  const char *const *argv; /**< NULL-terminated */
  /** The process ended without a signal of ours. May be NULL. */
  void (*on_own_end) (void *ctx, const char *name, int status);
  void *ctx;
} ProcessOptions;

/** Starts the program; NULL if that fails. Its output goes to NAME.log. */
Process *process_new (const ProcessOptions *options, GError **error);
/** Kills it if it runs. */
void process_free (Process *process);

/** Sends SIGKILL or SIGTERM and starts the program again @p back_ms after it has ended. */
void process_restart (Process *process, int signal_number, uint32_t back_ms);
/** Stands still for @p for_ms. */
void process_pause (Process *process, uint32_t for_ms);

G_END_DECLS
