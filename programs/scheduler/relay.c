/*
 * Requests between entries. An entry whose requests the store rejects forwards the records that it
 * can't write, and asks for the states of jobs that it can't read. The owner's records give the
 * addresses of the owner and of some deputies.
 */
#include <string.h>

#include "common/clk.h"
#include "common/line.h"
#include "entry_private.h"
#include "net/net_link.h"

/** Targets get a hello at this interval, and are used if they answered within the timeout. */
#define HELLO_MS 1000
#define HEARD_MS 2500
/** The owner and its deputies. */
#define TARGETS_MAX (1 + RELAY_DEPUTIES_MAX)
/** A question without an answer within this time has failed. */
#define QUESTION_MS 400
/** Most open questions. */
#define QUESTIONS_MAX 500
/** Deadline for writing a record that another entry forwarded. */
#define RECORD_MS 2500
/** Most senders of a recent hello that are kept. */
#define GUESTS_MAX 64

typedef struct
{
  char *address;
  GBytes *id;
  int64_t heard_us;  /**< when its newest message came; 0: none did */
  gboolean is_fresh; /**< its newest hello said that it reaches the store */
} Target;

typedef struct
{
  char *address;
  int64_t heard_us;
  gboolean is_fresh;
} Guest;

/** A request of another entry that is under way here. */
typedef struct
{
  Relay *relay;
  GBytes *peer;
  char *key; /**< of the record, or id of the job */
} Foreign;

/** A question about a job that another entry has not answered yet. */
typedef struct
{
  Relay *relay;
  char *job;
  int64_t asked_us;
  RelayTold done;
  void *ctx;
} Asked;

struct Relay
{
  Entry *entry;
  NetLinks *links;
  NetLink *server;
  NetLink *client;
  char *address;       /**< where this entry listens */
  GPtrArray *targets;  /**< Target, owned, best first */
  GPtrArray *guests;   /**< Guest, owned */
  GPtrArray *asked;    /**< Asked, owned, oldest first */
  GHashTable *foreign; /**< Foreign, owned, as a set */
  guint timer;
  guint check;
  MetSeries *passed;
  MetSeries *taken;
  MetSeries *questions;
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
guest_free (gpointer data)
{
  Guest *guest = data;

  g_free (guest->address);
  g_free (guest);
}

static void
asked_free (gpointer data)
{
  Asked *asked = data;

  g_free (asked->job);
  g_free (asked);
}

static void
foreign_free (gpointer data)
{
  Foreign *foreign = data;

  g_bytes_unref (foreign->peer);
  g_free (foreign->key);
  g_free (foreign);
}

static gboolean
send_message (NetLink *link, GBytes *peer, const Batch__Relay *message)
{
  size_t size = batch__relay__get_packed_size (message);
  g_autofree uint8_t *bytes = g_malloc (MAX (size, 1));

  (void) batch__relay__pack (message, bytes);
  return net_link_send (link, peer, bytes, size);
}

/* Server side: requests of other entries. */

static void
take_hello (Relay *relay, GBytes *peer, const Batch__Hello *hello)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Hello own = BATCH__HELLO__INIT;
  Guest *guest = NULL;

  for (guint i = 0; i < relay->guests->len && guest == NULL; i++)
    {
      guest = g_ptr_array_index (relay->guests, i);
      if (strcmp (guest->address, hello->address) != 0)
        guest = NULL;
    }
  if (guest == NULL && relay->guests->len < GUESTS_MAX)
    {
      guest = g_new0 (Guest, 1);
      guest->address = g_strdup (hello->address);
      g_ptr_array_add (relay->guests, guest);
    }
  if (guest != NULL)
    {
      guest->heard_us = clk_now_us ();
      guest->is_fresh = hello->is_fresh;
    }
  own.address = relay->address;
  own.is_fresh = entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS);
  answer.what_case = BATCH__RELAY__WHAT_HELLO;
  answer.hello = &own;
  (void) send_message (relay->server, peer, &answer);
}

