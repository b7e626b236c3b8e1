#include "where.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define WHERE_STATUS_OK 200
#define WHERE_STATUS_REDIRECT 307
#define WHERE_STATUS_MALFORMED 400
#define WHERE_STATUS_NO_QUEUE 404
#define WHERE_STATUS_TOO_LARGE 413
/** A larger job is refused by entries; it is not sent. */
#define WHERE_BYTES_MAX (256 * 1024)

static void
print_error (const CmdOptions *options, const char *message)
{
  (void) fprintf (stderr, "acaciactl: where: %s\n", message);
  if (!options->is_json)
    return;
  json_t *answer = json_pack ("{s:{s:s}}", "error", "message", message);
  json_dumpf (answer, stdout, JSON_INDENT (2));
  (void) putchar ('\n');
  json_decref (answer);
}

/* Splits "http://IP:PORT/PATH"; NULL if it has no path. The caller frees *entry. */
static const char *
split_location (const char *location, char **entry)
{
  const char *host = strstr (location, "://");
  const char *path = host != NULL ? strchr (host + 3, '/') : NULL;

  if (path != NULL)
    *entry = g_strndup (location, (gsize) (path - location));
  return path;
}

/* Sends the query to one entry, and once more to where that redirects. */
static gboolean
ask (const CmdOptions *options,
     const char *entry,
     const CliRequest *request,
     CliAnswer *answer,
     GError **error)
{
  if (!cli_exchange (&options->cli, entry, request, answer, error))
    return FALSE;
  if (answer->status != WHERE_STATUS_REDIRECT || answer->location == NULL)
    return TRUE;
  g_autofree char *location = g_steal_pointer (&answer->location);
  g_autofree char *owner = NULL;
  CliRequest second = *request;
  cli_answer_clear (answer);
  second.path = split_location (location, &owner);
  if (second.path != NULL)
    return cli_exchange (&options->cli, owner, &second, answer, error);
  err_set (error, ERR_PROTOCOL, "%s: redirected to '%s'", entry, location);
  return FALSE;
}

/* Whether another entry could answer better. */
static gboolean
is_final (uint32_t status)
{
  return status == WHERE_STATUS_OK || status == WHERE_STATUS_MALFORMED
         || status == WHERE_STATUS_NO_QUEUE || status == WHERE_STATUS_TOO_LARGE;
}

static gboolean
ask_entries (const CmdOptions *options,
             const CliRequest *request,
             CliAnswer *answer,
             char **failure)
{
  *failure = g_strdup ("no entry is configured: use --entry IP:PORT");
  for (size_t i = 0; options->cli.entries[i] != NULL; i++)
    {
      g_autoptr (GError) error = NULL;
      const char *entry = options->cli.entries[i];
      gboolean is_answered = ask (options, entry, request, answer, &error);
      if (is_answered && is_final (answer->status))
        return TRUE;
      g_free (*failure);
      *failure = is_answered
                     ? g_strdup_printf ("%s: status %u: %s", entry, answer->status, answer->body)
                     : g_strdup (error->message);
      cli_answer_clear (answer);
    }
  return FALSE;
}

/* An address may be given without its scheme. Returns a NULL-terminated list for g_strfreev(). */
static char **
with_scheme (const char *const *entries)
{
  GPtrArray *urls = g_ptr_array_new ();

  for (size_t i = 0; entries[i] != NULL; i++)
    g_ptr_array_add (urls, strstr (entries[i], "://") != NULL
                               ? g_strdup (entries[i])
                               : g_strconcat ("http://", entries[i], NULL));
  g_ptr_array_add (urls, NULL);
  return (char **) g_ptr_array_free (urls, FALSE);
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "-";
}

