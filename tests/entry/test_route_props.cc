/* Routing, matching of answers and the retry budget under random operations. */
#include <set>
#include <string>

#include "common/clk.h"
#include "entry/budget.h"
#include "entry/calls.h"
#include "entry/props.h"
#include "entry/route.h"

namespace
{

constexpr int kAgents = 6;
constexpr uint32_t kConnections = 4;
constexpr int64_t kTimeoutUs = CLK_US_PER_S;

/* Delivers a heartbeat of agent @p index; the bits of @p word determine its state. */
void
announce (Members *members, int index, uint32_t word, uint64_t seq, int64_t now_us)
{
  std::string name = "a" + std::to_string (index);
  char near[] = "norte";
  char far[] = "sur";
  char service[] = "mix";
  Wire__Announce message = WIRE__ANNOUNCE__INIT;
  Wire__ServiceStatus status = WIRE__SERVICE_STATUS__INIT;
  Wire__ServiceStatus *services[] = { &status };

  message.agent = const_cast<char *> (name.c_str ());
  message.incarnation = 1 + word / 64 % 2;
  message.seq = seq;
  message.data_centre = index % 2 == 0 ? near : far;
  message.leaving = word % 8 == 0;
  status.service = service;
  status.slots = 2;
  status.connections = kConnections;
  status.running = word / 8 % 3;
  status.healthy = word / 16 % 4 != 0;
  status.p50_us = word / 128 % 2000;
  message.n_services = word / 32 % 8 == 0 ? 0 : 1;
  message.services = services;
  members_announce (members, &message, now_us);
}

/* Checks the invariants of a choice, and that free slots in the same data centre come first. */
void
check_choice (const Members *members,
              const RouteRequest *ask,
              const RouteChoice &choice,
              int64_t now_us)
{
  const MembersEndpoint *chosen = choice.endpoint;
  bool has_near_slot = false;

  for (guint i = 0; i < members_agents (members)->len; i++)
    {
      auto *agent = static_cast<MembersAgent *> (g_ptr_array_index (members_agents (members), i));
      const MembersEndpoint *endpoint = members_endpoint (agent, "mix");
      has_near_slot = has_near_slot
                      || (endpoint != nullptr && endpoint->is_listed && endpoint->healthy
                          && !agent->leaving && now_us - agent->last_received_us < kTimeoutUs
                          && now_us >= endpoint->avoid_until_us
                          && g_strcmp0 (agent->data_centre, ask->data_centre) == 0
                          && route_load (endpoint) < endpoint->slots);
    }
  if (chosen == nullptr)
    {
      RC_ASSERT (!has_near_slot || choice.kind == ERR_DEADLINE);
      RC_ASSERT (choice.retry_after_ms > 0);
      return;
    }
  RC_ASSERT (chosen->is_listed && chosen->healthy && !chosen->agent->leaving);
  RC_ASSERT (now_us - chosen->agent->last_received_us < kTimeoutUs);
  RC_ASSERT (now_us >= chosen->avoid_until_us);
  RC_ASSERT (route_load (chosen) < chosen->connections);
  RC_ASSERT (!has_near_slot
             || (g_strcmp0 (chosen->agent->data_centre, ask->data_centre) == 0
                 && route_load (chosen) < chosen->slots));
}

struct Sent
{
  std::string agent;
  uint64_t incarnation;
};

void
run_routes (const std::vector<uint32_t> &words)
{
  Members *members = members_new (kTimeoutUs);
  GRand *rand = g_rand_new_with_seed (1);
  std::vector<Sent> sent;
  int64_t now_us = CLK_US_PER_S;
  uint64_t seq = 0;

  for (uint32_t word : words)
    {
      uint32_t choice = word >> 4;
      now_us += (int64_t) (choice % 128) * CLK_US_PER_MS;
      if (word % 4 == 0)
        announce (members, (int) (choice % kAgents), choice / 8, ++seq, now_us);
      else if (word % 4 == 1 && !sent.empty ())
        {
          Sent one = sent[choice % sent.size ()];
          sent.erase (sent.begin () + (long) (choice % sent.size ()));
          route_ended (members, one.agent.c_str (), one.incarnation, "mix",
                       (RouteEnd) (choice / 16 % 4), now_us);
        }
      else
        {
          RouteRequest ask = {};
          ask.service = "mix";
          ask.data_centre = "norte";
          ask.budget_us = choice / 16 % 4000;
          RouteChoice route = route_choose (members, &ask, rand, now_us);
          check_choice (members, &ask, route, now_us);
          if (route.endpoint == nullptr)
            continue;
          route_sent (route.endpoint);
          RC_ASSERT (route.endpoint->outstanding <= kConnections);
          sent.push_back ({ route.endpoint->agent->name, route.endpoint->agent->incarnation });
        }
    }
  g_rand_free (rand);
  members_free (members);
}

/* Answers that are swapped, late, duplicated or corrupt: at most one valid match per request. */
void
run_answers (const std::vector<uint32_t> &words)
{
  Calls *calls = calls_new (8);
  std::vector<IdsId> ids;
  std::set<uint64_t> answered;

  for (uint32_t word : words)
    {
      uint32_t choice = word >> 4;
      if (word % 4 == 0)
        {
          GError *error = nullptr;
          IdsId id = { 1, ids.size () };
          CallsCall *call = calls_add (calls, id, (int64_t) (choice % 1000), nullptr, &error);
          RC_ASSERT ((call == nullptr) == (error != nullptr));
          g_clear_error (&error);
          if (call == nullptr)
            continue;
          call->tenant = g_strdup (choice % 2 == 0 ? "norte" : "sur");
          calls_attempt (call, choice / 2 % 2 == 0 ? "a0" : "a1", 1);
          ids.push_back (id);
        }
      else if (word % 4 == 1 && !ids.empty ())
        {
          CallsCall *call = calls_find (calls, ids[choice % ids.size ()]);
          if (call != nullptr)
            calls_attempt (call, choice / 8 % 2 == 0 ? "a0" : "a1", 1);
        }
      else if (!ids.empty ())
        {
          IdsId id = ids[choice % ids.size ()];
          std::string tenant = choice / 8 % 2 == 0 ? "norte" : "sur";
          std::string agent = choice / 16 % 2 == 0 ? "a0" : "a1";
          std::string body = "body";
          Wire__Response response = WIRE__RESPONSE__INIT;
          CallsVerdict verdict = CALLS_MATCH;
          response.id_high = id.high;
          response.id_low = id.low;
          response.attempt = 1 + choice / 32 % 3;
          response.tenant = const_cast<char *> (tenant.c_str ());
          response.body = { body.size (), (uint8_t *) body.data () };
          response.length = body.size () + (choice / 128 % 8 == 0);
          response.body_digest = ids_hash (body.data (), body.size ()) + (choice / 1024 % 8 == 0);
          const CallsCall *known = calls_find (calls, id);
          bool is_right = known != nullptr && tenant == known->tenant && agent == known->agent
                          && response.attempt == known->attempt && choice / 128 % 8 != 0
                          && choice / 1024 % 8 != 0;
          CallsCall *call = calls_match (calls, agent.c_str (), &response, &verdict);
          RC_ASSERT ((call != nullptr) == is_right);
          RC_ASSERT ((verdict == CALLS_MATCH) == is_right);
          if (call == nullptr)
            continue;
          RC_ASSERT (answered.insert (id.low).second);
          calls_remove (calls, call);
        }
    }
  /* Deadlines expire in order and never early. */
  int64_t before_us = -1;
  for (CallsCall *call = calls_due (calls, 1000); call != nullptr; call = calls_due (calls, 1000))
    {
      RC_ASSERT (call->deadline_us >= before_us);
      RC_ASSERT (calls_due (calls, call->deadline_us - 1) == nullptr);
      before_us = call->deadline_us;
      calls_remove (calls, call);
    }
  RC_ASSERT (calls_count (calls) == 0U);
  calls_free (calls);
}

/* All attempts fail: retries never exceed their percentage of the first attempts. */
void
run_budget (const std::vector<uint32_t> &words)
{
  Budget budget = {};
  int64_t firsts = 0;
  int64_t retries = 0;

  budget_set (&budget, 10, 100);
  for (uint32_t word : words)
    {
      firsts++;
      budget_first (&budget);
      for (uint32_t tries = word % 5; tries > 0 && budget_spend (&budget); tries--)
        retries++;
      RC_ASSERT ((firsts + retries) * 10 <= firsts * 11);
    }
}

} // namespace

int
main ()
{
  props::set_runs (10000);
  bool ok = rc::check ("only usable endpoints are chosen, near free slots first",
                       [] { run_routes (props::schedule (100)); });
  ok = rc::check ("an answer matches its own request, whole and once",
                  [] { run_answers (props::schedule (100)); })
       && ok;
  ok = rc::check ("retries amplify total failure to 1.1 at most",
                  [] { run_budget (props::schedule (200)); })
       && ok;
  return ok ? 0 : 1;
}
