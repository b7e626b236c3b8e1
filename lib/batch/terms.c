#include "batch/terms.h"

#include <math.h>

#include "batch/job.h"

/** Factor of a queue whose record has none that can be used. */
#define STRETCH_DEFAULT 1.0
#define STRETCH_MAX 1e6

void
terms_init (Batch__Terms *terms, const Queue *queue)
{
  batch__terms__init (terms);
  terms->service = queue->service;
  terms->priority = queue->priority;
  terms->attempts_max = queue->attempts_max;
  terms->stretch = queue->stretch;
  terms->target_ms = queue->target_ms;
}

Queue *
terms_to_queue (const Batch__Terms *terms, const char *name)
{
  Queue *queue = queue_new ();

  queue->name = g_strdup (name);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("");
  queue->service = g_strdup (terms->service);
  queue->priority = MIN (terms->priority, G_MAXINT32);
  queue->attempts_max = CLAMP (terms->attempts_max, 1, G_MAXINT32);
  queue->stretch
      = isfinite (terms->stretch) ? CLAMP (terms->stretch, 0.0, STRETCH_MAX) : STRETCH_DEFAULT;
  queue->target_ms = CLAMP (terms->target_ms, 0, JOB_DURATION_MAX_MS);
  return queue;
}
