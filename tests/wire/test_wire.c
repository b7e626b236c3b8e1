#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <pthread.h>
#include <zmq.h>

#include "common/clk.h"
#include "common/err.h"
#include "wire/free_address.h"
#include "wire/wire.h"
#include "wire/wire_parse.h"
#include "wire/wire_peers.h"

#define WAIT_US (INT64_C (5) * CLK_US_PER_S)
#define POLL_US 2000
#define QUEUE_MAX 64

/** Where the listening end of each test is; found at the start. */
static char *hub_address;

/** One end of the wire and what its loop thread has seen. */
typedef struct
{
  MetRegistry *metrics;
  Wire *wire;
  pthread_mutex_t mutex;
  GPtrArray *heard; /**< "peer:seq" of each digest; guarded by mutex, as are the others */
  uint32_t n_sent;
  uint32_t n_refused;
  uint32_t n_posts;
} End;

typedef struct
{
  End *end;
  const char *peer;
  uint64_t first;
  uint32_t n;
  size_t padding;
} Sending;

static void
note_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  End *end = ctx;

  pthread_mutex_lock (&end->mutex);
  if (envelope->body_case == WIRE__ENVELOPE__BODY_DIGEST)
    g_ptr_array_add (end->heard,
                     g_strdup_printf ("%s:%" G_GUINT64_FORMAT, peer, envelope->digest->seq));
  pthread_mutex_unlock (&end->mutex);
}

static void
ignore_timer (void *ctx, int64_t now_us)
{
  (void) ctx;
  (void) now_us;
}

static Wire *
make_wire (End *end, const char *name, uint64_t incarnation, const char *listen, GError **error)
{
  WireOptions options = {
    .name = name,
    .incarnation = incarnation,
    .listen = listen,
    .send_queue_max = QUEUE_MAX,
    .timer_ms = 20,
    .heartbeat_ms = 100,
    .metrics = end->metrics,
  };
  WireEvents events = { .on_message = note_message, .on_timer = ignore_timer, .ctx = end };

  return wire_new (&options, &events, error);
}

static End *
open_end (const char *name, uint64_t incarnation, const char *listen, const char *connect)
{
  End *end = g_new0 (End, 1);

  pthread_mutex_init (&end->mutex, NULL);
  end->heard = g_ptr_array_new_with_free_func (g_free);
  end->metrics = met_new ();
  end->wire = make_wire (end, name, incarnation, listen, NULL);
  assert_non_null (end->wire);
  if (connect != NULL)
    assert_true (wire_connect (end->wire, "hub", connect, NULL));
  wire_start (end->wire);
  return end;
}

static void
close_end (End *end)
{
  wire_free (end->wire);
  met_free (end->metrics);
  g_ptr_array_unref (end->heard);
  pthread_mutex_destroy (&end->mutex);
  g_free (end);
}

static gboolean
has_heard (End *end, const char *what)
{
  gboolean found;

  pthread_mutex_lock (&end->mutex);
  found = g_ptr_array_find_with_equal_func (end->heard, what, g_str_equal, NULL);
  pthread_mutex_unlock (&end->mutex);
  return found;
}

static gboolean
wait_heard (End *end, const char *what)
{
  int64_t end_us = clk_now_us () + WAIT_US;

  while (!has_heard (end, what) && clk_now_us () < end_us)
    g_usleep (POLL_US);
  return has_heard (end, what);
}

static void
send_digests (void *ctx, void *data)
{
  End *end = ctx;
  Sending *sending = data;
  g_autofree char *padding = g_strnfill (sending->padding, 'x');
  Wire__Digest digest = WIRE__DIGEST__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  digest.data_centre = padding;
  envelope.body_case = WIRE__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  pthread_mutex_lock (&end->mutex);
  for (uint32_t i = 0; i < sending->n; i++)
    {
      digest.seq = sending->first + i;
      if (wire_send (end->wire, sending->peer, &envelope))
        end->n_sent++;
      else
        end->n_refused++;
    }
  pthread_mutex_unlock (&end->mutex);
  g_free (sending);
}

