/**
 * @file fold_members.c
 * Configuration versions, entries and claims of the fold.
 */
#include <string.h>

#include "common/doc.h"
#include "state/fold_private.h"

static void
config_free (void *data)
{
  FoldConfig *config = data;

  g_free (config->author);
  g_free (config->note);
  g_clear_pointer (&config->text, g_bytes_unref);
  g_free (config);
}

static void
entry_clear (FoldEntry *entry)
{
  g_free (entry->entry);
  g_free (entry->data_centre);
  g_free (entry->wire_address);
}

static void
entry_free (void *data)
{
  entry_clear (data);
  g_free (data);
}

void
fold_init_members (Fold *fold)
{
  fold->no_config = (FoldConfig){ .author = "", .note = "", .text = g_bytes_new_static ("", 0) };
  fold->history = g_ptr_array_new_with_free_func (config_free);
  fold->entries = g_ptr_array_new_with_free_func (entry_free);
  fold->claims = g_new0 (FoldClaim, fold->options.shards);
  for (uint32_t i = 0; i < fold->options.shards; i++)
    fold->claims[i].entry = g_strdup ("");
}

void
fold_clear_members (Fold *fold)
{
  for (uint32_t i = 0; i < fold->options.shards; i++)
    g_free (fold->claims[i].entry);
  g_free (fold->claims);
  g_ptr_array_unref (fold->entries);
  g_ptr_array_unref (fold->history);
  g_bytes_unref (fold->no_config.text);
}

const FoldConfig *
fold_config (const Fold *fold)
{
  return fold->history->len > 0 ? g_ptr_array_index (fold->history, 0) : &fold->no_config;
}

const GPtrArray *
fold_history (const Fold *fold)
{
  return fold->history;
}

static gboolean
config_fits (const Record__Config *record)
{
  return record->text.len <= DOC_SIZE_MAX && fold_text_fits (record->author, 0, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->note, 0, FOLD_TEXT_BYTES_MAX);
}

static FoldConfig *
config_new (const Record__Config *record, uint64_t version, int64_t wall_ms)
{
  FoldConfig *config = g_new0 (FoldConfig, 1);

  config->version = version;
  config->base_version = record->base_version;
  config->wall_ms = wall_ms;
  config->author = g_strdup (record->author);
  config->note = g_strdup (record->note);
  return config;
}

FoldResult
fold_apply_config (Fold *fold, const Record__Record *record, int64_t offset)
{
  const Record__Config *body = record->config;

  if (!config_fits (body))
    return FOLD_MALFORMED;
  if (body->base_version != fold_config (fold)->version)
    return FOLD_REFUSED;
  if (fold->history->len > 0)
    {
      FoldConfig *older = g_ptr_array_index (fold->history, 0);
      g_clear_pointer (&older->text, g_bytes_unref);
    }
  FoldConfig *config = config_new (body, (uint64_t) offset + 1, record->wall_ms);
  config->text = g_bytes_new (body->text.data, body->text.len);
  g_ptr_array_insert (fold->history, 0, config);
  if (fold->history->len > fold->options.history_max)
    g_ptr_array_set_size (fold->history, (gint) fold->options.history_max);
  return FOLD_APPLIED;
}

gboolean
fold_load_config (Fold *fold, const Record__SnapshotConfig *row)
{
  if (row->config == NULL || !config_fits (row->config)
      || fold->history->len >= fold->options.history_max)
    return FALSE;
  if (fold->history->len > 0)
    {
      const FoldConfig *newer = g_ptr_array_index (fold->history, fold->history->len - 1);
      if (row->version >= newer->version)
        return FALSE;
    }
  FoldConfig *config = config_new (row->config, row->version, row->wall_ms);
  if (fold->history->len == 0)
    config->text = g_bytes_new (row->config->text.data, row->config->text.len);
  g_ptr_array_add (fold->history, config);
  return TRUE;
}

static FoldEntry *
find_entry (const Fold *fold, const char *name)
{
  for (guint i = 0; i < fold->entries->len; i++)
    {
      FoldEntry *entry = g_ptr_array_index (fold->entries, i);
      if (strcmp (entry->entry, name) == 0)
        return entry;
    }
  return NULL;
}

static gboolean
is_owner (const FoldClaim *claim, const char *entry, uint64_t incarnation)
{
  return claim->epoch > 0 && claim->incarnation == incarnation && strcmp (claim->entry, entry) == 0;
}

/* An entry that leaves releases the shards that it owns. */
static FoldResult
apply_leave (Fold *fold, const Record__Entry *record)
{
  FoldEntry *entry = find_entry (fold, record->entry);
  FoldResult result = FOLD_REFUSED;

  for (uint32_t i = 0; i < fold->options.shards; i++)
    {
      FoldClaim *claim = &fold->claims[i];
      if (!is_owner (claim, record->entry, record->incarnation))
        continue;
      claim->released = TRUE;
      result = FOLD_APPLIED;
    }
  if (entry == NULL || entry->incarnation != record->incarnation)
    return result;
  g_ptr_array_remove (fold->entries, entry);
  return FOLD_APPLIED;
}

static gboolean
entry_fits (const Record__Entry *record)
{
  return fold_text_fits (record->entry, 1, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->data_centre, 0, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->wire_address, 0, FOLD_NAME_BYTES_MAX);
}

static void
entry_set (FoldEntry *entry, const Record__Entry *record)
{
  entry_clear (entry);
  entry->entry = g_strdup (record->entry);
  entry->incarnation = record->incarnation;
  entry->data_centre = g_strdup (record->data_centre);
  entry->wire_address = g_strdup (record->wire_address);
}

