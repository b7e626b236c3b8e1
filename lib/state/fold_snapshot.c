/**
 * @file fold_snapshot.c
 * Encodes and decodes the state of the fold.
 */
#include "common/err.h"
#include "state/fold_private.h"

#define SNAPSHOT_FORMAT 1

static ProtobufCBinaryData
binary_data (GBytes *bytes)
{
  gsize size = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;

  return (ProtobufCBinaryData){ size, (uint8_t *) data };
}

/* Messages of the snapshot that is being written; their strings and bytes belong to the fold. */
typedef struct
{
  Record__Snapshot snapshot;
  GPtrArray *owned; /**< blocks to free */
  GByteArray *ids;
} Writer;

static void *
writer_alloc (Writer *writer, size_t count, size_t size)
{
  void *block = g_malloc0_n (MAX (count, 1), size);

  g_ptr_array_add (writer->owned, block);
  return block;
}

static void
write_configs (Writer *writer, const Fold *fold)
{
  size_t n = fold->history->len;
  Record__SnapshotConfig *rows = writer_alloc (writer, n, sizeof *rows);
  Record__Config *configs = writer_alloc (writer, n, sizeof *configs);

  writer->snapshot.n_configs = n;
  writer->snapshot.configs = writer_alloc (writer, n, sizeof (Record__SnapshotConfig *));
  for (size_t i = 0; i < n; i++)
    {
      const FoldConfig *config = g_ptr_array_index (fold->history, i);
      record__config__init (&configs[i]);
      configs[i].base_version = config->base_version;
      configs[i].author = config->author;
      configs[i].note = config->note;
      configs[i].text = binary_data (config->text);
      record__snapshot_config__init (&rows[i]);
      rows[i].version = config->version;
      rows[i].wall_ms = config->wall_ms;
      rows[i].config = &configs[i];
      writer->snapshot.configs[i] = &rows[i];
    }
}

static void
write_claims (Writer *writer, const Fold *fold)
{
  size_t n = fold->options.shards;
  Record__SnapshotClaim *rows = writer_alloc (writer, n, sizeof *rows);
  Record__Claim *claims = writer_alloc (writer, n, sizeof *claims);

  writer->snapshot.n_claims = n;
  writer->snapshot.claims = writer_alloc (writer, n, sizeof (Record__SnapshotClaim *));
  for (size_t i = 0; i < n; i++)
    {
      const FoldClaim *claim = &fold->claims[i];
      record__claim__init (&claims[i]);
      claims[i].shard = (uint32_t) i;
      claims[i].epoch = claim->epoch;
      claims[i].entry = claim->entry;
      claims[i].incarnation = claim->incarnation;
      record__snapshot_claim__init (&rows[i]);
      rows[i].claim = &claims[i];
      rows[i].claimed_ms = claim->claimed_ms;
      rows[i].released = claim->released;
      writer->snapshot.claims[i] = &rows[i];
    }
}

static void
write_entries (Writer *writer, const Fold *fold)
{
  size_t n = fold->entries->len;
  Record__SnapshotEntry *rows = writer_alloc (writer, n, sizeof *rows);
  Record__Entry *entries = writer_alloc (writer, n, sizeof *entries);

  writer->snapshot.n_entries = n;
  writer->snapshot.entries = writer_alloc (writer, n, sizeof (Record__SnapshotEntry *));
  for (size_t i = 0; i < n; i++)
    {
      FoldEntry *entry = g_ptr_array_index (fold->entries, i);
      record__entry__init (&entries[i]);
      entries[i].entry = entry->entry;
      entries[i].incarnation = entry->incarnation;
      entries[i].data_centre = entry->data_centre;
      entries[i].wire_address = entry->wire_address;
      record__snapshot_entry__init (&rows[i]);
      rows[i].entry = &entries[i];
      rows[i].known_ms = entry->known_ms;
      rows[i].seen_ms = entry->seen_ms;
      rows[i].n_replaced = entry->n_replaced;
      rows[i].replaced = entry->replaced;
      writer->snapshot.entries[i] = &rows[i];
    }
}

