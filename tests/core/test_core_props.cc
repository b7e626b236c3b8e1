#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "common/clk.h"
#include "core/core.h"

/* Runs random schedules of all input types against a model that sees only the inputs and the
 * commands. A second core gets the same inputs and must give the same commands. */

namespace
{

constexpr int64_t cooldown_us = 20 * CLK_US_PER_S;
constexpr size_t n_workers = 4;

const char *const base_document
    = "[team.t]\ncpu_milli = 20000\n"
      "[job.a]\ntasks = 4\ncpu_milli = 3000\nmemory_mb = 4000\ncheckpoint_ms = 1000\n"
      "deadline_ms = 60000\n"
      "[job.b]\nteam = \"t\"\ntasks = 3\ncpu_milli = 5000\nmemory_mb = 1000\naccelerators = 1\n"
      "[job.c]\ntasks = 2\npriority = \"urgent\"\ncpu_milli = 4000\nmemory_mb = 9000\n"
      "[job.d]\ntasks = 2\ncpu_milli = 12000\nmax_failures = 1\n"
      "[policy]\ncooldown_ms = 20000\nreport_lag_ms = 5000\n";
const char *const document_suffixes[] = {
  "[service.mixdesk]\ncpu_milli = 4000\nmemory_mb = 8000\ntarget_p99_us = 50000\n",
  "[service.mixdesk]\ncpu_milli = 7000\nmemory_mb = 8000\ntarget_p99_us = 50000\n"
  "[[rule]]\nname = \"a-off-r0\"\neffect = \"may not\"\nwork = \"name = a\"\n"
  "instances = \"rack = r0\"\n",
  "[service.mixdesk]\ncpu_milli = 2000\nmemory_mb = 1000\ntarget_p99_us = 90000\n"
  "[[rule]]\nname = \"b-on-r1\"\neffect = \"may\"\nwork = \"name = b\"\n"
  "instances = \"rack = r1\"\n"
  "[[rule]]\nname = \"apart\"\neffect = \"apart\"\nwork = \"name = c\"\nby = \"rack\"\n",
};
const char *const job_names[] = { "a", "b", "c", "d" };
const char *const worker_ids[] = { "w0", "w1", "w2", "w3" };
const char *const rack_names[] = { "r0", "r0", "r1", "r1" };
const char *const services[] = { "mixdesk", nullptr };

using Step = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;
using TaskId = std::pair<uint64_t, uint32_t>;

struct DocumentFree
{
  void
  operator() (DocDocument *document) const
  {
    doc_free (document);
  }
};
using DocumentPtr = std::unique_ptr<DocDocument, DocumentFree>;

const std::vector<DocumentPtr> &
documents ()
{
  static const std::vector<DocumentPtr> all = [] {
    std::vector<DocumentPtr> made;
    for (const char *extra : document_suffixes)
      {
        std::string text = std::string (base_document) + extra;
        made.emplace_back (doc_parse (text.c_str (), text.size (), "props.toml", nullptr));
        RC_ASSERT (made.back () != nullptr);
      }
    return made;
  }();
  return all;
}

enum class WorkerState
{
  unknown,
  live,
  leaving,
};

struct Attempt
{
  uint32_t number;
  size_t worker;
  DocSize reserved;
};

DocSize
capacity_of (size_t worker)
{
  return DocSize{ 16000, 60000, (int64_t) (worker % 2) };
}

/* Checks the invariants, from inputs and commands alone. */
class Model
{
public:
  Model ()
  {
    CoreOptions options = { 7, CORE_POLICY_ACACIA, CORE_MECHANISM_ALL, FALSE };
    core_ = core_new (&options);
    replica_ = core_new (&options);
    commands_ = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
    replica_commands_ = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
    set_document (0);
  }

  Model (const Model &) = delete;
  Model &operator= (const Model &) = delete;

  ~Model ()
  {
    core_free (core_);
    core_free (replica_);
    g_array_free (commands_, TRUE);
    g_array_free (replica_commands_, TRUE);
  }

