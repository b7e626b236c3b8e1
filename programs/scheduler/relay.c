/*
 * Requests between entries. An entry whose requests the store rejects forwards the records that it
 * can't write, and asks for the states of jobs that it can't read. The owner's records give the
 * addresses of the owner and of some deputies.
 */
#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "entry_private.h"
#include "ledger/handover.h"
#include "net/net_link.h"
#include "relay_outcomes.h"

/** Targets get a hello at this interval, and are used if they answered within the timeout. */
#define HELLO_INTERVAL_MS 1000
/** The same while an owner waits for the age of their views. */
#define VIEW_INTERVAL_MS 100
#define PEER_TIMEOUT_MS 2500
/** Largest number of targets: the owner and its deputies. */
#define TARGETS_MAX (1 + RELAY_DEPUTIES_MAX)
/** A question without an answer within this time has failed. */
#define QUESTION_TIMEOUT_MS 400
/** Largest number of open questions. */
#define QUESTIONS_MAX 500
/** Largest number of recent hello senders that are kept. */
#define HELLO_SENDERS_MAX 64

typedef struct
{
  char *address;
  GBytes *id;
  int64_t received_us; /**< when its newest message was received; 0: none */
  gboolean is_fresh;   /**< its newest hello reported that it reaches the store */
  int64_t append_ms;   /**< how long its appends take, as it last reported; 0: it did not */
  int64_t asked_us;    /**< when the oldest hello was sent that it has not answered; 0: none */
  int64_t view_us;     /**< up to when it had read the ledger, at the least; 0: not known */
} Target;

typedef struct
{
  char *address;
  GBytes *id; /**< where an answer to its newest hello goes */
  int64_t received_us;
  gboolean is_fresh;
} HelloSender;

/** A request of another entry that is under way here. */
typedef struct
{
  Relay *relay;
  GBytes *peer;
  char *key; /**< key of the record, or id of the job */
} PeerRequest;

/** A question about a job that another entry has not answered yet. */
typedef struct
{
  Relay *relay;
  char *job;
  int64_t sent_us;
  RelayJobState done;
  void *ctx;
} OpenQuestion;

struct Relay
{
  Entry *entry;
  NetLinks *links;
  NetLink *server;
  NetLink *client;
  char *address;             /**< where this entry listens */
  char *owner_address;       /**< where the owner listens; may be empty */
  GPtrArray *targets;        /**< Target, owned, best first */
  GPtrArray *hello_senders;  /**< HelloSender, owned */
  GPtrArray *open_questions; /**< OpenQuestion, owned, oldest first */
  GHashTable *peer_requests; /**< PeerRequest, owned, as a set */
  RelayOutcomes *outcomes;   /**< of records of other entries */
  guint hello_timer;
  guint question_timer;
  int64_t views_asked_us; /**< when targets were last asked for the age of their views */
  MetSeries *forwarded;
  MetSeries *received;
  MetSeries *questions_sent;
  MetSeries *handed_over;
  MetSeries *turned_away;
  MetSeries *append_expected;
};

static void
target_free (gpointer data)
{
  Target *target = data;

  g_clear_pointer (&target->id, g_bytes_unref);
  g_free (target->address);
  g_free (target);
}

static void
hello_sender_free (gpointer data)
{
  HelloSender *hello_sender = data;

  g_clear_pointer (&hello_sender->id, g_bytes_unref);
  g_free (hello_sender->address);
  g_free (hello_sender);
}

static void
open_question_free (gpointer data)
{
  OpenQuestion *open_question = data;

  g_free (open_question->job);
  g_free (open_question);
}

static void
peer_request_free (gpointer data)
{
  PeerRequest *peer_request = data;

  g_bytes_unref (peer_request->peer);
  g_free (peer_request->key);
  g_free (peer_request);
}

static gboolean
send_message (NetLink *link, GBytes *peer, const Batch__Relay *message)
{
  size_t size = batch__relay__get_packed_size (message);
  g_autofree uint8_t *bytes = g_malloc (MAX (size, 1));

  (void) batch__relay__pack (message, bytes);
  NetLinkResult result = net_link_send (link, peer, bytes, size);
  if (result == NET_LINK_TOO_LARGE)
    line_add ("relay", "message_too_large", "what=%d bytes=%zu bytes_max=%d",
              (int) message->what_case, size, NET_LINK_MESSAGE_MAX);
  return result == NET_LINK_SENT;
}

