#include "agent/agent_call.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <string.h>

#include "common/clk.h"

#define READ_CHUNK_BYTES 16384
#define STATUS_UNAVAILABLE 503
#define STATUS_SERVER_ERROR 500
/** Response header by which the endpoint states that it refused before it ran anything. */
#define HEADER_RAN "Acacia-Ran"

struct AgentCaller
{
  ne_session *session;
  int64_t connect_ms;
  int64_t once_read_ms;
  gboolean is_connected;
  gboolean was_connected; /**< at any time during the call */
  gboolean was_repeated;  /**< neon may have sent the request twice */
};

void
agent_call_free (AgentCall *call)
{
  if (call == NULL)
    return;
  g_free (call->peer);
  g_free (call->tenant);
  g_free (call->key);
  g_free (call->path);
  g_free (call->content_type);
  if (call->body != NULL)
    g_byte_array_unref (call->body);
  g_free (call->message);
  g_free (call->answer_type);
  if (call->answer != NULL)
    g_byte_array_unref (call->answer);
  g_free (call);
}

static void
on_session_status (void *ctx, ne_session_status status, const ne_session_status_info *info)
{
  AgentCaller *caller = ctx;

  (void) info;
  /* neon replaces a kept connection that broke, and sends the request again. */
  if (status == ne_status_connected)
    {
      caller->was_repeated = caller->was_connected;
      caller->is_connected = caller->was_connected = TRUE;
    }
  else if (status == ne_status_disconnected)
    caller->is_connected = FALSE;
}

static int
round_up_to_seconds (int64_t micros)
{
  int64_t seconds = (micros + CLK_US_PER_S - 1) / CLK_US_PER_S;

  return (int) CLAMP (seconds, 1, G_MAXINT);
}

AgentCaller *
agent_caller_new (const AgentCallerOptions *options)
{
  AgentCaller *caller = g_new0 (AgentCaller, 1);

  (void) ne_sock_init ();
  caller->once_read_ms = options->once_read_ms;
  caller->connect_ms = options->connect_ms;
  caller->session = ne_session_create ("http", options->host, options->port);
  ne_set_connect_timeout (caller->session,
                          round_up_to_seconds (options->connect_ms * CLK_US_PER_MS));
  ne_set_notifier (caller->session, on_session_status, caller);
  return caller;
}

void
agent_caller_free (AgentCaller *caller)
{
  if (caller == NULL)
    return;
  ne_session_destroy (caller->session);
  g_free (caller);
}

static void
fail (AgentCall *call, ErrKind kind, ErrRan ran, const char *message)
{
  call->has_answer = FALSE;
  call->kind = kind;
  call->ran = ran;
  g_free (call->message);
  call->message = g_strdup (message);
}

static ne_request *
make_request (const AgentCaller *caller, const AgentCall *call)
{
  ne_request *request = ne_request_create (caller->session, "POST", call->path);
  char id[IDS_TEXT_SIZE];

  ne_add_request_header (request, "Acacia-Request-Id", ids_print (call->id, id));
  ne_print_request_header (request, "Acacia-Attempt", "%u", call->attempt);
  ne_add_request_header (request, "Acacia-Tenant", call->tenant);
  if (call->once)
    ne_add_request_header (request, "Idempotency-Key", call->key);
  if (*call->content_type != '\0')
    ne_add_request_header (request, "Content-Type", call->content_type);
  ne_set_request_body_buffer (request, (const char *) call->body->data, call->body->len);
  return request;
}

/* A body that ends with the connection may be truncated without detection. */
static gboolean
has_framed_body (ne_request *request)
{
  const char *coding = ne_get_response_header (request, "Transfer-Encoding");
  int code = ne_get_status (request)->code;

  return ne_get_response_header (request, "Content-Length") != NULL || coding != NULL || code == 204
         || code == 304;
}

/* Reads the body; FALSE, with the failure in @p call, unless it is complete. */
static gboolean
read_answer (const AgentCaller *caller, ne_request *request, AgentCall *call, int64_t end_us)
{
  char chunk[READ_CHUNK_BYTES];
  ssize_t got;

  g_byte_array_set_size (call->answer, 0);
  while ((got = ne_read_response_block (request, chunk, sizeof (chunk))) > 0)
    {
      if (call->answer->len + (size_t) got > AGENT_ANSWER_MAX)
        {
          fail (call, ERR_TOO_LARGE, ERR_RAN_YES, "endpoint: answer exceeds the maximum size");
          return FALSE;
        }
      if (clk_now_us () > end_us)
        {
          fail (call, ERR_TIMEOUT, ERR_RAN_DOUBT, "endpoint: answer incomplete at the deadline");
          return FALSE;
        }
      g_byte_array_append (call->answer, (const guint8 *) chunk, (guint) got);
    }
  if (got == 0)
    return TRUE;
  fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, ne_get_error (caller->session));
  return FALSE;
}

