/* The HTTP client against servers that are slow, stop answering or do not listen. */
#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/clk.h"
#include "net/net_client.h"
#include "net/net_server.h"
#include "support/loopback.h"

#define PORT 28722
#define TIMEOUT_MS 200
#define CHUNK_MS 80
#define CHUNKS 8
#define CHUNK "0123456789"

/* Server that answers one call with n_chunks chunks, one at a time, and then sends nothing more. */
typedef struct
{
  int listener;
  uint32_t n_chunks;
  pthread_t thread;
} SlowServer;

static void *
serve (void *data)
{
  const SlowServer *server = data;
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", CHUNKS * strlen (CHUNK));
  char request[1024];
  int fd = accept (server->listener, NULL, NULL);

  (void) recv (fd, request, sizeof request, 0);
  (void) send (fd, head, strlen (head), MSG_NOSIGNAL);
  for (uint32_t i = 0; i < server->n_chunks; i++)
    {
      (void) usleep (CHUNK_MS * 1000);
      (void) send (fd, CHUNK, strlen (CHUNK), MSG_NOSIGNAL);
    }
  /* Waits until the client closes the connection. */
  (void) recv (fd, request, sizeof request, 0);
  (void) close (fd);
  return NULL;
}

static void
server_start (SlowServer *server, uint32_t n_chunks)
{
  const int yes = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (PORT) };

  (void) inet_pton (AF_INET, loopback_ip (), &address.sin_addr);
  server->n_chunks = n_chunks;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  (void) setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  assert_int_equal (bind (server->listener, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (server->listener, 1), 0);
  assert_int_equal (pthread_create (&server->thread, NULL, serve, server), 0);
}

static void
server_stop (SlowServer *server)
{
  (void) pthread_join (server->thread, NULL);
  (void) close (server->listener);
}

typedef struct
{
  gboolean is_done;
  uint32_t status;
  size_t size;
  gboolean may_have_run;
} Result;

static void
on_answer (void *ctx, const NetAnswer *answer)
{
  Result *result = ctx;

  result->is_done = TRUE;
  result->status = answer->status;
  result->size = answer->size;
  result->may_have_run = answer->may_have_run;
}

/* Returns how long the call took, in ms. */
static int64_t
call_once (Result *result)
{
  const NetCall call = { .method = "GET", .url = loopback_url (PORT), .timeout_ms = TIMEOUT_MS };
  NetClient *client = net_client_new ();
  int64_t begun_us = clk_now_us ();

  net_client_call (client, &call, on_answer, NULL, result);
  while (!result->is_done)
    (void) g_main_context_iteration (NULL, TRUE);
  int64_t took_ms = (clk_now_us () - begun_us) / CLK_US_PER_MS;
  net_client_free (client);
  return took_ms;
}

/* The whole answer takes three time-outs, but bytes arrive within each of them. */
static void
slow_answer_completes (void **state)
{
  SlowServer server;
  Result result = { 0 };

  (void) state;
  server_start (&server, CHUNKS);
  (void) call_once (&result);
  server_stop (&server);
  assert_int_equal (result.status, 200);
  assert_int_equal (result.size, CHUNKS * strlen (CHUNK));
}

static void
stalled_answer_times_out (void **state)
{
  SlowServer server;
  Result result = { 0 };

  (void) state;
  server_start (&server, 2);
  int64_t took_ms = call_once (&result);
  server_stop (&server);
  assert_int_equal (result.status, 0);
  assert_true (result.may_have_run);
  assert_true (took_ms >= TIMEOUT_MS);
  assert_true (took_ms < CHUNKS * CHUNK_MS);
}

static void
call_without_a_listener_did_not_run (void **state)
{
  Result result = { 0 };

  (void) state;
  (void) call_once (&result);
  assert_int_equal (result.status, 0);
  assert_false (result.may_have_run);
}

#define EXCESS_CALLS 40

static void
hold_request (void *ctx, NetRequest *request)
{
  g_ptr_array_add (ctx, request);
}

static void
count_answer (void *ctx, const NetAnswer *answer)
{
  uint32_t *n_good = ctx;

  *n_good += answer->status == 200 ? 1 : 0;
}

/* More calls to one address than connections are allowed. Guards against a descriptor per call, and
 * against calls that stay in the queue after a connection became free. */
static void
excess_calls_wait_for_a_connection (void **state)
{
  const NetReply reply = { .status = 200 };
  const NetCall call = { .method = "GET", .url = loopback_url (PORT), .timeout_ms = 20000 };
  g_autoptr (GPtrArray) held = g_ptr_array_new ();
  const NetServerOptions options = { .address = loopback_address (PORT),
                                     .connections_max = 2 * NET_CLIENT_CONNECTIONS_MAX,
                                     .idle_s = 60,
                                     .handler = hold_request,
                                     .ctx = held };
  NetServer *server = net_server_new (&options, NULL);
  NetClient *client = net_client_new ();
  uint32_t n_good = 0;

  (void) state;
  assert_non_null (server);
  for (int i = 0; i < NET_CLIENT_CONNECTIONS_MAX + EXCESS_CALLS; i++)
    net_client_call (client, &call, count_answer, NULL, &n_good);
  while (held->len < NET_CLIENT_CONNECTIONS_MAX)
    (void) g_main_context_iteration (NULL, TRUE);
  for (int i = 0; i < 100; i++)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_int_equal (held->len, NET_CLIENT_CONNECTIONS_MAX);
  while (n_good < NET_CLIENT_CONNECTIONS_MAX + EXCESS_CALLS)
    {
      while (held->len > 0)
        net_request_reply (g_ptr_array_steal_index (held, 0), &reply);
      (void) g_main_context_iteration (NULL, TRUE);
    }
  net_client_free (client);
  net_server_free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (slow_answer_completes),
    cmocka_unit_test (stalled_answer_times_out),
    cmocka_unit_test (call_without_a_listener_did_not_run),
    cmocka_unit_test (excess_calls_wait_for_a_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
