#include "book.h"

#include <stdarg.h>
#include <string.h>

/** A job whose turn has come waits this long at most for its first task, beside free workers. */
#define IDLE_MAX_MS 3000

typedef struct
{
  uint32_t worker;
  int64_t run;
} BookRun;

struct BookTask
{
  BookJob *job;
  const BookStep *step;
  uint32_t step_index;
  GArray *runs;        /**< BookRun at work */
  gboolean is_done;    /**< a run ended done */
  gboolean is_settled; /**< and that was acknowledged */
  int64_t done_start;  /**< starts before the newest end that was done */
  int64_t n_starts;
  uint32_t n_failed_known; /**< failed ends that were acknowledged */
  uint32_t n_failed;
  GHashTable *saved;
};

struct Book
{
  const Soak *soak;
  GPtrArray *jobs;   /**< BookJob */
  GHashTable *by_id; /**< BookJob */
  uint32_t n_broken;
  uint32_t n_starts;
};

static void
task_free (gpointer data)
{
  BookTask *task = data;

  g_array_unref (task->runs);
  g_hash_table_unref (task->saved);
  g_free (task);
}

static void
job_free (gpointer data)
{
  BookJob *job = data;

  g_hash_table_unref (job->tasks);
  g_array_unref (job->steps);
  g_free (job->id);
  g_free (job->spec);
  g_free (job);
}

Book *
book_new (const Soak *soak)
{
  Book *book = g_new0 (Book, 1);

  book->soak = soak;
  book->jobs = g_ptr_array_new_with_free_func (job_free);
  book->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return book;
}

void
book_free (Book *book)
{
  g_hash_table_unref (book->by_id);
  g_ptr_array_unref (book->jobs);
  g_free (book);
}

static void broken (Book *book, const char *promise, const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
broken (Book *book, const char *promise, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  book->n_broken++;
  soak_note (book->soak, "BROKEN %s: %s", promise, text);
}

BookJob *
book_add (Book *book, char *id, char *spec, GArray *steps)
{
  BookJob *job = g_new0 (BookJob, 1);

  job->id = id;
  job->spec = spec;
  job->steps = steps;
  job->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, task_free);
  g_ptr_array_add (book->jobs, job);
  g_hash_table_insert (book->by_id, job->id, job);
  return job;
}

static BookTask *
task_new (BookJob *job, uint32_t step_index)
{
  BookTask *task = g_new0 (BookTask, 1);

  task->job = job;
  task->step = &g_array_index (job->steps, BookStep, step_index);
  task->step_index = step_index;
  task->runs = g_array_new (FALSE, FALSE, sizeof (BookRun));
  task->saved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return task;
}

/* A name is ID.OCCURRENCE.STEP.INDEX; jobs of the soak have one occurrence. */
static BookTask *
find_task (Book *book, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 0);
  guint64 step = 0;
  guint64 index = 0;

  if (g_strv_length (parts) != 4 || strcmp (parts[1], "0") != 0
      || !g_ascii_string_to_unsigned (parts[2], 10, 0, G_MAXUINT32, &step, NULL)
      || !g_ascii_string_to_unsigned (parts[3], 10, 0, G_MAXUINT32, &index, NULL))
    return NULL;
  BookJob *job = g_hash_table_lookup (book->by_id, parts[0]);
  if (job == NULL || step >= job->steps->len
      || index >= g_array_index (job->steps, BookStep, step).n_tasks)
    return NULL;
  BookTask *task = g_hash_table_lookup (job->tasks, name);
  if (task == NULL)
    {
      task = task_new (job, (uint32_t) step);
      g_hash_table_insert (job->tasks, g_strdup (name), task);
    }
  return task;
}

const BookStep *
book_step (Book *book, const char *task, uint32_t *index)
{
  const BookTask *known = find_task (book, task);
  const char *dot = strrchr (task, '.');

  if (known == NULL)
    return NULL;
  *index = (uint32_t) g_ascii_strtoull (dot + 1, NULL, 10);
  return known->step;
}

static uint32_t
count_done (const BookJob *job, uint32_t step_index)
{
  uint32_t n_done = 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const BookTask *task = value;
      n_done += task->step_index == step_index && task->is_done;
    }
  return n_done;
}

