#include "cmd.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/doc.h"
#include "common/ids.h"
#include "tab.h"
#include "where.h"

#define CMD_TOML "application/toml"
#define CMD_JSON "application/json"

typedef struct
{
  const char *name;
  const char *argument; /**< name in the help text; NULL if the command takes none */
  const char *help;
  gboolean (*run) (const CmdOptions *options, json_t **answer, GError **error);
  CmdExit (*run_alone) (
      const CmdOptions *options); /**< with exit codes of its own, if run is NULL */
} Command;

/* Sends a request and parses its JSON answer. */
static gboolean
send_request (const CmdOptions *options, const CliRequest *request, json_t **answer, GError **error)
{
  CliAnswer received = { 0 };

  if (!cli_call (&options->cli, request, &received, error))
    return FALSE;
  json_error_t json_error;
  *answer = json_loadb (received.body, received.size, JSON_DECODE_ANY, &json_error);
  cli_answer_clear (&received);
  if (*answer != NULL)
    return TRUE;
  err_set (error, ERR_PROTOCOL, "the answer is not JSON: line %d: %s", json_error.line,
           json_error.text);
  return FALSE;
}

static gboolean
get (const CmdOptions *options, const char *path, json_t **answer, GError **error)
{
  CliRequest request = { .method = "GET", .path = path, .is_repeatable = TRUE };

  return send_request (options, &request, answer, error);
}

/* Returns the path of the job that the argument names, escaped. */
static char *
job_path (const CmdOptions *options, const char *suffix)
{
  g_autofree char *job = g_uri_escape_string (options->argument, NULL, FALSE);

  return g_strdup_printf ("/v1/jobs/%s%s", job, suffix);
}

/* Reads and checks the operators' document. The caller owns *text. */
static DocDocument *
read_document (const char *path, char **text, GError **error)
{
  g_autoptr (GError) failure = NULL;
  size_t size = 0;

  if (!g_file_get_contents (path, text, &size, &failure))
    {
      err_set (error, ERR_BAD_CONFIG, "%s", failure->message);
      return NULL;
    }
  DocDocument *document = doc_parse (*text, size, path, error);
  if (document == NULL)
    g_clear_pointer (text, g_free);
  return document;
}

static json_t *
document_counts (const char *path, const DocDocument *document)
{
  return json_pack ("{s:s, s:b, s:i, s:i, s:i, s:i, s:i}", "file", path, "valid", 1, "services",
                    (int) document->services->len, "jobs", (int) document->jobs->len, "teams",
                    (int) document->teams->len, "labels", (int) document->labels->len, "rules",
                    (int) document->rules->len);
}

static gboolean
run_validate (const CmdOptions *options, json_t **answer, GError **error)
{
  g_autofree char *text = NULL;
  DocDocument *document = read_document (options->argument, &text, error);

  if (document == NULL)
    return FALSE;
  *answer = document_counts (options->argument, document);
  doc_free (document);
  return TRUE;
}

/* The entry compares the document with the current configuration and with the known instances. */
static gboolean
dry_run (const CmdOptions *options, const char *text, json_t **answer, GError **error)
{
  CliRequest request = { "POST", "/v1/config/check", CMD_TOML, text, strlen (text), TRUE };

  return send_request (options, &request, answer, error);
}

/* Sets the base version: that of the command line, or else the current version of an entry. */
static gboolean
find_base (const CmdOptions *options, int64_t *base, GError **error)
{
  json_t *current = NULL;

  *base = options->base;
  if (*base != CMD_BASE_NEWEST)
    return TRUE;
  if (!get (options, "/v1/config", &current, error))
    return FALSE;
  const json_t *version = json_object_get (current, "version");
  gboolean ok = json_is_integer (version);
  *base = json_integer_value (version);
  json_decref (current);
  if (!ok)
    err_set (error, ERR_PROTOCOL, "the entry's answer has no configuration version");
  return ok;
}

static gboolean
publish (const CmdOptions *options, const char *text, json_t **answer, GError **error)
{
  int64_t base = 0;

  if (!find_base (options, &base, error))
    return FALSE;
  g_autofree char *author = g_uri_escape_string (options->author, NULL, FALSE);
  g_autofree char *note = g_uri_escape_string (options->note, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/config?base=%" G_GINT64_FORMAT "&author=%s&note=%s",
                                           base, author, note);
  CliRequest request = { "PUT", path, CMD_TOML, text, strlen (text), FALSE };
  return send_request (options, &request, answer, error);
}

static gboolean
run_apply (const CmdOptions *options, json_t **answer, GError **error)
{
  g_autofree char *text = NULL;
  DocDocument *document = read_document (options->argument, &text, error);

  if (document == NULL)
    return FALSE;
  doc_free (document);
  return options->is_dry_run ? dry_run (options, text, answer, error)
                             : publish (options, text, answer, error);
}

static gboolean
run_get (const CmdOptions *options, json_t **answer, GError **error)
{
  return get (options, "/v1/config", answer, error);
}

static gboolean
run_history (const CmdOptions *options, json_t **answer, GError **error)
{
  return get (options, "/v1/config/history", answer, error);
}

