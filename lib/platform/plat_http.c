#include "platform/plat_http.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"

/** Size limit of an answer. */
#define ANSWER_BYTES_MAX ((size_t) 16 * 1024 * 1024)
#define READ_CHUNK_BYTES 16384
#define STATUS_FAILURE_FIRST 300

struct PlatHttp
{
  ne_session *session;
  int64_t read_ms;
  gboolean is_connected;
  gboolean was_connected; /**< at any time during the call */
  gboolean was_repeated;  /**< neon may have sent the request twice */
};

static void
on_status (void *ctx, ne_session_status status, const ne_session_status_info *info)
{
  PlatHttp *http = ctx;

  (void) info;
  /* neon replaces a kept connection that broke, and sends the request again. */
  if (status == ne_status_connected)
    {
      http->was_repeated = http->was_connected;
      http->is_connected = TRUE;
      http->was_connected = TRUE;
    }
  else if (status == ne_status_disconnected)
    http->is_connected = FALSE;
}

/* Rounds up, since neon takes its time-outs in whole seconds. */
static int
seconds_up (int64_t millis)
{
  int64_t seconds = (millis + CLK_MS_PER_S - 1) / CLK_MS_PER_S;

  return (int) CLAMP (seconds, 1, G_MAXINT);
}

/* ne_sock_init() is not safe to run concurrently. It also makes SIGPIPE an error return. */
static void
initialise_neon (void)
{
  static gsize is_done = 0;

  if (!g_once_init_enter (&is_done))
    return;
  (void) ne_sock_init ();
  g_once_init_leave (&is_done, 1);
}

PlatHttp *
plat_http_new (const PlatHttpOptions *options)
{
  PlatHttp *http = g_new0 (PlatHttp, 1);

  initialise_neon ();
  http->session = ne_session_create ("http", options->host, options->port);
  http->read_ms = options->read_ms;
  ne_set_connect_timeout (http->session, seconds_up (options->connect_ms));
  ne_set_notifier (http->session, on_status, http);
  return http;
}

void
plat_http_free (PlatHttp *http)
{
  if (http == NULL)
    return;
  ne_session_destroy (http->session);
  g_free (http);
}

static void
set_call_error (PlatHttp *http, int result, GError **error)
{
  ErrKind kind = http->was_connected ? ERR_TIMEOUT : ERR_REFUSED;

  (void) result;
  err_set (error, kind, "platform: %s", ne_get_error (http->session));
}

/* Reads the body until its end, the deadline or the size limit. */
static gboolean
read_body (
    PlatHttp *http, ne_request *request, int64_t deadline_us, GByteArray *body, GError **error)
{
  char chunk[READ_CHUNK_BYTES];

  for (;;)
    {
      ssize_t got = ne_read_response_block (request, chunk, sizeof chunk);
      if (got == 0)
        return TRUE;
      if (got < 0)
        {
          err_set (error, ERR_PROTOCOL, "platform: truncated answer: %s",
                   ne_get_error (http->session));
          return FALSE;
        }
      g_byte_array_append (body, (const guint8 *) chunk, (guint) got);
      if (body->len > ANSWER_BYTES_MAX)
        {
          err_set (error, ERR_PROTOCOL, "platform: answer exceeds %zu bytes", ANSWER_BYTES_MAX);
          return FALSE;
        }
      if (clk_now_us () > deadline_us)
        {
          err_set (error, ERR_TIMEOUT, "platform: answer not complete before the deadline");
          return FALSE;
        }
    }
}

/* Sends the request and reads the answer. neon returns NE_RETRY when a kept connection turns out to
 * be closed. */
static gboolean
exchange (PlatHttp *http,
          ne_request *request,
          int64_t deadline_us,
          GByteArray *body,
          uint32_t *status,
          GError **error)
{
  int result = NE_RETRY;

  while (result == NE_RETRY)
    {
      g_byte_array_set_size (body, 0);
      result = ne_begin_request (request);
      if (result != NE_OK)
        break;
      if (!read_body (http, request, deadline_us, body, error))
        return FALSE;
      result = ne_end_request (request);
    }
  if (result != NE_OK)
    {
      set_call_error (http, result, error);
      return FALSE;
    }
  *status = (uint32_t) ne_get_status (request)->code;
  return TRUE;
}

static json_t *
parse_answer (const GByteArray *body, GError **error)
{
  json_error_t failure;
  json_t *answer
      = json_loadb ((const char *) body->data, body->len, JSON_REJECT_DUPLICATES, &failure);

  if (answer != NULL && json_is_object (answer))
    return answer;
  json_decref (answer);
  err_set (error, ERR_PROTOCOL, "platform: answer is not a JSON object");
  return NULL;
}

/* Whether the answer to a repeat leaves open what the first transmission did. A read did nothing,
 * and a success says the same of both. */
static gboolean
is_in_doubt (const PlatHttp *http, const PlatHttpCall *call, uint32_t status)
{
  return http->was_repeated && strcmp (call->method, "GET") != 0 && status >= STATUS_FAILURE_FIRST;
}

uint32_t
plat_http_call (PlatHttp *http, const PlatHttpCall *call, json_t **answer, GError **error)
{
  int64_t limit_ms = http->read_ms + call->wait_ms;
  int64_t deadline_us = clk_now_us () + limit_ms * CLK_US_PER_MS;
  char *text = call->body != NULL ? json_dumps (call->body, JSON_COMPACT) : NULL;
  ne_request *request = ne_request_create (http->session, call->method, call->path);
  g_autoptr (GByteArray) body = g_byte_array_new ();
  uint32_t status = 0;

  ne_set_read_timeout (http->session, seconds_up (limit_ms));
  http->was_connected = http->is_connected;
  http->was_repeated = FALSE;
  if (text != NULL)
    {
      ne_add_request_header (request, "Content-Type", "application/json");
      ne_set_request_body_buffer (request, text, strlen (text));
    }
  gboolean ok = exchange (http, request, deadline_us, body, &status, error);
  ne_request_destroy (request);
  free (text);
  if (!ok)
    {
      ne_close_connection (http->session);
      http->is_connected = FALSE;
      return 0;
    }
  if (is_in_doubt (http, call, status))
    {
      err_set (error, ERR_PROTOCOL, "platform: status %u to a request that was sent before",
               status);
      return 0;
    }
  *answer = parse_answer (body, error);
  return *answer != NULL ? status : 0;
}

gboolean
plat_http_integer (const json_t *object, const char *key, int64_t *value, GError **error)
{
  const json_t *member = json_object_get (object, key);

  if (!json_is_integer (member) || json_integer_value (member) < 0)
    {
      err_set (error, ERR_PROTOCOL, "platform: '%s' is not a non-negative integer", key);
      return FALSE;
    }
  *value = json_integer_value (member);
  return TRUE;
}

void
plat_http_failure (uint32_t status, const json_t *answer, int fallback, GError **error)
{
  const char *name = json_string_value (json_object_get (answer, "error"));
  ErrKind kind = (ErrKind) fallback;

  if (name != NULL)
    (void) err_kind_from_name (name, &kind);
  err_set (error, kind, "platform: status %u: %s", status, name != NULL ? name : "no reason");
}
