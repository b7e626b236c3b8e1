/* At-most-once requests under random schedules: several entries share one log, agents crash,
 * answers are late, duplicated, corrupt or lost, and results of appends are lost. */
#include <map>
#include <memory>
#include <set>

#include "common/clk.h"
#include "entry/once.h"
#include "entry/props.h"

namespace
{

constexpr int kEntries = 2;
constexpr int kAgents = 2;
constexpr int kKeys = 2;
constexpr int64_t kStepUs = 20 * CLK_US_PER_MS;
constexpr int64_t kTimeoutUs = 1000 * CLK_US_PER_MS;

struct World;

/* A caller that waits for the answer to its request. */
struct Waiter
{
  int entry = 0;
  std::string key;
  std::string body;
  int64_t deadline_us = 0;
  int answers = 0;
  bool is_gone = false; /* the entry was restarted: no answer follows */
};

struct Attempt
{
  enum State
  {
    kRunning,
    kRan,
    kFenced
  } state
      = kFenced;
  std::string answer;
  std::string tenant;
  IdsId id = {};
  uint32_t attempt = 0;
  int entry = 0;
};

struct Agent
{
  uint64_t incarnation = 1;
  bool is_alive = true;
  std::map<std::string, Attempt> attempts; /* by request id */
};

/* An entry's view of an agent, from the newest received heartbeat. */
struct AgentView
{
  uint64_t incarnation = 1;
  bool is_alive = true;
};

/* A message in transit; data is a packed protobuf. */
struct Message
{
  enum Kind
  {
    kRequest,
    kResponse,
    kQuery,
    kReply
  } kind;
  int entry;
  int agent;
  uint64_t entry_run; /* run of the entry that takes part in the exchange */
  uint64_t incarnation;
  std::vector<uint8_t> data;
};

struct Append
{
  int entry;
  uint64_t entry_run;
  IdsId id;
  std::vector<uint8_t> data;
};

struct Entry
{
  World *world = nullptr;
  int index = 0;
  uint64_t run = 1;
  Fold *fold = nullptr;
  Once *once = nullptr;
  AgentView agent_views[kAgents];
  std::map<std::string, std::set<std::string> > attempted; /* key -> request ids of own intents */
};

std::string
id_text (IdsId id)
{
  char text[IDS_TEXT_SIZE];

  return ids_print (id, text);
}

struct World
{
  int64_t now_us = CLK_US_PER_S;
  bool log_up = true;
  props::Log log;
  Entry entries[kEntries];
  Agent agents[kAgents];
  std::vector<std::unique_ptr<Waiter> > waiters;
  std::vector<Message> messages;
  std::vector<Append> appends;
  std::map<std::string, int> runs; /* tenant and key -> executions */
  std::set<std::string> executed;  /* request ids */
  std::set<std::string> never;     /* request ids that were answered as not run */
  uint32_t pick = 0;
};

constexpr const char *kTenants[] = { "norte", "sur" };

void
add_to_log (World *world, const Append &append, bool is_logged)
{
  if (is_logged)
    world->log.rows.push_back ({ append.data, world->now_us / CLK_US_PER_MS });
}

gboolean
op_pick (void *ctx,
         const char *,
         const char *const *,
         uint32_t,
         int64_t budget_us,
         const char **agent,
         uint64_t *incarnation,
         int64_t *,
         ErrKind *kind)
{
  auto *entry = static_cast<Entry *> (ctx);
  static const char *const names[] = { "0", "1" };
  int chosen = (int) (entry->world->pick++ % kAgents);

  *kind = budget_us <= 0 ? ERR_DEADLINE : ERR_NO_ENDPOINT;
  if (budget_us <= 0 || !entry->agent_views[chosen].is_alive)
    return FALSE;
  *agent = names[chosen];
  *incarnation = entry->agent_views[chosen].incarnation;
  return TRUE;
}

gboolean
op_append (void *ctx, const Record__Record *record, gboolean wait, IdsId *id)
{
  auto *entry = static_cast<Entry *> (ctx);
  Append append = { entry->index, entry->run, {}, {} };

  if (!entry->world->log_up && !wait)
    return FALSE;
  append.id = props::pack (record, "entry", &append.data);
  *id = append.id;
  if (record->body_case == RECORD__RECORD__BODY_INTENT)
    {
      const Record__Intent *intent = record->intent;
      std::string key = std::string (intent->tenant) + "/" + intent->key;
      entry->attempted[key].insert (id_text ({ intent->request_high, intent->request_low }));
    }
  entry->world->appends.push_back (append);
  return TRUE;
}

template <typename Pack>
std::vector<uint8_t>
packed (size_t size, Pack pack)
{
  std::vector<uint8_t> data (size);
  pack (data.data ());
  return data;
}

gboolean
op_send (void *ctx, const OnceSend *send)
{
  auto *entry = static_cast<Entry *> (ctx);
  Wire__Request request = WIRE__REQUEST__INIT;
  gsize size = 0;
  const void *body = g_bytes_get_data (send->body, &size);

  request.id_high = send->request.high;
  request.id_low = send->request.low;
  request.attempt = send->attempt;
  request.tenant = const_cast<char *> (send->tenant);
  request.key = const_cast<char *> (send->key);
  request.service = const_cast<char *> (send->service);
  request.path = const_cast<char *> (send->path);
  request.content_type = const_cast<char *> (send->content_type);
  request.body = { size, (uint8_t *) body };
  auto data = packed (wire__request__get_packed_size (&request),
                      [&] (uint8_t *out) { wire__request__pack (&request, out); });
  entry->world->messages.push_back ({ Message::kRequest, entry->index, atoi (send->agent),
                                      entry->run, send->agent_incarnation, data });
  return TRUE;
}

void
op_query (void *ctx,
          const char *agent,
          uint64_t incarnation,
          const char *tenant,
          const char *key,
          uint32_t attempt,
          IdsId request,
          int64_t)
{
  auto *entry = static_cast<Entry *> (ctx);
  Wire__AttemptQuery query = WIRE__ATTEMPT_QUERY__INIT;

  query.tenant = const_cast<char *> (tenant);
  query.key = const_cast<char *> (key);
  query.attempt = attempt;
  query.id_high = request.high;
  query.id_low = request.low;
  auto data = packed (wire__attempt_query__get_packed_size (&query),
                      [&] (uint8_t *out) { wire__attempt_query__pack (&query, out); });
  entry->world->messages.push_back (
      { Message::kQuery, entry->index, atoi (agent), entry->run, incarnation, data });
}

gboolean
op_is_alive (void *ctx, const char *agent, uint64_t incarnation)
{
  const AgentView &row = static_cast<Entry *> (ctx)->agent_views[atoi (agent)];

  return row.is_alive && row.incarnation == incarnation;
}

gboolean
op_log_is_up (void *ctx)
{
  return static_cast<Entry *> (ctx)->world->log_up;
}

gboolean
op_may_retry (void *, ErrKind)
{
  return TRUE;
}

void
op_ended (void *, const char *, uint64_t, const char *, RouteEnd)
{
}

/* The endpoint's answer to a request with this tenant, key and body. */
std::string
answer_of (const std::string &key, const std::string &body)
{
  return key + ":" + body;
}

void
check_not_run (Entry *entry, const Waiter &waiter)
{
  for (const std::string &id : entry->attempted[waiter.key])
    {
      RC_ASSERT (entry->world->executed.count (id) == 0U);
      entry->world->never.insert (id);
    }
}

void
op_answer (void *ctx, void *data, const OnceAnswer *answer)
{
  auto *entry = static_cast<Entry *> (ctx);
  auto *waiter = static_cast<Waiter *> (data);

  waiter->answers++;
  RC_ASSERT (waiter->answers == 1);
  RC_ASSERT (!waiter->is_gone);
  if (answer->is_answer)
    {
      gsize size = 0;
      const char *text = (const char *) g_bytes_get_data (answer->body, &size);
      RC_ASSERT (std::string (text, size) == answer_of (waiter->key, waiter->body));
      RC_ASSERT (entry->world->runs[waiter->key] == 1);
    }
  else if (answer->ran == ERR_RAN_YES)
    RC_ASSERT (entry->world->runs[waiter->key] == 1);
  else if (answer->ran == ERR_RAN_NO && answer->kind != ERR_KEY_REUSED
           && answer->kind != ERR_KEY_EXPIRED)
    check_not_run (entry, *waiter);
}

void
start_entry (World *world, int index)
{
  Entry *entry = &world->entries[index];
  OnceOptions options = { 100 * CLK_US_PER_MS, 100 * CLK_US_PER_MS, 64, 100 };
  OnceOps ops = { op_pick,      op_append,    op_send,  op_query,  op_is_alive,
                  op_log_is_up, op_may_retry, op_ended, op_answer, entry };

  entry->world = world;
  entry->index = index;
  entry->fold = props::new_fold ();
  entry->once = once_new (&options, &ops);
  entry->attempted.clear ();
}

void
stop_entry (Entry *entry)
{
  once_free (entry->once);
  fold_free (entry->fold);
}

void
restart_entry (World *world, int index)
{
  Entry *entry = &world->entries[index];

  for (auto &waiter : world->waiters)
    {
      if (waiter->entry == index && waiter->answers == 0)
        waiter->is_gone = true;
    }
  stop_entry (entry);
  entry->run++;
  start_entry (world, index);
  props::read (world->log, entry->fold, SIZE_MAX);
}

void
begin (World *world, uint32_t choice)
{
  auto waiter = std::make_unique<Waiter> ();
  int index = (int) (choice % kEntries);
  const char *tenant = kTenants[choice / 2 % 2];
  std::string key = "k" + std::to_string (choice / 4 % kKeys);
  OnceRequest ask = {};

  waiter->entry = index;
  waiter->key = std::string (tenant) + "/" + key;
  waiter->body = choice / 8 % 8 == 7 ? "other" : "body";
  waiter->deadline_us = world->now_us + kTimeoutUs / (choice / 64 % 2 + 1);
  GBytes *body = g_bytes_new (waiter->body.data (), waiter->body.size ());
  ask.request = ids_new ();
  ask.tenant = tenant;
  ask.key = key.c_str ();
  ask.service = "post";
  ask.path = "/credit";
  ask.content_type = "";
  ask.body = body;
  ask.dated_ms = world->now_us / CLK_US_PER_MS;
  ask.deadline_us = waiter->deadline_us;
  ask.waiter = waiter.get ();
  world->waiters.push_back (std::move (waiter));
  once_begin (world->entries[index].once, world->entries[index].fold, &ask, world->now_us);
  g_bytes_unref (body);
}

std::vector<uint8_t>
pack_response (const Attempt &attempt, const char *kind, uint32_t ran, const std::string &body)
{
  Wire__Response response = WIRE__RESPONSE__INIT;

  response.id_high = attempt.id.high;
  response.id_low = attempt.id.low;
  response.attempt = attempt.attempt;
  response.tenant = const_cast<char *> (attempt.tenant.c_str ());
  response.kind = const_cast<char *> (kind);
  response.ran = ran;
  response.status = 200;
  response.body = { body.size (), (uint8_t *) body.data () };
  response.length = body.size ();
  response.body_digest = ids_hash (body.data (), body.size ());
  return packed (wire__response__get_packed_size (&response),
                 [&] (uint8_t *out) { wire__response__pack (&response, out); });
}

void
respond (World *world, const Message &to, const Attempt &attempt, const char *kind, uint32_t ran)
{
  world->messages.push_back ({ Message::kResponse, to.entry, to.agent, to.entry_run, to.incarnation,
                               pack_response (attempt, kind, ran, attempt.answer) });
}

/* Rules of an agent: an attempt starts at most once, and never after it was fenced. */
void
deliver_request (World *world, const Message &message, bool refuse)
{
  Agent &agent = world->agents[message.agent];
  Wire__Request *request
      = wire__request__unpack (nullptr, message.data.size (), message.data.data ());
  IdsId id = { request->id_high, request->id_low };
  std::string key = std::string (request->tenant) + "/" + request->key;
  auto found = agent.attempts.find (id_text (id));

  if (found == agent.attempts.end ())
    {
      Attempt attempt;
      attempt.tenant = request->tenant;
      attempt.id = id;
      attempt.attempt = request->attempt;
      attempt.state = refuse ? Attempt::kFenced : Attempt::kRunning;
      attempt.answer
          = answer_of (key, std::string ((const char *) request->body.data, request->body.len));
      attempt.entry = message.entry;
      if (!refuse)
        {
          world->runs[key]++;
          RC_ASSERT (world->runs[key] == 1);
          RC_ASSERT (world->never.count (id_text (id)) == 0U);
          world->executed.insert (id_text (id));
        }
      found = agent.attempts.emplace (id_text (id), attempt).first;
    }
  if (found->second.state == Attempt::kFenced)
    {
      Attempt refused = found->second;
      refused.answer.clear ();
      respond (world, message, refused, "all_busy", ERR_RAN_NO);
    }
  else
    {
      found->second.state = Attempt::kRan;
      respond (world, message, found->second, "", ERR_RAN_YES);
    }
  wire__request__free_unpacked (request, nullptr);
}

void
deliver_query (World *world, const Message &message)
{
  Agent &agent = world->agents[message.agent];
  Wire__AttemptQuery *query
      = wire__attempt_query__unpack (nullptr, message.data.size (), message.data.data ());
  Wire__AttemptReply reply = WIRE__ATTEMPT_REPLY__INIT;
  IdsId id = { query->id_high, query->id_low };

  reply.tenant = query->tenant;
  reply.key = query->key;
  reply.attempt = query->attempt;
  reply.id_high = query->id_high;
  reply.id_low = query->id_low;
  Wire__Response *response = nullptr;
  if (message.incarnation != agent.incarnation)
    reply.state = WIRE__ATTEMPT_STATE__ATTEMPT_UNKNOWN;
  else
    {
      auto &attempt = agent.attempts[id_text (id)];
      attempt.id = id;
      attempt.attempt = query->attempt;
      attempt.tenant = query->tenant;
      reply.state = attempt.state == Attempt::kRan      ? WIRE__ATTEMPT_STATE__ATTEMPT_RAN
                    : attempt.state == Attempt::kFenced ? WIRE__ATTEMPT_STATE__ATTEMPT_FENCED
                                                        : WIRE__ATTEMPT_STATE__ATTEMPT_RUNNING;
      if (attempt.state == Attempt::kRan)
        {
          auto bytes = pack_response (attempt, "", ERR_RAN_YES, attempt.answer);
          response = wire__response__unpack (nullptr, bytes.size (), bytes.data ());
          reply.response = response;
        }
    }
  auto data = packed (wire__attempt_reply__get_packed_size (&reply),
                      [&] (uint8_t *out) { wire__attempt_reply__pack (&reply, out); });
  world->messages.push_back ({ Message::kReply, message.entry, message.agent, message.entry_run,
                               message.incarnation, data });
  if (response != nullptr)
    wire__response__free_unpacked (response, nullptr);
  wire__attempt_query__free_unpacked (query, nullptr);
}

/* Fault injected into a delivery. */
enum Fault
{
  kWhole,
  kRefused,
  kCorrupt,
  kWrongAgent,
  kWrongTenant,
  kFaults
};

void
deliver_response (World *world, const Message &message, Fault fault)
{
  Entry *entry = &world->entries[message.entry];
  Wire__Response *response
      = wire__response__unpack (nullptr, message.data.size (), message.data.data ());
  int from = fault == kWrongAgent ? 1 - message.agent : message.agent;
  CallsVerdict verdict = CALLS_MATCH;
  char other_tenant[] = "este";
  char *tenant = response->tenant;

  if (fault == kCorrupt && response->body.len > 0)
    response->body.data[0] ^= 0x20;
  if (fault == kWrongTenant)
    response->tenant = other_tenant;
  bool taken = once_response (entry->once, std::to_string (from).c_str (), response, &verdict);
  RC_ASSERT (taken == (verdict == CALLS_MATCH));
  RC_ASSERT (!taken || fault == kWhole || fault == kRefused
             || (fault == kCorrupt && response->body.len == 0));
  response->tenant = tenant;
  wire__response__free_unpacked (response, nullptr);
}

void
deliver_reply (World *world, const Message &message)
{
  Entry *entry = &world->entries[message.entry];
  Wire__AttemptReply *reply
      = wire__attempt_reply__unpack (nullptr, message.data.size (), message.data.data ());

  once_reply (entry->once, std::to_string (message.agent).c_str (), reply, world->now_us);
  wire__attempt_reply__free_unpacked (reply, nullptr);
}

void
deliver (World *world, uint32_t choice, Fault fault, bool keep)
{
  if (world->messages.empty ())
    return;
  size_t place = choice % world->messages.size ();
  Message message = world->messages[place];
  if (!keep)
    world->messages.erase (world->messages.begin () + (long) place);
  const Agent &agent = world->agents[message.agent];
  bool to_agent = message.kind == Message::kRequest || message.kind == Message::kQuery;
  if (to_agent
      && (!agent.is_alive
          || (message.kind == Message::kRequest && message.incarnation != agent.incarnation)))
    return;
  if (!to_agent && message.entry_run != world->entries[message.entry].run)
    return;
  if (message.kind == Message::kRequest)
    deliver_request (world, message, fault == kRefused);
  else if (message.kind == Message::kQuery)
    deliver_query (world, message);
  else if (message.kind == Message::kResponse)
    deliver_response (world, message, fault);
  else
    deliver_reply (world, message);
}

/* Completes the oldest append: it succeeds, certainly fails, or its result is lost and its writer
 * appends a fence. In the last case the record may be on the log before the fence, or after it. */
void
complete_append (World *world, uint32_t choice)
{
  if (world->appends.empty ())
    return;
  Append append = world->appends.front ();
  Entry *entry = &world->entries[append.entry];
  bool is_same_run = entry->run == append.entry_run;
  uint32_t result = world->log_up ? choice % 8 : 5 + choice % 3;

  world->appends.erase (world->appends.begin ());
  add_to_log (world, append, result < 5 || result == 6);
  if (result < 5 || !is_same_run)
    return;
  if (result == 5)
    {
      once_not_appended (entry->once, append.id);
      return;
    }
  Record__Record record = RECORD__RECORD__INIT;
  Record__Fence fence = RECORD__FENCE__INIT;
  Append fencing = { append.entry, append.entry_run, {}, {} };
  fence.id_high = append.id.high;
  fence.id_low = append.id.low;
  record.body_case = RECORD__RECORD__BODY_FENCE;
  record.fence = &fence;
  fencing.id = props::pack (&record, "entry", &fencing.data);
  add_to_log (world, fencing, true);
  once_in_doubt (entry->once, append.id);
  /* The record reaches the log after its fence. */
  if (result == 7)
    add_to_log (world, append, true);
}

void
update_agent_views (World *world)
{
  for (Entry &entry : world->entries)
    {
      for (int i = 0; i < kAgents; i++)
        entry.agent_views[i] = { world->agents[i].incarnation, world->agents[i].is_alive };
    }
}

/* Stops or restarts an agent, which loses its state. */
void
kill_agent (World *world, uint32_t choice)
{
  Agent &agent = world->agents[choice % kAgents];
  bool at_once = choice / 2 % 2 == 0;

  agent.is_alive = at_once || !agent.is_alive;
  if (!agent.is_alive)
    return;
  agent.incarnation++;
  agent.attempts.clear ();
}

void
tick (World *world)
{
  for (Entry &entry : world->entries)
    once_tick (entry.once, world->now_us);
  for (const auto &waiter : world->waiters)
    RC_ASSERT (waiter->is_gone || waiter->answers == 1 || waiter->deadline_us > world->now_us);
}

void
step (World *world, uint32_t word)
{
  uint32_t choice = word >> 8;

  world->now_us += kStepUs / 4;
  switch (word % 16)
    {
    case 0:
    case 1:
      begin (world, choice);
      break;
    case 2:
    case 3:
    case 4:
      deliver (world, choice, (Fault) (choice / 16 % kFaults), choice / 128 % 8 == 0);
      break;
    case 5:
    case 6:
    case 7:
      complete_append (world, choice);
      break;
    case 8:
    case 9:
    case 10:
      {
        Entry *entry = &world->entries[choice % kEntries];
        if (!world->log_up)
          break;
        props::read (world->log, entry->fold, choice / 2 % 4 + 1);
        once_folded (entry->once, entry->fold, world->now_us);
        break;
      }
    case 11:
    case 12:
      world->now_us += kStepUs * (choice % 8);
      if (choice / 8 % 2 == 0)
        update_agent_views (world);
      tick (world);
      break;
    case 13:
      if (choice % 2 == 0)
        kill_agent (world, choice / 2);
      break;
    case 14:
      if (choice % 4 == 0)
        world->log_up = !world->log_up;
      break;
    default:
      if (choice % 8 == 0)
        restart_entry (world, (int) (choice / 8 % kEntries));
      break;
    }
}

/* Advances the time without further events: each waiter must have its answer by its deadline. */
void
finish_world (World *world)
{
  world->now_us += 2 * kTimeoutUs;
  tick (world);
  for (const auto &waiter : world->waiters)
    RC_ASSERT (waiter->is_gone || waiter->answers == 1);
  for (Entry &entry : world->entries)
    stop_entry (&entry);
}

void
run_schedule (const std::vector<uint32_t> &words)
{
  World world;

  for (int i = 0; i < kEntries; i++)
    start_entry (&world, i);
  for (uint32_t word : words)
    step (&world, word);
  finish_world (&world);
}

} // namespace

int
main ()
{
  props::set_runs (10000);
  bool ok = rc::check ("a key runs at most once; each caller has one true answer in time",
                       [] { run_schedule (props::schedule (200)); });
  return ok ? 0 : 1;
}
