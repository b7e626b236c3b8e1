/**
 * @file main.c
 * acacia-entry: takes requests of callers and operators, routes them, owns shards of tasks.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/jnl.h"
#include "entry/settings.h"
#include "entry/http.h"
#include "loop.h"

#define VERSION "0.1.0"

enum
{
  EXIT_GOOD,
  EXIT_RUNTIME,
  EXIT_USAGE,
};

/* What the command line says. */
typedef struct
{
  gboolean help;
  gboolean version;
  gboolean check;
  gboolean example;
  char *config; /**< NULL for none */
} Arguments;

static void
print_help (void **table)
{
  printf ("Usage: acacia-entry");
  arg_print_syntax (stdout, table, "\n");
  printf ("Takes requests of callers and operators, routes them and owns shards of tasks.\n\n");
  arg_print_glossary (stdout, table, "  %-20s %s\n");
  printf ("\nExit codes: 0 done, 1 failure while running, 2 bad usage or settings.\n");
}

static gboolean
read_arguments (int argc, char **argv, Arguments *arguments)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_file *config = arg_file0 (NULL, "config", "FILE", "settings file");
  struct arg_lit *check = arg_lit0 (NULL, "check-config", "check the settings and exit");
  struct arg_lit *example = arg_lit0 (NULL, "print-example", "print all settings and exit");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, config, check, example, end };
  gboolean ok = arg_nullcheck (table) == 0 && arg_parse (argc, argv, table) == 0;

  if (ok)
    {
      arguments->help = help->count > 0;
      arguments->version = version->count > 0;
      arguments->check = check->count > 0;
      arguments->example = example->count > 0;
      if (config->count > 0)
        arguments->config = g_strdup (config->filename[0]);
      if (arguments->help)
        print_help (table);
    }
  else
    arg_print_errors (stderr, end, "acacia-entry");
  arg_freetable (table, G_N_ELEMENTS (table));
  return ok;
}

static gboolean
submit (void *ctx, HttpRequest *request)
{
  return loop_submit (ctx, request);
}

static Http *
open_http (const EntrySettings *settings,
           MetRegistry *metrics,
           ViewBoard *board,
           Loop *loop,
           GError **error)
{
  HttpOptions options = { 0 };

  options.host = settings->http_host;
  options.port = (uint16_t) settings->http_port;
  options.body_bytes_max = (uint32_t) settings->http_body_bytes_max;
  options.headers_bytes_max = (uint32_t) settings->http_headers_bytes_max;
  options.connections_max = (uint32_t) settings->http_connections_max;
  options.idle_ms = settings->http_idle_ms;
  options.metrics = metrics;
  options.board = board;
  options.submit = submit;
  options.ctx = loop;
  return http_new (&options, error);
}

static void
block_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static int
serve (const EntrySettings *settings, const sigset_t *signals, GError **error)
{
  MetRegistry *metrics = met_new ();
  ViewBoard *board = view_board_new ();
  Loop *loop = loop_new (settings, metrics, board, error);
  Http *http = loop != NULL ? open_http (settings, metrics, board, loop, error) : NULL;
  int received = 0;

  if (http != NULL)
    {
      jnl_event (JNL_INFO, "main", "started", "name=%s http=%s:%" G_GINT64_FORMAT, settings->name,
                 settings->http_host, settings->http_port);
      (void) sigwait (signals, &received);
      loop_leave (loop);
    }
  /* The loop answers what still waits, so that the connections can end. */
  http_stop (http);
  loop_free (loop);
  http_free (http);
  view_board_free (board);
  met_free (metrics);
  return http != NULL ? EXIT_GOOD : EXIT_RUNTIME;
}

static int
run (const EntrySettings *settings)
{
  JnlLevel level = JNL_INFO;
  g_autoptr (GError) error = NULL;
  sigset_t signals;

  (void) jnl_level_from_name (settings->log_level, &level);
  if (!jnl_open (level, &error))
    {
      fprintf (stderr, "acacia-entry: %s\n", error->message);
      return EXIT_RUNTIME;
    }
  block_signals (&signals);
  int status = serve (settings, &signals, &error);
  if (error != NULL)
    {
      jnl_event (JNL_ERROR, "main", "failed", "kind=%s message=\"%s\"", err_name (err_kind (error)),
                 error->message);
      fprintf (stderr, "acacia-entry: %s\n", error->message);
    }
  jnl_close ();
  return status;
}

static int
run_with_settings (const Arguments *arguments)
{
  EntrySettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  if (!settings_load (arguments->config, &settings, &error))
    {
      fprintf (stderr, "acacia-entry: %s\n", error->message);
      return EXIT_USAGE;
    }
  int status = EXIT_GOOD;
  if (arguments->check)
    printf ("settings are good\n");
  else
    status = run (&settings);
  settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  Arguments arguments = { 0 };
  int status = EXIT_GOOD;

  if (!read_arguments (argc, argv, &arguments))
    return EXIT_USAGE;
  if (arguments.version)
    printf ("acacia-entry " VERSION "\n");
  else if (arguments.example)
    {
      g_autofree char *text = settings_example ();
      printf ("%s", text);
    }
  else if (!arguments.help)
    status = run_with_settings (&arguments);
  g_free (arguments.config);
  return status;
}