static void
send_fate (Relay *relay, GBytes *peer, const char *key, OutboxResult result, int64_t offset)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Fate fate = BATCH__FATE__INIT;

  fate.key = (char *) key;
  fate.result = (uint32_t) result;
  fate.offset = offset;
  answer.what_case = BATCH__RELAY__WHAT_FATE;
  answer.fate = &fate;
  (void) send_message (relay->server, peer, &answer);
}

static Foreign *
foreign_new (Relay *relay, GBytes *peer, const char *key)
{
  Foreign *foreign = g_new0 (Foreign, 1);

  foreign->relay = relay;
  foreign->peer = g_bytes_ref (peer);
  foreign->key = g_strdup (key);
  (void) g_hash_table_add (relay->foreign, foreign);
  return foreign;
}

static void
on_foreign_written (void *ctx, OutboxResult result, int64_t offset)
{
  Foreign *foreign = ctx;

  send_fate (foreign->relay, foreign->peer, foreign->key, result, offset);
  (void) g_hash_table_remove (foreign->relay->foreign, foreign);
}

static gboolean
may_be_passed_on (const char *key)
{
  return g_str_has_prefix (key, LEDGER_JOB_PREFIX) || g_str_has_prefix (key, LEDGER_CANCEL_PREFIX);
}

static void
take_record (Relay *relay, GBytes *peer, const Batch__Record *record)
{
  const OutboxRecord row = { .key = record->key,
                             .value = record->value.data,
                             .size = record->value.len,
                             .deadline_us = clk_now_us () + RECORD_MS * CLK_US_PER_MS,
                             .is_foreign = TRUE };

  met_add (relay->taken, 1);
  if (!may_be_passed_on (record->key) || !entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS))
    {
      send_fate (relay, peer, record->key, OUTBOX_REFUSED, -1);
      return;
    }
  outbox_add (relay->entry->outbox, &row, on_foreign_written,
              foreign_new (relay, peer, record->key));
}

static void
tell (Relay *relay, GBytes *peer, const char *job)
{
  Batch__Relay answer = BATCH__RELAY__INIT;
  Batch__Told told = BATCH__TOLD__INIT;
  SchedJobState state = SCHED_QUEUED;

  told.job = (char *) job;
  told.is_known = ledger_job_state (ledger_job (relay->entry->ledger, job), &state);
  told.state = (uint32_t) state;
  answer.what_case = BATCH__RELAY__WHAT_TOLD;
  answer.told = &told;
  (void) send_message (relay->server, peer, &answer);
}

/* Sends no answer if the view is not fresh; the question then times out. */
static void
on_refreshed (void *ctx, gboolean is_fresh)
{
  Foreign *foreign = ctx;

  if (is_fresh)
    tell (foreign->relay, foreign->peer, foreign->key);
  (void) g_hash_table_remove (foreign->relay->foreign, foreign);
}

static void
take_question (Relay *relay, GBytes *peer, const Batch__Question *question)
{
  SchedJobState state = SCHED_QUEUED;
  gboolean is_known = ledger_job_state (ledger_job (relay->entry->ledger, question->job), &state);

  if (is_known && entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS))
    tell (relay, peer, question->job);
  else if (!is_known)
    feed_refresh (relay->entry->ledger_feed, on_refreshed,
                  foreign_new (relay, peer, question->job));
}

static void
on_asked (void *ctx, GBytes *peer, const uint8_t *data, size_t size)
{
  Relay *relay = ctx;
  Batch__Relay *message = batch__relay__unpack (NULL, size, data);

  if (message == NULL)
    {
      line_add ("relay", "message_malformed", "bytes=%zu", size);
      return;
    }
  if (message->what_case == BATCH__RELAY__WHAT_HELLO)
    take_hello (relay, peer, message->hello);
  else if (message->what_case == BATCH__RELAY__WHAT_RECORD)
    take_record (relay, peer, message->record);
  else if (message->what_case == BATCH__RELAY__WHAT_QUESTION)
    take_question (relay, peer, message->question);
  batch__relay__free_unpacked (message, NULL);
}

