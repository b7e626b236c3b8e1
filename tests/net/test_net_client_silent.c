/* The HTTP client after its open connections went silent without a reset, while new ones work. */
#include <arpa/inet.h>
#include <poll.h>
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
#include "support/loopback.h"

#define PORT 28741
#define OTHER_PORT 28742
#define TIMEOUT_MS 200
/** Connections that are open when they go silent. */
#define N_OPEN 64
#define N_FDS_MAX 256
/** Connections above the limit while others are replaced: "a few". */
#define EXTRA_MAX 16
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* Answers the first calls once N_OPEN connections are open, and others at once. Connections that
 * are open when it is told to go silent get no answer from then on. */
typedef struct
{
  int listener;
  int fds[N_FDS_MAX];
  gboolean has_request[N_FDS_MAX];
  int n_fds;
  int n_silent;      /**< the first ones are silent */
  gint n_unanswered; /**< so many of the first ones get no answer; set by the test */
  gint wants_silent; /**< set by the test */
  gint is_stopping;
  gint n_accepted;
  pthread_t thread;
} Server;

static void
answer_all (Server *server)
{
  int first = MAX (server->n_silent, g_atomic_int_get (&server->n_unanswered));

  for (int i = first; server->n_fds >= N_OPEN && i < server->n_fds; i++)
    {
      if (server->has_request[i])
        (void) send (server->fds[i], ANSWER, strlen (ANSWER), MSG_NOSIGNAL);
      server->has_request[i] = FALSE;
    }
}

static void
read_requests (Server *server, const struct pollfd *polled, int n_polled)
{
  char request[4096];

  for (int i = 0; i < n_polled; i++)
    {
      if ((polled[i].revents & POLLIN) != 0
          && recv (server->fds[i], request, sizeof request, MSG_DONTWAIT) > 0)
        server->has_request[i] = TRUE;
    }
}

static void *
serve (void *data)
{
  Server *server = data;

  while (!g_atomic_int_get (&server->is_stopping))
    {
      struct pollfd polled[N_FDS_MAX + 1];
      int n_polled = server->n_fds;
      for (int i = 0; i < n_polled; i++)
        polled[i]
            = (struct pollfd){ .fd = i < server->n_silent ? -1 : server->fds[i], .events = POLLIN };
      polled[n_polled] = (struct pollfd){ .fd = server->listener, .events = POLLIN };
      (void) poll (polled, (nfds_t) n_polled + 1, 5);
      if (g_atomic_int_compare_and_exchange (&server->wants_silent, TRUE, FALSE))
        {
          server->n_silent = server->n_fds;
          continue;
        }
      read_requests (server, polled, n_polled);
      if ((polled[n_polled].revents & POLLIN) != 0 && server->n_fds < N_FDS_MAX)
        {
          server->fds[server->n_fds++] = accept (server->listener, NULL, NULL);
          g_atomic_int_inc (&server->n_accepted);
        }
      answer_all (server);
    }
  return NULL;
}

static void
server_start (Server *server, uint16_t port)
{
  const int yes = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };

  (void) inet_pton (AF_INET, loopback_ip (), &address.sin_addr);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  (void) setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  assert_int_equal (bind (server->listener, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (server->listener, N_FDS_MAX), 0);
  assert_int_equal (pthread_create (&server->thread, NULL, serve, server), 0);
}

static void
server_stop (Server *server)
{
  g_atomic_int_set (&server->is_stopping, TRUE);
  (void) pthread_join (server->thread, NULL);
  for (int i = 0; i < server->n_fds; i++)
    (void) close (server->fds[i]);
  (void) close (server->listener);
}

typedef struct
{
  uint32_t n_ended;
  uint32_t n_good;
} Counts;

static void
count_answer (void *ctx, const NetAnswer *answer)
{
  Counts *counts = ctx;

  counts->n_ended++;
  counts->n_good += answer->status == 200 ? 1 : 0;
}

