#include "net/net_pool.h"

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

struct NetPool
{
  NetPoolOptions options;
  uint32_t n_refs;
  CURLM *multi;
  guint timer;
  GHashTable *sources; /**< socket -> source id */
  uint32_t n_transfers;
  uint32_t n_connections;
};

static void
report_ended (NetPool *pool)
{
  CURLMsg *message;
  int left = 0;

  (void) net_pool_ref (pool);
  while ((message = curl_multi_info_read (pool->multi, &left)) != NULL)
    {
      void *transfer = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode code = message->data.result;
      (void) curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      pool->options.ended (transfer, code);
    }
  net_pool_unref (pool);
}

static gboolean
on_socket_ready (gint fd, GIOCondition condition, gpointer data)
{
  NetPool *pool = data;
  int running = 0;
  int bits = 0;

  if ((condition & G_IO_IN) != 0)
    bits |= CURL_CSELECT_IN;
  if ((condition & G_IO_OUT) != 0)
    bits |= CURL_CSELECT_OUT;
  if ((condition & (G_IO_ERR | G_IO_HUP)) != 0)
    bits |= CURL_CSELECT_ERR;
  (void) curl_multi_socket_action (pool->multi, fd, bits, &running);
  report_ended (pool);
  return G_SOURCE_CONTINUE;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  NetPool *pool = data;
  gpointer key = GINT_TO_POINTER (fd);
  guint source = GPOINTER_TO_UINT (g_hash_table_lookup (pool->sources, key));
  int condition = G_IO_ERR | G_IO_HUP;

  (void) easy;
  (void) socket_data;
  if (source != 0)
    g_source_remove (source);
  g_hash_table_remove (pool->sources, key);
  if (what == CURL_POLL_REMOVE)
    return 0;
  if ((what & CURL_POLL_IN) != 0)
    condition |= G_IO_IN;
  if ((what & CURL_POLL_OUT) != 0)
    condition |= G_IO_OUT;
  source = g_unix_fd_add (fd, (GIOCondition) condition, on_socket_ready, pool);
  g_hash_table_insert (pool->sources, key, GUINT_TO_POINTER (source));
  return 0;
}

static gboolean
on_timer (gpointer data)
{
  NetPool *pool = data;
  int running = 0;

  pool->timer = 0;
  (void) curl_multi_socket_action (pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  report_ended (pool);
  return G_SOURCE_REMOVE;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *data)
{
  NetPool *pool = data;

  (void) multi;
  g_clear_handle_id (&pool->timer, g_source_remove);
  if (timeout_ms >= 0)
    pool->timer = g_timeout_add ((guint) timeout_ms, on_timer, pool);
  return 0;
}

static curl_socket_t
open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  NetPool *pool = data;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);

  (void) purpose;
  if (fd < 0)
    return CURL_SOCKET_BAD;
  pool->n_connections++;
  return fd;
}

static int
close_socket (void *data, curl_socket_t fd)
{
  NetPool *pool = data;

  pool->n_connections--;
  return close (fd);
}

NetPool *
net_pool_new (const NetPoolOptions *options)
{
  NetPool *pool = g_new0 (NetPool, 1);

  g_assert (options->ended != NULL);
  pool->options = *options;
  pool->n_refs = 1;
  pool->multi = curl_multi_init ();
  pool->sources = g_hash_table_new (NULL, NULL);
  (void) curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  (void) curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
  (void) curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  (void) curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
  (void) curl_multi_setopt (pool->multi, CURLMOPT_MAXCONNECTS, (long) options->idle_max);
  return pool;
}

NetPool *
net_pool_ref (NetPool *pool)
{
  pool->n_refs++;
  return pool;
}

void
net_pool_unref (NetPool *pool)
{
  if (--pool->n_refs > 0)
    return;
  g_assert (pool->n_transfers == 0);
  /* Closes the connections, which calls back. */
  (void) curl_multi_cleanup (pool->multi);
  g_clear_handle_id (&pool->timer, g_source_remove);
  g_hash_table_destroy (pool->sources);
  g_free (pool);
}

void
net_pool_add (NetPool *pool, CURL *easy, void *transfer)
{
  (void) curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  (void) curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  (void) curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, pool);
  (void) curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  (void) curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, pool);
  pool->n_transfers++;
  (void) curl_multi_add_handle (pool->multi, easy);
}

void
net_pool_remove (NetPool *pool, CURL *easy)
{
  (void) curl_multi_remove_handle (pool->multi, easy);
  pool->n_transfers--;
}

void
net_pool_set_limit (NetPool *pool, uint32_t connections_max)
{
  (void) curl_multi_setopt (pool->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long) connections_max);
}

uint32_t
net_pool_transfers (const NetPool *pool)
{
  return pool->n_transfers;
}

uint32_t
net_pool_connections (const NetPool *pool)
{
  return pool->n_connections;
}
