#include "net/net_conns.h"

#include <malloc.h>
#include <sys/socket.h>

#include "common/clk.h"

/** Connections above the limit until those that were closed to make room have ended. */
#define CONNECTIONS_SPARE 32
/** Memory goes back to the system once this much was freed since the last time. */
#define TRIM_BYTES (1024 * 1024)

/* libmicrohttpd ends the connection when it next runs. */
static void
close_connection (void *ctx, NetPeer *peer, const char *reason)
{
  const NetConns *conns = ctx;
  NetConn *conn = (NetConn *) peer;

  conns->options.on_close (conns->options.ctx, conn, reason);
  (void) shutdown (conn->fd, SHUT_RDWR);
}

void
net_conns_init (NetConns *conns, const NetConnsOptions *options)
{
  const NetPeersOptions peers
      = { .connections_max = options->excess_waits ? UINT32_MAX : options->connections_max,
          .buffer_bytes_max = options->buffer_bytes_max,
          .idle_s = options->idle_s,
          .read_timeout_s = options->read_timeout_s,
          .close = close_connection,
          .ctx = conns };

  *conns = (NetConns){ .options = *options };
  net_peers_init (&conns->peers, &peers);
}

unsigned int
net_conns_limit (const NetConns *conns)
{
  return conns->options.connections_max + (conns->options.excess_waits ? 0 : CONNECTIONS_SPARE);
}

void
net_conns_notify (void *ctx,
                  struct MHD_Connection *connection,
                  void **slot,
                  enum MHD_ConnectionNotificationCode code)
{
  NetConns *conns = ctx;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      NetConn *conn = g_new0 (NetConn, 1);
      conn->fd
          = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
      *slot = conn;
      net_peers_add (&conns->peers, &conn->peer, clk_now_us ());
      return;
    }
  NetConn *conn = *slot;
  net_peers_remove (&conn->peer);
  conns->freed += conns->options.pool_bytes;
  g_free (conn);
  *slot = NULL;
}

void
net_conns_check (NetConns *conns, int64_t now_us)
{
  net_peers_close_late (&conns->peers, now_us);
  if (conns->freed <= TRIM_BYTES)
    return;
  conns->freed = 0;
  (void) malloc_trim (0);
}

NetConn *
net_conn_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

void
net_conn_set_phase (NetConn *conn, NetPhase phase)
{
  net_peers_set_phase (&conn->peer, phase, clk_now_us ());
}

/* Memory that an array of this length takes: it grows in powers of two. */
static uint32_t
array_bytes (guint length)
{
  return length > 0 ? 1U << g_bit_storage (length - 1) : 0;
}

NetBody
net_conn_append (NetConn *conn, GByteArray *body, const void *data, size_t size, size_t bytes_max)
{
  if (body->len + size > bytes_max)
    return NET_BODY_TOO_LARGE;
  if (!net_peers_reserve (&conn->peer,
                          array_bytes (body->len + (guint) size) - array_bytes (body->len)))
    return NET_BODY_UNBUFFERED;
  g_byte_array_append (body, data, (guint) size);
  return NET_BODY_KEPT;
}

static void
uncharge (NetConn *conn, uint64_t bytes)
{
  NetConns *conns = conn->peer.peers->options.ctx;

  conns->freed += bytes;
  net_peers_uncharge (&conn->peer, bytes);
}

void
net_conn_uncharge_body (NetConn *conn, const GByteArray *body)
{
  uncharge (conn, array_bytes (body->len));
}

void
net_conn_uncharge (NetConn *conn)
{
  uncharge (conn, conn->peer.charged);
}
