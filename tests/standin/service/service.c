#include "standin/service/service.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#include "common/clk.h"
#include "common/ids.h"

#define BODY_BYTES_MAX (8 * 1024 * 1024)
/** Connections beyond the request limit, for health checks and queries of the tests. */
#define CONNECTIONS_SPARE 64
#define CONNECTION_TIMEOUT_S 120

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,
  FAULT_SLOW,
  FAULT_LOSE_ANSWER,
  FAULT_TRUNCATE,
  FAULT_GARBAGE,
  FAULT_FAIL,
  FAULT_STALL,
} FaultMode;

static const char *const fault_names[]
    = { "none", "down", "slow", "lose_answer", "truncate", "garbage", "fail", "stall" };

/** Number of runs of one tenant's idempotency key. */
typedef struct
{
  char *tenant;
  char *key;
  int64_t runs;
} Runs;

struct Service
{
  ServiceOptions options;
  char *name;
  struct MHD_Daemon *daemon;
  pthread_mutex_t mutex; /**< guards all below */
  pthread_cond_t slot_free;
  GHashTable *runs; /**< "length/tenant/key" -> Runs */
  uint32_t running;
  uint32_t held;
  int64_t total;
  int64_t max_running;
  int64_t refused;
  FaultMode fault;
  int64_t fault_count;  /**< remaining calls; 0: unlimited */
  int64_t fault_end_us; /**< 0: unlimited */
  int64_t fault_delay_ms;
};

/** A request whose body is being received. */
typedef struct
{
  GByteArray *body;
  gboolean too_large;
} Upload;

static void
runs_free (void *data)
{
  Runs *runs = data;

  g_free (runs->tenant);
  g_free (runs->key);
  g_free (runs);
}

static Runs *
find_runs (Service *service, const char *tenant, const char *key)
{
  char *name = g_strdup_printf ("%zu/%s/%s", strlen (tenant), tenant, key);
  Runs *runs = g_hash_table_lookup (service->runs, name);

  if (runs != NULL)
    {
      g_free (name);
      return runs;
    }
  runs = g_new0 (Runs, 1);
  runs->tenant = g_strdup (tenant);
  runs->key = g_strdup (key);
  g_hash_table_insert (service->runs, name, runs);
  return runs;
}

/* Returns the fault that applies to this call and decrements its count. */
static FaultMode
consume_fault (Service *service, int64_t *delay_ms)
{
  FaultMode mode;

  pthread_mutex_lock (&service->mutex);
  if (service->fault_end_us != 0 && clk_now_us () >= service->fault_end_us)
    service->fault = FAULT_NONE;
  mode = service->fault;
  *delay_ms = service->fault_delay_ms;
  if (mode != FAULT_NONE && service->fault_count > 0 && --service->fault_count == 0)
    service->fault = FAULT_NONE;
  pthread_mutex_unlock (&service->mutex);
  return mode;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned int status, const char *ran, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  json_decref (object);
  (void) MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
  if (ran != NULL)
    (void) MHD_add_response_header (response, "Acacia-Ran", ran);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_error (struct MHD_Connection *connection,
             unsigned int status,
             const char *ran,
             const char *text)
{
  return reply (connection, status, ran, json_pack ("{s:s}", "error", text));
}

static const char *
header (struct MHD_Connection *connection, const char *name)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);

  return value != NULL ? value : "";
}

static const char *
argument (struct MHD_Connection *connection, const char *name)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : "";
}

/* Writes directly to the socket in place of an HTTP answer, then closes the connection. */
static enum MHD_Result
send_raw (struct MHD_Connection *connection, const char *text)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  if (info != NULL)
    (void) send (info->connect_fd, text, strlen (text), MSG_NOSIGNAL);
  return MHD_NO;
}

/* Waits for a slot and runs; returns the key's run count, or 0 when the service is full. */
static int64_t
run_request (Service *service, const char *tenant, const char *key, int64_t extra_ms)
{
  int64_t count;

  pthread_mutex_lock (&service->mutex);
  if (service->held >= service->options.connections)
    {
      service->refused++;
      pthread_mutex_unlock (&service->mutex);
      return 0;
    }
  service->held++;
  while (service->running >= service->options.slots)
    pthread_cond_wait (&service->slot_free, &service->mutex);
  service->running++;
  service->max_running = MAX (service->max_running, service->running);
  service->total++;
  count = ++find_runs (service, tenant, key)->runs;
  pthread_mutex_unlock (&service->mutex);
  g_usleep ((gulong) ((service->options.service_ms + extra_ms) * CLK_US_PER_MS));
  pthread_mutex_lock (&service->mutex);
  service->running--;
  service->held--;
  pthread_cond_signal (&service->slot_free);
  pthread_mutex_unlock (&service->mutex);
  return count;
}

