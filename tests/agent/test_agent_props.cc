#include <algorithm>
#include <cstdlib>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "agent/agent_admission.h"
#include "agent/agent_attempts.h"
#include "agent/agent_lease.h"
#include "agent/agent_queue.h"
#include "agent/agent_tasks.h"
#include "common/clk.h"

namespace
{

constexpr int schedules = 10000;
constexpr int64_t margin_ms = 20;
constexpr int64_t keep_us = 2000 * CLK_US_PER_MS;

/** One event of a schedule; the meaning of a to d depends on the kind. */
struct Op
{
  int kind;
  int a;
  int b;
  int c;
  int d;
};

std::ostream &
operator<< (std::ostream &out, const Op &op)
{
  return out << "{" << op.kind << "," << op.a << "," << op.b << "," << op.c << "," << op.d << "}";
}

std::vector<Op>
schedule (int kinds)
{
  auto op = rc::gen::construct<Op> (rc::gen::inRange (0, kinds), rc::gen::inRange (0, 4),
                                    rc::gen::inRange (0, 4), rc::gen::inRange (0, 4),
                                    rc::gen::inRange (0, 8));
  return *rc::gen::container<std::vector<Op> > (op);
}

/** Advances the clock of a schedule: short steps and occasional long pauses. */
int64_t
advance (int64_t now_us, const Op &op)
{
  static const int64_t steps_ms[] = { 1, 10, 50, 400 };

  return now_us + steps_ms[op.a] * CLK_US_PER_MS;
}

using Id = std::tuple<uint64_t, uint32_t, uint32_t>;

/** Runs tasks, leases and admission against a model of their invariants. */
class Tasks
{
public:
  Tasks ()
  {
    DocSize capacity = { 100, 100, 2 };
    admission = agent_admission_new (&capacity);
    leases = agent_leases_new (margin_ms);
    AgentTasksOptions options = { 6, 12, keep_us, admission, leases };
    tasks = agent_tasks_new (&options);
  }

  ~Tasks ()
  {
    agent_tasks_free (tasks);
    agent_leases_free (leases);
    agent_admission_free (admission);
  }

  void
  step (const Op &op)
  {
    switch (op.kind)
      {
      case 0:
        now_us = advance (now_us, op);
        break;
      case 1:
        send_heartbeat ();
        break;
      case 2:
      case 3:
        grant (op);
        break;
      case 4:
      case 5:
      case 6:
        start (op);
        break;
      case 7:
        fence (op);
        break;
      case 8:
        end (op);
        break;
      case 9:
        acknowledge (op);
        break;
      default:
        set_service (op);
        break;
      }
    check ();
  }

private:
  AgentAdmission *admission;
  AgentLeases *leases;
  AgentTasks *tasks;
  int64_t now_us = CLK_US_PER_S;
  uint64_t seq = 0;
  std::map<uint64_t, int64_t> sent;
  /** Ends of the granted leases by epoch and heartbeat, computed without the tested code. */
  std::map<uint64_t, std::map<uint64_t, int64_t> > granted;
  uint64_t newest_epoch = 0;
  std::set<Id> started;
  std::map<Id, int64_t> refused_us;
  std::map<Id, DocSize> live;
  DocSize service = { 0, 0, 0 };

  void
  send_heartbeat ()
  {
    seq++;
    sent[seq] = now_us;
    agent_leases_sent (leases, seq, now_us);
  }

  /* Answers any heartbeat: late, repeatedly, out of order, or with a wrong echo. */
  void
  grant (const Op &op)
  {
    uint64_t echoed = seq > (uint64_t) op.d ? seq - (uint64_t) op.d : seq;
    bool is_forged = op.c == 3 && op.b == 3;
    AgentGrant message
        = { 1, (uint64_t) op.a + 1, echoed, sent[echoed] + (is_forged ? 1 : 0), 100 + 100 * op.b };
    AgentGrantResult result = agent_leases_grant (leases, &message, now_us);

    if (echoed == 0 || is_forged)
      {
        RC_ASSERT (result == AGENT_GRANT_UNKNOWN);
        return;
      }
    if (message.epoch < newest_epoch)
      {
        RC_ASSERT (result == AGENT_GRANT_STALE_EPOCH);
        return;
      }
    newest_epoch = message.epoch;
    auto &of_epoch = granted[newest_epoch];
    bool is_old = !of_epoch.empty () && of_epoch.rbegin ()->first >= echoed;
    RC_ASSERT (result == (is_old ? AGENT_GRANT_OLD : AGENT_GRANT_APPLIED));
    if (!is_old)
      of_epoch[echoed]
          = sent[echoed] + message.lease_ms * CLK_US_PER_MS
            - std::min (margin_ms * CLK_US_PER_MS, message.lease_ms * CLK_US_PER_MS / 4);
  }