static void
classify_answer (const AgentCaller *caller, ne_request *request, AgentCall *call)
{
  uint32_t status = (uint32_t) ne_get_status (request)->code;
  const char *type = ne_get_response_header (request, "Content-Type");
  const char *ran = ne_get_response_header (request, HEADER_RAN);

  call->status = status;
  call->answer_type = g_strdup (type != NULL ? type : "");
  gboolean is_refusal = status == STATUS_UNAVAILABLE && g_strcmp0 (ran, "no") == 0;
  if (is_refusal && caller->was_repeated)
    fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, "endpoint: busy, but the request was sent before");
  else if (is_refusal)
    fail (call, ERR_ALL_BUSY, ERR_RAN_NO, "endpoint: busy, request refused");
  else if (status >= STATUS_SERVER_ERROR)
    fail (call, ERR_ENDPOINT_FAILED, ERR_RAN_YES, "endpoint: server error");
  else
    call->has_answer = TRUE;
}

static void
fail_exchange (const AgentCaller *caller, int result, AgentCall *call)
{
  const char *message = ne_get_error (caller->session);

  if (!caller->was_connected)
    fail (call, ERR_REFUSED, ERR_RAN_NO, message);
  else if (result == NE_TIMEOUT)
    fail (call, ERR_TIMEOUT, ERR_RAN_DOUBT, message);
  else
    fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, message);
}

/* Sends the request and reads the complete answer; FALSE with the failure in @p call. */
static gboolean
exchange (AgentCaller *caller, ne_request *request, AgentCall *call, int64_t end_us)
{
  int result = NE_RETRY;

  while (result == NE_RETRY)
    {
      result = ne_begin_request (request);
      if (result != NE_OK)
        break;
      if (!has_framed_body (request))
        {
          fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, "endpoint: answer has no length");
          return FALSE;
        }
      if (!read_answer (caller, request, call, end_us))
        return FALSE;
      result = ne_end_request (request);
      /* neon requests a retry after an answer only for authentication, which is not configured. */
      g_assert (result != NE_RETRY || !call->once);
    }
  if (result == NE_OK)
    return TRUE;
  fail_exchange (caller, result, call);
  return FALSE;
}

void
agent_caller_run (AgentCaller *caller, AgentCall *call)
{
  int64_t start_us = clk_now_us ();
  int64_t left_us = call->deadline_us - start_us;

  if (left_us <= 0)
    {
      fail (call, ERR_DEADLINE, ERR_RAN_NO, "deadline passed before the start");
      return;
    }
  if (call->once)
    left_us = MAX (left_us, caller->once_read_ms * CLK_US_PER_MS);
  /* The server may close a kept connection, and neon then sends the request again. */
  if (call->once)
    ne_close_connection (caller->session);
  ne_set_session_flag (caller->session, NE_SESSFLAG_PERSIST, call->once ? 0 : 1);
  ne_set_read_timeout (caller->session, round_up_to_seconds (left_us));
  caller->was_connected = caller->is_connected;
  caller->was_repeated = FALSE;
  call->answer = g_byte_array_new ();
  ne_request *request = make_request (caller, call);
  gboolean ok = exchange (caller, request, call, start_us + left_us);
  if (ok)
    classify_answer (caller, request, call);
  ne_request_destroy (request);
  if (!ok)
    ne_close_connection (caller->session);
  call->took_us = clk_now_us () - start_us;
}

gboolean
agent_caller_check (AgentCaller *caller)
{
  ne_request *request = ne_request_create (caller->session, "GET", "/healthz");
  gboolean healthy;

  ne_set_read_timeout (caller->session, round_up_to_seconds (caller->connect_ms * CLK_US_PER_MS));
  healthy = ne_request_dispatch (request) == NE_OK && ne_get_status (request)->klass == 2;
  ne_request_destroy (request);
  if (!healthy)
    ne_close_connection (caller->session);
  return healthy;
}