static void
begin_call (
    NetClient *client, uint16_t port, const char *method, int64_t timeout_ms, Counts *counts)
{
  const NetCall wanted = { .method = method,
                           .url = loopback_url (port),
                           .body = "x",
                           .size = strcmp (method, "GET") == 0 ? 0 : 1,
                           .timeout_ms = timeout_ms };

  net_client_call (client, &wanted, count_answer, NULL, counts);
}

static void
await_ended (const Counts *counts, uint32_t n_ended)
{
  while (counts->n_ended < n_ended)
    (void) g_main_context_iteration (NULL, TRUE);
}

static void
call (NetClient *client, const char *method, int n_calls, Counts *counts)
{
  uint32_t until = counts->n_ended + (uint32_t) n_calls;

  for (int i = 0; i < n_calls; i++)
    begin_call (client, PORT, method, TIMEOUT_MS, counts);
  await_ended (counts, until);
}

static void
silence (Server *server)
{
  g_atomic_int_set (&server->wants_silent, TRUE);
  while (g_atomic_int_get (&server->wants_silent))
    g_usleep (1000);
}

/* Returns how many of the silent connections the client has closed. */
static int
count_closed (const Server *server)
{
  char request[4096];
  int n_closed = 0;

  for (int i = 0; i < server->n_silent; i++)
    {
      ssize_t size = 0;
      while ((size = recv (server->fds[i], request, sizeof request, MSG_DONTWAIT)) > 0)
        continue;
      n_closed += size == 0;
    }
  return n_closed;
}

/* Calls one after the other until one is answered. Returns how many were not. */
static uint32_t
count_lost (const char *method)
{
  Server server = { 0 };
  NetClient *client = net_client_new ();
  Counts counts = { 0 };

  server_start (&server, PORT);
  call (client, method, N_OPEN, &counts);
  assert_int_equal (counts.n_good, N_OPEN);
  silence (&server);
  counts = (Counts){ 0 };
  while (counts.n_good == 0 && counts.n_ended < N_OPEN)
    call (client, method, 1, &counts);
  uint32_t n_lost = counts.n_ended - counts.n_good;
  /* The new connection is used again. */
  call (client, method, 1, &counts);
  assert_int_equal (counts.n_good, 2);
  assert_int_equal (g_atomic_int_get (&server.n_accepted), N_OPEN + 1);
  assert_int_equal (count_closed (&server), N_OPEN);
  net_client_free (client);
  server_stop (&server);
  return n_lost;
}

/* Guards against: each of many connections that went silent cost a time-out, one after the other.
 */
static void
silent_connections_cost_one_timeout (void **state)
{
  (void) state;
  assert_int_equal (count_lost ("GET"), 1);
  assert_int_equal (count_lost ("POST"), 1);
}

/* Guards against: connections that were opened after the first call without an answer began cost
 * another time-out. */
static void
silent_connections_opened_later_cost_no_second_timeout (void **state)
{
  const char *const methods[] = { "GET", "POST" };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    {
      Server server = { .n_unanswered = 1 };
      NetClient *client = net_client_new ();
      Counts counts = { 0 };

      server_start (&server, PORT);
      for (int k = 0; k < N_OPEN; k++)
        begin_call (client, PORT, methods[i], TIMEOUT_MS, &counts);
      await_ended (&counts, N_OPEN - 1);
      assert_int_equal (counts.n_good, N_OPEN - 1);
      silence (&server);
      await_ended (&counts, N_OPEN);
      call (client, methods[i], 1, &counts);
      assert_int_equal (counts.n_good, N_OPEN);
      net_client_free (client);
      server_stop (&server);
    }
}

typedef struct
{
  uint32_t n_timeouts;
  uint32_t n_replaced;
} Timeouts;

static void
count_timeout (void *ctx, const NetTimeout *timeout)
{
  Timeouts *timeouts = ctx;

  timeouts->n_timeouts++;
  timeouts->n_replaced += timeout->has_replaced ? 1 : 0;
  assert_true (timeout->was_started);
}

