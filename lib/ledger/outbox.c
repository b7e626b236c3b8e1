#include "ledger/outbox.h"

#include <string.h>

#include "common/clk.h"
#include "common/line.h"

/** The store answers in a few ms, slow in some hundreds. */
#define TIMEOUT_MS 900
/** Pause before an append without an answer is repeated. */
#define AGAIN_MS 60
/** Deadlines are looked at this often. */
#define CHECK_MS 50
/** Records and bytes of one append. */
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
  gboolean may_be_there; /**< an append of it had no answer */
  gboolean is_sent;      /**< in the append under way */
} Item;

struct Outbox
{
  Store *store;
  const char *topic;
  GPtrArray *items; /**< Item, oldest first */
  gboolean is_busy;
  guint again;
  guint check;
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
outbox_new (Store *store, const char *topic)
{
  Outbox *outbox = g_new0 (Outbox, 1);

  outbox->store = store;
  outbox->topic = topic;
  outbox->items = g_ptr_array_new_with_free_func (item_free);
  return outbox;
}

void
outbox_free (Outbox *outbox)
{
  if (outbox == NULL)
    return;
  g_clear_handle_id (&outbox->again, g_source_remove);
  g_clear_handle_id (&outbox->check, g_source_remove);
  g_ptr_array_unref (outbox->items);
  g_free (outbox);
}

uint32_t
outbox_waiting (const Outbox *outbox)
{
  return outbox->items->len;
}

static void
answer_waiters (Item *item, OutboxResult result, int64_t offset)
{
  g_autoptr (GArray) waiters = g_steal_pointer (&item->waiters);

  item->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  for (guint i = 0; i < waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (waiters, Waiter, i);
      waiter->done (waiter->ctx, result, offset);
    }
}

static void send_batch (Outbox *outbox);

static gboolean
on_again (gpointer data)
{
  Outbox *outbox = data;

  outbox->again = 0;
  send_batch (outbox);
  return G_SOURCE_REMOVE;
}

/* Items of the append leave the list before their callbacks run, which may add new ones. */
static void
end_batch (Outbox *outbox, const StoreAnswer *answer)
{
  g_autoptr (GPtrArray) over = g_ptr_array_new_with_free_func (item_free);

  for (guint i = 0; i < outbox->items->len;)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      gboolean was_sent = item->is_sent;
      item->is_sent = FALSE;
      if (was_sent && answer->outcome == STORE_IN_DOUBT)
        item->may_be_there = TRUE;
      if (was_sent && (answer->outcome == STORE_OK || !item->may_be_there))
        g_ptr_array_add (over, g_ptr_array_steal_index (outbox->items, i));
      else
        i++;
    }
  for (guint i = 0; i < over->len; i++)
    answer_waiters (g_ptr_array_index (over, i),
                    answer->outcome == STORE_OK ? OUTBOX_WRITTEN : OUTBOX_REFUSED, answer->offset);
}

static void
on_appended (void *ctx, const StoreAnswer *answer)
{
  Outbox *outbox = ctx;

  outbox->is_busy = FALSE;
  if (answer->outcome != STORE_OK)
    line_add ("outbox", "append_failed", "outcome=%s waiting=%u",
              store_outcome_name (answer->outcome), outbox->items->len);
  end_batch (outbox, answer);
  if (answer->outcome == STORE_OK)
    send_batch (outbox);
  else if (outbox->again == 0)
    outbox->again = g_timeout_add (AGAIN_MS, on_again, outbox);
}

static void
send_batch (Outbox *outbox)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();

  if (outbox->is_busy || outbox->again != 0 || outbox->items->len == 0)
    return;
  for (guint i = 0; i < MIN (outbox->items->len, BATCH_RECORDS_MAX); i++)
    {
      Item *item = g_ptr_array_index (outbox->items, i);
      size_t size = 0;
      const void *value = g_bytes_get_data (item->value, &size);
      if (records->len > 0 && records->len + size > BATCH_BYTES_MAX)
        break;
      store_add_record (records, item->key, value, size);
      item->is_sent = TRUE;
    }
  outbox->is_busy = TRUE;
  const StoreAppend append
      = { .topic = outbox->topic, .records = records, .at = -1, .timeout_ms = TIMEOUT_MS };
  store_append (outbox->store, &append, on_appended, outbox);
}

static void
expire (Item *item, int64_t now)
{
  for (guint i = item->waiters->len; i-- > 0;)
    {
      const Waiter waiter = g_array_index (item->waiters, Waiter, i);
      if (waiter.deadline_us > now)
        continue;
      (void) g_array_remove_index (item->waiters, i);
      waiter.done (waiter.ctx, OUTBOX_IN_DOUBT, -1);
    }
}

static gboolean
on_check (gpointer data)
{
  Outbox *outbox = data;
  int64_t now = clk_now_us ();

  for (guint i = 0; i < outbox->items->len; i++)
    expire (g_ptr_array_index (outbox->items, i), now);
  if (outbox->items->len > 0)
    return G_SOURCE_CONTINUE;
  outbox->check = 0;
  return G_SOURCE_REMOVE;
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

void
outbox_add (Outbox *outbox,
            const char *key,
            const void *value,
            size_t size,
            int64_t deadline_us,
            OutboxDone done,
            void *ctx)
{
  Item *item = find (outbox, key);
  const Waiter waiter = { done, ctx, deadline_us };

  if (item == NULL)
    {
      item = g_new0 (Item, 1);
      item->key = g_strdup (key);
      item->value = g_bytes_new (value, size);
      item->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
      g_ptr_array_add (outbox->items, item);
    }
  g_array_append_val (item->waiters, waiter);
  if (outbox->check == 0)
    outbox->check = g_timeout_add (CHECK_MS, on_check, outbox);
  send_batch (outbox);
}
