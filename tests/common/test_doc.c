#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/doc.h"
#include "common/err.h"

typedef struct
{
  const char *name;
  const char *text;
  const char *message; /**< text that the error message must contain */
} BadDocument;

static const BadDocument bad_documents[] = {
  { "syntax", "[service\n", "t.toml:" },
  { "unknown section", "[machine.a]\n", "t.toml:1: .machine: expected one of service" },
  { "unknown key", "[job.a]\nsize = 1\n", "t.toml:2: job.a.size: expected one of" },
  { "wrong type", "[job.a]\ntasks = \"x\"\n", "t.toml:2: job.a.tasks: expected an integer" },
  { "out of range", "[job.a]\ntasks = 0\n", "from 1 to 1000000" },
  { "bad selector", "[[label]]\ninstances = \"a ~ b\"\nkey = \"k\"\nvalue = \"v\"\n",
    "t.toml:2: label[0].instances: selector 'a ~ b': column 3: expected" },
  { "no such team", "[job.a]\nteam = \"x\"\n", "t.toml:2: job.a.team: expected a team" },
  { "rule without instances", "[[rule]]\nname = \"r\"\neffect = \"may\"\nwork = \"*\"\n",
    "rule[0].instances: expected a selector" },
  { "rule twice",
    "[[rule]]\nname = \"r\"\neffect = \"apart\"\nwork = \"*\"\n"
    "[[rule]]\nname = \"r\"\neffect = \"apart\"\nwork = \"*\"\n",
    "expected a name that no other rule has" },
  { "fewer connections than slots", "[service.a]\nslots = 8\nconnections = 4\n",
    "t.toml:3: service.a.connections: expected at least" },
};

static void
invalid_documents_are_rejected_with_location (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (bad_documents); i++)
    {
      const BadDocument *bad = &bad_documents[i];
      GError *error = NULL;
      assert_null (doc_parse (bad->text, strlen (bad->text), "t.toml", &error));
      assert_non_null (error);
      assert_int_equal (err_kind (error), ERR_BAD_CONFIG);
      if (strstr (error->message, bad->message) == NULL)
        fail_msg ("%s: message is '%s'", bad->name, error->message);
      g_error_free (error);
    }
}

static void
complete_document_is_parsed (void **state)
{
  static const char text[]
      = "[team.studio]\ncpu_milli = 64000\nweight = 3\n"
        "[service.mixdesk]\nteam = \"studio\"\nslots = 8\nconnections = 64\n"
        "[job.master]\nteam = \"studio\"\ntasks = 4\npriority = \"urgent\"\n"
        "labels = { tier = \"gold\" }\n"
        "[[label]]\ninstances = \"rack in (r1, r2)\"\nkey = \"row\"\nvalue = \"north\"\n"
        "[[rule]]\nname = \"masters-north\"\neffect = \"may\"\nwork = \"name = master\"\n"
        "instances = \"row = north\"\n";
  GError *error = NULL;
  DocDocument *document = doc_parse (text, strlen (text), "t.toml", &error);

  (void) state;
  assert_null (error);
  const DocJob *job = doc_job (document, "master");
  assert_non_null (job);
  assert_int_equal (job->priority, DOC_URGENT);
  assert_string_equal (lab_get (job->labels, "tier"), "gold");
  assert_string_equal (lab_get (job->labels, "kind"), "job");
  LabSet *labels = lab_parse ("rack=r2", NULL);
  doc_apply_labels (document, labels);
  assert_string_equal (lab_get (labels, "row"), "north");
  const DocRule *rule = g_ptr_array_index (document->rules, 0);
  assert_true (sel_match (rule->work, job->labels));
  assert_true (sel_match (rule->instances, labels));
  lab_free (labels);
  doc_free (document);
}

typedef struct
{
  const char *selector;
  const char *labels;
  gboolean matches;
} SelectorCase;

static const SelectorCase selector_cases[] = {
  { "*", "a=1", TRUE },
  { "a = 1", "a=1,b=2", TRUE },
  { "a = 1 and b = 3", "a=1,b=2", FALSE },
  { "a in (1, 2) and b exists", "a=2,b=x", TRUE },
  { "a not in (1,2)", "a=3", TRUE },
  { "a not in (1,2)", "b=3", TRUE },
  { "a != 1", "b=3", TRUE },
  { "a not exists", "a=1", FALSE },
};

static void
selectors_match_as_documented (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (selector_cases); i++)
    {
      const SelectorCase *row = &selector_cases[i];
      Sel *sel = sel_parse (row->selector, NULL);
      LabSet *labels = lab_parse (row->labels, NULL);
      assert_non_null (sel);
      assert_non_null (labels);
      if (sel_match (sel, labels) != row->matches)
        fail_msg ("'%s' on '%s'", row->selector, row->labels);
      lab_free (labels);
      sel_free (sel);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_documents_are_rejected_with_location),
    cmocka_unit_test (complete_document_is_parsed),
    cmocka_unit_test (selectors_match_as_documented),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