  void
  step (const Step &step)
  {
    size_t a = std::get<1> (step);
    size_t b = std::get<2> (step);
    switch (std::get<0> (step) % 14)
      {
      case 0:
      case 1:
        add_worker (a % n_workers, b % 2 == 0);
        break;
      case 2:
        add_job (a % G_N_ELEMENTS (job_names), b % 8 == 0);
        break;
      case 3:
        add_job (a % G_N_ELEMENTS (job_names), false);
        break;
      case 4:
        cancel (a);
        break;
      case 5:
        worker_event (a % n_workers, b % 2 == 0 ? CORE_IN_WORKER_LEFT : CORE_IN_WORKER_LOST);
        break;
      case 6:
        usage (a, b);
        break;
      case 7:
        tail (a % n_workers, b);
        break;
      case 8:
        if (b % 4 == 0)
          set_document (a % documents ().size ());
        break;
      case 9:
      case 10:
        fail_all (a % n_workers);
        break;
      default:
        end_attempt (a, b);
        break;
      }
    tick (100 + std::get<3> (step) * 20);
  }

private:
  static CoreInput
  input_of (CoreInputType type)
  {
    CoreInput input;
    memset (&input, 0, sizeof input);
    input.type = type;
    return input;
  }

  void
  set_document (size_t index)
  {
    document_ = index;
    core_set_document (core_, documents ()[index].get ());
    core_set_document (replica_, documents ()[index].get ());
  }

  void
  add_worker (size_t worker, bool is_new)
  {
    CoreInput input = input_of (CORE_IN_WORKER);
    input.worker.id = worker_ids[worker];
    bool is_replaced = workers_[worker] == WorkerState::leaving && is_new;
    if (is_replaced)
      incarnations_[worker]++;
    input.worker.incarnation = incarnations_[worker];
    input.worker.data_centre = "cuenca";
    input.worker.rack = rack_names[worker];
    input.worker.capacity = capacity_of (worker);
    input.worker.services = worker < 3 ? services : nullptr;
    inputs_.push_back (input);
    if (is_replaced)
      quarantined_[worker] = false;
    /* A leaving incarnation stays leaving, even if it is announced again. */
    if (is_replaced || workers_[worker] == WorkerState::unknown)
      workers_[worker] = WorkerState::live;
  }

  void
  add_job (size_t name, bool is_taken_over)
  {
    const DocJob *definition = doc_job (documents ()[document_].get (), job_names[name]);
    CoreInput input = input_of (CORE_IN_JOB);
    input.job.job = ++n_jobs_;
    input.job.definition = definition;
    input.job.submitted_us = now_us_;
    input.job.deadline_us
        = definition->deadline_ms > 0 ? now_us_ + definition->deadline_ms * CLK_US_PER_MS : 0;
    inputs_.push_back (input);
    definition_index_[n_jobs_] = name;
    if (is_taken_over)
      task_event (TaskId{ n_jobs_, 0 }, 5, nullptr, CORE_TASK_HELD);
    if (is_taken_over)
      held_[TaskId{ n_jobs_, 0 }] = 5;
  }

  void
  cancel (size_t a)
  {
    if (n_jobs_ == 0)
      return;
    CoreInput input = input_of (CORE_IN_CANCEL);
    input.cancelled_job = 1 + a % n_jobs_;
    inputs_.push_back (input);
    cancelled_[input.cancelled_job] = true;
  }

  void
  worker_event (size_t worker, CoreInputType type)
  {
    CoreInput input = input_of (type);
    input.worker_id = worker_ids[worker];
    inputs_.push_back (input);
    if (type == CORE_IN_WORKER_LEFT && workers_[worker] == WorkerState::live)
      workers_[worker] = WorkerState::leaving;
    if (type == CORE_IN_WORKER_LEFT)
      return;
    workers_[worker] = WorkerState::unknown;
    quarantined_[worker] = false;
    for (auto at = live_.begin (); at != live_.end ();)
      at = at->second.worker == worker ? live_.erase (at) : std::next (at);
  }

  void
  usage (size_t a, size_t b)
  {
    if (live_.empty ())
      return;
    auto at = std::next (live_.begin (), (long) (a % live_.size ()));
    CoreInput input = input_of (CORE_IN_USAGE);
    input.usage.worker = worker_ids[at->second.worker];
    input.usage.task = CoreTaskKey{ at->first.first, at->first.second };
    input.usage.attempt = at->second.number;
    input.usage.used = DocSize{ (int64_t) b * 60, (int64_t) b * 100, 0 };
    input.usage.measured_us = now_us_;
    inputs_.push_back (input);
  }

