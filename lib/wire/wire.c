#include "wire/wire.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <zmq.h>

#include "common/clk.h"
#include "common/err.h"
#include "common/jnl.h"
#include "wire/wire_parse.h"
#include "wire/wire_peers.h"
#include "wire/wire_posts.h"

/** Messages received from one socket before the next one is served. */
#define RECEIVE_BATCH 256
#define PEER_EXPIRY_US (INT64_C (600) * CLK_US_PER_S)
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 2000
/** ZeroMQ heartbeat interval in units of heartbeat_ms. Long, because regular messages usually show
 * that a peer is alive. */
#define HEARTBEAT_PERIODS 4
/** Time without an answer to a heartbeat, in units of heartbeat_ms, before a reconnect. */
#define HEARTBEAT_TIMEOUT_PERIODS 3

/** Connection to a peer that was added with wire_connect(). */
typedef struct
{
  char *name;
  void *socket;
} Dealer;

typedef struct
{
  MetSeries *sent;
  MetSeries *sent_bytes;
  MetSeries *received;
  MetSeries *received_bytes;
  MetSeries *dropped_malformed;
  MetSeries *dropped_replaced;
  MetSeries *dropped_peers_full;
  MetSeries *refused_unknown;
  MetSeries *refused_full;
  MetSeries *refused_large;
  MetSeries *refused_post;
  MetSeries *peers;
} Counters;

struct Wire
{
  WireEvents events;
  uint32_t send_queue_max;
  int64_t timer_ms;
  int64_t heartbeat_ms;
  char id[WIRE_ID_SIZE];
  void *context;
  void *router; /**< NULL for a process that only connects */
  GArray *dealers;
  GPtrArray *names; /**< names of the dealers, NULL-terminated */
  WirePeers *peers;
  WirePosts *posts;
  GByteArray *packed; /**< serialised form of the message being sent */
  Counters counters;
  pthread_t thread;
  gboolean is_started;
  gboolean is_stopped;   /**< the loop thread was joined */
  pthread_t loop_thread; /**< set by the loop thread itself, since thread may be set later */
};

static MetSeries *
counter (MetRegistry *metrics, const char *name, const char *labels, const char *help)
{
  return met_counter (metrics, name, labels, help);
}

static void
make_counters (Wire *wire, MetRegistry *metrics)
{
  static const char dropped[] = "acacia_wire_dropped_total";
  static const char dropped_help[] = "Messages received and dropped, by reason.";
  static const char refused[] = "acacia_wire_refused_total";
  static const char refused_help[] = "Messages and posts not taken, by reason.";
  Counters *counters = &wire->counters;

  counters->sent = counter (metrics, "acacia_wire_sent_total", NULL, "Messages sent.");
  counters->sent_bytes
      = counter (metrics, "acacia_wire_sent_bytes_total", NULL, "Bytes of messages sent.");
  counters->received = counter (metrics, "acacia_wire_received_total", NULL, "Messages received.");
  counters->received_bytes
      = counter (metrics, "acacia_wire_received_bytes_total", NULL, "Bytes of messages received.");
  counters->dropped_malformed = counter (metrics, dropped, "reason=\"malformed\"", dropped_help);
  counters->dropped_replaced = counter (metrics, dropped, "reason=\"replaced\"", dropped_help);
  counters->dropped_peers_full = counter (metrics, dropped, "reason=\"peers_full\"", dropped_help);
  counters->refused_unknown = counter (metrics, refused, "reason=\"unknown_peer\"", refused_help);
  counters->refused_full = counter (metrics, refused, "reason=\"queue_full\"", refused_help);
  counters->refused_large = counter (metrics, refused, "reason=\"too_large\"", refused_help);
  counters->refused_post = counter (metrics, refused, "reason=\"post_full\"", refused_help);
  counters->peers
      = met_gauge (metrics, "acacia_wire_peers", NULL, "Peers heard on the listening socket.");
}

static void
set_option (void *socket, int option, int value)
{
  int rc = zmq_setsockopt (socket, option, &value, sizeof (value));

  g_assert (rc == 0);
}

