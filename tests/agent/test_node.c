#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <pthread.h>

#include "agent/agent_node.h"
#include "agent/canned_server.h"
#include "common/clk.h"
#include "support/fake_worker.h"
#include "wire/free_address.h"
#include "wire/wire_parse.h"

#define WAIT_US (INT64_C (10) * CLK_US_PER_S)
#define POLL_US 2000
#define LEASE_MS 3000
#define SHARD 7

/** A fake entry with one agent; the entry's loop thread fills in what is guarded by mutex. */
typedef struct
{
  CannedServer *endpoint;
  FakeWorker *worker;
  char *address; /**< of the entry */
  AgentSettings settings;
  MetRegistry *metrics;
  AgentNode *node;
  Wire *entry;
  pthread_mutex_t mutex;
  GPtrArray *heard; /**< Wire__Envelope of all but heartbeats */
  Wire__Envelope *announce;
  uint32_t n_announces;
  uint64_t grant_epoch; /**< 0: no lease is granted */
  gboolean acknowledge;
} Rig;

typedef struct
{
  Rig *rig;
  uint8_t *data;
  size_t size;
} Packed;

typedef gboolean (*Matches) (const Wire__Envelope *envelope, uint64_t what);

static Wire__Envelope *
copy (const Wire__Envelope *envelope)
{
  size_t size = wire__envelope__get_packed_size (envelope);
  g_autofree uint8_t *data = g_malloc (size);

  wire__envelope__pack (envelope, data);
  return wire_parse (data, size, NULL);
}

static void
answer_announce (Rig *rig, const char *peer, const Wire__Announce *announce)
{
  Wire__Lease lease = WIRE__LEASE__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__TaskAck acks[16];
  Wire__TaskAck *pointers[16];

  lease.seq = announce->seq;
  lease.sent_us = announce->sent_us;
  lease.shard = SHARD;
  lease.epoch = rig->grant_epoch;
  lease.lease_ms = rig->grant_epoch != 0 ? LEASE_MS : 0;
  for (size_t i = 0; rig->acknowledge && i < announce->n_tasks && lease.n_acks < 16; i++)
    {
      const Wire__TaskStatus *task = announce->tasks[i];
      if (task->state == WIRE__TASK_STATE__TASK_RUNNING)
        continue;
      wire__task_ack__init (&acks[lease.n_acks]);
      acks[lease.n_acks].job = task->job;
      acks[lease.n_acks].index = task->index;
      acks[lease.n_acks].attempt = task->attempt;
      pointers[lease.n_acks] = &acks[lease.n_acks];
      lease.n_acks++;
    }
  lease.acks = pointers;
  envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
  envelope.lease = &lease;
  (void) wire_send (rig->entry, peer, &envelope);
}

static void
on_entry_message (void *ctx, const char *peer, const Wire__Envelope *envelope)
{
  Rig *rig = ctx;

  pthread_mutex_lock (&rig->mutex);
  if (envelope->body_case == WIRE__ENVELOPE__BODY_ANNOUNCE)
    {
      wire_parsed_free (rig->announce);
      rig->announce = copy (envelope);
      rig->n_announces++;
      answer_announce (rig, peer, envelope->announce);
    }
  else
    g_ptr_array_add (rig->heard, copy (envelope));
  pthread_mutex_unlock (&rig->mutex);
}

static void
on_entry_timer (void *ctx, int64_t now_us)
{
  (void) ctx;
  (void) now_us;
}

