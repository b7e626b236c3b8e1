#include "entry/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "entry/render.h"
#include "entry/http_private.h"

/** Longest wait of the polling thread. */
#define POLL_MS 200
/** Time to send the last answers when stopping, and the poll interval during it. */
#define STOP_DRAIN_US (500 * CLK_US_PER_MS)
#define STOP_POLL_MS 10
#define RETRY_AFTER_SIZE 24
/** Interval of the checks of time limits. */
#define CHECK_US CLK_US_PER_S
const HttpRequestInfo *
http_request_info (const HttpRequest *request)
{
  return &request->ask;
}

static void
drop_body (HttpRequest *request)
{
  g_byte_array_unref (request->received);
  request->received = g_byte_array_new ();
  net_conn_uncharge (request->conn);
}

/* An incomplete body is freed now. */
static void
on_close (void *ctx, NetConn *conn, const char *reason)
{
  const Http *http = ctx;
  HttpRequest *request = conn->request;
  g_autofree char *label = g_strdup_printf ("reason=\"%s\"", reason);

  met_add (met_counter (http->options.metrics, "acacia_entry_connections_closed_total", label,
                        "Connections closed because of a limit"),
           1);
  if (request != NULL && request->received != NULL)
    drop_body (request);
}

/* libmicrohttpd does not wake an external polling thread when a connection is resumed. */
static void
wake (const Http *http)
{
  (void) eventfd_write (http->wake_fd, 1);
}

static void
set_answer (HttpRequest *request,
            uint32_t status,
            const char *content_type,
            GBytes *body,
            const HttpHeader *headers,
            size_t n_headers)
{
  g_assert (g_atomic_int_get (&request->status) == 0);
  request->content_type = g_strdup (content_type);
  request->body = g_bytes_ref (body);
  request->headers = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < n_headers; i++)
    {
      g_ptr_array_add (request->headers, g_strdup (headers[i].name));
      g_ptr_array_add (request->headers, g_strdup (headers[i].value));
    }
  g_atomic_int_set (&request->status, (gint) status);
}

void
http_answer (HttpRequest *request,
             uint32_t status,
             const char *content_type,
             GBytes *body,
             const HttpHeader *headers,
             size_t n_headers)
{
  /* The HTTP thread owns the request again as soon as its status is set: copy its fields before. */
  struct MHD_Connection *connection = request->is_submitted ? request->connection : NULL;
  const Http *http = request->http;

  set_answer (request, status, content_type, body, headers, n_headers);
  if (connection != NULL)
    {
      MHD_resume_connection (connection);
      wake (http);
    }
}

void
http_fail (HttpRequest *request,
           ErrKind kind,
           ErrRan ran,
           const char *message,
           int64_t retry_after_ms,
           const char *request_id,
           uint32_t attempts)
{
  char retry_after[RETRY_AFTER_SIZE];
  char attempts_text[RETRY_AFTER_SIZE];
  HttpHeader headers[4];
  size_t count = 0;
  g_autoptr (GBytes) body = render_error (kind, ran, message, retry_after_ms, request_id);

  met_kind_add (request->http->options.metrics, "acacia_entry_refusals_total", kind, 1);
  g_snprintf (attempts_text, sizeof attempts_text, "%u", attempts);
  headers[count++] = (HttpHeader){ "Acacia-Ran", err_ran_name (ran) };
  headers[count++] = (HttpHeader){ "Acacia-Attempts", attempts_text };
  if (request_id != NULL)
    headers[count++] = (HttpHeader){ "Acacia-Request-Id", request_id };
  if (retry_after_ms > 0)
    {
      int64_t seconds = (retry_after_ms + CLK_MS_PER_S - 1) / CLK_MS_PER_S;
      g_snprintf (retry_after, sizeof retry_after, "%" G_GINT64_FORMAT, seconds);
      headers[count++] = (HttpHeader){ "Retry-After", retry_after };
    }
  http_answer (request, err_row (kind)->http_status, "application/json", body, headers, count);
}

