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

/** Address of the listening process of each test; chosen at the start. */
static char *hub_address;

/** One process on the wire and what its loop thread has received. */
typedef struct
{
  MetRegistry *metrics;
  Wire *wire;
  pthread_mutex_t mutex;
  GPtrArray *received; /**< "peer:seq" of each digest; guarded by mutex, as are the others */
  uint32_t n_sent;
  uint32_t n_refused;
  uint32_t n_posts;
} Process;

typedef struct
{
  Process *process;
  const char *peer;
  uint64_t first;
  uint32_t n;
  size_t padding;
} Sending;

static void
note_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  Process *process = ctx;

  pthread_mutex_lock (&process->mutex);
  if (envelope->body_case == WIRE__ENVELOPE__BODY_DIGEST)
    g_ptr_array_add (process->received,
                     g_strdup_printf ("%s:%" G_GUINT64_FORMAT, peer, envelope->digest->seq));
  pthread_mutex_unlock (&process->mutex);
}

static void
ignore_timer (void *ctx, int64_t now_us)
{
  (void) ctx;
  (void) now_us;
}

static Wire *
make_wire (
    Process *process, const char *name, uint64_t incarnation, const char *listen, GError **error)
{
  WireOptions options = {
    .name = name,
    .incarnation = incarnation,
    .listen = listen,
    .send_queue_max = QUEUE_MAX,
    .timer_ms = 20,
    .heartbeat_ms = 100,
    .metrics = process->metrics,
  };
  WireEvents events = { .on_message = note_message, .on_timer = ignore_timer, .ctx = process };

  return wire_new (&options, &events, error);
}

static Process *
open_process (const char *name, uint64_t incarnation, const char *listen, const char *connect)
{
  Process *process = g_new0 (Process, 1);

  pthread_mutex_init (&process->mutex, NULL);
  process->received = g_ptr_array_new_with_free_func (g_free);
  process->metrics = met_new ();
  process->wire = make_wire (process, name, incarnation, listen, NULL);
  assert_non_null (process->wire);
  if (connect != NULL)
    assert_true (wire_connect (process->wire, "hub", connect, NULL));
  wire_start (process->wire);
  return process;
}

static void
close_process (Process *process)
{
  wire_free (process->wire);
  met_free (process->metrics);
  g_ptr_array_unref (process->received);
  pthread_mutex_destroy (&process->mutex);
  g_free (process);
}

static gboolean
has_received (Process *process, const char *what)
{
  gboolean found;

  pthread_mutex_lock (&process->mutex);
  found = g_ptr_array_find_with_equal_func (process->received, what, g_str_equal, NULL);
  pthread_mutex_unlock (&process->mutex);
  return found;
}

static gboolean
wait_received (Process *process, const char *what)
{
  int64_t end_us = clk_now_us () + WAIT_US;

  while (!has_received (process, what) && clk_now_us () < end_us)
    g_usleep (POLL_US);
  return has_received (process, what);
}

static void
send_digests (void *ctx, void *data)
{
  Process *process = ctx;
  Sending *sending = data;
  g_autofree char *padding = g_strnfill (sending->padding, 'x');
  Wire__Digest digest = WIRE__DIGEST__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  digest.data_centre = padding;
  envelope.body_case = WIRE__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  pthread_mutex_lock (&process->mutex);
  for (uint32_t i = 0; i < sending->n; i++)
    {
      digest.seq = sending->first + i;
      if (wire_send (process->wire, sending->peer, &envelope))
        process->n_sent++;
      else
        process->n_refused++;
    }
  pthread_mutex_unlock (&process->mutex);
  g_free (sending);
}

static void
send_n (Process *process, const char *peer, uint64_t first, uint32_t n, size_t padding)
{
  Sending *sending = g_new0 (Sending, 1);

  *sending
      = (Sending){ .process = process, .peer = peer, .first = first, .n = n, .padding = padding };
  assert_true (wire_post (process->wire, send_digests, process, sending));
}

/* Sends a digest repeatedly until it is received: the connection may not be established yet. */
static void
send_until_received (Process *from, const char *peer, Process *to, uint64_t seq, const char *what)
{
  for (int i = 0; i < 200; i++)
    {
      send_n (from, peer, seq, 1, 0);
      g_usleep (20000);
      if (has_received (to, what))
        return;
    }
  fail_msg ("%s never arrived", what);
}

static int64_t
dropped (Process *process, const char *reason)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", reason);

  return met_value (met_counter (process->metrics, "acacia_wire_dropped_total", labels, ""));
}

static int64_t
refused (Process *process, const char *reason)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", reason);

  return met_value (met_counter (process->metrics, "acacia_wire_refused_total", labels, ""));
}