/* Server side: requests of other entries. */

/* An owner that leaves goes on taking records until its ownership is released. */
static gboolean
takes_no_records (const Relay *relay)
{
  return relay->entry->is_leaving && owner_is_idle (relay->entry->owner);
}

static uint32_t
append_ms (const Relay *relay)
{
  if (takes_no_records (relay))
    return 0;
  return (uint32_t) MIN (store_pace_answered_ms (&relay->entry->pace, clk_now_us ()), G_MAXINT32);
}

static void
handle_hello (Relay *relay, GBytes *peer, const Batch__Hello *hello)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Hello own = BATCH__HELLO__INIT;
  HelloSender *hello_sender = NULL;

  for (guint i = 0; i < relay->hello_senders->len && hello_sender == NULL; i++)
    {
      hello_sender = g_ptr_array_index (relay->hello_senders, i);
      if (strcmp (hello_sender->address, hello->address) != 0)
        hello_sender = NULL;
    }
  if (hello_sender == NULL && relay->hello_senders->len < HELLO_SENDERS_MAX)
    {
      hello_sender = g_new0 (HelloSender, 1);
      hello_sender->address = g_strdup (hello->address);
      g_ptr_array_add (relay->hello_senders, hello_sender);
    }
  if (hello_sender != NULL)
    {
      g_clear_pointer (&hello_sender->id, g_bytes_unref);
      hello_sender->id = g_bytes_ref (peer);
      hello_sender->received_us = clk_now_us ();
      hello_sender->is_fresh = hello->is_fresh;
    }
  own.address = relay->address;
  own.is_fresh = entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS);
  own.append_ms = append_ms (relay);
  /* One that leaves, or has no configuration, can't take over. */
  if (!relay->entry->is_leaving && relay->entry->config != NULL)
    own.view_age_ms
        = handover_view_age_ms (feed_fresh_us (relay->entry->ledger_feed), clk_now_us ());
  answer.what_case = BATCH__RELAY__WHAT_HELLO;
  answer.hello = &own;
  (void) send_message (relay->server, peer, &answer);
}

static PeerRequest *
peer_request_new (Relay *relay, GBytes *peer, const char *key)
{
  PeerRequest *peer_request = g_new0 (PeerRequest, 1);

  peer_request->relay = relay;
  peer_request->peer = g_bytes_ref (peer);
  peer_request->key = g_strdup (key);
  (void) g_hash_table_add (relay->peer_requests, peer_request);
  return peer_request;
}

static void
on_peer_record_written (void *ctx, OutboxResult result, int64_t offset)
{
  PeerRequest *peer_request = ctx;

  relay_outcomes_send (peer_request->relay->outcomes, peer_request->peer, peer_request->key, result,
                       offset);
  (void) g_hash_table_remove (peer_request->relay->peer_requests, peer_request);
}

/* Whether the same entry has asked for the record before and waits for its outcome. A second
 * outcome for each repeat could exceed the queue of the link, and others would be dropped. */