static void
open_settings (Rig *rig, gboolean with_worker)
{
  g_autofree char *path = NULL;
  GError *error = NULL;
  int fd = g_file_open_tmp ("agentXXXXXX", &path, NULL);
  g_autofree char *text = g_strdup_printf (
      "name = \"agent-1\"\ndata_centre = \"dc-1\"\nentries = [\"entry-1=%s\"]\n"
      "heartbeat_ms = 50\nlease_margin_ms = 300\nworker.poll_ms = 100\nworker.port = %u\n"
      "endpoint.service = \"mixdesk\"\nendpoint.port = %u\nendpoint.slots = 2\n"
      "endpoint.connections = 4\nendpoint.threads = 4\nendpoint.once_read_ms = 1000\n"
      "drain_task_ms = 5000\n",
      rig->address, with_worker ? fake_worker_port (rig->worker) : 0, rig->endpoint->port);

  assert_true (fd >= 0 && write (fd, text, strlen (text)) == (ssize_t) strlen (text));
  close (fd);
  if (!agent_settings_load (path, &rig->settings, &error))
    fail_msg ("%s", error->message);
  (void) unlink (path);
}

static Rig *
rig_new (gboolean with_worker)
{
  FakeWorkerOptions worker = { .capacity = { 4000, 4000, 1 } };
  Rig *rig = g_new0 (Rig, 1);
  WireEvents events = { on_entry_message, on_entry_timer, rig };

  pthread_mutex_init (&rig->mutex, NULL);
  rig->heard = g_ptr_array_new_with_free_func ((GDestroyNotify) wire_parsed_free);
  rig->metrics = met_new ();
  rig->address = free_address ();
  rig->endpoint = canned_new ();
  rig->worker = fake_worker_new (&worker);
  open_settings (rig, with_worker);
  WireOptions options = { .name = "entry-1",
                          .incarnation = 1,
                          .listen = rig->address,
                          .send_queue_max = 1000,
                          .timer_ms = 50,
                          .heartbeat_ms = 500,
                          .metrics = rig->metrics };
  rig->entry = wire_new (&options, &events, NULL);
  assert_non_null (rig->entry);
  wire_start (rig->entry);
  rig->node = agent_node_open (&rig->settings, rig->metrics, NULL);
  assert_non_null (rig->node);
  return rig;
}

static void
rig_free (Rig *rig)
{
  agent_node_close (rig->node);
  wire_free (rig->entry);
  canned_free (rig->endpoint);
  fake_worker_free (rig->worker);
  wire_parsed_free (rig->announce);
  g_ptr_array_unref (rig->heard);
  agent_settings_clear (&rig->settings);
  met_free (rig->metrics);
  g_free (rig->address);
  pthread_mutex_destroy (&rig->mutex);
  g_free (rig);
}

static void
send_packed (void *ctx, void *data)
{
  Rig *rig = ctx;
  Packed *packed = data;
  Wire__Envelope *envelope = wire_parse (packed->data, packed->size, NULL);

  g_assert_true (wire_send (rig->entry, "agent-1", envelope));
  wire_parsed_free (envelope);
  g_free (packed->data);
  g_free (packed);
}

static void
send_envelope (Rig *rig, const Wire__Envelope *envelope)
{
  Packed *packed = g_new0 (Packed, 1);

  packed->size = wire__envelope__get_packed_size (envelope);
  packed->data = g_malloc (packed->size);
  wire__envelope__pack (envelope, packed->data);
  assert_true (wire_post (rig->entry, send_packed, rig, packed));
}

static const Wire__Envelope *
find_heard (Rig *rig, Matches matches, uint64_t what, uint32_t nth)
{
  const Wire__Envelope *found = NULL;
  uint32_t seen = 0;

  pthread_mutex_lock (&rig->mutex);
  for (guint i = 0; i < rig->heard->len && found == NULL; i++)
    {
      const Wire__Envelope *envelope = g_ptr_array_index (rig->heard, i);
      if (matches (envelope, what) && ++seen == nth)
        found = envelope;
    }
  pthread_mutex_unlock (&rig->mutex);
  return found;
}

/* Waits for the n-th message that fits; it belongs to the rig. */
static const Wire__Envelope *
wait_for (Rig *rig, Matches matches, uint64_t what, uint32_t nth)
{
  int64_t end_us = clk_now_us () + WAIT_US;
  const Wire__Envelope *found;

  while ((found = find_heard (rig, matches, what, nth)) == NULL && clk_now_us () < end_us)
    g_usleep (POLL_US);
  assert_non_null (found);
  return found;
}

