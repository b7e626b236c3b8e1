#include "batch/shares.h"

#include <math.h>
#include <string.h>

#define US_PER_MS INT64_C (1000)
#define PERCENT 100.0
#define MILLI 1000.0
/** A time before all others; differences from it do not overflow. */
#define LONG_AGO_US (G_MININT64 / 4)

typedef struct
{
  char *name;
  GPtrArray *origins; /**< SharesOrigin, owned */
  int64_t left_us;    /**< when work was last left waiting */
  double share_m;     /**< what an origin that waits may use */
} Group;

struct SharesOrigin
{
  Group *group;
  char *name;
  uint32_t n_refs;
  double counted_m; /**< counted since the last update */
  gboolean is_counted_waiting;
  double running_m; /**< the same, at the last update */
  int64_t waited_us;
  gboolean is_waiting; /**< now, or within #SHARES_RECENT_MS */
  double use_m;
  gboolean is_above; /**< its use is above the share */
  gboolean exceeds;  /**< and another one of its group, which is not above it, waits */
  gboolean is_reported;
  gboolean is_news;
  int64_t reported_us;
};

struct Shares
{
  GPtrArray *groups; /**< Group, owned */
  int64_t first_us;  /**< time of the first update; 0: none yet */
  int64_t updated_us;
};

gboolean
shares_by_parse (const char *text, SharesBy *by)
{
  static const char *const names[] = { "none", "data_centre", "queue", "both" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcmp (text, names[i]) != 0)
        continue;
      *by = (SharesBy) i;
      return TRUE;
    }
  return FALSE;
}

static void
origin_free (gpointer data)
{
  SharesOrigin *origin = data;

  g_free (origin->name);
  g_free (origin);
}

static void
group_free (gpointer data)
{
  Group *group = data;

  g_ptr_array_unref (group->origins);
  g_free (group->name);
  g_free (group);
}

Shares *
shares_new (void)
{
  Shares *shares = g_new0 (Shares, 1);

  shares->groups = g_ptr_array_new_with_free_func (group_free);
  return shares;
}

void
shares_free (Shares *shares)
{
  if (shares == NULL)
    return;
  g_ptr_array_unref (shares->groups);
  g_free (shares);
}

static Group *
group_named (Shares *shares, const char *name)
{
  for (guint i = 0; i < shares->groups->len; i++)
    {
      Group *group = g_ptr_array_index (shares->groups, i);
      if (strcmp (group->name, name) == 0)
        return group;
    }
  Group *group = g_new0 (Group, 1);
  group->name = g_strdup (name);
  group->origins = g_ptr_array_new_with_free_func (origin_free);
  group->left_us = LONG_AGO_US;
  g_ptr_array_add (shares->groups, group);
  return group;
}

SharesOrigin *
shares_ref (Shares *shares, const char *group_name, const char *name)
{
  Group *group = group_named (shares, group_name);

  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      if (strcmp (origin->name, name) != 0)
        continue;
      origin->n_refs++;
      return origin;
    }
  SharesOrigin *origin = g_new0 (SharesOrigin, 1);
  origin->group = group;
  origin->name = g_strdup (name);
  origin->n_refs = 1;
  origin->waited_us = LONG_AGO_US;
  origin->reported_us = LONG_AGO_US;
  g_ptr_array_add (group->origins, origin);
  return origin;
}

void
shares_unref (SharesOrigin *origin)
{
  if (origin != NULL)
    origin->n_refs--;
}

void
shares_count (SharesOrigin *origin, int64_t cpu_m, gboolean is_waiting)
{
  origin->counted_m += (double) cpu_m;
  origin->is_counted_waiting |= is_waiting;
}

void
shares_note_left (SharesOrigin *origin, int64_t now_us)
{
  origin->group->left_us = now_us;
}

gboolean
shares_exceeds (const SharesOrigin *origin)
{
  return origin->exceeds;
}

double
shares_window_work (const SharesOrigin *origin)
{
  return origin->group->share_m / MILLI * SHARES_WINDOW_MS;
}

static gboolean
is_recent (int64_t at_us, int64_t now_us)
{
  return now_us - at_us <= SHARES_RECENT_MS * US_PER_MS;
}

static void
remove_unused (Group *group)
{
  for (guint i = group->origins->len; i-- > 0;)
    {
      const SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      if (origin->n_refs == 0 && origin->counted_m <= 0 && !origin->exceeds && !origin->is_reported)
        (void) g_ptr_array_remove_index_fast (group->origins, i);
    }
}

static void
take_counts (SharesOrigin *origin, double kept, int64_t now_us)
{
  origin->running_m = origin->counted_m;
  if (origin->is_counted_waiting)
    origin->waited_us = now_us;
  origin->is_waiting = is_recent (origin->waited_us, now_us);
  origin->use_m = origin->running_m + (origin->use_m - origin->running_m) * kept;
  origin->counted_m = 0;
  origin->is_counted_waiting = FALSE;
}