static gboolean
wait_dropped (Process *process, const char *reason, int64_t at_least)
{
  for (int i = 0; i < 250 && dropped (process, reason) < at_least; i++)
    g_usleep (20000);
  return dropped (process, reason) >= at_least;
}

static void
messages_arrive_both_ways_in_order (void **state)
{
  Process *hub = open_process ("entry-1", 1, hub_address, NULL);
  Process *agent = open_process ("agent-1", 2, NULL, hub_address);

  (void) state;
  send_until_received (agent, "hub", hub, 1, "agent-1:1");
  send_until_received (hub, "agent-1", agent, 2, "hub:2");
  send_n (agent, "hub", 100, 20, 0);
  assert_true (wait_received (hub, "agent-1:119"));
  send_n (hub, "agent-9", 1, 1, 0);
  send_n (hub, "agent-1", 3, 1, 0);
  assert_true (wait_received (agent, "hub:3"));
  assert_int_equal (refused (hub, "unknown_peer"), 1);
  close_process (agent);
  close_process (hub);
}

static void
replaced_incarnation_is_dropped (void **state)
{
  Process *hub = open_process ("entry-1", 1, hub_address, NULL);
  Process *old = open_process ("agent-1", 7, NULL, hub_address);
  Process *new = open_process ("agent-1", 8, NULL, hub_address);

  (void) state;
  send_until_received (old, "hub", hub, 1, "agent-1:1");
  send_until_received (new, "hub", hub, 2, "agent-1:2");
  send_n (old, "hub", 3, 1, 0);
  assert_true (wait_dropped (hub, "replaced", 1));
  send_n (hub, "agent-1", 4, 1, 0);
  assert_true (wait_received (new, "hub:4"));
  pthread_mutex_lock (&old->mutex);
  assert_int_equal (old->received->len, 0);
  pthread_mutex_unlock (&old->mutex);
  close_process (new);
  close_process (old);
  close_process (hub);
}

typedef struct
{
  const char *what;
  const char *id;
  const char *payload;
  size_t size;
  uint32_t parts;
  const char *reason;
} HostileMessage;

static const HostileMessage hostile_messages[] = {
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
  Process *hub = open_process ("entry-1", 1, hub_address, NULL);
  Process *agent = open_process ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (hostile_messages); i++)
    {
      const HostileMessage *hostile = &hostile_messages[i];
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
  send_until_received (agent, "hub", hub, 1, "agent-1:1");
  close_process (agent);
  close_process (hub);
}

static void
oversize_message_is_refused_and_connection_survives (void **state)
{
  Process *hub = open_process ("entry-1", 1, hub_address, NULL);
  Process *agent = open_process ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  g_autofree char *large = g_malloc0 (WIRE_MESSAGE_MAX + 1);

  (void) state;
  send_n (agent, "hub", 1, 1, WIRE_MESSAGE_MAX);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, "big/0123456789abcdef", 20);
  assert_int_equal (zmq_connect (socket, hub_address), 0);
  zmq_send (socket, large, WIRE_MESSAGE_MAX + 1, 0);
  send_until_received (agent, "hub", hub, 2, "agent-1:2");
  assert_int_equal (refused (agent, "too_large"), 1);
  send_n (agent, "hub", 3, 1, WIRE_MESSAGE_MAX / 2);
  assert_true (wait_received (hub, "agent-1:3"));
  assert_false (has_received (hub, "big:0"));
  zmq_setsockopt (socket, ZMQ_LINGER, &(int){ 0 }, sizeof (int));
  zmq_close (socket);
  zmq_ctx_term (context);
  close_process (agent);
  close_process (hub);
}

