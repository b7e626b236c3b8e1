/**
 * @file test_crashes_props.cc
 * Property test with tasks that crash the workers that start them, owners that are replaced and
 * writes that fail: such a task is started at most twice more after it has crashed three workers,
 * its job fails in the end, and no job fails without such a task.
 */
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C"
{
#include "rig.h"
}

namespace
{

constexpr int64_t ROUND_MS = 100;
constexpr uint32_t N_WORKERS = 8;
constexpr uint32_t N_ROUNDS = 600;
constexpr uint32_t N_SOUND = 4;
constexpr uint32_t CRASHES_BEFORE_BUDGET = 3;
constexpr uint32_t STARTS_AFTER = 2;
/** Rounds that a task of a sound job runs for. */
constexpr int64_t SOUND_MS = 800;

struct Deadly
{
  std::string job;
  std::string task;
  int64_t delay_ms = 0; /* from its start to the crash */
  uint32_t n_crashes = 0;
  uint32_t n_late_starts = 0;
  std::set<int64_t> runs;
};

struct World
{
  Rig *rig = rig_new (N_WORKERS);
  std::vector<Deadly> deadly;
  std::vector<std::string> jobs;
  std::map<std::string, uint32_t> crashes; /* of workers that ran the task */
  std::set<std::string> suspected_jobs;    /* jobs that may have been: two crashes under a task */
  uint64_t term = 1;

  World () = default;
  World (const World &) = delete;
  World &operator= (const World &) = delete;
  ~World ()
  {
    rig_free (rig);
  }
};

std::string
steps_of (const World &world, const std::string &job)
{
  for (const Deadly &deadly : world.deadly)
    {
      if (deadly.job == job)
        return "{\"count\":3,\"cpu\":1000}";
    }
  return "{\"count\":12,\"cpu\":1000},{\"count\":6,\"cpu\":2000,\"after\":[0]}";
}

std::string
next_job (World &world)
{
  std::string id = std::to_string (1000000000000000 + world.jobs.size ());

  world.jobs.push_back (id);
  return id;
}

void
add_job (World &world, const std::string &id, bool may_have_started)
{
  rig_add_job_as (world.rig, id.c_str (), "bulk", steps_of (world, id).c_str (), may_have_started);
}

void
replace_owner (World &world)
{
  rig_replace_owner (world.rig, ++world.term);
  for (const std::string &id : world.jobs)
    add_job (world, id, true);
}

/* Counts a new start of the task, and crashes its worker once it has run for long enough. */
void
run_deadly (World &world, Deadly &deadly)
{
  RigWorker *worker = rig_worker_of (world.rig, deadly.task.c_str ());

  if (worker == nullptr)
    return;
  const RigTask *task = rig_find (worker, deadly.task.c_str ());
  if (deadly.runs.insert (task->run).second && deadly.n_crashes >= CRASHES_BEFORE_BUDGET)
    RC_ASSERT (++deadly.n_late_starts <= STARTS_AFTER);
  if (world.rig->now_us - task->started_us < deadly.delay_ms * 1000)
    return;
  deadly.n_crashes++;
  for (uint32_t i = 0; i < worker->n_tasks; i++)
    {
      const std::string name = worker->tasks[i].name;
      if (++world.crashes[name] >= 2)
        world.suspected_jobs.insert (name.substr (0, JOB_ID_CHARS));
    }
  rig_crash (world.rig, worker);
}

bool
is_deadly (const World &world, const char *task)
{
  for (const Deadly &deadly : world.deadly)
    {
      if (deadly.task == task)
        return true;
    }
  return false;
}

void
end_sound (World &world)
{
  for (uint32_t i = 0; i < N_WORKERS; i++)
    {
      RigWorker &worker = world.rig->workers[i];
      for (uint32_t k = worker.n_tasks; k-- > 0;)
        {
          const RigTask task = worker.tasks[k];
          if (!is_deadly (world, task.name)
              && world.rig->now_us - task.started_us >= SOUND_MS * 1000)
            rig_end (&worker, task.name, WORKER_END_DONE);
        }
    }
}

SchedJobState
state_of (const World &world, const std::string &id)
{
  Batch__Progress *progress = rig_progress_record (world.rig, id.c_str ());
  SchedJobState state = progress != nullptr ? (SchedJobState) progress->state : SCHED_QUEUED;

  if (progress != nullptr)
    batch__progress__free_unpacked (progress, nullptr);
  return state;
}

void
run (const std::vector<uint32_t> &delays_ms, const std::vector<uint32_t> &changes, uint32_t seed)
{
  World world;

  for (uint32_t i = 0; i < N_SOUND; i++)
    add_job (world, next_job (world), false);
  rig_round (world.rig, ROUND_MS, TRUE);
  for (uint32_t delay_ms : delays_ms)
    {
      Deadly deadly;
      deadly.job = next_job (world);
      deadly.task = deadly.job + ".0.0." + std::to_string (seed % 3);
      deadly.delay_ms = delay_ms;
      world.deadly.push_back (deadly);
      add_job (world, deadly.job, false);
    }
  std::set<uint32_t> owners (changes.begin (), changes.end ());
  for (uint32_t i = 0; i < N_ROUNDS; i++)
    {
      if (owners.count (i) > 0)
        replace_owner (world);
      rig_round (world.rig, ROUND_MS, (i + seed) % 5 != 0);
      end_sound (world);
      for (Deadly &deadly : world.deadly)
        run_deadly (world, deadly);
    }
  for (uint32_t i = 0; i < world.jobs.size (); i++)
    {
      SchedJobState state = state_of (world, world.jobs[i]);
      bool may_fail = world.suspected_jobs.count (world.jobs[i]) == 1;
      RC_ASSERT (state == SCHED_FAILED || state == SCHED_COMPLETED);
      RC_ASSERT (state == SCHED_FAILED || i < N_SOUND);
      RC_ASSERT (state == SCHED_COMPLETED || may_fail);
    }
}

} // namespace

int
main ()
{
  const char *given = getenv ("RC_PARAMS");
  std::string params = std::string (given != nullptr ? given : "") + " max_success=150";

  if (params.find ("max_success") == params.rfind ("max_success"))
    setenv ("RC_PARAMS", params.c_str (), 1);
  bool is_good
      = rc::check ("tasks that crash workers are given up, and no job without two crashes", [] {
          const auto delays = *rc::gen::resize (
              3, rc::gen::container<std::vector<uint32_t> > (
                     rc::gen::elementOf (std::vector<uint32_t>{ 0, 0, 100, 300, 1500, 4000 })));
          const auto changes = *rc::gen::resize (
              3, rc::gen::container<std::vector<uint32_t> > (rc::gen::inRange<uint32_t> (5, 200)));
          run (delays, changes, *rc::gen::inRange<uint32_t> (0, 1000));
        });
  return is_good ? 0 : 1;
}
