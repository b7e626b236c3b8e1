#include "ledger/outbox.h"

#include <string.h>

#include "common/clk.h"
#include "common/line.h"

/** First and longest pause before a failed append is repeated. */
#define RETRY_MIN_MS 60
#define RETRY_MAX_MS 400
/** A forwarded record without an answer is forwarded again after this. */
#define FORWARD_RETRY_MS 600
/** Interval of checking deadlines. */
#define CHECK_MS 50
/** A written key is remembered for this long, and forgotten within twice that time. By then an
 * entry reads the record from its ledger, and does not add it again. */
#define WRITTEN_KEEP_MS 30000
/** A record in doubt that no caller waits for is given up after this. It must not outlast what
 * other entries keep about its key. */
#define IN_DOUBT_KEEP_MS 60000
/** Most records and bytes of one append. */
#define BATCH_RECORDS_MAX 200
#define BATCH_BYTES_MAX (512 * 1024)

typedef struct
{
  OutboxDone done;
  void *ctx;
  int64_t deadline_us;
} Waiter;

typedef struct
{
  char *key;
  GBytes *value;
  GArray *waiters;       /**< Waiter */
  gboolean is_forwarded; /**< must not be forwarded */
  gboolean is_in_doubt;  /**< an append with it had no answer, or its key was written before */
  gboolean is_sent;      /**< contained in the append under way */
  int64_t handed_us;     /**< when it was handed over; 0: it was not, or that was refused */
  gboolean was_handed;   /**< was handed over once, and is not again */
  int64_t added_us;
  int64_t forwarded_us; /**< when it was last forwarded */
  uint32_t n_forwarded; /**< how often it was forwarded; 0 after the only forward failed */
} Item;

/** An append. It is abandoned once the ledger has shown that its records were written. */
typedef struct
{
  Outbox *outbox;
  uint32_t pace_slot;
  int64_t sent_us;
  gboolean is_abandoned;
} Flight;

struct Outbox
{
  OutboxOptions options;
  GPtrArray *flights;        /**< Flight without an answer, owned; at most one is not abandoned */
  GPtrArray *items;          /**< Item, oldest first */
  GHashTable *written;       /**< keys written lately */
  GHashTable *written_older; /**< keys written in the period before */
  int64_t written_since_us;  /**< when the newer period began */
  int64_t retry_ms;          /**< length of the last pause; 0: the last append succeeded */
  Flight *flight;            /**< the append whose answer is waited for; NULL for none */
  uint64_t n_handed;         /**< records that were handed over */
  uint64_t n_turned_away;    /**< forwarded records that were refused for lack of room */
  gboolean is_handing_over;  /**< the newest record was handed over */
  guint retry_timer;
  guint check_timer;
};

static void
item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_bytes_unref (item->value);
  g_array_unref (item->waiters);
  g_free (item);
}

Outbox *
outbox_new (const OutboxOptions *options)
{
  Outbox *outbox = g_new0 (Outbox, 1);

  outbox->options = *options;
  outbox->items = g_ptr_array_new_with_free_func (item_free);
  outbox->flights = g_ptr_array_new_with_free_func (g_free);
  outbox->written = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  outbox->written_older = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  outbox->written_since_us = clk_now_us ();
  return outbox;
}

void
outbox_free (Outbox *outbox)
{
  if (outbox == NULL)
    return;
  g_clear_handle_id (&outbox->retry_timer, g_source_remove);
  g_clear_handle_id (&outbox->check_timer, g_source_remove);
  g_ptr_array_unref (outbox->items);
  g_ptr_array_unref (outbox->flights);
  g_hash_table_unref (outbox->written);
  g_hash_table_unref (outbox->written_older);
  g_free (outbox);
}

uint64_t
outbox_bytes (const Outbox *outbox)
{
  uint64_t bytes = 0;

  for (guint i = 0; i < outbox->items->len; i++)
    bytes += g_bytes_get_size (((const Item *) g_ptr_array_index (outbox->items, i))->value);
  return bytes;
}

uint32_t
outbox_waiting (const Outbox *outbox)
{
  return outbox->items->len;
}

