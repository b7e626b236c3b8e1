#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "agent/rig.h"

static void
response_has_whole_answer_and_request_ids (void **state)
{
  Rig *rig = rig_new (FALSE);

  (void) state;
  wait_healthy (rig);
  send_request (rig, 5, NULL, 5000);
  const Wire__Response *response = wait_for (rig, is_response, 5, 1)->response;
  assert_string_equal (response->kind, "");
  assert_int_equal (response->ran, ERR_RAN_YES);
  assert_int_equal (response->id_high, 1);
  assert_int_equal (response->attempt, 1);
  assert_string_equal (response->tenant, "bank-1");
  assert_int_equal (response->length, 5);
  assert_int_equal (response->body_digest, ids_hash ("whole", 5));
  assert_memory_equal (response->body.data, "whole", 5);
  rig_free (rig);
}

static void
duplicate_once_request_gets_the_stored_answer (void **state)
{
  Rig *rig = rig_new (FALSE);

  (void) state;
  wait_healthy (rig);
  send_request (rig, 5, "k", 5000);
  (void) wait_for (rig, is_response, 5, 1);
  send_request (rig, 6, "k", 5000);
  const Wire__Response *again = wait_for (rig, is_response, 6, 1)->response;
  assert_string_equal (again->kind, "");
  assert_memory_equal (again->body.data, "whole", 5);
  send_query (rig, 7, "k");
  const Wire__AttemptReply *reply = wait_for (rig, is_reply, 7, 1)->attempt_reply;
  assert_int_equal (reply->state, WIRE__ATTEMPT_STATE__ATTEMPT_RAN);
  assert_int_equal (reply->response->length, 5);
  assert_int_equal (canned_posts (rig->endpoint), 1);
  rig_free (rig);
}

static void
queried_attempt_never_runs (void **state)
{
  Rig *rig = rig_new (FALSE);

  (void) state;
  wait_healthy (rig);
  send_query (rig, 7, "k");
  assert_int_equal (wait_for (rig, is_reply, 7, 1)->attempt_reply->state,
                    WIRE__ATTEMPT_STATE__ATTEMPT_FENCED);
  send_request (rig, 5, "k", 5000);
  const Wire__Response *response = wait_for (rig, is_response, 5, 1)->response;
  assert_string_equal (response->kind, "fenced");
  assert_int_equal (response->ran, ERR_RAN_NO);
  assert_int_equal (canned_posts (rig->endpoint), 0);
  rig_free (rig);
}

static void
lost_answer_is_in_doubt_and_not_run_again (void **state)
{
  Rig *rig = rig_new (FALSE);

  (void) state;
  wait_healthy (rig);
  canned_set (rig->endpoint, "", 0);
  send_request (rig, 5, "k", 5000);
  assert_int_equal (wait_for (rig, is_response, 5, 1)->response->ran, ERR_RAN_DOUBT);
  canned_set (rig->endpoint, CANNED_OK, 0);
  send_request (rig, 6, "k", 5000);
  assert_string_equal (wait_for (rig, is_response, 6, 1)->response->kind, "in_doubt");
  send_query (rig, 7, "k");
  assert_int_equal (wait_for (rig, is_reply, 7, 1)->attempt_reply->state,
                    WIRE__ATTEMPT_STATE__ATTEMPT_UNKNOWN);
  assert_int_equal (canned_posts (rig->endpoint), 1);
  rig_free (rig);
}

static void
slot_and_connection_limits_are_enforced (void **state)
{
  Rig *rig = rig_new (FALSE);
  uint32_t answered = 0;
  uint32_t busy = 0;

  (void) state;
  wait_healthy (rig);
  canned_set (rig->endpoint, CANNED_OK, 200);
  for (uint64_t id = 1; id <= 8; id++)
    send_request (rig, id, NULL, 5000);
  for (uint64_t id = 1; id <= 8; id++)
    {
      const Wire__Response *response = wait_for (rig, is_response, id, 1)->response;
      answered += *response->kind == '\0' ? 1 : 0;
      busy += strcmp (response->kind, "all_busy") == 0 && response->ran == ERR_RAN_NO ? 1 : 0;
    }
  assert_int_equal (answered, 4);
  assert_int_equal (busy, 4);
  assert_int_equal (canned_posts (rig->endpoint), 4);
  pthread_mutex_lock (&rig->endpoint->mutex);
  assert_int_equal (rig->endpoint->max_running, 2);
  pthread_mutex_unlock (&rig->endpoint->mutex);
  rig_free (rig);
}

static void
leaving_finishes_running_requests_and_refuses_new_ones (void **state)
{
  Rig *rig = rig_new (FALSE);

  (void) state;
  wait_healthy (rig);
  canned_set (rig->endpoint, CANNED_OK, 600);
  send_request (rig, 5, NULL, 5000);
  while (canned_posts (rig->endpoint) == 0)
    g_usleep (5000);
  agent_node_leave (rig->node);
  g_usleep (100000);
  send_request (rig, 6, "k", 5000);
  const Wire__Response *refused = wait_for (rig, is_response, 6, 1)->response;
  assert_string_equal (refused->kind, "leaving");
  assert_int_equal (refused->ran, ERR_RAN_NO);
  assert_false (atomic_load (&rig->node->is_done));
  assert_string_equal (wait_for (rig, is_response, 5, 1)->response->kind, "");
  for (int i = 0; i < 100 && !atomic_load (&rig->node->is_done); i++)
    g_usleep (20000);
  assert_true (atomic_load (&rig->node->is_done));
  pthread_mutex_lock (&rig->mutex);
  assert_true (rig->announce->announce->leaving);
  pthread_mutex_unlock (&rig->mutex);
  assert_int_equal (canned_posts (rig->endpoint), 1);
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (response_has_whole_answer_and_request_ids),
    cmocka_unit_test (duplicate_once_request_gets_the_stored_answer),
    cmocka_unit_test (queried_attempt_never_runs),
    cmocka_unit_test (lost_answer_is_in_doubt_and_not_run_again),
    cmocka_unit_test (slot_and_connection_limits_are_enforced),
    cmocka_unit_test (leaving_finishes_running_requests_and_refuses_new_ones),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
