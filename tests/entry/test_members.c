/* Table-driven tests: parameters of requests, membership, configuration, dry run, settings. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "common/err.h"
#include "entry/config.h"
#include "entry/dryrun.h"
#include "entry/jobs.h"
#include "entry/members.h"
#include "entry/params.h"
#include "entry/settings.h"

typedef struct
{
  uint64_t incarnation;
  uint64_t seq;
  MembersChange change;
} Heartbeat;

/* Late heartbeats of a replaced incarnation are ignored. */
static const Heartbeat heartbeats[] = {
  { 1, 5, MEMBERS_NEW },     { 1, 5, MEMBERS_STALE },    { 1, 4, MEMBERS_STALE },
  { 1, 6, MEMBERS_UPDATED }, { 2, 1, MEMBERS_REPLACED }, { 1, 7, MEMBERS_STALE },
  { 2, 2, MEMBERS_UPDATED }, { 3, 1, MEMBERS_REPLACED }, { 2, 9, MEMBERS_STALE },
  { 1, 99, MEMBERS_STALE },  { 3, 2, MEMBERS_UPDATED },
};

static void
replaced_incarnations_are_ignored (void **state)
{
  Members *members = members_new (1000);
  char name[] = "a";
  char empty[] = "";

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (heartbeats); i++)
    {
      Wire__Announce announce = WIRE__ANNOUNCE__INIT;
      Wire__Digest digest = WIRE__DIGEST__INIT;
      announce.agent = name;
      announce.data_centre = empty;
      announce.incarnation = heartbeats[i].incarnation;
      announce.seq = heartbeats[i].seq;
      digest.entry = name;
      digest.incarnation = heartbeats[i].incarnation;
      digest.seq = heartbeats[i].seq;
      assert_int_equal (members_announce (members, &announce, (int64_t) i), heartbeats[i].change);
      assert_int_equal (members_digest (members, &digest, (int64_t) i), heartbeats[i].change);
    }
  assert_int_equal (members_agent (members, "a", 0)->incarnation, 3);
  assert_null (members_agent (members, "a", 2));
  members_expire (members, 1000, 2000);
  assert_null (members_agent (members, "a", 0));
  assert_null (members_entry (members, "a"));
  members_free (members);
}

/* A leaving agent stays leaving until a new incarnation replaces it. */
static void
leaving_is_final_for_an_incarnation (void **state)
{
  Members *members = members_new (1000);
  Wire__Announce announce = WIRE__ANNOUNCE__INIT;
  char name[] = "a";

  (void) state;
  announce.agent = name;
  announce.incarnation = 1;
  announce.seq = 1;
  announce.leaving = TRUE;
  members_announce (members, &announce, 1);
  announce.seq = 2;
  announce.leaving = FALSE;
  members_announce (members, &announce, 2);
  assert_true (members_agent (members, "a", 0)->leaving);
  announce.incarnation = 2;
  members_announce (members, &announce, 3);
  assert_false (members_agent (members, "a", 0)->leaving);
  members_free (members);
}

typedef struct
{
  const char *target;
  const char *header;
  const char *value;
  int kind; /**< ErrKind; -1: valid */
} Target;

