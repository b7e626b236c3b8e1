/**
 * @file main.c
 * acacia-worker: the agent of one worker on the users' platform.
 */
#include <stdio.h>

#include "agent.h"
#include "node/node_program.h"

static OptExit
run (const NodeSettings *settings)
{
  g_autoptr (GError) error = NULL;
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

int
main (int argc, char **argv)
{
  const NodeProgram program
      = { .name = "acacia-worker",
          .about = "Executes the scheduler's orders on the worker of this instance.",
          .run = run };

  return node_program_main (argc, argv, &program);
}
