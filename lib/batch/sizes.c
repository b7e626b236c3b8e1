#include "batch/sizes.h"

#include <stdlib.h>
#include <string.h>

/** Decay of the counts of results with each result. */
#define RESULT_DECAY 0.99
/** Served jobs that are assumed before the first result. */
#define RESULTS_ASSUMED 10.0

struct Sizes
{
  double work[SIZES_WINDOW]; /**< of the newest jobs, as a ring */
  uint32_t n_added;
  double above[SIZES_OTHER]; /**< jobs with more work than this are of the class, or a larger one */
  double credit[SIZES_CLASSES];
  uint32_t n_open[SIZES_CLASSES];
  uint32_t n_favoured[SIZES_CLASSES];
  double n_results; /**< decaying */
  double n_served;
};

/** Largest part of the newest jobs that is of the class or a larger one, in percent. */
static const uint32_t class_percent[SIZES_OTHER] = { 10, 30 };

Sizes *
sizes_new (void)
{
  return g_new0 (Sizes, 1);
}

void
sizes_free (Sizes *sizes)
{
  g_free (sizes);
}

static int
compare_descending (const void *a, const void *b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return left > right ? -1 : left < right;
}

static void
update_bounds (Sizes *sizes)
{
  double sorted[SIZES_WINDOW];
  uint32_t n_jobs = MIN (sizes->n_added, SIZES_WINDOW);

  memcpy (sorted, sizes->work, sizeof sorted);
  qsort (sorted, n_jobs, sizeof sorted[0], compare_descending);
  for (guint i = 0; i < SIZES_OTHER; i++)
    sizes->above[i] = sorted[n_jobs * class_percent[i] / 100];
}

static double
served_share (const Sizes *sizes)
{
  return (sizes->n_served + RESULTS_ASSUMED) / (sizes->n_results + RESULTS_ASSUMED);
}

static void
add_credit (Sizes *sizes, SizesClass size, double credit)
{
  sizes->credit[size] = CLAMP (sizes->credit[size] + credit, SIZES_CREDIT_MIN, SIZES_CREDIT_MAX);
}

void
sizes_add (Sizes *sizes, double work)
{
  sizes->work[sizes->n_added % SIZES_WINDOW] = work;
  sizes->n_added++;
  update_bounds (sizes);
  add_credit (sizes, sizes_class (sizes, work), served_share (sizes) * SIZES_FLOOR_PERCENT / 100);
}

SizesClass
sizes_class (const Sizes *sizes, double work)
{
  guint size = SIZES_LARGEST;

  if (sizes->n_added == 0)
    return SIZES_OTHER;
  while (size < SIZES_OTHER && work <= sizes->above[size])
    size++;
  return (SizesClass) size;
}

void
sizes_recount (Sizes *sizes)
{
  memset (sizes->n_open, 0, sizeof sizes->n_open);
  memset (sizes->n_favoured, 0, sizeof sizes->n_favoured);
}

void
sizes_count_open (Sizes *sizes, SizesClass size, gboolean is_favoured)
{
  sizes->n_open[size]++;
  sizes->n_favoured[size] += is_favoured ? 1 : 0;
}

gboolean
sizes_favour (Sizes *sizes, SizesClass size)
{
  if (size == SIZES_OTHER || sizes->credit[size] < 1.0
      || served_share (sizes) * 100 >= SIZES_ENOUGH_PERCENT
      || (uint64_t) sizes->n_favoured[size] * 100
             >= (uint64_t) sizes->n_open[size] * SIZES_FAVOURED_PERCENT)
    return FALSE;
  sizes->n_favoured[size]++;
  add_credit (sizes, size, -1.0);
  return TRUE;
}

void
sizes_add_result (Sizes *sizes, SizesClass size, gboolean is_served, gboolean is_favoured)
{
  sizes->n_results = sizes->n_results * RESULT_DECAY + 1.0;
  sizes->n_served = sizes->n_served * RESULT_DECAY + (is_served ? 1.0 : 0.0);
  if (is_served && !is_favoured)
    add_credit (sizes, size, -1.0);
  else if (!is_served && is_favoured)
    sizes_release (sizes, size);
}

void
sizes_release (Sizes *sizes, SizesClass size)
{
  add_credit (sizes, size, 1.0);
}

const char *
sizes_class_name (SizesClass size)
{
  static const char *const names[SIZES_CLASSES] = { "largest", "large", "other" };

  return names[size];
}
