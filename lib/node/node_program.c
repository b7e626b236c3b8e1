#include "node/node_program.h"

#include "common/line.h"
#include "node/node.h"

static OptExit
load_and_run (void *ctx, const char *config, gboolean check)
{
  const NodeProgram *program = ctx;
  NodeSettings settings = { 0 };
  g_autoptr (GError) error = NULL;
  OptExit status = OPT_EXIT_DONE;

  if (!node_settings_load (config, &settings, &error))
    return opt_usage_error (program->name, error);
  if (check)
    status = opt_settings_valid ();
  else
    {
      line_open (program->name, (uint32_t) settings.log_lines_per_s);
      status = program->run (&settings);
    }
  node_settings_clear (&settings);
  return status;
}

int
node_program_main (int argc, char **argv, const NodeProgram *program)
{
  const OptProgram options
      = { .name = program->name,
          .about = program->about,
          .exit_codes = "Exit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.",
          .example = node_settings_example,
          .run = load_and_run,
          .ctx = (void *) program };

  node_block_signals ();
  return opt_main (argc, argv, &options);
}
