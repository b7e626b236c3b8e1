#include "ledger/ledger.h"

#include <string.h>

#include "common/clk.h"

/** Longest id or name in a key. */
#define NAME_MAX_CHARS 200

/** Tasks of a job whose record was not read yet. */
typedef struct
{
  uint32_t n_tasks;
  int64_t since_us;
} Reservation;

struct Ledger
{
  LedgerEvents events;
  GHashTable *jobs;     /**< id -> LedgerJob */
  GHashTable *agents;   /**< name -> LedgerAgent */
  GHashTable *crashes;  /**< job id -> CrashRecord */
  uint64_t body_bytes;  /**< of the submissions in jobs */
  uint64_t tasks;       /**< of the submissions in jobs, and reserved ones */
  GHashTable *reserved; /**< job id -> Reservation, both owned */
  GHashTable *held;     /**< set of LedgerJob that were cancelled and not submitted */
  LedgerOwner owner;
  Batch__Learned *learned;
  int64_t learned_offset;
  Batch__Silent *silent;
  int64_t silent_offset;
};

typedef struct
{
  Batch__Crashes *crashes;
  int64_t offset;
} CrashRecord;

static void
crash_record_free (gpointer data)
{
  CrashRecord *record = data;

  batch__crashes__free_unpacked (record->crashes, NULL);
  g_free (record);
}

static void
job_free (gpointer data)
{
  LedgerJob *job = data;

  if (job->submission != NULL)
    batch__submission__free_unpacked (job->submission, NULL);
  if (job->progress != NULL)
    batch__progress__free_unpacked (job->progress, NULL);
  g_free (job->id);
  g_free (job);
}

static void
agent_free (gpointer data)
{
  LedgerAgent *agent = data;

  g_free (agent->name);
  g_free (agent->address);
  g_free (agent);
}

Ledger *
ledger_new (const LedgerEvents *events)
{
  Ledger *ledger = g_new0 (Ledger, 1);

  ledger->events = *events;
  ledger->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  ledger->agents = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, agent_free);
  ledger->crashes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, crash_record_free);
  ledger->held = g_hash_table_new (NULL, NULL);
  ledger->reserved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ledger->owner.pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return ledger;
}

void
ledger_free (Ledger *ledger)
{
  if (ledger == NULL)
    return;
  g_hash_table_destroy (ledger->held);
  g_hash_table_destroy (ledger->reserved);
  g_hash_table_destroy (ledger->jobs);
  g_hash_table_destroy (ledger->agents);
  g_hash_table_destroy (ledger->crashes);
  g_hash_table_destroy (ledger->owner.pending);
  g_free (ledger->owner.name);
  g_free (ledger->owner.address);
  g_free (ledger->owner.metrics_address);
  g_strfreev (ledger->owner.deputies);
  if (ledger->silent != NULL)
    batch__silent__free_unpacked (ledger->silent, NULL);
  if (ledger->learned != NULL)
    batch__learned__free_unpacked (ledger->learned, NULL);
  g_free (ledger);
}

static LedgerJob *
find_or_add_job (Ledger *ledger, const char *id)
{
  LedgerJob *job = g_hash_table_lookup (ledger->jobs, id);

  if (job == NULL)
    {
      job = g_new0 (LedgerJob, 1);
      job->id = g_strdup (id);
      g_hash_table_insert (ledger->jobs, job->id, job);
    }
  return job;
}

/* Removes a job that had ended and whose retention has passed. */
static gboolean
remove_job (Ledger *ledger, const char *id)
{
  LedgerJob *job = g_hash_table_lookup (ledger->jobs, id);

  if (job == NULL)
    return TRUE;
  (void) g_hash_table_remove (ledger->held, job);
  if (job->submission != NULL)
    {
      ledger->body_bytes -= job->submission->body.len;
      ledger->tasks -= job->submission->tasks;
    }
  (void) g_hash_table_remove (ledger->jobs, id);
  if (ledger->events.on_job_gone != NULL)
    ledger->events.on_job_gone (ledger->events.ctx, id);
  return TRUE;
}

static gboolean
apply_job (Ledger *ledger, const char *id, int64_t offset, const uint8_t *value, size_t size)
{
  if (!job_id_is_valid (id))
    return FALSE;
  if (size == 0)
    return remove_job (ledger, id);
  Batch__Submission *submission = batch__submission__unpack (NULL, size, value);
  if (submission == NULL)
    return FALSE;
  LedgerJob *job = find_or_add_job (ledger, id);
  if (job->submission != NULL)
    {
      /* Submitted again: the first submission counts. */
      batch__submission__free_unpacked (submission, NULL);
      return TRUE;
    }
  (void) g_hash_table_remove (ledger->held, job);
  job->submission = submission;
  ledger->body_bytes += submission->body.len;
  ledger->tasks += submission->tasks;
  ledger_release_tasks (ledger, id);
  job->offset = offset;
  if (ledger->events.on_job != NULL)
    ledger->events.on_job (ledger->events.ctx, job);
  return TRUE;
}

