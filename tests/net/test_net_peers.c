/* Limits over all connections, without a network. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clk.h"
#include "net/net_peers.h"

#define N_PEERS 4

typedef struct
{
  NetPeers peers;
  NetPeer peer[N_PEERS];
  GPtrArray *closed;
} Fix;

static void
note_closed (void *ctx, NetPeer *peer, const char *reason)
{
  Fix *fix = ctx;

  (void) reason;
  g_ptr_array_add (fix->closed, peer);
}

static void
open_peers (Fix *fix, guint count, uint32_t connections_max)
{
  const NetPeersOptions options = { .connections_max = connections_max,
                                    .buffer_bytes_max = 100,
                                    .idle_s = 60,
                                    .read_timeout_s = 30,
                                    .close = note_closed,
                                    .ctx = fix };

  net_peers_init (&fix->peers, &options);
  fix->closed = g_ptr_array_new ();
  for (guint i = 0; i < count; i++)
    net_peers_add (&fix->peers, &fix->peer[i], i);
}

/* Above the limit, the connection whose request is incomplete for longest makes room. */
static void
longest_reader_is_closed (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 3);
  net_peers_set_phase (&fix.peer[2], NET_READING, 10);
  net_peers_set_phase (&fix.peer[1], NET_READING, 11);
  net_peers_add (&fix.peers, &fix.peer[3], 12);
  assert_int_equal (fix.closed->len, 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[2]);
  g_ptr_array_unref (fix.closed);
}

/* A request that is handled may have taken effect: its connection stays, and the new one is
 * refused. */
static void
waiting_peers_stay (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 3);
  for (guint i = 0; i < 3; i++)
    net_peers_set_phase (&fix.peer[i], NET_WAITING, 10);
  net_peers_add (&fix.peers, &fix.peer[3], 12);
  assert_int_equal (fix.closed->len, 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[3]);
  g_ptr_array_unref (fix.closed);
}

/* Clients that pipeline requests without effects have no incomplete request and are hardly idle.
 * Guards against such a crowd that keeps all others out. */
static void
read_only_request_makes_room (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 3);
  net_peers_set_phase (&fix.peer[0], NET_WAITING, 9);
  net_peers_set_phase (&fix.peer[2], NET_READ_ONLY, 10);
  net_peers_set_phase (&fix.peer[1], NET_READ_ONLY, 11);
  net_peers_add (&fix.peers, &fix.peer[3], 12);
  assert_int_equal (fix.closed->len, 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[2]);
  g_ptr_array_unref (fix.closed);
}

/* Clients that use their connections keep them, and connections that nobody uses make room. */
static void
idle_peers_are_closed_after_a_second (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 2, 2);
  net_peers_add (&fix.peers, &fix.peer[2], CLK_US_PER_S - 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[2]);
  net_peers_add (&fix.peers, &fix.peer[3], CLK_US_PER_S);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 1), &fix.peer[0]);
  g_ptr_array_unref (fix.closed);
}

/* Guards against a crowd that keeps all others out with pipelined requests that are answered at
 * once. */
static void
busy_idle_peer_makes_room (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 3);
  for (guint i = 0; i < 200; i++)
    {
      net_peers_set_phase (&fix.peer[1], NET_READING, 10 + i);
      net_peers_set_phase (&fix.peer[1], NET_IDLE, 10 + i);
    }
  for (guint i = 0; i < 50; i++)
    {
      net_peers_set_phase (&fix.peer[0], NET_READING, 10 + i);
      net_peers_set_phase (&fix.peer[0], NET_IDLE, 10 + i);
    }
  net_peers_add (&fix.peers, &fix.peer[3], 300);
  assert_int_equal (fix.closed->len, 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[1]);
  g_ptr_array_unref (fix.closed);
}

/* Bytes of all connections together are limited, whatever their number. */
static void
budget_closes_readers (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 4);
  for (guint i = 0; i < 3; i++)
    net_peers_set_phase (&fix.peer[i], NET_READING, 10 + i);
  assert_true (net_peers_reserve (&fix.peer[0], 60));
  assert_true (net_peers_reserve (&fix.peer[1], 40));
  assert_true (net_peers_reserve (&fix.peer[2], 30));
  assert_int_equal (fix.closed->len, 1);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 0), &fix.peer[0]);
  net_peers_set_phase (&fix.peer[1], NET_WAITING, 20);
  assert_false (net_peers_reserve (&fix.peer[2], 31));
  assert_int_equal (fix.peers.charged, 70);
  g_ptr_array_unref (fix.closed);
}

/* A slow sender ends after the time for a request, however many bytes it sends. */
static void
late_peers_are_closed (void **state)
{
  Fix fix = { 0 };

  (void) state;
  open_peers (&fix, 3, 4);
  net_peers_set_phase (&fix.peer[0], NET_READING, 0);
  net_peers_set_phase (&fix.peer[1], NET_WAITING, 0);
  net_peers_close_late (&fix.peers, 30 * CLK_US_PER_S);
  assert_int_equal (fix.closed->len, 0);
  net_peers_close_late (&fix.peers, 31 * CLK_US_PER_S);
  assert_int_equal (fix.closed->len, 1);
  net_peers_close_late (&fix.peers, 91 * CLK_US_PER_S);
  assert_int_equal (fix.closed->len, 2);
  assert_ptr_equal (g_ptr_array_index (fix.closed, 1), &fix.peer[2]);
  g_ptr_array_unref (fix.closed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (longest_reader_is_closed),
                                      cmocka_unit_test (waiting_peers_stay),
                                      cmocka_unit_test (read_only_request_makes_room),
                                      cmocka_unit_test (idle_peers_are_closed_after_a_second),
                                      cmocka_unit_test (busy_idle_peer_makes_room),
                                      cmocka_unit_test (budget_closes_readers),
                                      cmocka_unit_test (late_peers_are_closed) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
