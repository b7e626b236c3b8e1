/* Ownership of a shard under random schedules: entries with one log, agents with leases, network
 * partitions between any two processes, paused processes, log outages for some or all entries.
 * Clock rates differ within the drift bound. */
#include <cstring>
#include <map>
#include <string>

#include "common/clk.h"
#include "entry/jobs.h"
#include "entry/owner.h"
#include "entry/props.h"
#include "entry/shard.h"

namespace
{

constexpr int kEntries = 3;
constexpr int kAgents = 2;
constexpr int64_t kLeaseUs = 1000 * CLK_US_PER_MS;
constexpr int64_t kFreshUs = 400 * CLK_US_PER_MS;
constexpr int64_t kDriftUs = 100 * CLK_US_PER_MS;
constexpr int64_t kTickUs = 100 * CLK_US_PER_MS;
/** One hour of simulated time. */
constexpr int kOutageTicks = 3600 * CLK_US_PER_S / kTickUs;
constexpr int kNormalTicks = 100;
constexpr uint64_t kJob = 7;
constexpr uint32_t kTasks = 2;
constexpr const char *kNames[] = { "e0", "e1", "e2" };

struct World;

struct Entry
{
  World *world = nullptr;
  int index = 0;
  uint64_t incarnation = 1;
  Fold *fold = nullptr;
  Owner *owner = nullptr;
  Members *members = nullptr;
  Shard *shard = nullptr; /* set while the entry acts as the owner */
  bool is_settled = false;
  uint64_t seq = 0;
  int64_t paused_until_us = 0;
  bool reads_log = true;
  bool is_registered = false;
  int64_t offset_us = 0; /* the entry's clock minus the simulated time */
};

struct Run
{
  uint32_t attempt = 0;
  Wire__TaskState state = WIRE__TASK_STATE__TASK_RUNNING;
};

struct Agent
{
  uint64_t epoch = 0;
  uint64_t incarnation = 1;
  uint64_t seq = 0;
  int64_t lease_end_us = 0; /* simulated time, which the agents use without an offset */
  std::map<uint32_t, std::vector<Run> >
      runs; /* by task: running attempts and unacknowledged ends */
};

struct Message
{
  enum Kind
  {
    kDigest,
    kConsentRequest,
    kConsent,
    kAnnounce,
    kLease,
    kCommand
  } kind;
  int from; /* index of an entry; of an agent for kAnnounce */
  int to;
  uint64_t incarnation;
  uint64_t epoch;
  int64_t value_us; /* sent_us, lease or hold */
  int64_t extra;
  std::vector<uint8_t> data; /* packed announcement or command */
};

struct World
{
  int64_t now_us = 10 * CLK_US_PER_S;
  props::Log log;
  Entry entries[kEntries];
  Agent agents[kAgents];
  bool cut_entries[kEntries][kEntries] = {}; /* one direction: from, to */
  bool cut_agents[kEntries][kAgents] = {};
  std::vector<Message> messages;
  std::vector<std::vector<uint8_t> > appends;
  DocDocument *document = nullptr;
  int64_t outage_us = 3 * kLeaseUs;
  int gained = 0;
  int starts = 0;
  int ends = 0;
};

int64_t
entry_clock_us (const Entry *entry)
{
  return entry->world->now_us + entry->offset_us;
}

IdsId
append (Entry *entry, Record__Record *record)
{
  std::vector<uint8_t> data;
  IdsId id = props::pack (record, kNames[entry->index], &data);

  entry->world->appends.push_back (data);
  return id;
}

gboolean
on_claim (void *ctx, uint32_t shard, uint64_t epoch, IdsId *id)
{
  auto *entry = static_cast<Entry *> (ctx);
  Record__Record record = RECORD__RECORD__INIT;
  Record__Claim claim = RECORD__CLAIM__INIT;

  if (!entry->reads_log)
    return FALSE;
  claim.shard = shard;
  claim.epoch = epoch;
  claim.entry = const_cast<char *> (kNames[entry->index]);
  claim.incarnation = entry->incarnation;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  *id = append (entry, &record);
  return TRUE;
}

void
on_consent_request (void *ctx, const char *name, uint32_t, uint64_t epoch, int64_t sent_us)
{
  auto *entry = static_cast<Entry *> (ctx);

  entry->world->messages.push_back ({ Message::kConsentRequest,
                                      entry->index,
                                      name[1] - '0',
                                      entry->incarnation,
                                      epoch,
                                      sent_us,
                                      0,
                                      {} });
}

gboolean
on_command (void *ctx, const char *agent, const Wire__TaskCommand *command)
{
  auto *entry = static_cast<Entry *> (ctx);
  std::vector<uint8_t> data (wire__task_command__get_packed_size (command));

  /* A task whose end is on the log is never started. */
  if (command->verb == WIRE__TASK_VERB__VERB_START)
    RC_ASSERT (fold_job (entry->fold, kJob)->tasks[command->index].end
               != RECORD__TASK_END__END_DONE);
  wire__task_command__pack (command, data.data ());
  entry->world->messages.push_back ({ Message::kCommand, entry->index, agent[1] - '0',
                                      entry->incarnation, command->epoch, 0, 0, data });
  return TRUE;
}

gboolean
on_append (void *ctx, const Record__Record *record, IdsId *id)
{
  Record__Record copy = *record;

  *id = append (static_cast<Entry *> (ctx), &copy);
  return TRUE;
}

void
on_decided (void *, const CoreCommand *)
{
}

void
on_gained (void *ctx, uint32_t, uint64_t epoch, gboolean is_first)
{
  auto *entry = static_cast<Entry *> (ctx);
  ShardOptions options = {};
  ShardOps ops = { on_command, on_append, on_decided, entry };

  options.shards = 1;
  options.epoch = epoch;
  options.entry_incarnation = entry->incarnation;
  options.is_reconciled = is_first;
  options.lease_us = kLeaseUs;
  options.drift_us = kDriftUs;
  options.core.seed = 1;
  options.core.mechanisms = CORE_MECHANISM_ALL & ~CORE_MECHANISM_INTERFERENCE;
  shard_free (entry->shard);
  entry->shard
      = shard_new (&options, &ops, entry->fold, entry->world->document, entry_clock_us (entry));
  entry->is_settled = is_first;
  entry->world->gained++;
}

void
on_settled (void *ctx, uint32_t)
{
  auto *entry = static_cast<Entry *> (ctx);

  entry->is_settled = true;
  shard_reconciled (entry->shard);
}

void
on_lost (void *ctx, uint32_t)
{
  auto *entry = static_cast<Entry *> (ctx);

  g_clear_pointer (&entry->shard, shard_free);
}

bool
may_renew (const Entry *entry)
{
  return entry->shard != nullptr
         && owner_may_renew (entry->owner, entry->fold, 0, entry_clock_us (entry));
}

void
register_entry (Entry *entry)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Entry body = RECORD__ENTRY__INIT;

