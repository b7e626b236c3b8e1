/* Decoders of the messages of the users' platform, with valid and invalid bodies. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/err.h"
#include "platform/caller.h"
#include "platform/operator.h"
#include "platform/runner.h"

#define DEPTH 100000

typedef struct
{
  const char *body;
  const char *message; /**< expected error message; NULL if the body is valid */
} Case;

static const Case jobs[] = {
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1}]}", NULL },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":2.0,\"cpu\":5}]}", NULL },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1},{\"count\":1,\"after\":[0]}],\"unknown\":7}", NULL },
  { "", "malformed JSON: '[' or '{' expected near end of file" },
  { "[]", "expected a JSON object" },
  { "{\"steps\":[{\"count\":1}]}", "member \"spec\": expected a string" },
  { "{\"spec\":\"x\"}", "member \"steps\": expected 1 to 256 steps" },
  { "{\"spec\":\"x\",\"steps\":[]}", "member \"steps\": expected 1 to 256 steps" },
  { "{\"spec\":\"x\",\"steps\":{}}", "member \"steps\": expected an array" },
  { "{\"spec\":\"x\",\"steps\":[5]}", "a step is not an object" },
  { "{\"spec\":\"x\",\"steps\":[{}]}", "member \"count\": expected a whole number" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":0}]}", "a number of a step is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1.5}]}", "member \"count\": expected a whole number" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-1}]}", "a number of a step is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":9007199254740993}]}",
    "member \"cpu\": expected a whole number" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":9007199254740992}]}",
    "a number of a step is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"target_ms\":-1}]}",
    "a number of a step is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"estimate_ms\":9007199254740992}]}",
    "a number of a step is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"repeat_count\":2,\"interval_ms\":"
    "9007199254740992}",
    "a time of the job is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"repeat_count\":2,\"start_at_ms\":"
    "9007199254740992}",
    "a time of the job is out of range" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
    "member \"after\": not an earlier step" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"gang\":1}]}",
    "member \"gang\": expected true or false" },
  { "{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"repeat_count\":-1}",
    "a time of the job is out of range" },
};

static void
jobs_are_decoded_or_refused (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (jobs); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (JobSpec) spec = caller_decode_job (jobs[i].body, strlen (jobs[i].body), &error);
      assert_int_equal (spec == NULL, jobs[i].message != NULL);
      if (jobs[i].message != NULL)
        assert_string_equal (error->message, jobs[i].message);
    }
}

static void
every_member_of_a_step_is_read (void **state)
{
  const char *body
      = "{\"spec\":\"s\",\"repeat_count\":3,\"start_at_ms\":9,\"interval_ms\":4,\"steps\":[{"
        "\"count\":2},"
        "{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"gpu\":1,\"estimate_ms\":900,\"after\":[0],"
        "\"checkpointing\":true,\"gang\":true,\"same_rack\":true,\"required_label\":\"a\","
        "\"affinity\":\"r1-3\",\"max_per_server\":2,\"speculative\":true,\"long_running\":true,"
        "\"image\":\"i\",\"target_ms\":50,\"fills\":true,\"may_miss\":1}]}";
  g_autoptr (JobSpec) spec = caller_decode_job (body, strlen (body), NULL);

  (void) state;
  assert_non_null (spec);
  assert_int_equal (spec->n_repeats, 3);
  assert_int_equal (spec->start_wall_ms, 9);
  assert_int_equal (spec->interval_ms, 4);
  const JobStep *step = g_ptr_array_index (spec->steps, 1);
  assert_int_equal (step->n_tasks, 4);
  assert_int_equal (step->size.cpu_m, 500);
  assert_int_equal (step->size.mem_mb, 256);
  assert_int_equal (step->size.gpus, 1);
  assert_int_equal (step->estimate_ms, 900);
  assert_int_equal (g_array_index (step->after, uint32_t, 0), 0);
  assert_true (step->has_checkpoints && step->is_gang && step->same_rack && step->is_speculative
               && step->is_continuous && step->is_best_effort && step->has_unavailable_max);
  assert_string_equal (step->label, "a");
  assert_string_equal (step->rack, "r1-3");
  assert_string_equal (step->image, "i");
  assert_int_equal (step->per_worker_max, 2);
  assert_int_equal (step->tail_target_ms, 50);
  assert_int_equal (step->unavailable_max, 1);
}