static gboolean
apply_run (Ledger *ledger, const char *id, int64_t offset, const uint8_t *value, size_t size)
{
  /* An empty value removes the progress of a job that was itself removed before. */
  if (size == 0 && ledger_job (ledger, id) == NULL)
    return TRUE;
  Batch__Progress *progress = batch__progress__unpack (NULL, size, value);
  if (progress == NULL)
    return FALSE;
  LedgerJob *job = find_or_add_job (ledger, id);
  Batch__Progress *older = job->progress;
  if (older != NULL && offset < job->progress_offset)
    older = progress;
  else
    {
      job->progress = progress;
      job->progress_offset = offset;
    }
  if (older != NULL)
    batch__progress__free_unpacked (older, NULL);
  return TRUE;
}

/* Drops a cancel whose job was not submitted in time. */
static gboolean
remove_cancel (Ledger *ledger, const char *id)
{
  LedgerJob *job = g_hash_table_lookup (ledger->jobs, id);

  if (job == NULL || !g_hash_table_remove (ledger->held, job))
    return TRUE;
  job->is_cancelled = FALSE;
  if (job->progress == NULL)
    (void) g_hash_table_remove (ledger->jobs, id);
  return TRUE;
}

static gboolean
apply_cancel (Ledger *ledger, const char *id, size_t size)
{
  if (!job_id_is_valid (id))
    return FALSE;
  if (size == 0)
    return remove_cancel (ledger, id);
  LedgerJob *job = find_or_add_job (ledger, id);

  job->held_us = 0;
  if (job->submission == NULL)
    (void) g_hash_table_add (ledger->held, job);
  if (job->is_cancelled)
    return TRUE;
  job->is_cancelled = TRUE;
  if (ledger->events.on_cancel != NULL)
    ledger->events.on_cancel (ledger->events.ctx, job);
  return TRUE;
}

/* Removes an agent that had not reported to the owner for long. It registers again if it runs. */
static gboolean
remove_agent (Ledger *ledger, const char *name)
{
  if (!g_hash_table_remove (ledger->agents, name))
    return TRUE;
  if (ledger->events.on_agent_gone != NULL)
    ledger->events.on_agent_gone (ledger->events.ctx, name);
  return TRUE;
}

static gboolean
apply_agent (Ledger *ledger, const char *name, const uint8_t *value, size_t size)
{
  if (size == 0)
    return remove_agent (ledger, name);
  Batch__Member *member = batch__member__unpack (NULL, size, value);
  if (member == NULL)
    return FALSE;
  LedgerAgent *agent = g_new0 (LedgerAgent, 1);
  agent->name = g_strdup (name);
  agent->address = g_strdup (member->address);
  agent->boot = member->boot;
  batch__member__free_unpacked (member, NULL);
  g_hash_table_replace (ledger->agents, agent->name, agent);
  if (ledger->events.on_agent != NULL)
    ledger->events.on_agent (ledger->events.ctx, agent);
  return TRUE;
}

static void
set_loads (LedgerOwner *owner, const Batch__Owner *message)
{
  g_hash_table_remove_all (owner->pending);
  for (size_t i = 0; i < message->n_loads; i++)
    g_hash_table_replace (owner->pending, g_strdup (message->loads[i]->queue),
                          GUINT_TO_POINTER (message->loads[i]->pending));
}

static void
set_addresses (LedgerOwner *owner, const Batch__Owner *message)
{
  g_free (owner->address);
  g_free (owner->metrics_address);
  g_strfreev (owner->deputies);
  owner->address = g_strdup (message->address);
  owner->metrics_address = g_strdup (message->metrics_address);
  owner->deputies = g_new0 (char *, message->n_deputies + 1);
  for (size_t i = 0; i < message->n_deputies; i++)
    owner->deputies[i] = g_strdup (message->deputies[i]);
}

/* Each claim raises the term. */
static gboolean
is_valid_owner (const LedgerOwner *owner, int64_t offset, const Batch__Owner *message)
{
  return message->term > 0 && message->term <= LEDGER_TERM_MAX
         && (offset <= owner->offset || message->term >= owner->term);
}