static gboolean
is_step_done (const BookJob *job, uint32_t step_index)
{
  return count_done (job, step_index) == g_array_index (job->steps, BookStep, step_index).n_tasks;
}

static void
check_job_of_start (Book *book, const BookTask *task, const char *name, const char *spec)
{
  const BookJob *job = task->job;

  if (strcmp (job->spec, spec) != 0)
    broken (book, "not_asked", "task %s started with another spec", name);
  if (!job->is_accepted && job->n_unknown == 0)
    broken (book, "refused_but_ran", "task %s started, each attempt to hand its job in was refused",
            name);
  if (task->step->has_after && !is_step_done (job, task->step_index - 1))
    broken (book, "step_order", "task %s started before the step before it was done", name);
}

void
book_start (
    Book *book, uint32_t worker, const char *name, int64_t run, const char *spec, const char *saved)
{
  BookTask *task = find_task (book, name);
  const BookRun entry = { worker, run };

  soak_note (book->soak, "start %s run %" G_GINT64_FORMAT " at worker %u from '%s'", name, run,
             worker, saved);
  if (task == NULL)
    {
      broken (book, "not_asked", "task %s was never sent", name);
      return;
    }
  book->n_starts++;
  check_job_of_start (book, task, name, spec);
  if (*saved != '\0' && !g_hash_table_contains (task->saved, saved))
    broken (book, "not_asked", "task %s started from '%s', which is not its own", name, saved);
  if (task->runs->len > 0)
    broken (book, "double_run",
            "task %s run %" G_GINT64_FORMAT " at worker %u beside run %" G_GINT64_FORMAT
            " at worker %u",
            name, run, worker, g_array_index (task->runs, BookRun, 0).run,
            g_array_index (task->runs, BookRun, 0).worker);
  if (task->is_settled)
    broken (book, "double_run", "task %s started after its end was acknowledged", name);
  if (!task->step->lasts && task->n_failed_known >= SOAK_ATTEMPTS_MAX)
    broken (book, "attempts", "task %s started after %u failures", name, task->n_failed_known);
  task->n_starts++;
  g_array_append_val (task->runs, entry);
}

void
book_over (Book *book, uint32_t worker, int64_t used_m, int64_t capacity_m)
{
  broken (book, "over_capacity",
          "worker %u has %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " m in use", worker, used_m,
          capacity_m);
}

static void
remove_run (BookTask *task, uint32_t worker, int64_t run)
{
  for (guint i = task->runs->len; i > 0; i--)
    {
      const BookRun *entry = &g_array_index (task->runs, BookRun, i - 1);
      if (entry->worker == worker && entry->run == run)
        g_array_remove_index_fast (task->runs, i - 1);
    }
}

void
book_end (Book *book, uint32_t worker, const char *name, int64_t run, BookEnd end)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "crashed" };
  BookTask *task = find_task (book, name);

  soak_note (book->soak, "end %s run %" G_GINT64_FORMAT " at worker %u: %s", name, run, worker,
             names[end]);
  if (task == NULL)
    return;
  remove_run (task, worker, run);
  if (end == BOOK_DONE)
    {
      task->is_done = TRUE;
      task->done_start = task->n_starts;
    }
  task->n_failed += end == BOOK_FAILED;
}

void
book_acknowledged (Book *book, const char *name, int64_t run, BookEnd end)
{
  BookTask *task = find_task (book, name);

  if (task == NULL)
    return;
  soak_note (book->soak, "acknowledged %s run %" G_GINT64_FORMAT, name, run);
  if (end == BOOK_FAILED)
    task->n_failed_known++;
  if (end != BOOK_DONE)
    return;
  if (!task->is_settled && task->n_starts > task->done_start)
    broken (book, "double_run", "task %s started after the end that is acknowledged now", name);
  task->is_settled = TRUE;
}

void
book_saved (Book *book, const char *name, const char *saved)
{
  BookTask *task = find_task (book, name);

  if (task != NULL)
    g_hash_table_add (task->saved, g_strdup (saved));
}

