/* The store client, and the outbox and feed that use it, against a stand-in for the store on the
 * loopback interface. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "ledger/feed.h"
#include "ledger/outbox.h"
#include "net/net_server.h"
#include "platform/store.h"
#include "support/loopback.h"

#define PORT 28711
/* Nothing listens there. */
#define UNUSED_PORT 28799
#define TOPIC "keyed.test"

/* Stand-in for the store with configurable answers. It records the requests it receives. */
typedef struct
{
  NetServer *server;
  NetClient *client;
  Store *store;
  StorePace pace;
  uint32_t status;
  char *body;
  uint32_t n_calls;
  uint32_t n_unanswered; /**< number of next calls that get no answer */
  GPtrArray *held;
  GByteArray *last_body;
  const char *expected_after; /**< argument "after" of requests that have one; NULL: any */
} Fixture;

static void
on_request (void *ctx, NetRequest *request)
{
  Fixture *fixture = ctx;
  size_t size = 0;
  const char *body = net_request_body (request, &size);
  const NetReply reply
      = { .status = fixture->status, .content_type = "application/json", .body = fixture->body };

  fixture->n_calls++;
  if (fixture->expected_after != NULL && net_request_argument (request, "after") != NULL)
    assert_string_equal (net_request_argument (request, "after"), fixture->expected_after);
  g_byte_array_set_size (fixture->last_body, 0);
  g_byte_array_append (fixture->last_body, (const guint8 *) body, (guint) size);
  if (fixture->n_unanswered > 0)
    {
      fixture->n_unanswered--;
      g_ptr_array_add (fixture->held, request);
      return;
    }
  net_request_reply (request, &reply);
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  const NetServerOptions options = { .address = loopback_address (PORT),
                                     .connections_max = 20,
                                     .idle_s = 10,
                                     .body_bytes_max = 100000,
                                     .handler = on_request,
                                     .ctx = fixture };

  fixture->held = g_ptr_array_new ();
  fixture->last_body = g_byte_array_new ();
  fixture->status = 200;
  fixture->server = net_server_new (&options, NULL);
  assert_non_null (fixture->server);
  fixture->client = net_client_new ();
  fixture->store = store_new (fixture->client, loopback_address (PORT));
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  const NetReply reply = { .status = 500 };

  for (guint i = 0; i < fixture->held->len; i++)
    net_request_reply (g_ptr_array_index (fixture->held, i), &reply);
  for (int i = 0; i < 20; i++)
    (void) g_main_context_iteration (NULL, FALSE);
  net_client_free (fixture->client);
  store_free (fixture->store);
  net_server_free (fixture->server);
  g_ptr_array_unref (fixture->held);
  g_byte_array_unref (fixture->last_body);
  g_free (fixture->body);
  g_free (fixture);
}

static void
set_answer (Fixture *fixture, uint32_t status, const char *body)
{
  g_free (fixture->body);
  fixture->body = g_strdup (body);
  fixture->status = status;
}

typedef struct
{
  gboolean is_done;
  StoreAnswer answer;
  uint32_t n_records;
} Result;

static void
on_result (void *ctx, const StoreAnswer *answer)
{
  Result *result = ctx;

  result->answer = *answer;
  result->n_records = answer->records != NULL ? answer->records->len : 0;
  result->is_done = TRUE;
}

static void
append_once (Fixture *fixture, Result *result)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();

  store_add_record (records, "k", "v", 1);
  const StoreAppend append = { .topic = TOPIC,
                               .records = records,
                               .expected_end = -1,
                               .producer = "p",
                               .epoch = 4,
                               .sequence = 8,
                               .timeout_ms = 300 };
  memset (result, 0, sizeof *result);
  store_append (fixture->store, &append, on_result, result);
  while (!result->is_done)
    (void) g_main_context_iteration (NULL, TRUE);
}