static gboolean
apply_owner (Ledger *ledger, int64_t offset, const uint8_t *value, size_t size)
{
  Batch__Owner *message = batch__owner__unpack (NULL, size, value);
  LedgerOwner *owner = &ledger->owner;

  if (message == NULL)
    return FALSE;
  if (!is_valid_owner (owner, offset, message))
    {
      batch__owner__free_unpacked (message, NULL);
      return FALSE;
    }
  if (owner->term == 0 || offset > owner->offset)
    {
      /* The loads of a claim are ignored: it is written before its owner has counted its jobs. */
      if (owner->term == 0 || owner->term == message->term)
        set_loads (owner, message);
      g_free (owner->name);
      owner->term = message->term;
      owner->name = g_strdup (message->name);
      owner->boot = message->boot;
      owner->offset = offset;
      owner->epoch = message->epoch;
      owner->level = message->level;
      owner->level_since = message->level_since;
      set_addresses (owner, message);
      if (ledger->events.on_owner != NULL)
        ledger->events.on_owner (ledger->events.ctx, owner);
    }
  batch__owner__free_unpacked (message, NULL);
  return TRUE;
}

static gboolean
apply_learned (Ledger *ledger, int64_t offset, const uint8_t *value, size_t size)
{
  if (ledger->learned != NULL && offset < ledger->learned_offset)
    return TRUE;
  Batch__Learned *learned = batch__learned__unpack (NULL, size, value);
  if (learned == NULL)
    return FALSE;
  if (ledger->learned != NULL)
    batch__learned__free_unpacked (ledger->learned, NULL);
  ledger->learned = learned;
  ledger->learned_offset = offset;
  return TRUE;
}

static gboolean
apply_silent (Ledger *ledger, int64_t offset, const uint8_t *value, size_t size)
{
  if (ledger->silent != NULL && offset < ledger->silent_offset)
    return TRUE;
  Batch__Silent *silent = batch__silent__unpack (NULL, size, value);
  if (silent == NULL)
    return FALSE;
  if (ledger->silent != NULL)
    batch__silent__free_unpacked (ledger->silent, NULL);
  ledger->silent = silent;
  ledger->silent_offset = offset;
  return TRUE;
}

static gboolean
apply_crashes (Ledger *ledger, const char *id, int64_t offset, const uint8_t *value, size_t size)
{
  const CrashRecord *older = g_hash_table_lookup (ledger->crashes, id);

  if (older != NULL && offset < older->offset)
    return TRUE;
  if (size == 0)
    {
      (void) g_hash_table_remove (ledger->crashes, id);
      return TRUE;
    }
  Batch__Crashes *crashes = batch__crashes__unpack (NULL, size, value);
  if (crashes == NULL)
    return FALSE;
  CrashRecord *record = g_new (CrashRecord, 1);
  *record = (CrashRecord){ crashes, offset };
  g_hash_table_replace (ledger->crashes, g_strdup (id), record);
  return TRUE;
}

gboolean
ledger_apply (Ledger *ledger,
              int64_t offset,
              const char *key,
              size_t key_size,
              const uint8_t *value,
              size_t value_size)
{
  if (key_size == 0 || key_size > NAME_MAX_CHARS || memchr (key, '\0', key_size) != NULL)
    return FALSE;
  g_autofree char *text = g_strndup (key, key_size);
  if (strcmp (text, LEDGER_OWNER_KEY) == 0)
    return apply_owner (ledger, offset, value, value_size);
  if (strcmp (text, LEDGER_LEARNED_KEY) == 0)
    return apply_learned (ledger, offset, value, value_size);
  if (strcmp (text, LEDGER_SILENT_KEY) == 0)
    return apply_silent (ledger, offset, value, value_size);
  if (g_str_has_prefix (text, LEDGER_JOB_PREFIX))
    return apply_job (ledger, text + strlen (LEDGER_JOB_PREFIX), offset, value, value_size);
  if (g_str_has_prefix (text, LEDGER_RUN_PREFIX))
    return apply_run (ledger, text + strlen (LEDGER_RUN_PREFIX), offset, value, value_size);
  if (g_str_has_prefix (text, LEDGER_CRASH_PREFIX))
    return apply_crashes (ledger, text + strlen (LEDGER_CRASH_PREFIX), offset, value, value_size);
  if (g_str_has_prefix (text, LEDGER_CANCEL_PREFIX))
    return apply_cancel (ledger, text + strlen (LEDGER_CANCEL_PREFIX), value_size);
  if (g_str_has_prefix (text, LEDGER_AGENT_PREFIX))
    return apply_agent (ledger, text + strlen (LEDGER_AGENT_PREFIX), value, value_size);
  return FALSE;
}

gboolean
ledger_is_job_key (const char *key)
{
  if (g_str_has_prefix (key, LEDGER_JOB_PREFIX))
    return job_id_is_valid (key + strlen (LEDGER_JOB_PREFIX));
  return g_str_has_prefix (key, LEDGER_CANCEL_PREFIX)
         && job_id_is_valid (key + strlen (LEDGER_CANCEL_PREFIX));
}

const LedgerJob *
ledger_job (const Ledger *ledger, const char *id)
{
  return g_hash_table_lookup (ledger->jobs, id);
}

