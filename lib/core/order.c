#include "core/tables.h"

#include <math.h>

#define ORDER_RATE_DIVISOR 4
#define ORDER_PERIOD_US (CLK_US_PER_S / 2)
#define ORDER_RUN_PERMILLE 900U
#define ORDER_STARVED_AFTER_US (900 * CLK_US_PER_S)
#define ORDER_COST_UNKNOWN (-100)
#define ORDER_MILLI 1000.0

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

static int
by_deadline (gconstpointer a, gconstpointer b)
{
  const CoreJob *x = *(CoreJob *const *) a;
  const CoreJob *y = *(CoreJob *const *) b;

  if (x->deadline_us != y->deadline_us)
    return x->deadline_us < y->deadline_us ? -1 : 1;
  return x->id < y->id ? -1 : (x->id > y->id ? 1 : 0);
}

/* Processor capacity assumed to be available for batch tasks: what they use now, or a quarter of
 * the total if that is more. */
static double
batch_rate (const Core *core)
{
  int64_t used = 0;

  for (guint i = 0; i < core->teams->len; i++)
    used += tables_team_row (core, i)->used.cpu_milli;
  return (double) MAX (MAX (used, core->fleet.cpu_milli / ORDER_RATE_DIVISOR), 1);
}

/* Remaining work of @p job, in milliseconds times thousandths of a processor. */
static double
work_left (const Core *core, const CoreJob *job)
{
  uint32_t n = job->count[TASK_WAITING] + job->count[TASK_LIVE] + job->count[TASK_STOPPING];

  return (double) n * (double) learn_run_ms (core, job, ORDER_RUN_PERMILLE)
         * (double) MAX (job->size.cpu_milli, 1);
}

/* Computes laxities. All work with an earlier deadline is assumed to run before the job. */
static void
find_laxities (Core *core)
{
  double rate = batch_rate (core);
  double ahead = 0;

  g_ptr_array_sort (core->deadlines, by_deadline);
  for (guint i = 0; i < core->deadlines->len; i++)
    {
      CoreJob *job = g_ptr_array_index (core->deadlines, i);
      ahead += work_left (core, job);
      double needed_ms = MAX (ahead / rate, (double) learn_run_ms (core, job, ORDER_RUN_PERMILLE));
      int64_t needed_us = (int64_t) needed_ms * CLK_US_PER_MS;
      job->laxity_us = job->deadline_us - core->now_us - needed_us;
      job->is_due = job->is_due || job->laxity_us < needed_us;
    }
}

/* The scarce resource on an instance with services is the headroom of their tails. Unless they are
 * due, jobs that use the least of it per processor run first. */
static void
find_tail_cost (Core *core, CoreJob *job)
{
  double growth = 0;

  if (tables_has_mechanism (core, CORE_MECHANISM_INTERFERENCE))
    growth = interference_growth (core, job->class_row);
  job->tail_cost = ORDER_COST_UNKNOWN;
  if (growth > 0)
    job->tail_cost
        = (int) floor (log2 (growth * ORDER_MILLI / (double) MAX (job->size.cpu_milli, 1)));
}

static int
compare_submissions (const CoreJob *x, const CoreJob *y)
{
  if (x->submitted_us != y->submitted_us)
    return x->submitted_us < y->submitted_us ? -1 : 1;
  return x->id < y->id ? -1 : (x->id > y->id ? 1 : 0);
}

static int
compare_jobs (gconstpointer a, gconstpointer b, gpointer data)
{
  const CoreJob *x = *(CoreJob *const *) a;
  const CoreJob *y = *(CoreJob *const *) b;
  const Core *core = data;

  if (x->priority != y->priority)
    return x->priority == DOC_URGENT ? -1 : 1;
  if (!tables_has_mechanism (core, CORE_MECHANISM_LAXITY))
    return compare_submissions (x, y);
  if (x->is_due != y->is_due)
    return x->is_due ? -1 : 1;
  if (!x->is_due)
    {
      double share_x = tables_team_row (core, x->team_row)->share;
      double share_y = tables_team_row (core, y->team_row)->share;
      if (share_x != share_y)
        return share_x < share_y ? -1 : 1;
      if (x->tail_cost != y->tail_cost)
        return x->tail_cost < y->tail_cost ? -1 : 1;
    }
  if (x->laxity_us != y->laxity_us)
    return x->laxity_us < y->laxity_us ? -1 : 1;
  return compare_submissions (x, y);
}

/* The order is recomputed when the ready jobs change or after ORDER_PERIOD_US. In between,
 * placement skips the jobs that have no waiting task. */
void
order_run (Core *core)
{
  if (!core->is_ready_changed && core->now_us - core->ordered_us < ORDER_PERIOD_US)
    return;
  core->is_ready_changed = FALSE;
  core->ordered_us = core->now_us;
  g_ptr_array_set_size (core->order, 0);
  g_ptr_array_set_size (core->deadlines, 0);
  for (guint i = 0; i < core->ready->len; i++)
    {
      CoreJob *job = g_ptr_array_index (core->ready, i);
      if (job->is_cancelled || job->is_given_up || job->is_unplaceable)
        continue;
      job->laxity_us = INT64_MAX;
      job->is_due = core->now_us - job->submitted_us > ORDER_STARVED_AFTER_US;
      find_tail_cost (core, job);
      g_ptr_array_add (core->order, job);
      if (job->deadline_us != 0)
        g_ptr_array_add (core->deadlines, job);
    }
  find_laxities (core);
  g_ptr_array_sort_with_data (core->order, compare_jobs, core);
}
