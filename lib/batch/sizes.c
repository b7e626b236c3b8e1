#include "batch/sizes.h"

struct Sizes
{
  double work[SIZES_WINDOW]; /**< of the newest jobs, as a ring */
  uint32_t n_added;
};

/** Upper bounds of the classes, as the percentage of jobs that are at least as large. */
static const uint32_t class_percent[SIZES_CLASSES] = { 10, 30, 100 };

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

void
sizes_add (Sizes *sizes, double work)
{
  sizes->work[sizes->n_added % SIZES_WINDOW] = work;
  sizes->n_added++;
}

SizesClass
sizes_class (const Sizes *sizes, double work)
{
  uint32_t n_jobs = MIN (sizes->n_added, SIZES_WINDOW);
  uint32_t n_as_large = 0;
  guint size = SIZES_LARGEST;

  if (n_jobs == 0)
    return SIZES_OTHER;
  for (uint32_t i = 0; i < n_jobs; i++)
    n_as_large += sizes->work[i] >= work;
  while (size < SIZES_OTHER && n_as_large * 100 > n_jobs * class_percent[size])
    size++;
  return (SizesClass) size;
}

const char *
sizes_class_name (SizesClass size)
{
  static const char *const names[SIZES_CLASSES] = { "largest", "large", "other" };

  return names[size];
}
