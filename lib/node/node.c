#include "node/node.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "common/line.h"
#include "net/net_server.h"

/** Longest time that log lines are buffered. */
#define LOG_FLUSH_MS 200
#define METRICS_CONNECTIONS_MAX 32
#define METRICS_IDLE_TIMEOUT_S 20
#define METRICS_READ_TIMEOUT_S 10
/** A flood refuses thousands of connections a second; their counters tell how many. */
#define REFUSED_LOG_US CLK_US_PER_S

struct Node
{
  NodeOptions options;
  GMainLoop *loop;
  MetRegistry *metrics;
  NetClient *client;
  NetServer *server;
  uint64_t boot;
  int64_t refused_logged_us;
  uint64_t refused_unlogged; /**< since the last line */
  guint sources[4];
  gboolean is_leaving;
};

static gboolean
is_post (const NodeOptions *options, const char *method, const char *path)
{
  return options->post_path != NULL && strcmp (method, "POST") == 0
         && strcmp (path, options->post_path) == 0;
}

static gboolean
takes_body (void *ctx, const char *method, const char *path, const char *host)
{
  (void) host;
  return is_post (&((const Node *) ctx)->options, method, path);
}

static void
serve_metrics (void *ctx, NetRequest *request)
{
  Node *node = ctx;

  if (is_post (&node->options, net_request_method (request), net_request_path (request)))
    {
      node->options.on_post (node->options.ctx, request);
      return;
    }
  g_autofree char *text = met_render (node->metrics);
  const NetReply reply = { .status = 200, .content_type = "text/plain", .body = text };

  net_request_reply (request, &reply);
}

void
node_refused (Node *node, const char *server, const char *reason)
{
  g_autofree char *label = g_strdup_printf ("server=\"%s\",reason=\"%s\"", server, reason);
  int64_t now_us = clk_now_us ();

  met_add (met_counter (node->metrics, "acacia_connections_refused_total", label,
                        "Connections closed and requests refused because of a limit"),
           1);
  node->refused_unlogged++;
  if (node->refused_logged_us != 0 && now_us - node->refused_logged_us < REFUSED_LOG_US)
    return;
  line_add ("node", "connection_refused", "server=%s reason=%s count=%" G_GUINT64_FORMAT, server,
            reason, node->refused_unlogged);
  node->refused_logged_us = now_us;
  node->refused_unlogged = 0;
}

static void
on_metrics_refused (void *ctx, const char *reason)
{
  node_refused (ctx, "metrics", reason);
}

static void
on_call_timeout (void *ctx, const NetTimeout *timeout)
{
  const Node *node = ctx;

  met_add (met_counter (node->metrics, "acacia_call_timeouts_total",
                        timeout->has_replaced ? "replaced=\"yes\"" : "replaced=\"no\"",
                        "Calls to the store or a worker without an answer, and whether the "
                        "connections to the peer were replaced"),
           1);
  line_add ("net", "call_timed_out",
            "peer=%s generation=%" G_GUINT64_FORMAT " replaced=%s sent=%s connections=%u"
            " other_calls=%u waited_ms=%" G_GINT64_FORMAT,
            timeout->peer, timeout->generation, timeout->has_replaced ? "yes" : "no",
            timeout->was_started ? "yes" : "no", timeout->n_connections, timeout->n_others,
            timeout->waited_ms);
}

static gboolean
on_flush (gpointer data)
{
  (void) data;
  line_flush ();
  return G_SOURCE_CONTINUE;
}

static gboolean
on_term (gpointer data)
{
  Node *node = data;

  if (node->is_leaving)
    return G_SOURCE_CONTINUE;
  node->is_leaving = TRUE;
  line_add ("node", "leaving", "name=%s", node->options.settings->name);
  node->options.on_leave (node->options.ctx);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_hup (gpointer data)
{
  Node *node = data;

  line_add ("node", "reload", "name=%s", node->options.settings->name);
  if (node->options.on_reload != NULL)
    node->options.on_reload (node->options.ctx);
  return G_SOURCE_CONTINUE;
}

/* Blocks or unblocks the signals that a node handles. */
static void
set_signals (int how)
{
  sigset_t signals;

  (void) sigemptyset (&signals);
  (void) sigaddset (&signals, SIGTERM);
  (void) sigaddset (&signals, SIGINT);
  (void) sigaddset (&signals, SIGHUP);
  (void) pthread_sigmask (how, &signals, NULL);
}

void
node_block_signals (void)
{
  set_signals (SIG_BLOCK);
}

Node *
node_new (const NodeOptions *options, GError **error)
{
  Node *node = g_new0 (Node, 1);
  g_autofree char *address
      = g_strdup_printf ("%s:%d", options->settings->ip, (int) options->settings->metrics_port);
  const NetServerOptions server = { .address = address,
                                    .connections_max = METRICS_CONNECTIONS_MAX,
                                    .idle_s = METRICS_IDLE_TIMEOUT_S,
                                    .read_timeout_s = METRICS_READ_TIMEOUT_S,
                                    .body_bytes_max = options->post_bytes_max,
                                    .takes_body = takes_body,
                                    .on_refused = on_metrics_refused,
                                    .handler = serve_metrics,
                                    .ctx = node };

  (void) signal (SIGPIPE, SIG_IGN);
  node->options = *options;
  node->boot = ids_new ().low | 1U;
  node->loop = g_main_loop_new (NULL, FALSE);
  node->metrics = met_new ();
  node->client = net_client_new ();
  net_client_on_timeout (node->client, on_call_timeout, node);
  node->server = net_server_new (&server, error);
  if (node->server == NULL)
    {
      node_free (node);
      return NULL;
    }
  node->sources[0] = g_unix_signal_add (SIGTERM, on_term, node);
  node->sources[1] = g_unix_signal_add (SIGINT, on_term, node);
  node->sources[2] = g_unix_signal_add (SIGHUP, on_hup, node);
  set_signals (SIG_UNBLOCK);
  node->sources[3] = g_timeout_add (LOG_FLUSH_MS, on_flush, NULL);
  return node;
}

void
node_free (Node *node)
{
  if (node == NULL)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (node->sources); i++)
    {
      if (node->sources[i] != 0)
        g_source_remove (node->sources[i]);
    }
  net_server_free (node->server);
  net_client_free (node->client);
  met_free (node->metrics);
  g_main_loop_unref (node->loop);
  g_free (node);
}

MetRegistry *
node_metrics (Node *node)
{
  return node->metrics;
}

NetClient *
node_client (Node *node)
{
  return node->client;
}

void
node_run (Node *node)
{
  line_add ("node", "started", "name=%s boot=%" G_GUINT64_FORMAT, node->options.settings->name,
            node->boot);
  line_flush ();
  g_main_loop_run (node->loop);
  line_add ("node", "stopped", "name=%s", node->options.settings->name);
  line_flush ();
}

void
node_quit (Node *node)
{
  g_main_loop_quit (node->loop);
}

uint64_t
node_boot (const Node *node)
{
  return node->boot;
}