gboolean
ledger_job_state (const LedgerJob *job, SchedJobState *state)
{
  if (job == NULL || job->submission == NULL)
    return FALSE;
  *state = job->progress != NULL ? (SchedJobState) MIN (job->progress->state, SCHED_CANCELLED)
                                 : SCHED_QUEUED;
  if (job->is_cancelled && (*state == SCHED_QUEUED || *state == SCHED_RUNNING))
    *state = SCHED_CANCELLED;
  return TRUE;
}

const Batch__Learned *
ledger_learned (const Ledger *ledger)
{
  return ledger->learned;
}

const Batch__Silent *
ledger_silent (const Ledger *ledger)
{
  return ledger->silent;
}

const Batch__Crashes *
ledger_crashes (const Ledger *ledger, const char *id)
{
  const CrashRecord *record = g_hash_table_lookup (ledger->crashes, id);

  return record != NULL ? record->crashes : NULL;
}

void
ledger_orphaned_crashes (const Ledger *ledger, GPtrArray *ids, guint n_most)
{
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, ledger->crashes);
  while (ids->len < n_most && g_hash_table_iter_next (&iter, &key, NULL))
    {
      const LedgerJob *job = ledger_job (ledger, key);
      if (job == NULL || job->submission == NULL)
        g_ptr_array_add (ids, key);
    }
}

uint32_t
ledger_held_cancels (const Ledger *ledger)
{
  return g_hash_table_size (ledger->held);
}

void
ledger_expired_cancels (
    Ledger *ledger, int64_t now_us, int64_t keep_ms, GPtrArray *ids, guint n_most)
{
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, ledger->held);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      LedgerJob *job = key;
      if (job->held_us == 0)
        job->held_us = now_us;
      if (ids->len < n_most && now_us - job->held_us >= keep_ms * 1000)
        g_ptr_array_add (ids, job->id);
    }
}

gboolean
ledger_is_silent_kept (const Ledger *ledger, uint64_t level_since)
{
  return ledger->silent != NULL && ledger->silent->term >= level_since;
}

const LedgerOwner *
ledger_owner (const Ledger *ledger)
{
  return &ledger->owner;
}

uint64_t
ledger_level_since (const LedgerOwner *last, uint32_t level, uint64_t term)
{
  return last->term != 0 && last->level >= level ? last->level_since : term;
}

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const LedgerJob *left = *(const LedgerJob *const *) a;
  const LedgerJob *right = *(const LedgerJob *const *) b;

  return left->offset < right->offset ? -1 : left->offset > right->offset;
}

void
ledger_each_job (const Ledger *ledger, void (*each) (void *ctx, const LedgerJob *job), void *ctx)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, ledger->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((LedgerJob *) value)->submission != NULL)
        g_ptr_array_add (jobs, value);
    }
  g_ptr_array_sort (jobs, compare_jobs);
  for (guint i = 0; i < jobs->len; i++)
    each (ctx, g_ptr_array_index (jobs, i));
}

void
ledger_each_agent (const Ledger *ledger,
                   void (*each) (void *ctx, const LedgerAgent *agent),
                   void *ctx)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, ledger->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (ctx, value);
}

uint32_t
ledger_pending (const Ledger *ledger, const char *queue)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (ledger->owner.pending, queue));
}

uint64_t
ledger_body_bytes (const Ledger *ledger)
{
  return ledger->body_bytes;
}

uint64_t
ledger_tasks (const Ledger *ledger)
{
  return ledger->tasks;
}

void
ledger_release_tasks (Ledger *ledger, const char *id)
{
  const Reservation *reservation = g_hash_table_lookup (ledger->reserved, id);

  if (reservation == NULL)
    return;
  ledger->tasks -= reservation->n_tasks;
  (void) g_hash_table_remove (ledger->reserved, id);
}

static void
release_old (Ledger *ledger, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, ledger->reserved);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Reservation *reservation = value;
      if (now_us - reservation->since_us < LEDGER_RESERVED_MS * CLK_US_PER_MS)
        continue;
      ledger->tasks -= reservation->n_tasks;
      g_hash_table_iter_remove (&iter);
    }
}

gboolean
ledger_reserve_tasks (
    Ledger *ledger, const char *id, uint32_t n_tasks, uint64_t max, int64_t now_us)
{
  if (g_hash_table_contains (ledger->reserved, id))
    return TRUE;
  if (ledger->tasks + n_tasks > max)
    release_old (ledger, now_us);
  if (ledger->tasks + n_tasks > max)
    return FALSE;
  Reservation *reservation = g_new0 (Reservation, 1);
  *reservation = (Reservation){ n_tasks, now_us };
  (void) g_hash_table_insert (ledger->reserved, g_strdup (id), reservation);
  ledger->tasks += n_tasks;
  return TRUE;
}
