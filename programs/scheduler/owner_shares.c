#include "common/clk.h"
#include "owner_private.h"

/* A label's value; characters that would end or escape it are replaced. */
static char *
label_value (const char *text)
{
  return g_strdelimit (g_strdup (text), "\"\\\n", '_');
}

void
owner_count_start (void *ctx, const SchedFirstStart *start)
{
  const Owner *owner = ctx;
  MetRegistry *metrics = node_metrics (owner->entry->node);
  g_autofree char *queue = label_value (start->queue);
  g_autofree char *data_centre = label_value (start->data_centre);
  g_autofree char *labels = g_strdup_printf ("queue=\"%s\",data_centre=\"%s\"", queue, data_centre);

  met_add (met_counter (metrics, "acacia_jobs_started_total", labels, "Jobs that began to run"), 1);
  met_observe (met_histogram (metrics, "acacia_job_wait_us", labels,
                              "Time from acceptance to the first start"),
               start->wait_ms * CLK_US_PER_MS);
}

void
owner_count_result (void *ctx, const SchedResult *result)
{
  const Owner *owner = ctx;
  g_autofree char *queue = label_value (result->queue);
  g_autofree char *labels = g_strdup_printf ("queue=\"%s\",size=\"%s\",outcome=\"%s\"", queue,
                                             result->size, result->outcome);

  met_add (met_counter (node_metrics (owner->entry->node), "acacia_job_results_total", labels,
                        "Occurrences of jobs that ended or expired"),
           1);
}

static void
set_exceeded (const Owner *owner, const SharesState *state, gboolean exceeds)
{
  g_autofree char *name = label_value (state->name);
  g_autofree char *group = label_value (state->group);
  g_autofree char *labels = g_strdup_printf ("origin=\"%s\",group=\"%s\"", name, group);

  met_set (met_gauge (node_metrics (owner->entry->node), "acacia_share_exceeded", labels,
                      "Whether the origin uses more than its share while others wait"),
           exceeds);
}

static void
show (void *ctx, const SharesState *state)
{
  set_exceeded (ctx, state, state->exceeds);
}

static void
clear (void *ctx, const SharesState *state)
{
  set_exceeded (ctx, state, FALSE);
}

void
owner_show_shares (const Owner *owner)
{
  sched_each_origin (owner->sched, show, (void *) owner);
}

void
owner_clear_shares (const Owner *owner)
{
  if (owner->sched != NULL)
    sched_each_origin (owner->sched, clear, (void *) owner);
}