static gboolean
is_asked (const Relay *relay, GBytes *peer, const char *key)
{
  GHashTableIter iter;
  gpointer request = NULL;

  g_hash_table_iter_init (&iter, relay->peer_requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    {
      const PeerRequest *peer_request = request;
      if (g_bytes_equal (peer_request->peer, peer) && strcmp (peer_request->key, key) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether the record is refused since the store is slow and another entry is the owner. The appends
 * of a deputy to which the owner forwards would queue up in the store before the owner's own. */
static gboolean
is_left_to_owner (const Relay *relay, const char *key)
{
  return g_strcmp0 (relay->owner_address, relay->address) != 0
         && store_pace_is_slow (&relay->entry->pace, clk_now_us ())
         && !outbox_knows (relay->entry->outbox, key);
}

static void
handle_record (Relay *relay, GBytes *peer, const Batch__Record *record)
{
  const OutboxRecord row = { .key = record->key,
                             .value = record->value.data,
                             .size = record->value.len,
                             .deadline_us = clk_now_us () + RELAY_WRITE_TIMEOUT_MS * CLK_US_PER_MS,
                             .is_forwarded = TRUE };

  met_add (relay->received, 1);
  if (!ledger_is_job_key (record->key) || takes_no_records (relay)
      || is_left_to_owner (relay, record->key)
      || !entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS))
    {
      relay_outcomes_send (relay->outcomes, peer, record->key, OUTBOX_REFUSED, -1);
      return;
    }
  if (is_asked (relay, peer, record->key))
    return;
  outbox_add (relay->entry->outbox, &row, on_peer_record_written,
              peer_request_new (relay, peer, record->key));
}

static void
send_job_state (Relay *relay, GBytes *peer, const char *job)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Told job_state = BATCH__TOLD__INIT;
  SchedJobState state = SCHED_QUEUED;

  job_state.job = (char *) job;
  job_state.is_known = ledger_job_state (ledger_job (relay->entry->ledger, job), &state);
  job_state.state = (uint32_t) state;
  answer.what_case = BATCH__RELAY__WHAT_TOLD;
  answer.told = &job_state;
  (void) send_message (relay->server, peer, &answer);
}

/* Sends no answer if the view is not fresh; the question then times out. */
static void
on_view_refreshed (void *ctx, gboolean is_fresh)
{
  PeerRequest *peer_request = ctx;

  if (is_fresh)
    send_job_state (peer_request->relay, peer_request->peer, peer_request->key);
  (void) g_hash_table_remove (peer_request->relay->peer_requests, peer_request);
}

static void
handle_question (Relay *relay, GBytes *peer, const Batch__Question *question)
{
  SchedJobState state = SCHED_QUEUED;
  gboolean is_known = ledger_job_state (ledger_job (relay->entry->ledger, question->job), &state);

  if (is_known && entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS))
    send_job_state (relay, peer, question->job);
  else if (!is_known)
    feed_refresh (relay->entry->ledger_feed, on_view_refreshed,
                  peer_request_new (relay, peer, question->job));
}

static void
on_request (void *ctx, GBytes *peer, const uint8_t *data, size_t size)
{
  Relay *relay = ctx;
  Batch__Relay *message = batch__relay__unpack (NULL, size, data);

  if (message == NULL)
    {
      line_add ("relay", "message_malformed", "bytes=%zu", size);
      return;
    }
  if (message->what_case == BATCH__RELAY__WHAT_HELLO)
    handle_hello (relay, peer, message->hello);
  else if (message->what_case == BATCH__RELAY__WHAT_RECORD)
    handle_record (relay, peer, message->record);
  else if (message->what_case == BATCH__RELAY__WHAT_QUESTION)
    handle_question (relay, peer, message->question);
  batch__relay__free_unpacked (message, NULL);
}

/* Client side: requests to other entries. */

static void
finish_question (Relay *relay, guint index, const Batch__Told *job_state)
{
  OpenQuestion *open_question = g_ptr_array_steal_index (relay->open_questions, index);

  open_question->done (
      open_question->ctx, job_state != NULL, job_state != NULL && job_state->is_known,
      job_state != NULL ? (SchedJobState) MIN (job_state->state, SCHED_CANCELLED) : SCHED_QUEUED);
  open_question_free (open_question);
}

static void
handle_job_state (Relay *relay, const Batch__Told *job_state)
{
  for (guint i = relay->open_questions->len; i-- > 0;)
    {
      if (i < relay->open_questions->len
          && strcmp (((OpenQuestion *) g_ptr_array_index (relay->open_questions, i))->job,
                     job_state->job)
                 == 0)
        finish_question (relay, i, job_state);
    }
}

static void
record_answer (Relay *relay, GBytes *peer, const Batch__Relay *message)
{
  for (guint i = 0; i < relay->targets->len; i++)
    {
      Target *target = g_ptr_array_index (relay->targets, i);
      if (target->id == NULL || !g_bytes_equal (target->id, peer))
        continue;
      target->received_us = clk_now_us ();
      if (message->what_case == BATCH__RELAY__WHAT_HELLO)
        {
          target->is_fresh = message->hello->is_fresh;
          target->append_ms = message->hello->append_ms;
          target->view_us
              = MAX (target->view_us,
                     handover_peer_view_us (target->asked_us, message->hello->view_age_ms));
          target->asked_us = 0;
        }
      else if (message->what_case == BATCH__RELAY__WHAT_FATE)
        target->append_ms = message->fate->append_ms;
    }
}

static void
on_answer (void *ctx, GBytes *peer, const uint8_t *data, size_t size)
{
  Relay *relay = ctx;
  Batch__Relay *message = batch__relay__unpack (NULL, size, data);

  if (message == NULL)
    {
      line_add ("relay", "answer_malformed", "bytes=%zu", size);
      return;
    }
  record_answer (relay, peer, message);
  if (message->what_case == BATCH__RELAY__WHAT_FATE)
    outbox_handle_forward_result (relay->entry->outbox, message->fate->key,
                                  (OutboxResult) MIN (message->fate->result, OUTBOX_IN_DOUBT),
                                  message->fate->offset);
  else if (message->what_case == BATCH__RELAY__WHAT_TOLD)
    handle_job_state (relay, message->told);
  else if (message->what_case == BATCH__RELAY__WHAT_RESIGNED)
    owner_handle_resigned (relay->entry->owner, message->resigned->term, message->resigned->boot);
  batch__relay__free_unpacked (message, NULL);
}

static const Target *
best_target (const Relay *relay)
{
  int64_t after_us = clk_now_us () - PEER_TIMEOUT_MS * CLK_US_PER_MS;

  for (guint i = 0; i < relay->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (relay->targets, i);
      if (target->is_fresh && target->received_us >= after_us)
        return target;
    }
  return NULL;
}

gboolean
relay_can_ask (const Relay *relay)
{
  return best_target (relay) != NULL;
}

gboolean
relay_forward_record (void *ctx, const char *key, GBytes *value)
{
  Relay *relay = ctx;
  const Target *target = best_target (relay);
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Record record = BATCH__RECORD__INIT;

  if (target == NULL)
    return FALSE;
  record.key = (char *) key;
  record.value.data = (uint8_t *) g_bytes_get_data (value, &record.value.len);
  message.what_case = BATCH__RELAY__WHAT_RECORD;
  message.record = &record;
  if (!send_message (relay->client, target->id, &message))
    return FALSE;
  met_add (relay->forwarded, 1);
  line_add ("relay", "passed_on", "key=%s to=%s", key, target->address);
  return TRUE;
}

int64_t
relay_owner_append_ms (void *ctx)
{
  const Relay *relay = ctx;
  const Target *target = best_target (relay);

  if (target == NULL || relay->owner_address == NULL
      || strcmp (target->address, relay->owner_address) != 0)
    return 0;
  return target->append_ms;
}

static gboolean
on_question_timeout (gpointer data)
{
  Relay *relay = data;
  int64_t before_us = clk_now_us () - QUESTION_TIMEOUT_MS * CLK_US_PER_MS;

  while (relay->open_questions->len > 0
         && ((OpenQuestion *) g_ptr_array_index (relay->open_questions, 0))->sent_us < before_us)
    finish_question (relay, 0, NULL);
  if (relay->open_questions->len > 0)
    return G_SOURCE_CONTINUE;
  relay->question_timer = 0;
  return G_SOURCE_REMOVE;
}

gboolean
relay_query_job (Relay *relay, const char *job, RelayJobState done, void *ctx)
{
  const Target *target = best_target (relay);
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Question question = BATCH__QUESTION__INIT;

  if (target == NULL || relay->open_questions->len >= QUESTIONS_MAX)
    return FALSE;
  question.job = (char *) job;
  message.what_case = BATCH__RELAY__WHAT_QUESTION;
  message.question = &question;
  if (!send_message (relay->client, target->id, &message))
    return FALSE;
  met_add (relay->questions_sent, 1);
  OpenQuestion *open_question = g_new0 (OpenQuestion, 1);
  *open_question = (OpenQuestion){ relay, g_strdup (job), clk_now_us (), done, ctx };
  g_ptr_array_add (relay->open_questions, open_question);
  if (relay->question_timer == 0)
    relay->question_timer = g_timeout_add (QUESTION_TIMEOUT_MS / 4, on_question_timeout, relay);
  return TRUE;
}

/* Entries that can be asked. */

/* Returns the target's index, or the number of targets if there is none. */
static guint
find_target (const Relay *relay, const char *address)
{
  guint index = 0;

  while (index < relay->targets->len
         && strcmp (((Target *) g_ptr_array_index (relay->targets, index))->address, address) != 0)
    index++;
  return index;
}

static void
connect_target (Relay *relay, Target *target)
{
  g_autoptr (GError) error = NULL;

  target->id = net_link_add_peer (relay->client, target->address, &error);
  if (target->id == NULL)
    line_add ("relay", "target_unreachable", "address=%s error=\"%s\"", target->address,
              error->message);
}

/* Moves the target with @p address to @p next; creates it if there is none. */
static void
reuse_or_add_target (Relay *relay, GPtrArray *next, const char *address)
{
  if (*address == '\0' || strcmp (address, relay->address) == 0 || next->len >= TARGETS_MAX)
    return;
  guint index = find_target (relay, address);
  if (index < relay->targets->len)
    {
      g_ptr_array_add (next, g_ptr_array_steal_index (relay->targets, index));
      return;
    }
  Target *target = g_new0 (Target, 1);
  target->address = g_strdup (address);
  connect_target (relay, target);
  g_ptr_array_add (next, target);
}

void
relay_update_owner (Relay *relay, const LedgerOwner *owner)
{
  GPtrArray *next = g_ptr_array_new_with_free_func (target_free);

  reuse_or_add_target (relay, next, owner->address);
  for (char **deputy = owner->deputies; *deputy != NULL; deputy++)
    reuse_or_add_target (relay, next, *deputy);
  for (guint i = 0; i < relay->targets->len; i++)
    net_link_drop_peer (relay->client, ((Target *) g_ptr_array_index (relay->targets, i))->address);
  g_ptr_array_unref (relay->targets);
  relay->targets = next;
  g_free (relay->owner_address);
  relay->owner_address = g_strdup (owner->address);
}

static void
send_hello (const Relay *relay, Target *target)
{
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Hello hello = BATCH__HELLO__INIT;

  hello.address = relay->address;
  hello.is_fresh = entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS);
  message.what_case = BATCH__RELAY__WHAT_HELLO;
  message.hello = &hello;
  if (target->id == NULL || !send_message (relay->client, target->id, &message))
    return;
  target->asked_us = target->asked_us != 0 ? target->asked_us : clk_now_us ();
}