static enum MHD_Result
queue_answer (HttpRequest *request)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (request->body, &size);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, (void *) data, MHD_RESPMEM_MUST_COPY);

  if (response == NULL)
    return MHD_NO;
  if (*request->content_type != '\0')
    (void) MHD_add_response_header (response, "Content-Type", request->content_type);
  for (guint i = 0; i + 1 < request->headers->len; i += 2)
    (void) MHD_add_response_header (response, g_ptr_array_index (request->headers, i),
                                    g_ptr_array_index (request->headers, i + 1));
  enum MHD_Result queued = MHD_queue_response (
      request->connection, (unsigned int) g_atomic_int_get (&request->status), response);
  MHD_destroy_response (response);
  net_conn_uncharge (request->conn);
  net_peers_charge (&request->conn->peer, size);
  net_conn_set_phase (request->conn, NET_SENDING);
  return queued;
}

static enum MHD_Result
refuse (HttpRequest *request, const GError *error)
{
  ErrKind kind = err_kind (error);
  const ErrRow *row = err_row (kind);

  http_fail (request, kind, row->ran, error->message, row->retry_after_ms, NULL, 0);
  return queue_answer (request);
}

static enum MHD_Result
add_header_size (void *ctx, enum MHD_ValueKind kind, const char *key, const char *value)
{
  size_t *size = ctx;

  (void) kind;
  *size += strlen (key) + (value != NULL ? strlen (value) : 0) + 4;
  return MHD_YES;
}

static gboolean
check_size (HttpRequest *request, GError **error)
{
  const HttpOptions *options = &request->http->options;
  size_t headers = strlen (request->target);
  int64_t length = 0;
  const char *text = MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_CONTENT_LENGTH);

  (void) MHD_get_connection_values (request->connection, MHD_HEADER_KIND, add_header_size,
                                    &headers);
  if (headers > options->headers_bytes_max)
    err_set (error, ERR_TOO_LARGE, "headers: expected at most %u bytes",
             options->headers_bytes_max);
  else if (text != NULL
           && (!params_integer (text, 0, G_MAXINT64, &length) || length > options->body_bytes_max))
    err_set (error, ERR_TOO_LARGE, "body: expected at most %u bytes", options->body_bytes_max);
  else
    return TRUE;
  return FALSE;
}

/* Called with the headers, before the body. A refusal here closes the connection. */
static enum MHD_Result
start_request (HttpRequest *request, const char *method, const char *path)
{
  g_autoptr (GError) error = NULL;

  request->is_started = TRUE;
  request->ask.received_us = clk_now_us ();
  request->received = g_byte_array_new ();
  if (!check_size (request, &error))
    return refuse (request, error);
  /* Other refusals are sent after the body was read, so that the connection can be reused. */
  (void) http_route (request, method, path, &request->refusal);
  return MHD_YES;
}

static enum MHD_Result
receive_body (HttpRequest *request, const char *data, size_t *size)
{
  const HttpOptions *options = &request->http->options;
  int64_t age_us = clk_now_us () - request->ask.received_us;

  if (age_us > options->idle_ms * CLK_US_PER_MS)
    {
      met_kind_add (options->metrics, "acacia_entry_refusals_total", ERR_TIMEOUT, 1);
      return MHD_NO;
    }
  /* The body of a refused request is of no use. */
  if (request->refusal == NULL && request->body_state == NET_BODY_KEPT)
    {
      request->body_state = net_conn_append (request->conn, request->received, data, *size,
                                             options->body_bytes_max);
      if (request->body_state != NET_BODY_KEPT)
        drop_body (request);
    }
  *size = 0;
  return MHD_YES;
}

static gboolean
has_effects (HttpOp op)
{
  return op == HTTP_CALL || op == HTTP_CONFIG_PUT || op == HTTP_JOB_SUBMIT || op == HTTP_JOB_CANCEL;
}