  bool
  is_live (uint64_t epoch)
  {
    return epoch == newest_epoch && epoch != 0 && now_us < granted[epoch].rbegin ()->second;
  }

  void
  start (const Op &op)
  {
    AgentStart request = {};
    AgentTask *task;
    int64_t end_us;
    ErrKind kind;
    Id id = { 1, op.a, op.b };

    request.id = { 1, (uint32_t) op.a, (uint32_t) op.b };
    request.shard = 1;
    request.epoch = (uint64_t) op.c + 1;
    request.reserved = { 10 + 15 * op.d, 10, op.d == 7 ? 1 : 0 };
    if (op.d == 6)
      request.reserved.memory_mb = INT64_MAX;
    if (op.d == 5)
      request.reserved.cpu_milli = -1000;
    request.job_name = request.batch_class = "";
    AgentStartResult result = agent_tasks_start (tasks, &request, now_us, &task, &end_us, &kind);
    if (result == AGENT_START_ACCEPTED)
      {
        RC_ASSERT (is_live (request.epoch));
        RC_ASSERT (end_us <= granted[request.epoch].rbegin ()->second);
        RC_ASSERT (started.insert (id).second);
        RC_ASSERT (refused_us.count (id) == 0 || now_us - refused_us[id] >= keep_us);
        for (const auto &other : live)
          RC_ASSERT (std::get<1> (other.first) != std::get<1> (id));
        live[id] = request.reserved;
      }
    else if (result == AGENT_START_REFUSED)
      {
        RC_ASSERT (live.count (id) == 0);
        RC_ASSERT (started.count (id) == 0 || kind == ERR_FENCED || kind == ERR_STALE_EPOCH
                   || !is_live (request.epoch));
        RC_ASSERT ((kind == ERR_STALE_EPOCH) == (request.epoch < newest_epoch));
        if (kind != ERR_STALE_EPOCH)
          refused_us[id] = now_us;
      }
    else if (result == AGENT_START_KNOWN)
      RC_ASSERT (started.count (id) == 1);
  }

  void
  fence (const Op &op)
  {
    AgentTaskId id = { 1, (uint32_t) op.a, (uint32_t) op.b };

    if (agent_tasks_find (tasks, &id) == nullptr && agent_tasks_fence (tasks, &id, now_us))
      refused_us[{ 1, op.a, op.b }] = now_us;
  }

  void
  end (const Op &op)
  {
    AgentTaskId id = { 1, (uint32_t) op.a, (uint32_t) op.b };
    AgentTask *task = agent_tasks_find (tasks, &id);

    if (task == nullptr || agent_task_is_ended (task))
      return;
    if (op.c == 0)
      {
        agent_tasks_running (tasks, task);
        return;
      }
    agent_tasks_end (tasks, task, AGENT_TASK_DONE, ERR_INTERNAL, "checkpoint", nullptr);
    live.erase ({ 1, op.a, op.b });
    RC_ASSERT (agent_tasks_find (tasks, &id) == task);
  }

  void
  acknowledge (const Op &op)
  {
    AgentTaskId id = { 1, (uint32_t) op.a, (uint32_t) op.b };
    bool was_live = live.count ({ 1, op.a, op.b }) == 1;
    bool accepted = agent_tasks_acknowledge (tasks, &id, now_us);

    RC_ASSERT (!(was_live && accepted));
    if (accepted)
      RC_ASSERT (agent_tasks_is_fenced (tasks, &id));
  }

  void
  set_service (const Op &op)
  {
    service = { 20 * op.d, 10 * op.a, op.b % 2 };
    agent_admission_set_service (admission, &service);
  }

  void
  check ()
  {
    DocSize reserved = agent_admission_reserved (admission);
    DocSize sum = { 0, 0, 0 };

    for (const auto &item : live)
      {
        sum.cpu_milli += item.second.cpu_milli;
        sum.memory_mb += item.second.memory_mb;
        sum.accelerators += item.second.accelerators;
      }
    RC_ASSERT (reserved.cpu_milli <= 100 && reserved.memory_mb <= 100
               && reserved.accelerators <= 2);
    RC_ASSERT (reserved.cpu_milli
               == sum.cpu_milli + std::min (service.cpu_milli, 100 - sum.cpu_milli));
    RC_ASSERT (reserved.accelerators
               == sum.accelerators + std::min (service.accelerators, 2 - sum.accelerators));
    RC_ASSERT (agent_tasks_live (tasks) == live.size ());
    for (const auto &item : live)
      RC_ASSERT (item.second.cpu_milli >= 0);
  }
};

/** Runs attempts of once requests against the actual history of each. */
class Attempts
{
public:
  Attempts ()
  {
    AgentAttemptsOptions options = { 4, 64, 100 * CLK_US_PER_MS };
    attempts = agent_attempts_new (&options);
  }

