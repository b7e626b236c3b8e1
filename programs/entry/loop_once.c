#include "common/clk.h"
#include "common/jnl.h"
#include "loop_private.h"

/** Delay before the agent is queried about an attempt of another entry, and interval of queries. */
#define ATTEMPT_QUERY_DELAY_US (300 * CLK_US_PER_MS)
#define ATTEMPT_QUERY_INTERVAL_US (300 * CLK_US_PER_MS)

static gboolean
choose_agent (void *ctx,
              const char *service,
              const char *const *tried,
              uint32_t n_tried,
              int64_t budget_us,
              const char **agent,
              uint64_t *incarnation,
              int64_t *agent_sent_us,
              ErrKind *kind)
{
  Loop *loop = ctx;
  RouteRequest ask = { service, loop->settings->data_centre, budget_us, { NULL }, n_tried };

  for (uint32_t i = 0; i < n_tried; i++)
    ask.tried[i] = tried[i];
  RouteChoice choice = route_choose (loop->members, &ask, loop->rand, clk_now_us ());
  *kind = choice.kind;
  if (choice.endpoint == NULL)
    return FALSE;
  *agent = choice.endpoint->agent->name;
  *incarnation = choice.endpoint->agent->incarnation;
  *agent_sent_us = choice.endpoint->agent->sent_us;
  return TRUE;
}

static gboolean
append (void *ctx, const Record__Record *record, gboolean wait, IdsId *id)
{
  return loop_append (ctx, record, wait, id);
}

static gboolean
send_attempt (void *ctx, const OnceSend *send)
{
  Loop *loop = ctx;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Request request = WIRE__REQUEST__INIT;
  const MembersAgent *agent = members_agent (loop->members, send->agent, send->agent_incarnation);
  gsize size = 0;
  const void *data = g_bytes_get_data (send->body, &size);

  if (agent == NULL)
    return FALSE;
  request.id_high = send->request.high;
  request.id_low = send->request.low;
  request.attempt = send->attempt;
  request.tenant = (char *) send->tenant;
  request.service = (char *) send->service;
  request.once = TRUE;
  request.key = (char *) send->key;
  request.path = (char *) send->path;
  request.content_type = (char *) send->content_type;
  request.body = (ProtobufCBinaryData){ size, (uint8_t *) data };
  request.body_digest = send->body_digest;
  request.budget_us = send->budget_us;
  request.agent_incarnation = send->agent_incarnation;
  request.agent_sent_us = send->agent_sent_us;
  envelope.body_case = WIRE__ENVELOPE__BODY_REQUEST;
  envelope.request = &request;
  if (!wire_send (loop->wire, send->agent, &envelope))
    return FALSE;
  MembersEndpoint *endpoint = members_endpoint (agent, send->service);
  if (endpoint != NULL)
    route_sent (endpoint);
  return TRUE;
}

static void
query (void *ctx,
       const char *agent,
       uint64_t incarnation,
       const char *tenant,
       const char *key,
       uint32_t attempt,
       IdsId request,
       int64_t agent_sent_us)
{
  Loop *loop = ctx;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__AttemptQuery message = WIRE__ATTEMPT_QUERY__INIT;

  message.tenant = (char *) tenant;
  message.key = (char *) key;
  message.attempt = attempt;
  message.id_high = request.high;
  message.id_low = request.low;
  message.agent_incarnation = incarnation;
  message.agent_sent_us = agent_sent_us;
  envelope.body_case = WIRE__ENVELOPE__BODY_ATTEMPT_QUERY;
  envelope.attempt_query = &message;
  (void) wire_send (loop->wire, agent, &envelope);
}

static gboolean
is_alive (void *ctx, const char *agent_name, uint64_t incarnation)
{
  Loop *loop = ctx;
  const MembersAgent *agent = members_agent (loop->members, agent_name, 0);
  int64_t now_us = clk_now_us ();

  /* Shortly after start-up the agents are not known yet. */
  if (agent == NULL)
    return now_us - loop->started_us < 2 * loop->settings->member_timeout_ms * CLK_US_PER_MS;
  return agent->incarnation == incarnation
         && members_is_live (loop->members, agent->last_received_us, now_us);
}

static gboolean
log_is_up (void *ctx)
{
  return loop_log_is_up (ctx);
}

static gboolean
may_retry (void *ctx, ErrKind kind)
{
  Loop *loop = ctx;

  if (kind != ERR_LEAVING && !budget_spend (&loop->budget))
    return FALSE;
  met_kind_add (loop->metrics, "acacia_entry_retries_total", kind, 1);
  return TRUE;
}

static void
attempt_ended (
    void *ctx, const char *agent, uint64_t incarnation, const char *service, RouteEnd end)
{
  Loop *loop = ctx;

  route_ended (loop->members, agent, incarnation, service, end, clk_now_us ());
}

static void
answer (void *ctx, void *waiter, const OnceAnswer *answer)
{
  Loop *loop = ctx;
  HttpRequest *request = waiter;
  IdsId id = http_request_info (request)->call.id;
  char id_text[IDS_TEXT_SIZE];

  if (answer->is_answer)
    loop_answer_body (loop, request, answer->status, answer->content_type, answer->body,
                      answer->body_digest, answer->attempts, id);
  else
    http_fail (request, answer->kind, answer->ran, answer->message, answer->retry_after_ms,
               ids_print (id, id_text), answer->attempts);
}

Once *
loop_once_new (Loop *loop)
{
  OnceOptions options = { ATTEMPT_QUERY_DELAY_US, ATTEMPT_QUERY_INTERVAL_US,
                          loop->settings->answer_bytes_max, (uint32_t) loop->settings->calls_max };
  OnceOps ops = { choose_agent, append,    send_attempt,  query,  is_alive,
                  log_is_up,    may_retry, attempt_ended, answer, loop };

  return once_new (&options, &ops);
}

static void
refuse (HttpRequest *request, ErrKind kind, const char *message)
{
  http_fail (request, kind, ERR_RAN_NO, message, err_row (kind)->retry_after_ms, NULL, 0);
}

void
loop_once_call (Loop *loop, HttpRequest *request, int64_t deadline_us)
{
  const HttpRequestInfo *ask = http_request_info (request);
  OnceRequest once = { 0 };

  int64_t wall_ms = clk_wall_ms ();
  /* Only state from the log shows whether the key was used before. */
  if (!loop->has_state)
    {
      refuse (request, ERR_LOG_DOWN, "the platform's log has not been read yet");
      return;
    }
  if (ask->call.dated_ms > wall_ms + FOLD_DATE_SKEW_MS)
    {
      refuse (request, ERR_BAD_REQUEST, "Acacia-Date-Ms: expected a time that is not ahead of now");
      return;
    }
  once.request = ask->call.id;
  once.tenant = ask->call.tenant;
  once.key = ask->call.key;
  once.service = ask->call.service;
  once.path = ask->call.path;
  once.content_type = ask->call.content_type;
  once.body = ask->body;
  once.dated_ms = ask->call.dated_ms;
  once.deadline_us = deadline_us;
  once.waiter = request;
  budget_first (&loop->budget);
  once_begin (loop->once, loop->fold, &once, clk_now_us ());
}
