#include <string.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "entry/params.h"
#include "loop_private.h"

/** Limit on accumulated retries; a higher one would let a burst of retries amplify a failure. */
#define RETRY_BURST_MAX 100
/** Timeout of a request whose service is no longer in the configuration. */
#define REMOVED_SERVICE_TIMEOUT_MS 1000

static void
count_retry (Loop *loop, ErrKind kind)
{
  met_kind_add (loop->metrics, "acacia_entry_retries_total", kind, 1);
}

void
loop_answer_body (Loop *loop,
                  HttpRequest *request,
                  uint32_t status,
                  const char *content_type,
                  GBytes *body,
                  uint64_t digest,
                  uint32_t attempts,
                  IdsId id)
{
  char id_text[IDS_TEXT_SIZE];
  char digest_text[24];
  char attempts_text[16];

  g_snprintf (digest_text, sizeof digest_text, "%016" G_GINT64_MODIFIER "x", digest);
  g_snprintf (attempts_text, sizeof attempts_text, "%u", attempts);
  const HttpHeader headers[] = { { "Acacia-Request-Id", ids_print (id, id_text) },
                                 { "Acacia-Ran", err_ran_name (ERR_RAN_YES) },
                                 { "Acacia-Digest", digest_text },
                                 { "Acacia-Attempts", attempts_text } };
  met_observe (loop->call_us, clk_now_us () - http_request_info (request)->received_us);
  http_answer (request, status, content_type, body, headers, G_N_ELEMENTS (headers));
}

/* Fails a repeatable request. After an attempt that may have run the outcome is in doubt. */
static void
fail_call (
    Loop *loop, CallsCall *call, ErrKind kind, ErrRan ran, const char *message, int64_t after_ms)
{
  char id_text[IDS_TEXT_SIZE];
  HttpRequest *request = call->waiter;
  uint32_t attempts = call->attempt;

  ids_print (call->id, id_text);
  if (call->may_have_run && ran == ERR_RAN_NO)
    {
      kind = ERR_IN_DOUBT;
      ran = ERR_RAN_DOUBT;
    }
  calls_remove (loop->calls, call);
  http_fail (request, kind, ran, message, after_ms, id_text, attempts);
}

static void
fail_call_kind (Loop *loop, CallsCall *call, ErrKind kind, const char *message)
{
  const ErrRow *row = err_row (kind);

  fail_call (loop, call, kind, row->ran, message, row->retry_after_ms);
}

static gboolean
send_call (Loop *loop, CallsCall *call, int64_t now_us)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Request request = WIRE__REQUEST__INIT;
  gsize size = 0;
  const void *data = g_bytes_get_data (call->body, &size);

  request.id_high = call->id.high;
  request.id_low = call->id.low;
  request.attempt = call->attempt;
  request.tenant = call->tenant;
  request.service = call->service;
  request.path = call->path;
  request.content_type = call->content_type;
  request.body = (ProtobufCBinaryData){ size, (uint8_t *) data };
  request.body_digest = call->body_digest;
  request.budget_us = call->deadline_us - now_us;
  request.agent_incarnation = call->agent_incarnation;
  envelope.body_case = WIRE__ENVELOPE__BODY_REQUEST;
  envelope.request = &request;
  return wire_send (loop->wire, call->agent, &envelope);
}

/* Sends the next attempt. If an agent's send queue is full, nothing was sent and the next agent is
   tried immediately. */
static void
next_attempt (Loop *loop, CallsCall *call, int64_t now_us)
{
  RouteRequest ask = { 0 };

  for (uint32_t tries = 0; tries < ROUTE_TRIED_MAX; tries++)
    {
      ask.service = call->service;
      ask.data_centre = loop->settings->data_centre;
      ask.budget_us = call->deadline_us - now_us;
      ask.n_tried = call->n_tried;
      memcpy (ask.tried, call->tried, sizeof ask.tried);
      RouteChoice choice = route_choose (loop->members, &ask, loop->rand, now_us);
      if (choice.endpoint == NULL)
        {
          fail_call (loop, call, choice.kind, ERR_RAN_NO, "no endpoint can take the request now",
                     choice.retry_after_ms);
          return;
        }
      const MembersAgent *agent = choice.endpoint->agent;
      calls_attempt (call, agent->name, agent->incarnation);
      route_sent (choice.endpoint);
      if (send_call (loop, call, now_us))
        return;
      route_ended (loop->members, agent->name, agent->incarnation, call->service, ROUTE_FAILED,
                   now_us);
      count_retry (loop, ERR_REFUSED);
    }
  fail_call_kind (loop, call, ERR_REFUSED, "no endpoint could be reached");
}