static const Target targets[] = {
  { "/v1/call/mix/cut?x=1", NULL, NULL, -1 },
  { "/v1/call/mix", NULL, NULL, -1 },
  { "/v1/call/mix?x=1", NULL, NULL, -1 },
  { "/v1/call//cut", NULL, NULL, ERR_BAD_REQUEST },
  { "/v1/call/m%20x/cut", NULL, NULL, ERR_BAD_REQUEST },
  { "/v2/call/mix/cut", NULL, NULL, ERR_NOT_FOUND },
  { "/v1/call/mix/cut", "Acacia-Tenant", "", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Tenant", "a/b", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Tenant", "a\nb", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Idempotency-Key", "a b", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Idempotency-Key", "", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Idempotency-Key", "k:1/2", -1 },
  { "/v1/call/mix/cut", "Acacia-Kind", "once", -1 },
  { "/v1/call/mix/cut", "Acacia-Kind", "ONCE", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Timeout-Ms", "1000", -1 },
  { "/v1/call/mix/cut", "Acacia-Timeout-Ms", "-1", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Timeout-Ms", "1s", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Date-Ms", "99999999999999999999", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Request-Id", "00000000000000000000000000000000", ERR_BAD_REQUEST },
  { "/v1/call/mix/cut", "Acacia-Request-Id", "0123456789abcdef0123456789abcdef", -1 },
};

static const char *
header_of (void *ctx, const char *name)
{
  const Target *target = ctx;

  if (target->header != NULL && strcmp (target->header, name) == 0)
    return target->value;
  return strcmp (name, "Acacia-Tenant") == 0 ? "norte" : NULL;
}

static void
callers_input_is_checked (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      ParamsCall call = { 0 };
      GError *error = NULL;
      gboolean ok = params_call (targets[i].target, header_of, (void *) &targets[i], &call, &error);
      if (ok != (targets[i].kind < 0) || (!ok && (int) err_kind (error) != targets[i].kind))
        fail_msg ("%s %s '%s'", targets[i].target, targets[i].header, targets[i].value);
      g_clear_error (&error);
      params_clear (&call);
    }
}

static void
long_input_is_too_large (void **state)
{
  g_autofree char *letters = g_strnfill (PARAMS_PATH_MAX + 1, 'a');
  g_autofree char *path = g_strconcat ("/v1/call/mix/", letters, NULL);
  Target target = { path, "Content-Type", letters, ERR_TOO_LARGE };
  ParamsCall call = { 0 };
  GError *error = NULL;

  (void) state;
  assert_false (params_call (path, header_of, &target, &call, &error));
  assert_int_equal (err_kind (error), ERR_TOO_LARGE);
  g_clear_error (&error);
  params_clear (&call);
  assert_false (params_call ("/v1/call/mix/x", header_of, &target, &call, &error));
  assert_int_equal (err_kind (error), ERR_TOO_LARGE);
  g_clear_error (&error);
  params_clear (&call);
}

static GBytes *
text_bytes (const char *text)
{
  return g_bytes_new (text, strlen (text));
}

static void
configuration_versions_only_increase (void **state)
{
  Config *current = config_empty ();
  g_autoptr (GBytes) text = text_bytes ("[service.mix]\n");
  g_autoptr (GBytes) bad = text_bytes ("x = 1\n");
  GError *error = NULL;

  (void) state;
  assert_true (config_advance (&current, config_new (5, "a", 1, text, NULL)));
  assert_false (config_advance (&current, config_new (4, "a", 1, text, NULL)));
  assert_false (config_advance (&current, config_new (5, "b", 1, text, NULL)));
  assert_int_equal (current->version, 5);
  assert_null (config_new (6, "a", 1, bad, &error));
  assert_int_equal (err_kind (error), ERR_BAD_CONFIG);
  g_clear_error (&error);
  config_unref (current);
}

static void
definitions_are_parsed_back (void **state)
{
  const char *text = "[team.t]\n[job.j]\nteam = \"t\"\nclass = \"c\"\npriority = \"urgent\"\n"
                     "labels = { kind2 = \"x\", site = \"y\" }\ntasks = 3\ncpu_milli = 10\n"
                     "memory_mb = 20\nrun_ms = 30\ndeadline_ms = 40\nmax_failures = 5\n";
  DocDocument *document = doc_parse (text, strlen (text), "t", NULL);
  const DocJob *before = doc_job (document, "j");
  g_autofree char *printed = jobs_definition (before);
  DocDocument *again = jobs_parse ("j", printed, strlen (printed));
  g_autofree char *printed_again = jobs_definition (doc_job (again, "j"));

  (void) state;
  assert_string_equal (printed, printed_again);
  assert_true (lab_equal (before->labels, doc_job (again, "j")->labels));
  assert_null (jobs_parse ("other", printed, strlen (printed)));
  assert_int_not_equal (jobs_id ("a", "b", "c"), jobs_id ("a", "bc", ""));
  doc_free (again);
  doc_free (document);
}

static void
dry_run_lists_changes (void **state)
{
  const char *before = "[service.mix]\n[job.a]\n";
  const char *after = "[service.mix]\nslots = 3\n[job.b]\n[[rule]]\nname = \"r\"\n"
                      "effect = \"may\"\nwork = \"name = b\"\ninstances = \"disk = ssd\"\n";
  DocDocument *current = doc_parse (before, strlen (before), "t", NULL);
  DocDocument *next = doc_parse (after, strlen (after), "t", NULL);
  Members *members = members_new (1000);
  g_autoptr (GBytes) bytes = dryrun_render (7, current, next, members);
  gsize size = 0;
  const char *data = g_bytes_get_data (bytes, &size);
  g_autofree char *text = g_strndup (data, size);

  (void) state;
  assert_non_null (
      strstr (text, "{\"section\":\"service\",\"name\":\"mix\",\"change\":\"changed\"}"));
  assert_non_null (strstr (text, "{\"section\":\"job\",\"name\":\"a\",\"change\":\"removed\"}"));
  assert_non_null (strstr (text, "{\"section\":\"job\",\"name\":\"b\",\"change\":\"added\"}"));
  assert_non_null (strstr (text, "\"where\":\"rule r: instances\",\"selector\":\"disk = ssd\""));
  assert_null (strstr (text, "rule r: work"));
  members_free (members);
  doc_free (current);
  doc_free (next);
}

static void
peers_are_checked (void **state)
{
  static const char *const bad[] = { "", "e", "e=", "e=1.2.3.4:5", "=tcp://x", "a b=tcp://x" };
  char *name = NULL;
  char *address = NULL;

  (void) state;
  assert_true (settings_peer ("e=tcp://127.0.0.1:1", &name, &address, NULL));
  assert_string_equal (name, "e");
  assert_string_equal (address, "tcp://127.0.0.1:1");
  g_free (name);
  g_free (address);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_false (settings_peer (bad[i], &name, &address, NULL));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (replaced_incarnations_are_ignored),
    cmocka_unit_test (leaving_is_final_for_an_incarnation),
    cmocka_unit_test (callers_input_is_checked),
    cmocka_unit_test (long_input_is_too_large),
    cmocka_unit_test (configuration_versions_only_increase),
    cmocka_unit_test (definitions_are_parsed_back),
    cmocka_unit_test (dry_run_lists_changes),
    cmocka_unit_test (peers_are_checked),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
