/* The terms of jobs: those of their queues while these are configured, and the newest known ones
 * afterwards. */
#include "batch/sched_tables.h"
#include "batch/terms.h"

Queue *
sched_unknown_queue_new (void)
{
  Queue *queue = queue_new ();

  queue->name = g_strdup ("");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("");
  queue->service = g_strdup ("");
  queue->priority = G_MAXINT32;
  queue->attempts_max = G_MAXUINT32;
  queue->stretch = 1.0;
  return queue;
}

gboolean
sched_has_terms (const Sched *sched, const SchedJob *job)
{
  return job->queue != sched->unknown_queue;
}

static void
follow_config (Sched *sched, SchedJob *job)
{
  const Queue *queue
      = sched->config != NULL ? queue_config_find (sched->config, job->queue_name) : NULL;

  if (queue != NULL)
    {
      const Queue *before = job->queue;
      job->queue = queue_ref (queue);
      queue_unref (before);
    }
  sched_share_job (sched, job);
}

static gboolean
is_configured (const Sched *sched, const SchedJob *job)
{
  return sched->config != NULL && queue_config_find (sched->config, job->queue_name) != NULL;
}

void
sched_set_terms (Sched *sched, SchedJob *job, const Batch__Terms *terms)
{
  job->queue
      = terms != NULL ? terms_to_queue (terms, job->queue_name) : queue_ref (sched->unknown_queue);
  follow_config (sched, job);
}

void
sched_update_terms (Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedJob *job = value;
      uint32_t attempts_max = job->queue->attempts_max;
      follow_config (sched, job);
      if (job->queue->attempts_max < attempts_max)
        sched_end_if_spent (sched, job);
    }
}

SchedTermsCount
sched_count_terms (const Sched *sched)
{
  SchedTermsCount count = { 0 };
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const SchedJob *job = key;
      if (!sched_has_terms (sched, job))
        count.n_unknown++;
      else if (!is_configured (sched, job))
        count.n_kept++;
    }
  return count;
}
