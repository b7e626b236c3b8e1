/**
 * @file main.c
 * standin-outage IP SERVER_IP PORT FOR_MS: forwards connections to IP:PORT to SERVER_IP:PORT. After
 * SIGUSR1 requests pass without their answers for a moment, then all connections are reset and new
 * ones refused for FOR_MS.
 */
#include <glib-unix.h>
#include <stdio.h>

#include "common/err.h"
#include "support/proxy.h"

static Proxy *proxy;
static guint for_ms;

static gboolean
on_over (gpointer data)
{
  (void) data;
  proxy_set (proxy, PROXY_PASS, 0);
  return G_SOURCE_REMOVE;
}

static gboolean
on_outage (gpointer data)
{
  (void) data;
  proxy_set (proxy, PROXY_RESET_AND_REFUSE, 0);
  (void) g_timeout_add (PROXY_PASS_MS + for_ms, on_over, NULL);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GError) error = NULL;

  if (argc != 5)
    {
      (void) fprintf (stderr, "Usage: standin-outage IP SERVER_IP PORT FOR_MS\n");
      return 2;
    }
  proxy = proxy_new (argv[1], argv[2], (uint16_t) g_ascii_strtoull (argv[3], NULL, 10), &error);
  if (proxy == NULL)
    {
      (void) fprintf (stderr, "standin-outage: %s\n", error->message);
      return 1;
    }
  for_ms = (guint) g_ascii_strtoull (argv[4], NULL, 10);
  (void) g_unix_signal_add (SIGUSR1, on_outage, NULL);
  g_main_loop_run (loop);
  return 0;
}
