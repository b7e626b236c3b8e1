/*
 * Jobs of all sizes are served. The forecast leaves large jobs out first, and the dispatch order
 * lets each smaller job pass; so some of the larger ones are favoured, see sizes.h. A favoured job
 * stays so until it ends or its result is useless.
 */
#include "batch/sched_tables.h"

/** An occurrence that may be favoured. */
typedef struct
{
  SchedStage *first;
  Sizes *sizes;     /**< of its queue */
  gboolean is_late; /**< it cannot meet its deadline */
  double work;      /**< work left */
} Candidate;

Sizes *
sched_sizes_of (Sched *sched, const SchedJob *job)
{
  Sizes *sizes = g_hash_table_lookup (sched->sizes, job->queue_name);

  if (sizes == NULL)
    {
      sizes = sizes_new ();
      g_hash_table_insert (sched->sizes, g_strdup (job->queue_name), sizes);
    }
  return sizes;
}

static void
recount (const Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->sizes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sizes_recount (value);
}

static void
add_candidate (const Sched *sched, GArray *candidates, SchedStage *first, Sizes *sizes)
{
  const SchedChains *chains = &first->chains;
  int64_t due_ms = sched_due_wall_ms (first->job, first->occurrence);
  int64_t objective_ms = sched_objective_ms (first->job, chains);
  int64_t end_ms = sched->wall_ms + chains->left_ms;
  const Candidate row = { .first = first,
                          .sizes = sizes,
                          .is_late = end_ms > due_ms + objective_ms,
                          .work = chains->work[SCHED_BEST_EFFORT] + chains->work[SCHED_RESERVED] };

  if (end_ms <= due_ms + objective_ms * SCHED_USEFUL_FACTOR)
    g_array_append_val (candidates, row);
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *left = a;
  const Candidate *right = b;

  if (left->is_late != right->is_late)
    return left->is_late - right->is_late;
  return left->work < right->work ? -1 : left->work > right->work;
}

void
sched_favour_large (Sched *sched, const GPtrArray *firsts)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));

  recount (sched);
  for (guint i = 0; i < firsts->len; i++)
    {
      SchedStage *first = g_ptr_array_index (firsts, i);
      Sizes *sizes = sched_sizes_of (sched, first->job);
      if (first->has_result)
        continue;
      if (!first->is_favoured)
        first->size = sizes_class (sizes, first->chains.whole_work);
      sizes_count_open (sizes, first->size, first->is_favoured);
      if (!first->is_favoured && first->size != SIZES_OTHER)
        add_candidate (sched, candidates, first, sizes);
    }
  g_array_sort (candidates, compare_candidates);
  for (guint i = 0; i < candidates->len; i++)
    {
      const Candidate *row = &g_array_index (candidates, Candidate, i);
      row->first->is_favoured = sizes_favour (row->sizes, row->first->size);
    }
}
