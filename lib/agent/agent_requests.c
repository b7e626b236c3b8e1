/**
 * @file agent_requests.c
 * Validates and queues requests to the endpoint, runs them on the pool and sends their answers.
 */
#include <string.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "agent/agent_node.h"
#include "wire/wire_parse.h"

#define TEXT_BYTES_MAX 255
#define PATH_BYTES_MAX 2048
/** Maximum time budget of a request; longer ones are clamped. */
#define BUDGET_US_MAX (INT64_C (24) * 3600 * CLK_US_PER_S)

static AgentAttempt
attempt_of (const AgentCall *call)
{
  return (AgentAttempt){ call->tenant, call->key, call->attempt, call->chosen_us };
}

static void
fill_response (AgentNode *node, const AgentCall *call, Wire__Response *response)
{
  wire__response__init (response);
  response->id_high = call->id.high;
  response->id_low = call->id.low;
  response->attempt = call->attempt;
  response->tenant = call->tenant;
  response->status = call->status;
  response->running = agent_queue_running (node->queue);
  response->queued = agent_queue_queued (node->queue);
  if (!call->has_answer)
    {
      response->kind = (char *) err_name (call->kind);
      response->ran = call->ran;
      response->message = call->message != NULL ? call->message : (char *) "";
      return;
    }
  response->ran = ERR_RAN_YES;
  response->content_type = call->answer_type;
  response->body.data = call->answer->data;
  response->body.len = call->answer->len;
  response->length = call->answer->len;
  response->body_digest = ids_hash (call->answer->data, call->answer->len);
}

static void
send_response (AgentNode *node, const char *peer, Wire__Response *response)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  envelope.body_case = WIRE__ENVELOPE__BODY_RESPONSE;
  envelope.response = response;
  if (!agent_node_send (node, peer, &envelope))
    agent_node_count (node, "acacia_agent_answers_lost_total", "Answers that could not be sent.");
}

/* Sends the result of @p call and frees it. */
static void
answer_call (AgentNode *node, AgentCall *call)
{
  Wire__Response response;

  fill_response (node, call, &response);
  send_response (node, call->peer, &response);
  agent_call_free (call);
}

static void
set_failure (AgentCall *call, ErrKind kind, ErrRan ran, const char *message)
{
  call->has_answer = FALSE;
  call->kind = kind;
  call->ran = ran;
  g_free (call->message);
  call->message = g_strdup (message);
}

/* Answers a once request that was seen before, from its stored result. Frees @p call. */
static void
resend_result (AgentNode *node, AgentCall *call, AgentAttemptState state, GBytes *stored)
{
  Wire__Response *response = NULL;

  if (state == AGENT_ATTEMPT_RAN && stored != NULL)
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (stored, &size);
      response = wire__response__unpack (NULL, size, data);
    }
  if (response != NULL)
    {
      response->id_high = call->id.high;
      response->id_low = call->id.low;
      send_response (node, call->peer, response);
      wire__response__free_unpacked (response, NULL);
      agent_call_free (call);
      return;
    }
  if (state == AGENT_ATTEMPT_RAN)
    set_failure (call, ERR_ANSWER_GONE, ERR_RAN_YES, "ran before; the answer is no longer stored");
  else if (state == AGENT_ATTEMPT_UNKNOWN)
    set_failure (call, ERR_IN_DOUBT, ERR_RAN_DOUBT, "started before; its outcome is unknown");
  else
    set_failure (call, ERR_FENCED, ERR_RAN_NO, "this attempt is fenced");
  agent_node_count_refused (node, call->kind);
  answer_call (node, call);
}

/* Refuses a call that was not started, and fences it, so that a late duplicate does not start.
 * Frees
 * @p call. */
static void
refuse (AgentNode *node, AgentCall *call, ErrKind kind, const char *message)
{
  AgentAttempt attempt = attempt_of (call);
  AgentAttemptState state = AGENT_ATTEMPT_FENCED;

  if (call->once)
    state = agent_attempts_refuse (node->attempts, &attempt, clk_now_us ());
  else
    agent_refusals_add (node->refusals, call->id, call->attempt);
  if (state == AGENT_ATTEMPT_RUNNING)
    {
      agent_node_count (node, "acacia_agent_duplicates_total",
                        "Requests that came again while running.");
      agent_call_free (call);
      return;
    }
  if (state == AGENT_ATTEMPT_RAN || state == AGENT_ATTEMPT_UNKNOWN)
    {
      GBytes *stored;
      state = agent_attempts_begin (node->attempts, &attempt, clk_now_us (), &stored);
      resend_result (node, call, state, stored);
      return;
    }
  set_failure (call, kind, ERR_RAN_NO, message);
  agent_node_count_refused (node, kind);
  answer_call (node, call);
}