static void
unknown_fields_are_ignored (void **state)
{
  /* A digest with seq 5 and an unknown field 99, followed by an unknown field of the envelope. */
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
parse_memory_is_limited (void **state)
{
  /* Each empty status takes two bytes, and a hundred times as much memory when parsed. */
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
full_queue_refuses_and_counts (void **state)
{
  Process *agent = open_process ("agent-1", 2, NULL, hub_address);
  void *context = zmq_ctx_new ();
  void *stalled = zmq_socket (context, ZMQ_ROUTER);

  (void) state;
  assert_int_equal (zmq_setsockopt (stalled, ZMQ_RCVHWM, &(int){ 1 }, sizeof (int)), 0);
  assert_int_equal (zmq_bind (stalled, hub_address), 0);
  g_usleep (300000);
  for (int i = 0; i < 40 && refused (agent, "queue_full") == 0; i++)
    {
      send_n (agent, "hub", 1, QUEUE_MAX, 100 * 1024);
      g_usleep (20000);
    }
  assert_true (refused (agent, "queue_full") > 0);
  zmq_close (stalled);
  zmq_ctx_term (context);
  close_process (agent);
}

static void
count_post (void *ctx, void *data)
{
  Process *process = ctx;

  if (data != NULL)
    g_usleep (200000);
  process->n_posts++;
}

static void
posts_are_bounded_and_all_run (void **state)
{
  Process *process = open_process ("agent-1", 1, NULL, NULL);
  uint32_t accepted = 0;
  uint32_t n_run;

  (void) state;
  accepted += wire_post (process->wire, count_post, process, process) ? 1 : 0;
  g_usleep (50000);
  for (int i = 0; i < QUEUE_MAX * 2; i++)
    accepted += wire_post (process->wire, count_post, process, NULL) ? 1 : 0;
  assert_int_equal (accepted, QUEUE_MAX + 1);
  assert_int_equal (refused (process, "post_full"), QUEUE_MAX);
  wire_free (process->wire);
  process->wire = NULL;
  n_run = process->n_posts;
  assert_int_equal (n_run, accepted);
  close_process (process);
}

/* What the callbacks use can be freed between the stop and the release of the sockets. */
static void
no_callback_runs_after_a_stop (void **state)
{
  Process *process = open_process ("agent-1", 1, NULL, NULL);
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  (void) state;
  assert_true (wire_post (process->wire, count_post, process, NULL));
  wire_stop (process->wire);
  assert_int_equal (process->n_posts, 1);
  assert_false (wire_post (process->wire, count_post, process, NULL));
  assert_false (wire_send (process->wire, "nobody", &envelope));
  wire_stop (process->wire);
  assert_int_equal (process->n_posts, 1);
  close_process (process);
}

static void
invalid_options_return_typed_errors (void **state)
{
  Process *hub = open_process ("entry-1", 1, hub_address, NULL);
  Process *other = open_process ("agent-1", 1, NULL, NULL);
  GError *error = NULL;

  (void) state;
  assert_null (make_wire (other, "entry-2", 1, hub_address, &error));
  assert_int_equal (err_kind (error), ERR_REFUSED);
  g_clear_error (&error);
  assert_null (make_wire (other, "no name", 1, NULL, &error));
  assert_int_equal (err_kind (error), ERR_BAD_CONFIG);
  g_clear_error (&error);
  close_process (other);
  close_process (hub);
}

static void
zero_byte_in_name_is_rejected (void **state)
{
  static const char id[] = "agent\0x/0123456789abcdef";
  WirePeers *peers = wire_peers_new ();
  const char *name = NULL;

  (void) state;
  assert_int_equal (wire_peers_note_message (peers, id, sizeof (id) - 1, 1, &name),
                    WIRE_PEER_BAD_ID);
  wire_peers_free (peers);
}

static void
peer_table_expires_and_is_bounded (void **state)
{
  WirePeers *peers = wire_peers_new ();
  char id[WIRE_ID_SIZE];
  const char *name = NULL;

  (void) state;
  for (uint32_t i = 0; i < WIRE_PEERS_MAX; i++)
    {
      g_autofree char *text = g_strdup_printf ("agent-%u", i);
      assert_true (wire_id_print (text, i, id));
      assert_int_equal (wire_peers_note_message (peers, id, strlen (id), i, &name), WIRE_PEER_NEW);
      assert_string_equal (name, text);
    }
  assert_true (wire_id_print ("late", 1, id));
  assert_int_equal (wire_peers_note_message (peers, id, strlen (id), 1, &name), WIRE_PEERS_FULL);
  assert_int_equal (wire_peers_expire (peers, 1000), 1000);
  assert_int_equal (wire_peers_note_message (peers, id, strlen (id), 1, &name), WIRE_PEER_NEW);
  assert_null (wire_peers_id (peers, "agent-999"));
  assert_non_null (wire_peers_id (peers, "agent-1000"));
  wire_peers_free (peers);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (messages_arrive_both_ways_in_order),
    cmocka_unit_test (replaced_incarnation_is_dropped),
    cmocka_unit_test (hostile_messages_are_dropped_and_counted),
    cmocka_unit_test (oversize_message_is_refused_and_connection_survives),
    cmocka_unit_test (unknown_fields_are_ignored),
    cmocka_unit_test (parse_memory_is_limited),
    cmocka_unit_test (full_queue_refuses_and_counts),
    cmocka_unit_test (posts_are_bounded_and_all_run),
    cmocka_unit_test (no_callback_runs_after_a_stop),
    cmocka_unit_test (invalid_options_return_typed_errors),
    cmocka_unit_test (zero_byte_in_name_is_rejected),
    cmocka_unit_test (peer_table_expires_and_is_bounded),
  };

  hub_address = free_address ();
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  g_free (hub_address);
  return failed;
}