#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}"

static const Case reports[] = {
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":4," CAPACITY
    ",\"labels\":[\"a\",\"r1\"],\"new\":{}}",
    NULL },
  { "{\"zone\":\"z\",\"state\":\"ready\",\"seq\":4," CAPACITY "}",
    "member \"service\": expected a string" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"odd\",\"seq\":4," CAPACITY "}",
    "member \"state\": \"odd\" is not a state" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"," CAPACITY "}",
    "member \"seq\": expected a whole number" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":4}",
    "member \"capacity\": expected an object" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":4," CAPACITY ",\"labels\":[1]}",
    "member \"labels\": expected strings" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":4,\"capacity\":{\"cpu\":-1,"
    "\"mem_mb\":1}}",
    "member \"capacity\": a number is out of range" },
  { "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":4,\"capacity\":{\"cpu\":1,\"mem_"
    "mb\":"
    "9007199254740992}}",
    "member \"capacity\": a number is out of range" },
  { "\xff\xfe", "malformed JSON: '[' or '{' expected near '\\xff'" },
};

static void
reports_are_decoded_or_refused (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (WorkerInfo) info
          = runner_decode_report ("i-1", reports[i].body, strlen (reports[i].body), &error);
      assert_int_equal (info == NULL, reports[i].message != NULL);
      if (i < G_N_ELEMENTS (reports) - 1 && reports[i].message != NULL)
        assert_string_equal (error->message, reports[i].message);
    }
}

static RunnerAnswer
decode_lists (const char *running, const char *ended)
{
  g_autofree char *body
      = g_strdup_printf ("{\"clock_ms\":9,\"running\":%s,\"ended\":%s}", running, ended);
  const NetAnswer net = { .status = 200, .body = body, .size = strlen (body) };

  return runner_decode_answer (&net);
}

static void
unknown_kind_of_end_is_an_end_of_its_own_kind (void **state)
{
  RunnerAnswer answer = decode_lists (
      "[]", "[[1,\"t\",1,\"evicted\",\"\"],[2,\"t\",2,\"failed\",\"\",7,{}],[3,\"t\",3,9]]");

  (void) state;
  assert_int_equal (answer.n_unreadable, 0);
  assert_int_equal (answer.ended->len, 3);
  assert_int_equal (g_array_index (answer.ended, WorkerEnd, 0).how, WORKER_END_OTHER);
  assert_int_equal (g_array_index (answer.ended, WorkerEnd, 1).how, WORKER_END_FAILED);
  assert_int_equal (g_array_index (answer.ended, WorkerEnd, 2).how, WORKER_END_OTHER);
  runner_answer_clear (&answer);
}

static void
end_behind_one_that_cannot_be_read_is_not_taken (void **state)
{
  RunnerAnswer answer = decode_lists (
      "[]", "[[1,\"t\",1,\"done\",\"\"],[2,7,1,\"done\",\"\"],[3,\"u\",1,\"done\",\"\"]]");

  (void) state;
  assert_int_equal (answer.n_unreadable, 2);
  assert_int_equal (answer.ended->len, 1);
  runner_answer_clear (&answer);
}

static void
run_that_cannot_be_read_is_counted (void **state)
{
  RunnerAnswer answer = decode_lists (
      "[[\"t\",1,\"\",10],[\"u\",\"1\",\"\",10],[\"v\",2,null],{},[\"w\",3,\"\",1,2,\"new\"]]",
      "[]");

  (void) state;
  assert_int_equal (answer.n_unreadable, 2);
  assert_int_equal (answer.running->len, 3);
  runner_answer_clear (&answer);
}

static void
answer_without_both_lists_has_none (void **state)
{
  RunnerAnswer answer = decode_lists ("[]", "{}");

  (void) state;
  assert_null (answer.running);
  assert_null (answer.ended);
}