  body.entry = const_cast<char *> (kNames[entry->index]);
  body.incarnation = entry->incarnation;
  record.body_case = RECORD__RECORD__BODY_ENTRY;
  record.entry = &body;
  append (entry, &record);
}

void
start_entry (World *world, int index)
{
  Entry *entry = &world->entries[index];
  OwnerOptions options = {};
  OwnerEvents events = { on_claim, on_consent_request, on_gained, on_settled, on_lost, entry };

  options.name = kNames[index];
  options.incarnation = entry->incarnation;
  options.shards = 1;
  options.lease_us = kLeaseUs;
  options.fresh_us = kFreshUs;
  options.drift_us = kDriftUs;
  options.outage_us = world->outage_us;
  options.owner_timeout_us = 3 * kTickUs;
  options.stagger_us = kTickUs;
  options.consent_interval_us = kTickUs;
  entry->world = world;
  entry->index = index;
  entry->fold = props::new_fold ();
  entry->members = members_new (3 * kTickUs);
  entry->owner = owner_new (&options, &events);
  entry->shard = nullptr;
  entry->is_settled = false;
  entry->is_registered = false;
}

void
stop_entry (Entry *entry)
{
  shard_free (entry->shard);
  owner_free (entry->owner);
  members_free (entry->members);
  fold_free (entry->fold);
}

void
restart_entry (World *world, int index)
{
  Entry *entry = &world->entries[index];

  stop_entry (entry);
  entry->incarnation++;
  start_entry (world, index);
}

/* Reads the log to its end; the age of the view counts from when the read was sent. */
void
read_log (Entry *entry)
{
  int64_t read_us = entry_clock_us (entry);

  if (!entry->reads_log)
    return;
  props::read (entry->world->log, entry->fold, SIZE_MAX);
  owner_log_read (entry->owner, read_us);
  owner_folded (entry->owner, entry->fold, entry_clock_us (entry));
  if (entry->shard != nullptr)
    {
      shard_job (entry->shard, entry->fold, kJob, entry_clock_us (entry));
      shard_folded (entry->shard, entry->fold);
    }
  if (entry->is_registered)
    return;
  entry->is_registered = true;
  register_entry (entry);
}

