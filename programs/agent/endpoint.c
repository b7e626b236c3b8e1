#include "endpoint.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <string.h>

#include "common/clk.h"

#define READ_CHUNK_BYTES 16384
#define STATUS_UNAVAILABLE 503
#define STATUS_SERVER_ERROR 500
/** Header with which the endpoint says that it refused before it ran anything. */
#define HEADER_RAN "Acacia-Ran"

struct Endpoint
{
  EndpointOptions options;
  GAsyncQueue *calls; /**< EndpointCall, or this object itself to end a thread */
  GPtrArray *threads;
  GThread *health_thread;
  GMutex mutex;
  GCond stopping;
  gboolean is_stopping; /**< guarded by mutex */
};

/** A thread's session and how far its connection came within the call. */
typedef struct
{
  const Endpoint *endpoint;
  ne_session *session;
  gboolean is_connected;
  gboolean was_connected;
} Caller;

void
endpoint_call_free (EndpointCall *call)
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
note_status (void *ctx, ne_session_status status, const ne_session_status_info *info)
{
  Caller *caller = ctx;

  (void) info;
  if (status == ne_status_connected)
    caller->is_connected = caller->was_connected = TRUE;
  else if (status == ne_status_disconnected)
    caller->is_connected = FALSE;
}

static int
seconds_up (int64_t micros)
{
  int64_t seconds = (micros + CLK_US_PER_S - 1) / CLK_US_PER_S;

  return (int) CLAMP (seconds, 1, G_MAXINT);
}

static void
open_caller (Caller *caller, const Endpoint *endpoint)
{
  *caller = (Caller){ .endpoint = endpoint };
  caller->session = ne_session_create ("http", endpoint->options.host, endpoint->options.port);
  ne_set_connect_timeout (caller->session,
                          seconds_up (endpoint->options.connect_ms * CLK_US_PER_MS));
  ne_set_notifier (caller->session, note_status, caller);
}

static void
fail (EndpointCall *call, ErrKind kind, ErrRan ran, const char *message)
{
  call->has_answer = FALSE;
  call->kind = kind;
  call->ran = ran;
  g_free (call->message);
  call->message = g_strdup (message);
}

static ne_request *
make_request (const Caller *caller, const EndpointCall *call)
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

/* A body whose end only the closed connection shows may have been cut short unseen. */
static gboolean
has_framed_body (ne_request *request)
{
  const char *coding = ne_get_response_header (request, "Transfer-Encoding");
  int code = ne_get_status (request)->code;

  return ne_get_response_header (request, "Content-Length") != NULL || coding != NULL || code == 204
         || code == 304;
}

