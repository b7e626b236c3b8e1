#include "core/tables.h"

#define ORDER_DUE_SHARE 4 /**< due when laxity is below a quarter of the work left */

static double
share_of (int64_t used, int64_t all)
{
  return all > 0 ? (double) used / (double) all : 0;
}

void
quota_run (Core *core)
{
  for (guint i = 0; i < core->teams->len; i++)
    {
      CoreTeam *team = tables_team_row (core, i);
      double share = share_of (team->used.cpu_milli, core->fleet.cpu_milli);
      share = MAX (share, share_of (team->used.memory_mb, core->fleet.memory_mb));
      share = MAX (share, share_of (team->used.accelerators, core->fleet.accelerators));
      team->share = share / (double) MAX (team->weight, 1);
    }
}

static gboolean
is_within (int64_t amount, int64_t limit)
{
  return limit == 0 || amount <= limit;
}

gboolean
quota_allows (const Core *core, const CoreJob *job, DocSize size)
{
  const CoreTeam *team = tables_team_row (core, job->team_row);
  DocSize sum = size_add (team->used, size);

  return is_within (sum.cpu_milli, team->quota.cpu_milli)
         && is_within (sum.memory_mb, team->quota.memory_mb)
         && is_within (sum.accelerators, team->quota.accelerators);
}

/* How many tasks of this size the whole fleet could run at once. */
static int64_t
fleet_width (const Core *core, const CoreJob *job)
{
  int64_t width = INT64_MAX;

  if (job->size.cpu_milli > 0)
    width = MIN (width, core->fleet.cpu_milli / job->size.cpu_milli);
  if (job->size.memory_mb > 0)
    width = MIN (width, core->fleet.memory_mb / job->size.memory_mb);
  if (job->size.accelerators > 0)
    width = MIN (width, core->fleet.accelerators / job->size.accelerators);
  return MAX (width, 1);
}

static void
find_laxity (const Core *core, CoreJob *job)
{
  int64_t width = fleet_width (core, job);
  int64_t rounds = ((int64_t) job->count[TASK_WAITING] + width - 1) / width;
  int64_t work_us = rounds * learn_run_ms (core, job, 900) * CLK_US_PER_MS;

  job->laxity_us = INT64_MAX;
  job->is_due = FALSE;
  if (job->deadline_us == 0)
    return;
  job->laxity_us = job->deadline_us - core->now_us - work_us;
  job->is_due = job->laxity_us < work_us / ORDER_DUE_SHARE;
}

static int
compare_ids (const CoreJob *x, const CoreJob *y)
{
  if (x->submitted_us != y->submitted_us)
    return x->submitted_us < y->submitted_us ? -1 : 1;
  return x->id < y->id ? -1 : (x->id > y->id ? 1 : 0);
}

static int
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const CoreJob *x = *(CoreJob *const *) a;
  const CoreJob *y = *(CoreJob *const *) b;
  const Core *core = data;

  if (x->priority != y->priority)
    return x->priority == DOC_URGENT ? -1 : 1;
  if (!tables_has (core, CORE_MECHANISM_LAXITY))
    return compare_ids (x, y);
  if (x->is_due != y->is_due)
    return x->is_due ? -1 : 1;
  if (!x->is_due)
    {
      double share_x = tables_team_row (core, x->team_row)->share;
      double share_y = tables_team_row (core, y->team_row)->share;
      if (share_x != share_y)
        return share_x < share_y ? -1 : 1;
    }
  if (x->laxity_us != y->laxity_us)
    return x->laxity_us < y->laxity_us ? -1 : 1;
  return compare_ids (x, y);
}

void
order_run (Core *core)
{
  g_ptr_array_set_size (core->order, 0);
  for (guint i = 0; i < core->ready->len; i++)
    {
      CoreJob *job = g_ptr_array_index (core->ready, i);
      if (job->is_cancelled || job->is_given_up || job->is_unplaceable)
        continue;
      find_laxity (core, job);
      g_ptr_array_add (core->order, job);
    }
  g_ptr_array_sort_with_data (core->order, compare, core);
}
