/**
 * @file main.c
 * acacia-load: load generator that sends requests and jobs at a fixed rate and reports the
 * latencies and errors of callers.
 */
#include <argtable2.h>
#include <stddef.h>
#include <stdio.h>

#include "common/opt.h"
#include "common/set.h"
#include "link.h"
#include "load.h"
#include "plan.h"
#include "report.h"
#include "run.h"

#define MAIN_ENTRIES_MAX 64
#define MAIN_TEXT_MAX 255
#define MAIN_TIMEOUT_MS_MAX 600000

typedef struct
{
  char **entries;
  char *direct;
  char *service;
  char *path;
  char *tenant;
  int64_t rate_per_s;
  int64_t seconds;
  int64_t threads;
  int64_t once_percent;
  int64_t direct_percent;
  int64_t body_bytes;
  int64_t timeout_ms;
  char *job;
  int64_t jobs_per_minute;
  int64_t job_wait_s;
} MainSettings;

#define FIELD(name) offsetof (MainSettings, name)

static const SetKey setting_keys[] = {
  { "entries", SET_LIST, FIELD (entries), 1, MAIN_ENTRIES_MAX, "http://127.0.0.1:8080",
    "HTTP addresses of entries, used round-robin" },
  { "direct", SET_TEXT, FIELD (direct), 0, MAIN_TEXT_MAX, "",
    "URL of a back end for direct calls; empty: none" },
  { "service", SET_TEXT, FIELD (service), 1, MAIN_TEXT_MAX, "mixdesk", "service to call" },
  { "path", SET_TEXT, FIELD (path), 0, MAIN_TEXT_MAX, "load", "path below the service" },
  { "tenant", SET_TEXT, FIELD (tenant), 1, MAIN_TEXT_MAX, "load", "tenant of the requests" },
  { "rate_per_s", SET_INTEGER, FIELD (rate_per_s), 1, LOAD_RATE_MAX, "50", "requests per second" },
  { "seconds", SET_INTEGER, FIELD (seconds), 1, LOAD_SECONDS_MAX, "20", "duration of the run" },
  { "threads", SET_INTEGER, FIELD (threads), 1, LOAD_THREADS_MAX, "32",
    "largest number of requests in flight" },
  { "once_percent", SET_INTEGER, FIELD (once_percent), 0, LOAD_PERCENT_MAX, "20",
    "share of once requests, in percent of requests through entries" },
  { "direct_percent", SET_INTEGER, FIELD (direct_percent), 0, LOAD_PERCENT_MAX, "20",
    "share of direct calls, in percent of all requests, if direct is set" },
  { "body_bytes", SET_INTEGER, FIELD (body_bytes), 0, LOAD_BODY_MAX, "1024",
    "size of a request's body" },
  { "timeout_ms", SET_INTEGER, FIELD (timeout_ms), 1, MAIN_TIMEOUT_MS_MAX, "5000",
    "deadline of a request" },
  { "job", SET_TEXT, FIELD (job), 0, MAIN_TEXT_MAX, "", "job to submit; empty: none" },
  { "jobs_per_minute", SET_INTEGER, FIELD (jobs_per_minute), 1, LOAD_RATE_MAX, "60",
    "submissions per minute" },
  { "job_wait_s", SET_INTEGER, FIELD (job_wait_s), 0, LOAD_SECONDS_MAX, "30",
    "time after the run for submitted jobs to finish, in seconds" },
};

/** Command line arguments, in the order of argtable's array. */
typedef struct
{
  struct arg_str *entries;
  struct arg_str *direct;
  struct arg_str *service;
  struct arg_str *path;
  struct arg_str *tenant;
  struct arg_int *rate;
  struct arg_int *seconds;
  struct arg_int *threads;
  struct arg_int *once;
  struct arg_int *direct_percent;
  struct arg_int *body;
  struct arg_int *timeout;
  struct arg_str *job;
  struct arg_int *jobs;
  struct arg_int *job_wait;
  struct arg_lit *own_cost;
  struct arg_lit *json;
} MainArguments;