  ~Attempts ()
  {
    agent_attempts_free (attempts);
  }

  void
  step (const Op &op)
  {
    switch (op.kind)
      {
      case 0:
        now_us = advance (now_us, op);
        break;
      case 1:
        last_heartbeat_us = now_us;
        break;
      case 2:
        choose (op);
        break;
      case 3:
      case 4:
      case 5:
        if (!histories.empty ())
          deliver (histories[(size_t) (op.a * 8 + op.d) % histories.size ()], op);
        break;
      case 6:
        if (!histories.empty ())
          finish (histories[(size_t) (op.a * 8 + op.d) % histories.size ()], op);
        break;
      default:
        if (!histories.empty ())
          query (histories[(size_t) (op.a * 8 + op.d) % histories.size ()], op);
        break;
      }
    RC_ASSERT (agent_attempts_count (attempts) <= 4U);
    RC_ASSERT (agent_attempts_bytes (attempts) <= 64);
  }

private:
  /** What actually happened to one attempt, and what was reported about it. */
  struct History
  {
    std::string tenant;
    std::string key;
    uint32_t attempt;
    int64_t chosen_us;
    bool started;
    bool running;
    bool ran;
    bool reported_not_run;
  };

  AgentAttempts *attempts;
  int64_t now_us = CLK_US_PER_S;
  int64_t last_heartbeat_us = CLK_US_PER_S;
  std::vector<History> histories;

  static AgentAttempt
  to_attempt (const History &history, bool with_time)
  {
    return { history.tenant.c_str (), history.key.c_str (), history.attempt,
             with_time ? history.chosen_us : 0 };
  }

  static std::string
  answer_of (const History &history)
  {
    return history.tenant + "|" + history.key + "|" + std::to_string (history.attempt);
  }

  void
  choose (const Op &op)
  {
    static const char *const tenants[] = { "a", "a/b", "b", "a/b/c" };
    static const char *const keys[] = { "b/c", "c", "k", "" };

    histories.push_back ({ tenants[op.a], keys[op.b], (uint32_t) histories.size (),
                           op.c == 0 ? 0 : last_heartbeat_us, false, false, false, false });
  }

  void
  check_answer (const History &history, GBytes *answer)
  {
    if (answer == nullptr)
      return;
    gsize size;
    const char *data = (const char *) g_bytes_get_data (answer, &size);
    RC_ASSERT (std::string (data, size) == answer_of (history));
  }

  void
  deliver (History &history, const Op &op)
  {
    AgentAttempt attempt = to_attempt (history, true);
    GBytes *answer = nullptr;
    AgentAttemptState state = op.c == 3
                                  ? agent_attempts_refuse (attempts, &attempt, now_us)
                                  : agent_attempts_begin (attempts, &attempt, now_us, &answer);

    check_answer (history, answer);
    switch (state)
      {
      case AGENT_ATTEMPT_START:
        RC_ASSERT (!history.started);
        RC_ASSERT (!history.reported_not_run);
        history.started = history.running = true;
        break;
      case AGENT_ATTEMPT_RUNNING:
        RC_ASSERT (history.running);
        break;
      case AGENT_ATTEMPT_RAN:
        RC_ASSERT (history.ran);
        break;
      case AGENT_ATTEMPT_UNKNOWN:
        RC_ASSERT (history.started || histories.size () > 4U);
        break;
      default:
        RC_ASSERT (!history.started);
        history.reported_not_run = true;
        break;
      }
  }

  void
  finish (History &history, const Op &op)
  {
    AgentAttempt attempt = to_attempt (history, true);

    if (!history.running)
      return;
    history.running = false;
    if (op.c == 0)
      {
        history.started = false;
        history.reported_not_run = true;
        agent_attempts_not_run (attempts, &attempt, now_us);
        return;
      }
    history.ran = true;
    if (op.c == 1)
      {
        agent_attempts_in_doubt (attempts, &attempt, now_us);
        return;
      }
    std::string text = answer_of (history);
    GBytes *answer = g_bytes_new (text.data (), text.size ());
    agent_attempts_ran (attempts, &attempt, answer, now_us);
    g_bytes_unref (answer);
  }

