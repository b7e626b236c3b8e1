/*
 * Agents that do not report, with the tasks that may run at their workers. The owner publishes
 * them, and starts nothing at a published agent, so that its successor need not wait for their
 * reports: no other task can run there.
 */
#include <string.h>

#include "batch/message.h"
#include "batch/sched_tables.h"

/** Most agents that are published. With more, a successor waits for the reports of all. */
#define AGENTS_MAX 16
/** Most tasks of a published agent. */
#define TASKS_MAX 64

static gboolean
is_silent (const Sched *sched, const SchedWorker *worker)
{
  return worker->report_us == 0 || sched_is_report_outdated (sched, worker);
}

/* Whether all tasks that may run at the worker are known: from a report in this term, from the
 * previous owner, or since the leases of earlier terms have expired. */
static gboolean
are_tasks_known (const Sched *sched, const SchedWorker *worker)
{
  return (worker->has_reported && !worker->has_more_ends) || worker->confined != NULL
         || sched->reconcile_until_us == 0;
}

static gboolean
can_publish (const Sched *sched, const SchedWorker *worker)
{
  return is_silent (sched, worker) && are_tasks_known (sched, worker)
         && worker->tasks->len + g_hash_table_size (worker->orphaned_runs) <= TASKS_MAX;
}

static gboolean
is_published (const Sched *sched, const char *agent)
{
  return g_hash_table_contains (sched->published, agent);
}

gboolean
sched_is_published (const Sched *sched, const SchedWorker *worker)
{
  return is_published (sched, worker->name)
         || (sched->publishing != NULL && g_hash_table_contains (sched->publishing, worker->name));
}

static GHashTable *
name_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Adds the names of agents that are to be published; returns whether they differ from the published
 * ones. */
static gboolean
collect (const Sched *sched, GHashTable *names)
{
  GHashTableIter iter;
  gpointer value = NULL;
  gboolean is_changed = FALSE;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (!can_publish (sched, worker))
        continue;
      (void) g_hash_table_add (names, g_strdup (worker->name));
      is_changed |= !is_published (sched, worker->name);
    }
  if (g_hash_table_size (names) > AGENTS_MAX)
    {
      g_hash_table_remove_all (names);
      is_changed = FALSE;
    }
  return is_changed || g_hash_table_size (names) != g_hash_table_size (sched->published);
}

/* Adds the first word of each key to the tasks of the row. */
static void
add_first_words (Batch__SilentAgent *row, GHashTable *keys)
{
  GHashTableIter iter;
  gpointer key = NULL;

  if (keys == NULL)
    return;
  g_hash_table_iter_init (&iter, keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      g_autofree char *word = g_strndup (key, strcspn (key, " "));
      row->tasks[row->n_tasks++] = message_strdup (word);
    }
}

static Batch__SilentAgent *
encode_agent (const SchedWorker *worker)
{
  Batch__SilentAgent *row = message_alloc (sizeof *row);
  size_t n_confined = worker->confined != NULL ? g_hash_table_size (worker->confined) : 0;
  size_t n_orphaned = g_hash_table_size (worker->orphaned_runs);

  batch__silent_agent__init (row);
  row->name = message_strdup (worker->name);
  row->tasks
      = message_alloc ((worker->tasks->len + n_confined + n_orphaned + 1) * sizeof *row->tasks);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      g_autofree char *name = sched_task_name (g_ptr_array_index (worker->tasks, i));
      row->tasks[row->n_tasks++] = message_strdup (name);
    }
  add_first_words (row, worker->confined);
  add_first_words (row, worker->orphaned_runs);
  return row;
}

GBytes *
sched_publish_silent (Sched *sched)
{
  g_autoptr (GHashTable) names = name_set_new ();
  GHashTableIter iter;
  gpointer key = NULL;

  g_assert (sched->publishing == NULL);
  if (!collect (sched, names))
    return NULL;
  Batch__Silent *message = message_alloc (sizeof *message);
  batch__silent__init (message);
  message->term = sched->term;
  message->agents = message_alloc ((g_hash_table_size (names) + 1) * sizeof *message->agents);
  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    message->agents[message->n_agents++] = encode_agent (g_hash_table_lookup (sched->workers, key));
  size_t size = batch__silent__get_packed_size (message);
  uint8_t *bytes = g_malloc (size);
  (void) batch__silent__pack (message, bytes);
  batch__silent__free_unpacked (message, NULL);
  sched->publishing = g_steal_pointer (&names);
  return g_bytes_new_take (bytes, size);
}

void
sched_end_publish (Sched *sched, gboolean is_written)
{
  if (sched->publishing == NULL)
    return;
  if (is_written)
    {
      g_hash_table_destroy (sched->published);
      sched->published = g_steal_pointer (&sched->publishing);
    }
  g_clear_pointer (&sched->publishing, g_hash_table_destroy);
}

void
sched_restore_silent (Sched *sched, const Batch__Silent *silent, gboolean is_kept)
{
  for (size_t i = 0; i < silent->n_agents; i++)
    {
      const Batch__SilentAgent *row = silent->agents[i];
      SchedWorker *worker = g_hash_table_lookup (sched->workers, row->name);
      (void) g_hash_table_add (sched->published, g_strdup (row->name));
      if (!is_kept || worker == NULL || worker->confined != NULL)
        continue;
      worker->confined = name_set_new ();
      for (size_t k = 0; k < row->n_tasks; k++)
        (void) g_hash_table_add (worker->confined, g_strdup (row->tasks[k]));
    }
}

gboolean
sched_may_run_unseen (const Sched *sched, const SchedTask *task)
{
  g_autofree char *name = sched_task_name (task);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SchedWorker *worker = value;
      if (worker->report_us == 0 && worker->confined != NULL
          && g_hash_table_contains (worker->confined, name))
        return TRUE;
    }
  return FALSE;
}