uint64_t
outbox_handed_over (const Outbox *outbox)
{
  return outbox->n_handed;
}

uint64_t
outbox_turned_away (const Outbox *outbox)
{
  return outbox->n_turned_away;
}

/* Its caller's entry appends such a record itself. */
static gboolean
is_turned_away (const Outbox *outbox, const OutboxRecord *record)
{
  uint64_t max = outbox->options.bytes_max;

  return record->is_forwarded && max > 0 && outbox_bytes (outbox) + record->size > max;
}

static void
forget_written (Outbox *outbox)
{
  int64_t now = clk_now_us ();

  if (now - outbox->written_since_us < WRITTEN_KEEP_MS * CLK_US_PER_MS)
    return;
  g_hash_table_remove_all (outbox->written_older);
  GHashTable *empty = outbox->written_older;
  outbox->written_older = outbox->written;
  outbox->written = empty;
  outbox->written_since_us = now;
}

static gboolean
was_written (Outbox *outbox, const char *key)
{
  forget_written (outbox);
  return g_hash_table_contains (outbox->written, key)
         || g_hash_table_contains (outbox->written_older, key);
}

static void
answer_waiters (Outbox *outbox, Item *item, OutboxResult result, int64_t offset)
{
  g_autoptr (GArray) waiters = g_steal_pointer (&item->waiters);

  if (result == OUTBOX_WRITTEN)
    {
      forget_written (outbox);
      (void) g_hash_table_add (outbox->written, g_strdup (item->key));
    }
  item->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  for (guint i = 0; i < waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (waiters, Waiter, i);
      waiter->done (waiter->ctx, result, offset);
    }
}

static void send_batch (Outbox *outbox);

static gboolean
on_retry (gpointer data)
{
  Outbox *outbox = data;

  outbox->retry_timer = 0;
  send_batch (outbox);
  return G_SOURCE_REMOVE;
}

static gboolean
forward (const Outbox *outbox, Item *item)
{
  if (item->is_forwarded || outbox->options.forward == NULL
      || !outbox->options.forward (outbox->options.ctx, item->key, item->value))
    return FALSE;
  item->forwarded_us = clk_now_us ();
  item->n_forwarded++;
  return TRUE;
}

/* Whether the record may have been written although no success was reported. */
static gboolean
may_be_written (const Item *item)
{
  return item->is_in_doubt || item->n_forwarded > 0;
}

/* Whether the append's answer resolves the record's outcome. */
static gboolean
is_resolved (const Outbox *outbox, Item *item, StoreOutcome outcome)
{
  if (outcome == STORE_OK)
    return TRUE;
  if (outcome == STORE_IN_DOUBT)
    {
      item->is_in_doubt = TRUE;
      return FALSE;
    }
  if (may_be_written (item) || forward (outbox, item))
    return FALSE;
  /* The queue of a slow store is full for some hundred ms; callers wait longer than that. */
  return !store_pace_is_slow (outbox->options.pace, clk_now_us ());
}

/* Removes the append's items from the list before their callbacks run, which may add new ones. */
static void
finish_batch (Outbox *outbox, const StoreAnswer *answer)
{
  g_autoptr (GPtrArray) resolved = g_ptr_array_new_with_free_func (item_free);

  for (guint i = 0; i < outbox->items->len;)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      gboolean was_sent = item->is_sent;
      item->is_sent = FALSE;
      if (was_sent && is_resolved (outbox, item, answer->outcome))
        g_ptr_array_add (resolved, g_ptr_array_steal_index (outbox->items, i));
      else
        i++;
    }
  for (guint i = 0; i < resolved->len; i++)
    answer_waiters (outbox, g_ptr_array_index (resolved, i),
                    answer->outcome == STORE_OK ? OUTBOX_WRITTEN : OUTBOX_REFUSED, answer->offset);
}

