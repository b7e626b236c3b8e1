#include "net/net_client.h"

#include <curl/curl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "net/net_sockets.h"

/** Allows for one lost SYN, which is retransmitted after a second. */
#define CONNECT_TIMEOUT_MS 1200L
/** Size of the connection cache. */
#define CONNECTIONS_MAX 64L
/** Open connections to one address. More calls than a worker of 32 cores has tasks of 0.37 cores.
 */
#define ADDRESS_CONNECTIONS_MAX ((long) NET_CLIENT_CONNECTIONS_MAX)

struct NetClient
{
  CURLM *multi;
  guint timer;
  GHashTable *calls;   /**< Call, as a set */
  GHashTable *sources; /**< socket -> source id */
  NetSockets *sockets; /**< of open connections */
};

typedef struct
{
  NetClient *client;
  CURL *easy;
  struct curl_slist *headers;
  GByteArray *body;   /**< body of the request */
  GByteArray *answer; /**< body of the answer */
  int64_t timeout_us;
  int64_t begun_us;
  int64_t progress_us;       /**< when a byte was last sent or received */
  curl_off_t progress_bytes; /**< bytes sent and received until then */
  guint timer;
  gboolean is_safe;     /**< may be sent again */
  uint16_t port;        /**< local port of its connection; 0: it has none yet */
  gboolean was_started; /**< a connection was there, and the request may have left over it */
  NetDone done;
  GDestroyNotify drop; /**< frees ctx if done is never called; NULL for none */
  void *ctx;
} Call;

static void
call_free (gpointer data)
{
  Call *call = data;

  if (call->drop != NULL)
    call->drop (call->ctx);
  g_clear_handle_id (&call->timer, g_source_remove);
  (void) curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_byte_array_unref (call->body);
  g_byte_array_unref (call->answer);
  g_free (call);
}

/* libcurl calls this before each transmission of a request, also before those that it repeats over
 * a new connection because the old one broke. */
static int
on_transmission (void *data, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
  Call *call = data;

  (void) peer_ip;
  (void) own_ip;
  (void) peer_port;
  call->port = (uint16_t) own_port;
  if (call->was_started && !call->is_safe)
    return CURL_PREREQFUNC_ABORT;
  call->was_started = TRUE;
  return CURL_PREREQFUNC_OK;
}

static const char *
failure_reason (CURLcode code)
{
  return code == CURLE_ABORTED_BY_CALLBACK ? "the connection broke before an answer"
                                           : curl_easy_strerror (code);
}

static void
finish (Call *call, CURLcode code)
{
  long status = 0;
  NetAnswer answer = { 0 };

  if (code == CURLE_OK)
    {
      (void) curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      answer.status = (uint32_t) status;
    }
  else
    {
      answer.may_have_run = call->was_started;
      answer.reason = failure_reason (code);
    }
  const guint8 zero = 0;
  answer.size = call->answer->len;
  g_byte_array_append (call->answer, &zero, 1);
  answer.body = (const char *) call->answer->data;
  g_hash_table_steal (call->client->calls, call);
  call->drop = NULL;
  call->done (call->ctx, &answer);
  call_free (call);
}

static void
finish_completed (NetClient *client)
{
  CURLMsg *message;
  int left = 0;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      Call *call = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode code = message->data.result;
      (void) curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      finish (call, code);
    }
}

static gboolean
on_socket_ready (gint fd, GIOCondition condition, gpointer data)
{
  NetClient *client = data;
  int running = 0;
  int bits = 0;

  if ((condition & G_IO_IN) != 0)
    bits |= CURL_CSELECT_IN;
  if ((condition & G_IO_OUT) != 0)
    bits |= CURL_CSELECT_OUT;
  if ((condition & (G_IO_ERR | G_IO_HUP)) != 0)
    bits |= CURL_CSELECT_ERR;
  (void) curl_multi_socket_action (client->multi, fd, bits, &running);
  finish_completed (client);
  return G_SOURCE_CONTINUE;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  NetClient *client = data;
  gpointer key = GINT_TO_POINTER (fd);
  guint source = GPOINTER_TO_UINT (g_hash_table_lookup (client->sources, key));
  int condition = G_IO_ERR | G_IO_HUP;

  (void) easy;
  (void) socket_data;
  if (source != 0)
    g_source_remove (source);
  g_hash_table_remove (client->sources, key);
  if (what == CURL_POLL_REMOVE)
    return 0;
  if ((what & CURL_POLL_IN) != 0)
    condition |= G_IO_IN;
  if ((what & CURL_POLL_OUT) != 0)
    condition |= G_IO_OUT;
  source = g_unix_fd_add (fd, (GIOCondition) condition, on_socket_ready, client);
  g_hash_table_insert (client->sources, key, GUINT_TO_POINTER (source));
  return 0;
}

static gboolean
on_timer (gpointer data)
{
  NetClient *client = data;
  int running = 0;

  client->timer = 0;
  (void) curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (client);
  return G_SOURCE_REMOVE;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *data)
{
  NetClient *client = data;

  (void) multi;
  if (client->timer != 0)
    g_source_remove (client->timer);
  client->timer = 0;
  if (timeout_ms >= 0)
    client->timer = g_timeout_add ((guint) timeout_ms, on_timer, client);
  return 0;
}

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  Call *call = user;

  g_byte_array_append (call->answer, (const guint8 *) data, (guint) (size * count));
  return size * count;
}

