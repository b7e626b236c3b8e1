/**
 * @file main.c
 * acaciactl: command line tool for operators.
 */
#include <argtable2.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd.h"
#include "common/opt.h"
#include "common/set.h"

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
    "10000", "timeout for connecting, and for each read, in milliseconds" },
  { "author", SET_TEXT, offsetof (CtlSettings, author), 0, CTL_TEXT_MAX, "",
    "author of versions and runs; empty: name of the user" },
};

/** Command line arguments, in the order of argtable's array. */
typedef struct
{
  struct arg_str *entries;
  struct arg_lit *json;
  struct arg_lit *dry_run;
  struct arg_int *base;
  struct arg_str *note;
  struct arg_str *key;
  struct arg_str *author;
  struct arg_str *queue;
  struct arg_lit *all;
  struct arg_str *output;
  struct arg_str *words;
} CtlArguments;

static void
make_arguments (CtlArguments *arguments)
{
  enum
  {
    WORDS_MAX = 2
  };

  arguments->entries = arg_strn (NULL, "entry", "URL", 0, CTL_ENTRIES_MAX,
                                 "address of an entry; several are tried in order");
  arguments->json = arg_lit0 (NULL, "json", "print JSON");
  arguments->dry_run = arg_lit0 (NULL, "dry-run", "apply: show what would change, publish nothing");
  arguments->base = arg_int0 (NULL, "base", "VERSION", "apply: version the document is based on");
  arguments->note = arg_str0 (NULL, "note", "TEXT", "apply: note stored in the history");
  arguments->key = arg_str0 (NULL, "key", "KEY", "submit: idempotency key of the run");
  arguments->author = arg_str0 (NULL, "author", "NAME", "author of the version or run");
  arguments->queue = arg_str0 (NULL, "queue", "NAME", "where: queue of the job");
  arguments->all = arg_lit0 (NULL, "all", "where: list each worker");
  arguments->output = arg_str0 (NULL, "output", "FORMAT", "text or json");
  arguments->words = arg_strn (NULL, NULL, "COMMAND", 0, WORDS_MAX, "command and its argument");
}

static char *
print_example (void)
{
  return set_example (setting_keys, G_N_ELEMENTS (setting_keys));
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
    .is_json
    = arguments->json->count > 0 || g_strcmp0 (text_or (arguments->output, NULL), "json") == 0,
    .is_dry_run = arguments->dry_run->count > 0,
    .base = arguments->base->count > 0 ? arguments->base->ival[0] : CMD_BASE_NEWEST,
    .note = text_or (arguments->note, ""),
    .key = text_or (arguments->key, NULL),
    .author = text_or (arguments->author, author),
    .queue = text_or (arguments->queue, NULL),
    .is_all = arguments->all->count > 0,
  };
  CmdExit code = cmd_run (&options);
  g_ptr_array_free (entries, TRUE);
  return code;
}

static gboolean
is_output_valid (const CtlArguments *arguments)
{
  const char *output = text_or (arguments->output, "text");

  return g_strcmp0 (output, "text") == 0 || g_strcmp0 (output, "json") == 0;
}

static OptExit
run_with_settings (void *ctx, const char *config, gboolean check)
{
  const CtlArguments *arguments = ctx;
  CtlSettings settings = { 0 };
  g_autoptr (GError) error = NULL;
  OptExit code = OPT_EXIT_USAGE;

  if (!set_load (setting_keys, G_N_ELEMENTS (setting_keys), config, &settings, &error)
      || !cli_start (&error))
    return opt_usage_error ("acaciactl", error);
  if (check)
    code = opt_settings_valid ();
  else if (arguments->words->count == 0)
    (void) fprintf (stderr, "acaciactl: expected a command; see --help\n");
  else if (!is_output_valid (arguments))
    (void) fprintf (stderr, "acaciactl: --output: expected text or json\n");
  else
    code = (OptExit) run_command (arguments, &settings);
  set_clear (setting_keys, G_N_ELEMENTS (setting_keys), &settings);
  return code;
}

int
main (int argc, char **argv)
{
  CtlArguments arguments;
  g_autofree char *commands = cmd_help ();
  const OptProgram program = {
    .name = "acaciactl",
    .about = commands,
    .exit_codes
    = "Exit codes: 0 done; 1 refused, failed or not reachable; 2 wrong command "
      "line,\nsettings or document, nothing was sent.\nOf where: 0 it would start now; 1 it would "
      "wait; 2 wrong command line, queue or\njob; 3 no answer; 4 it can never start.",
    .arguments = (void *const *) &arguments,
    .n_arguments = sizeof (arguments) / sizeof (void *),
    .example = print_example,
    .run = run_with_settings,
    .ctx = &arguments
  };

  make_arguments (&arguments);
  return opt_main (argc, argv, &program);
}