static gboolean
is_header_text (const char *text, size_t max)
{
  size_t length = strlen (text);

  for (size_t i = 0; i < length; i++)
    {
      if ((uint8_t) text[i] < 0x20 || text[i] == 0x7f)
        return FALSE;
    }
  return length <= max;
}

static gboolean
is_well_formed (const Wire__Request *request)
{
  return is_header_text (request->tenant, TEXT_BYTES_MAX) && *request->tenant != '\0'
         && is_header_text (request->key, TEXT_BYTES_MAX)
         && is_header_text (request->content_type, TEXT_BYTES_MAX)
         && is_header_text (request->path, PATH_BYTES_MAX) && *request->path == '/'
         && strchr (request->path, ' ') == NULL && (!request->once || *request->key != '\0');
}

static AgentCall *
make_call (const char *peer, const Wire__Request *request, int64_t now_us)
{
  AgentCall *call = g_new0 (AgentCall, 1);

  call->id = (IdsId){ request->id_high, request->id_low };
  call->attempt = request->attempt;
  call->peer = g_strdup (peer);
  call->tenant = g_strdup (request->tenant);
  call->once = request->once;
  call->key = g_strdup (request->once ? request->key : "");
  call->chosen_us = MIN (request->agent_sent_us, now_us);
  call->path = g_strdup (request->path);
  call->content_type = g_strdup (request->content_type);
  call->body = g_byte_array_new ();
  g_byte_array_append (call->body, request->body.data, (guint) request->body.len);
  call->deadline_us = now_us + CLAMP (request->budget_us, 0, BUDGET_US_MAX);
  return call;
}

/* Returns the reason to refuse a request, and sets @p message; ERR_KIND_COUNT when there is none.
 */
static ErrKind
check_request (const AgentNode *node, const Wire__Request *request, const char **message)
{
  if (request->agent_incarnation != node->incarnation)
    {
      *message = "addressed to another incarnation of this agent";
      return ERR_FENCED;
    }
  if (request->body_digest != ids_hash (request->body.data, request->body.len))
    {
      *message = "the body does not match its digest";
      return ERR_PROTOCOL;
    }
  if (node->endpoint == NULL || strcmp (request->service, node->settings->endpoint_service) != 0)
    {
      *message = "this agent has no endpoint of the service";
      return ERR_NO_ENDPOINT;
    }
  if (node->drain.leaving)
    {
      *message = "the agent is leaving";
      return ERR_LEAVING;
    }
  return ERR_KIND_COUNT;
}

/* Queues a call; once requests are recorded first. Takes ownership of @p call. */
static void
enqueue (AgentNode *node, AgentCall *call, int64_t now_us)
{
  ErrKind kind;

  if (call->once)
    {
      AgentAttempt attempt = attempt_of (call);
      GBytes *stored;
      AgentAttemptState state = agent_attempts_begin (node->attempts, &attempt, now_us, &stored);
      if (state == AGENT_ATTEMPT_FULL)
        {
          refuse (node, call, ERR_QUEUE_FULL, "the table of attempts is full");
          return;
        }
      if (state == AGENT_ATTEMPT_RUNNING)
        {
          refuse (node, call, ERR_FENCED, "");
          return;
        }
      if (state != AGENT_ATTEMPT_START)
        {
          resend_result (node, call, state, stored);
          return;
        }
    }
  else if (agent_refusals_has (node->refusals, call->id, call->attempt))
    {
      refuse (node, call, ERR_FENCED, "this attempt was refused before");
      return;
    }
  if (agent_queue_add (node->queue, call, call->deadline_us, now_us, &kind))
    return;
  if (call->once)
    {
      AgentAttempt attempt = attempt_of (call);
      agent_attempts_not_run (node->attempts, &attempt, now_us);
    }
  refuse (node, call, kind, "the queue is full or the deadline has passed");
}

void
agent_requests_receive (AgentNode *node, const char *peer, const Wire__Request *request)
{
  int64_t now_us = clk_now_us ();
  const char *message = "";
  ErrKind kind;

  agent_node_count (node, "acacia_agent_requests_total", "Requests received.");
  if (!is_well_formed (request))
    {
      /* It can't be recorded, and needs no fence: a duplicate is malformed as well. */
      AgentCall *call = make_call (peer, request, now_us);
      set_failure (call, ERR_BAD_REQUEST, ERR_RAN_NO, "malformed request");
      agent_node_count_refused (node, ERR_BAD_REQUEST);
      answer_call (node, call);
      return;
    }
  AgentCall *call = make_call (peer, request, now_us);
  kind = check_request (node, request, &message);
  if (kind == ERR_FENCED || kind == ERR_NO_ENDPOINT)
    {
      /* Every later duplicate is refused for the same reason, so no fence is needed. */
      set_failure (call, kind, ERR_RAN_NO, message);
      agent_node_count_refused (node, kind);
      answer_call (node, call);
      return;
    }
  if (kind != ERR_KIND_COUNT)
    {
      refuse (node, call, kind, message);
      return;
    }
  enqueue (node, call, now_us);
  agent_requests_dispatch (node, now_us);
}

