#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "agent/agent_call.h"
#include "agent/canned_server.h"
#include "common/clk.h"
#include "support/reset_server.h"

#define ANY_STATUS 0

/** One behaviour of an endpoint and the expected result of the call. */
typedef struct
{
  const char *name;
  const char *answer;
  int64_t delay_ms;
  gboolean has_answer;
  ErrKind kind;
  ErrRan ran;
  uint32_t status;
} Contract;

static const Contract contracts[] = {
  { "whole answer", CANNED_OK, 0, TRUE, ERR_INTERNAL, ERR_RAN_YES, 200 },
  { "whole chunked answer",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 0, TRUE,
    ERR_INTERNAL, ERR_RAN_YES, 200 },
  { "client error is an answer", "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nwhole", 0,
    TRUE, ERR_INTERNAL, ERR_RAN_YES, 404 },
  { "server error", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", 0, FALSE,
    ERR_ENDPOINT_FAILED, ERR_RAN_YES, 500 },
  { "busy", "HTTP/1.1 503 Busy\r\nAcacia-Ran: no\r\nContent-Length: 0\r\n\r\n", 0, FALSE,
    ERR_ALL_BUSY, ERR_RAN_NO, 503 },
  { "503 that doesn't say that it did not run", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 0,
    FALSE, ERR_ENDPOINT_FAILED, ERR_RAN_YES, 503 },
  { "closed without an answer", "", 0, FALSE, ERR_PROTOCOL, ERR_RAN_DOUBT, ANY_STATUS },
  { "cut short", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf", 0, FALSE, ERR_PROTOCOL,
    ERR_RAN_DOUBT, ANY_STATUS },
  { "chunked and cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhalf", 0,
    FALSE, ERR_PROTOCOL, ERR_RAN_DOUBT, ANY_STATUS },
  { "without a length", "HTTP/1.1 200 OK\r\n\r\nperhaps all", 0, FALSE, ERR_PROTOCOL, ERR_RAN_DOUBT,
    ANY_STATUS },
  { "cut in the headers", "HTTP/1.1 200 OK\r\nContent-Le", 0, FALSE, ERR_PROTOCOL, ERR_RAN_DOUBT,
    ANY_STATUS },
  { "garbage", "\x01\x02garbage\r\n\r\n", 0, FALSE, ERR_PROTOCOL, ERR_RAN_DOUBT, ANY_STATUS },
  { "over the bound", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx", 0, FALSE,
    ERR_PROTOCOL, ERR_RAN_DOUBT, ANY_STATUS },
  { "later than the deadline", CANNED_OK, 1500, FALSE, ERR_TIMEOUT, ERR_RAN_DOUBT, ANY_STATUS },
};

static AgentCall *
make_call (gboolean once, int64_t budget_ms)
{
  AgentCall *call = g_new0 (AgentCall, 1);

  call->id = ids_new ();
  call->attempt = 1;
  call->tenant = g_strdup ("tenant");
  call->key = g_strdup (once ? "key" : "");
  call->once = once;
  call->path = g_strdup ("/render");
  call->content_type = g_strdup ("text/plain");
  call->body = g_byte_array_new ();
  g_byte_array_append (call->body, (const guint8 *) "body", 4);
  call->deadline_us = clk_now_us () + budget_ms * CLK_US_PER_MS;
  return call;
}

static AgentCaller *
open_caller (uint16_t port)
{
  AgentCallerOptions options = { "127.0.0.1", port, 1000, 1000 };

  return agent_caller_new (&options);
}

static void
check (const Contract *contract, const AgentCall *call)
{
  gboolean matches = call->has_answer == contract->has_answer
                     && (contract->status == ANY_STATUS || call->status == contract->status);

  if (!contract->has_answer)
    matches = matches && call->kind == contract->kind && call->ran == contract->ran;
  else
    matches = matches && call->answer->len == 5 && memcmp (call->answer->data, "whole", 5) == 0;
  if (!matches)
    fail_msg ("%s: answer %d kind %s ran %s status %u: %s", contract->name, call->has_answer,
              err_name (call->kind), err_ran_name (call->ran), call->status, call->message);
}