/* Guards against a list of ends that is taken for complete though the worker holds back others. */
static void
list_of_as_many_ends_as_fit_may_be_cut_off (void **state)
{
  (void) state;
  for (int n_ends = RUNNER_ENDS_MAX - 1; n_ends <= RUNNER_ENDS_MAX; n_ends++)
    {
      g_autoptr (GString) ended = g_string_new ("[");
      for (int i = 0; i < n_ends; i++)
        g_string_append_printf (ended, "%s[%d,\"t\",1,\"done\",\"\"]", i > 0 ? "," : "", i + 1);
      g_string_append_c (ended, ']');
      RunnerAnswer answer = decode_lists ("[]", ended->str);
      assert_int_equal (answer.ended->len, n_ends);
      assert_int_equal (answer.has_more_ends, n_ends == RUNNER_ENDS_MAX);
      runner_answer_clear (&answer);
    }
}

static const Case configs[] = {
  { "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/"
    "\",\"service\":\"s\","
    "\"priority\":2,\"max_attempts\":3,\"stretch\":2.2,\"target_latency_ms\":250}],"
    "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],\"limits\":{}}",
    NULL },
  { "{\"version\":7}", NULL },
  { "{\"routes\":[]}", "member \"version\": expected a whole number" },
  { "{\"version\":7,\"routes\":[{\"host\":\"h\"}]}", "member \"name\": expected a string" },
  { "{\"version\":7,\"services\":[{}]}", "member \"name\": expected a string" },
  { "{\"version\":7,\"services\":[{\"name\":\"s\",\"standby\":\"no\"}]}",
    "member \"standby\": expected true or false" },
};

static void
configurations_are_decoded_or_refused_whole (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (configs); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (QueueConfig) config
          = operator_decode_config (configs[i].body, strlen (configs[i].body), &error);
      assert_int_equal (config == NULL, configs[i].message != NULL);
      if (configs[i].message != NULL)
        assert_string_equal (error->message, configs[i].message);
    }
}

static void
longest_matching_prefix_wins (void **state)
{
  const char *body
      = "{\"version\":1,\"routes\":["
        "{\"name\":\"short\",\"host\":\"H\",\"path_prefix\":\"/a/\",\"service\":\"s\"},"
        "{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/a/b/\",\"service\":\"s\"}]}";
  g_autoptr (QueueConfig) config = operator_decode_config (body, strlen (body), NULL);

  (void) state;
  assert_string_equal (queue_config_route (config, "h:80", "/a/b/1")->name, "long");
  assert_string_equal (queue_config_route (config, "h", "/a/c")->name, "short");
  assert_null (queue_config_route (config, "h", "/x"));
  assert_null (queue_config_route (config, "other", "/a/b/1"));
}

static const struct
{
  const char *key;
  const char *data_centre; /**< NULL if the key requests no evacuation */
} evacuations[] = { { "evacuate/north", "north" },
                    { "evacuate/a/b", "a/b" },
                    { "evacuate/", NULL },
                    { "evacuate", NULL },
                    { "evacuates/north", NULL },
                    { "config", NULL },
                    { "", NULL } };

static void
evacuations_are_told_by_their_keys (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (evacuations); i++)
    {
      const char *key = evacuations[i].key;
      g_autofree char *data_centre = operator_decode_evacuation (key, strlen (key));
      assert_true (g_strcmp0 (data_centre, evacuations[i].data_centre) == 0);
    }
  assert_null (operator_decode_evacuation ("evacuate/a\0b", 12));
}

static void
task_names_round_trip (void **state)
{
  JobTaskName name;

  (void) state;
  assert_true (job_task_name_parse ("5c0e7a21d94b36f8.0.1.17", &name));
  assert_int_equal (name.index, 17);
  g_autofree char *text = job_task_name_format (&name);
  assert_string_equal (text, "5c0e7a21d94b36f8.0.1.17");
  assert_false (job_task_name_parse ("5c0e7a21d94b36f8.0.1", &name));
  assert_false (job_task_name_parse ("5c0e7a21d94b36f8.0.1.x", &name));
  assert_false (job_task_name_parse ("zz0e7a21d94b36f8.0.1.1", &name));
  assert_false (job_task_name_parse ("", &name));
}

