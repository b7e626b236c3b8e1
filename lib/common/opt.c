#include "common/opt.h"

#include <argtable2.h>
#include <stdio.h>

#define OPT_ERRORS_SHOWN 8

/** Common options, in the order in which the help lists them. */
typedef struct
{
  struct arg_file *config;
  struct arg_lit *check_config;
  struct arg_lit *print_example;
  struct arg_lit *version;
  struct arg_lit *help;
  struct arg_end *end;
} OptArguments;

#define OPT_N_ARGUMENTS (sizeof (OptArguments) / sizeof (void *))

static void
make_arguments (OptArguments *arguments)
{
  arguments->config = arg_file0 (NULL, "config", "FILE", "settings file");
  arguments->check_config = arg_lit0 (NULL, "check-config", "check the settings and exit");
  arguments->print_example
      = arg_lit0 (NULL, "print-example", "print all settings with their defaults and exit");
  arguments->version = arg_lit0 (NULL, "version", "print the version and exit");
  arguments->help = arg_lit0 (NULL, "help", "print this help and exit");
  arguments->end = arg_end (OPT_ERRORS_SHOWN);
}

static void
print_help (const OptProgram *program, void **table)
{
  (void) printf ("Usage: %s", program->name);
  arg_print_syntax (stdout, table, "\n\n");
  (void) printf ("%s\n\n", program->about);
  arg_print_glossary (stdout, table, "  %-26s %s\n");
  (void) printf ("\n%s\n", program->exit_codes);
}

static int
run_with_arguments (const OptProgram *program,
                    const OptArguments *arguments,
                    void **table,
                    int errors)
{
  if (arguments->help->count > 0)
    {
      print_help (program, table);
      return OPT_EXIT_DONE;
    }
  if (arguments->version->count > 0)
    {
      (void) printf ("%s %s\n", program->name, OPT_VERSION);
      return OPT_EXIT_DONE;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, arguments->end, program->name);
      return OPT_EXIT_USAGE;
    }
  if (arguments->print_example->count > 0)
    {
      g_autofree char *example = program->example ();
      (void) fputs (example, stdout);
      return OPT_EXIT_DONE;
    }
  const char *config = arguments->config->count > 0 ? arguments->config->filename[0] : NULL;
  return (int) program->run (program->ctx, config, arguments->check_config->count > 0);
}

int
opt_main (int argc, char **argv, const OptProgram *program)
{
  OptArguments arguments;
  void *const *common = (void *const *) &arguments;
  size_t n_arguments = program->n_arguments + OPT_N_ARGUMENTS;
  g_autofree void **table = g_new (void *, n_arguments);

  make_arguments (&arguments);
  for (size_t i = 0; i < program->n_arguments; i++)
    table[i] = program->arguments[i];
  for (size_t i = 0; i < OPT_N_ARGUMENTS; i++)
    table[program->n_arguments + i] = common[i];
  int errors = arg_parse (argc, argv, table);
  int status = run_with_arguments (program, &arguments, table, errors);
  arg_freetable (table, n_arguments);
  return status;
}

OptExit
opt_usage_error (const char *name, const GError *error)
{
  (void) fprintf (stderr, "%s: %s\n", name, error->message);
  return OPT_EXIT_USAGE;
}

OptExit
opt_settings_valid (void)
{
  (void) puts ("settings are valid");
  return OPT_EXIT_DONE;
}
