#include "net/net_server.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/err.h"
#include "net/net_conns.h"

/** Interval of the calls in which libmicrohttpd times out idle connections. */
#define IDLE_CHECK_MS 1000
/** Retry-After of a server that is being freed; a load balancer has removed it by then. */
#define RETRY_AFTER_S 1
/** Memory of libmicrohttpd for each connection; bounds the headers of a request to about half of
 * it. */
#define CONNECTION_BYTES ((size_t) 16 * 1024)
/** A longer body of a request that takes none is refused before it is read. */
#define DISCARD_BYTES_MAX ((uint32_t) 256 * 1024)
/** Longest time for requests before other events are handled. 400 clients with 300 KB of pipelined
 * requests each kept the main loop from the store for 11 s. */
#define RUN_US (5 * CLK_US_PER_MS)
/** Deferred requests that are handled before others get their turn again. */
#define DEFERRED_RUN_MAX 32

struct NetServer
{
  NetServerOptions options;
  NetConns conns;
  struct MHD_Daemon *daemon;
  guint source;
  guint timer;
  guint resume_source;
  GPtrArray *open;    /**< NetRequest without a reply so far */
  GQueue deferred;    /**< NetRequest that was read and waits for the next run, oldest first */
  int64_t run_end_us; /**< requests that are read later are deferred */
  gboolean is_quiesced;
  gboolean is_ending;
};

struct NetRequest
{
  NetServer *server;
  struct MHD_Connection *connection;
  NetConn *conn;
  char *method;
  char *path;
  GByteArray *body;
  int64_t read_us;
  struct MHD_Response *response;
  uint32_t status;
  gboolean is_discarded; /**< the body is not kept */
  NetBody body_state;
  gboolean was_deferred;
  gboolean is_handled;
  gboolean is_suspended;
};

static void
note_refusal (const NetServer *server, const char *reason)
{
  if (server->options.on_refused != NULL)
    server->options.on_refused (server->options.ctx, reason);
}

static void
drop_body (NetRequest *request)
{
  net_conn_uncharge_body (request->conn, request->body);
  g_byte_array_unref (request->body);
  request->body = g_byte_array_new ();
}

/* An incomplete body is freed now. */
static void
on_close (void *ctx, NetConn *conn, const char *reason)
{
  NetRequest *request = conn->request;

  note_refusal (ctx, reason);
  if (request != NULL && !request->is_handled)
    drop_body (request);
}

static gboolean on_resume (gpointer data);

static void
resume_deferred (NetServer *server, guint n_most)
{
  for (guint i = 0; i < n_most && server->deferred.length > 0; i++)
    MHD_resume_connection (((const NetRequest *) g_queue_pop_head (&server->deferred))->connection);
}

/* libmicrohttpd handles all pipelined requests that a connection has sent, and those of all
 * connections, before it returns. */
static gboolean
is_deferred (NetRequest *request)
{
  NetServer *server = request->server;

  if (request->was_deferred || server->is_ending || clk_now_us () < server->run_end_us)
    return FALSE;
  request->was_deferred = TRUE;
  g_queue_push_tail (&server->deferred, request);
  MHD_suspend_connection (request->connection);
  return TRUE;
}

/* Pending requests are handled for a bounded time, so that timers and other sockets get their turn.
 */
static void
run_daemon (NetServer *server)
{
  MHD_UNSIGNED_LONG_LONG left = 1;
  gboolean has_more = FALSE;

  server->run_end_us = clk_now_us () + RUN_US;
  resume_deferred (server, DEFERRED_RUN_MAX);
  do
    {
      (void) MHD_run (server->daemon);
      has_more = MHD_get_timeout (server->daemon, &left) == MHD_YES && left == 0;
    }
  while (has_more && clk_now_us () < server->run_end_us);
  if ((has_more || server->deferred.length > 0) && server->resume_source == 0)
    server->resume_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_resume, server, NULL);
}

