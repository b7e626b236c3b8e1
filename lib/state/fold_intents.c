/**
 * @file fold_intents.c
 * Once requests of the fold: the newest attempt under each tenant's key, and its outcome.
 */
#include <string.h>

#include "state/fold_private.h"

static guint
row_hash (gconstpointer data)
{
  const FoldIntentRow *row = data;

  return g_str_hash (row->intent.tenant) * 31 + g_str_hash (row->intent.key);
}

static gboolean
row_equal (gconstpointer a, gconstpointer b)
{
  const FoldIntentRow *left = a;
  const FoldIntentRow *right = b;

  return strcmp (left->intent.key, right->intent.key) == 0
         && strcmp (left->intent.tenant, right->intent.tenant) == 0;
}

static void
row_free (void *data)
{
  FoldIntentRow *row = data;

  g_free (row->intent.tenant);
  g_free (row->intent.key);
  g_free (row->intent.service);
  g_free (row->intent.agent);
  g_free (row->intent.kind);
  g_free (row->intent.content_type);
  g_clear_pointer (&row->intent.body, g_bytes_unref);
  g_free (row);
}

void
fold_init_intents (Fold *fold)
{
  fold->intents = g_hash_table_new_full (row_hash, row_equal, row_free, NULL);
  g_queue_init (&fold->intent_order);
  g_queue_init (&fold->bodies);
}

void
fold_clear_intents (Fold *fold)
{
  g_hash_table_unref (fold->intents);
}

static FoldIntentRow *
find_row (const Fold *fold, const char *tenant, const char *key)
{
  FoldIntentRow wanted = { .intent = { .tenant = (char *) tenant, .key = (char *) key } };

  return g_hash_table_lookup (fold->intents, &wanted);
}

const FoldIntent *
fold_intent (const Fold *fold, const char *tenant, const char *key)
{
  const FoldIntentRow *row = find_row (fold, tenant, key);

  return row != NULL ? &row->intent : NULL;
}

int64_t
fold_key_window_start_ms (const Fold *fold)
{
  return fold->time_ms - fold->options.key_window_ms;
}

static void
drop_body (Fold *fold, FoldIntentRow *row)
{
  if (row->intent.body == NULL)
    return;
  fold->body_bytes -= (int64_t) g_bytes_get_size (row->intent.body);
  g_queue_unlink (&fold->bodies, &row->body_link);
  g_clear_pointer (&row->intent.body, g_bytes_unref);
  row->intent.body_held = FALSE;
}

/* A key is kept while a request dated within the window may arrive, allowing for clock skew. */
void
fold_expire_intents (Fold *fold)
{
  int64_t before_ms = fold_key_window_start_ms (fold) - FOLD_DATE_SKEW_MS;

  while (fold->intent_order.head != NULL)
    {
      FoldIntentRow *row = fold->intent_order.head->data;
      if (row->intent.intent_ms >= before_ms)
        break;
      drop_body (fold, row);
      g_queue_unlink (&fold->intent_order, &row->link);
      g_hash_table_remove (fold->intents, row);
    }
}

static gboolean
intent_fits (const Record__Intent *record)
{
  return fold_text_fits (record->tenant, 1, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->key, 1, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->service, 1, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->agent, 1, FOLD_NAME_BYTES_MAX) && record->attempt > 0;
}

static gboolean
is_in_window (const Fold *fold, int64_t dated_ms)
{
  return dated_ms >= fold_key_window_start_ms (fold)
         && dated_ms <= fold->time_ms + FOLD_DATE_SKEW_MS;
}

/* Allows the first attempt under a key, or the next one after an attempt that did not run. */
static gboolean
may_attempt (const FoldIntentRow *row, const Record__Intent *record)
{
  if (row == NULL)
    return record->attempt == 1;
  return row->intent.has_outcome && row->intent.fenced && record->attempt == row->intent.attempt + 1
         && record->request_digest == row->intent.request_digest
         && strcmp (record->service, row->intent.service) == 0;
}

