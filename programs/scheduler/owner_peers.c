/* The owner's connections to agents, which share one socket. */
#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "supervisor/report_flow.h"
#include "net/net_link.h"
#include "owner_private.h"

G_STATIC_ASSERT (2 * SCHED_ORDER_BYTES_MAX < NET_LINK_MESSAGE_MAX);

struct Peers
{
  Owner *owner;
  NetLinks *links;
  NetLink *link;       /**< NULL while there is no peer */
  GHashTable *by_name; /**< agent name -> Peer, owned */
  GHashTable *by_id;   /**< link id -> Peer, borrowed */
  MetSeries *unsent;
  MetSeries *too_large;
  MetSeries *renewed;
};

typedef struct
{
  char *name;
  char *address;
  GBytes *id;          /**< NULL if the address is not usable */
  int64_t received_us; /**< when its newest message was received, or when it was connected */
  int64_t sent_us;     /**< when the newest message was sent */
} Peer;

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  g_clear_pointer (&peer->id, g_bytes_unref);
  g_free (peer->name);
  g_free (peer->address);
  g_free (peer);
}

Peers *
peers_new (Owner *owner)
{
  Peers *peers = g_new0 (Peers, 1);
  MetRegistry *metrics = node_metrics (owner->entry->node);

  peers->owner = owner;
  peers->links = net_links_new ();
  peers->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  peers->by_id = g_hash_table_new (g_bytes_hash, g_bytes_equal);
  peers->unsent = met_counter (metrics, "acacia_orders_unsent_total", NULL,
                               "Messages that a connection to an agent did not take");
  peers->too_large = met_counter (metrics, "acacia_orders_too_large_total", NULL,
                                  "Messages to agents over the size that these accept");
  peers->renewed = met_counter (metrics, "acacia_peers_renewed_total", NULL,
                                "Silent connections to agents that were made anew");
  return peers;
}

void
peers_free (Peers *peers)
{
  if (peers == NULL)
    return;
  peers_clear (peers);
  g_hash_table_destroy (peers->by_id);
  g_hash_table_destroy (peers->by_name);
  net_links_free (peers->links);
  g_free (peers);
}

void
peers_clear (Peers *peers)
{
  g_hash_table_remove_all (peers->by_id);
  g_hash_table_remove_all (peers->by_name);
  g_clear_pointer (&peers->link, net_link_free);
}

uint32_t
peers_count (const Peers *peers)
{
  return g_hash_table_size (peers->by_name);
}

static void
on_message (void *ctx, GBytes *id, const uint8_t *data, size_t size)
{
  Peers *peers = ctx;
  Peer *peer = g_hash_table_lookup (peers->by_id, id);

  if (peer == NULL)
    return;
  peer->received_us = clk_now_us ();
  owner_handle_report (peers->owner, peer->name, data, size);
}

static void
disconnect (Peers *peers, Peer *peer)
{
  if (peer->id == NULL)
    return;
  (void) g_hash_table_remove (peers->by_id, peer->id);
  g_clear_pointer (&peer->id, g_bytes_unref);
  net_link_drop_peer (peers->link, peer->address);
}

static void
connect_peer (Peers *peers, Peer *peer)
{
  g_autoptr (GError) error = NULL;

  if (peers->link == NULL)
    peers->link = net_link_open (peers->links, on_message, peers);
  peer->received_us = clk_now_us ();
  peer->id = net_link_add_peer (peers->link, peer->address, &error);
  if (peer->id == NULL)
    line_add ("owner", "agent_unreachable", "agent=%s error=\"%s\"", peer->name, error->message);
  else
    g_hash_table_insert (peers->by_id, peer->id, peer);
}

void
peers_remove (Peers *peers, const char *name)
{
  Peer *peer = g_hash_table_lookup (peers->by_name, name);

  if (peer == NULL)
    return;
  disconnect (peers, peer);
  (void) g_hash_table_remove (peers->by_name, name);
}

void
peers_add (Peers *peers, const char *name, const char *address)
{
  const Peer *known = g_hash_table_lookup (peers->by_name, name);

  if (known != NULL && strcmp (known->address, address) == 0)
    return;
  peers_remove (peers, name);
  Peer *peer = g_new0 (Peer, 1);
  peer->name = g_strdup (name);
  peer->address = g_strdup (address);
  g_hash_table_insert (peers->by_name, peer->name, peer);
  connect_peer (peers, peer);
}

/* Reconnects an agent that went silent. A connection can stop working without a reset. */
static void
reconnect_if_silent (Peers *peers, Peer *peer)
{
  int64_t silent_us = clk_now_us () - peer->received_us;

  if (silent_us < NET_LINK_PEER_TIMEOUT_MS * CLK_US_PER_MS)
    return;
  met_add (peers->renewed, 1);
  disconnect (peers, peer);
  connect_peer (peers, peer);
}

static NetLinkResult
send_message (const Peers *peers, const Peer *peer, const Batch__Orders *orders)
{
  size_t size = batch__orders__get_packed_size (orders);
  g_autofree uint8_t *bytes = g_malloc (size);

  (void) batch__orders__pack (orders, bytes);
  if (peer->id == NULL)
    return NET_LINK_NOT_SENT;
  NetLinkResult result = net_link_send (peers->link, peer->id, bytes, size);
  if (result == NET_LINK_TOO_LARGE)
    {
      met_add (peers->too_large, 1);
      line_add ("owner", "orders_too_large", "agent=%s orders=%zu bytes=%zu bytes_max=%d",
                peer->name, orders->n_orders, size, NET_LINK_MESSAGE_MAX);
    }
  return result;
}

/* The message also holds the lease of what runs there, which is sent even if the orders cannot be.
 */
static void
send_orders (const Peers *peers, Peer *peer, Batch__Orders *orders)
{
  size_t n_orders = orders->n_orders;

  peer->sent_us = clk_now_us ();
  NetLinkResult result = send_message (peers, peer, orders);
  if (result == NET_LINK_SENT)
    return;
  if (result == NET_LINK_TOO_LARGE)
    {
      orders->n_orders = 0;
      (void) send_message (peers, peer, orders);
    }
  met_add (peers->unsent, 1);
  if (n_orders > 0)
    line_add ("owner", "orders_not_sent", "agent=%s orders=%zu", peer->name, n_orders);
}

static void
init_orders (const Peers *peers, Batch__Orders *orders)
{
  const Owner *owner = peers->owner;
  const NodeSettings *settings = owner->entry->settings;

  batch__orders__init (orders);
  orders->epoch = (uint64_t) owner->epoch;
  orders->owner = settings->name;
  orders->report_gap_ms
      = report_flow_gap_ms (peers_count (peers), node_settings_fraction (settings->cpu_share, 1.0));
}

void
peers_send_orders (Peers *peers)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Peer *peer = value;
      Batch__Orders orders;
      init_orders (peers, &orders);
      /* An agent can report to this owner only after it received a message from it. */
      if (sched_orders (peers->owner->sched, peer->name, &orders)
          || clk_now_us () - peer->sent_us >= OWNER_RENEW_MS * CLK_US_PER_MS)
        send_orders (peers, peer, &orders);
      reconnect_if_silent (peers, peer);
    }
}
