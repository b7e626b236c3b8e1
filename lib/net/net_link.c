#include "net/net_link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "common/err.h"

/** TCP keep-alive: the kernel closes an idle connection whose peer is gone. */
#define KEEP_ALIVE_IDLE_S 5
#define KEEP_ALIVE_PROBE_S 2
#define KEEP_ALIVE_PROBES 3
/** Initial and largest delay between connection attempts. */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 500
/** Messages received in one iteration of the main loop. */
#define BATCH_MAX 64

struct NetLinks
{
  void *context;
};

struct NetLink
{
  void *socket;
  GSource *source;
  uint32_t n_added; /**< peers added since the link was opened */
  NetLinkMessage on_message;
  void *ctx;
};

typedef struct
{
  GSource base;
  NetLink *link;
} LinkSource;

static gboolean
is_readable (const NetLink *link)
{
  int events = 0;
  size_t size = sizeof events;

  (void) zmq_getsockopt (link->socket, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLIN) != 0;
}

/* ZMQ_FD is edge-triggered, so the socket state is queried in every iteration. */
static gboolean
source_prepare (GSource *source, gint *timeout)
{
  *timeout = -1;
  return is_readable (((LinkSource *) source)->link);
}

static gboolean
source_check (GSource *source)
{
  return is_readable (((LinkSource *) source)->link);
}

static GBytes *
receive_peer (NetLink *link)
{
  zmq_msg_t frame;
  GBytes *peer = NULL;

  (void) zmq_msg_init (&frame);
  if (zmq_msg_recv (&frame, link->socket, ZMQ_DONTWAIT) >= 0)
    peer = g_bytes_new (zmq_msg_data (&frame), zmq_msg_size (&frame));
  (void) zmq_msg_close (&frame);
  return peer;
}

/* Returns FALSE when no message is waiting. */
static gboolean
receive_one (NetLink *link)
{
  g_autoptr (GBytes) peer = receive_peer (link);
  zmq_msg_t frame;

  if (peer == NULL)
    return FALSE;
  (void) zmq_msg_init (&frame);
  gboolean has_frame = zmq_msg_recv (&frame, link->socket, ZMQ_DONTWAIT) >= 0;
  if (has_frame)
    link->on_message (link->ctx, peer, zmq_msg_data (&frame), zmq_msg_size (&frame));
  (void) zmq_msg_close (&frame);
  return has_frame;
}

static gboolean
source_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  NetLink *link = ((LinkSource *) source)->link;

  (void) callback;
  (void) data;
  g_source_ref (source);
  for (uint32_t i = 0; i < BATCH_MAX && !g_source_is_destroyed (source); i++)
    {
      if (!receive_one (link))
        break;
    }
  g_source_unref (source);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_functions
    = { source_prepare, source_check, source_dispatch, NULL, NULL, NULL };

static void
set_option (void *socket, int option, int value)
{
  (void) zmq_setsockopt (socket, option, &value, sizeof value);
}

