/* The store: one keyed topic, with the owner's producer fenced by its epoch. */
#include <string.h>

#include "support/emulator_private.h"

#define KEY_SIZE_AT 4
#define LOST_PERCENT 12
#define LATE_PERCENT 12
/** Longest time that an append waits in the queue of a slow store. */
#define QUEUE_MAX_MS 2000

static void
record_free (gpointer data)
{
  EmuRecord *record = data;

  g_free (record->key);
  if (record->value != NULL)
    g_bytes_unref (record->value);
  g_free (record);
}

static void
call_clear (gpointer data)
{
  EmuStoreCall *call = data;

  if (call->records != NULL)
    g_byte_array_unref (call->records);
}

static void
call_unref (gpointer data)
{
  g_rc_box_release_full (data, call_clear);
}

void
emu_store_init (Emulator *emu)
{
  emu->store.records = g_ptr_array_new_with_free_func (record_free);
  emu->store.newest = g_hash_table_new (g_str_hash, g_str_equal);
  emu->store.parked = g_ptr_array_new_with_free_func (call_unref);
  emu->store.epoch = -1;
}

void
emu_store_clear (Emulator *emu)
{
  g_ptr_array_unref (emu->store.parked);
  g_hash_table_destroy (emu->store.newest);
  g_ptr_array_unref (emu->store.records);
}

const EmuRecord *
emu_store_record (const Emulator *emu, int64_t offset)
{
  return g_ptr_array_index (emu->store.records, offset);
}

gboolean
emu_store_is_newest (const Emulator *emu, int64_t offset)
{
  const EmuRecord *record = emu_store_record (emu, offset);

  return GPOINTER_TO_SIZE (g_hash_table_lookup (emu->store.newest, record->key))
         == (gsize) offset + 1;
}

EmuStoreCall *
emu_store_call (Emulator *emu, EmuStoreKind kind, EmuProcess *client)
{
  EmuStoreCall *call = g_rc_box_new0 (EmuStoreCall);

  call->emu = emu;
  call->kind = kind;
  call->client = client;
  call->client_life = client != NULL ? client->life : 0;
  call->expected_end = -1;
  return call;
}

static void
finish (EmuStoreCall *call)
{
  if (call->is_answered)
    return;
  call->is_answered = TRUE;
  if (call->done != NULL)
    call->done (call->ctx, &call->answer);
}

static void
on_answer (gpointer ctx, gpointer data)
{
  (void) ctx;
  finish (data);
}

static void
on_timeout (gpointer ctx, gpointer data)
{
  EmuStoreCall *call = data;

  (void) ctx;
  if (call->is_answered)
    return;
  call->answer = (StoreAnswer){ .outcome = STORE_IN_DOUBT };
  finish (call);
}

static int64_t
latency_us (Emulator *emu)
{
  int64_t slow_ms = emu->now_us < emu->store.slow_until_us ? emu->store.slow_ms : 0;

  return emu_between (emu, 300, 2000) + slow_ms * CLK_US_PER_MS;
}

/* Sends the answer, unless the client has ended or gave up. */
static void
answer (EmuStoreCall *call, gboolean is_lost)
{
  if (is_lost || call->is_answered
      || (call->client != NULL && call->client->life != call->client_life))
    return;
  emu_after (call->emu, latency_us (call->emu), call->client, on_answer, NULL,
             g_rc_box_acquire (call), call_unref);
}

static void
answer_read (EmuStoreCall *call)
{
  call->is_served = TRUE;
  call->answer.outcome = STORE_OK;
  call->answer.end_offset = call->emu->store.records->len;
  answer (call, FALSE);
}

static void
wake_readers (EmuStore *store)
{
  while (store->parked->len > 0)
    {
      EmuStoreCall *call = g_ptr_array_steal_index (store->parked, store->parked->len - 1);
      if (!call->is_served)
        answer_read (call);
      call_unref (call);
    }
}

static void
add_records (Emulator *emu, const GByteArray *bytes)
{
  EmuStore *store = &emu->store;

  for (size_t at = 0; at < bytes->len;)
    {
      const uint8_t *row = bytes->data + at;
      size_t size
          = ((size_t) row[0] << 24) | ((size_t) row[1] << 16) | ((size_t) row[2] << 8) | row[3];
      size_t key_size = row[KEY_SIZE_AT];
      const uint8_t *key = row + KEY_SIZE_AT + 1;
      EmuRecord *record = g_new0 (EmuRecord, 1);
      record->key = g_strndup ((const char *) key, key_size);
      if (size > key_size + 1)
        record->value = g_bytes_new (key + key_size, size - key_size - 1);
      g_ptr_array_add (store->records, record);
      g_hash_table_insert (store->newest, record->key, GSIZE_TO_POINTER (store->records->len));
      at += KEY_SIZE_AT + size;
    }
}

/* Whether an append repeats one of the last ones, which receives the first answer again. */
static gboolean
is_repeat (const EmuStore *store, EmuStoreCall *call)
{
  for (uint32_t i = 0; i < EMU_REPEATS; i++)
    {
      if (i >= store->n_repeats || store->repeats[i][0] != call->epoch
          || store->repeats[i][1] != call->sequence)
        continue;
      call->answer.offset = store->repeats[i][2];
      return TRUE;
    }
  return FALSE;
}

