#include <math.h>

#include "batch/sched_tables.h"

/** A harm counts half after this long: tails change with the load of the serving tasks. */
#define HALF_LIFE_MS 15000.0
/** From this score on a pair is kept apart. */
#define APART_SCORE 0.5
/** One harm after another adds up to this at most. */
#define SCORE_MAX 3.0

static char *
pair_key (const SchedTask *serving, const JobStep *fill)
{
  const char *image = serving->part->step->image;

  return g_strdup_printf ("%s/%s", image != NULL ? image : "", fill->image != NULL ? fill->image : "");
}

static double
score_now (const Sched *sched, const PairHarm *harm)
{
  double age_ms = (double) (sched->now_us - harm->at_us) / 1000.0;

  return harm->score * exp2 (-age_ms / HALF_LIFE_MS);
}

static void
add_score (Sched *sched, const SchedTask *serving, const JobStep *fill, double share)
{
  char *key = pair_key (serving, fill);
  PairHarm *harm = g_hash_table_lookup (sched->pairs, key);

  if (harm == NULL)
    {
      harm = g_new0 (PairHarm, 1);
      g_hash_table_insert (sched->pairs, key, harm);
    }
  else
    g_free (key);
  harm->score = MIN (score_now (sched, harm) + share, SCORE_MAX);
  harm->at_us = sched->now_us;
}

void
sched_pairs_blame (Sched *sched, const SchedWorker *worker, const SchedTask *serving)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      const JobStep *step = task->part->step;
      if (step->fills && !task->is_starting && worker->fill_cpu_m > 0)
        add_score (sched, serving, step, (double) step->size.cpu_m / (double) worker->fill_cpu_m);
    }
}

gboolean
sched_pairs_harm (const Sched *sched, const SchedWorker *worker, const SchedPart *part)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!task->part->step->lasts)
        continue;
      g_autofree char *key = pair_key (task, part->step);
      const PairHarm *harm = g_hash_table_lookup (sched->pairs, key);
      if (harm != NULL && score_now (sched, harm) >= APART_SCORE)
        return TRUE;
    }
  return FALSE;
}