  void
  query (History &history, const Op &op)
  {
    AgentAttempt attempt = to_attempt (history, op.c != 0);
    GBytes *answer = nullptr;
    AgentAttemptState state = agent_attempts_query (attempts, &attempt, now_us, &answer);

    check_answer (history, answer);
    RC_ASSERT (state != AGENT_ATTEMPT_START && state != AGENT_ATTEMPT_FULL);
    if (state == AGENT_ATTEMPT_RUNNING)
      RC_ASSERT (history.running);
    if (state == AGENT_ATTEMPT_RAN)
      RC_ASSERT (history.ran);
    if (state == AGENT_ATTEMPT_FENCED)
      {
        RC_ASSERT (!history.started);
        history.reported_not_run = true;
      }
  }
};

/** Checks the request queue: slots, connections, deadlines and order. */
class Queue
{
public:
  ~Queue ()
  {
    gboolean expired;

    agent_queue_set_limits (queue, G_MAXUINT32, G_MAXUINT32);
    while (agent_queue_take (queue, INT64_MAX, &expired) != nullptr)
      continue;
    agent_queue_free (queue);
  }

  void
  step (const Op &op)
  {
    switch (op.kind)
      {
      case 0:
        now_us = advance (now_us, op);
        break;
      case 1:
      case 2:
        add (op);
        break;
      case 3:
        take_next ();
        break;
      case 4:
        if (agent_queue_running (queue) > 0)
          agent_queue_done (queue);
        break;
      default:
        slots = (uint32_t) op.a + 1;
        connections = slots + (uint32_t) op.b;
        agent_queue_set_limits (queue, slots, connections);
        break;
      }
  }

private:
  uint32_t slots = 2;
  uint32_t connections = 4;
  AgentQueue *queue = agent_queue_new (2, 4);
  int64_t now_us = CLK_US_PER_S;
  std::vector<int64_t> deadlines;
  std::vector<size_t> waiting;

  void
  add (const Op &op)
  {
    int64_t deadline_us = now_us + (op.d - 1) * 20 * CLK_US_PER_MS;
    uint32_t held = agent_queue_running (queue) + agent_queue_queued (queue);
    ErrKind kind = ERR_KIND_COUNT;

    deadlines.push_back (deadline_us);
    bool accepted
        = agent_queue_add (queue, GSIZE_TO_POINTER (deadlines.size ()), deadline_us, now_us, &kind);
    RC_ASSERT (accepted == (deadline_us > now_us && held < connections));
    if (accepted)
      waiting.push_back (deadlines.size ());
    else
      RC_ASSERT (kind == (deadline_us <= now_us ? ERR_DEADLINE : ERR_ALL_BUSY));
  }

  void
  take_next ()
  {
    uint32_t running = agent_queue_running (queue);
    gboolean expired;
    size_t item = GPOINTER_TO_SIZE (agent_queue_take (queue, now_us, &expired));
    size_t due = 0;

    for (size_t entry : waiting)
      due += deadlines[entry - 1] <= now_us ? 1 : 0;
    if (item == 0)
      {
        RC_ASSERT (due == 0U && (waiting.empty () || running >= slots));
        return;
      }
    RC_ASSERT ((bool) expired == (deadlines[item - 1] <= now_us));
    RC_ASSERT (expired || (item == waiting.front () && running < slots));
    RC_ASSERT (agent_queue_running (queue) == running + (expired ? 0 : 1));
    waiting.erase (std::find (waiting.begin (), waiting.end (), item));
  }
};

template <typename Model>
void
run (int kinds)
{
  Model model;

  for (const Op &op : schedule (kinds))
    model.step (op);
}

/* Sets the number of schedules in RC_PARAMS unless it is set there already; keeps the seed. */
void
set_schedules ()
{
  const char *given = std::getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "";

  if (params.find ("max_success") == std::string::npos)
    params += " max_success=" + std::to_string (schedules);
  setenv ("RC_PARAMS", params.c_str (), 1);
}

}

int
main ()
{
  set_schedules ();
  bool ok = rc::check ("tasks: within capacity, inside a live lease, once, never after a fence",
                       [] { run<Tasks> (11); });
  ok = rc::check (
           "once requests: start once, never after a fence, and the reported state is correct",
           [] { run<Attempts> (8); })
       && ok;
  ok = rc::check ("requests: within slots and connections, never started past the deadline",
                  [] { run<Queue> (6); })
       && ok;
  return ok ? 0 : 1;
}