/* Guards against: a time-out ended other calls to the peer, or closed connections to others. */
static void
timeout_leaves_calls_under_way_and_other_peers_alone (void **state)
{
  Server server = { .n_unanswered = N_OPEN };
  Server other = { 0 };
  NetClient *client = net_client_new ();
  Counts counts = { 0 };
  Counts other_counts = { 0 };
  Timeouts timeouts = { 0 };

  (void) state;
  net_client_on_timeout (client, count_timeout, &timeouts);
  server_start (&server, PORT);
  server_start (&other, OTHER_PORT);
  for (int i = 0; i < N_OPEN; i++)
    begin_call (client, OTHER_PORT, "POST", 20 * TIMEOUT_MS, &other_counts);
  await_ended (&other_counts, N_OPEN);
  /* All are held. Two time out, one after the other, and the others are answered after that. */
  for (int i = 0; i < N_OPEN; i++)
    begin_call (client, PORT, "POST", (i < 2 ? 2 * i + 1 : 20) * TIMEOUT_MS, &counts);
  await_ended (&counts, 1);
  call (client, "POST", 1, &counts);
  assert_int_equal (counts.n_good, 1);
  await_ended (&counts, 3);
  /* The second time-out was of a replaced connection and leaves the new one in use. */
  call (client, "POST", 1, &counts);
  assert_int_equal (counts.n_good, 2);
  assert_int_equal (g_atomic_int_get (&server.n_accepted), N_OPEN + 1);
  g_atomic_int_set (&server.n_unanswered, 0);
  await_ended (&counts, N_OPEN + 2);
  assert_int_equal (counts.n_good, N_OPEN);
  assert_int_equal (timeouts.n_timeouts, 2);
  assert_int_equal (timeouts.n_replaced, 1);
  for (int i = 0; i < N_OPEN; i++)
    begin_call (client, OTHER_PORT, "POST", 20 * TIMEOUT_MS, &other_counts);
  await_ended (&other_counts, 2 * N_OPEN);
  assert_int_equal (other_counts.n_good, 2 * N_OPEN);
  assert_int_equal (g_atomic_int_get (&other.n_accepted), N_OPEN);
  net_client_free (client);
  server_stop (&server);
  server_stop (&other);
}

/* Guards against: each time-out allowed the peer as many connections again. */
static void
replaced_connections_count_for_the_limit (void **state)
{
  Server server = { .n_unanswered = N_FDS_MAX };
  NetClient *client = net_client_new ();
  Counts counts = { 0 };

  (void) state;
  server_start (&server, PORT);
  for (int i = 0; i < NET_CLIENT_CONNECTIONS_MAX; i++)
    begin_call (client, PORT, "POST", (i == 0 ? 1 : 50) * TIMEOUT_MS, &counts);
  await_ended (&counts, 1);
  for (int i = 0; i < NET_CLIENT_CONNECTIONS_MAX; i++)
    begin_call (client, PORT, "POST", 50 * TIMEOUT_MS, &counts);
  while (g_atomic_int_get (&server.n_accepted) <= NET_CLIENT_CONNECTIONS_MAX)
    (void) g_main_context_iteration (NULL, FALSE);
  for (int i = 0; i < 100; i++)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_in_range (g_atomic_int_get (&server.n_accepted), NET_CLIENT_CONNECTIONS_MAX + 1,
                   NET_CLIENT_CONNECTIONS_MAX + EXTRA_MAX);
  /* Calls that wait for a connection get one. */
  g_atomic_int_set (&server.n_unanswered, 0);
  await_ended (&counts, 2 * NET_CLIENT_CONNECTIONS_MAX);
  assert_int_equal (counts.n_good, 2 * NET_CLIENT_CONNECTIONS_MAX - 1);
  net_client_free (client);
  server_stop (&server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (silent_connections_cost_one_timeout),
    cmocka_unit_test (silent_connections_opened_later_cost_no_second_timeout),
    cmocka_unit_test (timeout_leaves_calls_under_way_and_other_peers_alone),
    cmocka_unit_test (replaced_connections_count_for_the_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
