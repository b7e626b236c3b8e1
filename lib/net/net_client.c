#include "net/net_client.h"

#include <curl/curl.h>
#include <string.h>

#include "common/clk.h"
#include "net/net_pool.h"

/** Allows for one lost SYN, which is retransmitted after a second. */
#define CONNECT_TIMEOUT_MS 1200L
/** Connections to one peer that are kept open without a call. */
#define IDLE_CONNECTIONS_MAX 64
/** New connections to a peer that are allowed however many replaced ones are still in use. */
#define NEW_CONNECTIONS_MIN 16
/** Peers without a call are forgotten, and their connections closed, beyond this number. */
#define PEERS_MAX 64

/** An address that is called. A call uses connections of the peer's newest pool only. */
typedef struct
{
  char *name;          /**< host:port */
  uint64_t generation; /**< how often the pool was replaced */
  NetPool *pool;
  GPtrArray *replaced; /**< earlier NetPool with calls under way */
} Peer;

struct NetClient
{
  GHashTable *calls; /**< Call, as a set */
  GHashTable *peers; /**< name -> Peer */
  NetClientTimedOut timed_out;
  void *ctx;
};

typedef struct
{
  NetClient *client;
  Peer *peer;
  NetPool *pool;       /**< a reference */
  uint64_t generation; /**< of the peer's connections when the call began */
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
  gboolean was_started; /**< a connection was there, and the request may have left over it */
  NetDone done;
  GDestroyNotify drop; /**< frees ctx if done is never called; NULL for none */
  void *ctx;
} Call;

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  net_pool_unref (peer->pool);
  g_ptr_array_unref (peer->replaced);
  g_free (peer->name);
  g_free (peer);
}

static void
unref_pool (gpointer data)
{
  net_pool_unref (data);
}

/* Counts connections of replaced pools, so that a peer does not get a multiple of the limit. */
static void
limit_connections (const Peer *peer)
{
  uint32_t n_replaced = 0;

  for (guint i = 0; i < peer->replaced->len; i++)
    n_replaced += net_pool_connections (g_ptr_array_index (peer->replaced, i));
  n_replaced = MIN (n_replaced, NET_CLIENT_CONNECTIONS_MAX - NEW_CONNECTIONS_MIN);
  net_pool_set_limit (peer->pool, NET_CLIENT_CONNECTIONS_MAX - n_replaced);
}

/* Closes the connections of a replaced pool after its last call. */
static void
drop_unused (Peer *peer, NetPool *pool)
{
  if (pool != peer->pool && net_pool_transfers (pool) == 0
      && g_ptr_array_remove_fast (peer->replaced, pool))
    limit_connections (peer);
}

static void
call_free (gpointer data)
{
  Call *call = data;

  if (call->drop != NULL)
    call->drop (call->ctx);
  g_clear_handle_id (&call->timer, g_source_remove);
  net_pool_remove (call->pool, call->easy);
  drop_unused (call->peer, call->pool);
  net_pool_unref (call->pool);
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
  (void) own_port;
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
on_ended (void *transfer, CURLcode code)
{
  finish (transfer, code);
}

static NetPool *
pool_new (void)
{
  const NetPoolOptions options = { .idle_max = IDLE_CONNECTIONS_MAX, .ended = on_ended };

  return net_pool_new (&options);
}

/* Leaves the connections of the peer to the calls that are under way; the next call opens a new
 * one. */
static void
replace_connections (Peer *peer)
{
  g_ptr_array_add (peer->replaced, peer->pool);
  peer->pool = pool_new ();
  peer->generation++;
  limit_connections (peer);
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

static void schedule_check (Call *call);

/* Other connections may have gone silent with the one of the call. Which of them, or whether the
 * call had one at all, is not known for sure, so all are replaced. */
static void
time_out (Call *call)
{
  Peer *peer = call->peer;
  const NetTimeout timeout = { .peer = peer->name,
                               .generation = call->generation,
                               .has_replaced = call->pool == peer->pool,
                               .was_started = call->was_started,
                               .n_connections = net_pool_connections (call->pool),
                               .n_others = net_pool_transfers (call->pool) - 1,
                               .waited_ms = (clk_now_us () - call->begun_us) / CLK_US_PER_MS };

  if (timeout.has_replaced)
    replace_connections (peer);
  if (call->client->timed_out != NULL)
    call->client->timed_out (call->client->ctx, &timeout);
  finish (call, CURLE_OPERATION_TIMEDOUT);
}

static int64_t
time_left_us (const Call *call)
{
  int64_t end_us = MIN (call->progress_us + call->timeout_us,
                        call->begun_us + call->timeout_us * NET_CLIENT_TIMEOUTS_MAX);

  return end_us - clk_now_us ();
}

static gboolean
on_check (gpointer data)
{
  Call *call = data;

  call->timer = 0;
  if (time_left_us (call) <= 0)
    time_out (call);
  else
    schedule_check (call);
  return G_SOURCE_REMOVE;
}

static void
schedule_check (Call *call)
{
  int64_t left_us = MAX (time_left_us (call), 0);

  call->timer
      = g_timeout_add ((guint) ((left_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS), on_check, call);
}

NetClient *
net_client_new (void)
{
  NetClient *client = g_new0 (NetClient, 1);

  (void) curl_global_init (CURL_GLOBAL_NOTHING);
  client->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  client->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  return client;
}

void
net_client_free (NetClient *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->calls);
  g_hash_table_destroy (client->peers);
  g_free (client);
}

void
net_client_on_timeout (NetClient *client, NetClientTimedOut timed_out, void *ctx)
{
  client->timed_out = timed_out;
  client->ctx = ctx;
}

static gboolean
has_no_call (gpointer key, gpointer value, gpointer ctx)
{
  const Peer *peer = value;

  (void) key;
  (void) ctx;
  return net_pool_transfers (peer->pool) == 0 && peer->replaced->len == 0;
}

/* The peer that the URL names, as host:port; it is created on first use. */
static Peer *
find_peer (NetClient *client, const char *url)
{
  const char *begin = strstr (url, "://");
  begin = begin != NULL ? begin + strlen ("://") : url;
  g_autofree char *name = g_strndup (begin, strcspn (begin, "/?#"));
  Peer *peer = g_hash_table_lookup (client->peers, name);

  if (peer != NULL)
    return peer;
  if (g_hash_table_size (client->peers) >= PEERS_MAX)
    (void) g_hash_table_foreach_remove (client->peers, has_no_call, NULL);
  peer = g_new0 (Peer, 1);
  peer->name = g_steal_pointer (&name);
  peer->pool = pool_new ();
  peer->replaced = g_ptr_array_new_with_free_func (unref_pool);
  limit_connections (peer);
  g_hash_table_insert (client->peers, peer->name, peer);
  return peer;
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
  call->peer = find_peer (client, wanted->url);
  call->pool = net_pool_ref (call->peer->pool);
  call->generation = call->peer->generation;
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
  (void) curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  (void) curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_NOPROGRESS, 0L);
  (void) curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, on_progress);
  (void) curl_easy_setopt (easy, CURLOPT_XFERINFODATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_transmission);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
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
  net_pool_add (call->pool, easy, call);
  schedule_check (call);
}
