/**
 * @file main.c
 * acacia-agent: node agent that runs requests and tasks for the endpoint and worker of an instance.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "common/opt.h"
#include "http.h"
#include "agent/agent_node.h"

/** Interval of checking whether the process may exit. */
#define DONE_POLL_NS 50000000L

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

/* The first signal starts a graceful shutdown, the second ends the process immediately. */
static void
wait_until_done (AgentNode *node, const sigset_t *set)
{
  const struct timespec wait = { .tv_nsec = DONE_POLL_NS };
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

static OptExit
run (const AgentSettings *settings)
{
  MetRegistry *metrics = met_new ();
  g_autoptr (GError) error = NULL;
  sigset_t set;
  Http *http = NULL;
  OptExit status = OPT_EXIT_FAILED;

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
      status = OPT_EXIT_DONE;
    }
  else
    (void) fprintf (stderr, "acacia-agent: %s\n", error->message);
  http_free (http);
  agent_node_close (node);
  met_free (metrics);
  return status;
}

static OptExit
load_and_run (void *ctx, const char *config, gboolean check)
{
  AgentSettings settings;
  g_autoptr (GError) error = NULL;
  OptExit status = OPT_EXIT_FAILED;

  (void) ctx;
  if (!agent_settings_load (config, &settings, &error))
    return opt_usage_error ("acacia-agent", error);
  if (check)
    status = opt_settings_valid ();
  else if (jnl_open (settings.level, &error))
    {
      status = run (&settings);
      jnl_close ();
    }
  else
    (void) fprintf (stderr, "acacia-agent: %s\n", error->message);
  agent_settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  const OptProgram program
      = { .name = "acacia-agent",
          .about = "Runs requests and tasks for the endpoint and worker of an instance.",
          .exit_codes = "Exit codes: 0 after shutdown, 1 on failure, 2 on wrong usage or settings.",
          .example = agent_settings_example,
          .run = load_and_run };

  return opt_main (argc, argv, &program);
}