void
tick_entry (Entry *entry)
{
  World *world = entry->world;

  entry->seq++;
  for (int to = 0; to < kEntries; to++)
    {
      if (to != entry->index)
        world->messages.push_back (
            { Message::kDigest,
              entry->index,
              to,
              entry->incarnation,
              entry->seq,
              owner_view_age_us (entry->owner, entry_clock_us (entry)) / CLK_US_PER_MS,
              fold_next_offset (entry->fold),
              {} });
    }
  owner_tick (entry->owner, entry->fold, entry->members, entry_clock_us (entry));
  if (entry->shard != nullptr)
    shard_tick (entry->shard, entry->members, may_renew (entry),
                owner_exclusive_until_us (entry->owner, entry->fold, 0, entry_clock_us (entry)),
                entry_clock_us (entry));
}

/* Calls @p use with the agent's heartbeat. */
template <typename Use>
void
with_announce (World *world, int index, Use use)
{
  Agent *agent = &world->agents[index];
  std::string name = "a" + std::to_string (index);
  char empty[] = "";
  Wire__Announce announce = WIRE__ANNOUNCE__INIT;
  Wire__ShardEpoch epoch = WIRE__SHARD_EPOCH__INIT;
  Wire__ShardEpoch *epochs[] = { &epoch };
  Wire__Size capacity = WIRE__SIZE__INIT;
  std::vector<Wire__TaskStatus> rows;
  std::vector<Wire__TaskStatus *> pointers;

  for (const auto &task : agent->runs)
    {
      for (const Run &run : task.second)
        {
          Wire__TaskStatus status = WIRE__TASK_STATUS__INIT;
          status.job = kJob;
          status.index = task.first;
          status.attempt = run.attempt;
          status.state = run.state;
          rows.push_back (status);
        }
    }
  for (Wire__TaskStatus &row : rows)
    pointers.push_back (&row);
  epoch.epoch = agent->epoch;
  capacity.cpu_milli = 8000;
  capacity.memory_mb = 8000;
  announce.agent = const_cast<char *> (name.c_str ());
  announce.incarnation = agent->incarnation;
  announce.seq = ++agent->seq;
  announce.sent_us = world->now_us;
  announce.data_centre = empty;
  announce.capacity = &capacity;
  announce.n_shards = agent->epoch != 0 ? 1 : 0;
  announce.shards = epochs;
  announce.n_tasks = pointers.size ();
  announce.tasks = pointers.data ();
  use (&announce);
}

void
announce (World *world, int agent)
{
  with_announce (world, agent, [&] (const Wire__Announce *message) {
    std::vector<uint8_t> data (wire__announce__get_packed_size (message));
    wire__announce__pack (message, data.data ());
    for (int to = 0; to < kEntries; to++)
      world->messages.push_back ({ Message::kAnnounce, agent, to, 0, 0, world->now_us, 0, data });
  });
}

/* An acknowledged outcome is on the log, so the agent drops it. */
void
acknowledge (World *world, int index, uint32_t task, uint32_t attempt)
{
  auto &runs = world->agents[index].runs[task];

  for (size_t i = runs.size (); i > 0; i--)
    {
      if (runs[i - 1].attempt != attempt || runs[i - 1].state == WIRE__TASK_STATE__TASK_RUNNING)
        continue;
      runs.erase (runs.begin () + (long) i - 1);
    }
}

void
stop_tasks (Agent *agent, uint32_t task)
{
  for (Run &run : agent->runs[task])
    {
      if (run.state == WIRE__TASK_STATE__TASK_RUNNING)
        run.state = WIRE__TASK_STATE__TASK_STOPPED;
    }
}

void
deliver_digest (World *world, const Message &message)
{
  Entry *entry = &world->entries[message.to];
  Wire__Digest digest = WIRE__DIGEST__INIT;

  digest.entry = const_cast<char *> (kNames[message.from]);
  digest.incarnation = message.incarnation;
  digest.seq = message.epoch;
  digest.log_age_ms = message.value_us;
  digest.log_offset = message.extra;
  members_digest (entry->members, &digest, entry_clock_us (entry));
}