static gboolean
is_response (const Wire__Envelope *envelope, uint64_t id)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_RESPONSE && envelope->response->id_low == id;
}

static gboolean
is_reply (const Wire__Envelope *envelope, uint64_t id)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_ATTEMPT_REPLY
         && envelope->attempt_reply->id_low == id;
}

static gboolean
is_running (const Wire__Envelope *envelope, uint64_t job)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_EVENT && envelope->event->job == job
         && envelope->event->state == WIRE__TASK_STATE__TASK_RUNNING;
}

static gboolean
is_ended (const Wire__Envelope *envelope, uint64_t job)
{
  return envelope->body_case == WIRE__ENVELOPE__BODY_EVENT && envelope->event->job == job
         && envelope->event->state != WIRE__TASK_STATE__TASK_RUNNING;
}

static gboolean
is_healthy (Rig *rig)
{
  gboolean healthy;

  pthread_mutex_lock (&rig->mutex);
  healthy = rig->announce != NULL && rig->announce->announce->services[0]->healthy
            && (rig->grant_epoch == 0 || rig->announce->announce->n_shards > 0);
  pthread_mutex_unlock (&rig->mutex);
  return healthy;
}

/* Waits for a heartbeat that says that the endpoint is healthy and the lease is there. */
static void
wait_healthy (Rig *rig)
{
  int64_t end_us = clk_now_us () + WAIT_US;

  while (!is_healthy (rig) && clk_now_us () < end_us)
    g_usleep (POLL_US);
  assert_true (is_healthy (rig));
}

static void
set_grant (Rig *rig, uint64_t epoch, gboolean acknowledge)
{
  pthread_mutex_lock (&rig->mutex);
  rig->grant_epoch = epoch;
  rig->acknowledge = acknowledge;
  pthread_mutex_unlock (&rig->mutex);
}

static size_t
announced_tasks (Rig *rig)
{
  pthread_mutex_lock (&rig->mutex);
  size_t n = rig->announce->announce->n_tasks;
  pthread_mutex_unlock (&rig->mutex);
  return n;
}

static void
send_request (Rig *rig, uint64_t id, const char *key, int64_t budget_ms)
{
  Wire__Request request = WIRE__REQUEST__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  request.id_high = 1;
  request.id_low = id;
  request.attempt = 1;
  request.tenant = "bank-1";
  request.service = "mixdesk";
  request.once = key != NULL;
  request.key = key != NULL ? (char *) key : "";
  request.path = "/render";
  request.body = (ProtobufCBinaryData){ 4, (uint8_t *) "body" };
  request.body_digest = ids_hash ("body", 4);
  request.budget_us = budget_ms * CLK_US_PER_MS;
  request.agent_incarnation = rig->node->incarnation;
  envelope.body_case = WIRE__ENVELOPE__BODY_REQUEST;
  envelope.request = &request;
  send_envelope (rig, &envelope);
}

static void
send_query (Rig *rig, uint64_t id, const char *key)
{
  Wire__AttemptQuery query = WIRE__ATTEMPT_QUERY__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  query.id_low = id;
  query.attempt = 1;
  query.tenant = "bank-1";
  query.key = (char *) key;
  query.agent_incarnation = rig->node->incarnation;
  envelope.body_case = WIRE__ENVELOPE__BODY_ATTEMPT_QUERY;
  envelope.attempt_query = &query;
  send_envelope (rig, &envelope);
}

static void
send_command (Rig *rig, Wire__TaskVerb verb, uint64_t job, uint64_t epoch, int64_t run_ms)
{
  Wire__TaskCommand command = WIRE__TASK_COMMAND__INIT;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Size size = WIRE__SIZE__INIT;

  size.cpu_milli = 3000;
  command.verb = verb;
  command.job = job;
  command.attempt = 1;
  command.shard = SHARD;
  command.epoch = epoch;
  command.run_ms = run_ms;
  command.reserved = &size;
  command.job_name = "render";
  command.batch_class = "render";
  envelope.body_case = WIRE__ENVELOPE__BODY_COMMAND;
  envelope.command = &command;
  send_envelope (rig, &envelope);
}