/* A retry after a rejection by a leaving agent does not count against the retry budget: the request
   did not start, and the agent is avoided from then on. All other retries do. */
static void
retry_or_fail (Loop *loop, CallsCall *call, ErrKind kind, ErrRan ran, const char *message)
{
  int64_t now_us = clk_now_us ();
  gboolean is_free = kind == ERR_LEAVING && ran == ERR_RAN_NO;

  if (ran != ERR_RAN_NO)
    call->may_have_run = TRUE;
  if (call->n_tried < ROUTE_TRIED_MAX && call->deadline_us > now_us
      && (is_free || budget_spend (&loop->budget)))
    {
      count_retry (loop, kind);
      next_attempt (loop, call, now_us);
      return;
    }
  fail_call (loop, call, kind, ran, message, err_row (kind)->retry_after_ms);
}

static void
begin_repeatable (Loop *loop, HttpRequest *request, int64_t deadline_us)
{
  const HttpRequestInfo *ask = http_request_info (request);
  g_autoptr (GError) error = NULL;
  CallsCall *call = calls_add (loop->calls, ask->call.id, deadline_us, request, &error);
  gsize size = 0;

  if (call == NULL)
    {
      const ErrRow *row = err_row (err_kind (error));
      http_fail (request, row->kind, ERR_RAN_NO, error->message, row->retry_after_ms, NULL, 0);
      return;
    }
  call->tenant = g_strdup (ask->call.tenant);
  call->service = g_strdup (ask->call.service);
  call->path = g_strdup (ask->call.path);
  call->content_type = g_strdup (ask->call.content_type);
  call->body = g_bytes_ref (ask->body);
  const void *data = g_bytes_get_data (ask->body, &size);
  call->body_digest = ids_hash (data, size);
  call->started_us = ask->received_us;
  budget_set (&loop->budget, loop->config->document->policy.retry_percent, RETRY_BURST_MAX);
  budget_first (&loop->budget);
  next_attempt (loop, call, clk_now_us ());
}

static void
refuse (HttpRequest *request, ErrKind kind, const char *message)
{
  http_fail (request, kind, ERR_RAN_NO, message, err_row (kind)->retry_after_ms, NULL, 0);
}

/* Returns whether the request runs at most once. If the service was removed, the log may still hold
   an intent with this key, so that the outcome can be answered. */
static gboolean
is_once (const Loop *loop, const ParamsCall *call, const DocService *service)
{
  if (call->kind != PARAMS_KIND_DEFAULT)
    return call->kind == PARAMS_KIND_ONCE;
  if (service != NULL)
    return service->kind == DOC_ONCE;
  return call->key != NULL && fold_intent (loop->fold, call->tenant, call->key) != NULL;
}

void
loop_call (Loop *loop, HttpRequest *request)
{
  const HttpRequestInfo *ask = http_request_info (request);
  const ParamsCall *call = &ask->call;
  const DocService *service = doc_service (loop->config->document, call->service);
  gboolean once = is_once (loop, call, service);
  int64_t service_ms = service != NULL ? service->timeout_ms : REMOVED_SERVICE_TIMEOUT_MS;
  int64_t timeout_us = (call->timeout_ms != 0 ? call->timeout_ms : service_ms) * CLK_US_PER_MS;
  int64_t deadline_us = ask->received_us + timeout_us - MIN (LOOP_MARGIN_US, timeout_us / 4);

  if (loop->is_leaving)
    refuse (request, ERR_LEAVING, "this entry is leaving");
  else if (service == NULL && !once)
    refuse (request, ERR_NOT_FOUND, "no such service");
  else if (!once)
    begin_repeatable (loop, request, deadline_us);
  else if (call->key == NULL)
    refuse (request, ERR_BAD_REQUEST, "Idempotency-Key: required for once requests");
  else if (call->dated_ms == 0)
    refuse (request, ERR_BAD_REQUEST, "Acacia-Date-Ms: required for once requests");
  else
    loop_once_call (loop, request, deadline_us);
}

