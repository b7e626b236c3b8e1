/**
 * @file test_possible_props.cc
 * Property test with random workers, capacities that change, sizes, priorities, gangs, limits and
 * labels: what fits on empty workers is done there within a bound, and nothing else; a placement
 * query says which.
 */
#include <algorithm>
#include <cstdlib>
#include <string>

#include <rapidcheck.h>

extern "C"
{
#include "batch/sched_where.h"
#include "rig.h"
}

namespace
{

constexpr int64_t ROUND_MS = 100;
/** Longest time without a run while there is capacity. */
constexpr int64_t IDLE_MAX_MS = 3000;
const char *const JOB = "00000000000000a1";

void
draw_capacities (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      rig->workers[i].cpu_m = *rc::gen::inRange<int64_t> (1, 25) * 1000;
      rig->workers[i].mem_mb = *rc::gen::inRange<int64_t> (1, 33) * 1024;
    }
}

struct Step
{
  int64_t count;
  int64_t cpu_m;
  int64_t mem_mb;
  bool is_gang;
  int64_t per_worker_max; /* 0: none */
  std::string label;      /* empty: none */
};

Step
draw_step ()
{
  Step step;

  step.count = *rc::gen::inRange (1, 9);
  step.cpu_m = *rc::gen::inRange (1, 51) * 500;
  step.mem_mb = *rc::gen::inRange (1, 34) * 512;
  step.is_gang = *rc::gen::arbitrary<bool> ();
  step.per_worker_max = *rc::gen::inRange (0, 3) == 0 ? *rc::gen::inRange (1, 4) : 0;
  if (*rc::gen::inRange (0, 4) == 0)
    step.label = "r" + std::to_string (*rc::gen::inRange (0, 3));
  return step;
}

std::string
encode (const Step &step)
{
  std::string text = "{\"count\":" + std::to_string (step.count) + ",\"cpu\":"
                     + std::to_string (step.cpu_m) + ",\"mem_mb\":" + std::to_string (step.mem_mb);

  if (step.is_gang)
    text += ",\"gang\":true";
  if (step.per_worker_max > 0)
    text += ",\"max_per_server\":" + std::to_string (step.per_worker_max);
  if (!step.label.empty ())
    text += ",\"required_label\":\"" + step.label + "\"";
  return text + "}";
}

/* Tasks of the step that the empty worker holds. */
int64_t
count_fitting (const RigWorker &worker, const Step &step)
{
  if (!step.label.empty () && step.label != worker.rack)
    return 0;
  int64_t count = std::min (worker.cpu_m / step.cpu_m, worker.mem_mb / step.mem_mb);
  return step.per_worker_max > 0 ? std::min (count, step.per_worker_max) : count;
}

bool
fits (const Rig *rig, const Step &step)
{
  int64_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    count += count_fitting (rig->workers[i], step);
  return count >= (step.is_gang ? step.count : 1);
}

bool
is_called_possible (const Rig *rig, const char *queue, const std::string &step)
{
  const std::string body = "{\"spec\":\"s\",\"steps\":[" + step + "]}";
  JobSpec *spec = caller_decode_job (body.c_str (), body.size (), nullptr);
  SchedWhereQuery query = {};

  RC_ASSERT (spec != nullptr);
  query.queue = queue;
  query.spec = spec;
  query.now_us = rig->now_us;
  SchedWhere *where = sched_where (rig->sched, &query);
  bool is_never = where->verdict == SCHED_WHERE_NEVER;
  sched_where_free (where);
  job_spec_free (spec);
  return !is_never;
}

/* Ends everything that runs, in one round. */
void
end_all (Rig *rig)
{
  for (uint32_t i = 0; i < rig->n_workers; i++)
    {
      while (rig->workers[i].n_tasks > 0)
        rig_end (&rig->workers[i], rig->workers[i].tasks[0].name, WORKER_END_DONE);
    }
}

void
check_job (Rig *rig)
{
  const char *queue = *rc::gen::arbitrary<bool> () ? "urgent" : "bulk";
  const Step step = draw_step ();
  const std::string text = encode (step);

  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  draw_capacities (rig);
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  bool expected = fits (rig, step);
  RC_ASSERT (is_called_possible (rig, queue, text) == expected);
  rig_add_job (rig, JOB, queue, text.c_str ());
  int64_t idle_ms = 0;
  while (sched_open_jobs (rig->sched) > 0 && idle_ms < IDLE_MAX_MS)
    {
      idle_ms = rig_running (rig) > 0 ? 0 : idle_ms + ROUND_MS;
      end_all (rig);
      rig_round (rig, ROUND_MS, TRUE);
    }
  RC_ASSERT ((sched_open_jobs (rig->sched) == 0) == expected);
}

} // namespace

int
main ()
{
  const char *given = getenv ("RC_PARAMS");
  std::string params = std::string (given != nullptr ? given : "") + " max_success=3000";

  if (params.find ("max_success") == params.rfind ("max_success"))
    setenv ("RC_PARAMS", params.c_str (), 1);
  bool is_good = rc::check ("what is possible on an empty fleet is done", [] {
    Rig *rig = rig_new (*rc::gen::inRange<uint32_t> (1, 7));
    draw_capacities (rig);
    check_job (rig);
    rig_free (rig);
  });
  return is_good ? 0 : 1;
}