/* Client side: requests to other entries. */

static void
end_question (Relay *relay, guint index, const Batch__Told *told)
{
  Asked *asked = g_ptr_array_steal_index (relay->asked, index);

  asked->done (asked->ctx, told != NULL, told != NULL && told->is_known,
               told != NULL ? (SchedJobState) MIN (told->state, SCHED_CANCELLED) : SCHED_QUEUED);
  asked_free (asked);
}

static void
take_told (Relay *relay, const Batch__Told *told)
{
  for (guint i = relay->asked->len; i-- > 0;)
    {
      if (i < relay->asked->len
          && strcmp (((Asked *) g_ptr_array_index (relay->asked, i))->job, told->job) == 0)
        end_question (relay, i, told);
    }
}

static void
note_heard (Relay *relay, GBytes *peer, const Batch__Relay *message)
{
  for (guint i = 0; i < relay->targets->len; i++)
    {
      Target *target = g_ptr_array_index (relay->targets, i);
      if (target->id == NULL || !g_bytes_equal (target->id, peer))
        continue;
      target->heard_us = clk_now_us ();
      if (message->what_case == BATCH__RELAY__WHAT_HELLO)
        target->is_fresh = message->hello->is_fresh;
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
  note_heard (relay, peer, message);
  if (message->what_case == BATCH__RELAY__WHAT_FATE)
    outbox_take_fate (relay->entry->outbox, message->fate->key,
                      (OutboxResult) MIN (message->fate->result, OUTBOX_IN_DOUBT),
                      message->fate->offset);
  else if (message->what_case == BATCH__RELAY__WHAT_TOLD)
    take_told (relay, message->told);
  batch__relay__free_unpacked (message, NULL);
}

static const Target *
best_target (const Relay *relay)
{
  int64_t after_us = clk_now_us () - HEARD_MS * CLK_US_PER_MS;

  for (guint i = 0; i < relay->targets->len; i++)
    {
      const Target *target = g_ptr_array_index (relay->targets, i);
      if (target->is_fresh && target->heard_us >= after_us)
        return target;
    }
  return NULL;
}

gboolean
relay_is_open (const Relay *relay)
{
  return best_target (relay) != NULL;
}

gboolean
relay_pass_on (void *ctx, const char *key, GBytes *value)
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
  met_add (relay->passed, 1);
  line_add ("relay", "passed_on", "key=%s to=%s", key, target->address);
  return TRUE;
}

static gboolean
on_check (gpointer data)
{
  Relay *relay = data;
  int64_t before_us = clk_now_us () - QUESTION_MS * CLK_US_PER_MS;

  while (relay->asked->len > 0
         && ((Asked *) g_ptr_array_index (relay->asked, 0))->asked_us < before_us)
    end_question (relay, 0, NULL);
  if (relay->asked->len > 0)
    return G_SOURCE_CONTINUE;
  relay->check = 0;
  return G_SOURCE_REMOVE;
}