/* Without --key a random idempotency key is used, so that a retry starts no second run. */
static gboolean
run_submit (const CmdOptions *options, json_t **answer, GError **error)
{
  char own_key[IDS_TEXT_SIZE];
  const char *key = options->key != NULL ? options->key : ids_print (ids_new (), own_key);
  json_t *body = json_pack ("{s:s, s:s, s:s}", "name", options->argument, "key", key, "submitter",
                            options->author);
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  CliRequest request = { "POST", "/v1/jobs", CMD_JSON, text, strlen (text), TRUE };
  gboolean ok = send_request (options, &request, answer, error);
  free (text);
  return ok;
}

static gboolean
run_jobs (const CmdOptions *options, json_t **answer, GError **error)
{
  return get (options, "/v1/jobs", answer, error);
}

static gboolean
run_job (const CmdOptions *options, json_t **answer, GError **error)
{
  g_autofree char *path = job_path (options, "");

  return get (options, path, answer, error);
}

static gboolean
run_cancel (const CmdOptions *options, json_t **answer, GError **error)
{
  g_autofree char *path = job_path (options, "");
  CliRequest request = { .method = "DELETE", .path = path, .is_repeatable = TRUE };

  return send_request (options, &request, answer, error);
}

static gboolean
run_explain (const CmdOptions *options, json_t **answer, GError **error)
{
  g_autofree char *path = job_path (options, "/explain");

  return get (options, path, answer, error);
}

static gboolean
run_status (const CmdOptions *options, json_t **answer, GError **error)
{
  return get (options, "/v1/status", answer, error);
}

static const Command commands[] = {
  { "validate", "FILE", "check a document locally, without an entry", run_validate, NULL },
  { "apply", "FILE", "publish a document; --dry-run shows what would change", run_apply, NULL },
  { "get", NULL, "print the current configuration", run_get, NULL },
  { "history", NULL, "list the accepted versions", run_history, NULL },
  { "submit", "JOB", "start a run of a job of the configuration", run_submit, NULL },
  { "jobs", NULL, "list the runs", run_jobs, NULL },
  { "job", "ID", "show one run", run_job, NULL },
  { "cancel", "ID", "cancel one run", run_cancel, NULL },
  { "explain", "ID", "explain the placement and state of each task of a run", run_explain, NULL },
  { "status", NULL, "show entries, instances, shards and counts", run_status, NULL },
  { "where", "FILE", "say where a job would be placed; --entry is a metrics address", NULL,
    where_run },
};

char *
cmd_help (void)
{
  GString *out = g_string_new ("Commands:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const char *argument = commands[i].argument != NULL ? commands[i].argument : "";
      g_string_append_printf (out, "  %-9s%-5s %s\n", commands[i].name, argument, commands[i].help);
    }
  return g_string_free (out, FALSE);
}

static const Command *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (g_strcmp0 (commands[i].name, name) == 0)
        return &commands[i];
    }
  return NULL;
}

static void
print_answer (const CmdOptions *options, const json_t *answer)
{
  if (options->is_json)
    {
      json_dumpf (answer, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
      (void) putchar ('\n');
      return;
    }
  tab_print (stdout, answer);
}

static void
print_failure (const CmdOptions *options, const GError *error)
{
  const char *kind = err_name (err_kind (error));

  (void) fprintf (stderr, "acaciactl: %s: %s: %s\n", options->command, kind, error->message);
  if (!options->is_json)
    return;
  json_t *answer = json_pack ("{s:{s:s, s:s}}", "error", "kind", kind, "message", error->message);
  print_answer (options, answer);
  json_decref (answer);
}

/* A document that fails the local check was not sent, which counts as a usage error. */
static gboolean
is_usage_error (const Command *command, const GError *error)
{
  return (err_kind (error) == ERR_BAD_CONFIG || err_kind (error) == ERR_TOO_LARGE)
         && (command->run == run_validate || command->run == run_apply);
}

CmdExit
cmd_run (const CmdOptions *options)
{
  const Command *command = find_command (options->command);
  g_autoptr (GError) error = NULL;
  json_t *answer = NULL;

  if (command == NULL)
    {
      (void) fprintf (stderr, "acaciactl: unknown command '%s'; see --help\n", options->command);
      return CMD_EXIT_USAGE;
    }
  if ((command->argument != NULL) != (options->argument != NULL))
    {
      (void) fprintf (stderr, "acaciactl: %s: expected %s\n", command->name,
                      command->argument != NULL ? command->argument : "no argument");
      return CMD_EXIT_USAGE;
    }
  if (command->run == NULL)
    return command->run_alone (options);
  if (!cli_check (&options->cli, &error))
    {
      print_failure (options, error);
      return CMD_EXIT_USAGE;
    }
  if (!command->run (options, &answer, &error))
    {
      print_failure (options, error);
      return is_usage_error (command, error) ? CMD_EXIT_USAGE : CMD_EXIT_REFUSED;
    }
  print_answer (options, answer);
  json_decref (answer);
  return CMD_EXIT_OK;
}
