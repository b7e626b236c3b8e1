#include "net/net_peers.h"

#include "common/clk.h"

/** A client that has just been answered is likely to send its next request on the connection. */
#define IDLE_KEPT_US CLK_US_PER_S
/** A client with more requests a second sends them without waiting for its answers, since callers
 * and workers have some a second. Its connection makes room although it was never idle. */
#define REQUESTS_PER_S_MAX 50

void
net_peers_init (NetPeers *peers, const NetPeersOptions *options)
{
  *peers = (NetPeers){ .options = *options };
}

static void
close_peer (NetPeer *peer, const char *reason)
{
  NetPeers *peers = peer->peers;

  peer->is_closing = TRUE;
  peers->n_open--;
  g_queue_unlink (&peers->phases[peer->phase], &peer->link);
  if (peer->phase == NET_READING)
    net_peers_uncharge (peer, peer->charged);
  peers->options.close (peers->options.ctx, peer, reason);
}

/* Closes the connection that waited longest, other than @p self; FALSE if there is none. */
static gboolean
close_longest (NetPeers *peers, const NetPeer *self, const char *reason)
{
  for (NetPhase phase = NET_READING; phase <= NET_SENDING; phase++)
    {
      NetPeer *peer = g_queue_peek_head (&peers->phases[phase]);
      if (peer != NULL && peer != self)
        {
          close_peer (peer, reason);
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
close_idle (NetPeers *peers, const NetPeer *self, int64_t now_us, const char *reason)
{
  NetPeer *peer = g_queue_peek_head (&peers->phases[NET_IDLE]);

  if (peer == NULL || peer == self || now_us - peer->since_us < IDLE_KEPT_US)
    return FALSE;
  close_peer (peer, reason);
  return TRUE;
}

/* Closes the connection with the most requests in the last second, if it has too many. */
static gboolean
close_busiest (NetPeers *peers, const NetPeer *self, int64_t now_us, const char *reason)
{
  NetPeer *busiest = NULL;

  for (const GList *link = peers->phases[NET_IDLE].head; link != NULL; link = link->next)
    {
      NetPeer *peer = link->data;
      if (peer == self || peer->n_requests <= REQUESTS_PER_S_MAX
          || now_us - peer->counted_us >= 2 * CLK_US_PER_S)
        continue;
      if (busiest == NULL || peer->n_requests > busiest->n_requests)
        busiest = peer;
    }
  if (busiest == NULL)
    return FALSE;
  close_peer (busiest, reason);
  return TRUE;
}

/* Pipelined requests can keep all connections of a crowd waiting for replies. */
static gboolean
close_read_only (NetPeers *peers, const char *reason)
{
  NetPeer *peer = g_queue_peek_head (&peers->phases[NET_READ_ONLY]);

  if (peer == NULL)
    return FALSE;
  close_peer (peer, reason);
  return TRUE;
}

void
net_peers_add (NetPeers *peers, NetPeer *peer, int64_t now_us)
{
  peer->peers = peers;
  peer->link.data = peer;
  peer->phase = NET_IDLE;
  peer->since_us = now_us;
  g_queue_push_tail_link (&peers->phases[NET_IDLE], &peer->link);
  peers->n_open++;
  if (peers->n_open > peers->options.connections_max && !close_longest (peers, peer, "connections")
      && !close_idle (peers, peer, now_us, "connections") && !close_read_only (peers, "connections")
      && !close_busiest (peers, peer, now_us, "connections"))
    close_peer (peer, "connections");
}

void
net_peers_remove (NetPeer *peer)
{
  net_peers_uncharge (peer, peer->charged);
  if (peer->is_closing)
    return;
  peer->peers->n_open--;
  g_queue_unlink (&peer->peers->phases[peer->phase], &peer->link);
}

static void
count_request (NetPeer *peer, int64_t now_us)
{
  if (now_us - peer->counted_us >= CLK_US_PER_S)
    {
      peer->counted_us = now_us;
      peer->n_requests = 0;
    }
  peer->n_requests++;
}

void
net_peers_set_phase (NetPeer *peer, NetPhase phase, int64_t now_us)
{
  if (peer->is_closing)
    return;
  g_queue_unlink (&peer->peers->phases[peer->phase], &peer->link);
  if (phase == NET_READING)
    count_request (peer, now_us);
  peer->phase = phase;
  peer->since_us = now_us;
  g_queue_push_tail_link (&peer->peers->phases[phase], &peer->link);
}

void
net_peers_charge (NetPeer *peer, uint64_t bytes)
{
  peer->charged += bytes;
  peer->peers->charged += bytes;
}

void
net_peers_uncharge (NetPeer *peer, uint64_t bytes)
{
  bytes = MIN (bytes, peer->charged);
  peer->charged -= bytes;
  peer->peers->charged -= bytes;
}

gboolean
net_peers_reserve (NetPeer *peer, uint32_t bytes)
{
  NetPeers *peers = peer->peers;
  uint32_t max = peers->options.buffer_bytes_max;

  while (max > 0 && peers->charged + bytes > max)
    {
      if (!close_longest (peers, peer, "buffers"))
        return FALSE;
    }
  net_peers_charge (peer, bytes);
  return TRUE;
}

static void
close_late (NetPeers *peers, NetPhase phase, uint32_t limit_s, int64_t now_us, const char *reason)
{
  int64_t before_us = now_us - (int64_t) limit_s * CLK_US_PER_S;
  NetPeer *peer = g_queue_peek_head (&peers->phases[phase]);

  for (; peer != NULL && peer->since_us < before_us;
       peer = g_queue_peek_head (&peers->phases[phase]))
    close_peer (peer, reason);
}

void
net_peers_close_late (NetPeers *peers, int64_t now_us)
{
  uint32_t limit_s = peers->options.read_timeout_s;

  if (limit_s == 0)
    return;
  close_late (peers, NET_READING, limit_s, now_us, "read_timeout");
  close_late (peers, NET_SENDING, limit_s, now_us, "send_timeout");
  /* An idle connection may have sent part of the headers, which is not visible here. */
  close_late (peers, NET_IDLE, peers->options.idle_s + limit_s, now_us, "read_timeout");
}
