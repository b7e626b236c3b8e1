/**
 * @file main.c
 * acacia-entry: accepts requests of callers and operators, routes them and owns shards of tasks.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/jnl.h"
#include "common/opt.h"
#include "entry/settings.h"
#include "entry/http.h"
#include "loop.h"

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
  options.pool_bytes = settings_pool_bytes (settings);
  options.buffer_bytes_max = (uint32_t) settings->http_buffer_bytes;
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

static OptExit
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
  /* Freeing the loop answers the requests that still wait, so that their connections can close. */
  http_stop (http);
  loop_free (loop);
  http_free (http);
  view_board_free (board);
  met_free (metrics);
  return http != NULL ? OPT_EXIT_DONE : OPT_EXIT_FAILED;
}

static OptExit
run (const EntrySettings *settings)
{
  JnlLevel level = JNL_INFO;
  g_autoptr (GError) error = NULL;
  sigset_t signals;

  (void) jnl_level_from_name (settings->log_level, &level);
  if (!jnl_open (level, &error))
    {
      fprintf (stderr, "acacia-entry: %s\n", error->message);
      return OPT_EXIT_FAILED;
    }
  block_signals (&signals);
  OptExit status = serve (settings, &signals, &error);
  if (error != NULL)
    {
      jnl_event (JNL_ERROR, "main", "failed", "kind=%s message=\"%s\"", err_name (err_kind (error)),
                 error->message);
      fprintf (stderr, "acacia-entry: %s\n", error->message);
    }
  jnl_close ();
  return status;
}

static OptExit
run_with_settings (void *ctx, const char *config, gboolean check)
{
  EntrySettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  (void) ctx;
  if (!settings_load (config, &settings, &error))
    return opt_usage_error ("acacia-entry", error);
  OptExit status = check ? opt_settings_valid () : run (&settings);
  settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  const OptProgram program
      = { .name = "acacia-entry",
          .about
          = "Accepts requests of callers and operators, routes them and owns shards of tasks.",
          .exit_codes = "Exit codes: 0 done, 1 failure while running, 2 bad usage or settings.",
          .example = settings_example,
          .run = run_with_settings };

  return opt_main (argc, argv, &program);
}