/* Reads the body; FALSE, with the failure in @p call, unless it is whole. */
static gboolean
read_answer (const Caller *caller, ne_request *request, EndpointCall *call, int64_t end_us)
{
  char chunk[READ_CHUNK_BYTES];
  ssize_t got;

  g_byte_array_set_size (call->answer, 0);
  while ((got = ne_read_response_block (request, chunk, sizeof (chunk))) > 0)
    {
      if (call->answer->len + (size_t) got > ENDPOINT_ANSWER_MAX)
        {
          fail (call, ERR_TOO_LARGE, ERR_RAN_YES, "endpoint: answer over the bound");
          return FALSE;
        }
      if (clk_now_us () > end_us)
        {
          fail (call, ERR_TIMEOUT, ERR_RAN_DOUBT, "endpoint: answer not whole in time");
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
take_answer (ne_request *request, EndpointCall *call)
{
  uint32_t status = (uint32_t) ne_get_status (request)->code;
  const char *type = ne_get_response_header (request, "Content-Type");
  const char *ran = ne_get_response_header (request, HEADER_RAN);

  call->status = status;
  call->answer_type = g_strdup (type != NULL ? type : "");
  if (status == STATUS_UNAVAILABLE && g_strcmp0 (ran, "no") == 0)
    fail (call, ERR_ALL_BUSY, ERR_RAN_NO, "endpoint: refused as busy");
  else if (status >= STATUS_SERVER_ERROR)
    fail (call, ERR_ENDPOINT_FAILED, ERR_RAN_YES, "endpoint: failed");
  else
    call->has_answer = TRUE;
}

static void
fail_exchange (const Caller *caller, int result, EndpointCall *call)
{
  const char *message = ne_get_error (caller->session);

  if (!caller->was_connected)
    fail (call, ERR_REFUSED, ERR_RAN_NO, message);
  else if (result == NE_TIMEOUT)
    fail (call, ERR_TIMEOUT, ERR_RAN_DOUBT, message);
  else
    fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, message);
}

/* Sends the request and reads its whole answer; FALSE with the failure in @p call. */
static gboolean
exchange (Caller *caller, ne_request *request, EndpointCall *call, int64_t end_us)
{
  int result = NE_RETRY;

  while (result == NE_RETRY)
    {
      result = ne_begin_request (request);
      if (result != NE_OK)
        break;
      if (!has_framed_body (request))
        {
          fail (call, ERR_PROTOCOL, ERR_RAN_DOUBT, "endpoint: answer without a length");
          return FALSE;
        }
      if (!read_answer (caller, request, call, end_us))
        return FALSE;
      result = ne_end_request (request);
      /* Only an unanswered login makes neon repeat what was answered; none is set up. */
      g_assert (result != NE_RETRY || !call->once);
    }
  if (result == NE_OK)
    return TRUE;
  fail_exchange (caller, result, call);
  return FALSE;
}

static void
run_call (Caller *caller, EndpointCall *call)
{
  int64_t start_us = clk_now_us ();
  int64_t left_us = call->deadline_us - start_us;

  if (left_us <= 0)
    {
      fail (call, ERR_DEADLINE, ERR_RAN_NO, "deadline passed before the start");
      return;
    }
  if (call->once)
    left_us = MAX (left_us, caller->endpoint->options.once_read_ms * CLK_US_PER_MS);
  /* A kept connection may be closed at the other end, and neon then sends again. */
  if (call->once)
    ne_close_connection (caller->session);
  ne_set_session_flag (caller->session, NE_SESSFLAG_PERSIST, call->once ? 0 : 1);
  ne_set_read_timeout (caller->session, seconds_up (left_us));
  caller->was_connected = caller->is_connected;
  call->answer = g_byte_array_new ();
  ne_request *request = make_request (caller, call);
  gboolean ok = exchange (caller, request, call, start_us + left_us);
  if (ok)
    take_answer (request, call);
  ne_request_destroy (request);
  if (!ok)
    ne_close_connection (caller->session);
  call->took_us = clk_now_us () - start_us;
}

static void *
run_calls (void *data)
{
  Endpoint *endpoint = data;
  Caller caller;
  void *item;

  open_caller (&caller, endpoint);
  while ((item = g_async_queue_pop (endpoint->calls)) != endpoint)
    {
      EndpointCall *call = item;
      run_call (&caller, call);
      endpoint->options.on_done (endpoint->options.ctx, call);
    }
  ne_session_destroy (caller.session);
  return NULL;
}

static gboolean
check_health (Caller *caller)
{
  ne_request *request = ne_request_create (caller->session, "GET", "/healthz");
  gboolean healthy;

  ne_set_read_timeout (caller->session,
                       seconds_up (caller->endpoint->options.connect_ms * CLK_US_PER_MS));
  healthy = ne_request_dispatch (request) == NE_OK && ne_get_status (request)->klass == 2;
  ne_request_destroy (request);
  if (!healthy)
    ne_close_connection (caller->session);
  return healthy;
}

static gboolean
wait_health (Endpoint *endpoint)
{
  int64_t end_us = g_get_monotonic_time () + endpoint->options.health_ms * CLK_US_PER_MS;
  gboolean go_on;

  g_mutex_lock (&endpoint->mutex);
  while (!endpoint->is_stopping
         && g_cond_wait_until (&endpoint->stopping, &endpoint->mutex, end_us))
    continue;
  go_on = !endpoint->is_stopping;
  g_mutex_unlock (&endpoint->mutex);
  return go_on;
}

static void *
run_health (void *data)
{
  Endpoint *endpoint = data;
  Caller caller;

  open_caller (&caller, endpoint);
  do
    endpoint->options.on_health (endpoint->options.ctx, check_health (&caller));
  while (wait_health (endpoint));
  ne_session_destroy (caller.session);
  return NULL;
}

Endpoint *
endpoint_new (const EndpointOptions *options)
{
  Endpoint *endpoint = g_new0 (Endpoint, 1);

  (void) ne_sock_init ();
  endpoint->options = *options;
  endpoint->calls = g_async_queue_new ();
  endpoint->threads = g_ptr_array_new ();
  g_mutex_init (&endpoint->mutex);
  g_cond_init (&endpoint->stopping);
  for (uint32_t i = 0; i < options->threads; i++)
    g_ptr_array_add (endpoint->threads, g_thread_new ("endpoint", run_calls, endpoint));
  endpoint->health_thread = g_thread_new ("health", run_health, endpoint);
  return endpoint;
}

void
endpoint_free (Endpoint *endpoint)
{
  if (endpoint == NULL)
    return;
  g_mutex_lock (&endpoint->mutex);
  endpoint->is_stopping = TRUE;
  g_cond_broadcast (&endpoint->stopping);
  g_mutex_unlock (&endpoint->mutex);
  for (guint i = 0; i < endpoint->threads->len; i++)
    g_async_queue_push (endpoint->calls, endpoint);
  for (guint i = 0; i < endpoint->threads->len; i++)
    (void) g_thread_join (g_ptr_array_index (endpoint->threads, i));
  (void) g_thread_join (endpoint->health_thread);
  g_ptr_array_unref (endpoint->threads);
  g_async_queue_unref (endpoint->calls);
  g_cond_clear (&endpoint->stopping);
  g_mutex_clear (&endpoint->mutex);
  g_free (endpoint);
}

void
endpoint_push (Endpoint *endpoint, EndpointCall *call)
{
  g_async_queue_push (endpoint->calls, call);
}
