#include "common/opt.h"

#include <argtable2.h>
#include <stdio.h>

#define OPT_ERRORS_SHOWN 8

/** The common rows, in the order in which the help lists them. */
typedef struct
{
  struct arg_file *config;
  struct arg_lit *check_config;
  struct arg_lit *print_example;
  struct arg_lit *version;
  struct arg_lit *help;
  struct arg_end *end;
} OptRows;

#define OPT_N_ROWS (sizeof (OptRows) / sizeof (void *))

static void
make_rows (OptRows *rows)
{
  rows->config = arg_file0 (NULL, "config", "FILE", "settings file");
  rows->check_config = arg_lit0 (NULL, "check-config", "check the settings and leave");
  rows->print_example = arg_lit0 (NULL, "print-example", "print all settings and leave");
  rows->version = arg_lit0 (NULL, "version", "print the version and leave");
  rows->help = arg_lit0 (NULL, "help", "print this and leave");
  rows->end = arg_end (OPT_ERRORS_SHOWN);
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
run_rows (const OptProgram *program, const OptRows *rows, void **table, int errors)
{
  if (rows->help->count > 0)
    {
      print_help (program, table);
      return OPT_EXIT_DONE;
    }
  if (rows->version->count > 0)
    {
      (void) printf ("%s %s\n", program->name, OPT_VERSION);
      return OPT_EXIT_DONE;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, rows->end, program->name);
      return OPT_EXIT_USAGE;
    }
  if (rows->print_example->count > 0)
    {
      g_autofree char *example = program->example ();
      (void) fputs (example, stdout);
      return OPT_EXIT_DONE;
    }
  const char *config = rows->config->count > 0 ? rows->config->filename[0] : NULL;
  return (int) program->run (program->ctx, config, rows->check_config->count > 0);
}

int
opt_main (int argc, char **argv, const OptProgram *program)
{
  OptRows rows;
  void *const *common = (void *const *) &rows;
  size_t n_rows = program->n_own + OPT_N_ROWS;
  g_autofree void **table = g_new (void *, n_rows);

  make_rows (&rows);
  for (size_t i = 0; i < program->n_own; i++)
    table[i] = program->own[i];
  for (size_t i = 0; i < OPT_N_ROWS; i++)
    table[program->n_own + i] = common[i];
  int errors = arg_parse (argc, argv, table);
  int status = run_rows (program, &rows, table, errors);
  arg_freetable (table, n_rows);
  return status;
}

OptExit
opt_refuse (const char *name, const GError *error)
{
  (void) fprintf (stderr, "%s: %s\n", name, error->message);
  return OPT_EXIT_USAGE;
}

OptExit
opt_checked (void)
{
  (void) puts ("settings are valid");
  return OPT_EXIT_DONE;
}
