/* The HTTP client when a connection that it reuses is reset after a request passed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "net/net_client.h"
#include "support/reset_server.h"

#define TIMEOUT_MS 2000
#define READS 20
#define EMPTY_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#define BUSY_ANSWER "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

typedef struct
{
  gboolean is_done;
  uint32_t status;
  gboolean may_have_run;
} Result;

static void
on_answer (void *ctx, const NetAnswer *answer)
{
  Result *result = ctx;

  *result = (Result){ TRUE, answer->status, answer->may_have_run };
}

static Result
call_once (NetClient *client, uint16_t port, const char *method)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/x", port);
  const NetCall call = { .method = method, .url = url, .timeout_ms = TIMEOUT_MS };
  Result result = { 0 };

  net_client_call (client, &call, on_answer, NULL, &result);
  while (!result.is_done)
    (void) g_main_context_iteration (NULL, TRUE);
  return result;
}

/* Returns the result of the call whose connection is reset. */
static Result
call_over_reset_connection (ResetServer *server, const char *method, gboolean refuses_next)
{
  NetClient *client = net_client_new ();

  reset_server_start (server, EMPTY_ANSWER, refuses_next ? NULL : BUSY_ANSWER);
  assert_int_equal (call_once (client, server->port, method).status, 200);
  Result result = call_once (client, server->port, method);
  net_client_free (client);
  reset_server_stop (server);
  return result;
}

static void
reset_then_refused_may_have_run (void **state)
{
  ResetServer server;

  (void) state;
  Result result = call_over_reset_connection (&server, "POST", TRUE);
  assert_int_equal (server.n_requests, 2);
  assert_int_equal (result.status, 0);
  assert_true (result.may_have_run);
}

static void
reset_call_is_not_sent_again (void **state)
{
  ResetServer server;

  (void) state;
  Result result = call_over_reset_connection (&server, "POST", FALSE);
  assert_int_equal (server.n_requests, 2);
  assert_int_equal (result.status, 0);
  assert_true (result.may_have_run);
}

/* A read has no effect, so the answer to its repeat is as good as the first one. libcurl does not
 * repeat it if it sees the reset before the end of the input. */
static void
reset_read_may_be_sent_again (void **state)
{
  uint32_t n_repeated = 0;

  (void) state;
  for (uint32_t i = 0; i < READS; i++)
    {
      ResetServer server;
      Result result = call_over_reset_connection (&server, "GET", FALSE);
      n_repeated += server.n_requests == 3;
      if (server.n_requests == 3)
        assert_int_equal (result.status, 503);
      else
        {
          assert_int_equal (server.n_requests, 2);
          assert_int_equal (result.status, 0);
          assert_true (result.may_have_run);
        }
    }
  assert_true (n_repeated > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (reset_then_refused_may_have_run),
    cmocka_unit_test (reset_call_is_not_sent_again),
    cmocka_unit_test (reset_read_may_be_sent_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