static void
send_n (End *end, const char *peer, uint64_t first, uint32_t n, size_t padding)
{
  Sending *sending = g_new0 (Sending, 1);

  *sending = (Sending){ .end = end, .peer = peer, .first = first, .n = n, .padding = padding };
  assert_true (wire_post (end->wire, send_digests, end, sending));
}

/* Sends one digest until it is heard: a connection may still be coming up. */
static void
send_until_heard (End *from, const char *peer, End *to, uint64_t seq, const char *what)
{
  for (int i = 0; i < 200; i++)
    {
      send_n (from, peer, seq, 1, 0);
      g_usleep (20000);
      if (has_heard (to, what))
        return;
    }
  fail_msg ("%s never arrived", what);
}

static int64_t
dropped (End *end, const char *reason)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", reason);

  return met_value (met_counter (end->metrics, "acacia_wire_dropped_total", labels, ""));
}

static int64_t
refused (End *end, const char *reason)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", reason);

  return met_value (met_counter (end->metrics, "acacia_wire_refused_total", labels, ""));
}

static gboolean
wait_dropped (End *end, const char *reason, int64_t at_least)
{
  for (int i = 0; i < 250 && dropped (end, reason) < at_least; i++)
    g_usleep (20000);
  return dropped (end, reason) >= at_least;
}

static void
both_ways_and_in_order (void **state)
{
  End *hub = open_end ("entry-1", 1, hub_address, NULL);
  End *agent = open_end ("agent-1", 2, NULL, hub_address);

  (void) state;
  send_until_heard (agent, "hub", hub, 1, "agent-1:1");
  send_until_heard (hub, "agent-1", agent, 2, "hub:2");
  send_n (agent, "hub", 100, 20, 0);
  assert_true (wait_heard (hub, "agent-1:119"));
  send_n (hub, "agent-9", 1, 1, 0);
  send_n (hub, "agent-1", 3, 1, 0);
  assert_true (wait_heard (agent, "hub:3"));
  assert_int_equal (refused (hub, "unknown_peer"), 1);
  close_end (agent);
  close_end (hub);
}

static void
replaced_process_is_told_apart (void **state)
{
  End *hub = open_end ("entry-1", 1, hub_address, NULL);
  End *old = open_end ("agent-1", 7, NULL, hub_address);
  End *new = open_end ("agent-1", 8, NULL, hub_address);

  (void) state;
  send_until_heard (old, "hub", hub, 1, "agent-1:1");
  send_until_heard (new, "hub", hub, 2, "agent-1:2");
  send_n (old, "hub", 3, 1, 0);
  assert_true (wait_dropped (hub, "replaced", 1));
  send_n (hub, "agent-1", 4, 1, 0);
  assert_true (wait_heard (new, "hub:4"));
  pthread_mutex_lock (&old->mutex);
  assert_int_equal (old->heard->len, 0);
  pthread_mutex_unlock (&old->mutex);
  close_end (new);
  close_end (old);
  close_end (hub);
}

typedef struct
{
  const char *what;
  const char *id;
  const char *payload;
  size_t size;
  uint32_t parts;
  const char *reason;
} Hostile;

static const Hostile hostile_messages[] = {
  { "id without a name", "/0123456789abcdef", "\x4a\x00", 2, 1, "malformed" },
  { "id without an incarnation", "agent-1", "\x4a\x00", 2, 1, "malformed" },
  { "id with a bad character", "agent 1/0123456789abcdef", "\x4a\x00", 2, 1, "malformed" },
  { "empty payload", "a/0123456789abcdef", "", 0, 1, "malformed" },
  { "payload cut short", "b/0123456789abcdef", "\x4a\x7f\x01", 3, 1, "malformed" },
  { "unknown body", "c/0123456789abcdef", "\xfa\x07\x00", 3, 1, "malformed" },
  { "wrong wire type", "d/0123456789abcdef", "\x4f\x01", 2, 1, "malformed" },
  { "three parts", "e/0123456789abcdef", "\x4a\x00", 2, 3, "malformed" },
};

