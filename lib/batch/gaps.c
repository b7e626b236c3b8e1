#include "batch/gaps.h"

#include <stdlib.h>

static gboolean
fits_in (const JobSize *size, const JobSize *room)
{
  return size->cpu_m <= room->cpu_m && size->mem_mb <= room->mem_mb && size->gpus <= room->gpus;
}

static JobSize
sum_of (JobSize a, JobSize b)
{
  return (JobSize){ a.cpu_m + b.cpu_m, a.mem_mb + b.mem_mb, a.gpus + b.gpus };
}

static JobSize
difference_of (JobSize a, JobSize b)
{
  return (JobSize){ a.cpu_m - b.cpu_m, a.mem_mb - b.mem_mb, a.gpus - b.gpus };
}

static int
compare_ends (const void *a, const void *b)
{
  const GapsEnd *left = a;
  const GapsEnd *right = b;

  return left->end_us < right->end_us ? -1 : left->end_us > right->end_us;
}

gboolean
gaps_fit (
    const GapsWorker *worker, const JobSize *wanted, int64_t now_us, int64_t until_us, GapsFit *fit)
{
  JobSize room = worker->free;
  guint i = 0;

  *fit = (GapsFit){ .at_us = now_us };
  if (worker->n_ends > 1)
    qsort (worker->ends, worker->n_ends, sizeof *worker->ends, compare_ends);
  while (!fits_in (wanted, &room))
    {
      if (i == worker->n_ends || worker->ends[i].end_us > until_us)
        return FALSE;
      room = sum_of (room, worker->ends[i].size);
      fit->at_us = MAX (fit->at_us, worker->ends[i].end_us);
      fit->is_freed_at_once = fits_in (wanted, &worker->ends[i].size);
      i++;
    }
  for (; i < worker->n_ends && worker->ends[i].end_us <= fit->at_us; i++)
    room = sum_of (room, worker->ends[i].size);
  fit->spare = difference_of (room, *wanted);
  return TRUE;
}

gboolean
gaps_delays (const GapsFit *fit, const JobSize *size, int64_t end_us)
{
  return end_us > fit->at_us && !fits_in (size, &fit->spare);
}

void
gaps_take (GapsFit *fit, const JobSize *size, int64_t end_us)
{
  if (end_us > fit->at_us)
    fit->spare = difference_of (fit->spare, *size);
}