  void
  tail (size_t worker, size_t b)
  {
    CoreInput input = input_of (CORE_IN_SERVICE);
    input.service.worker = worker_ids[worker];
    input.service.service = "mixdesk";
    input.service.p99_us = (int64_t) b * 500;
    input.service.load_permille = (uint32_t) (b * 4);
    input.service.measured_us = now_us_;
    inputs_.push_back (input);
  }

  void
  task_event (TaskId task, uint32_t attempt, const char *worker, CoreTaskEvent event)
  {
    CoreInput input = input_of (CORE_IN_TASK);
    input.task.task = CoreTaskKey{ task.first, task.second };
    input.task.attempt = attempt;
    input.task.worker = worker;
    input.task.event = event;
    inputs_.push_back (input);
  }

  void
  end_attempt (size_t a, size_t b)
  {
    static const CoreTaskEvent ends[]
        = { CORE_TASK_DONE,   CORE_TASK_FAILED,  CORE_TASK_CHECKPOINTED,
            CORE_TASK_FAILED, CORE_TASK_STOPPED, CORE_TASK_REFUSED };
    if (!held_.empty () && b % 5 == 0)
      {
        auto held = held_.begin ();
        task_event (held->first, held->second, nullptr, CORE_TASK_FREE);
        held_.erase (held);
      }
    if (live_.empty ())
      return;
    auto at = std::next (live_.begin (), (long) (a % live_.size ()));
    CoreTaskEvent end = ends[b % G_N_ELEMENTS (ends)];
    task_event (at->first, at->second.number, worker_ids[at->second.worker], end);
    if (end == CORE_TASK_DONE)
      done_[at->first] = true;
    live_.erase (at);
  }

  /* Simulates a bad instance: all tasks on it fail. */
  void
  fail_all (size_t worker)
  {
    for (auto at = live_.begin (); at != live_.end ();)
      {
        if (at->second.worker != worker)
          {
            ++at;
            continue;
          }
        task_event (at->first, at->second.number, worker_ids[worker], CORE_TASK_FAILED);
        at = live_.erase (at);
      }
  }

  void
  tick (int64_t after_ms)
  {
    now_us_ += after_ms * CLK_US_PER_MS;
    g_array_set_size (commands_, 0);
    g_array_set_size (replica_commands_, 0);
    core_tick (core_, now_us_, inputs_.data (), inputs_.size (), commands_);
    core_tick (replica_, now_us_, inputs_.data (), inputs_.size (), replica_commands_);
    inputs_.clear ();
    RC_ASSERT (commands_->len == replica_commands_->len);
    /* RC_ASSERT evaluates both sides of an "or", and empty arrays have no data to compare. */
    size_t size = commands_->len * sizeof (CoreCommand);
    bool is_same = size == 0 || memcmp (commands_->data, replica_commands_->data, size) == 0;
    RC_ASSERT (is_same);
    for (guint i = 0; i < commands_->len; i++)
      check_command (g_array_index (commands_, CoreCommand, i));
    for (size_t worker = 0; worker < n_workers; worker++)
      check_worker (worker);
  }

  void
  check_worker (size_t worker)
  {
    DocSize reserved = { 0, 0, 0 };
    DocSize sum = { 0, 0, 0 };
    DocSize capacity = capacity_of (worker);
    if (!core_reserved (core_, worker_ids[worker], &reserved))
      return;
    for (const auto &at : live_)
      {
        if (at.second.worker != worker)
          continue;
        sum.cpu_milli += at.second.reserved.cpu_milli;
        sum.memory_mb += at.second.reserved.memory_mb;
        sum.accelerators += at.second.reserved.accelerators;
      }
    RC_ASSERT (reserved.cpu_milli <= capacity.cpu_milli
               && reserved.memory_mb <= capacity.memory_mb);
    RC_ASSERT (reserved.accelerators <= capacity.accelerators);
    RC_ASSERT (sum.cpu_milli <= reserved.cpu_milli && sum.memory_mb <= reserved.memory_mb);
    RC_ASSERT (sum.accelerators <= reserved.accelerators);
  }

  static size_t
  worker_of (const CoreCommand &command)
  {
    for (size_t i = 0; i < n_workers; i++)
      {
        if (strcmp (command.worker, worker_ids[i]) == 0)
          return i;
      }
    return n_workers;
  }

