#include "support/fake_main.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#define FLAGS_MAX 16
#define EXIT_USAGE 2

gboolean
fake_main_flags (
    int argc, char **argv, const char *program, FakeFlag *flags, uint32_t n_flags, int *status)
{
  void *table[FLAGS_MAX + 2];
  struct arg_int *numbers[FLAGS_MAX];
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_end *end = arg_end (FLAGS_MAX);
  gboolean should_run = FALSE;

  g_assert (n_flags <= FLAGS_MAX);
  for (uint32_t i = 0; i < n_flags; i++)
    {
      numbers[i] = arg_int0 (NULL, flags[i].name, "N", flags[i].help);
      numbers[i]->ival[0] = flags[i].value;
      table[i] = numbers[i];
    }
  table[n_flags] = help;
  table[n_flags + 1] = end;
  int errors = arg_parse (argc, argv, table);
  *status = 0;
  if (help->count > 0)
    {
      printf ("Usage: %s [FLAGS]\n", program);
      arg_print_glossary (stdout, table, "  %-26s %s\n");
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, program);
      *status = EXIT_USAGE;
    }
  else
    should_run = TRUE;
  for (uint32_t i = 0; i < n_flags; i++)
    flags[i].value = numbers[i]->ival[0];
  arg_freetable (table, n_flags + 2);
  return should_run;
}

static sigset_t
termination_signals (void)
{
  sigset_t set;

  (void) sigemptyset (&set);
  (void) sigaddset (&set, SIGINT);
  (void) sigaddset (&set, SIGTERM);
  return set;
}

void
fake_main_block_signals (void)
{
  sigset_t set = termination_signals ();

  (void) pthread_sigmask (SIG_BLOCK, &set, NULL);
}

void
fake_main_wait (const char *program, uint16_t port)
{
  sigset_t set = termination_signals ();
  int signal_number;

  printf ("%s ready on 127.0.0.1:%u\n", program, port);
  (void) fflush (stdout);
  (void) sigwait (&set, &signal_number);
}