/* Passes the request to the loop. TRUE: the connection is suspended until http_answer(). */
static gboolean
submit (HttpRequest *request)
{
  if (g_atomic_int_get (&request->http->stopping))
    {
      http_fail (request, ERR_LEAVING, ERR_RAN_NO, "this entry is leaving",
                 err_row (ERR_LEAVING)->retry_after_ms, NULL, 0);
      return FALSE;
    }
  net_conn_set_phase (request->conn, has_effects (request->ask.op) ? NET_WAITING : NET_READ_ONLY);
  MHD_suspend_connection (request->connection);
  request->is_submitted = TRUE;
  if (!request->http->options.submit (request->http->options.ctx, request))
    http_fail (request, ERR_QUEUE_FULL, ERR_RAN_NO, "the entry can't take more requests now",
               err_row (ERR_QUEUE_FULL)->retry_after_ms, NULL, 0);
  return TRUE;
}

/* Called when the request was received completely. */
static enum MHD_Result
finish_request (HttpRequest *request)
{
  g_autoptr (GError) error = NULL;

  if (request->refusal != NULL)
    return refuse (request, request->refusal);
  if (request->body_state == NET_BODY_TOO_LARGE)
    {
      err_set (&error, ERR_TOO_LARGE, "body: expected at most %u bytes",
               request->http->options.body_bytes_max);
      return refuse (request, error);
    }
  if (request->body_state == NET_BODY_UNBUFFERED)
    {
      http_fail (request, ERR_QUEUE_FULL, ERR_RAN_NO, "the entry has no memory for the body now",
                 err_row (ERR_QUEUE_FULL)->retry_after_ms, NULL, 0);
      return queue_answer (request);
    }
  request->ask.body = g_byte_array_free_to_bytes (g_steal_pointer (&request->received));
  if (!http_read_body (request, &error))
    return refuse (request, error);
  if (http_answer_directly (request))
    return queue_answer (request);
  gboolean is_submitted = submit (request);
  /* libmicrohttpd calls on_request() again when a suspended connection is resumed. */
  return is_submitted ? MHD_YES : queue_answer (request);
}

static enum MHD_Result
on_request (void *ctx,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload_data,
            size_t *upload_data_size,
            void **con_cls)
{
  HttpRequest *request = *con_cls;

  (void) version;
  if (request == NULL)
    return MHD_NO;
  g_assert (request->http == ctx && request->connection == connection);
  if (request->conn->peer.is_closing)
    return MHD_NO;
  if (!request->is_started)
    return start_request (request, method, url);
  if (*upload_data_size > 0)
    return receive_body (request, upload_data, upload_data_size);
  if (g_atomic_int_get (&request->status) != 0)
    return queue_answer (request);
  return finish_request (request);
}

static void *
on_target (void *ctx, const char *target, struct MHD_Connection *connection)
{
  HttpRequest *request = g_new0 (HttpRequest, 1);

  request->http = ctx;
  request->connection = connection;
  request->target = g_strdup (target);
  request->conn = net_conn_of (connection);
  request->conn->request = request;
  net_conn_set_phase (request->conn, NET_READING);
  return request;
}

static void
on_completed (void *ctx,
              struct MHD_Connection *connection,
              void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  HttpRequest *request = *con_cls;

  (void) ctx;
  (void) connection;
  (void) code;
  *con_cls = NULL;
  if (request == NULL)
    return;
  net_conn_uncharge (request->conn);
  request->conn->request = NULL;
  net_conn_set_phase (request->conn, NET_IDLE);
  params_clear (&request->ask.call);
  g_clear_pointer (&request->ask.body, g_bytes_unref);
  g_free (request->ask.author);
  g_free (request->ask.note);
  g_free (request->ask.job_name);
  g_free (request->ask.job_key);
  g_free (request->ask.submitter);
  g_free (request->target);
  g_clear_pointer (&request->received, g_byte_array_unref);
  g_clear_error (&request->refusal);
  g_free (request->content_type);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_clear_pointer (&request->headers, g_ptr_array_unref);
  g_free (request);
}

/* Logs messages of libmicrohttpd. */
static void
on_library_log (void *ctx, const char *format, va_list args)
{
  g_autofree char *text = g_strdup_vprintf (format, args);

  (void) ctx;
  g_strdelimit (text, "\"\n", ' ');
  jnl_event (JNL_DEBUG, "http", "library", "text=\"%s\"", text);
}