void
deliver_consent_request (World *world, const Message &message)
{
  Entry *entry = &world->entries[message.to];
  Wire__ConsentRequest request = WIRE__CONSENT_REQUEST__INIT;

  request.entry = const_cast<char *> (kNames[message.from]);
  request.incarnation = message.incarnation;
  request.epoch = message.epoch;
  int64_t hold_us
      = owner_consent_requested (entry->owner, entry->fold, &request, entry_clock_us (entry));
  world->messages.push_back ({ Message::kConsent,
                               message.to,
                               message.from,
                               entry->incarnation,
                               message.epoch,
                               message.value_us,
                               hold_us,
                               {} });
}

void
deliver_consent (World *world, const Message &message)
{
  Entry *entry = &world->entries[message.to];
  Wire__Consent consent = WIRE__CONSENT__INIT;

  consent.entry = const_cast<char *> (kNames[message.from]);
  consent.incarnation = message.incarnation;
  consent.epoch = message.epoch;
  consent.sent_us = message.value_us;
  consent.hold_ms = message.extra / CLK_US_PER_MS;
  owner_consent_received (entry->owner, entry->fold, &consent);
}

void
deliver_announce (World *world, const Message &message)
{
  Entry *entry = &world->entries[message.to];
  Wire__Announce *announce
      = wire__announce__unpack (nullptr, message.data.size (), message.data.data ());

  if (members_announce (entry->members, announce, entry_clock_us (entry)) != MEMBERS_STALE
      && entry->shard != nullptr)
    {
      const MembersAgent *agent = members_agent (entry->members, announce->agent, 0);
      bool granted = may_renew (entry) && shard_may_grant (entry->shard, agent);
      shard_announce (entry->shard, entry->fold, agent, announce, granted, entry_clock_us (entry));
      if (granted)
        world->messages.push_back ({ Message::kLease,
                                     message.to,
                                     message.from,
                                     entry->incarnation,
                                     shard_epoch (entry->shard),
                                     message.value_us,
                                     0,
                                     {} });
      /* Outcomes on the log are acknowledged. */
      for (size_t i = 0; i < announce->n_tasks; i++)
        {
          const Wire__TaskStatus *status = announce->tasks[i];
          if (reports_may_ack (shard_reports (entry->shard), status))
            acknowledge (world, message.from, status->index, status->attempt);
        }
    }
  wire__announce__free_unpacked (announce, nullptr);
}

/* Rules of an agent: lower epochs are refused; a lease starts when the heartbeat was sent. */
void
deliver_lease (World *world, const Message &message)
{
  Agent *agent = &world->agents[message.to];

  if (message.epoch < agent->epoch)
    return;
  if (message.epoch > agent->epoch)
    agent->lease_end_us = 0;
  agent->epoch = message.epoch;
  agent->lease_end_us = std::max (agent->lease_end_us, message.value_us + kLeaseUs);
}

/* Asserts the main invariant: a task never runs on two agents at once. */
void
start_task (World *world, Agent *agent, const Wire__TaskCommand *command)
{
  for (const Run &run : agent->runs[command->index])
    {
      if (run.attempt >= command->attempt)
        return;
    }
  for (const Agent &other : world->agents)
    {
      auto found = other.runs.find (command->index);
      for (size_t i = 0; found != other.runs.end () && i < found->second.size (); i++)
        RC_ASSERT (found->second[i].state != WIRE__TASK_STATE__TASK_RUNNING);
    }
  agent->runs[command->index].push_back ({ command->attempt, WIRE__TASK_STATE__TASK_RUNNING });
  world->starts++;
}

void
deliver_command (World *world, const Message &message)
{
  Agent *agent = &world->agents[message.to];
  Wire__TaskCommand *command
      = wire__task_command__unpack (nullptr, message.data.size (), message.data.data ());

  if (command->epoch == agent->epoch && world->now_us < agent->lease_end_us)
    {
      if (command->verb == WIRE__TASK_VERB__VERB_START)
        start_task (world, agent, command);
      else if (command->verb != WIRE__TASK_VERB__VERB_THROTTLE)
        stop_tasks (agent, command->index);
    }
  wire__task_command__free_unpacked (command, nullptr);
}

bool
is_cut (const World *world, const Message &message)
{
  if (message.kind == Message::kAnnounce)
    return world->cut_agents[message.to][message.from];
  if (message.kind == Message::kLease || message.kind == Message::kCommand)
    return world->cut_agents[message.from][message.to];
  return world->cut_entries[message.from][message.to];
}

