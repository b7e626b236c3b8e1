/* Which of a client's connections are dropped when one of them went silent. */
#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "net/net_sockets.h"

#define N_SOCKETS 5

typedef struct
{
  NetSockets *sockets;
  int listeners[2];
  int fds[N_SOCKETS];
} Rig;

static struct sockaddr_in
own_address (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &size), 0);
  return address;
}

static uint16_t
port_of (int fd)
{
  const struct sockaddr_in address = own_address (fd);

  return ntohs (address.sin_port);
}

static int
listen_anywhere (void)
{
  const struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (bind (fd, (const struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (fd, N_SOCKETS), 0);
  return fd;
}

static int
connect_to (int listener)
{
  const struct sockaddr_in address = own_address (listener);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (const struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* Socket i was opened at time i; the last one has another peer. */
static void
open_all (Rig *rig)
{
  rig->sockets = net_sockets_new ();
  rig->listeners[0] = listen_anywhere ();
  rig->listeners[1] = listen_anywhere ();
  for (int i = 0; i < N_SOCKETS; i++)
    {
      rig->fds[i] = connect_to (rig->listeners[i == N_SOCKETS - 1]);
      net_sockets_add (rig->sockets, rig->fds[i], i);
    }
}

static void
close_all (Rig *rig)
{
  for (int i = 0; i < N_SOCKETS; i++)
    {
      net_sockets_remove (rig->sockets, rig->fds[i]);
      (void) close (rig->fds[i]);
    }
  (void) close (rig->listeners[0]);
  (void) close (rig->listeners[1]);
  net_sockets_free (rig->sockets);
}

static gboolean
is_open (int fd)
{
  char byte = 0;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static gboolean
is_this_one (const void *ctx, uint16_t port)
{
  return port == *(const uint16_t *) ctx;
}

/* Guards against: a connection was dropped that is newer, in use, or goes to another peer. */
static void
idle_connections_as_old_to_the_same_peer_are_dropped (void **state)
{
  Rig rig;

  (void) state;
  open_all (&rig);
  uint16_t used = port_of (rig.fds[2]);
  assert_int_equal (net_sockets_drop_silent (rig.sockets, port_of (rig.fds[0]), N_SOCKETS - 2,
                                             is_this_one, &used),
                    1);
  assert_true (is_open (rig.fds[0]));
  assert_false (is_open (rig.fds[1]));
  assert_true (is_open (rig.fds[2]));
  assert_true (is_open (rig.fds[3]));
  assert_true (is_open (rig.fds[4]));
  close_all (&rig);
}

/* Guards against: a request without an answer over its own new connection, which says nothing of
 * others, dropped these. */
static void
new_connection_without_an_answer_drops_none (void **state)
{
  const uint16_t none = 0;
  Rig rig;

  (void) state;
  open_all (&rig);
  assert_int_equal (
      net_sockets_drop_silent (rig.sockets, port_of (rig.fds[3]), 3, is_this_one, &none), 0);
  for (int i = 0; i < N_SOCKETS; i++)
    assert_true (is_open (rig.fds[i]));
  close_all (&rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (idle_connections_as_old_to_the_same_peer_are_dropped),
    cmocka_unit_test (new_connection_without_an_answer_drops_none),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