static void
hostile_messages_are_dropped_and_counted (void **state)
{
  End *hub = open_end ("entry-1", 1, hub_address, NULL);
  End *agent = open_end ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (hostile_messages); i++)
    {
      const Hostile *hostile = &hostile_messages[i];
      int64_t before = dropped (hub, hostile->reason);
      void *socket = zmq_socket (context, ZMQ_DEALER);
      zmq_setsockopt (socket, ZMQ_ROUTING_ID, hostile->id, strlen (hostile->id));
      assert_int_equal (zmq_connect (socket, hub_address), 0);
      for (uint32_t part = 1; part <= hostile->parts; part++)
        zmq_send (socket, hostile->payload, hostile->size, part < hostile->parts ? ZMQ_SNDMORE : 0);
      if (!wait_dropped (hub, hostile->reason, before + 1))
        fail_msg ("%s: not dropped", hostile->what);
      zmq_close (socket);
    }
  zmq_ctx_term (context);
  send_until_heard (agent, "hub", hub, 1, "agent-1:1");
  close_end (agent);
  close_end (hub);
}

static void
oversize_is_refused_and_the_peer_lives_on (void **state)
{
  End *hub = open_end ("entry-1", 1, hub_address, NULL);
  End *agent = open_end ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  g_autofree char *large = g_malloc0 (WIRE_MESSAGE_MAX + 1);

  (void) state;
  send_n (agent, "hub", 1, 1, WIRE_MESSAGE_MAX);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, "big/0123456789abcdef", 20);
  assert_int_equal (zmq_connect (socket, hub_address), 0);
  zmq_send (socket, large, WIRE_MESSAGE_MAX + 1, 0);
  send_until_heard (agent, "hub", hub, 2, "agent-1:2");
  assert_int_equal (refused (agent, "too_large"), 1);
  send_n (agent, "hub", 3, 1, WIRE_MESSAGE_MAX / 2);
  assert_true (wait_heard (hub, "agent-1:3"));
  assert_false (has_heard (hub, "big:0"));
  zmq_setsockopt (socket, ZMQ_LINGER, &(int){ 0 }, sizeof (int));
  zmq_close (socket);
  zmq_ctx_term (context);
  close_end (agent);
  close_end (hub);
}

static void
unknown_fields_are_ignored (void **state)
{
  /* A digest with seq 5 and a field 99 that this build doesn't know, beside an unknown field. */
  static const uint8_t bytes[]
      = { 0x4a, 0x06, 0x40, 0x05, 0x9a, 0x06, 0x01, 'x', 0xf8, 0x07, 0x01 };
  Wire__Envelope *envelope = wire_parse (bytes, sizeof (bytes), NULL);

  (void) state;
  assert_non_null (envelope);
  assert_int_equal (envelope->body_case, WIRE__ENVELOPE__BODY_DIGEST);
  assert_int_equal (envelope->digest->seq, 5);
  wire_parsed_free (envelope);
}

static void
small_message_cannot_take_large_memory (void **state)
{
  /* Two bytes for each empty status: the parsed rows would take a hundred times that. */
  size_t n = 1000 * 1000;
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  GError *error = NULL;

  (void) state;
  g_byte_array_append (bytes, (const uint8_t *) "\x0a\x80\x89\x7a", 4);
  for (size_t i = 0; i < n; i++)
    g_byte_array_append (bytes, (const uint8_t *) "\x52\x00", 2);
  assert_null (wire_parse (bytes->data, bytes->len, &error));
  assert_int_equal (err_kind (error), ERR_PROTOCOL);
  g_error_free (error);
}

static void
full_queue_is_a_counted_refusal (void **state)
{
  End *agent = open_end ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();
  void *deaf = zmq_socket (context, ZMQ_ROUTER);

  (void) state;
  assert_int_equal (zmq_setsockopt (deaf, ZMQ_RCVHWM, &(int){ 1 }, sizeof (int)), 0);
  assert_int_equal (zmq_bind (deaf, hub_address), 0);
  g_usleep (300000);
  for (int i = 0; i < 40 && refused (agent, "queue_full") == 0; i++)
    {
      send_n (agent, "hub", 1, QUEUE_MAX, 100 * 1024);
      g_usleep (20000);
    }
  assert_true (refused (agent, "queue_full") > 0);
  zmq_close (deaf);
  zmq_ctx_term (context);
  close_end (agent);
}