static gboolean
on_ready (gint fd, GIOCondition condition, gpointer data)
{
  (void) fd;
  (void) condition;
  run_daemon (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_idle_check (gpointer data)
{
  NetServer *server = data;

  net_conns_check (&server->conns, clk_now_us ());
  run_daemon (server);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_resume (gpointer data)
{
  NetServer *server = data;

  server->resume_source = 0;
  run_daemon (server);
  return G_SOURCE_REMOVE;
}

static NetRequest *
request_new (NetServer *server,
             NetConn *conn,
             struct MHD_Connection *connection,
             const char *method,
             const char *path)
{
  NetRequest *request = g_new0 (NetRequest, 1);

  request->server = server;
  request->connection = connection;
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  request->body = g_byte_array_new ();
  request->conn = conn;
  conn->request = request;
  return request;
}

static enum MHD_Result
send_response (NetRequest *request)
{
  enum MHD_Result result
      = MHD_queue_response (request->connection, request->status, request->response);

  MHD_destroy_response (request->response);
  request->response = NULL;
  /* The handler has returned, and needs the body no more. */
  drop_body (request);
  return result;
}

static void
append_body (NetRequest *request, const char *data, size_t size)
{
  const NetServerOptions *options = &request->server->options;

  if (request->is_discarded || request->body_state != NET_BODY_KEPT)
    return;
  request->body_state
      = net_conn_append (request->conn, request->body, data, size, options->body_bytes_max);
  if (request->body_state != NET_BODY_KEPT)
    drop_body (request);
}

/* Called with the headers, before the body. A reply sent here closes the connection. */
static enum MHD_Result
start_request (NetRequest *request)
{
  const NetServerOptions *options = &request->server->options;
  const char *length = net_request_header (request, "Content-Length");
  const NetReply too_large = { .status = 413 };
  guint64 announced = 0;

  net_conn_set_phase (request->conn, NET_READING);
  request->is_discarded = options->body_bytes_max == 0
                          || (options->takes_body != NULL
                              && !options->takes_body (options->ctx, request->method, request->path,
                                                       net_request_header (request, "Host")));
  if (length == NULL || !g_ascii_string_to_unsigned (length, 10, 0, G_MAXUINT64, &announced, NULL)
      || announced <= MAX (options->body_bytes_max, DISCARD_BYTES_MAX))
    return MHD_YES;
  note_refusal (request->server, "body_size");
  request->is_handled = TRUE;
  net_request_reply (request, &too_large);
  return send_response (request);
}

static void
handle_request (NetRequest *request)
{
  const guint8 zero = 0;
  const NetReply too_large = { .status = 413 };
  const NetReply unavailable = { .status = 503, .retry_after_s = RETRY_AFTER_S };

  g_byte_array_append (request->body, &zero, 1);
  request->read_us = clk_now_us ();
  request->is_handled = TRUE;
  g_ptr_array_add (request->server->open, request);
  net_conn_set_phase (request->conn,
                      strcmp (request->method, "GET") == 0 ? NET_READ_ONLY : NET_WAITING);
  if (request->server->is_ending)
    net_request_reply (request, &unavailable);
  else if (request->body_state == NET_BODY_TOO_LARGE)
    {
      note_refusal (request->server, "body_size");
      net_request_reply (request, &too_large);
    }
  else if (request->body_state == NET_BODY_UNBUFFERED)
    {
      note_refusal (request->server, "buffers");
      net_request_reply (request, &unavailable);
    }
  else
    request->server->options.handler (request->server->options.ctx, request);
}

static enum MHD_Result
on_access (void *ctx,
           struct MHD_Connection *connection,
           const char *path,
           const char *method,
           const char *version,
           const char *upload,
           size_t *upload_size,
           void **slot)
{
  NetRequest *request = *slot;
  NetConn *conn = net_conn_of (connection);

  (void) version;
  if (conn->peer.is_closing)
    return MHD_NO;
  if (request == NULL)
    {
      *slot = request_new (ctx, conn, connection, method, path);
      return start_request (*slot);
    }
  if (*upload_size > 0)
    {
      append_body (request, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!request->is_handled && is_deferred (request))
    return MHD_YES;
  if (!request->is_handled)
    handle_request (request);
  if (request->response != NULL)
    return send_response (request);
  request->is_suspended = TRUE;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *ctx,
              struct MHD_Connection *connection,
              void **slot,
              enum MHD_RequestTerminationCode code)
{
  NetRequest *request = *slot;

  (void) ctx;
  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  request->conn->request = NULL;
  net_conn_uncharge (request->conn);
  net_conn_set_phase (request->conn, NET_IDLE);
  g_byte_array_unref (request->body);
  g_free (request->method);
  g_free (request->path);
  g_free (request);
  *slot = NULL;
}

static gboolean
parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;

  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return FALSE;
  g_autofree char *host = g_strndup (text, (gsize) (colon - text));
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

NetServer *
net_server_new (const NetServerOptions *options, GError **error)
{
  struct sockaddr_in address;

  if (!parse_address (options->address, &address))
    {
      err_set (error, ERR_BAD_CONFIG, "\"%s\" is not an IP address with a port", options->address);
      return NULL;
    }
  NetServer *server = g_new0 (NetServer, 1);
  server->options = *options;
  server->options.address = NULL;
  const NetConnsOptions conns = { .connections_max = options->connections_max,
                                  .excess_waits = options->excess_waits,
                                  .pool_bytes = CONNECTION_BYTES,
                                  .buffer_bytes_max = options->buffer_bytes_max,
                                  .idle_s = options->idle_s,
                                  .read_timeout_s = options->read_timeout_s,
                                  .on_close = on_close,
                                  .ctx = server };
  net_conns_init (&server->conns, &conns);
  server->open = g_ptr_array_new ();
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, server,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT, net_conns_limit (&server->conns),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES, MHD_OPTION_NOTIFY_CONNECTION,
      net_conns_notify, &server->conns, MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      err_set (error, ERR_REFUSED, "cannot listen on %s", options->address);
      g_ptr_array_unref (server->open);
      g_free (server);
      return NULL;
    }
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->source = g_unix_fd_add (info->epoll_fd, G_IO_IN, on_ready, server);
  server->timer = g_timeout_add (IDLE_CHECK_MS, on_idle_check, server);
  return server;
}

void
net_server_quiesce (NetServer *server)
{
  if (server->is_quiesced)
    return;
  server->is_quiesced = TRUE;
  MHD_socket listener = MHD_quiesce_daemon (server->daemon);
  if (listener != MHD_INVALID_SOCKET)
    (void) close (listener);
}

/* libmicrohttpd cannot stop while a connection is suspended. */
static void
reply_to_open_requests (NetServer *server)
{
  const NetReply gateway_timeout = { .status = 504 };

  server->is_ending = TRUE;
  resume_deferred (server, server->deferred.length);
  run_daemon (server);
  while (server->open->len > 0)
    net_request_reply (g_ptr_array_index (server->open, 0), &gateway_timeout);
  run_daemon (server);
}

void
net_server_free (NetServer *server)
{
  if (server == NULL)
    return;
  reply_to_open_requests (server);
  g_source_remove (server->source);
  g_source_remove (server->timer);
  if (server->resume_source != 0)
    g_source_remove (server->resume_source);
  MHD_stop_daemon (server->daemon);
  g_ptr_array_unref (server->open);
  g_free (server);
}

uint32_t
net_server_open_requests (const NetServer *server)
{
  return server->open->len;
}

const char *
net_request_method (const NetRequest *request)
{
  return request->method;
}

const char *
net_request_path (const NetRequest *request)
{
  return request->path;
}

const char *
net_request_header (const NetRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

const char *
net_request_argument (const NetRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
net_request_body (const NetRequest *request, size_t *size)
{
  if (size != NULL)
    *size = request->body->len - 1;
  return (const char *) request->body->data;
}

int64_t
net_request_read_us (const NetRequest *request)
{
  return request->read_us;
}

void
net_request_reply (NetRequest *request, const NetReply *reply)
{
  NetServer *server = request->server;
  const char *body = reply->body != NULL ? reply->body : "";
  size_t size = reply->body_size > 0 ? reply->body_size : strlen (body);

  (void) g_ptr_array_remove_fast (server->open, request);
  net_peers_charge (&request->conn->peer, size);
  net_conn_set_phase (request->conn, NET_SENDING);
  request->status = reply->status;
  request->response = MHD_create_response_from_buffer (size, (void *) body, MHD_RESPMEM_MUST_COPY);
  if (reply->content_type != NULL)
    (void) MHD_add_response_header (request->response, "Content-Type", reply->content_type);
  if (reply->retry_after_s > 0)
    {
      char text[16];
      (void) g_snprintf (text, sizeof text, "%u", reply->retry_after_s);
      (void) MHD_add_response_header (request->response, "Retry-After", text);
    }
  if (reply->location != NULL)
    (void) MHD_add_response_header (request->response, "Location", reply->location);
  if (server->is_quiesced)
    (void) MHD_add_response_header (request->response, "Connection", "close");
  if (!request->is_suspended)
    return;
  request->is_suspended = FALSE;
  MHD_resume_connection (request->connection);
  if (server->resume_source == 0)
    server->resume_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_resume, server, NULL);
}