static void
end_flight (Outbox *outbox, Flight *flight)
{
  if (outbox->flight == flight)
    outbox->flight = NULL;
  (void) g_ptr_array_remove (outbox->flights, flight);
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  Flight *flight = ctx;
  Outbox *outbox = flight->outbox;
  gboolean is_abandoned = flight->is_abandoned;

  if (!is_abandoned)
    store_pace_end (outbox->options.pace, flight->pace_slot, answer->outcome, clk_now_us ());
  end_flight (outbox, flight);
  if (is_abandoned)
    return;
  if (answer->outcome != STORE_OK)
    line_add ("outbox", "append_failed", "outcome=%s waiting=%u",
              store_outcome_name (answer->outcome), outbox->items->len);
  finish_batch (outbox, answer);
  if (answer->outcome == STORE_OK)
    {
      outbox->retry_ms = 0;
      send_batch (outbox);
      return;
    }
  outbox->retry_ms = CLAMP (outbox->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
  if (outbox->retry_timer == 0)
    outbox->retry_timer = g_timeout_add ((guint) outbox->retry_ms, on_retry, outbox);
}

static void
give_up_old (Outbox *outbox)
{
  int64_t before_us = clk_now_us () - IN_DOUBT_KEEP_MS * CLK_US_PER_MS;

  for (guint i = outbox->items->len; i-- > 0;)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      if (item->waiters->len > 0 || item->added_us > before_us)
        continue;
      line_add ("outbox", "given_up", "key=%s forwarded=%u", item->key, item->n_forwarded);
      g_ptr_array_remove_index (outbox->items, i);
    }
}

static int64_t
published_ms (const Outbox *outbox)
{
  return outbox->options.owner_pace == NULL ? 0 : outbox->options.owner_pace (outbox->options.ctx);
}

/* Returns how long appends take at the entry to which records are handed over; 0: to none. */
static int64_t
owner_ms (const Outbox *outbox, int64_t now)
{
  int64_t append_ms = published_ms (outbox);

  return append_ms > 0
                 && (store_pace_is_slow (outbox->options.pace, now)
                     || store_pace_is_slow_ms (append_ms))
             ? append_ms
             : 0;
}

/* While this append is not answered, other records can be handed over, so that nothing is lost by
 * waiting for it. */
static int64_t
timeout_ms (const Outbox *outbox, int64_t now)
{
  return published_ms (outbox) > 0 ? STORE_PACE_TIMEOUT_MAX_MS
                                   : store_pace_timeout_ms (outbox->options.pace, FALSE, now);
}

static void
note_handing_over (Outbox *outbox, int64_t append_ms, int64_t now)
{
  gboolean is_handing_over = append_ms > 0;

  if (outbox->is_handing_over == is_handing_over)
    return;
  outbox->is_handing_over = is_handing_over;
  line_add ("outbox", is_handing_over ? "store_slow" : "store_fast",
            "append_ms=%" G_GINT64_FORMAT " owner_append_ms=%" G_GINT64_FORMAT
            " waiting=%u handed_over=%" G_GUINT64_FORMAT,
            store_pace_expected_ms (outbox->options.pace, now), append_ms, outbox->items->len,
            outbox->n_handed);
}

/* Hands the record over to the owner; FALSE if it is to be appended here. */
static gboolean
hand_over (Outbox *outbox, Item *item, int64_t append_ms, int64_t now)
{
  if (append_ms == 0 || item->was_handed || item->is_forwarded || item->is_sent)
    return FALSE;
  if (item->n_forwarded == 0 && !forward (outbox, item))
    return FALSE;
  item->was_handed = TRUE;
  item->handed_us = now;
  return TRUE;
}

/* Whether the owner has time left to write it. A record that no caller waits
 * for can wait until the store is fast again. */
static gboolean
is_left_to_owner (const Item *item, int64_t append_ms, int64_t now)
{
  if (append_ms > 0 && item->waiters->len == 0 && !item->is_forwarded)
    return TRUE;
  return item->handed_us != 0
         && now < item->handed_us + store_pace_fallback_ms (append_ms > 0) * CLK_US_PER_MS;
}

/* Hands new records over, also while an append is under way. */
static void
hand_over_records (Outbox *outbox)
{
  int64_t now = clk_now_us ();
  int64_t append_ms = owner_ms (outbox, now);

  note_handing_over (outbox, append_ms, now);
  for (guint i = 0; append_ms > 0 && i < outbox->items->len; i++)
    outbox->n_handed += hand_over (outbox, g_ptr_array_index (outbox->items, i), append_ms, now);
}