static void
make_arguments (MainArguments *arguments)
{
  arguments->entries
      = arg_strn (NULL, "entry", "URL", 0, MAIN_ENTRIES_MAX, "entries, used round-robin");
  arguments->direct = arg_str0 (NULL, "direct", "URL", "back end for direct calls in the same run");
  arguments->service = arg_str0 (NULL, "service", "NAME", "service to call");
  arguments->path = arg_str0 (NULL, "path", "PATH", "path below the service");
  arguments->tenant = arg_str0 (NULL, "tenant", "NAME", "tenant of the requests");
  arguments->rate = arg_int0 (NULL, "rate", "N", "requests per second");
  arguments->seconds = arg_int0 (NULL, "seconds", "N", "duration of the run");
  arguments->threads = arg_int0 (NULL, "threads", "N", "largest number of requests in flight");
  arguments->once = arg_int0 (NULL, "once-percent", "N", "share of once requests");
  arguments->direct_percent = arg_int0 (NULL, "direct-percent", "N", "share of direct calls");
  arguments->body = arg_int0 (NULL, "body-bytes", "N", "size of a body");
  arguments->timeout = arg_int0 (NULL, "timeout-ms", "N", "deadline of a request");
  arguments->job = arg_str0 (NULL, "job", "NAME", "job to submit");
  arguments->jobs = arg_int0 (NULL, "jobs-per-minute", "N", "submissions per minute");
  arguments->job_wait = arg_int0 (NULL, "job-wait-s", "N", "time for jobs to finish");
  arguments->own_cost
      = arg_lit0 (NULL, "own-cost", "send nothing: measure the delay of the tool itself");
  arguments->json = arg_lit0 (NULL, "json", "print JSON");
}

static char *
print_example (void)
{
  return set_example (setting_keys, G_N_ELEMENTS (setting_keys));
}

static const char *
text_of (const struct arg_str *argument, const char *setting)
{
  const char *text = argument->count > 0 ? argument->sval[0] : setting;

  return *text != '\0' ? text : NULL;
}

/* Overrides a setting by the command line's number, checked against the same range. */
static gboolean
number_of (const struct arg_int *argument, const char *key, int64_t *value, GError **error)
{
  if (argument->count == 0)
    return TRUE;
  for (size_t i = 0; i < G_N_ELEMENTS (setting_keys); i++)
    {
      const SetKey *row = &setting_keys[i];
      if (g_strcmp0 (row->key, key) != 0)
        continue;
      *value = argument->ival[0];
      if (*value >= row->min && *value <= row->max)
        return TRUE;
      err_set (error, ERR_BAD_CONFIG,
               "%s: expected an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, key,
               row->min, row->max);
    }
  return FALSE;
}

static gboolean
read_numbers (const MainArguments *arguments, LoadOptions *options, GError **error)
{
  const struct
  {
    const struct arg_int *argument;
    const char *key;
    int64_t *value;
  } rows[] = {
    { arguments->rate, "rate_per_s", &options->rate_per_s },
    { arguments->seconds, "seconds", &options->seconds },
    { arguments->threads, "threads", &options->threads },
    { arguments->once, "once_percent", &options->once_percent },
    { arguments->direct_percent, "direct_percent", &options->direct_percent },
    { arguments->body, "body_bytes", &options->body_bytes },
    { arguments->timeout, "timeout_ms", &options->timeout_ms },
    { arguments->jobs, "jobs_per_minute", &options->jobs_per_minute },
    { arguments->job_wait, "job_wait_s", &options->job_wait_s },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (!number_of (rows[i].argument, rows[i].key, rows[i].value, error))
        return FALSE;
    }
  if (plan_count (options) <= LOAD_REQUESTS_MAX)
    return TRUE;
  err_set (error, ERR_BAD_CONFIG, "rate_per_s times seconds: expected at most %d requests",
           LOAD_REQUESTS_MAX);
  return FALSE;
}