/* FALSE: the receiver is paused, and the message stays queued. */
bool
deliver (World *world, size_t place)
{
  Message message = world->messages[place];
  bool to_entry = message.kind != Message::kLease && message.kind != Message::kCommand;

  if (to_entry && world->entries[message.to].paused_until_us > world->now_us)
    return false;
  world->messages.erase (world->messages.begin () + (long) place);
  if (is_cut (world, message))
    return true;
  switch (message.kind)
    {
    case Message::kDigest:
      deliver_digest (world, message);
      break;
    case Message::kConsentRequest:
      deliver_consent_request (world, message);
      break;
    case Message::kConsent:
      deliver_consent (world, message);
      break;
    case Message::kAnnounce:
      deliver_announce (world, message);
      break;
    case Message::kLease:
      deliver_lease (world, message);
      break;
    default:
      deliver_command (world, message);
      break;
    }
  return true;
}

/* Advances the time; tasks stop when the lease of their agent expires. */
void
advance (World *world, int64_t step_us)
{
  world->now_us += step_us;
  for (Agent &agent : world->agents)
    {
      for (uint32_t task = 0; task < kTasks && world->now_us >= agent.lease_end_us; task++)
        stop_tasks (&agent, task);
    }
}

/* Ends the running attempts of a task at an agent as done or failed. */
void
end_task (World *world, uint32_t choice)
{
  for (Run &run : world->agents[choice % kAgents].runs[choice / 4 % kTasks])
    {
      if (run.state != WIRE__TASK_STATE__TASK_RUNNING)
        continue;
      run.state
          = choice / 16 % 2 == 0 ? WIRE__TASK_STATE__TASK_DONE : WIRE__TASK_STATE__TASK_FAILED;
      world->ends++;
    }
}

void
complete_appends (World *world)
{
  for (auto &data : world->appends)
    world->log.rows.push_back ({ data, world->now_us / CLK_US_PER_MS });
  world->appends.clear ();
}

void
tick_all (World *world)
{
  for (Entry &entry : world->entries)
    {
      if (entry.paused_until_us > world->now_us)
        continue;
      read_log (&entry);
      tick_entry (&entry);
    }
  for (int i = 0; i < kAgents; i++)
    announce (world, i);
}

/* Cuts or restores one direction between entries, or the connection of an entry to agents. */
void
change_cut (World *world, uint32_t choice)
{
  uint32_t from = choice % kEntries;
  uint32_t kind = choice / 4 % 4;

  for (int to = 0; kind == 0 && to < kEntries; to++)
    world->cut_entries[from][to] = choice / 16 % 2 == 0;
  for (int to = 0; kind == 1 && to < kAgents; to++)
    world->cut_agents[from][to] = choice / 16 % 2 == 0;
  if (kind == 2)
    world->cut_entries[from][choice / 16 % kEntries] ^= true;
  if (kind == 3)
    world->cut_agents[from][choice / 16 % kAgents] ^= true;
}

bool
is_same_pair (const Message &a, const Message &b)
{
  bool a_from_agent = a.kind == Message::kAnnounce;
  bool b_from_agent = b.kind == Message::kAnnounce;
  bool a_to_agent = a.kind == Message::kLease || a.kind == Message::kCommand;
  bool b_to_agent = b.kind == Message::kLease || b.kind == Message::kCommand;

  return a.from == b.from && a.to == b.to && a_from_agent == b_from_agent
         && a_to_agent == b_to_agent;
}

/* Messages between the same two processes stay in order; all others may be reordered. */
void
deliver_any (World *world, uint32_t choice)
{
  size_t place = choice % world->messages.size ();

  for (size_t i = 0; i < place; i++)
    {
      if (is_same_pair (world->messages[i], world->messages[place]))
        place = i;
    }
  deliver (world, place);
}

void
deliver_all (World *world)
{
  size_t kept = 0;

  for (size_t budget = 500; budget > 0 && kept < world->messages.size (); budget--)
    {
      if (!deliver (world, kept))
        kept++;
    }
}

/* Ticks after which all messages that can be delivered are delivered. */
void
run_ticks (World *world, uint32_t ticks)
{
  for (uint32_t i = 0; i < ticks; i++)
    {
      tick_all (world);
      deliver_all (world);
      complete_appends (world);
      advance (world, kTickUs);
    }
}