static json_t *
make_answer (const Service *service,
             struct MHD_Connection *connection,
             const char *path,
             const GByteArray *body,
             int64_t run)
{
  char digest[32];

  (void) g_snprintf (digest, sizeof (digest), "%016" G_GINT64_MODIFIER "x",
                     ids_hash (body->data, body->len));
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "service", service->name, "path", path, "request",
      header (connection, "Acacia-Request-Id"), "attempt", header (connection, "Acacia-Attempt"),
      "tenant", header (connection, "Acacia-Tenant"), "key", header (connection, "Idempotency-Key"),
      "digest", digest, "length", (json_int_t) body->len, "run", (json_int_t) run);
}

static enum MHD_Result
serve_post (Service *service,
            struct MHD_Connection *connection,
            const char *path,
            const GByteArray *body)
{
  const char *tenant = header (connection, "Acacia-Tenant");
  const char *key = header (connection, "Idempotency-Key");
  int64_t delay_ms;
  FaultMode fault = consume_fault (service, &delay_ms);

  if (fault == FAULT_DOWN)
    return reply_error (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "no", "down");
  int64_t run = run_request (service, tenant, key, fault == FAULT_SLOW ? delay_ms : 0);
  if (run == 0)
    return reply_error (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "no", "busy");
  if (fault == FAULT_FAIL)
    return reply_error (connection, MHD_HTTP_INTERNAL_SERVER_ERROR, NULL, "failed");
  if (fault == FAULT_STALL)
    g_usleep ((gulong) (delay_ms * CLK_US_PER_MS));
  if (fault == FAULT_LOSE_ANSWER || fault == FAULT_STALL)
    return MHD_NO;
  if (fault == FAULT_GARBAGE)
    return send_raw (connection, "\x01\x02 this is no answer\r\n\r\n");
  if (fault == FAULT_TRUNCATE)
    return send_raw (connection, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"half\":");
  json_t *answer = make_answer (service, connection, path, body, run);
  if (answer == NULL)
    return reply_error (connection, MHD_HTTP_BAD_REQUEST, NULL, "headers are not UTF-8");
  return reply (connection, MHD_HTTP_OK, NULL, answer);
}

static int64_t
integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static enum MHD_Result
set_fault (Service *service, struct MHD_Connection *connection, const GByteArray *body)
{
  json_t *object = json_loadb ((const char *) body->data, body->len, 0, NULL);
  const char *mode = json_string_value (json_object_get (object, "mode"));
  gboolean found = FALSE;

  for (size_t i = 0; mode != NULL && i < G_N_ELEMENTS (fault_names); i++)
    {
      if (strcmp (mode, fault_names[i]) != 0)
        continue;
      found = TRUE;
      pthread_mutex_lock (&service->mutex);
      service->fault = (FaultMode) i;
      service->fault_count = integer (object, "count");
      service->fault_delay_ms = integer (object, "delay_ms");
      service->fault_end_us = integer (object, "for_ms") > 0
                                  ? clk_now_us () + integer (object, "for_ms") * CLK_US_PER_MS
                                  : 0;
      pthread_mutex_unlock (&service->mutex);
    }
  json_decref (object);
  if (found)
    return reply (connection, MHD_HTTP_OK, NULL, json_object ());
  return reply_error (connection, MHD_HTTP_BAD_REQUEST, NULL, "no such mode");
}

static enum MHD_Result
serve_runs (Service *service, struct MHD_Connection *connection)
{
  GHashTableIter iter;
  gpointer value;
  int64_t max = 0;
  int64_t keys = 0;
  int64_t total = 0;
  int64_t key_runs;

  pthread_mutex_lock (&service->mutex);
  key_runs
      = find_runs (service, argument (connection, "tenant"), argument (connection, "key"))->runs;
  g_hash_table_iter_init (&iter, service->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Runs *runs = value;
      if (*runs->key == '\0')
        continue;
      keys += runs->runs > 0 ? 1 : 0;
      total += runs->runs;
      max = MAX (max, runs->runs);
    }
  pthread_mutex_unlock (&service->mutex);
  return reply (connection, MHD_HTTP_OK, NULL,
                json_pack ("{s:I,s:I,s:I,s:I}", "runs", (json_int_t) key_runs, "keys",
                           (json_int_t) keys, "total", (json_int_t) total, "max",
                           (json_int_t) max));
}