static void *
make_socket (const Wire *wire, int type)
{
  void *socket = zmq_socket (wire->context, type);
  int64_t max_bytes = WIRE_MESSAGE_MAX;
  int rc;

  g_assert (socket != NULL);
  set_option (socket, ZMQ_LINGER, 0);
  set_option (socket, ZMQ_SNDHWM, (int) wire->send_queue_max);
  set_option (socket, ZMQ_RCVHWM, (int) wire->send_queue_max);
  set_option (socket, ZMQ_HEARTBEAT_IVL, (int) (wire->heartbeat_ms * HEARTBEAT_PERIODS));
  set_option (socket, ZMQ_HEARTBEAT_TIMEOUT,
              (int) (wire->heartbeat_ms * HEARTBEAT_TIMEOUT_PERIODS));
  set_option (socket, ZMQ_HEARTBEAT_TTL,
              (int) (wire->heartbeat_ms * (HEARTBEAT_PERIODS + HEARTBEAT_TIMEOUT_PERIODS)));
  rc = zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof (max_bytes));
  g_assert (rc == 0);
  rc = zmq_setsockopt (socket, ZMQ_ROUTING_ID, wire->id, strlen (wire->id));
  g_assert (rc == 0);
  return socket;
}

static gboolean
listen_on (Wire *wire, const char *address, GError **error)
{
  wire->router = make_socket (wire, ZMQ_ROUTER);
  set_option (wire->router, ZMQ_ROUTER_MANDATORY, 1);
  set_option (wire->router, ZMQ_ROUTER_HANDOVER, 1);
  if (zmq_bind (wire->router, address) == 0)
    return TRUE;
  err_set (error, ERR_REFUSED, "cannot listen on %s: %s", address, zmq_strerror (errno));
  return FALSE;
}

Wire *
wire_new (const WireOptions *options, const WireEvents *events, GError **error)
{
  char id[WIRE_ID_SIZE];

  g_assert (options->timer_ms > 0 && options->heartbeat_ms > 0 && options->send_queue_max > 0);
  if (!wire_id_print (options->name, options->incarnation, id))
    {
      err_set (error, ERR_BAD_CONFIG,
               "invalid process name '%s': expected 1 to %d of A-Z a-z 0-9 . _ -", options->name,
               WIRE_NAME_MAX);
      return NULL;
    }
  WirePosts *posts = wire_posts_new (options->send_queue_max, error);
  if (posts == NULL)
    return NULL;
  Wire *wire = g_new0 (Wire, 1);
  wire->events = *events;
  wire->send_queue_max = options->send_queue_max;
  wire->timer_ms = options->timer_ms;
  wire->heartbeat_ms = options->heartbeat_ms;
  (void) g_strlcpy (wire->id, id, sizeof (wire->id));
  wire->context = zmq_ctx_new ();
  wire->dealers = g_array_new (FALSE, FALSE, sizeof (Dealer));
  wire->names = g_ptr_array_new ();
  g_ptr_array_add (wire->names, NULL);
  wire->peers = wire_peers_new ();
  wire->posts = posts;
  wire->packed = g_byte_array_new ();
  make_counters (wire, options->metrics);
  if (options->listen != NULL && !listen_on (wire, options->listen, error))
    {
      wire_free (wire);
      return NULL;
    }
  return wire;
}