static FoldIntentRow *
row_new (const Record__Intent *record, int64_t intent_ms)
{
  FoldIntentRow *row = g_new0 (FoldIntentRow, 1);

  row->intent.tenant = g_strdup (record->tenant);
  row->intent.key = g_strdup (record->key);
  row->intent.service = g_strdup (record->service);
  row->intent.request_digest = record->request_digest;
  row->intent.request = (IdsId){ record->request_high, record->request_low };
  row->intent.attempt = record->attempt;
  row->intent.agent = g_strdup (record->agent);
  row->intent.agent_incarnation = record->agent_incarnation;
  row->intent.intent_ms = intent_ms;
  row->intent.kind = g_strdup ("");
  row->intent.content_type = g_strdup ("");
  row->link.data = row;
  row->body_link.data = row;
  return row;
}

static void
add_row (Fold *fold, FoldIntentRow *row)
{
  g_queue_push_tail_link (&fold->intent_order, &row->link);
  g_hash_table_add (fold->intents, row);
}

FoldResult
fold_apply_intent (Fold *fold, const Record__Intent *record)
{
  if (!intent_fits (record))
    return FOLD_MALFORMED;
  FoldIntentRow *row = find_row (fold, record->tenant, record->key);
  if (!is_in_window (fold, record->dated_ms) || !may_attempt (row, record))
    return FOLD_REFUSED;
  if (row != NULL)
    {
      drop_body (fold, row);
      g_queue_unlink (&fold->intent_order, &row->link);
      g_hash_table_remove (fold->intents, row);
    }
  add_row (fold, row_new (record, fold->time_ms));
  return FOLD_APPLIED;
}

static gboolean
outcome_fits (const Record__Outcome *record)
{
  return fold_text_fits (record->kind, 0, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->content_type, 0, FOLD_NAME_BYTES_MAX);
}

static void
set_outcome (Fold *fold, FoldIntentRow *row, const Record__Outcome *record)
{
  FoldIntent *intent = &row->intent;

  g_free (intent->kind);
  g_free (intent->content_type);
  intent->has_outcome = TRUE;
  intent->fenced = record->fenced;
  intent->kind = g_strdup (record->kind);
  intent->status = record->status;
  intent->content_type = g_strdup (record->content_type);
  intent->length = record->length;
  intent->body_digest = record->body_digest;
  intent->body_held = record->body_held && record->body.len == record->length
                      && (int64_t) record->body.len <= fold->options.answer_bytes_max;
  if (!intent->body_held)
    return;
  intent->body = g_bytes_new (record->body.data, record->body.len);
  fold->body_bytes += (int64_t) record->body.len;
  g_queue_push_tail_link (&fold->bodies, &row->body_link);
}

FoldResult
fold_apply_outcome (Fold *fold, const Record__Outcome *record)
{
  if (!outcome_fits (record))
    return FOLD_MALFORMED;
  FoldIntentRow *row = find_row (fold, record->tenant, record->key);
  if (row == NULL || row->intent.has_outcome || row->intent.attempt != record->attempt)
    return FOLD_REFUSED;
  row->ended = ++fold->sequence;
  set_outcome (fold, row, record);
  while (fold->body_bytes > fold->options.answers_bytes_max)
    drop_body (fold, g_queue_peek_head (&fold->bodies));
  return FOLD_APPLIED;
}

gboolean
fold_load_intent (Fold *fold, const Record__SnapshotIntent *row)
{
  if (row->intent == NULL || !intent_fits (row->intent)
      || find_row (fold, row->intent->tenant, row->intent->key) != NULL
      || (row->outcome != NULL && !outcome_fits (row->outcome)) || row->ended > fold->sequence
      || (row->outcome != NULL) != (row->ended != 0))
    return FALSE;
  FoldIntentRow *loaded = row_new (row->intent, row->intent_ms);
  loaded->ended = row->ended;
  add_row (fold, loaded);
  if (row->outcome != NULL)
    set_outcome (fold, loaded, row->outcome);
  return TRUE;
}
