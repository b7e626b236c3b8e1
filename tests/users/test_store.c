/* The client of the store against a stand-in of it on the loopback, and what stands on the client.
 */
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

#define ADDRESS "127.0.0.1:28711"
#define TOPIC "keyed.test"

/* Answers as told, and remembers what was asked. */
typedef struct
{
  NetServer *server;
  NetClient *client;
  Store *store;
  uint32_t status;
  char *body;
  uint32_t n_calls;
  uint32_t n_unanswered; /**< the next calls get no answer */
  GPtrArray *held;
  GByteArray *last_body;
} World;

static void
on_request (void *ctx, NetRequest *request)
{
  World *world = ctx;
  size_t size = 0;
  const char *body = net_request_body (request, &size);
  const NetReply reply
      = { .status = world->status, .content_type = "application/json", .body = world->body };

  world->n_calls++;
  g_byte_array_set_size (world->last_body, 0);
  g_byte_array_append (world->last_body, (const guint8 *) body, (guint) size);
  if (world->n_unanswered > 0)
    {
      world->n_unanswered--;
      g_ptr_array_add (world->held, request);
      return;
    }
  net_request_reply (request, &reply);
}

static World *
world_new (void)
{
  World *world = g_new0 (World, 1);
  const NetServerOptions options = { .address = ADDRESS,
                                     .connections_max = 20,
                                     .idle_s = 10,
                                     .body_bytes_max = 100000,
                                     .handler = on_request,
                                     .ctx = world };

  world->held = g_ptr_array_new ();
  world->last_body = g_byte_array_new ();
  world->status = 200;
  world->server = net_server_new (&options, NULL);
  assert_non_null (world->server);
  world->client = net_client_new ();
  world->store = store_new (world->client, ADDRESS);
  return world;
}

static void
world_free (World *world)
{
  const NetReply reply = { .status = 500 };

  for (guint i = 0; i < world->held->len; i++)
    net_request_reply (g_ptr_array_index (world->held, i), &reply);
  for (int i = 0; i < 20; i++)
    (void) g_main_context_iteration (NULL, FALSE);
  net_client_free (world->client);
  store_free (world->store);
  net_server_free (world->server);
  g_ptr_array_unref (world->held);
  g_byte_array_unref (world->last_body);
  g_free (world->body);
  g_free (world);
}

static void
set_answer (World *world, uint32_t status, const char *body)
{
  g_free (world->body);
  world->body = g_strdup (body);
  world->status = status;
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
append_once (World *world, Result *result)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();

  store_add_record (records, "k", "v", 1);
  const StoreAppend append = { .topic = TOPIC,
                               .records = records,
                               .at = -1,
                               .producer = "p",
                               .epoch = 4,
                               .sequence = 8,
                               .timeout_ms = 300 };
  memset (result, 0, sizeof *result);
  store_append (world->store, &append, on_result, result);
  while (!result->is_done)
    (void) g_main_context_iteration (NULL, TRUE);
}

typedef struct
{
  uint32_t status;
  const char *body;
  StoreOutcome outcome;
} Answer;

static const Answer answers[] = {
  { 200, "{\"offset\":840,\"end_offset\":842}", STORE_OK },
  { 412, "{\"end_offset\":9}", STORE_MOVED },
  { 409, "{\"reason\":\"fenced\"}", STORE_FENCED },
  { 409, "{\"reason\":\"seq\",\"expected\":9}", STORE_SEQUENCE },
  { 429, "", STORE_REFUSED },
  { 503, "", STORE_REFUSED },
  { 507, "", STORE_REFUSED },
  { 418, "", STORE_MALFORMED },
};

static void
answers_are_told_apart (void **state)
{
  World *world = world_new ();
  Result result;

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      set_answer (world, answers[i].status, answers[i].body);
      append_once (world, &result);
      assert_int_equal (result.answer.outcome, answers[i].outcome);
    }
  set_answer (world, 409, "{\"reason\":\"seq\",\"expected\":9}");
  append_once (world, &result);
  assert_int_equal (result.answer.expected_sequence, 9);
  /* Length of the record, length of the key, key, value. */
  assert_int_equal (world->last_body->len, 7);
  assert_memory_equal (world->last_body->data, "\0\0\0\3\1kv", 7);
  world_free (world);
}