/* Reconnects a target that went silent. A connection can stop working without a reset. */
static void
reconnect_if_silent (Relay *relay, Target *target)
{
  if (target->received_us == 0
      || clk_now_us () - target->received_us < PEER_TIMEOUT_MS * CLK_US_PER_MS)
    return;
  net_link_drop_peer (relay->client, target->address);
  g_clear_pointer (&target->id, g_bytes_unref);
  target->received_us = 0;
  target->asked_us = 0;
  target->is_fresh = FALSE;
  connect_target (relay, target);
}

static gboolean
on_hello_due (gpointer data)
{
  Relay *relay = data;

  met_set (relay->turned_away, (int64_t) outbox_turned_away (relay->entry->outbox));
  met_set (relay->handed_over, (int64_t) outbox_handed_over (relay->entry->outbox));
  met_set (relay->append_expected, store_pace_expected_ms (&relay->entry->pace, clk_now_us ()));
  for (guint i = 0; i < relay->targets->len; i++)
    {
      Target *target = g_ptr_array_index (relay->targets, i);
      reconnect_if_silent (relay, target);
      send_hello (relay, target);
    }
  return G_SOURCE_CONTINUE;
}

void
relay_ask_views (Relay *relay)
{
  int64_t now = clk_now_us ();

  if (now - relay->views_asked_us < VIEW_INTERVAL_MS * CLK_US_PER_MS)
    return;
  relay->views_asked_us = now;
  for (guint i = 0; i < relay->targets->len; i++)
    send_hello (relay, g_ptr_array_index (relay->targets, i));
}

