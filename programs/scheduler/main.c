/**
 * @file main.c
 * acacia-scheduler: takes callers' jobs on an entry instance, and schedules them while it owns
 * them.
 */
#include <stdio.h>

#include "common/line.h"
#include "common/opt.h"
#include "entry.h"

static OptExit
run (const NodeSettings *settings)
{
  g_autoptr (GError) error = NULL;

  line_open ("acacia-scheduler", (uint32_t) settings->log_lines_per_s);
  Entry *entry = entry_new (settings, &error);
  if (entry == NULL)
    {
      (void) fprintf (stderr, "acacia-scheduler: %s\n", error->message);
      return OPT_EXIT_FAILED;
    }
  entry_run (entry);
  entry_free (entry);
  return OPT_EXIT_DONE;
}

static OptExit
load_and_run (void *ctx, const char *config, gboolean check)
{
  NodeSettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  (void) ctx;
  if (!node_settings_load (config, &settings, &error))
    return opt_refuse ("acacia-scheduler", error);
  OptExit status = check ? opt_checked () : run (&settings);
  node_settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  const OptProgram program
      = { .name = "acacia-scheduler",
          .about = "Takes callers' jobs, and schedules their tasks on workers.",
          .exit_codes = "Exit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.",
          .example = node_settings_example,
          .run = load_and_run };

  return opt_main (argc, argv, &program);
}
