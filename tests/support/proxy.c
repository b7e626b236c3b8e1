#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/err.h"

/** Interval at which delayed and buffered bytes are checked. */
#define TICK_MS 5
#define CHUNK_BYTES 65536
#define BACKLOG 64

typedef struct
{
  int64_t due_us;
  GBytes *bytes; /**< NULL: the sender closed its side */
} Chunk;

/** One direction of a connection. */
typedef struct
{
  int from;
  int to;
  guint source;
  GQueue *chunks;
  size_t n_sent; /**< bytes of the first chunk that were sent */
  gboolean is_out;
} Direction;

typedef struct
{
  Proxy *proxy;
  Direction directions[2];
} Connection;

struct Proxy
{
  int listener; /**< -1: connections are refused */
  guint source;
  guint tick;
  struct sockaddr_in address;
  struct sockaddr_in server;
  ProxyMode mode;
  uint32_t delay_ms;
  int64_t refuse_from_us; /**< end of the time in which #PROXY_RESET_AND_REFUSE passes requests */
  GPtrArray *connections; /**< Connection */
};

const char *
proxy_mode_name (ProxyMode mode)
{
  static const char *const names[PROXY_MODE_COUNT]
      = { "pass", "delay", "hold_out", "hold_back", "hold", "reset", "reset_and_refuse" };

  return names[mode];
}

static void
chunk_free (gpointer data)
{
  Chunk *chunk = data;

  if (chunk->bytes != NULL)
    g_bytes_unref (chunk->bytes);
  g_free (chunk);
}

static void
connection_free (gpointer data)
{
  Connection *connection = data;
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];
      if (direction->source != 0)
        g_source_remove (direction->source);
      g_queue_free_full (direction->chunks, chunk_free);
      /* A reset could discard a request that the server has not read yet. */
      if (direction->is_out || connection->proxy->mode != PROXY_RESET_AND_REFUSE)
        (void) setsockopt (direction->from, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      (void) close (direction->from);
    }
  g_free (connection);
}

static gboolean
is_held (const Proxy *proxy, const Direction *direction)
{
  if (proxy->mode == PROXY_RESET_AND_REFUSE)
    return !direction->is_out;
  return proxy->mode == PROXY_HOLD
         || proxy->mode == (direction->is_out ? PROXY_HOLD_OUT : PROXY_HOLD_BACK);
}

/* Returns FALSE when the connection has ended. */
static gboolean
send_chunk (Direction *direction, const Chunk *chunk)
{
  size_t size = 0;
  const char *data = g_bytes_get_data (chunk->bytes, &size);
  ssize_t n_sent
      = send (direction->to, data + direction->n_sent, size - direction->n_sent, MSG_NOSIGNAL);

  if (n_sent < 0)
    return errno == EAGAIN || errno == EINTR;
  direction->n_sent += (size_t) n_sent;
  return TRUE;
}

static gboolean
forward_direction (const Proxy *proxy, Direction *direction)
{
  while (!g_queue_is_empty (direction->chunks) && !is_held (proxy, direction))
    {
      Chunk *chunk = g_queue_peek_head (direction->chunks);
      if (chunk->due_us > clk_now_us () && proxy->mode != PROXY_RESET_AND_REFUSE)
        return TRUE;
      if (chunk->bytes == NULL)
        return FALSE;
      if (!send_chunk (direction, chunk))
        return FALSE;
      if (direction->n_sent < g_bytes_get_size (chunk->bytes))
        return TRUE;
      direction->n_sent = 0;
      chunk_free (g_queue_pop_head (direction->chunks));
    }
  return TRUE;
}

static void
forward_connection (Proxy *proxy, Connection *connection)
{
  if (proxy->mode == PROXY_RESET || !forward_direction (proxy, &connection->directions[0])
      || !forward_direction (proxy, &connection->directions[1]))
    (void) g_ptr_array_remove_fast (proxy->connections, connection);
}

static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  Connection *connection = data;
  Direction *direction = &connection->directions[connection->directions[0].from == fd ? 0 : 1];
  char buffer[CHUNK_BYTES];
  ssize_t size = recv (fd, buffer, sizeof buffer, 0);

  (void) condition;
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  Chunk *chunk = g_new0 (Chunk, 1);
  chunk->due_us = clk_now_us ();
  if (connection->proxy->mode == PROXY_DELAY)
    chunk->due_us += (int64_t) connection->proxy->delay_ms * CLK_US_PER_MS;
  chunk->bytes = size > 0 ? g_bytes_new (buffer, (gsize) size) : NULL;
  g_queue_push_tail (direction->chunks, chunk);
  if (size <= 0)
    {
      direction->source = 0;
      return G_SOURCE_REMOVE;
    }
  (void) forward_direction (connection->proxy, direction);
  return G_SOURCE_CONTINUE;
}