gboolean
wire_connect (Wire *wire, const char *peer_name, const char *address, GError **error)
{
  Dealer dealer = { .socket = make_socket (wire, ZMQ_DEALER) };

  g_assert (!wire->is_started);
  /* Queues nothing for a peer that is not connected, since it would arrive late. */
  set_option (dealer.socket, ZMQ_IMMEDIATE, 1);
  set_option (dealer.socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_option (dealer.socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_option (dealer.socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  if (zmq_connect (dealer.socket, address) != 0)
    {
      err_set (error, ERR_BAD_CONFIG, "cannot connect to %s: %s", address, zmq_strerror (errno));
      (void) zmq_close (dealer.socket);
      return FALSE;
    }
  dealer.name = g_strdup (peer_name);
  g_array_append_val (wire->dealers, dealer);
  g_ptr_array_insert (wire->names, (gint) wire->names->len - 1, dealer.name);
  return TRUE;
}

const char *const *
wire_peers (const Wire *wire)
{
  return (const char *const *) wire->names->pdata;
}

static void *
find_dealer (const Wire *wire, const char *peer)
{
  for (guint i = 0; i < wire->dealers->len; i++)
    {
      const Dealer *dealer = &g_array_index (wire->dealers, Dealer, i);
      if (strcmp (dealer->name, peer) == 0)
        return dealer->socket;
    }
  return NULL;
}

/* Returns TRUE if the payload was queued, else nothing was queued. */
static gboolean
send_packed (Wire *wire, void *socket, const char *id)
{
  if (id != NULL && zmq_send (socket, id, strlen (id), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return FALSE;
  return zmq_send (socket, wire->packed->data, wire->packed->len, ZMQ_DONTWAIT) >= 0;
}

gboolean
wire_send (Wire *wire, const char *peer, const Wire__Envelope *envelope)
{
  void *socket = find_dealer (wire, peer);
  const char *id = NULL;
  size_t size = wire__envelope__get_packed_size (envelope);

  g_assert (pthread_equal (wire->loop_thread, pthread_self ()));
  if (size > WIRE_MESSAGE_MAX)
    {
      met_add (wire->counters.refused_large, 1);
      return FALSE;
    }
  if (socket == NULL)
    {
      socket = wire->router;
      id = wire_peers_id (wire->peers, peer);
    }
  if (socket == NULL || (socket == wire->router && id == NULL))
    {
      met_add (wire->counters.refused_unknown, 1);
      return FALSE;
    }
  g_byte_array_set_size (wire->packed, (guint) size);
  (void) wire__envelope__pack (envelope, wire->packed->data);
  if (!send_packed (wire, socket, id))
    {
      met_add (errno == EHOSTUNREACH ? wire->counters.refused_unknown : wire->counters.refused_full,
               1);
      return FALSE;
    }
  met_add (wire->counters.sent, 1);
  met_add (wire->counters.sent_bytes, size);
  return TRUE;
}

static void
deliver_message (Wire *wire, const char *peer, zmq_msg_t *payload)
{
  g_autoptr (GError) error = NULL;
  Wire__Envelope *envelope = wire_parse (zmq_msg_data (payload), zmq_msg_size (payload), &error);

  if (envelope == NULL)
    {
      met_add (wire->counters.dropped_malformed, 1);
      jnl_event (JNL_DEBUG, "wire", "dropped", "peer=%s reason=\"%s\"", peer, error->message);
      return;
    }
  met_add (wire->counters.received, 1);
  met_add (wire->counters.received_bytes, zmq_msg_size (payload));
  wire->events.on_message (wire->events.ctx, peer, envelope);
  wire_parsed_free (envelope);
}

/* Returns the sender of a message on the listening socket. Returns NULL for a message that must be
 * dropped, and counts it. */
static const char *
sender_of (Wire *wire, zmq_msg_t *id)
{
  const char *name = NULL;
  WirePeerStatus status = wire_peers_note_message (wire->peers, zmq_msg_data (id),
                                                   zmq_msg_size (id), clk_now_us (), &name);

  switch (status)
    {
    case WIRE_PEER_CURRENT:
      break;
    case WIRE_PEER_NEW:
      met_set (wire->counters.peers, wire_peers_count (wire->peers));
      jnl_event (JNL_DEBUG, "wire", "peer_heard", "peer=%s", name);
      break;
    case WIRE_PEER_BAD_ID:
      met_add (wire->counters.dropped_malformed, 1);
      break;
    case WIRE_PEER_REPLACED:
      met_add (wire->counters.dropped_replaced, 1);
      break;
    case WIRE_PEERS_FULL:
      met_add (wire->counters.dropped_peers_full, 1);
      break;
    }
  return name;
}

/* Receives one message and keeps up to two of its parts. Returns the number of parts, 0 when no
 * message is waiting. */
static uint32_t
receive_parts (void *socket, zmq_msg_t parts[2])
{
  uint32_t n_parts = 0;
  gboolean more = TRUE;

  while (more)
    {
      zmq_msg_t extra;
      zmq_msg_t *part = n_parts < 2 ? &parts[n_parts] : &extra;
      if (part == &extra)
        (void) zmq_msg_init (&extra);
      if (zmq_msg_recv (part, socket, ZMQ_DONTWAIT) < 0)
        return n_parts;
      more = zmq_msg_more (part) != 0;
      if (part == &extra)
        (void) zmq_msg_close (&extra);
      n_parts++;
    }
  return n_parts;
}

static gboolean
receive_one (Wire *wire, void *socket, const char *dealer_name)
{
  zmq_msg_t parts[2];
  uint32_t expected = dealer_name != NULL ? 1 : 2;
  uint32_t n_parts;

  (void) zmq_msg_init (&parts[0]);
  (void) zmq_msg_init (&parts[1]);
  n_parts = receive_parts (socket, parts);
  if (n_parts == expected)
    {
      const char *peer = dealer_name != NULL ? dealer_name : sender_of (wire, &parts[0]);
      if (peer != NULL)
        deliver_message (wire, peer, &parts[expected - 1]);
    }
  else if (n_parts > 0)
    {
      met_add (wire->counters.dropped_malformed, 1);
    }
  (void) zmq_msg_close (&parts[0]);
  (void) zmq_msg_close (&parts[1]);
  return n_parts > 0;
}

static void
receive_batch (Wire *wire, void *socket, const char *dealer_name)
{
  uint32_t taken = 0;

  while (taken < RECEIVE_BATCH && receive_one (wire, socket, dealer_name))
    taken++;
}

static void
run_timer (Wire *wire, int64_t now_us)
{
  (void) wire_peers_expire (wire->peers, now_us - PEER_EXPIRY_US);
  met_set (wire->counters.peers, wire_peers_count (wire->peers));
  wire->events.on_timer (wire->events.ctx, now_us);
}

/* Poll items: the queue of posts, each dealer in order, and the listening socket, if any. */
static GArray *
make_poll_items (const Wire *wire)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (zmq_pollitem_t));
  zmq_pollitem_t item = { .fd = wire_posts_fd (wire->posts), .events = ZMQ_POLLIN };

  g_array_append_val (items, item);
  for (guint i = 0; i < wire->dealers->len; i++)
    {
      item.socket = g_array_index (wire->dealers, Dealer, i).socket;
      g_array_append_val (items, item);
    }
  if (wire->router != NULL)
    {
      item.socket = wire->router;
      g_array_append_val (items, item);
    }
  return items;
}

static void
receive_ready (Wire *wire, const GArray *items)
{
  for (guint i = 1; i < items->len; i++)
    {
      const zmq_pollitem_t *item = &g_array_index (items, zmq_pollitem_t, i);
      const char *name = NULL;
      if ((item->revents & ZMQ_POLLIN) == 0)
        continue;
      if (i <= wire->dealers->len)
        name = g_array_index (wire->dealers, Dealer, i - 1).name;
      receive_batch (wire, item->socket, name);
    }
}

static void *
run_loop (void *data)
{
  Wire *wire = data;
  g_autoptr (GArray) items = make_poll_items (wire);
  int64_t due_us = clk_now_us ();
  gboolean stopped = FALSE;

  wire->loop_thread = pthread_self ();
  while (!stopped)
    {
      int64_t wait_us = due_us - clk_now_us ();
      long wait_ms = wait_us <= 0 ? 0 : (long) ((wait_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS);
      if (zmq_poll ((zmq_pollitem_t *) (void *) items->data, (int) items->len, wait_ms) < 0)
        g_assert (errno == EINTR);
      stopped = wire_posts_run (wire->posts);
      receive_ready (wire, items);
      int64_t now_us = clk_now_us ();
      if (now_us < due_us)
        continue;
      run_timer (wire, now_us);
      due_us = now_us + wire->timer_ms * CLK_US_PER_MS;
    }
  return NULL;
}

void
wire_start (Wire *wire)
{
  int rc;

  g_assert (!wire->is_started);
  wire->is_started = TRUE;
  rc = pthread_create (&wire->thread, NULL, run_loop, wire);
  g_assert (rc == 0);
}

void
wire_stop (Wire *wire)
{
  if (wire->is_stopped)
    return;
  wire->is_stopped = TRUE;
  wire_posts_close (wire->posts);
  if (wire->is_started)
    (void) pthread_join (wire->thread, NULL);
  else
    (void) wire_posts_run (wire->posts);
  wire->loop_thread = pthread_self ();
}

void
wire_free (Wire *wire)
{
  if (wire == NULL)
    return;
  wire_stop (wire);
  for (guint i = 0; i < wire->dealers->len; i++)
    {
      Dealer *dealer = &g_array_index (wire->dealers, Dealer, i);
      (void) zmq_close (dealer->socket);
      g_free (dealer->name);
    }
  if (wire->router != NULL)
    (void) zmq_close (wire->router);
  (void) zmq_ctx_term (wire->context);
  g_array_unref (wire->dealers);
  g_ptr_array_unref (wire->names);
  wire_peers_free (wire->peers);
  wire_posts_free (wire->posts);
  g_byte_array_unref (wire->packed);
  g_free (wire);
}

gboolean
wire_post (Wire *wire, void (*function) (void *ctx, void *data), void *ctx, void *data)
{
  if (wire_posts_add (wire->posts, function, ctx, data))
    return TRUE;
  met_add (wire->counters.refused_post, 1);
  return FALSE;
}