typedef struct
{
  uint32_t status;
  const char *body;
  StoreOutcome outcome;
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { 200, "{\"offset\":840,\"end_offset\":842}", STORE_OK },
  { 412, "{\"end_offset\":9}", STORE_MOVED },
  { 409, "{\"reason\":\"fenced\"}", STORE_FENCED },
  { 409, "{\"reason\":\"seq\",\"expected\":9}", STORE_SEQUENCE },
  { 429, "", STORE_REFUSED },
  { 503, "", STORE_REFUSED },
  { 507, "", STORE_REFUSED },
  { 418, "", STORE_MALFORMED },
  { 500, "", STORE_IN_DOUBT },
  { 502, "", STORE_IN_DOUBT },
  { 504, "", STORE_IN_DOUBT },
};

static void
answers_map_to_outcomes (void **state)
{
  Fixture *fixture = fixture_new ();
  Result result;

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      set_answer (fixture, answer_cases[i].status, answer_cases[i].body);
      append_once (fixture, &result);
      assert_int_equal (result.answer.outcome, answer_cases[i].outcome);
    }
  set_answer (fixture, 409, "{\"reason\":\"seq\",\"expected\":9}");
  append_once (fixture, &result);
  assert_int_equal (result.answer.expected_sequence, 9);
  /* Length of the record, length of the key, key, value. */
  assert_int_equal (fixture->last_body->len, 7);
  assert_memory_equal (fixture->last_body->data, "\0\0\0\3\1kv", 7);
  fixture_free (fixture);
}

static void
no_answer_is_in_doubt_and_no_listener_is_refused (void **state)
{
  Fixture *fixture = fixture_new ();
  Result result;

  (void) state;
  fixture->n_unanswered = 1;
  append_once (fixture, &result);
  assert_int_equal (result.answer.outcome, STORE_IN_DOUBT);
  store_free (fixture->store);
  fixture->store = store_new (fixture->client, loopback_address (UNUSED_PORT));
  append_once (fixture, &result);
  assert_int_equal (result.answer.outcome, STORE_REFUSED);
  fixture_free (fixture);
}

static void
reply_held (Fixture *fixture)
{
  const NetReply reply
      = { .status = fixture->status, .content_type = "application/json", .body = fixture->body };

  net_request_reply (g_ptr_array_steal_index (fixture->held, 0), &reply);
}

typedef struct
{
  uint32_t n_done;
  OutboxResult last;
} Completion;

static void
on_completed (void *ctx, OutboxResult result, int64_t offset)
{
  Completion *completion = ctx;

  (void) offset;
  completion->n_done++;
  completion->last = result;
}

static void
wait_for (const Completion *completion)
{
  while (completion->n_done == 0)
    (void) g_main_context_iteration (NULL, TRUE);
}

/* Another entry, which accepts all forwarded records while it is available. */
typedef struct
{
  gboolean is_available;
  uint32_t n_records;
} PeerEntry;

static gboolean
accept_record (void *ctx, const char *key, GBytes *value)
{
  PeerEntry *peer = ctx;

  assert_string_equal (key, "k");
  assert_int_equal (g_bytes_get_size (value), 1);
  peer->n_records += peer->is_available;
  return peer->is_available;
}

static Outbox *
open_outbox (Fixture *fixture, PeerEntry *peer)
{
  const OutboxOptions options = { .store = fixture->store,
                                  .topic = TOPIC,
                                  .forward = peer != NULL ? accept_record : NULL,
                                  .pace = &fixture->pace,
                                  .bytes_max = 100,
                                  .ctx = peer };

  store_pace_init (&fixture->pace);
  return outbox_new (&options);
}

static void
add_record (Outbox *outbox, int64_t deadline_us, Completion *completion)
{
  const OutboxRecord record = { .key = "k", .value = "v", .size = 1, .deadline_us = deadline_us };

  outbox_add (outbox, &record, on_completed, completion);
}

static void
run_loop_for (int64_t ms)
{
  int64_t end_us = clk_now_us () + ms * CLK_US_PER_MS;

  while (clk_now_us () < end_us)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
}