/* Collects the records of the next append; empty if there is nothing to append. */
static GByteArray *
collect_batch (Outbox *outbox)
{
  GByteArray *records = g_byte_array_new ();
  int64_t now = clk_now_us ();
  int64_t append_ms = owner_ms (outbox, now);
  uint32_t n_records = 0;

  for (guint i = 0; i < outbox->items->len && n_records < BATCH_RECORDS_MAX; i++)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      size_t size = 0;
      const void *value = g_bytes_get_data (item->value, &size);
      if (is_left_to_owner (item, append_ms, now))
        continue;
      if (records->len > 0 && records->len + size > BATCH_BYTES_MAX)
        break;
      store_add_record (records, item->key, value, size);
      item->is_sent = TRUE;
      n_records++;
    }
  return records;
}

static void
send_batch (Outbox *outbox)
{
  hand_over_records (outbox);
  if (outbox->flight != NULL || outbox->retry_timer != 0)
    return;
  give_up_old (outbox);
  if (outbox->items->len == 0)
    return;
  g_autoptr (GByteArray) records = collect_batch (outbox);
  if (records->len == 0)
    return;
  int64_t now = clk_now_us ();
  const StoreAppend append = { .topic = outbox->options.topic,
                               .records = records,
                               .expected_end = -1,
                               .timeout_ms = timeout_ms (outbox, now) };
  outbox->flight = g_new0 (Flight, 1);
  outbox->flight->outbox = outbox;
  outbox->flight->sent_us = now;
  outbox->flight->pace_slot = store_pace_begin (outbox->options.pace, now);
  g_ptr_array_add (outbox->flights, outbox->flight);
  store_append (outbox->options.store, &append, on_appended, outbox->flight);
}

/* Ends waits whose deadline has passed. Returns whether the item must be dropped: its record was
 * not sent, and no caller waits for it any more. While one does, it may still be written. */
static gboolean
expire (Item *item, int64_t now)
{
  gboolean is_unsent = !may_be_written (item) && !item->is_sent;

  for (guint i = 0; i < item->waiters->len; i++)
    is_unsent &= g_array_index (item->waiters, Waiter, i).deadline_us <= now;
  for (guint i = item->waiters->len; i-- > 0;)
    {
      const Waiter waiter = g_array_index (item->waiters, Waiter, i);
      if (waiter.deadline_us > now)
        continue;
      (void) g_array_remove_index (item->waiters, i);
      waiter.done (waiter.ctx, is_unsent ? OUTBOX_REFUSED : OUTBOX_IN_DOUBT, -1);
    }
  return is_unsent && !item->is_sent;
}

static void
forward_if_due (const Outbox *outbox, Item *item, int64_t now)
{
  int64_t due_us = item->n_forwarded == 0 ? item->added_us + OUTBOX_FORWARD_MS * CLK_US_PER_MS
                                          : item->forwarded_us + FORWARD_RETRY_MS * CLK_US_PER_MS;

  if (item->waiters->len > 0 && now >= due_us)
    (void) forward (outbox, item);
}

static gboolean
on_check (gpointer data)
{
  Outbox *outbox = data;
  int64_t now = clk_now_us ();

  for (guint i = 0; i < outbox->items->len;)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      if (expire (item, now))
        {
          g_ptr_array_remove_index (outbox->items, i);
          continue;
        }
      forward_if_due (outbox, item, now);
      i++;
    }
  /* Records that were handed over and have no outcome are appended here. */
  send_batch (outbox);
  if (outbox->items->len > 0)
    return G_SOURCE_CONTINUE;
  outbox->check_timer = 0;
  return G_SOURCE_REMOVE;
}

int64_t
outbox_expected_ms (const Outbox *outbox)
{
  int64_t now = clk_now_us ();
  int64_t append_ms = owner_ms (outbox, now);

  if (append_ms > 0)
    return store_pace_forwarded_wait_ms (append_ms);
  return store_pace_wait_ms (outbox->options.pace,
                             outbox->flight != NULL ? outbox->flight->sent_us : 0,
                             1 + outbox->items->len / BATCH_RECORDS_MAX, now);
}