static gboolean
has_failed (const BookJob *job)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const BookTask *task = value;
      if (task->n_failed >= SOAK_ATTEMPTS_MAX)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_done (const BookJob *job)
{
  for (guint i = 0; i < job->steps->len; i++)
    {
      if (!is_step_done (job, i))
        return FALSE;
    }
  return TRUE;
}

void
book_state (Book *book, BookJob *job, const char *state)
{
  if (state == NULL)
    {
      if (job->is_accepted && !job->was_cancelled)
        broken (book, "lost", "job %s was accepted and is not known", job->id);
      return;
    }
  if (strcmp (state, "completed") == 0 && !is_done (job))
    broken (book, "wrong_state", "job %s is shown as completed before its tasks were done",
            job->id);
  if (strcmp (state, "failed") == 0 && !has_failed (job))
    broken (book, "wrong_state", "job %s is shown as failed, no task failed often enough", job->id);
  if (strcmp (state, "cancelled") == 0 && !job->was_cancelled)
    broken (book, "wrong_state", "job %s is shown as cancelled, nobody cancelled it", job->id);
  if (strcmp (state, "queued") != 0 && strcmp (state, "running") != 0)
    job->is_over = TRUE;
}

static uint32_t
count_running (const BookJob *job)
{
  uint32_t n_running = 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n_running += ((const BookTask *) value)->runs->len;
  return n_running;
}

/* Jobs that can end and should: neither lasting, nor cancelled, nor seen to have ended. */
static gboolean
is_due (const BookJob *job)
{
  return job->is_accepted && !job->was_cancelled && !job->is_over
         && !g_array_index (job->steps, BookStep, 0).lasts;
}

static void
check_job_idle (Book *book, BookJob *job, int64_t now_ms, gboolean has_room)
{
  if (!has_room || !is_due (job) || is_done (job) || has_failed (job) || count_running (job) > 0)
    job->idle_ms = 0;
  else if (job->idle_ms == 0)
    job->idle_ms = now_ms;
  else if (now_ms - job->idle_ms > IDLE_MAX_MS)
    {
      broken (book, "lost", "job %s has nothing at work for %d ms beside free workers", job->id,
              IDLE_MAX_MS);
      job->idle_ms = 0;
    }
}

void
book_check_idle (Book *book, int64_t now_ms, gboolean has_room)
{
  for (guint i = 0; i < book->jobs->len; i++)
    check_job_idle (book, g_ptr_array_index (book->jobs, i), now_ms, has_room);
}

gboolean
book_is_over (const Book *book)
{
  for (guint i = 0; i < book->jobs->len; i++)
    {
      if (is_due (g_ptr_array_index (book->jobs, i)))
        return FALSE;
    }
  return TRUE;
}

static void
check_job_at_end (Book *book, const BookJob *job)
{
  const BookStep *first = &g_array_index (job->steps, BookStep, 0);

  if (job->is_cancel_known && count_running (job) > 0)
    broken (book, "not_asked", "job %s was cancelled and still runs", job->id);
  if (!job->is_accepted || job->was_cancelled)
    return;
  if (first->lasts && count_running (job) != first->n_tasks)
    broken (book, "lost", "job %s lasts and has %u of %u tasks at work", job->id,
            count_running (job), first->n_tasks);
  if (is_due (job))
    broken (book, "lost", "job %s has not ended: %u tasks run, done %s", job->id,
            count_running (job), is_done (job) ? "all" : "not all");
}

void
book_check_end (Book *book)
{
  for (guint i = 0; i < book->jobs->len; i++)
    check_job_at_end (book, g_ptr_array_index (book->jobs, i));
}

uint32_t
book_n_broken (const Book *book)
{
  return book->n_broken;
}

char *
book_summary (Book *book)
{
  uint32_t n_accepted = 0;
  uint32_t n_over = 0;

  for (guint i = 0; i < book->jobs->len; i++)
    {
      const BookJob *job = g_ptr_array_index (book->jobs, i);
      n_accepted += job->is_accepted;
      n_over += job->is_over;
    }
  return g_strdup_printf ("jobs=%u accepted=%u ended=%u starts=%u broken=%u", book->jobs->len,
                          n_accepted, n_over, book->n_starts, book->n_broken);
}