static void
each_endpoint_behaviour_maps_to_its_error_kind (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (contracts) * 2; i++)
    {
      const Contract *contract = &contracts[i / 2];
      CannedServer *server = canned_new ();
      AgentCaller *caller = open_caller (server->port);
      AgentCall *call = make_call (i % 2 == 1, 900);
      canned_set (server, contract->answer, contract->delay_ms);
      agent_caller_run (caller, call);
      check (contract, call);
      assert_int_equal (canned_posts (server), 1);
      agent_call_free (call);
      agent_caller_free (caller);
      canned_free (server);
    }
}

static void
refused_connection_is_not_run (void **state)
{
  CannedServer *server = canned_new ();
  uint16_t port = server->port;
  AgentCall *call = make_call (TRUE, 900);

  (void) state;
  canned_free (server);
  AgentCaller *caller = open_caller (port);
  agent_caller_run (caller, call);
  assert_int_equal (call->kind, ERR_REFUSED);
  assert_int_equal (call->ran, ERR_RAN_NO);
  assert_false (agent_caller_check (caller));
  agent_call_free (call);
  agent_caller_free (caller);
}

static void
expired_call_is_not_sent (void **state)
{
  CannedServer *server = canned_new ();
  AgentCaller *caller = open_caller (server->port);
  AgentCall *call = make_call (TRUE, -1);

  (void) state;
  agent_caller_run (caller, call);
  assert_int_equal (call->kind, ERR_DEADLINE);
  assert_int_equal (call->ran, ERR_RAN_NO);
  assert_int_equal (canned_posts (server), 0);
  assert_true (agent_caller_check (caller));
  agent_call_free (call);
  agent_caller_free (caller);
  canned_free (server);
}

/* An HTTP library that retries when a kept connection was closed would run this request twice. */
static void
once_request_is_sent_once_despite_a_kept_connection (void **state)
{
  CannedServer *server = canned_new ();
  AgentCaller *caller = open_caller (server->port);
  AgentCall *first = make_call (FALSE, 900);
  AgentCall *second = make_call (TRUE, 900);

  (void) state;
  agent_caller_run (caller, first);
  assert_true (first->has_answer);
  canned_set (server, "", 0);
  assert_true (agent_caller_check (caller));
  agent_caller_run (caller, second);
  assert_int_equal (second->ran, ERR_RAN_DOUBT);
  assert_int_equal (canned_posts (server), 2);
  agent_call_free (first);
  agent_call_free (second);
  agent_caller_free (caller);
  canned_free (server);
}

/* The answer to the repeat that neon sends over a new connection says nothing about the request
 * that passed before. */
static void
refusal_of_a_repeat_is_in_doubt (void **state)
{
  ResetServer server;
  AgentCall *first = make_call (FALSE, 900);
  AgentCall *second = make_call (FALSE, 900);

  (void) state;
  reset_server_start (&server, CANNED_OK,
                      "HTTP/1.1 503 Busy\r\nAcacia-Ran: no\r\nContent-Length: 0\r\n\r\n");
  AgentCaller *caller = open_caller (server.port);
  agent_caller_run (caller, first);
  assert_true (first->has_answer);
  agent_caller_run (caller, second);
  agent_caller_free (caller);
  reset_server_stop (&server);
  assert_int_equal (server.n_requests, 3);
  assert_false (second->has_answer);
  assert_int_equal (second->kind, ERR_PROTOCOL);
  assert_int_equal (second->ran, ERR_RAN_DOUBT);
  agent_call_free (first);
  agent_call_free (second);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_endpoint_behaviour_maps_to_its_error_kind),
    cmocka_unit_test (refused_connection_is_not_run),
    cmocka_unit_test (expired_call_is_not_sent),
    cmocka_unit_test (once_request_is_sent_once_despite_a_kept_connection),
    cmocka_unit_test (refusal_of_a_repeat_is_in_doubt),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
