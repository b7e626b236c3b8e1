#include "core/tables.h"

#include <math.h>

#define LEARN_PER_DOUBLING 8.0
#define LEARN_FIRST_BUCKET (-32) /**< ratio 1/16 */
#define LEARN_SAMPLES_MIN 8U
#define LEARN_SAMPLES_MAX 1024U
#define LEARN_CPU_PERMILLE 500U /**< the median: tasks share processors when they are short */
#define LEARN_MEMORY_PERMILLE 950U
#define LEARN_PERMILLE 1000

static int
bucket_of (int64_t value, int64_t declared)
{
  double ratio = (double) MAX (value, 1) / (double) declared;
  int bucket = (int) ceil (log2 (ratio) * LEARN_PER_DOUBLING) - LEARN_FIRST_BUCKET;

  return CLAMP (bucket, 0, CORE_HISTOGRAM_BUCKETS - 1);
}

/* Halves the weight of the old samples, so that the histogram follows changes of the class. */
static void
halve_counts (CoreHistogram *histogram)
{
  histogram->total = 0;
  for (guint i = 0; i < CORE_HISTOGRAM_BUCKETS; i++)
    {
      histogram->count[i] /= 2;
      histogram->total += histogram->count[i];
    }
}

void
learn_add (CoreHistogram *histogram, int64_t value, int64_t declared)
{
  if (declared <= 0)
    return;
  histogram->cached_permille = 0;
  histogram->count[bucket_of (value, declared)]++;
  histogram->total++;
  if (histogram->total >= LEARN_SAMPLES_MAX)
    halve_counts (histogram);
}

int64_t
learn_quantile_permille (CoreHistogram *histogram, uint32_t permille)
{
  if (histogram->total == 0)
    return 0;
  if (histogram->cached_permille == permille)
    return histogram->cached_ratio;
  /* With few samples, the largest one is used. */
  double wanted = histogram->total < LEARN_SAMPLES_MIN
                      ? histogram->total
                      : (double) histogram->total * permille / LEARN_PERMILLE;
  double below = 0;
  int bucket = 0;
  while (bucket < CORE_HISTOGRAM_BUCKETS - 1 && below + histogram->count[bucket] < wanted)
    below += histogram->count[bucket++];
  /* Interpolates on the assumption that samples are spread evenly within the bucket. */
  double fraction = (wanted - below) / MAX (histogram->count[bucket], 1);
  double doublings = (bucket + LEARN_FIRST_BUCKET - 1 + MIN (fraction, 1.0)) / LEARN_PER_DOUBLING;
  histogram->cached_permille = permille;
  histogram->cached_ratio = (int64_t) (LEARN_PERMILLE * exp2 (doublings));
  return histogram->cached_ratio;
}

static int64_t
learned_amount (CoreHistogram *histogram, uint32_t permille, int64_t declared)
{
  int64_t ratio = learn_quantile_permille (histogram, permille);

  return MAX (declared, declared * ratio / LEARN_PERMILLE);
}

DocSize
learn_size (const Core *core, const CoreJob *job)
{
  CoreClass *batch_class = tables_class_row (core, job->class_row);
  DocSize size = job->size;

  if (!tables_has_mechanism (core, CORE_MECHANISM_LEARNING))
    return size;
  size.cpu_milli = learned_amount (&batch_class->cpu, LEARN_CPU_PERMILLE, size.cpu_milli);
  size.memory_mb = learned_amount (&batch_class->memory, LEARN_MEMORY_PERMILLE, size.memory_mb);
  return size;
}

int64_t
learn_run_ms (const Core *core, const CoreJob *job, uint32_t permille)
{
  CoreClass *batch_class = tables_class_row (core, job->class_row);
  int64_t ratio = 0;

  if (tables_has_mechanism (core, CORE_MECHANISM_LEARNING))
    ratio = learn_quantile_permille (&batch_class->run, permille);
  return ratio > 0 ? job->run_ms * ratio / LEARN_PERMILLE : job->run_ms;
}

int64_t
learn_lost_ms (const Core *core, const CoreTask *task)
{
  int64_t ran_ms = (core->now_us - task->started_us) / CLK_US_PER_MS;

  if (task->job->checkpoint_ms > 0)
    return MIN (ran_ms, task->job->checkpoint_ms);
  return task->progress_ms + ran_ms;
}