gboolean
relay_ask (Relay *relay, const char *job, RelayTold done, void *ctx)
{
  const Target *target = best_target (relay);
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Question question = BATCH__QUESTION__INIT;

  if (target == NULL || relay->asked->len >= QUESTIONS_MAX)
    return FALSE;
  question.job = (char *) job;
  message.what_case = BATCH__RELAY__WHAT_QUESTION;
  message.question = &question;
  if (!send_message (relay->client, target->id, &message))
    return FALSE;
  met_add (relay->questions, 1);
  Asked *asked = g_new0 (Asked, 1);
  *asked = (Asked){ relay, g_strdup (job), clk_now_us (), done, ctx };
  g_ptr_array_add (relay->asked, asked);
  if (relay->check == 0)
    relay->check = g_timeout_add (QUESTION_MS / 4, on_check, relay);
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
keep_target (Relay *relay, GPtrArray *next, const char *address)
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
relay_take_owner (Relay *relay, const LedgerOwner *owner)
{
  GPtrArray *next = g_ptr_array_new_with_free_func (target_free);

  keep_target (relay, next, owner->address);
  for (char **deputy = owner->deputies; *deputy != NULL; deputy++)
    keep_target (relay, next, *deputy);
  for (guint i = 0; i < relay->targets->len; i++)
    net_link_drop_peer (relay->client, ((Target *) g_ptr_array_index (relay->targets, i))->address);
  g_ptr_array_unref (relay->targets);
  relay->targets = next;
}

static void
say_hello (const Relay *relay, const Target *target)
{
  Batch__Relay message = BATCH__RELAY__INIT;
  Batch__Hello hello = BATCH__HELLO__INIT;

  hello.address = relay->address;
  hello.is_fresh = entry_is_fresh (relay->entry, ENTRY_STORE_AGE_MAX_MS);
  message.what_case = BATCH__RELAY__WHAT_HELLO;
  message.hello = &hello;
  if (target->id != NULL)
    (void) send_message (relay->client, target->id, &message);
}

/* Reconnects a target that went silent. A connection can stop working without a reset. */
static void
renew_if_silent (Relay *relay, Target *target)
{
  if (target->heard_us == 0 || clk_now_us () - target->heard_us < HEARD_MS * CLK_US_PER_MS)
    return;
  net_link_drop_peer (relay->client, target->address);
  g_clear_pointer (&target->id, g_bytes_unref);
  target->heard_us = 0;
  target->is_fresh = FALSE;
  connect_target (relay, target);
}

static gboolean
on_hello_due (gpointer data)
{
  Relay *relay = data;

  for (guint i = 0; i < relay->targets->len; i++)
    {
      Target *target = g_ptr_array_index (relay->targets, i);
      renew_if_silent (relay, target);
      say_hello (relay, target);
    }
  return G_SOURCE_CONTINUE;
}

uint32_t
relay_deputies (const Relay *relay, const char **addresses)
{
  int64_t after_us = clk_now_us () - HEARD_MS * CLK_US_PER_MS;
  uint32_t n_deputies = 0;

  for (guint i = relay->guests->len; i-- > 0;)
    {
      const Guest *guest = g_ptr_array_index (relay->guests, i);
      if (guest->heard_us < after_us)
        g_ptr_array_remove_index (relay->guests, i);
      else if (guest->is_fresh && n_deputies < RELAY_DEPUTIES_MAX)
        addresses[n_deputies++] = guest->address;
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
  relay->guests = g_ptr_array_new_with_free_func (guest_free);
  relay->asked = g_ptr_array_new_with_free_func (asked_free);
  relay->foreign = g_hash_table_new_full (NULL, NULL, foreign_free, NULL);
  relay->links = net_links_new ();
  relay->client = net_link_open (relay->links, on_answer, relay);
  relay->passed = met_counter (metrics, "acacia_records_passed_on_total", NULL,
                               "Records that another entry was asked to write");
  relay->taken
      = met_counter (metrics, "acacia_records_taken_total", NULL, "Records of other entries");
  relay->questions = met_counter (metrics, "acacia_jobs_asked_total", NULL,
                                  "Jobs that another entry was asked about");
  relay->server = net_link_listen (relay->links, relay->address, on_asked, relay, error);
  if (relay->server == NULL)
    {
      relay_free (relay);
      return NULL;
    }
  relay->timer = g_timeout_add (HELLO_MS, on_hello_due, relay);
  return relay;
}

void
relay_free (Relay *relay)
{
  if (relay == NULL)
    return;
  g_clear_handle_id (&relay->timer, g_source_remove);
  g_clear_handle_id (&relay->check, g_source_remove);
  net_link_free (relay->server);
  net_link_free (relay->client);
  net_links_free (relay->links);
  g_ptr_array_unref (relay->targets);
  g_ptr_array_unref (relay->guests);
  g_ptr_array_unref (relay->asked);
  g_hash_table_destroy (relay->foreign);
  g_free (relay->address);
  g_free (relay);
}
