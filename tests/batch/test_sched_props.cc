/**
 * @file test_sched_props.cc
 * Property test with random jobs, ends, partitions, failed writes and agent restarts against
 * in-memory workers: no task runs twice at a time, no worker exceeds its capacity, no task starts
 * before its step is ready or after its end was acknowledged, none in an evacuated data centre, and
 * none at an agent that the ledger names as silent but those that it names there.
 */
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include <rapidcheck.h>

extern "C"
{
#include "rig.h"
}

namespace
{

constexpr int64_t ROUND_MS = 200;
constexpr uint32_t N_WORKERS = 4;

struct World
{
  Rig *rig = nullptr;
  int n_jobs = 0;
  std::map<std::string, int64_t> silent_ms;
  std::set<std::string> done; /* completed, whether reported or not */
  std::set<std::string>
      noted; /* completion was acknowledged by the owner before the lease expired */
  std::set<std::string> expired; /* "worker number" of ends whose lease has expired since */
  std::set<std::string> seen;    /* "task run" */
  Evacuations *evacuations = nullptr;
  int64_t offset = 0;                                   /* of the operators' newest record */
  std::map<std::string, std::set<std::string> > listed; /* tasks of silent agents, as written */

  World ()
  {
    rig = rig_new (N_WORKERS);
    evacuations = evacuations_new ();
    sched_set_evacuations (rig->sched, evacuations);
  }
  World (const World &) = delete;
  World &operator= (const World &) = delete;
  ~World ()
  {
    rig_free (rig);
    evacuations_free (evacuations);
  }
};

std::string
job_of (const char *task)
{
  return std::string (task, JOB_ID_CHARS);
}

/* The runs of a worker that does not report expire with its grant. */
void
expire (World &world, RigWorker &worker)
{
  if (!worker.is_silent)
    {
      world.silent_ms[worker.name] = 0;
      return;
    }
  world.silent_ms[worker.name] += ROUND_MS;
  if (world.silent_ms[worker.name] < RIG_GRANT_MS)
    return;
  for (uint32_t i = 0; i < worker.n_ends; i++)
    {
      if (worker.ends[i].number > worker.ends_acked)
        world.expired.insert (std::string (worker.name) + std::to_string (worker.ends[i].number));
    }
  while (worker.n_tasks > 0)
    rig_end (&worker, worker.tasks[0].name, WORKER_END_EXPIRED);
}

void
record_acknowledged_ends (World &world, const RigWorker &worker)
{
  for (uint32_t i = 0; i < worker.n_ends; i++)
    {
      const RigEnd &end = worker.ends[i];
      std::string key = std::string (worker.name) + std::to_string (end.number);
      if (end.how == WORKER_END_DONE && end.number <= worker.ends_acked
          && world.expired.count (key) == 0)
        world.noted.insert (end.name);
    }
}

/* Compares starts with the completions that were acknowledged before this round. */
void
check_runs (World &world)
{
  std::set<std::string> running;

  for (uint32_t i = 0; i < world.rig->n_workers; i++)
    {
      const RigWorker &worker = world.rig->workers[i];
      int64_t cpu_m = 0;
      for (uint32_t k = 0; k < worker.n_tasks; k++)
        {
          const RigTask &task = worker.tasks[k];
          RC_ASSERT (running.insert (task.name).second);
          if (world.seen.insert (std::string (task.name) + " " + std::to_string (task.run)).second)
            {
              RC_ASSERT (world.noted.count (task.name) == 0);
              RC_ASSERT (!evacuations_contains (world.evacuations, worker.data_centre));
              auto silent = world.listed.find (worker.name);
              bool is_known
                  = silent == world.listed.end () || silent->second.count (task.name) == 1;
              RC_ASSERT (is_known);
            }
          /* Tasks of step 1 wait for both tasks of step 0. */
          std::string name = task.name;
          if (name.substr (JOB_ID_CHARS, 5) == ".0.1.")
            {
              RC_ASSERT (world.done.count (job_of (task.name) + ".0.0.0") == 1);
              RC_ASSERT (world.done.count (job_of (task.name) + ".0.0.1") == 1);
            }
          cpu_m += 3000;
        }
      RC_ASSERT (cpu_m <= RIG_CPU_M);
    }
}

/* Writes the record of silent agents, or fails to. */
void
publish (World &world, bool is_written)
{
  GBytes *bytes = sched_publish_silent (world.rig->sched);

  if (bytes == nullptr)
    return;
  sched_end_publish (world.rig->sched, is_written);
  if (is_written)
    {
      size_t size = 0;
      const void *data = g_bytes_get_data (bytes, &size);
      Batch__Silent *silent
          = batch__silent__unpack (nullptr, size, static_cast<const uint8_t *> (data));
      RC_ASSERT (silent != nullptr);
      world.listed.clear ();
      for (size_t i = 0; i < silent->n_agents; i++)
        {
          const Batch__SilentAgent *agent = silent->agents[i];
          auto &tasks = world.listed[agent->name];
          for (size_t k = 0; k < agent->n_tasks; k++)
            tasks.insert (agent->tasks[k]);
        }
      batch__silent__free_unpacked (silent, nullptr);
    }
  g_bytes_unref (bytes);
}

void
end_one (World &world, uint32_t pick)
{
  RigWorker &worker = world.rig->workers[pick % N_WORKERS];

  if (worker.n_tasks == 0)
    return;
  const RigTask &task = worker.tasks[pick / 7 % worker.n_tasks];
  std::string name = task.name;
  bool is_done = pick % 5 != 0;
  rig_end (&worker, name.c_str (), is_done ? WORKER_END_DONE : WORKER_END_FAILED);
  if (is_done)
    world.done.insert (name);
}

void
apply_step (World &world, uint32_t kind, uint32_t pick)
{
  Rig *rig = world.rig;
  RigWorker &worker = rig->workers[pick % N_WORKERS];

  switch (kind)
    {
    case 0:
      {
        std::string id = std::to_string (1000000000000000 + world.n_jobs++);
        rig_add_job (rig, id.c_str (), pick % 2 == 0 ? "urgent" : "bulk",
                     "{\"count\":2,\"cpu\":3000},{\"count\":3,\"cpu\":3000,\"after\":[0]}");
        break;
      }
    case 1:
    case 2:
    case 3:
      end_one (world, pick);
      break;
    case 4:
      worker.is_silent = !worker.is_silent;
      break;
    case 5:
      worker.is_draining = !worker.is_draining;
      break;
    case 6:
      /* The agent restarts: runs continue, orders in flight are lost. */
      worker.boot++;
      worker.incarnation++;
      worker.applied = 0;
      break;
    case 7:
      if (world.n_jobs > 0)
        sched_cancel_job (rig->sched,
                          std::to_string (1000000000000000 + pick % world.n_jobs).c_str ());
      break;
    case 8:
      (void) evacuations_apply (world.evacuations, worker.data_centre, world.offset++,
                                !evacuations_contains (world.evacuations, worker.data_centre));
      break;
    default:
      break;
    }
}

void
run_steps (const std::vector<std::pair<uint32_t, uint32_t> > &steps)
{
  World world;

  world.rig->sends_changes = steps.size () % 2 == 0;
  for (const auto &[kind, pick] : steps)
    {
      apply_step (world, kind % 10, pick);
      for (uint32_t i = 0; i < N_WORKERS; i++)
        expire (world, world.rig->workers[i]);
      rig_round (world.rig, ROUND_MS, pick % 3 != 0);
      check_runs (world);
      for (uint32_t i = 0; i < N_WORKERS; i++)
        record_acknowledged_ends (world, world.rig->workers[i]);
      if (pick % 4 != 0)
        publish (world, pick % 3 != 0);
    }
}

} // namespace

int
main ()
{
  const char *given = getenv ("RC_PARAMS");
  std::string params = std::string (given != nullptr ? given : "") + " max_success=10000";

  if (params.find ("max_success") == params.rfind ("max_success"))
    setenv ("RC_PARAMS", params.c_str (), 1);
  bool is_good
      = rc::check ("no task runs twice, early, beside too many others, or where it must not", [] {
          const auto steps
              = *rc::gen::container<std::vector<std::pair<uint32_t, uint32_t> > > (rc::gen::pair (
                  rc::gen::inRange<uint32_t> (0, 10), rc::gen::inRange<uint32_t> (0, 100000)));
          run_steps (steps);
        });
  return is_good ? 0 : 1;
}