static void
check_limits (Http *http)
{
  int64_t now_us = clk_now_us ();

  if (now_us - http->checked_us < CHECK_US)
    return;
  http->checked_us = now_us;
  net_conns_check (&http->conns, now_us);
}

/* Waits for a connection event, a ready answer, or the end of wait_ms, and handles it. */
static void
run_once (Http *http, int wait_ms)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  struct pollfd fds[] = { { .fd = http->wake_fd, .events = POLLIN },
                          { .fd = info != NULL ? info->epoll_fd : -1, .events = POLLIN } };
  MHD_UNSIGNED_LONG_LONG due_ms = 0;
  eventfd_t woken = 0;

  if (MHD_get_timeout (http->daemon, &due_ms) == MHD_YES && due_ms < (unsigned int) wait_ms)
    wait_ms = (int) due_ms;
  (void) poll (fds, G_N_ELEMENTS (fds), wait_ms);
  (void) eventfd_read (http->wake_fd, &woken);
  (void) MHD_run (http->daemon);
  check_limits (http);
}

static void *
poll_thread (void *data)
{
  Http *http = data;

  rcu_register_thread ();
  while (!g_atomic_int_get (&http->stopping))
    run_once (http, POLL_MS);
  rcu_unregister_thread ();
  return NULL;
}

static struct MHD_Daemon *
start_daemon (Http *http, const struct sockaddr_in *address)
{
  const HttpOptions *options = &http->options;
  unsigned int idle_s = (unsigned int) ((options->idle_ms + CLK_MS_PER_S - 1) / CLK_MS_PER_S);

  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_ERROR_LOG, options->port,
      NULL, NULL, on_request, http, MHD_OPTION_EXTERNAL_LOGGER, on_library_log, http,
      MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_URI_LOG_CALLBACK, on_target, http,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, http, MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
      MHD_OPTION_CONNECTION_LIMIT, net_conns_limit (&http->conns), MHD_OPTION_NOTIFY_CONNECTION,
      net_conns_notify, &http->conns, MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->pool_bytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

Http *
http_new (const HttpOptions *options, GError **error)
{
  Http *http = g_new0 (Http, 1);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (options->port) };

  http->options = *options;
  const uint32_t idle_s = (uint32_t) ((options->idle_ms + CLK_MS_PER_S - 1) / CLK_MS_PER_S);
  const NetConnsOptions conns = { .connections_max = options->connections_max,
                                  .pool_bytes = options->pool_bytes,
                                  .buffer_bytes_max = options->buffer_bytes_max,
                                  .idle_s = idle_s,
                                  .read_timeout_s = idle_s,
                                  .on_close = on_close,
                                  .ctx = http };
  net_conns_init (&http->conns, &conns);
  http->host = g_strdup (options->host);
  http->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (http->wake_fd >= 0 && inet_pton (AF_INET, options->host, &address.sin_addr) == 1)
    http->daemon = start_daemon (http, &address);
  if (http->daemon == NULL)
    {
      err_set (error, ERR_REFUSED, "can't listen on %s port %u", options->host, options->port);
      if (http->wake_fd >= 0)
        close (http->wake_fd);
      g_free (http->host);
      g_free (http);
      return NULL;
    }
  int rc = pthread_create (&http->thread, NULL, poll_thread, http);
  g_assert (rc == 0);
  return http;
}

void
http_stop (Http *http)
{
  if (http == NULL)
    return;
  g_atomic_int_set (&http->stopping, 1);
  wake (http);
  (void) pthread_join (http->thread, NULL);
}

static gboolean
has_connections (const Http *http)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

  return info != NULL && info->num_connections > 0;
}

void
http_free (Http *http)
{
  if (http == NULL)
    return;
  int64_t end_us = clk_now_us () + STOP_DRAIN_US;
  rcu_register_thread ();
  while (has_connections (http) && clk_now_us () < end_us)
    run_once (http, STOP_POLL_MS);
  MHD_stop_daemon (http->daemon);
  rcu_unregister_thread ();
  close (http->wake_fd);
  g_free (http->host);
  g_free (http);
}