static void
read_settings (const MainArguments *arguments,
               const MainSettings *settings,
               const char *const *entries,
               LoadOptions *options)
{
  *options = (LoadOptions){
    .entries = entries,
    .direct = text_of (arguments->direct, settings->direct),
    .service = text_of (arguments->service, settings->service),
    .path = text_of (arguments->path, settings->path),
    .tenant = text_of (arguments->tenant, settings->tenant),
    .rate_per_s = settings->rate_per_s,
    .seconds = settings->seconds,
    .threads = settings->threads,
    .once_percent = settings->once_percent,
    .direct_percent = settings->direct_percent,
    .body_bytes = settings->body_bytes,
    .timeout_ms = settings->timeout_ms,
    .job = text_of (arguments->job, settings->job),
    .jobs_per_minute = settings->jobs_per_minute,
    .job_wait_s = settings->job_wait_s,
    .is_own_cost = arguments->own_cost->count > 0,
  };
  if (options->path == NULL)
    options->path = "";
  if (options->is_own_cost)
    options->job = NULL;
}

static OptExit
exit_code_of (const LoadResult *result)
{
  gboolean any = FALSE;

  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    {
      const LoadTally *tally = &result->tallies[class];
      any = any || tally->samples->len > 0;
      if (tally->mismatched > 0)
        return OPT_EXIT_FAILED;
    }
  return any ? OPT_EXIT_DONE : OPT_EXIT_FAILED;
}

static OptExit
run_options (const MainArguments *arguments, const LoadOptions *options)
{
  g_autoptr (GError) error = NULL;
  LoadResult result;

  gboolean ok = run_load (options, &result, &error);
  OptExit code = OPT_EXIT_USAGE;
  if (ok)
    {
      report_print (options, &result, arguments->json->count > 0);
      code = exit_code_of (&result);
    }
  else
    (void) fprintf (stderr, "acacia-load: %s\n", error->message);
  run_result_clear (&result);
  return code;
}

static OptExit
run_with_settings (void *ctx, const char *config, gboolean check)
{
  const MainArguments *arguments = ctx;
  MainSettings settings = { 0 };
  LoadOptions options;
  g_autoptr (GError) error = NULL;
  GPtrArray *entries = g_ptr_array_new ();
  OptExit code = OPT_EXIT_USAGE;

  for (int i = 0; i < arguments->entries->count; i++)
    g_ptr_array_add (entries, (gpointer) arguments->entries->sval[i]);
  g_ptr_array_add (entries, NULL);
  gboolean ok = set_load (setting_keys, G_N_ELEMENTS (setting_keys), config, &settings, &error)
                && link_start (&error);
  if (ok)
    {
      const char *const *list = arguments->entries->count > 0
                                    ? (const char *const *) entries->pdata
                                    : (const char *const *) settings.entries;
      read_settings (arguments, &settings, list, &options);
      ok = read_numbers (arguments, &options, &error);
    }
  if (!ok)
    code = opt_usage_error ("acacia-load", error);
  else if (check)
    code = opt_settings_valid ();
  else
    code = run_options (arguments, &options);
  set_clear (setting_keys, G_N_ELEMENTS (setting_keys), &settings);
  g_ptr_array_free (entries, TRUE);
  return code;
}

int
main (int argc, char **argv)
{
  MainArguments arguments;
  const OptProgram program = {
    .name = "acacia-load",
    .about
    = "Sends requests and jobs at a fixed rate and reports the latencies and errors of callers.",
    .exit_codes = "The command line overrides the settings file. Exit codes: 0 done; 1 no "
                  "request was answered,\nor an answer belonged to another request; 2 wrong "
                  "command line or settings.",
    .arguments = (void *const *) &arguments,
    .n_arguments = sizeof (arguments) / sizeof (void *),
    .example = print_example,
    .run = run_with_settings,
    .ctx = &arguments
  };

  make_arguments (&arguments);
  return opt_main (argc, argv, &program);
}