static guint
find_index (const Outbox *outbox, const Item *item)
{
  guint index = 0;

  while (g_ptr_array_index (outbox->items, index) != item)
    index++;
  return index;
}

static Item *
find (const Outbox *outbox, const char *key)
{
  for (guint i = 0; i < outbox->items->len; i++)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      if (strcmp (item->key, key) == 0)
        return item;
    }
  return NULL;
}

static Item *
item_new (const OutboxRecord *record)
{
  Item *item = g_new0 (Item, 1);

  item->key = g_strdup (record->key);
  item->value = g_bytes_new (record->value, record->size);
  item->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  item->is_forwarded = record->is_forwarded;
  item->added_us = clk_now_us ();
  return item;
}

gboolean
outbox_knows (Outbox *outbox, const char *key)
{
  return find (outbox, key) != NULL || was_written (outbox, key);
}

void
outbox_add (Outbox *outbox, const OutboxRecord *record, OutboxDone done, void *ctx)
{
  Item *item = find (outbox, record->key);
  const Waiter waiter = { done, ctx, record->deadline_us };

  if (item == NULL && !was_written (outbox, record->key) && is_turned_away (outbox, record))
    {
      outbox->n_turned_away++;
      done (ctx, OUTBOX_REFUSED, -1);
      return;
    }
  if (item == NULL)
    {
      item = item_new (record);
      item->is_in_doubt = was_written (outbox, record->key);
      g_ptr_array_add (outbox->items, item);
    }
  item->is_forwarded &= record->is_forwarded;
  g_array_append_val (item->waiters, waiter);
  if (outbox->check_timer == 0)
    outbox->check_timer = g_timeout_add (CHECK_MS, on_check, outbox);
  send_batch (outbox);
}

void
outbox_handle_forward_result (Outbox *outbox, const char *key, OutboxResult result, int64_t offset)
{
  Item *item = find (outbox, key);

  if (item == NULL || result == OUTBOX_IN_DOUBT)
    return;
  if (result == OUTBOX_REFUSED)
    {
      /* If it was forwarded more than once, another copy may still be written. */
      if (item->n_forwarded == 1)
        item->n_forwarded = 0;
      /* This entry may reach the store although the other one does not. */
      if (item->handed_us != 0)
        {
          item->handed_us = 0;
          send_batch (outbox);
          return;
        }
      if (may_be_written (item) || item->is_sent)
        return;
    }
  (void) g_ptr_array_steal_index (outbox->items, find_index (outbox, item));
  answer_waiters (outbox, item, result, offset);
  item_free (item);
}

void
outbox_handle_record (Outbox *outbox, const char *key, size_t key_size, int64_t offset)
{
  for (guint i = 0; i < outbox->items->len; i++)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      if (strlen (item->key) != key_size || memcmp (item->key, key, key_size) != 0)
        continue;
      (void) g_ptr_array_steal_index (outbox->items, i);
      answer_waiters (outbox, item, OUTBOX_WRITTEN, offset);
      item_free (item);
      break;
    }
}

static gboolean
is_any_sent (const Outbox *outbox)
{
  for (guint i = 0; i < outbox->items->len; i++)
    {
      if (((const Item *) g_ptr_array_index (outbox->items, i))->is_sent)
        return TRUE;
    }
  return FALSE;
}

void
outbox_end_records (Outbox *outbox)
{
  Flight *flight = outbox->flight;

  if (flight == NULL || is_any_sent (outbox))
    return;
  /* The owner may have written records that were handed over to it, and this append may still be in
   * the store's queue. */
  if (published_ms (outbox) > 0)
    return;
  /* All its records were read: the answer was lost, or is on its way. */
  flight->is_abandoned = TRUE;
  store_pace_end (outbox->options.pace, flight->pace_slot, STORE_OK, clk_now_us ());
  outbox->flight = NULL;
  outbox->retry_ms = 0;
  send_batch (outbox);
}