int64_t
relay_peer_view_us (const Relay *relay)
{
  int64_t newest_us = 0;

  for (guint i = 0; i < relay->targets->len; i++)
    newest_us = MAX (newest_us, ((Target *) g_ptr_array_index (relay->targets, i))->view_us);
  return newest_us;
}

void
relay_tell_resigned (Relay *relay, uint64_t term)
{
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Resigned resigned = BATCH__RESIGNED__INIT;

  resigned.term = term;
  resigned.boot = node_boot (relay->entry->node);
  message.what_case = BATCH__RELAY__WHAT_RESIGNED;
  message.resigned = &resigned;
  for (guint i = 0; i < relay->hello_senders->len; i++)
    {
      const HelloSender *hello_sender = g_ptr_array_index (relay->hello_senders, i);
      (void) send_message (relay->server, hello_sender->id, &message);
    }
}

uint32_t
relay_deputies (const Relay *relay, const char **addresses)
{
  int64_t after_us = clk_now_us () - PEER_TIMEOUT_MS * CLK_US_PER_MS;
  uint32_t n_deputies = 0;

  for (guint i = relay->hello_senders->len; i-- > 0;)
    {
      const HelloSender *hello_sender = g_ptr_array_index (relay->hello_senders, i);
      if (hello_sender->received_us < after_us)
        g_ptr_array_remove_index (relay->hello_senders, i);
      else if (hello_sender->is_fresh && n_deputies < RELAY_DEPUTIES_MAX)
        addresses[n_deputies++] = hello_sender->address;
    }
  return n_deputies;
}