static void
silence_is_doubt_and_no_listener_is_not (void **state)
{
  World *world = world_new ();
  Result result;

  (void) state;
  world->n_unanswered = 1;
  append_once (world, &result);
  assert_int_equal (result.answer.outcome, STORE_IN_DOUBT);
  store_free (world->store);
  world->store = store_new (world->client, "127.0.0.1:28799");
  append_once (world, &result);
  assert_int_equal (result.answer.outcome, STORE_REFUSED);
  world_free (world);
}

static void
reply_held (World *world)
{
  const NetReply reply
      = { .status = world->status, .content_type = "application/json", .body = world->body };

  net_request_reply (g_ptr_array_steal_index (world->held, 0), &reply);
}

typedef struct
{
  uint32_t n_done;
  OutboxResult last;
} Fate;

static void
on_fate (void *ctx, OutboxResult result, int64_t offset)
{
  Fate *fate = ctx;

  (void) offset;
  fate->n_done++;
  fate->last = result;
}

static void
wait_for (const Fate *fate)
{
  while (fate->n_done == 0)
    (void) g_main_context_iteration (NULL, TRUE);
}

/* Another entry that takes all records that are passed on, if it is there. */
typedef struct
{
  gboolean is_there;
  uint32_t n_records;
} Helper;

static gboolean
take_record (void *ctx, const char *key, GBytes *value)
{
  Helper *helper = ctx;

  assert_string_equal (key, "k");
  assert_int_equal (g_bytes_get_size (value), 1);
  helper->n_records += helper->is_there;
  return helper->is_there;
}

static Outbox *
open_outbox (const World *world, Helper *helper)
{
  const OutboxOptions options = { .store = world->store,
                                  .topic = TOPIC,
                                  .forward = helper != NULL ? take_record : NULL,
                                  .ctx = helper };

  return outbox_new (&options);
}

static void
add_record (Outbox *outbox, int64_t deadline_us, Fate *fate)
{
  const OutboxRecord record = { .key = "k", .value = "v", .size = 1, .deadline_us = deadline_us };

  outbox_add (outbox, &record, on_fate, fate);
}

static void
turn_for (int64_t ms)
{
  int64_t end_us = clk_now_us () + ms * CLK_US_PER_MS;

  while (clk_now_us () < end_us)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
}