static enum MHD_Result
serve_stats (Service *service, struct MHD_Connection *connection)
{
  json_t *object;

  pthread_mutex_lock (&service->mutex);
  object = json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I}", "service", service->name, "total",
                      (json_int_t) service->total, "running", (json_int_t) service->running, "held",
                      (json_int_t) service->held, "max_running", (json_int_t) service->max_running,
                      "refused", (json_int_t) service->refused);
  pthread_mutex_unlock (&service->mutex);
  return reply (connection, MHD_HTTP_OK, NULL, object);
}

static enum MHD_Result
serve_health (Service *service, struct MHD_Connection *connection)
{
  gboolean down;

  pthread_mutex_lock (&service->mutex);
  down = service->fault == FAULT_DOWN
         && (service->fault_end_us == 0 || clk_now_us () < service->fault_end_us);
  pthread_mutex_unlock (&service->mutex);
  if (down)
    return reply_error (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "no", "down");
  return reply (connection, MHD_HTTP_OK, NULL, json_pack ("{s:b}", "healthy", 1));
}

static enum MHD_Result
serve_get (Service *service, struct MHD_Connection *connection, const char *path)
{
  if (strcmp (path, "/healthz") == 0)
    return serve_health (service, connection);
  if (strcmp (path, "/runs") == 0)
    return serve_runs (service, connection);
  if (strcmp (path, "/stats") == 0)
    return serve_stats (service, connection);
  return reply_error (connection, MHD_HTTP_NOT_FOUND, NULL, "not found");
}

static void
add_body (Upload *upload, const char *data, size_t size)
{
  if (upload->body->len + size > BODY_BYTES_MAX)
    upload->too_large = TRUE;
  else
    g_byte_array_append (upload->body, (const guint8 *) data, (guint) size);
}

static enum MHD_Result
serve (void *ctx,
       struct MHD_Connection *connection,
       const char *path,
       const char *method,
       const char *version,
       const char *data,
       size_t *size,
       void **state)
{
  Service *service = ctx;
  Upload *upload = *state;

  (void) version;
  if (upload == NULL)
    {
      upload = g_new0 (Upload, 1);
      upload->body = g_byte_array_new ();
      *state = upload;
      return MHD_YES;
    }
  if (*size > 0)
    {
      add_body (upload, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (upload->too_large)
    return reply_error (connection, MHD_HTTP_CONTENT_TOO_LARGE, "no", "too large");
  if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    return serve_get (service, connection, path);
  if (strcmp (method, MHD_HTTP_METHOD_POST) != 0)
    return reply_error (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "no", "only GET and POST");
  if (strcmp (path, "/fault") == 0)
    return set_fault (service, connection, upload->body);
  return serve_post (service, connection, path, upload->body);
}

static void
completed (void *ctx,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  Upload *upload = *state;

  (void) ctx;
  (void) connection;
  (void) code;
  if (upload == NULL)
    return;
  g_byte_array_unref (upload->body);
  g_free (upload);
  *state = NULL;
}

Service *
service_new (const ServiceOptions *options)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  Service *service = g_new0 (Service, 1);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  service->options = *options;
  service->name = g_strdup (options->name);
  service->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, runs_free);
  pthread_mutex_init (&service->mutex, NULL);
  pthread_cond_init (&service->slot_free, NULL);
  service->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, serve,
      service, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int) (options->connections + CONNECTIONS_SPARE),
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int) CONNECTION_TIMEOUT_S,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned int) 1, MHD_OPTION_END);
  if (service->daemon != NULL)
    return service;
  service_free (service);
  return NULL;
}

void
service_free (Service *service)
{
  if (service == NULL)
    return;
  if (service->daemon != NULL)
    MHD_stop_daemon (service->daemon);
  g_hash_table_unref (service->runs);
  pthread_cond_destroy (&service->slot_free);
  pthread_mutex_destroy (&service->mutex);
  g_free (service->name);
  g_free (service);
}