static void
add_connection (Proxy *proxy, int client, int server)
{
  const int ends[] = { client, server };
  Connection *connection = g_new0 (Connection, 1);

  connection->proxy = proxy;
  for (int i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];
      direction->from = ends[i];
      direction->to = ends[1 - i];
      direction->is_out = i == 0;
      direction->chunks = g_queue_new ();
      direction->source
          = g_unix_fd_add (direction->from, G_IO_IN | G_IO_HUP | G_IO_ERR, on_readable, connection);
    }
  g_ptr_array_add (proxy->connections, connection);
}

static gboolean
on_client (gint fd, GIOCondition condition, gpointer data)
{
  Proxy *proxy = data;
  int client = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void) condition;
  if (client < 0)
    {
      (void) close (server);
      return G_SOURCE_CONTINUE;
    }
  /* On the loopback a connection is established or refused without delay, so this may block. */
  if (connect (server, (const struct sockaddr *) &proxy->server, sizeof proxy->server) != 0)
    {
      (void) close (server);
      (void) close (client);
      return G_SOURCE_CONTINUE;
    }
  (void) fcntl (server, F_SETFL, O_NONBLOCK);
  add_connection (proxy, client, server);
  return G_SOURCE_CONTINUE;
}

/* Returns FALSE when the address can't be listened on. */
static gboolean
open_listener (Proxy *proxy)
{
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *) &proxy->address, sizeof proxy->address) != 0
      || listen (fd, BACKLOG) != 0)
    {
      (void) close (fd);
      return FALSE;
    }
  proxy->listener = fd;
  proxy->source = g_unix_fd_add (fd, G_IO_IN, on_client, proxy);
  return TRUE;
}

static void
close_listener (Proxy *proxy)
{
  if (proxy->listener < 0)
    return;
  g_source_remove (proxy->source);
  (void) close (proxy->listener);
  proxy->listener = -1;
}

static gboolean
on_tick (gpointer data)
{
  Proxy *proxy = data;

  for (guint i = proxy->connections->len; i > 0; i--)
    forward_connection (proxy, g_ptr_array_index (proxy->connections, i - 1));
  if (proxy->mode != PROXY_RESET_AND_REFUSE)
    {
      /* Retried on the next tick while something holds the address. */
      if (proxy->listener < 0)
        (void) open_listener (proxy);
    }
  else if (clk_now_us () >= proxy->refuse_from_us)
    {
      close_listener (proxy);
      g_ptr_array_set_size (proxy->connections, 0);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
set_address (struct sockaddr_in *address, const char *ip, uint16_t port)
{
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (port) };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

Proxy *
proxy_new (const char *ip, const char *server_ip, uint16_t port, GError **error)
{
  Proxy *proxy = g_new0 (Proxy, 1);

  if (!set_address (&proxy->address, ip, port) || !set_address (&proxy->server, server_ip, port)
      || !open_listener (proxy))
    {
      err_set (error, ERR_REFUSED, "cannot listen on %s:%u", ip, port);
      g_free (proxy);
      return NULL;
    }
  proxy->connections = g_ptr_array_new_with_free_func (connection_free);
  proxy->tick = g_timeout_add (TICK_MS, on_tick, proxy);
  return proxy;
}

void
proxy_free (Proxy *proxy)
{
  close_listener (proxy);
  g_source_remove (proxy->tick);
  g_ptr_array_unref (proxy->connections);
  g_free (proxy);
}

void
proxy_set (Proxy *proxy, ProxyMode mode, uint32_t delay_ms)
{
  proxy->mode = mode;
  proxy->delay_ms = delay_ms;
  proxy->refuse_from_us = clk_now_us () + (int64_t) PROXY_PASS_MS * CLK_US_PER_MS;
  /* A listener that can't be opened at once is opened on a tick. */
  if (mode != PROXY_RESET_AND_REFUSE && proxy->listener < 0)
    (void) open_listener (proxy);
}