static gboolean
is_active (const SharesOrigin *origin)
{
  return origin->is_waiting || origin->running_m > 0;
}

static gint
compare_running (gconstpointer a, gconstpointer b)
{
  const SharesOrigin *left = *(const SharesOrigin *const *) a;
  const SharesOrigin *right = *(const SharesOrigin *const *) b;

  return left->running_m < right->running_m ? -1 : left->running_m > right->running_m;
}

/* Splits the processors in use: origins that do not wait keep what they use, up to an equal split
 * of what is left; those that wait may use that split. */
static double
share_of (const Group *group, double total_m)
{
  g_autoptr (GPtrArray) sated = g_ptr_array_new ();
  double left_m = total_m;
  guint n_left = group->origins->len;

  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      if (!origin->is_waiting)
        g_ptr_array_add (sated, origin);
    }
  g_ptr_array_sort (sated, compare_running);
  for (guint i = 0; i < sated->len && n_left > 1; i++)
    {
      const SharesOrigin *origin = g_ptr_array_index (sated, i);
      if (origin->running_m * n_left >= left_m)
        break;
      left_m -= origin->running_m;
      n_left--;
    }
  return left_m / MAX (n_left, 1);
}

/* Bounds the credit of origins that used little: they count as if they had used a part of an equal
 * split. Without credit, what they used before is not known: they count with what runs, and with an
 * equal split at least. An origin that uses nothing counts in the split besides those that do. */
static void
bound_credit (Group *group, double total_m, gboolean has_credit)
{
  guint n_active = 0;

  for (guint i = 0; i < group->origins->len; i++)
    n_active += is_active (g_ptr_array_index (group->origins, i));
  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      double equal_m = total_m / (n_active + (is_active (origin) ? 0 : 1));
      if (has_credit)
        origin->use_m = MAX (origin->use_m, equal_m * SHARES_FLOOR_PERCENT / PERCENT);
      else
        origin->use_m = MAX (equal_m, origin->running_m);
    }
}

static void
report (SharesOrigin *origin, int64_t now_us)
{
  origin->is_news = origin->exceeds != origin->is_reported
                    && now_us - origin->reported_us >= SHARES_REPORT_MS * US_PER_MS;
  if (!origin->is_news)
    return;
  origin->is_reported = origin->exceeds;
  origin->reported_us = now_us;
}

static void
decide (Group *group, int64_t now_us)
{
  gboolean is_short = is_recent (group->left_us, now_us);
  gboolean is_one_within = FALSE;

  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      double bound = origin->is_above ? PERCENT : SHARES_EXCEED_PERCENT;
      origin->is_above = origin->use_m * PERCENT > group->share_m * bound;
      is_one_within |= origin->is_waiting && !origin->is_above;
    }
  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      origin->exceeds = is_short && is_one_within && origin->is_waiting && origin->is_above;
      report (origin, now_us);
    }
}

static void
update_group (Group *group, double kept, gboolean has_credit, int64_t now_us)
{
  double total_m = 0;

  remove_unused (group);
  for (guint i = 0; i < group->origins->len; i++)
    {
      SharesOrigin *origin = g_ptr_array_index (group->origins, i);
      take_counts (origin, kept, now_us);
      total_m += origin->running_m;
    }
  group->share_m = share_of (group, total_m);
  bound_credit (group, total_m, has_credit);
  decide (group, now_us);
}

void
shares_update (Shares *shares, int64_t now_us)
{
  if (shares->first_us == 0)
    shares->first_us = now_us;
  gboolean has_credit = now_us - shares->first_us >= SHARES_WINDOW_MS * US_PER_MS;
  double passed_us = shares->updated_us == 0 ? 0 : (double) MAX (now_us - shares->updated_us, 0);
  double kept = exp (-passed_us / (double) (SHARES_WINDOW_MS * US_PER_MS));

  shares->updated_us = now_us;
  for (guint i = shares->groups->len; i-- > 0;)
    {
      Group *group = g_ptr_array_index (shares->groups, i);
      update_group (group, kept, has_credit, now_us);
      if (group->origins->len == 0)
        (void) g_ptr_array_remove_index_fast (shares->groups, i);
    }
}

void
shares_each (const Shares *shares, SharesFn fn, void *ctx)
{
  for (guint i = 0; i < shares->groups->len; i++)
    {
      const Group *group = g_ptr_array_index (shares->groups, i);
      for (guint k = 0; k < group->origins->len; k++)
        {
          const SharesOrigin *origin = g_ptr_array_index (group->origins, k);
          const SharesState state = { .group = group->name,
                                      .name = origin->name,
                                      .running_m = origin->running_m,
                                      .use_m = origin->use_m,
                                      .share_m = group->share_m,
                                      .exceeds = origin->exceeds,
                                      .is_news = origin->is_news };
          fn (ctx, &state);
        }
    }
}