/* The store turns this entry away, and another one can write. */
static void
refused_record_is_passed_on (void **state)
{
  World *world = world_new ();
  Helper helper = { .is_there = TRUE };
  Outbox *outbox = open_outbox (world, &helper);
  Fate fate = { 0 };

  (void) state;
  set_answer (world, 503, "");
  add_record (outbox, INT64_MAX, &fate);
  while (helper.n_records == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  turn_for (300);
  assert_int_equal (fate.n_done, 0);
  outbox_take_fate (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (fate.n_done, 1);
  assert_int_equal (fate.last, OUTBOX_WRITTEN);
  assert_int_equal (outbox_waiting (outbox), 0);
  turn_for (100);
  outbox_free (outbox);
  world_free (world);
}

/* A refusal by both is one: the caller may hear that the record is not written. */
static void
record_that_both_refuse_is_refused (void **state)
{
  World *world = world_new ();
  Helper helper = { .is_there = TRUE };
  Outbox *outbox = open_outbox (world, &helper);
  Fate fate = { 0 };

  (void) state;
  set_answer (world, 503, "");
  add_record (outbox, INT64_MAX, &fate);
  while (helper.n_records == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  outbox_take_fate (outbox, "k", OUTBOX_REFUSED, -1);
  helper.is_there = FALSE;
  wait_for (&fate);
  assert_int_equal (fate.last, OUTBOX_REFUSED);
  outbox_free (outbox);
  world_free (world);
}

/* Passed on twice, refused once: the other one may be written yet. */
static void
record_passed_on_twice_is_not_refused_by_one_answer (void **state)
{
  World *world = world_new ();
  Helper helper = { .is_there = TRUE };
  Outbox *outbox = open_outbox (world, &helper);
  Fate fate = { 0 };

  (void) state;
  set_answer (world, 503, "");
  add_record (outbox, INT64_MAX, &fate);
  while (helper.n_records < 2)
    (void) g_main_context_iteration (NULL, TRUE);
  outbox_take_fate (outbox, "k", OUTBOX_REFUSED, -1);
  turn_for (200);
  assert_int_equal (fate.n_done, 0);
  outbox_take_fate (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (fate.last, OUTBOX_WRITTEN);
  turn_for (500);
  outbox_free (outbox);
  world_free (world);
}

/* A store that is slow to answer does not hold up what another entry writes. */
static void
slow_record_is_passed_on_as_well (void **state)
{
  World *world = world_new ();
  Helper helper = { .is_there = TRUE };
  Outbox *outbox = open_outbox (world, &helper);
  Fate fate = { 0 };

  (void) state;
  set_answer (world, 200, "{\"offset\":4,\"end_offset\":5}");
  world->n_unanswered = 1;
  add_record (outbox, INT64_MAX, &fate);
  turn_for (OUTBOX_FORWARD_MS / 2);
  assert_int_equal (helper.n_records, 0);
  turn_for (OUTBOX_FORWARD_MS);
  assert_int_equal (helper.n_records, 1);
  outbox_take_fate (outbox, "k", OUTBOX_WRITTEN, 7);
  assert_int_equal (fate.last, OUTBOX_WRITTEN);
  /* The answer of its own append finds nothing to settle. */
  reply_held (world);
  turn_for (50);
  assert_int_equal (fate.n_done, 1);
  outbox_free (outbox);
  world_free (world);
}

static void
refused_record_is_never_written (void **state)
{
  World *world = world_new ();
  Outbox *outbox = open_outbox (world, NULL);
  Fate fate = { 0 };

  (void) state;
  set_answer (world, 503, "");
  add_record (outbox, INT64_MAX, &fate);
  wait_for (&fate);
  assert_int_equal (fate.last, OUTBOX_REFUSED);
  assert_int_equal (outbox_waiting (outbox), 0);
  outbox_free (outbox);
  world_free (world);
}

/* An append without an answer may be there, so a refusal of its repeat says nothing. */
static void
record_in_doubt_is_repeated_until_written (void **state)
{
  World *world = world_new ();
  Outbox *outbox = open_outbox (world, NULL);
  Fate fate = { 0 };
  Fate second = { 0 };

  (void) state;
  world->n_unanswered = 1;
  set_answer (world, 503, "");
  add_record (outbox, INT64_MAX, &fate);
  while (world->n_calls < 3)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (fate.n_done, 0);
  /* The same record asked for again shares its fate. */
  add_record (outbox, INT64_MAX, &second);
  assert_int_equal (outbox_waiting (outbox), 1);
  set_answer (world, 200, "{\"offset\":1,\"end_offset\":2}");
  wait_for (&fate);
  assert_int_equal (fate.last, OUTBOX_WRITTEN);
  assert_int_equal (second.last, OUTBOX_WRITTEN);
  outbox_free (outbox);
  world_free (world);
}

static void
caller_is_told_of_the_doubt_in_time (void **state)
{
  World *world = world_new ();
  Outbox *outbox = open_outbox (world, NULL);
  Fate fate = { 0 };

  (void) state;
  world->n_unanswered = 100;
  add_record (outbox, 0, &fate);
  wait_for (&fate);
  assert_int_equal (fate.last, OUTBOX_IN_DOUBT);
  assert_int_equal (outbox_waiting (outbox), 1);
  for (int i = 0; i < 20; i++)
    (void) g_main_context_iteration (NULL, FALSE);
  world->n_unanswered = 0;
  set_answer (world, 200, "{\"offset\":1,\"end_offset\":2}");
  while (outbox_waiting (outbox) > 0)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (fate.n_done, 1);
  outbox_free (outbox);
  world_free (world);
}

/* Offsets that a feed handed on. */
static void
note_offset (void *ctx, const StoreRecord *record)
{
  g_array_append_val ((GArray *) ctx, record->offset);
}

/* A feed whose offsets go to @p offsets. */
static Feed *
open_feed (const World *world, GArray *offsets)
{
  const FeedOptions options = { .store = world->store,
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

/* Answers the oldest request that was held with records 0 to @p n_records - 1 of a topic. */
static void
answer_held (World *world, guint8 n_records)
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
  net_request_reply (g_ptr_array_steal_index (world->held, 0), &reply);
}

/* A refresh and a poll are under way at once; the one that saw less is answered last. */
static void
late_answer_does_not_go_back (void **state)
{
  World *world = world_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  gboolean is_refreshed = FALSE;

  (void) state;
  set_answer (world, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  Feed *feed = open_feed (world, offsets);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  world->n_unanswered = 2;
  while (world->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  feed_refresh (feed, note_refreshed, &is_refreshed);
  while (world->held->len < 2)
    (void) g_main_context_iteration (NULL, TRUE);
  answer_held (world, 3);
  while (offsets->len < 3)
    (void) g_main_context_iteration (NULL, TRUE);
  answer_held (world, 2);
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (offsets->len, 3);
  assert_int_equal (feed_end (feed), 3);
  world_free (world);
  feed_free (feed);
}

static void
reply_page (World *world, const char *body)
{
  const NetReply reply = { .status = 200, .content_type = "application/json", .body = body };

  net_request_reply (g_ptr_array_steal_index (world->held, 0), &reply);
}

/* A caller asks for a state while the newest records are still being read, page by page: reading
 * the topic from its start would bring older records after newer ones of the same key. */
static void
refresh_waits_for_the_load (void **state)
{
  World *world = world_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  gboolean is_refreshed = FALSE;

  (void) state;
  world->n_unanswered = 2;
  Feed *feed = open_feed (world, offsets);
  while (world->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  reply_page (world, "{\"items\":[{\"key\":\"k\",\"value\":\"AA==\",\"offset\":5}],"
                     "\"more\":true,\"end_offset\":6}");
  while (world->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  world->n_unanswered = 1;
  feed_refresh (feed, note_refreshed, &is_refreshed);
  for (int i = 0; i < 50 && world->held->len < 2; i++)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  assert_int_equal (world->held->len, 1);
  assert_false (is_refreshed);
  world->n_unanswered = 0;
  set_answer (world, 503, "{}");
  reply_page (world, "{\"items\":[],\"more\":false,\"end_offset\":6}");
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_true (feed_is_loaded (feed));
  assert_int_equal (feed_end (feed), 6);
  assert_int_equal (offsets->len, 1);
  world_free (world);
  feed_free (feed);
}

/* If the load fails, whoever waits is told so at once. */
static void
refresh_ends_with_a_failed_load (void **state)
{
  World *world = world_new ();
  gboolean is_refreshed = FALSE;

  (void) state;
  set_answer (world, 503, "{}");
  Feed *feed = open_feed (world, NULL);
  feed_refresh (feed, note_refreshed, &is_refreshed);
  while (!is_refreshed)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_false (feed_is_loaded (feed));
  world_free (world);
  feed_free (feed);
}

/* What was missed of a topic of few keys may be large: only the newest of each key says something.
 */
static void
missed_records_of_few_keys_are_skipped (void **state)
{
  World *world = world_new ();
  g_autoptr (GArray) offsets = g_array_new (FALSE, FALSE, sizeof (int64_t));
  const NetReply refused = { .status = 503 };
  const FeedOptions options = { .store = world->store,
                                .topic = TOPIC,
                                .wait_ms = 500,
                                .pause_ms = 1000,
                                .skips_missed = TRUE,
                                .on_record = note_offset,
                                .ctx = offsets };

  (void) state;
  set_answer (world, 200, "{\"items\":[],\"more\":false,\"end_offset\":0}");
  Feed *feed = feed_new (&options);
  while (!feed_is_loaded (feed))
    (void) g_main_context_iteration (NULL, TRUE);
  world->n_unanswered = 1;
  while (world->held->len < 1)
    (void) g_main_context_iteration (NULL, TRUE);
  set_answer (world, 200,
              "{\"items\":[{\"key\":\"k\",\"value\":\"AA==\",\"offset\":25}],"
              "\"more\":false,\"end_offset\":26}");
  net_request_reply (g_ptr_array_steal_index (world->held, 0), &refused);
  while (feed_end (feed) < 26)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (offsets->len, 1);
  assert_int_equal (g_array_index (offsets, int64_t, 0), 25);
  world_free (world);
  feed_free (feed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refresh_waits_for_the_load),
    cmocka_unit_test (refresh_ends_with_a_failed_load),
    cmocka_unit_test (answers_are_told_apart),
    cmocka_unit_test (silence_is_doubt_and_no_listener_is_not),
    cmocka_unit_test (refused_record_is_passed_on),
    cmocka_unit_test (record_that_both_refuse_is_refused),
    cmocka_unit_test (record_passed_on_twice_is_not_refused_by_one_answer),
    cmocka_unit_test (slow_record_is_passed_on_as_well),
    cmocka_unit_test (refused_record_is_never_written),
    cmocka_unit_test (record_in_doubt_is_repeated_until_written),
    cmocka_unit_test (caller_is_told_of_the_doubt_in_time),
    cmocka_unit_test (late_answer_does_not_go_back),
    cmocka_unit_test (missed_records_of_few_keys_are_skipped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