static const struct
{
  const char *value; /**< NULL: arrays nested DEPTH times */
  const char *message;
} unreadable[] = { { NULL, "maximum parsing depth" },
                   { "1e999", "real number overflow" },
                   { "99999999999999999999", "too big integer" },
                   { "\"\\u0000\"", "\\u0000 is not allowed" } };

/* Each of them is refused whole: the process goes on, and other reports and jobs hold. */
static void
bodies_that_json_cannot_hold_are_refused (void **state)
{
  g_autofree char *nested = g_strnfill (DEPTH, '[');

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (unreadable); i++)
    {
      const char *value = unreadable[i].value != NULL ? unreadable[i].value : nested;
      g_autofree char *body = g_strdup_printf ("{\"version\":1,\"odd\":%s}", value);
      GError *errors[3] = { NULL };
      assert_null (caller_decode_job (body, strlen (body), &errors[0]));
      assert_null (runner_decode_report ("i", body, strlen (body), &errors[1]));
      assert_null (operator_decode_config (body, strlen (body), &errors[2]));
      for (size_t k = 0; k < G_N_ELEMENTS (errors); k++)
        {
          assert_non_null (strstr (errors[k]->message, unreadable[i].message));
          g_clear_error (&errors[k]);
        }
    }
}

static void
clock_of_a_worker_out_of_range_is_not_taken (void **state)
{
  static const char body[] = "{\"clock_ms\":9223372036854775807}";
  const NetAnswer answer = { .status = 200, .body = body, .size = strlen (body) };
  RunnerAnswer decoded = runner_decode_answer (&answer);

  (void) state;
  assert_int_equal (decoded.clock_ms, -1);
  runner_answer_clear (&decoded);
}

static void
note_outcome (void *ctx, const RunnerAnswer *answer)
{
  *(RunnerOutcome *) ctx = answer->outcome;
}

/* The texts come from messages of another process, which may be of another build. */
static void
texts_that_are_not_utf8_do_not_end_the_agent (void **state)
{
  NetClient *client = net_client_new ();
  const RunnerTarget target
      = { .client = client, .address = "127.0.0.1:1", .worker_id = "w", .timeout_ms = 500 };
  const RunnerStart start = { .task = "\xff", .spec = "\xff", .checkpoint = "\xff", .ticket = "" };
  RunnerOutcome outcomes[3];

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    outcomes[i] = RUNNER_OUTCOME_COUNT;
  runner_start (&target, &start, note_outcome, &outcomes[0]);
  runner_stop (&target, "\xff", 1, note_outcome, &outcomes[1]);
  runner_set_cpu_limit (&target, "\xff", 1, 50, note_outcome, &outcomes[2]);
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      while (outcomes[i] == RUNNER_OUTCOME_COUNT)
        (void) g_main_context_iteration (NULL, TRUE);
      assert_int_equal (outcomes[i], RUNNER_NOT_SENT);
    }
  net_client_free (client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (jobs_are_decoded_or_refused),
    cmocka_unit_test (every_member_of_a_step_is_read),
    cmocka_unit_test (reports_are_decoded_or_refused),
    cmocka_unit_test (unknown_kind_of_end_is_an_end_of_its_own_kind),
    cmocka_unit_test (end_behind_one_that_cannot_be_read_is_not_taken),
    cmocka_unit_test (run_that_cannot_be_read_is_counted),
    cmocka_unit_test (answer_without_both_lists_has_none),
    cmocka_unit_test (list_of_as_many_ends_as_fit_may_be_cut_off),
    cmocka_unit_test (bodies_that_json_cannot_hold_are_refused),
    cmocka_unit_test (clock_of_a_worker_out_of_range_is_not_taken),
    cmocka_unit_test (texts_that_are_not_utf8_do_not_end_the_agent),
    cmocka_unit_test (configurations_are_decoded_or_refused_whole),
    cmocka_unit_test (longest_matching_prefix_wins),
    cmocka_unit_test (evacuations_are_told_by_their_keys),
    cmocka_unit_test (task_names_round_trip),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
