/**
 * @file main.c
 * acacia-scheduler: accepts callers' jobs on an entry instance, and schedules them while it is the
 * owner.
 */
#include <stdio.h>

#include "entry.h"
#include "node/node_program.h"

static OptExit
run (const NodeSettings *settings)
{
  g_autoptr (GError) error = NULL;
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

int
main (int argc, char **argv)
{
  const NodeProgram program
      = { .name = "acacia-scheduler",
          .about = "Accepts callers' jobs, and schedules their tasks on workers.",
          .run = run };

  return node_program_main (argc, argv, &program);
}