static void
whole_answer_comes_back_with_its_names (void **state)
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
once_request_runs_once_and_is_answered_again (void **state)
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
attempt_that_was_asked_about_never_runs (void **state)
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
lost_answer_is_in_doubt_and_never_run_again (void **state)
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
slots_and_connections_are_kept (void **state)
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
leaving_cuts_nothing_and_takes_nothing (void **state)
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

static void
task_runs_under_a_lease_until_acknowledged (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  (void) wait_for (rig, is_running, 11, 1);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 12, 3, 400);
  const Wire__TaskStatus *full = wait_for (rig, is_ended, 12, 1)->event;
  assert_int_equal (full->state, WIRE__TASK_STATE__TASK_REFUSED);
  assert_string_equal (full->kind, "no_capacity");
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state, WIRE__TASK_STATE__TASK_DONE);
  set_grant (rig, 3, TRUE);
  for (int i = 0; i < 100 && announced_tasks (rig) > 0; i++)
    g_usleep (20000);
  assert_int_equal (announced_tasks (rig), 0);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  assert_string_equal (wait_for (rig, is_ended, 11, 2)->event->kind, "fenced");
  rig_free (rig);
}

static void
command_without_a_lease_is_refused (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 400);
  assert_string_equal (wait_for (rig, is_ended, 11, 1)->event->kind, "no_lease");
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 12, 2, 400);
  assert_string_equal (wait_for (rig, is_ended, 12, 1)->event->kind, "stale_epoch");
  rig_free (rig);
}

static void
lapsed_lease_ends_its_tasks_with_a_checkpoint (void **state)
{
  Rig *rig = rig_new (TRUE);
  int64_t since_us;

  (void) state;
  set_grant (rig, 3, FALSE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 60000);
  (void) wait_for (rig, is_running, 11, 1);
  since_us = clk_now_us ();
  set_grant (rig, 0, FALSE);
  const Wire__TaskStatus *ended = wait_for (rig, is_ended, 11, 1)->event;
  assert_int_equal (ended->state, WIRE__TASK_STATE__TASK_CHECKPOINTED);
  assert_true (clk_now_us () - since_us < LEASE_MS * CLK_US_PER_MS);
  rig_free (rig);
}

static void
leaving_checkpoints_and_reports_tasks (void **state)
{
  Rig *rig = rig_new (TRUE);

  (void) state;
  set_grant (rig, 3, TRUE);
  wait_healthy (rig);
  send_command (rig, WIRE__TASK_VERB__VERB_START, 11, 3, 60000);
  (void) wait_for (rig, is_running, 11, 1);
  agent_node_leave (rig->node);
  assert_int_equal (wait_for (rig, is_ended, 11, 1)->event->state,
                    WIRE__TASK_STATE__TASK_CHECKPOINTED);
  for (int i = 0; i < 200 && !atomic_load (&rig->node->is_done); i++)
    g_usleep (20000);
  assert_true (atomic_load (&rig->node->is_done));
  rig_free (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (whole_answer_comes_back_with_its_names),
    cmocka_unit_test (once_request_runs_once_and_is_answered_again),
    cmocka_unit_test (attempt_that_was_asked_about_never_runs),
    cmocka_unit_test (lost_answer_is_in_doubt_and_never_run_again),
    cmocka_unit_test (slots_and_connections_are_kept),
    cmocka_unit_test (leaving_cuts_nothing_and_takes_nothing),
    cmocka_unit_test (task_runs_under_a_lease_until_acknowledged),
    cmocka_unit_test (command_without_a_lease_is_refused),
    cmocka_unit_test (lapsed_lease_ends_its_tasks_with_a_checkpoint),
    cmocka_unit_test (leaving_checkpoints_and_reports_tasks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