static void
write_tasks (Writer *writer, const FoldJob *job, Record__SnapshotJob *row)
{
  Record__SnapshotTask *tasks = writer_alloc (writer, job->n_tasks, sizeof *tasks);

  row->n_tasks = job->n_tasks;
  row->tasks = writer_alloc (writer, job->n_tasks, sizeof (Record__SnapshotTask *));
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const FoldTask *task = &job->tasks[i];
      record__snapshot_task__init (&tasks[i]);
      tasks[i].end = task->end;
      tasks[i].attempts = task->attempts;
      tasks[i].failures = task->failures;
      tasks[i].progress_ms = task->progress_ms;
      if (task->checkpoint != NULL)
        tasks[i].checkpoint = task->checkpoint;
      row->tasks[i] = &tasks[i];
    }
}

static void
write_jobs (Writer *writer, const Fold *fold)
{
  size_t n = fold->jobs->len;
  Record__SnapshotJob *rows = writer_alloc (writer, n, sizeof *rows);
  Record__Job *jobs = writer_alloc (writer, n, sizeof *jobs);

  writer->snapshot.n_jobs = n;
  writer->snapshot.jobs = writer_alloc (writer, n, sizeof (Record__SnapshotJob *));
  for (size_t i = 0; i < n; i++)
    {
      const FoldJobRow *row = g_ptr_array_index (fold->jobs, i);
      record__job__init (&jobs[i]);
      jobs[i].job = row->job.job;
      jobs[i].name = row->job.name;
      jobs[i].submitter = row->job.submitter;
      jobs[i].shard = row->job.shard;
      jobs[i].submitted_ms = row->job.submitted_ms;
      jobs[i].deadline_ms = row->job.deadline_ms;
      jobs[i].tasks = row->job.n_tasks;
      jobs[i].definition = binary_data (row->job.definition);
      record__snapshot_job__init (&rows[i]);
      rows[i].job = &jobs[i];
      rows[i].cancelled = row->job.cancelled;
      rows[i].ended = row->ended;
      write_tasks (writer, &row->job, &rows[i]);
      writer->snapshot.jobs[i] = &rows[i];
    }
}

static void
fill_intent (const FoldIntent *intent, Record__Intent *out)
{
  record__intent__init (out);
  out->tenant = intent->tenant;
  out->key = intent->key;
  out->service = intent->service;
  out->request_digest = intent->request_digest;
  out->request_high = intent->request.high;
  out->request_low = intent->request.low;
  out->attempt = intent->attempt;
  out->agent = intent->agent;
  out->agent_incarnation = intent->agent_incarnation;
}

/* Leaves out tenant, key and attempt, which are those of the intent in the same row. */
static void
fill_outcome (const FoldIntent *intent, Record__Outcome *out)
{
  record__outcome__init (out);
  out->fenced = intent->fenced;
  out->kind = intent->kind;
  out->status = intent->status;
  out->content_type = intent->content_type;
  out->body = binary_data (intent->body);
  out->length = intent->length;
  out->body_digest = intent->body_digest;
  out->body_held = intent->body_held;
}

static void
write_intents (Writer *writer, const Fold *fold)
{
  size_t n = fold->intent_order.length;
  Record__SnapshotIntent *rows = writer_alloc (writer, n, sizeof *rows);
  Record__Intent *intents = writer_alloc (writer, n, sizeof *intents);
  Record__Outcome *outcomes = writer_alloc (writer, n, sizeof *outcomes);
  size_t i = 0;

  writer->snapshot.n_intents = n;
  writer->snapshot.intents = writer_alloc (writer, n, sizeof (Record__SnapshotIntent *));
  for (const GList *link = fold->intent_order.head; link != NULL; link = link->next, i++)
    {
      const FoldIntentRow *row = link->data;
      record__snapshot_intent__init (&rows[i]);
      fill_intent (&row->intent, &intents[i]);
      rows[i].intent = &intents[i];
      rows[i].intent_ms = row->intent.intent_ms;
      rows[i].ended = row->ended;
      if (row->intent.has_outcome)
        {
          fill_outcome (&row->intent, &outcomes[i]);
          rows[i].outcome = &outcomes[i];
        }
      writer->snapshot.intents[i] = &rows[i];
    }
}