static int
on_progress (void *data, curl_off_t down_all, curl_off_t down, curl_off_t up_all, curl_off_t up)
{
  Call *call = data;

  (void) down_all;
  (void) up_all;
  if (down + up <= call->progress_bytes)
    return 0;
  call->progress_bytes = down + up;
  call->progress_us = clk_now_us ();
  return 0;
}

static curl_socket_t
open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  NetClient *client = data;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);

  (void) purpose;
  if (fd >= 0)
    net_sockets_add (client->sockets, fd, clk_now_us ());
  return fd >= 0 ? fd : CURL_SOCKET_BAD;
}

static int
close_socket (void *data, curl_socket_t fd)
{
  NetClient *client = data;

  net_sockets_remove (client->sockets, fd);
  return close (fd);
}

static gboolean
is_port_used (const void *ctx, uint16_t port)
{
  const NetClient *client = ctx;
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (((const Call *) key)->port == port)
        return TRUE;
    }
  return FALSE;
}

static void check_timeout (Call *call);

static gboolean
on_timeout_check (gpointer data)
{
  Call *call = data;

  call->timer = 0;
  check_timeout (call);
  return G_SOURCE_REMOVE;
}

/* Ends the call when a time-out has passed, otherwise schedules the next check. */
static void
check_timeout (Call *call)
{
  int64_t end_us = MIN (call->progress_us + call->timeout_us,
                        call->begun_us + call->timeout_us * NET_CLIENT_TIMEOUTS_MAX);
  int64_t left_us = end_us - clk_now_us ();

  if (left_us <= 0)
    {
      if (call->port != 0)
        (void) net_sockets_drop_silent (call->client->sockets, call->port, call->begun_us,
                                        is_port_used, call->client);
      finish (call, CURLE_OPERATION_TIMEDOUT);
    }
  else
    call->timer = g_timeout_add ((guint) ((left_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS),
                                 on_timeout_check, call);
}

NetClient *
net_client_new (void)
{
  NetClient *client = g_new0 (NetClient, 1);

  (void) curl_global_init (CURL_GLOBAL_NOTHING);
  client->multi = curl_multi_init ();
  client->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  client->sources = g_hash_table_new (NULL, NULL);
  client->sockets = net_sockets_new ();
  (void) curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  (void) curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  (void) curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  (void) curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  (void) curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
  (void) curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, ADDRESS_CONNECTIONS_MAX);
  return client;
}

void
net_client_free (NetClient *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->calls);
  (void) curl_multi_cleanup (client->multi);
  if (client->timer != 0)
    g_source_remove (client->timer);
  g_hash_table_destroy (client->sources);
  net_sockets_free (client->sockets);
  g_free (client);
}

static void
set_headers (Call *call, const NetCall *wanted)
{
  /* Disables libcurl's wait for "100 Continue" before it sends a larger body. */
  call->headers = curl_slist_append (NULL, "Expect:");
  if (wanted->content_type != NULL)
    {
      g_autofree char *type = g_strdup_printf ("Content-Type: %s", wanted->content_type);
      call->headers = curl_slist_append (call->headers, type);
    }
  for (const char *const *header = wanted->headers; header != NULL && *header != NULL; header++)
    call->headers = curl_slist_append (call->headers, *header);
  (void) curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

void
net_client_call (
    NetClient *client, const NetCall *wanted, NetDone done, GDestroyNotify drop, void *ctx)
{
  Call *call = g_new0 (Call, 1);
  CURL *easy = curl_easy_init ();

  call->client = client;
  call->easy = easy;
  call->done = done;
  call->drop = drop;
  call->ctx = ctx;
  call->is_safe = strcmp (wanted->method, "GET") == 0;
  call->body = g_byte_array_new ();
  call->answer = g_byte_array_new ();
  if (wanted->size > 0)
    g_byte_array_append (call->body, wanted->body, (guint) wanted->size);
  (void) curl_easy_setopt (easy, CURLOPT_URL, wanted->url);
  (void) curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  (void) curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  (void) curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  (void) curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_NOPROGRESS, 0L);
  (void) curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, on_progress);
  (void) curl_easy_setopt (easy, CURLOPT_XFERINFODATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_transmission);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  (void) curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, client);
  (void) curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  (void) curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, client);
  (void) curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  (void) curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  (void) curl_easy_setopt (easy, CURLOPT_PROXY, "");
  if (!call->is_safe)
    {
      (void) curl_easy_setopt (easy, CURLOPT_POST, 1L);
      (void) curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, wanted->method);
      (void) curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) call->body->len);
      (void) curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                               call->body->len > 0 ? (const char *) call->body->data : "");
    }
  set_headers (call, wanted);
  call->timeout_us = wanted->timeout_ms * CLK_US_PER_MS;
  call->begun_us = clk_now_us ();
  call->progress_us = call->begun_us;
  g_hash_table_add (client->calls, call);
  check_timeout (call);
  (void) curl_multi_add_handle (client->multi, easy);
}
