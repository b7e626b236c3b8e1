#include "support/fake_http.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>

#include "common/clk.h"

/** Calls with larger bodies are handled as if they had none. */
#define BODY_BYTES_MAX ((size_t) 16 * 1024 * 1024)

struct FakeHttp
{
  struct MHD_Daemon *daemon;
  uint16_t port;
  FakeHandler handler;
  void *ctx;
  pthread_mutex_t lock;
  FakeFault fault;
  int64_t fault_end_us; /**< 0: no end */
  uint64_t calls;
};

/* A call that is being received; libmicrohttpd stores the pointer. */
typedef struct
{
  GByteArray *body;
  gboolean is_too_large;
} FakeCall;

typedef struct
{
  char *text;
  size_t size;
} TruncatedBody;

static const char *const mode_names[]
    = { "none", "down", "slow", "lose_answer", "truncate", "garbage", "refuse", "duplicate" };

int64_t
fake_integer (const json_t *object, const char *key, int64_t fallback)
{
  const json_t *member = json_object_get (object, key);

  return json_is_integer (member) ? json_integer_value (member) : fallback;
}

int64_t
fake_query (const FakeRequest *request, const char *key, int64_t fallback)
{
  const char *text = g_hash_table_lookup (request->query, key);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

uint32_t
fake_fail (json_t **answer, uint32_t status, const char *reason)
{
  *answer = json_pack ("{s:s}", "error", reason);
  return status;
}

void
fake_http_fault (FakeHttp *http, const FakeFault *fault)
{
  pthread_mutex_lock (&http->lock);
  http->fault = *fault;
  http->fault_end_us = fault->for_ms > 0 ? clk_now_us () + fault->for_ms * CLK_US_PER_MS : 0;
  pthread_mutex_unlock (&http->lock);
}

uint64_t
fake_http_calls (FakeHttp *http)
{
  pthread_mutex_lock (&http->lock);
  uint64_t calls = http->calls;
  pthread_mutex_unlock (&http->lock);
  return calls;
}

/* Returns the fault that applies to a call and decrements its count. */
static FakeFault
consume_fault (FakeHttp *http)
{
  pthread_mutex_lock (&http->lock);
  http->calls++;
  if (http->fault_end_us != 0 && clk_now_us () >= http->fault_end_us)
    http->fault = (FakeFault){ .mode = FAKE_FAULT_NONE };
  FakeFault fault = http->fault;
  if (http->fault.count > 0 && --http->fault.count == 0)
    http->fault = (FakeFault){ .mode = FAKE_FAULT_NONE };
  pthread_mutex_unlock (&http->lock);
  return fault;
}

static uint32_t
set_fault (FakeHttp *http, const FakeRequest *request, json_t **answer)
{
  const char *name = json_string_value (json_object_get (request->body, "mode"));
  FakeFault fault = { .count = fake_integer (request->body, "count", 0),
                      .for_ms = fake_integer (request->body, "for_ms", 0),
                      .delay_ms = fake_integer (request->body, "delay_ms", 0) };

  for (size_t i = 0; i < G_N_ELEMENTS (mode_names); i++)
    {
      if (g_strcmp0 (name, mode_names[i]) == 0)
        {
          fault.mode = (FakeFaultMode) i;
          fake_http_fault (http, &fault);
          *answer = json_object ();
          return MHD_HTTP_OK;
        }
    }
  return fake_fail (answer, MHD_HTTP_BAD_REQUEST, "bad_request");
}

static ssize_t
truncated_read (void *ctx, uint64_t position, char *out, size_t size)
{
  const TruncatedBody *truncated = ctx;
  size_t end = truncated->size / 2;

  if (position >= end)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t n = MIN (size, end - (size_t) position);
  memcpy (out, truncated->text + position, n);
  return (ssize_t) n;
}

static void
truncated_free (void *ctx)
{
  TruncatedBody *truncated = ctx;

  free (truncated->text);
  g_free (truncated);
}

static struct MHD_Response *
make_response (char *text, FakeFaultMode mode)
{
  if (mode == FAKE_FAULT_GARBAGE)
    {
      static char garbage[] = "\xff\xfe{\"records\":[[[";
      free (text);
      return MHD_create_response_from_buffer (sizeof garbage - 1, garbage, MHD_RESPMEM_PERSISTENT);
    }
  size_t size = strlen (text);
  if (mode != FAKE_FAULT_TRUNCATE)
    return MHD_create_response_from_buffer (size, text, MHD_RESPMEM_MUST_FREE);
  TruncatedBody *truncated = g_new0 (TruncatedBody, 1);
  truncated->text = text;
  truncated->size = size;
  return MHD_create_response_from_callback (size, size, truncated_read, truncated, truncated_free);
}

static enum MHD_Result
answer_call (FakeHttp *http, struct MHD_Connection *connection, const FakeRequest *request)
{
  gboolean is_fault = strcmp (request->path, "/fault") == 0;
  FakeFault fault = { .mode = FAKE_FAULT_NONE };
  json_t *answer = NULL;
  uint32_t status;

  if (!is_fault)
    fault = consume_fault (http);
  if (fault.mode == FAKE_FAULT_REFUSE)
    return MHD_NO;
  if (fault.mode == FAKE_FAULT_SLOW)
    g_usleep ((gulong) (fault.delay_ms * CLK_US_PER_MS));
  if (is_fault)
    status = set_fault (http, request, &answer);
  else if (fault.mode == FAKE_FAULT_DOWN)
    status = fake_fail (&answer, MHD_HTTP_SERVICE_UNAVAILABLE, "down");
  else
    status = http->handler (http->ctx, request, &answer);
  if (fault.mode == FAKE_FAULT_DUPLICATE)
    {
      json_decref (answer);
      status = http->handler (http->ctx, request, &answer);
    }
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  if (fault.mode == FAKE_FAULT_LOSE_ANSWER)
    {
      free (text);
      return MHD_NO;
    }
  struct MHD_Response *response = make_response (text, fault.mode);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
add_argument (void *ctx, enum MHD_ValueKind kind, const char *key, const char *value)
{
  (void) kind;
  g_hash_table_insert (ctx, g_strdup (key), g_strdup (value));
  return MHD_YES;
}

static enum MHD_Result
handle_call (FakeHttp *http,
             struct MHD_Connection *connection,
             const char *url,
             const char *method,
             const FakeCall *call)
{
  g_autoptr (GHashTable) query = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_auto (GStrv) parts = g_strsplit (*url == '/' ? url + 1 : url, "/", -1);
  json_t *body = NULL;

  MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument, query);
  if (call->body->len > 0 && !call->is_too_large)
    body = json_loadb ((const char *) call->body->data, call->body->len, 0, NULL);
  const FakeRequest request = { method, url, parts, g_strv_length (parts), body, query };
  enum MHD_Result result = answer_call (http, connection, &request);
  json_decref (body);
  return result;
}

static enum MHD_Result
on_call (void *ctx,
         struct MHD_Connection *connection,
         const char *url,
         const char *method,
         const char *version,
         const char *data,
         size_t *size,
         void **slot)
{
  FakeCall *call = *slot;

  (void) version;
  if (call == NULL)
    {
      call = g_new0 (FakeCall, 1);
      call->body = g_byte_array_new ();
      *slot = call;
      return MHD_YES;
    }
  if (*size == 0)
    return handle_call (ctx, connection, url, method, call);
  if (call->body->len + *size > BODY_BYTES_MAX)
    call->is_too_large = TRUE;
  else
    g_byte_array_append (call->body, (const guint8 *) data, (guint) *size);
  *size = 0;
  return MHD_YES;
}

static void
on_completed (void *ctx,
              struct MHD_Connection *connection,
              void **slot,
              enum MHD_RequestTerminationCode code)
{
  FakeCall *call = *slot;

  (void) ctx;
  (void) connection;
  (void) code;
  if (call == NULL)
    return;
  g_byte_array_unref (call->body);
  g_free (call);
  *slot = NULL;
}

FakeHttp *
fake_http_new (uint16_t port, FakeHandler handler, void *ctx)
{
  FakeHttp *http = g_new0 (FakeHttp, 1);
  const struct sockaddr_in address = { .sin_family = AF_INET,
                                       .sin_port = htons (port),
                                       .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  http->handler = handler;
  http->ctx = ctx;
  pthread_mutex_init (&http->lock, NULL);
  http->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, port, NULL,
      NULL, on_call, http, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (http->daemon == NULL)
    {
      pthread_mutex_destroy (&http->lock);
      g_free (http);
      return NULL;
    }
  http->port = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return http;
}

void
fake_http_free (FakeHttp *http)
{
  if (http == NULL)
    return;
  MHD_stop_daemon (http->daemon);
  pthread_mutex_destroy (&http->lock);
  g_free (http);
}

uint16_t
fake_http_port (const FakeHttp *http)
{
  return http->port;
}