GBytes *
fold_snapshot (const Fold *fold)
{
  Writer writer = { .owned = g_ptr_array_new_with_free_func (g_free), .ids = g_byte_array_new () };

  record__snapshot__init (&writer.snapshot);
  fold_ids_save (fold->ids, writer.ids);
  writer.snapshot.format = SNAPSHOT_FORMAT;
  writer.snapshot.next_offset = fold->next_offset;
  writer.snapshot.time_ms = fold->time_ms;
  writer.snapshot.sequence = fold->sequence;
  writer.snapshot.ids = (ProtobufCBinaryData){ writer.ids->len, writer.ids->data };
  write_configs (&writer, fold);
  write_claims (&writer, fold);
  write_entries (&writer, fold);
  write_jobs (&writer, fold);
  write_intents (&writer, fold);
  size_t size = record__snapshot__get_packed_size (&writer.snapshot);
  uint8_t *data = g_malloc (MAX (size, 1));
  (void) record__snapshot__pack (&writer.snapshot, data);
  g_ptr_array_unref (writer.owned);
  g_byte_array_unref (writer.ids);
  return g_bytes_new_take (data, size);
}

static gboolean
load_rows (Fold *fold, const Record__Snapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->n_configs; i++)
    if (!fold_load_config (fold, snapshot->configs[i]))
      return FALSE;
  for (size_t i = 0; i < snapshot->n_claims; i++)
    if (!fold_load_claim (fold, snapshot->claims[i], (uint32_t) i))
      return FALSE;
  for (size_t i = 0; i < snapshot->n_entries; i++)
    if (!fold_load_entry (fold, snapshot->entries[i]))
      return FALSE;
  for (size_t i = 0; i < snapshot->n_jobs; i++)
    if (!fold_load_job (fold, snapshot->jobs[i]))
      return FALSE;
  for (size_t i = 0; i < snapshot->n_intents; i++)
    if (!fold_load_intent (fold, snapshot->intents[i]))
      return FALSE;
  return TRUE;
}

static gint
compare_ended_jobs (gconstpointer a, gconstpointer b, void *ctx)
{
  const FoldJobRow *left = a;
  const FoldJobRow *right = b;

  (void) ctx;
  return (left->ended > right->ended) - (left->ended < right->ended);
}

static gint
compare_bodies (gconstpointer a, gconstpointer b, void *ctx)
{
  const FoldIntentRow *left = a;
  const FoldIntentRow *right = b;

  (void) ctx;
  return (left->ended > right->ended) - (left->ended < right->ended);
}

/* Sorts the loaded jobs and bodies by their end. */
static void
load_order (Fold *fold)
{
  g_queue_sort (&fold->ended_jobs, compare_ended_jobs, NULL);
  g_queue_sort (&fold->bodies, compare_bodies, NULL);
}

static gboolean
load (Fold *fold, const Record__Snapshot *snapshot)
{
  if (snapshot->format != SNAPSHOT_FORMAT || snapshot->next_offset < 0 || snapshot->time_ms < 0
      || snapshot->time_ms > FOLD_TIME_MAX_MS || snapshot->n_claims != fold->options.shards)
    return FALSE;
  fold->next_offset = snapshot->next_offset;
  fold->time_ms = snapshot->time_ms;
  fold->sequence = snapshot->sequence;
  if (!fold_ids_load (fold->ids, snapshot->ids.data, snapshot->ids.len)
      || !load_rows (fold, snapshot))
    return FALSE;
  load_order (fold);
  return TRUE;
}

Fold *
fold_from_snapshot (const FoldOptions *options, const uint8_t *data, size_t size, GError **error)
{
  Record__Snapshot *snapshot = record__snapshot__unpack (NULL, size, data);
  Fold *fold = fold_new (options);
  gboolean ok = snapshot != NULL && load (fold, snapshot);

  if (snapshot != NULL)
    record__snapshot__free_unpacked (snapshot, NULL);
  if (ok)
    return fold;
  fold_free (fold);
  err_set (error, ERR_PROTOCOL, "snapshot of %zu bytes is malformed", size);
  return NULL;
}