static int64_t
number_of (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static void
print_placement (const json_t *step)
{
  const json_t *in_ms = json_object_get (step, "in_ms");
  gboolean is_known = json_is_integer (in_ms);

  if (g_strcmp0 (text_of (step, "verdict"), "now") == 0)
    (void) printf ("  at once at %s; room for %" G_GINT64_FORMAT " of them now\n",
                   text_of (step, "worker"), number_of (step, "starts_now"));
  else
    (void) printf ("  waits for: %s\n", text_of (step, "waits_for"));
  if (is_known && json_integer_value (in_ms) > 0)
    (void) printf ("  at the earliest at %s in %" G_GINT64_FORMAT " ms, %s\n",
                   text_of (step, "worker"), (int64_t) json_integer_value (in_ms),
                   json_is_true (json_object_get (step, "starved"))
                       ? "since it has waited for long by then and most processors are free"
                       : "after these ends:");
}

static void
print_rows (const json_t *step)
{
  size_t index = 0;
  json_t *row = NULL;
  const char *reason = NULL;

  json_array_foreach (json_object_get (step, "ends"), index, row)
  {
    (void) printf ("    %s in %" G_GINT64_FORMAT " ms\n", text_of (row, "task"),
                   number_of (row, "in_ms"));
  }
  (void) printf ("  dispatched before it: %" G_GINT64_FORMAT " steps of other jobs\n",
                 number_of (step, "stages_before"));
  json_array_foreach (json_object_get (step, "before"), index, row)
  {
    (void) printf ("    job %s step %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
                   " tasks wait, priority %" G_GINT64_FORMAT "\n",
                   text_of (row, "job"), number_of (row, "step"), number_of (row, "waiting"),
                   number_of (row, "priority"));
  }
  (void) printf ("  other workers:");
  json_object_foreach (json_object_get (step, "not_chosen"), reason, row)
  {
    (void) printf (" %s %" G_GINT64_FORMAT, reason, (int64_t) json_integer_value (row));
  }
  (void) printf ("%s\n",
                 json_object_size (json_object_get (step, "not_chosen")) > 0 ? "" : " none");
  json_array_foreach (json_object_get (step, "workers"), index, row)
  {
    (void) printf ("    %s %s\n", text_of (row, "worker"), text_of (row, "reason"));
  }
}

static void
print_answer (const json_t *answer)
{
  static const char *const verdicts[][2] = { { "now", "would start now" },
                                             { "waits", "would wait" },
                                             { "never", "can never start on the workers known" } };
  size_t index = 0;
  json_t *step = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (verdicts); i++)
    {
      if (g_strcmp0 (text_of (answer, "verdict"), verdicts[i][0]) == 0)
        (void) printf ("%s\n", verdicts[i][1]);
    }
  (void) printf ("queue %s, owner %s, term %" G_GINT64_FORMAT ", oldest report %" G_GINT64_FORMAT
                 " ms\n",
                 text_of (answer, "queue"), text_of (answer, "owner"), number_of (answer, "term"),
                 number_of (answer, "report_age_ms"));
  if (number_of (answer, "due_ms") > 0)
    (void) printf ("first due in %" G_GINT64_FORMAT " ms\n", number_of (answer, "due_ms"));
  json_array_foreach (json_object_get (answer, "steps"), index, step)
  {
    (void) printf ("step %" G_GINT64_FORMAT ", %" G_GINT64_FORMAT " tasks: %s\n",
                   number_of (step, "step"), number_of (step, "tasks"), text_of (step, "verdict"));
    print_placement (step);
    print_rows (step);
  }
  if (json_is_true (json_object_get (answer, "cut")))
    (void) printf ("(cut: not all workers or expected times are listed)\n");
}

static CmdExit
exit_of (const json_t *answer)
{
  const char *verdict = text_of (answer, "verdict");

  if (strcmp (verdict, "now") == 0)
    return CMD_EXIT_OK;
  if (strcmp (verdict, "waits") == 0)
    return CMD_EXIT_WAITS;
  return strcmp (verdict, "never") == 0 ? CMD_EXIT_NEVER : CMD_EXIT_NO_ANSWER;
}

static CmdExit
show (const CmdOptions *options, const CliAnswer *received)
{
  json_t *answer = json_loadb (received->body, received->size, 0, NULL);
  CmdExit code = CMD_EXIT_NO_ANSWER;

  if (received->status != WHERE_STATUS_OK)
    {
      const char *message = json_string_value (json_object_get (answer, "error"));
      print_error (options, message != NULL ? message : "the job is refused");
      code = CMD_EXIT_USAGE;
    }
  else if (exit_of (answer) == CMD_EXIT_NO_ANSWER)
    print_error (options, "the answer has no verdict");
  else
    {
      code = exit_of (answer);
      if (options->is_json)
        json_dumpf (answer, stdout, JSON_INDENT (2));
      else
        print_answer (answer);
      if (options->is_json)
        (void) putchar ('\n');
    }
  json_decref (answer);
  return code;
}

/* Sends the job, and shows the answer. */
static CmdExit
query (const CmdOptions *options, const char *body, size_t size)
{
  g_autofree char *failure = NULL;
  g_autofree char *queue
      = g_uri_escape_string (options->queue != NULL ? options->queue : "", NULL, FALSE);
  g_autofree char *path
      = g_strdup_printf ("/where?queue=%s%s", queue, options->is_all ? "&all=1" : "");
  const CliRequest request = { "POST", path, "application/json", body, size, TRUE };
  CliAnswer answer = { 0 };

  if (!ask_entries (options, &request, &answer, &failure))
    {
      print_error (options, failure);
      return CMD_EXIT_NO_ANSWER;
    }
  CmdExit code = show (options, &answer);
  cli_answer_clear (&answer);
  return code;
}

CmdExit
where_run (const CmdOptions *options)
{
  CmdOptions own = *options;
  g_auto (GStrv) entries = with_scheme (options->cli.entries);
  g_autofree char *body = NULL;
  g_autoptr (GError) error = NULL;
  size_t size = 0;

  own.cli.entries = (const char *const *) entries;
  if (!cli_check (&own.cli, &error)
      || !g_file_get_contents (options->argument, &body, &size, &error))
    {
      print_error (options, error->message);
      return CMD_EXIT_USAGE;
    }
  if (size > WHERE_BYTES_MAX)
    {
      print_error (options, "the job has more than 262144 bytes");
      return CMD_EXIT_USAGE;
    }
  return query (&own, body, size);
}
