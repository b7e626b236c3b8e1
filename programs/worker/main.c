/**
 * @file main.c
 * acacia-worker: the agent beside one worker of the users' platform.
 */
#include <stdio.h>

#include "agent.h"
#include "common/line.h"
#include "common/opt.h"

static OptExit
run (const NodeSettings *settings)
{
  g_autoptr (GError) error = NULL;

  line_open ("acacia-worker", (uint32_t) settings->log_lines_per_s);
  Agent *agent = agent_new (settings, &error);
  if (agent == NULL)
    {
      (void) fprintf (stderr, "acacia-worker: %s\n", error->message);
      return OPT_EXIT_FAILED;
    }
  agent_run (agent);
  agent_free (agent);
  return OPT_EXIT_DONE;
}

static OptExit
load_and_run (void *ctx, const char *config, gboolean check)
{
  NodeSettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  (void) ctx;
  if (!node_settings_load (config, &settings, &error))
    return opt_refuse ("acacia-worker", error);
  OptExit status = check ? opt_checked () : run (&settings);
  node_settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  const OptProgram program
      = { .name = "acacia-worker",
          .about = "Carries out the scheduler's orders at the worker on this instance.",
          .exit_codes = "Exit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.",
          .example = node_settings_example,
          .run = load_and_run };

  return opt_main (argc, argv, &program);
}