void
agent_requests_dispatch (AgentNode *node, int64_t now_us)
{
  AgentCall *call;
  gboolean expired;

  while ((call = agent_queue_take (node->queue, now_us, &expired)) != NULL)
    {
      if (!expired)
        {
          agent_endpoint_push (node->endpoint, call);
          continue;
        }
      if (call->once)
        {
          AgentAttempt attempt = attempt_of (call);
          agent_attempts_not_run (node->attempts, &attempt, now_us);
        }
      refuse (node, call, ERR_DEADLINE, "no slot was free before the deadline");
    }
}

/* Records the outcome of a once request. */
static void
end_attempt (AgentNode *node, const AgentCall *call, int64_t now_us)
{
  AgentAttempt attempt = attempt_of (call);

  if (!call->has_answer && call->ran == ERR_RAN_NO)
    {
      agent_attempts_not_run (node->attempts, &attempt, now_us);
      return;
    }
  if (!call->has_answer && call->ran == ERR_RAN_DOUBT)
    {
      agent_attempts_in_doubt (node->attempts, &attempt, now_us);
      return;
    }
  Wire__Response response;
  fill_response (node, call, &response);
  size_t size = wire__response__get_packed_size (&response);
  uint8_t *packed = g_malloc (size);
  (void) wire__response__pack (&response, packed);
  g_autoptr (GBytes) answer = g_bytes_new_take (packed, size);
  agent_attempts_ran (node->attempts, &attempt, answer, now_us);
}

static void
finish_call (void *ctx, void *data)
{
  AgentNode *node = ctx;
  AgentCall *call = data;
  int64_t now_us = clk_now_us ();

  agent_queue_done (node->queue);
  if (call->has_answer)
    {
      node->completed++;
      agent_latency_add (&node->latency, call->took_us, now_us);
      met_observe (node->request_us, call->took_us);
    }
  else
    {
      agent_node_count_refused (node, call->kind);
      jnl_event (JNL_WARN, "agent", "request_failed", "kind=%s ran=\"%s\" reason=\"%s\"",
                 err_name (call->kind), err_ran_name (call->ran), call->message);
      if (!call->once && call->ran == ERR_RAN_NO)
        agent_refusals_add (node->refusals, call->id, call->attempt);
    }
  if (call->once)
    end_attempt (node, call, now_us);
  answer_call (node, call);
  agent_requests_dispatch (node, now_us);
}

void
agent_requests_on_done (void *ctx, AgentCall *call)
{
  agent_node_post (ctx, finish_call, call);
}

static Wire__AttemptState
wire_state (AgentAttemptState state)
{
  switch (state)
    {
    case AGENT_ATTEMPT_RUNNING:
      return WIRE__ATTEMPT_STATE__ATTEMPT_RUNNING;
    case AGENT_ATTEMPT_RAN:
      return WIRE__ATTEMPT_STATE__ATTEMPT_RAN;
    case AGENT_ATTEMPT_FENCED:
      return WIRE__ATTEMPT_STATE__ATTEMPT_FENCED;
    default:
      return WIRE__ATTEMPT_STATE__ATTEMPT_UNKNOWN;
    }
}

void
agent_requests_query (AgentNode *node, const char *peer, const Wire__AttemptQuery *query)
{
  Wire__AttemptReply reply = WIRE__ATTEMPT_REPLY__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  int64_t now_us = clk_now_us ();
  AgentAttempt attempt
      = { query->tenant, query->key, query->attempt, MIN (query->agent_sent_us, now_us) };
  GBytes *stored = NULL;

  reply.tenant = query->tenant;
  reply.key = query->key;
  reply.attempt = query->attempt;
  reply.id_high = query->id_high;
  reply.id_low = query->id_low;
  if (query->agent_incarnation == node->incarnation && strlen (query->key) <= AGENT_KEY_MAX
      && strlen (query->tenant) <= AGENT_KEY_MAX)
    reply.state = wire_state (agent_attempts_query (node->attempts, &attempt, now_us, &stored));
  if (stored != NULL)
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (stored, &size);
      reply.response = wire__response__unpack (NULL, size, data);
    }
  envelope.body_case = WIRE__ENVELOPE__BODY_ATTEMPT_REPLY;
  envelope.attempt_reply = &reply;
  (void) agent_node_send (node, peer, &envelope);
  if (reply.response != NULL)
    wire__response__free_unpacked (reply.response, NULL);
}
