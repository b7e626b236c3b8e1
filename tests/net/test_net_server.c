/* The HTTP server, tested with the HTTP client of the same library. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "net/net_client.h"
#include "net/net_server.h"
#include "support/loopback.h"

#define PORT 28721
#define TIMEOUT_MS 2000

typedef struct
{
  NetRequest *held;
  guint n_held;
} Held;

static void
hold (void *ctx, NetRequest *request)
{
  Held *held = ctx;

  held->held = request;
  held->n_held++;
}

static void
on_answer (void *ctx, const NetAnswer *answer)
{
  NetAnswer *copy = ctx;

  *copy = *answer;
  copy->body = "";
}

/* A process that ends while the store is unresponsive has requests that wait for the store. */
static void
free_replies_to_open_requests (void **state)
{
  Held held = { 0 };
  NetAnswer answer = { .body = NULL };
  const NetServerOptions options = { .address = loopback_address (PORT),
                                     .connections_max = 4,
                                     .idle_s = 10,
                                     .body_bytes_max = 1000,
                                     .handler = hold,
                                     .ctx = &held };
  const NetCall call = { .method = "GET", .url = loopback_url (PORT), .timeout_ms = TIMEOUT_MS };
  NetServer *server = net_server_new (&options, NULL);
  NetClient *client = net_client_new ();

  (void) state;
  assert_non_null (server);
  net_client_call (client, &call, on_answer, NULL, &answer);
  while (held.n_held == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (net_server_open_requests (server), 1);
  net_server_free (server);
  while (answer.body == NULL)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (answer.status, 504);
  net_client_free (client);
}

/* Sends a request that the server does not read before the next iteration of the main loop. */
static int
send_unread (void)
{
  static const char request[] = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
  const struct sockaddr_in address = { .sin_family = AF_INET,
                                       .sin_port = htons (PORT),
                                       .sin_addr.s_addr = inet_addr (loopback_ip ()) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (const struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (send (fd, request, sizeof request - 1, 0), sizeof request - 1);
  return fd;
}

/* A process that was stalled until after its shutdown time has requests that arrived meanwhile. */
static void
free_refuses_unread_requests (void **state)
{
  Held held = { 0 };
  NetAnswer answer = { .body = NULL };
  const NetServerOptions options = { .address = loopback_address (PORT),
                                     .connections_max = 4,
                                     .idle_s = 10,
                                     .body_bytes_max = 1000,
                                     .handler = hold,
                                     .ctx = &held };
  const NetCall call = { .method = "GET", .url = loopback_url (PORT), .timeout_ms = TIMEOUT_MS };
  NetServer *server = net_server_new (&options, NULL);
  NetClient *client = net_client_new ();
  char text[64] = "";

  (void) state;
  assert_non_null (server);
  net_client_call (client, &call, on_answer, NULL, &answer);
  while (held.n_held == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  int fd = send_unread ();
  net_server_free (server);
  assert_int_equal (held.n_held, 1);
  ssize_t size = recv (fd, text, sizeof text - 1, 0);
  if (size > 0)
    assert_true (g_str_has_prefix (text, "HTTP/1.1 503 "));
  (void) close (fd);
  net_client_free (client);
}

#define PIPELINED 300
/* Each run handles requests for 5 ms, and up to 32 that waited for it. */
#define HANDLED_MAX 50

static void
reply_slowly (void *ctx, NetRequest *request)
{
  const NetReply reply = { .status = 404 };
  guint *n_handled = ctx;

  (*n_handled)++;
  g_usleep (1000);
  net_request_reply (request, &reply);
}

/* Guards against a main loop that does nothing else while many pipelined requests are handled. */
static void
pipelined_requests_leave_time_for_others (void **state)
{
  static const char request[] = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
  guint n_handled = 0;
  guint n_most = 0;
  const NetServerOptions options = { .address = loopback_address (PORT),
                                     .connections_max = 4,
                                     .idle_s = 10,
                                     .body_bytes_max = 1000,
                                     .handler = reply_slowly,
                                     .ctx = &n_handled };
  NetServer *server = net_server_new (&options, NULL);
  int fd = send_unread ();

  (void) state;
  assert_non_null (server);
  for (guint i = 1; i < PIPELINED; i++)
    assert_int_equal (send (fd, request, sizeof request - 1, 0), sizeof request - 1);
  while (n_handled < PIPELINED)
    {
      guint before = n_handled;
      (void) g_main_context_iteration (NULL, TRUE);
      n_most = MAX (n_most, n_handled - before);
    }
  assert_in_range (n_most, 1, HANDLED_MAX);
  net_server_free (server);
  (void) close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (free_replies_to_open_requests),
                                      cmocka_unit_test (free_refuses_unread_requests),
                                      cmocka_unit_test (pipelined_requests_leave_time_for_others) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