static StoreOutcome
judge_append (EmuStore *store, EmuStoreCall *call)
{
  if (call->has_producer && is_repeat (store, call))
    return STORE_OK;
  if (call->has_producer && call->epoch < store->epoch)
    return STORE_FENCED;
  if (call->has_producer && call->epoch == store->epoch && call->sequence != store->sequence + 1)
    {
      call->answer.expected_sequence = store->sequence + 1;
      return STORE_SEQUENCE;
    }
  if (call->expected_end >= 0 && call->expected_end != store->records->len)
    return STORE_MOVED;
  call->answer.offset = store->records->len;
  if (call->has_producer)
    {
      int64_t *repeat = store->repeats[store->n_repeats++ % EMU_REPEATS];
      store->epoch = call->epoch;
      store->sequence = call->sequence;
      repeat[0] = call->epoch;
      repeat[1] = call->sequence;
      repeat[2] = call->answer.offset;
    }
  add_records (call->emu, call->records);
  return STORE_OK;
}

static void
execute_append (gpointer ctx, gpointer data)
{
  EmuStoreCall *call = data;
  EmuStore *store = &call->emu->store;
  gboolean is_lossy = call->emu->now_us < store->lossy_until_us;

  (void) ctx;
  call->answer.outcome = judge_append (store, call);
  call->answer.end_offset = store->records->len;
  answer (call, is_lossy && emu_chance (call->emu, LOST_PERCENT));
  wake_readers (store);
}

/* A slow store executes one append at a time, each for as long as its answers are delayed. */
static void
queue_append (EmuStoreCall *call)
{
  Emulator *emu = call->emu;
  EmuStore *store = &emu->store;
  int64_t begin_us = MAX (emu->now_us, store->queue_free_us);

  if (begin_us == emu->now_us && emu->now_us >= store->slow_until_us)
    execute_append (NULL, call);
  else if (begin_us - emu->now_us > QUEUE_MAX_MS * CLK_US_PER_MS)
    {
      call->answer.outcome = STORE_REFUSED;
      answer (call, FALSE);
    }
  else
    {
      /* What was queued before the end of a slow period is still executed at its pace. */
      int64_t service_ms = emu->now_us < store->slow_until_us ? store->slow_ms : 0;
      store->queue_free_us = begin_us + service_ms * CLK_US_PER_MS;
      emu_after (emu, store->queue_free_us - emu->now_us, NULL, execute_append, NULL,
                 g_rc_box_acquire (call), call_unref);
    }
}

static void
serve (gpointer ctx, gpointer data)
{
  EmuStoreCall *call = data;
  Emulator *emu = call->emu;
  EmuStore *store = &emu->store;

  (void) ctx;
  if (emu->now_us < store->down_until_us)
    {
      call->answer.outcome = STORE_REFUSED;
      answer (call, emu_chance (emu, 50));
    }
  else if (call->kind == EMU_STORE_READ && call->from >= store->records->len && call->wait_ms > 0)
    g_ptr_array_add (store->parked, g_rc_box_acquire (call));
  else if (call->kind != EMU_STORE_APPEND)
    answer_read (call);
  else if (emu->options.has_store_queue)
    queue_append (call);
  else
    execute_append (NULL, call);
}

static void
on_wait_over (gpointer ctx, gpointer data)
{
  EmuStoreCall *call = data;

  (void) ctx;
  if (!call->is_served && g_ptr_array_remove (call->emu->store.parked, call))
    answer_read (call);
}

void
emu_store_send (EmuStoreCall *call, int64_t cut_until_us, int64_t timeout_ms)
{
  Emulator *emu = call->emu;
  int64_t delay_us = latency_us (emu) + call->queue_ms * CLK_US_PER_MS;
  gboolean is_lossy = emu->now_us < emu->store.lossy_until_us;
  gboolean is_append = call->kind == EMU_STORE_APPEND;

  if (is_append && is_lossy && emu_chance (emu, LATE_PERCENT))
    delay_us += emu_between (emu, 1000, 8000) * CLK_US_PER_MS;
  emu_after (emu, (timeout_ms + call->wait_ms) * CLK_US_PER_MS, call->client, on_timeout, NULL,
             g_rc_box_acquire (call), call_unref);
  if (emu->now_us >= cut_until_us)
    {
      if (call->wait_ms > 0)
        emu_after (emu, delay_us + call->wait_ms * CLK_US_PER_MS, NULL, on_wait_over, NULL,
                   g_rc_box_acquire (call), call_unref);
      emu_after (emu, delay_us, NULL, serve, NULL, call, call_unref);
      return;
    }
  /* Refused, without an answer, or carried out once the cut is over. */
  int64_t kind = emu_between (emu, 0, 2);
  if (kind == 0)
    {
      call->answer.outcome = STORE_REFUSED;
      answer (call, FALSE);
    }
  else if (kind == 1 && is_append)
    {
      emu_after (emu, cut_until_us - emu->now_us + delay_us, NULL, serve, NULL, call, call_unref);
      return;
    }
  call_unref (call);
}