const char *
relay_address (const Relay *relay)
{
  return relay->address;
}

Relay *
relay_new (Entry *entry, GError **error)
{
  Relay *relay = g_new0 (Relay, 1);
  MetRegistry *metrics = node_metrics (entry->node);

  relay->entry = entry;
  relay->address
      = g_strdup_printf ("%s:%d", entry->settings->ip, (int) entry->settings->internal_port);
  relay->targets = g_ptr_array_new_with_free_func (target_free);
  relay->hello_senders = g_ptr_array_new_with_free_func (hello_sender_free);
  relay->open_questions = g_ptr_array_new_with_free_func (open_question_free);
  relay->peer_requests = g_hash_table_new_full (NULL, NULL, peer_request_free, NULL);
  relay->links = net_links_new ();
  relay->client = net_link_open (relay->links, on_answer, relay);
  relay->forwarded = met_counter (metrics, "acacia_records_passed_on_total", NULL,
                                  "Records that another entry was asked to write");
  relay->received
      = met_counter (metrics, "acacia_records_taken_total", NULL, "Records of other entries");
  relay->questions_sent = met_counter (metrics, "acacia_jobs_asked_total", NULL,
                                       "Jobs that another entry was asked about");
  relay->turned_away = met_counter (metrics, "acacia_relay_turned_away_total", NULL,
                                    "Records of other entries that were refused for lack of room");
  relay->handed_over = met_counter (metrics, "acacia_records_handed_over_total", NULL,
                                    "Records left to the owner since the store was slow");
  relay->append_expected
      = met_gauge (metrics, "acacia_append_expected_ms", NULL, "Expected time of an append");
  relay->server = net_link_listen (relay->links, relay->address, on_request, relay, error);
  if (relay->server == NULL)
    {
      relay_free (relay);
      return NULL;
    }
  relay->outcomes = relay_outcomes_new (relay->server, &relay->entry->pace);
  relay->hello_timer = g_timeout_add (HELLO_INTERVAL_MS, on_hello_due, relay);
  return relay;
}

void
relay_free (Relay *relay)
{
  if (relay == NULL)
    return;
  g_clear_handle_id (&relay->hello_timer, g_source_remove);
  g_clear_handle_id (&relay->question_timer, g_source_remove);
  relay_outcomes_free (relay->outcomes);
  net_link_free (relay->server);
  net_link_free (relay->client);
  net_links_free (relay->links);
  g_ptr_array_unref (relay->targets);
  g_ptr_array_unref (relay->hello_senders);
  g_ptr_array_unref (relay->open_questions);
  g_hash_table_destroy (relay->peer_requests);
  g_free (relay->address);
  g_free (relay->owner_address);
  g_free (relay);
}
