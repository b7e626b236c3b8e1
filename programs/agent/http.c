#include "http.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "common/err.h"

#define CONNECTIONS_MAX 64
#define CONNECTION_TIMEOUT_S 10
#define REQUEST_BYTES_MAX 16384

struct Http
{
  HttpOptions options;
  struct MHD_Daemon *daemon;
};

static enum MHD_Result
send_answer (struct MHD_Connection *connection,
             unsigned int status,
             const char *type,
             const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  (void) MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_request (void *ctx,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *data,
                size_t *size,
                void **state)
{
  const Http *http = ctx;

  (void) version;
  (void) data;
  (void) state;
  *size = 0;
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return send_answer (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain", "only GET\n");
  if (strcmp (url, "/healthz") == 0)
    return send_answer (connection, MHD_HTTP_OK, "text/plain", "ok\n");
  if (strcmp (url, "/readyz") == 0)
    {
      gboolean ready = http->options.is_ready (http->options.ctx);
      return send_answer (connection, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                          "text/plain", ready ? "ready\n" : "not ready\n");
    }
  if (strcmp (url, "/metrics") == 0)
    {
      g_autofree char *text = met_render (http->options.metrics);
      return send_answer (connection, MHD_HTTP_OK, "text/plain; version=0.0.4", text);
    }
  return send_answer (connection, MHD_HTTP_NOT_FOUND, "text/plain", "not found\n");
}

Http *
http_new (const HttpOptions *options, GError **error)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  Http *http = g_new0 (Http, 1);

  http->options = *options;
  if (inet_pton (AF_INET, options->host, &address.sin_addr) == 1)
    http->daemon = MHD_start_daemon (
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, 0, NULL, NULL, handle_request, http,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT, (unsigned int) CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int) CONNECTION_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) REQUEST_BYTES_MAX, MHD_OPTION_END);
  if (http->daemon != NULL)
    return http;
  err_set (error, ERR_REFUSED, "http: can't listen on %s:%u", options->host, options->port);
  g_free (http);
  return NULL;
}

void
http_free (Http *http)
{
  if (http == NULL)
    return;
  MHD_stop_daemon (http->daemon);
  g_free (http);
}