  bool
  is_forbidden (uint64_t job, size_t worker)
  {
    if (document_ == 1 && definition_index_[job] == 0)
      return strcmp (rack_names[worker], "r0") == 0;
    return document_ == 2 && definition_index_[job] == 1 && strcmp (rack_names[worker], "r1") != 0;
  }

  void
  check_start (const CoreCommand &command)
  {
    TaskId task{ command.task.job, command.task.index };
    size_t worker = worker_of (command);
    RC_ASSERT (worker < n_workers);
    RC_ASSERT (live_.count (task) == 0);
    RC_ASSERT (held_.count (task) == 0);
    RC_ASSERT (done_.count (task) == 0);
    RC_ASSERT (cancelled_.count (task.first) == 0);
    RC_ASSERT (given_up_.count (task.first) == 0);
    RC_ASSERT (command.attempt > attempts_[task]);
    RC_ASSERT (workers_[worker] == WorkerState::live);
    bool is_allowed = !quarantined_[worker] || command.why == CORE_REASON_PROBE_WORKER;
    RC_ASSERT (is_allowed);
    RC_ASSERT (!is_forbidden (task.first, worker));
    attempts_[task] = command.attempt;
    live_[task] = Attempt{ command.attempt, worker, command.reserved };
  }

  void
  check_eviction (const CoreCommand &command)
  {
    TaskId task{ command.task.job, command.task.index };
    auto last = evicted_.find (task);
    bool is_eviction = command.why == CORE_REASON_TAIL_OVER || command.why == CORE_REASON_RULE
                       || command.why == CORE_REASON_PREEMPTION
                       || command.why == CORE_REASON_LEAVING;
    if (!is_eviction)
      return;
    /* A resent command for the same attempt is the same eviction. */
    if (last != evicted_.end () && last->second.first == command.attempt)
      return;
    bool is_cooldown_over = last == evicted_.end () || now_us_ - last->second.second >= cooldown_us;
    RC_ASSERT (is_cooldown_over);
    evicted_[task] = { command.attempt, now_us_ };
  }

  void
  check_command (const CoreCommand &command)
  {
    size_t worker = worker_of (command);
    switch (command.type)
      {
      case CORE_DO_START:
        check_start (command);
        break;
      case CORE_DO_CHECKPOINT:
      case CORE_DO_STOP:
        check_eviction (command);
        break;
      case CORE_DO_GIVE_UP:
        given_up_[command.task.job] = true;
        break;
      case CORE_DO_QUARANTINE:
      case CORE_DO_RELEASE:
        RC_ASSERT (worker < n_workers);
        quarantined_[worker] = command.type == CORE_DO_QUARANTINE;
        break;
      default:
        break;
      }
  }

  Core *core_;
  Core *replica_;
  GArray *commands_;
  GArray *replica_commands_;
  int64_t now_us_ = CLK_US_PER_S;
  size_t document_ = 0;
  uint64_t n_jobs_ = 0;
  std::vector<CoreInput> inputs_;
  WorkerState workers_[n_workers] = {};
  bool quarantined_[n_workers] = {};
  uint64_t incarnations_[n_workers] = { 1, 1, 1, 1 };
  std::map<TaskId, Attempt> live_;
  std::map<TaskId, uint32_t> attempts_;
  std::map<TaskId, uint32_t> held_;
  std::map<TaskId, std::pair<uint32_t, int64_t> > evicted_;
  std::map<TaskId, bool> done_;
  std::map<uint64_t, size_t> definition_index_;
  std::map<uint64_t, bool> cancelled_;
  std::map<uint64_t, bool> given_up_;
};

/* The commands of a tick are checked in the order in which they were given. */
bool
run_schedules ()
{
  return rc::check ("invariants hold in every tick of every schedule", [] {
    Model model;
    const auto steps = *rc::gen::arbitrary<std::vector<Step> > ();
    for (const Step &step : steps)
      model.step (step);
  });
}

}

int
main ()
{
  const char *given = getenv ("RC_PARAMS");
  std::string params = std::string (given != nullptr ? given : "") + " max_success=10000";

  if (params.find ("max_success") == params.rfind ("max_success"))
    setenv ("RC_PARAMS", params.c_str (), 1);
  return run_schedules () ? 0 : 1;
}
