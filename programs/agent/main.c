/**
 * @file main.c
 * acacia-agent: the process beside one endpoint or worker.
 */
#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "http.h"
#include "agent/agent_node.h"

#define AGENT_VERSION "0.1.0"
#define EXIT_USAGE 2
#define ERRORS_SHOWN 8
/** Time between two looks at whether the process may exit. */
#define WAIT_NS 50000000L

typedef struct
{
  struct arg_file *config;
  struct arg_lit *check_config;
  struct arg_lit *print_example;
  struct arg_lit *version;
  struct arg_lit *help;
  struct arg_end *end;
} Arguments;

static void
make_arguments (Arguments *arguments)
{
  arguments->config = arg_file0 (NULL, "config", "FILE", "settings file");
  arguments->check_config = arg_lit0 (NULL, "check-config", "check the settings and leave");
  arguments->print_example = arg_lit0 (NULL, "print-example", "print all settings and leave");
  arguments->version = arg_lit0 (NULL, "version", "print the version and leave");
  arguments->help = arg_lit0 (NULL, "help", "print this and leave");
  arguments->end = arg_end (ERRORS_SHOWN);
}

static void
print_help (void **table)
{
  printf ("Usage: acacia-agent");
  arg_print_syntax (stdout, table, "\n\n");
  arg_print_glossary (stdout, table, "  %-26s %s\n");
  printf ("\nExit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.\n");
}

static gboolean
node_is_ready (void *ctx)
{
  AgentNode *node = ctx;

  return atomic_load (&node->is_ready);
}

static void
block_signals (sigset_t *set)
{
  (void) sigemptyset (set);
  (void) sigaddset (set, SIGINT);
  (void) sigaddset (set, SIGTERM);
  (void) pthread_sigmask (SIG_BLOCK, set, NULL);
  (void) signal (SIGPIPE, SIG_IGN);
}

/* The first signal starts leaving, the second ends the process at once. */
static void
wait_until_done (AgentNode *node, const sigset_t *set)
{
  const struct timespec wait = { .tv_nsec = WAIT_NS };
  gboolean is_leaving = FALSE;

  while (!atomic_load (&node->is_done))
    {
      if (sigtimedwait (set, NULL, &wait) < 0)
        continue;
      if (is_leaving)
        _exit (EXIT_FAILURE);
      is_leaving = TRUE;
      agent_node_leave (node);
    }
}

static int
run (const AgentSettings *settings)
{
  MetRegistry *metrics = met_new ();
  g_autoptr (GError) error = NULL;
  sigset_t set;
  Http *http = NULL;
  int status = EXIT_FAILURE;

  block_signals (&set);
  AgentNode *node = agent_node_open (settings, metrics, &error);
  HttpOptions options
      = { settings->http_host, (uint16_t) settings->http_port, metrics, node_is_ready, node };
  if (node != NULL && settings->http_port != 0)
    http = http_new (&options, &error);
  if (error == NULL)
    {
      jnl_event (JNL_INFO, "agent", "started", "name=%s", settings->name);
      wait_until_done (node, &set);
      jnl_event (JNL_INFO, "agent", "left", "name=%s", settings->name);
      status = EXIT_SUCCESS;
    }
  else
    (void) fprintf (stderr, "acacia-agent: %s\n", error->message);
  http_free (http);
  agent_node_close (node);
  met_free (metrics);
  return status;
}

static int
load_and_run (const Arguments *arguments)
{
  const char *path = arguments->config->count > 0 ? arguments->config->filename[0] : NULL;
  AgentSettings settings;
  g_autoptr (GError) error = NULL;
  int status = EXIT_SUCCESS;

  if (!agent_settings_load (path, &settings, &error))
    {
      (void) fprintf (stderr, "acacia-agent: %s\n", error->message);
      return EXIT_USAGE;
    }
  if (arguments->check_config->count > 0)
    printf ("settings are valid\n");
  else if (jnl_open (settings.level, &error))
    {
      status = run (&settings);
      jnl_close ();
    }
  else
    {
      (void) fprintf (stderr, "acacia-agent: %s\n", error->message);
      status = EXIT_FAILURE;
    }
  agent_settings_clear (&settings);
  return status;
}

static int
run_arguments (const Arguments *arguments, void **table, int errors)
{
  if (arguments->help->count > 0)
    {
      print_help (table);
      return EXIT_SUCCESS;
    }
  if (arguments->version->count > 0)
    {
      printf ("acacia-agent %s\n", AGENT_VERSION);
      return EXIT_SUCCESS;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, arguments->end, "acacia-agent");
      return EXIT_USAGE;
    }
  if (arguments->print_example->count > 0)
    {
      g_autofree char *example = agent_settings_example ();
      printf ("%s", example);
      return EXIT_SUCCESS;
    }
  return load_and_run (arguments);
}

int
main (int argc, char **argv)
{
  Arguments arguments;

  make_arguments (&arguments);
  void *table[] = { arguments.config,  arguments.check_config, arguments.print_example,
                    arguments.version, arguments.help,         arguments.end };
  int errors = arg_parse (argc, argv, table);
  int status = run_arguments (&arguments, table, errors);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