/* A tick after which only a few messages are delivered, reordered between pairs of processes. */
void
run_reordered_tick (World *world, uint32_t choice)
{
  tick_all (world);
  complete_appends (world);
  advance (world, kTickUs);
  for (uint32_t i = 0; i < choice % 16 && !world->messages.empty (); i++)
    deliver_any (world, choice / 16 + i * 7);
}

void
step (World *world, uint32_t word)
{
  uint32_t choice = word >> 8;
  Entry *entry = &world->entries[choice % kEntries];

  switch (word % 16)
    {
    case 0:
    case 1:
    case 2:
    case 3:
      run_ticks (world, 1 + choice % 6);
      break;
    case 4:
    case 5:
      run_reordered_tick (world, choice);
      break;
    case 6:
      advance (world, kTickUs * (choice % 8));
      break;
    case 7:
      entry->paused_until_us = world->now_us + kTickUs * (choice / 4 % 32);
      break;
    case 8:
    case 9:
      entry->reads_log = !entry->reads_log;
      break;
    case 10:
      for (Entry &each : world->entries)
        each.reads_log = choice % 2 == 0;
      break;
    case 11:
      if (choice / 4 % 2 == 0)
        restart_entry (world, entry->index);
      break;
    case 12:
    case 13:
      change_cut (world, choice);
      break;
    case 14:
      end_task (world, choice);
      break;
    default:
      if (choice / 4 % 2 == 0)
        entry->offset_us += ((int64_t) (choice / 8 % 3) - 1) * kDriftUs / 64;
      else
        world->messages.resize (world->messages.size () / 2);
      break;
    }
  /* At any time at most one owner has completed its takeover and may let agents start tasks. */
  int commanding = 0;
  for (Entry &each : world->entries)
    commanding += each.is_settled && may_renew (&each);
  RC_ASSERT (commanding <= 1);
}

/* Starts the simulation with one run of a job on the log. */
void
start_world (World *world)
{
  const char *text = "[job.render]\ntasks = 2\ncpu_milli = 1000\nmax_failures = 1000\n";
  Record__Record record = RECORD__RECORD__INIT;
  Record__Job job = RECORD__JOB__INIT;
  std::string name = "render";

  world->document = doc_parse (text, strlen (text), "test", nullptr);
  char *definition = jobs_definition (doc_job (world->document, "render"));
  job.job = kJob;
  job.name = const_cast<char *> (name.c_str ());
  job.submitter = job.name;
  job.tasks = kTasks;
  job.submitted_ms = 1;
  job.definition = { strlen (definition), (uint8_t *) definition };
  record.body_case = RECORD__RECORD__BODY_JOB;
  record.job = &job;
  for (int i = 0; i < kEntries; i++)
    start_entry (world, i);
  append (&world->entries[0], &record);
  g_free (definition);
}

void
stop_world (World *world)
{
  for (Entry &entry : world->entries)
    stop_entry (&entry);
  doc_free (world->document);
}

void
run_schedule (const std::vector<uint32_t> &words)
{
  World world;

  start_world (&world);
  for (uint32_t word : words)
    step (&world, word);
  stop_world (&world);
}

/* Without other faults one entry stays owner, and tasks keep running, during a log outage of 1 h.
 */
void
outage_keeps_owner ()
{
  World world;
  int owners = 0;

  world.outage_us = 2 * kOutageTicks * kTickUs;
  start_world (&world);
  for (int i = 0; i < kOutageTicks + 2 * kNormalTicks; i++)
    {
      for (Entry &entry : world.entries)
        entry.reads_log = i < kNormalTicks || i > kNormalTicks + kOutageTicks;
      tick_all (&world);
      complete_appends (&world);
      while (!world.messages.empty ())
        deliver (&world, 0);
      advance (&world, kTickUs);
      for (const Agent &agent : world.agents)
        RC_ASSERT (i < kNormalTicks || world.now_us < agent.lease_end_us);
    }
  for (const Entry &entry : world.entries)
    owners += entry.shard != nullptr;
  RC_ASSERT (owners == 1);
  RC_ASSERT (world.gained == 1);
  RC_ASSERT (world.starts == (int) kTasks);
  stop_world (&world);
}

} // namespace

int
main ()
{
  props::set_runs (10000);
  bool ok
      = rc::check ("a task never runs on two agents", [] { run_schedule (props::schedule (60)); });
  ok = rc::check ("an outage of the log takes no lease",
                  [] {
                    static bool is_done = false;
                    if (!is_done)
                      outage_keeps_owner ();
                    is_done = true;
                  })
       && ok;
  return ok ? 0 : 1;
}
