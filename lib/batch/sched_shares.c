/*
 * Shares of processors between origins of jobs, see shares.h. Origins share the processors of one
 * service and priority. Only work that ends counts: a serving task holds its processors for as long
 * as its job runs, whoever else waits.
 */
#include "batch/sched_tables.h"
#include "common/clk.h"

static char *
origin_of (const Sched *sched, const SchedJob *job)
{
  switch (sched->options.shares_by)
    {
    case SHARES_DATA_CENTRE:
      return g_strdup (job->data_centre);
    case SHARES_QUEUE:
      return g_strdup (job->queue_name);
    case SHARES_BOTH:
    case SHARES_NONE:
    default:
      return g_strdup_printf ("%s/%s", job->queue_name, job->data_centre);
    }
}

void
sched_share_job (Sched *sched, SchedJob *job)
{
  g_clear_pointer (&job->origin, shares_unref);
  if (sched->shares == NULL || !sched_has_terms (sched, job))
    return;
  g_autofree char *group = g_strdup_printf ("%s/%u", job->queue->service, job->queue->priority);
  g_autofree char *name = origin_of (sched, job);
  job->origin = shares_ref (sched->shares, group, name);
}

/* A job that has begun holds what it has done so far, and is late if others of its origin begin in
 * its place. One with little work left ends within the window. */
static gboolean
may_finish (const SchedReadyStage *ready_stage)
{
  const SchedStage *stage = ready_stage->stage;
  const SchedStage *first = sched_find_stage (stage->job, stage->occurrence, 0);

  return first->chains.n_begun > 0 && ready_stage->work <= shares_window_work (stage->job->origin);
}

gboolean
sched_exceeds_share (const SchedReadyStage *ready_stage)
{
  const SchedStage *stage = ready_stage->stage;

  return stage->job->origin != NULL && !stage->step->is_continuous
         && shares_exceeds (stage->job->origin) && !may_finish (ready_stage);
}

static void
note_change (void *ctx, const SharesState *state)
{
  Sched *sched = ctx;

  if (state->is_news)
    sched_note (sched, state->exceeds ? "share_exceeded" : "share_within", "-",
                "origin=%s group=%s running_m=%.0f use_m=%.0f share_m=%.0f", state->name,
                state->group, state->running_m, state->use_m, state->share_m);
}

/* Counts the pass for each job that is ordered later because of its origin. */
static void
count_later (const Sched *sched, const SchedReadyStage *ready_stage)
{
  SchedJob *job = ready_stage->stage->job;

  if (ready_stage->exceeds_share && !job->has_begun && job->later_us != sched->now_us)
    {
      job->later_us = sched->now_us;
      job->later_ms += sched->pass_ms;
    }
}

void
sched_update_shares (Sched *sched, GArray *ready_stages)
{
  if (sched->shares == NULL)
    return;
  for (guint i = 0; i < ready_stages->len; i++)
    {
      const SchedStage *stage = g_array_index (ready_stages, SchedReadyStage, i).stage;
      if (stage->job->origin != NULL && !stage->step->is_continuous)
        shares_count (stage->job->origin, 0, TRUE);
    }
  shares_update (sched->shares, sched->now_us);
  shares_each (sched->shares, note_change, sched);
  for (guint i = 0; i < ready_stages->len; i++)
    {
      SchedReadyStage *ready_stage = &g_array_index (ready_stages, SchedReadyStage, i);
      ready_stage->exceeds_share = sched_exceeds_share (ready_stage);
      count_later (sched, ready_stage);
    }
}

/* What runs after dispatch runs until the next pass. Before it, the processors that are about to be
 * assigned count for nobody. */
void
sched_count_shares (Sched *sched)
{
  GHashTableIter iter;
  gpointer key = NULL;

  if (sched->shares == NULL)
    return;
  g_hash_table_iter_init (&iter, sched->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const SchedJob *job = key;
      if (job->origin != NULL)
        shares_count (job->origin, job->running_cpu_m, FALSE);
    }
}

void
sched_note_share_left (const Sched *sched, const SchedStage *stage)
{
  if (stage->n_waiting > 0 && stage->job->origin != NULL && !stage->step->is_continuous)
    shares_note_left (stage->job->origin, sched->now_us);
}

/* A job that repeats waits from when its first occurrence is due. A report shows a run up to a
 * second after its start was ordered; of a run that a former owner started, only the report is
 * known. */
void
sched_note_first_start (Sched *sched, const SchedJob *job)
{
  int64_t started_us = job->ordered_us != 0 ? job->ordered_us : sched->now_us;
  int64_t wall_ms = sched->wall_ms + (started_us - sched->tick_us) / CLK_US_PER_MS;
  const SchedFirstStart start = { .queue = job->queue_name,
                                  .data_centre = job->data_centre,
                                  .wait_ms = MAX (wall_ms - sched_due_wall_ms (job, 0), 0) };

  if (sched->options.started != NULL)
    sched->options.started (sched->options.ctx, &start);
  if (sched->shares != NULL)
    sched_note (sched, "begun", job->id,
                "queue=%s data_centre=%s wait_ms=%" G_GINT64_FORMAT " later_ms=%" G_GINT64_FORMAT,
                start.queue, start.data_centre, start.wait_ms, job->later_ms);
}

void
sched_each_origin (const Sched *sched, SharesFn fn, void *ctx)
{
  if (sched->shares != NULL)
    shares_each (sched->shares, fn, ctx);
}
