/* The HTTP server against the client of this library. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "net/net_client.h"
#include "net/net_server.h"

#define ADDRESS "127.0.0.1:28721"
#define TIMEOUT_MS 2000

typedef struct
{
  NetRequest *held;
  guint n_held;
} Held;

static void
hold (void *ctx, NetRequest *request)
{
  Held *held = ctx;

  held->held = request;
  held->n_held++;
}

static void
on_answer (void *ctx, const NetAnswer *answer)
{
  NetAnswer *copy = ctx;

  *copy = *answer;
  copy->body = "";
}

/* A process that ends while the store is silent still has requests that wait for it. */
static void
free_answers_what_is_open (void **state)
{
  Held held = { 0 };
  NetAnswer answer = { .body = NULL };
  const NetServerOptions options = { .address = ADDRESS,
                                     .connections_max = 4,
                                     .idle_s = 10,
                                     .body_bytes_max = 1000,
                                     .handler = hold,
                                     .ctx = &held };
  const NetCall call = { .method = "GET", .url = "http://" ADDRESS "/x", .timeout_ms = TIMEOUT_MS };
  NetServer *server = net_server_new (&options, NULL);
  NetClient *client = net_client_new ();

  (void) state;
  assert_non_null (server);
  net_client_call (client, &call, on_answer, NULL, &answer);
  while (held.n_held == 0)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (net_server_open_requests (server), 1);
  net_server_free (server);
  while (answer.body == NULL)
    (void) g_main_context_iteration (NULL, TRUE);
  assert_int_equal (answer.status, 504);
  net_client_free (client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (free_answers_what_is_open) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
