#include "net/net_sockets.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

struct NetSockets
{
  GHashTable *opened; /**< socket -> time when it was opened, a gint64 */
};

typedef struct
{
  uint16_t port; /**< of its own end */
  struct sockaddr_storage peer;
  socklen_t peer_size;
} Ends;

NetSockets *
net_sockets_new (void)
{
  NetSockets *sockets = g_new0 (NetSockets, 1);

  sockets->opened = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return sockets;
}

void
net_sockets_free (NetSockets *sockets)
{
  if (sockets == NULL)
    return;
  g_hash_table_destroy (sockets->opened);
  g_free (sockets);
}

void
net_sockets_add (NetSockets *sockets, int fd, int64_t now_us)
{
  int64_t *opened_us = g_new (int64_t, 1);

  *opened_us = now_us;
  g_hash_table_replace (sockets->opened, GINT_TO_POINTER (fd), opened_us);
}

void
net_sockets_remove (NetSockets *sockets, int fd)
{
  (void) g_hash_table_remove (sockets->opened, GINT_TO_POINTER (fd));
}

/* Returns FALSE for a socket that is not connected. */
static gboolean
read_ends (int fd, Ends *ends)
{
  struct sockaddr_storage own = { 0 };
  socklen_t size = sizeof own;

  *ends = (Ends){ .peer_size = sizeof ends->peer };
  if (getsockname (fd, (struct sockaddr *) &own, &size) != 0
      || getpeername (fd, (struct sockaddr *) &ends->peer, &ends->peer_size) != 0)
    return FALSE;
  if (own.ss_family == AF_INET)
    ends->port = ntohs (((const struct sockaddr_in *) &own)->sin_port);
  else if (own.ss_family == AF_INET6)
    ends->port = ntohs (((const struct sockaddr_in6 *) &own)->sin6_port);
  return ends->port != 0;
}

static gboolean
have_same_peer (const Ends *one, const Ends *other)
{
  return one->peer_size == other->peer_size
         && memcmp (&one->peer, &other->peer, one->peer_size) == 0;
}

/* Finds the ends of the connection with the local port, if it was opened before the time. */
static gboolean
find_silent (const NetSockets *sockets, uint16_t port, int64_t before_us, Ends *found)
{
  GHashTableIter iter;
  gpointer fd = NULL;
  gpointer opened_us = NULL;

  g_hash_table_iter_init (&iter, sockets->opened);
  while (g_hash_table_iter_next (&iter, &fd, &opened_us))
    {
      if (*(const int64_t *) opened_us < before_us && read_ends (GPOINTER_TO_INT (fd), found)
          && found->port == port)
        return TRUE;
    }
  return FALSE;
}

uint32_t
net_sockets_drop_silent (
    NetSockets *sockets, uint16_t port, int64_t begun_us, NetSocketsIsUsed is_used, const void *ctx)
{
  GHashTableIter iter;
  gpointer fd = NULL;
  gpointer opened_us = NULL;
  uint32_t n_dropped = 0;
  Ends silent;
  Ends ends;

  if (!find_silent (sockets, port, begun_us, &silent))
    return 0;
  g_hash_table_iter_init (&iter, sockets->opened);
  while (g_hash_table_iter_next (&iter, &fd, &opened_us))
    {
      if (*(const int64_t *) opened_us >= begun_us || !read_ends (GPOINTER_TO_INT (fd), &ends)
          || ends.port == port || !have_same_peer (&ends, &silent) || is_used (ctx, ends.port))
        continue;
      /* Its owner finds it closed before the next request over it. */
      (void) shutdown (GPOINTER_TO_INT (fd), SHUT_RDWR);
      g_hash_table_iter_remove (&iter);
      n_dropped++;
    }
  return n_dropped;
}