static void
count_post (void *ctx, void *data)
{
  End *end = ctx;

  if (data != NULL)
    g_usleep (200000);
  end->n_posts++;
}

static void
posts_are_bounded_and_all_run (void **state)
{
  End *end = open_end ("agent-1", 1, NULL, NULL);
  uint32_t accepted = 0;
  uint32_t seen;

  (void) state;
  accepted += wire_post (end->wire, count_post, end, end) ? 1 : 0;
  g_usleep (50000);
  for (int i = 0; i < QUEUE_MAX * 2; i++)
    accepted += wire_post (end->wire, count_post, end, NULL) ? 1 : 0;
  assert_int_equal (accepted, QUEUE_MAX + 1);
  assert_int_equal (refused (end, "post_full"), QUEUE_MAX);
  wire_free (end->wire);
  end->wire = NULL;
  seen = end->n_posts;
  assert_int_equal (seen, accepted);
  close_end (end);
}

static void
bad_options_are_typed_errors (void **state)
{
  End *hub = open_end ("entry-1", 1, hub_address, NULL);
  End *other = open_end ("agent-1", 1, NULL, NULL);
  GError *error = NULL;

  (void) state;
  assert_null (make_wire (other, "entry-2", 1, hub_address, &error));
  assert_int_equal (err_kind (error), ERR_REFUSED);
  g_clear_error (&error);
  assert_null (make_wire (other, "no name", 1, NULL, &error));
  assert_int_equal (err_kind (error), ERR_BAD_CONFIG);
  g_clear_error (&error);
  close_end (other);
  close_end (hub);
}

static void
zero_byte_in_a_name_is_no_name (void **state)
{
  static const char id[] = "agent\0x/0123456789abcdef";
  WirePeers *peers = wire_peers_new ();
  const char *name = NULL;

  (void) state;
  assert_int_equal (wire_peers_heard (peers, id, sizeof (id) - 1, 1, &name), WIRE_BAD_ID);
  wire_peers_free (peers);
}

static void
peer_table_forgets_and_is_bounded (void **state)
{
  WirePeers *peers = wire_peers_new ();
  char id[WIRE_ID_SIZE];
  const char *name = NULL;

  (void) state;
  for (uint32_t i = 0; i < WIRE_PEERS_MAX; i++)
    {
      g_autofree char *text = g_strdup_printf ("agent-%u", i);
      assert_true (wire_id_print (text, i, id));
      assert_int_equal (wire_peers_heard (peers, id, strlen (id), i, &name), WIRE_HEARD_NEW);
      assert_string_equal (name, text);
    }
  assert_true (wire_id_print ("late", 1, id));
  assert_int_equal (wire_peers_heard (peers, id, strlen (id), 1, &name), WIRE_PEERS_FULL);
  assert_int_equal (wire_peers_expire (peers, 1000), 1000);
  assert_int_equal (wire_peers_heard (peers, id, strlen (id), 1, &name), WIRE_HEARD_NEW);
  assert_null (wire_peers_id (peers, "agent-999"));
  assert_non_null (wire_peers_id (peers, "agent-1000"));
  wire_peers_free (peers);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (both_ways_and_in_order),
    cmocka_unit_test (replaced_process_is_told_apart),
    cmocka_unit_test (hostile_messages_are_dropped_and_counted),
    cmocka_unit_test (oversize_is_refused_and_the_peer_lives_on),
    cmocka_unit_test (unknown_fields_are_ignored),
    cmocka_unit_test (small_message_cannot_take_large_memory),
    cmocka_unit_test (full_queue_is_a_counted_refusal),
    cmocka_unit_test (posts_are_bounded_and_all_run),
    cmocka_unit_test (bad_options_are_typed_errors),
    cmocka_unit_test (zero_byte_in_a_name_is_no_name),
    cmocka_unit_test (peer_table_forgets_and_is_bounded),
  };

  hub_address = free_address ();
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  g_free (hub_address);
  return failed;
}