static gboolean
is_replaced (const FoldEntry *entry, uint64_t incarnation)
{
  for (uint32_t i = 0; i < entry->n_replaced; i++)
    if (entry->replaced[i] == incarnation)
      return TRUE;
  return FALSE;
}

static void
add_replaced (FoldEntry *entry)
{
  if (entry->n_replaced == FOLD_REPLACED_MAX)
    {
      entry->n_replaced--;
      memmove (entry->replaced, entry->replaced + 1, entry->n_replaced * sizeof entry->replaced[0]);
    }
  entry->replaced[entry->n_replaced++] = entry->incarnation;
}

FoldResult
fold_apply_entry (Fold *fold, const Record__Entry *record, int64_t offset)
{
  FoldEntry *entry = find_entry (fold, record->entry);

  if (!entry_fits (record))
    return FOLD_MALFORMED;
  if (record->leaving)
    return apply_leave (fold, record);
  if (entry == NULL && fold->entries->len >= FOLD_ENTRIES_MAX)
    return FOLD_REFUSED;
  if (entry != NULL && is_replaced (entry, record->incarnation))
    return FOLD_REFUSED;
  if (entry == NULL)
    {
      entry = g_new0 (FoldEntry, 1);
      entry->known_ms = fold->time_ms;
      entry->known_offset = offset;
      g_ptr_array_add (fold->entries, entry);
    }
  else if (entry->incarnation != record->incarnation)
    {
      add_replaced (entry);
      entry->known_ms = fold->time_ms;
      entry->known_offset = offset;
    }
  entry_set (entry, record);
  entry->seen_ms = fold->time_ms;
  return FOLD_APPLIED;
}

gboolean
fold_load_entry (Fold *fold, const Record__SnapshotEntry *row)
{
  if (row->entry == NULL || !entry_fits (row->entry) || fold->entries->len >= FOLD_ENTRIES_MAX
      || row->n_replaced > FOLD_REPLACED_MAX || find_entry (fold, row->entry->entry) != NULL)
    return FALSE;
  FoldEntry *entry = g_new0 (FoldEntry, 1);
  entry_set (entry, row->entry);
  entry->known_ms = row->known_ms;
  entry->known_offset = FOLD_NO_OFFSET;
  entry->seen_ms = row->seen_ms;
  entry->n_replaced = (uint32_t) row->n_replaced;
  for (uint32_t i = 0; i < entry->n_replaced; i++)
    entry->replaced[i] = row->replaced[i];
  g_ptr_array_add (fold->entries, entry);
  return TRUE;
}

void
fold_expire_entries (Fold *fold)
{
  if (fold->options.entry_keep_ms == 0)
    return;
  for (guint i = fold->entries->len; i > 0; i--)
    {
      const FoldEntry *entry = g_ptr_array_index (fold->entries, i - 1);
      if (entry->seen_ms < fold->time_ms - fold->options.entry_keep_ms)
        g_ptr_array_remove_index (fold->entries, i - 1);
    }
}

const GPtrArray *
fold_entries (const Fold *fold)
{
  return fold->entries;
}

const FoldClaim *
fold_claim (const Fold *fold, uint32_t shard)
{
  g_assert (shard < fold->options.shards);
  return &fold->claims[shard];
}

/* An owner that can't read the log may go on with the consent of every entry that could claim. An
 * entry that the owner may not know yet can't have consented, so it has to wait. */
static gboolean
may_claim (const Fold *fold, const FoldClaim *claim, const Record__Claim *record)
{
  const FoldEntry *entry = find_entry (fold, record->entry);

  if (entry == NULL || entry->incarnation != record->incarnation)
    return FALSE;
  if (claim->epoch == 0 || claim->released || is_owner (claim, record->entry, record->incarnation))
    return TRUE;
  return fold->time_ms - entry->known_ms >= fold->options.claim_wait_ms;
}

static void
claim_set (FoldClaim *claim, const Record__Claim *record, int64_t claimed_ms, int64_t offset)
{
  g_free (claim->entry);
  claim->entry = g_strdup (record->entry);
  claim->epoch = record->epoch;
  claim->incarnation = record->incarnation;
  claim->claimed_ms = claimed_ms;
  claim->offset = offset;
  claim->released = FALSE;
}

FoldResult
fold_apply_claim (Fold *fold, const Record__Claim *record, int64_t offset)
{
  if (record->shard >= fold->options.shards || record->epoch == 0
      || !fold_text_fits (record->entry, 1, FOLD_NAME_BYTES_MAX))
    return FOLD_MALFORMED;
  FoldClaim *claim = &fold->claims[record->shard];
  if (record->epoch != claim->epoch + 1 || !may_claim (fold, claim, record))
    return FOLD_REFUSED;
  claim_set (claim, record, fold->time_ms, offset);
  return FOLD_APPLIED;
}

gboolean
fold_load_claim (Fold *fold, const Record__SnapshotClaim *row, uint32_t shard)
{
  if (row->claim == NULL || shard >= fold->options.shards || row->claim->shard != shard
      || !fold_text_fits (row->claim->entry, row->claim->epoch > 0 ? 1 : 0, FOLD_NAME_BYTES_MAX))
    return FALSE;
  claim_set (&fold->claims[shard], row->claim, row->claimed_ms, FOLD_NO_OFFSET);
  fold->claims[shard].released = row->released;
  return TRUE;
}
