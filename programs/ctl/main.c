/**
 * @file main.c
 * acaciactl: an operator's command line.
 */
#include <argtable2.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd.h"
#include "common/set.h"

#define CTL_VERSION "0.1.0"
#define CTL_ENTRIES_MAX 64
#define CTL_TIMEOUT_MS_MAX 600000
#define CTL_TEXT_MAX 256

/** Settings file of acaciactl. */
typedef struct
{
  char **entries;
  int64_t timeout_ms;
  char *author;
} CtlSettings;

static const SetKey setting_keys[] = {
  { "entries", SET_LIST, offsetof (CtlSettings, entries), 0, CTL_ENTRIES_MAX,
    "http://127.0.0.1:8080", "HTTP addresses of entries, tried in order" },
  { "timeout_ms", SET_INTEGER, offsetof (CtlSettings, timeout_ms), 1000, CTL_TIMEOUT_MS_MAX,
    "10000", "time for connecting, and for each read, in milliseconds" },
  { "author", SET_TEXT, offsetof (CtlSettings, author), 0, CTL_TEXT_MAX, "",
    "name written into versions and runs; empty: that of the user" },
};

/** The command line's arguments, in the order of argtable's array. */
typedef struct
{
  struct arg_str *entries;
  struct arg_lit *json;
  struct arg_lit *dry_run;
  struct arg_int *base;
  struct arg_str *note;
  struct arg_str *key;
  struct arg_str *author;
  struct arg_file *config;
  struct arg_lit *check_config;
  struct arg_lit *print_example;
  struct arg_lit *version;
  struct arg_lit *help;
  struct arg_str *words;
  struct arg_end *end;
} CtlArguments;

static void
make_arguments (CtlArguments *arguments)
{
  enum
  {
    WORDS_MAX = 2,
    ERRORS_MAX = 8
  };

  arguments->entries = arg_strn (NULL, "entry", "URL", 0, CTL_ENTRIES_MAX,
                                 "entry to ask; several are tried in order");
  arguments->json = arg_lit0 (NULL, "json", "print JSON");
  arguments->dry_run = arg_lit0 (NULL, "dry-run", "apply: show what would change, publish nothing");
  arguments->base = arg_int0 (NULL, "base", "VERSION", "apply: version the document is based on");
  arguments->note = arg_str0 (NULL, "note", "TEXT", "apply: remark kept in the history");
  arguments->key = arg_str0 (NULL, "key", "KEY", "submit: idempotency key of the run");
  arguments->author = arg_str0 (NULL, "author", "NAME", "who publishes or submits");
  arguments->config = arg_file0 (NULL, "config", "FILE", "settings file");
  arguments->check_config = arg_lit0 (NULL, "check-config", "check the settings and leave");
  arguments->print_example = arg_lit0 (NULL, "print-example", "print all settings and leave");
  arguments->version = arg_lit0 (NULL, "version", "print the version and leave");
  arguments->help = arg_lit0 (NULL, "help", "print this and leave");
  arguments->words = arg_strn (NULL, NULL, "COMMAND", 0, WORDS_MAX, "command and its argument");
  arguments->end = arg_end (ERRORS_MAX);
}

static void
print_help (CtlArguments *arguments)
{
  g_autofree char *commands = cmd_help ();

  (void) printf ("Usage: acaciactl");
  arg_print_syntaxv (stdout, (void **) arguments, "\n\n");
  (void) printf ("%s\nOptions:\n", commands);
  arg_print_glossary (stdout, (void **) arguments, "  %-18s %s\n");
  (void) printf ("\nExit codes: 0 done; 1 refused, failed or not reachable; 2 wrong command line,\n"
                 "settings or document, nothing was sent.\n");
}

/* Handles the options that print something and leave; FALSE when there is none. */
static gboolean
print_and_leave (CtlArguments *arguments)
{
  if (arguments->help->count > 0)
    {
      print_help (arguments);
      return TRUE;
    }
  if (arguments->version->count > 0)
    {
      (void) printf ("acaciactl %s\n", CTL_VERSION);
      return TRUE;
    }
  if (arguments->print_example->count > 0)
    {
      g_autofree char *example = set_example (setting_keys, G_N_ELEMENTS (setting_keys));
      (void) fputs (example, stdout);
      return TRUE;
    }
  return FALSE;
}

static const char *
text_or (const struct arg_str *argument, const char *fallback)
{
  return argument->count > 0 ? argument->sval[0] : fallback;
}

static CmdExit
run_command (const CtlArguments *arguments, const CtlSettings *settings)
{
  const char *author = *settings->author != '\0' ? settings->author : g_get_user_name ();
  GPtrArray *entries = g_ptr_array_new ();

  for (int i = 0; i < arguments->entries->count; i++)
    g_ptr_array_add (entries, (gpointer) arguments->entries->sval[i]);
  g_ptr_array_add (entries, NULL);
  gboolean from_settings = arguments->entries->count == 0;
  CmdOptions options = {
    .cli.entries = from_settings ? (const char *const *) settings->entries
                                 : (const char *const *) entries->pdata,
    .cli.timeout_ms = settings->timeout_ms,
    .command = arguments->words->sval[0],
    .argument = arguments->words->count > 1 ? arguments->words->sval[1] : NULL,
    .is_json = arguments->json->count > 0,
    .is_dry_run = arguments->dry_run->count > 0,
    .base = arguments->base->count > 0 ? arguments->base->ival[0] : CMD_BASE_NEWEST,
    .note = text_or (arguments->note, ""),
    .key = text_or (arguments->key, NULL),
    .author = text_or (arguments->author, author),
  };
  CmdExit code = cmd_run (&options);
  g_ptr_array_free (entries, TRUE);
  return code;
}

static CmdExit
run_with_settings (const CtlArguments *arguments)
{
  const char *path = arguments->config->count > 0 ? arguments->config->filename[0] : NULL;
  CtlSettings settings = { 0 };
  g_autoptr (GError) error = NULL;

  if (!set_load (setting_keys, G_N_ELEMENTS (setting_keys), path, &settings, &error)
      || !cli_start (&error))
    {
      (void) fprintf (stderr, "acaciactl: %s\n", error->message);
      return CMD_EXIT_USAGE;
    }
  CmdExit code = CMD_EXIT_OK;
  if (arguments->check_config->count > 0)
    (void) printf ("settings are valid\n");
  else if (arguments->words->count == 0)
    {
      (void) fprintf (stderr, "acaciactl: expected a command; see --help\n");
      code = CMD_EXIT_USAGE;
    }
  else
    code = run_command (arguments, &settings);
  set_clear (setting_keys, G_N_ELEMENTS (setting_keys), &settings);
  return code;
}

int
main (int argc, char **argv)
{
  CtlArguments arguments;
  CmdExit code = CMD_EXIT_OK;

  make_arguments (&arguments);
  int errors = arg_parse (argc, argv, (void **) &arguments);
  if (print_and_leave (&arguments))
    code = CMD_EXIT_OK;
  else if (errors > 0)
    {
      arg_print_errors (stderr, arguments.end, "acaciactl");
      code = CMD_EXIT_USAGE;
    }
  else
    code = run_with_settings (&arguments);
  arg_freetable ((void **) &arguments, sizeof arguments / sizeof (void *));
  return (int) code;
}