static void
count_drop (Loop *loop, CallsVerdict verdict)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", calls_verdict_name (verdict));

  met_add (met_counter (loop->metrics, "acacia_entry_answers_dropped_total", labels,
                        "Answers dropped, by what did not match."),
           1);
}

static RouteEnd
route_end_of (const Wire__Response *response, ErrKind kind)
{
  if (*response->kind == '\0')
    return ROUTE_ANSWERED;
  if (kind == ERR_LEAVING)
    return ROUTE_REFUSED_LEAVING;
  return kind == ERR_ALL_BUSY || kind == ERR_QUEUE_FULL || kind == ERR_DEADLINE ? ROUTE_ABANDONED
                                                                                : ROUTE_FAILED;
}

static void
handle_response (Loop *loop, CallsCall *call, const Wire__Response *response)
{
  ErrKind kind = ERR_INTERNAL;

  (void) err_kind_from_name (response->kind, &kind);
  route_ended (loop->members, call->agent, call->agent_incarnation, call->service,
               route_end_of (response, kind), clk_now_us ());
  if (*response->kind != '\0')
    {
      ErrRan ran = response->ran <= ERR_RAN_DOUBT ? (ErrRan) response->ran : ERR_RAN_DOUBT;
      retry_or_fail (loop, call, kind, ran, response->message);
      return;
    }
  HttpRequest *request = call->waiter;
  uint32_t attempts = call->attempt;
  IdsId id = call->id;
  g_autoptr (GBytes) body = g_bytes_new (response->body.data, response->body.len);
  calls_remove (loop->calls, call);
  loop_answer_body (loop, request, response->status, response->content_type, body,
                    response->body_digest, attempts, id);
}

void
loop_response (Loop *loop, const char *agent, const Wire__Response *response)
{
  CallsVerdict verdict = CALLS_MATCH;
  CallsCall *call = calls_match (loop->calls, agent, response, &verdict);

  if (call != NULL)
    {
      handle_response (loop, call, response);
      return;
    }
  if (verdict == CALLS_DROP_UNKNOWN && once_response (loop->once, agent, response, &verdict))
    return;
  count_drop (loop, verdict);
  jnl_event (JNL_DEBUG, "calls", "answer_dropped", "agent=%s reason=%s", agent,
             calls_verdict_name (verdict));
}

void
loop_calls_due (Loop *loop, int64_t now_us)
{
  CallsCall *call = calls_due (loop->calls, now_us);

  while (call != NULL)
    {
      route_ended (loop->members, call->agent, call->agent_incarnation, call->service,
                   ROUTE_ABANDONED, now_us);
      fail_call_kind (loop, call, ERR_IN_DOUBT, "the deadline passed before the answer came");
      call = calls_due (loop->calls, now_us);
    }
}

/* Retries or fails a request as soon as its agent is known to have failed, without waiting for the
 * deadline. */
static void
check_agent (void *ctx, CallsCall *call)
{
  Loop *loop = ctx;
  int64_t now_us = clk_now_us ();
  const MembersAgent *agent = members_agent (loop->members, call->agent, call->agent_incarnation);

  if (agent != NULL && members_is_live (loop->members, agent->last_received_us, now_us))
    return;
  route_ended (loop->members, call->agent, call->agent_incarnation, call->service, ROUTE_FAILED,
               now_us);
  retry_or_fail (loop, call, ERR_IN_DOUBT, ERR_RAN_DOUBT, "the endpoint's agent is gone");
}

void
loop_calls_check_agents (Loop *loop, int64_t now_us)
{
  (void) now_us;
  calls_each (loop->calls, check_agent, loop);
}