/* The store refuses the append of this entry, and another entry can write the record. */
static void
refused_record_is_forwarded (void **state)
{
  Fixture *fixture = fixture_new ();
  PeerEntry peer = { .is_available = TRUE };
  Outbox *outbox = open_outbox (fixture, &peer);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &completion);
  while (peer.n_records == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  run_loop_for (300);
  assert_int_equal (completion.n_done, 0);
  outbox_handle_forward_result (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (completion.n_done, 1);
  assert_int_equal (completion.last, OUTBOX_WRITTEN);
  assert_int_equal (outbox_waiting (outbox), 0);
  run_loop_for (100);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* The record is reported as refused only when the store and the other entry have refused it. */
static void
record_refused_by_store_and_peer_is_refused (void **state)
{
  Fixture *fixture = fixture_new ();
  PeerEntry peer = { .is_available = TRUE };
  Outbox *outbox = open_outbox (fixture, &peer);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &completion);
  while (peer.n_records == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  outbox_handle_forward_result (outbox, "k", OUTBOX_REFUSED, -1);
  peer.is_available = FALSE;
  wait_for (&completion);
  assert_int_equal (completion.last, OUTBOX_REFUSED);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* The record is forwarded twice and refused once. The other copy may still be written. */
static void
record_forwarded_twice_is_not_refused_by_one_answer (void **state)
{
  Fixture *fixture = fixture_new ();
  PeerEntry peer = { .is_available = TRUE };
  Outbox *outbox = open_outbox (fixture, &peer);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &completion);
  while (peer.n_records < 2)
    (void) g_main_context_iteration (NULL, TRUE);
  outbox_handle_forward_result (outbox, "k", OUTBOX_REFUSED, -1);
  run_loop_for (200);
  assert_int_equal (completion.n_done, 0);
  outbox_handle_forward_result (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (completion.last, OUTBOX_WRITTEN);
  run_loop_for (500);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* The record was written. Its repeat is refused by the store, and an answer to the first forward
 * comes late: neither says that the record is not there. */
static void
repeat_of_a_written_record_is_not_refused (void **state)
{
  Fixture *fixture = fixture_new ();
  PeerEntry peer = { .is_available = TRUE };
  Outbox *outbox = open_outbox (fixture, &peer);
  Completion first = { 0 };
  Completion repeat = { 0 };

  (void) state;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &first);
  while (peer.n_records == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  set_answer (fixture, 200, "{\"offset\":4,\"end_offset\":5}");
  wait_for (&first);
  assert_int_equal (first.last, OUTBOX_WRITTEN);
  set_answer (fixture, 503, "");
  add_record (outbox, clk_now_us () + 600 * CLK_US_PER_MS, &repeat);
  while (peer.n_records == 1)
    (void) g_main_context_iteration (NULL, TRUE);
  peer.is_available = FALSE;
  outbox_handle_forward_result (outbox, "k", OUTBOX_REFUSED, -1);
  wait_for (&repeat);
  assert_int_equal (repeat.last, OUTBOX_IN_DOUBT);
  run_loop_for (200);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* While the store does not answer, the record is forwarded and another entry writes it. */
static void
unanswered_record_is_forwarded (void **state)
{
  Fixture *fixture = fixture_new ();
  PeerEntry peer = { .is_available = TRUE };
  Outbox *outbox = open_outbox (fixture, &peer);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 200, "{\"offset\":4,\"end_offset\":5}");
  fixture->n_unanswered = 1;
  add_record (outbox, INT64_MAX, &completion);
  run_loop_for (OUTBOX_FORWARD_MS / 2);
  assert_int_equal (peer.n_records, 0);
  run_loop_for (OUTBOX_FORWARD_MS);
  assert_int_equal (peer.n_records, 1);
  outbox_handle_forward_result (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (completion.last, OUTBOX_WRITTEN);
  /* The late answer to the entry's own append has no further effect. */
  reply_held (fixture);
  run_loop_for (50);
  assert_int_equal (completion.n_done, 1);
  outbox_free (outbox);
  fixture_free (fixture);
}

static void
refused_record_is_never_written (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &completion);
  wait_for (&completion);
  assert_int_equal (completion.last, OUTBOX_REFUSED);
  assert_int_equal (outbox_waiting (outbox), 0);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* An append without an answer may have taken effect, so a refused retry is not conclusive. */
static void
record_in_doubt_is_retried_until_written (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion completion = { 0 };
  Completion second = { 0 };

  (void) state;
  fixture->n_unanswered = 1;
  set_answer (fixture, 503, "");
  add_record (outbox, INT64_MAX, &completion);
  while (fixture->n_calls < 3)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (completion.n_done, 0);
  /* A second request for the same record completes together with the first. */
  add_record (outbox, INT64_MAX, &second);
  assert_int_equal (outbox_waiting (outbox), 1);
  set_answer (fixture, 200, "{\"offset\":1,\"end_offset\":2}");
  wait_for (&completion);
  assert_int_equal (completion.last, OUTBOX_WRITTEN);
  assert_int_equal (second.last, OUTBOX_WRITTEN);
  outbox_free (outbox);
  fixture_free (fixture);
}

static void
doubt_is_reported_at_the_deadline (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion completion = { 0 };

  (void) state;
  fixture->n_unanswered = 100;
  add_record (outbox, 0, &completion);
  wait_for (&completion);
  assert_int_equal (completion.last, OUTBOX_IN_DOUBT);
  assert_int_equal (outbox_waiting (outbox), 1);
  for (int i = 0; i < 20; i++)
    (void) g_main_context_iteration (NULL, FALSE);
  fixture->n_unanswered = 0;
  set_answer (fixture, 200, "{\"offset\":1,\"end_offset\":2}");
  while (outbox_waiting (outbox) > 0)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (completion.n_done, 1);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* Records the offset of each record that the feed delivers. */
static void
note_offset (void *ctx, const StoreRecord *record)
{
  g_array_append_val ((GArray *) ctx, record->offset);
}

/* Opens a feed that adds the offsets of its records to @p offsets. */
static Feed *
open_feed (const Fixture *fixture, GArray *offsets)
{
  const FeedOptions options = { .store = fixture->store,
                                .topic = TOPIC,
                                .wait_ms = 500,
                                .pause_ms = 1000,
                                .on_record = note_offset,
                                .ctx = offsets };

  return feed_new (&options);
}

static void
note_refreshed (void *ctx, gboolean is_fresh)
{
  (void) is_fresh;
  *(gboolean *) ctx = TRUE;
}

/* Answers the oldest held request with records 0 to @p n_records - 1 of a topic. */
static void
answer_held (Fixture *fixture, guint8 n_records)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  guint8 head[16] = { [7] = n_records };

  g_byte_array_append (body, head, sizeof head);
  for (guint8 i = 0; i < n_records; i++)
    store_add_record (body, "k", &i, 1);
  const NetReply reply = { .status = 200,
                           .content_type = "application/octet-stream",
                           .body = (const char *) body->data,
                           .body_size = body->len };
  net_request_reply (g_ptr_array_steal_index (fixture->held, 0), &reply);
}

/* A refresh and a poll are in flight at once, and the one that read fewer records is answered last.
 * The feed must not go back to the lower offset. */
static void
late_answer_does_not_rewind_the_feed (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  gboolean is_refreshed = FALSE;

  (void) state;
  set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  Feed *feed = open_feed (fixture, offsets);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  fixture->n_unanswered = 2;
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  feed_refresh (feed, note_refreshed, &is_refreshed);
  while (fixture->held->len < 2)
    (void) g_main_context_iteration (NULL, TRUE);
  answer_held (fixture, 3);
  while (offsets->len < 3)
    (void) g_main_context_iteration (NULL, TRUE);
  answer_held (fixture, 2);
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (offsets->len, 3);
  assert_int_equal (feed_end (feed), 3);
  fixture_free (fixture);
  feed_free (feed);
}

/* All records that were acknowledged before a load began are delivered once it has ended; no read
 * has to wait for a further record first. */
static void
load_is_fresh_from_its_begin (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));

  (void) state;
  set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  int64_t begin_us = clk_now_us ();
  Feed *feed = open_feed (fixture, offsets);
  assert_int_equal (feed_fresh_us (feed), 0);
  int64_t begun_us = clk_now_us ();
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  assert_in_range (feed_fresh_us (feed), begin_us, begun_us);
  fixture_free (fixture);
  feed_free (feed);
}

static void
reply_page (Fixture *fixture, const char *body)
{
  const NetReply reply = { .status = 200, .content_type = "application/json", .body = body };

  net_request_reply (g_ptr_array_steal_index (fixture->held, 0), &reply);
}

static void
add_sized (Outbox *outbox, const char *key, gboolean is_forwarded, Completion *completion)
{
  static const char value[60];
  const OutboxRecord record = { .key = key,
                                .value = value,
                                .size = sizeof value,
                                .deadline_us = INT64_MAX,
                                .is_forwarded = is_forwarded };

  outbox_add (outbox, &record, on_completed, completion);
}

/* Guards against records of other entries that fill the memory of the owner while the store does
 * not answer, and against a record that is refused although its first copy waits here. */
static void
forwarded_records_are_limited (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion first = { 0 };
  Completion second = { 0 };
  Completion own = { 0 };

  (void) state;
  set_answer (fixture, 200, "{\"offset\":1,\"end_offset\":2}");
  fixture->n_unanswered = 1;
  add_sized (outbox, "a", TRUE, &first);
  add_sized (outbox, "b", TRUE, &second);
  assert_int_equal (second.n_done, 1);
  assert_int_equal (second.last, OUTBOX_REFUSED);
  assert_int_equal (outbox_turned_away (outbox), 1);
  add_sized (outbox, "a", TRUE, &first);
  add_sized (outbox, "c", FALSE, &own);
  assert_int_equal (first.n_done + own.n_done, 0);
  assert_int_equal (outbox_bytes (outbox), 120);
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  reply_page (fixture, "{\"offset\":0,\"end_offset\":1}");
  while (first.n_done < 2 || own.n_done < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (first.last, OUTBOX_WRITTEN);
  assert_int_equal (own.last, OUTBOX_WRITTEN);
  outbox_free (outbox);
  fixture_free (fixture);
}

/** Longest time that a load of two pages may take. */
#define LOAD_MAX_MS 5000

/* Loads a topic of two pages. @p items are on the first one, one record is on the second one. */
static void
load_two_pages (Fixture *fixture, const char *items, guint n_expected)
{
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_autofree char *page
      = g_strdup_printf ("{\"items\":[%s],\"more\":true,\"end_offset\":6}", items);

  fixture->n_unanswered = 1;
  set_answer (fixture, 200,
              "{\"items\":[{\"key\":\"z\",\"value\":\"AA==\",\"offset\":9}],"
              "\"more\":false,\"end_offset\":6}");
  Feed *feed = open_feed (fixture, offsets);
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  reply_page (fixture, page);
  for (int i = 0; i < LOAD_MAX_MS / 100 && !feed_is_loaded (feed); i++)
    run_loop_for (100);
  assert_true (feed_is_loaded (feed));
  assert_int_equal (offsets->len, n_expected);
  fixture_free (fixture);
  feed_free (feed);
}

static void
load_goes_on_after_a_key_with_special_characters (void **state)
{
  Fixture *fixture = fixture_new ();

  (void) state;
  fixture->expected_after = "a b&part=1%41#\303\251";
  load_two_pages (fixture, "{\"key\":\"a b&part=1%41#\303\251\",\"value\":\"AA==\",\"offset\":5}",
                  2);
}

static const char *const odd_items[] = {
  "{\"key\":\"a\\u0000b\",\"value\":\"AA==\",\"offset\":5}",
  "{\"key\":\"a\377\",\"value\":\"AA==\",\"offset\":5}",
  "{\"key\":\"a\\udcff\",\"value\":\"AA==\",\"offset\":5}",
};

/* The keys of another writer are arbitrary bytes. */
static void
key_that_is_not_text_does_not_end_the_load (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (odd_items); i++)
    load_two_pages (fixture_new (), odd_items[i], 2);
}

/* The first page has no record that can be read, and the second one has. */
static void
page_without_a_readable_record_does_not_end_the_load (void **state)
{
  (void) state;
  load_two_pages (fixture_new (), "{\"key\":\"a\",\"value\":7,\"offset\":5}", 1);
  load_two_pages (fixture_new (), "{\"key\":\"a\",\"value\":\"!\",\"offset\":5}", 1);
}

/* A refresh is requested while the newest records are still being loaded page by page. Reading the
 * topic from its start would deliver older records after newer ones of the same key. */
static void
refresh_waits_for_the_load (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  gboolean is_refreshed = FALSE;

  (void) state;
  fixture->n_unanswered = 2;
  Feed *feed = open_feed (fixture, offsets);
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  reply_page (fixture, "{\"items\":[{\"key\":\"k\",\"value\":\"AA==\",\"offset\":5}],"
                       "\"more\":true,\"end_offset\":6}");
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  fixture->n_unanswered = 1;
  feed_refresh (feed, note_refreshed, &is_refreshed);
  for (int i = 0; i < 50 && fixture->held->len < 2; i++)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_int_equal (fixture->held->len, 1);
  assert_false (is_refreshed);
  fixture->n_unanswered = 0;
  set_answer (fixture, 503, "{}");
  reply_page (fixture, "{\"items\":[],\"more\":false,\"end_offset\":6}");
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_true (feed_is_loaded (feed));
  assert_int_equal (feed_end (feed), 6);
  assert_int_equal (offsets->len, 1);
  fixture_free (fixture);
  feed_free (feed);
}

static void
count_refreshed (void *ctx, gboolean is_fresh)
{
  if (is_fresh)
    ++*(uint32_t *) ctx;
}

/* Ten callers, five of them while earlier refreshes are unanswered. Guards against a read, and so a
 * connection to the store, for each caller; and against an answer that was requested before its
 * caller came. */
static void
refreshes_are_shared (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  uint32_t n_refreshed = 0;

  (void) state;
  set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  Feed *feed = open_feed (fixture, offsets);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  fixture->n_unanswered = 100;
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  for (int i = 0; i < 10; i++)
    {
      feed_refresh (feed, count_refreshed, &n_refreshed);
      run_loop_for (10);
    }
  /* The poll, and four refreshes. */
  assert_int_equal (fixture->held->len, 5);
  g_ptr_array_insert (fixture->held, 4, g_ptr_array_steal_index (fixture->held, 0));
  answer_held (fixture, 1);
  for (int i = 0; i < 50 && n_refreshed < 1; i++)
    run_loop_for (10);
  run_loop_for (100);
  assert_int_equal (n_refreshed, 1);
  assert_int_equal (fixture->held->len, 5);
  g_ptr_array_insert (fixture->held, 0, g_ptr_array_steal_index (fixture->held, 4));
  answer_held (fixture, 0);
  for (int i = 0; i < 50 && n_refreshed < 7; i++)
    run_loop_for (10);
  assert_int_equal (n_refreshed, 7);
  fixture_free (fixture);
  feed_free (feed);
}

/* When the load fails, a waiting refresh ends at once. */
static void
refresh_ends_with_a_failed_load (void **state)
{
  Fixture *fixture = fixture_new ();
  gboolean is_refreshed = FALSE;

  (void) state;
  set_answer (fixture, 503, "{}");
  Feed *feed = open_feed (fixture, NULL);
  feed_refresh (feed, note_refreshed, &is_refreshed);
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_false (feed_is_loaded (feed));
  fixture_free (fixture);
  feed_free (feed);
}

/* The missed records of a topic with few keys may be large, and only the newest of each key
 * matters. The feed loads these instead of reading all missed records. */
static void
missed_records_of_few_keys_are_skipped (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  const NetReply refused = { .status = 503 };
  const FeedOptions options = { .store = fixture->store,
                                .topic = TOPIC,
                                .wait_ms = 500,
                                .pause_ms = 1000,
                                .skips_missed = TRUE,
                                .on_record = note_offset,
                                .ctx = offsets };

  (void) state;
  set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  Feed *feed = feed_new (&options);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  fixture->n_unanswered = 1;
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  set_answer (fixture, 200,
              "{\"items\":[{\"key\":\"k\",\"value\":\"AA==\",\"offset\":25}],"
              "\"more\":false,\"end_offset\":26}");
  net_request_reply (g_ptr_array_steal_index (fixture->held, 0), &refused);
  while (feed_end (feed) < 26)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (offsets->len, 1);
  assert_int_equal (g_array_index (offsets, int64_t, 0), 25);
  fixture_free (fixture);
  feed_free (feed);
}

/** Events of a feed in their order: '<' and '>' around a load, 'r' for a record. */
static void
note_load_begin (void *ctx)
{
  g_string_append_c (ctx, '<');
}

static void
note_load_end (void *ctx)
{
  g_string_append_c (ctx, '>');
}

static void
note_record (void *ctx, const StoreRecord *record)
{
  (void) record;
  g_string_append_c (ctx, 'r');
}

/* A key that was removed meanwhile is only missing from the records of the next load. */
static void
load_is_enclosed_by_its_events (void **state)
{
  Fixture *fixture = fixture_new ();
  g_autoptr (GString) events = g_string_new ("");
  const FeedOptions options = { .store = fixture->store,
                                .topic = TOPIC,
                                .wait_ms = 500,
                                .pause_ms = 1000,
                                .skips_missed = TRUE,
                                .on_record = note_record,
                                .on_load_begin = note_load_begin,
                                .on_load_end = note_load_end,
                                .ctx = events };
  const NetReply expired
      = { .status = 410, .content_type = "application/json", .body = "{\"first_offset\":40}" };

  (void) state;
  set_answer (fixture, 200,
              "{\"items\":[{\"key\":\"k\",\"value\":\"AA==\",\"offset\":5}],"
              "\"more\":false,\"end_offset\":6}");
  Feed *feed = feed_new (&options);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  assert_string_equal (events->str, "<r>");
  fixture->n_unanswered = 1;
  while (fixture->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":50}");
  net_request_reply (g_ptr_array_steal_index (fixture->held, 0), &expired);
  while (feed_end (feed) < 50)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_string_equal (events->str, "<r><>");
  fixture_free (fixture);
  feed_free (feed);
}

/* Guards against keys that count as removed since the page that holds them can't be asked for. */
static void
load_without_its_next_page_is_repeated (void **state)
{
  static const char *const pages[] = {
    "{\"items\":[],\"more\":true,\"end_offset\":3}",
    "{\"items\":[{\"value\":\"AA==\",\"offset\":1}],\"more\":true,\"end_offset\":3}",
    "{\"items\":[{\"key\":\"a\",\"value\":\"AA==\",\"offset\":1}],\"more\":true,\"end_offset\":3}",
  };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    {
      Fixture *fixture = fixture_new ();
      g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
      set_answer (fixture, 200, pages[i]);
      Feed *feed = open_feed (fixture, offsets);
      while (fixture->n_calls < 3 && !feed_is_loaded (feed))
        (void) g_main_context_iteration (NULL, TRUE);
      assert_false (feed_is_loaded (feed));
      set_answer (fixture, 200, "{\"items\":[],\"more\":false,\"end_offset\":3}");
      while (!feed_is_loaded (feed))
        (void) g_main_context_iteration (NULL, TRUE);
      fixture_free (fixture);
      feed_free (feed);
    }
}

/* Guards against callers who wait for an answer that was lost although the ledger has their record,
 * and against later records that wait behind it. */
static void
record_that_was_read_is_written (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion first = { 0 };
  Completion second = { 0 };
  const OutboxRecord record = { .key = "l", .value = "v", .size = 1, .deadline_us = INT64_MAX };

  (void) state;
  set_answer (fixture, 200, "{\"offset\":6,\"end_offset\":7}");
  fixture->n_unanswered = 1;
  add_record (outbox, INT64_MAX, &first);
  run_loop_for (50);
  outbox_add (outbox, &record, on_completed, &second);
  outbox_handle_record (outbox, "k", 1, 5);
  assert_int_equal (first.n_done, 1);
  assert_int_equal (first.last, OUTBOX_WRITTEN);
  outbox_end_records (outbox);
  run_loop_for (100);
  assert_int_equal (second.n_done, 1);
  assert_int_equal (second.last, OUTBOX_WRITTEN);
  /* The call without an answer ends. */
  run_loop_for (1000);
  assert_int_equal (first.n_done, 1);
  assert_int_equal (outbox_waiting (outbox), 0);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* Guards against a caller who is told that its record was refused, while another caller's wait for
 * the same record has it written. */
static void
refused_record_has_no_caller_left (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion first = { 0 };
  Completion second = { 0 };

  (void) state;
  set_answer (fixture, 503, "{}");
  /* The store is slow, so the refusal by its full queue is retried. */
  fixture->pace.answer_ms = 800;
  fixture->pace.updated_us = clk_now_us ();
  add_record (outbox, clk_now_us () + 200 * CLK_US_PER_MS, &first);
  add_record (outbox, clk_now_us () + 2000 * CLK_US_PER_MS, &second);
  wait_for (&first);
  assert_int_equal (first.last, OUTBOX_IN_DOUBT);
  set_answer (fixture, 200, "{\"offset\":1,\"end_offset\":2}");
  wait_for (&second);
  assert_int_equal (second.last, OUTBOX_WRITTEN);
  outbox_free (outbox);
  fixture_free (fixture);
}

/* Guards against a record that is written after its only caller was told that it was refused. */
static void
record_refused_at_its_deadline_is_dropped (void **state)
{
  Fixture *fixture = fixture_new ();
  Outbox *outbox = open_outbox (fixture, NULL);
  Completion completion = { 0 };

  (void) state;
  set_answer (fixture, 503, "{}");
  fixture->pace.answer_ms = 800;
  fixture->pace.updated_us = clk_now_us ();
  add_record (outbox, clk_now_us () + 200 * CLK_US_PER_MS, &completion);
  wait_for (&completion);
  assert_int_equal (completion.last, OUTBOX_REFUSED);
  assert_int_equal (outbox_waiting (outbox), 0);
  uint32_t n_calls = fixture->n_calls;
  run_loop_for (600);
  assert_int_equal (fixture->n_calls, n_calls);
  outbox_free (outbox);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (forwarded_records_are_limited),
    cmocka_unit_test (refresh_waits_for_the_load),
    cmocka_unit_test (refreshes_are_shared),
    cmocka_unit_test (load_without_its_next_page_is_repeated),
    cmocka_unit_test (refresh_ends_with_a_failed_load),
    cmocka_unit_test (answers_map_to_outcomes),
    cmocka_unit_test (no_answer_is_in_doubt_and_no_listener_is_refused),
    cmocka_unit_test (refused_record_is_forwarded),
    cmocka_unit_test (record_refused_by_store_and_peer_is_refused),
    cmocka_unit_test (record_forwarded_twice_is_not_refused_by_one_answer),
    cmocka_unit_test (repeat_of_a_written_record_is_not_refused),
    cmocka_unit_test (unanswered_record_is_forwarded),
    cmocka_unit_test (refused_record_is_never_written),
    cmocka_unit_test (record_in_doubt_is_retried_until_written),
    cmocka_unit_test (doubt_is_reported_at_the_deadline),
    cmocka_unit_test (late_answer_does_not_rewind_the_feed),
    cmocka_unit_test (load_goes_on_after_a_key_with_special_characters),
    cmocka_unit_test (key_that_is_not_text_does_not_end_the_load),
    cmocka_unit_test (page_without_a_readable_record_does_not_end_the_load),
    cmocka_unit_test (load_is_fresh_from_its_begin),
    cmocka_unit_test (missed_records_of_few_keys_are_skipped),
    cmocka_unit_test (load_is_enclosed_by_its_events),
    cmocka_unit_test (record_that_was_read_is_written),
    cmocka_unit_test (refused_record_has_no_caller_left),
    cmocka_unit_test (record_refused_at_its_deadline_is_dropped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
