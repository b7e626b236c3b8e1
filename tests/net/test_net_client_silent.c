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
#define TIMEOUT_MS 200
/** Connections that are open when they go silent. */
#define N_OPEN 64
#define N_FDS_MAX 256
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
  gint wants_silent; /**< set by the test */
  gint is_stopping;
  gint n_accepted;
  pthread_t thread;
} Server;

static void
answer_all (Server *server)
{
  for (int i = server->n_silent; server->n_fds >= N_OPEN && i < server->n_fds; i++)
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
server_start (Server *server)
{
  const int yes = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (PORT) };

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
call (NetClient *client, const char *method, int n_calls, Counts *counts)
{
  const NetCall wanted = { .method = method,
                           .url = loopback_url (PORT),
                           .body = "x",
                           .size = strcmp (method, "GET") == 0 ? 0 : 1,
                           .timeout_ms = TIMEOUT_MS };
  uint32_t until = counts->n_ended + (uint32_t) n_calls;

  for (int i = 0; i < n_calls; i++)
    net_client_call (client, &wanted, count_answer, NULL, counts);
  while (counts->n_ended < until)
    (void) g_main_context_iteration (NULL, TRUE);
}

/* Calls one after the other until one is answered. Returns how many were not. */
static uint32_t
count_lost (const char *method)
{
  Server server = { 0 };
  NetClient *client = net_client_new ();
  Counts counts = { 0 };

  server_start (&server);
  call (client, method, N_OPEN, &counts);
  assert_int_equal (counts.n_good, N_OPEN);
  g_atomic_int_set (&server.wants_silent, TRUE);
  while (g_atomic_int_get (&server.wants_silent))
    g_usleep (1000);
  counts = (Counts){ 0 };
  while (counts.n_good == 0 && counts.n_ended < N_OPEN)
    call (client, method, 1, &counts);
  uint32_t n_lost = counts.n_ended - counts.n_good;
  /* The new connection is used again. */
  call (client, method, 1, &counts);
  assert_int_equal (counts.n_good, 2);
  assert_int_equal (g_atomic_int_get (&server.n_accepted), N_OPEN + 1);
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (silent_connections_cost_one_timeout),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