static NetLink *
link_new (NetLinks *links, NetLinkMessage on_message, void *ctx)
{
  NetLink *link = g_new0 (NetLink, 1);
  int64_t message_max = NET_LINK_MESSAGE_MAX;

  link->socket = zmq_socket (links->context, ZMQ_ROUTER);
  link->on_message = on_message;
  link->ctx = ctx;
  set_option (link->socket, ZMQ_LINGER, 0);
  set_option (link->socket, ZMQ_SNDHWM, NET_LINK_QUEUE_MAX);
  set_option (link->socket, ZMQ_RCVHWM, NET_LINK_QUEUE_MAX);
  /* Without this option ZeroMQ silently drops a message that cannot be sent. */
  set_option (link->socket, ZMQ_ROUTER_MANDATORY, 1);
  set_option (link->socket, ZMQ_TCP_KEEPALIVE, 1);
  set_option (link->socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEP_ALIVE_IDLE_S);
  set_option (link->socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEP_ALIVE_PROBE_S);
  set_option (link->socket, ZMQ_TCP_KEEPALIVE_CNT, KEEP_ALIVE_PROBES);
  set_option (link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_option (link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_option (link->socket, ZMQ_CONNECT_TIMEOUT, NET_LINK_PEER_TIMEOUT_MS);
  set_option (link->socket, ZMQ_TCP_MAXRT, NET_LINK_PEER_TIMEOUT_MS);
  (void) zmq_setsockopt (link->socket, ZMQ_MAXMSGSIZE, &message_max, sizeof message_max);
  return link;
}

static void
link_attach (NetLink *link)
{
  int fd = -1;
  size_t size = sizeof fd;

  (void) zmq_getsockopt (link->socket, ZMQ_FD, &fd, &size);
  link->source = g_source_new (&source_functions, sizeof (LinkSource));
  ((LinkSource *) link->source)->link = link;
  (void) g_source_add_unix_fd (link->source, fd, G_IO_IN);
  (void) g_source_attach (link->source, NULL);
}

NetLinks *
net_links_new (void)
{
  NetLinks *links = g_new0 (NetLinks, 1);

  links->context = zmq_ctx_new ();
  return links;
}

void
net_links_free (NetLinks *links)
{
  if (links == NULL)
    return;
  (void) zmq_ctx_term (links->context);
  g_free (links);
}

NetLink *
net_link_listen (
    NetLinks *links, const char *address, NetLinkMessage on_message, void *ctx, GError **error)
{
  NetLink *link = link_new (links, on_message, ctx);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", address);

  if (zmq_bind (link->socket, endpoint) != 0)
    {
      err_set (error, ERR_REFUSED, "cannot listen on %s: %s", address, zmq_strerror (errno));
      (void) zmq_close (link->socket);
      g_free (link);
      return NULL;
    }
  link_attach (link);
  return link;
}

NetLink *
net_link_open (NetLinks *links, NetLinkMessage on_message, void *ctx)
{
  NetLink *link = link_new (links, on_message, ctx);

  link_attach (link);
  return link;
}

/* Whether the text is an IP address and a port that can be connected to. ZeroMQ accepts any port,
 * and resolves names in the thread that serves all connections. */
static gboolean
is_peer_address (const char *address)
{
  g_autofree char *host = g_strdup (address);
  uint8_t bytes[sizeof (struct in6_addr)];
  char *colon = strrchr (host, ':');
  guint64 port = 0;

  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port, NULL))
    return FALSE;
  *colon = '\0';
  if (inet_pton (AF_INET, host, bytes) == 1)
    return TRUE;
  if (*host != '[' || colon[-1] != ']')
    return FALSE;
  colon[-1] = '\0';
  return inet_pton (AF_INET6, host + 1, bytes) == 1;
}

GBytes *
net_link_add_peer (NetLink *link, const char *address, GError **error)
{
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", address);
  if (!is_peer_address (address))
    {
      err_set (error, ERR_BAD_CONFIG, "cannot connect to \"%s\": expected IP:PORT", address);
      return NULL;
    }
  /* ZeroMQ aborts if an id is reused while its old connection is still being closed. */
  g_autofree char *id = g_strdup_printf ("%u", ++link->n_added);

  (void) zmq_setsockopt (link->socket, ZMQ_CONNECT_ROUTING_ID, id, strlen (id));
  if (zmq_connect (link->socket, endpoint) == 0)
    return g_bytes_new (id, strlen (id));
  err_set (error, ERR_BAD_CONFIG, "cannot connect to %s: %s", address, zmq_strerror (errno));
  return NULL;
}

void
net_link_drop_peer (NetLink *link, const char *address)
{
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", address);

  if (!is_peer_address (address))
    return;
  (void) zmq_disconnect (link->socket, endpoint);
}

void
net_link_free (NetLink *link)
{
  if (link == NULL)
    return;
  g_source_destroy (link->source);
  g_source_unref (link->source);
  (void) zmq_close (link->socket);
  g_free (link);
}

NetLinkResult
net_link_send (NetLink *link, GBytes *peer, const void *data, size_t size)
{
  size_t peer_size = 0;
  const void *id = g_bytes_get_data (peer, &peer_size);

  if (size > NET_LINK_MESSAGE_MAX)
    return NET_LINK_TOO_LARGE;
  if (zmq_send (link->socket, id, peer_size, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return NET_LINK_NOT_SENT;
  return zmq_send (link->socket, data, size, ZMQ_DONTWAIT) >= 0 ? NET_LINK_SENT : NET_LINK_NOT_SENT;
}
