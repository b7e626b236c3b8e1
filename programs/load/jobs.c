#include "jobs.h"

#include <pthread.h>
#include <jansson.h>
#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "link.h"

#define JOBS_EVICTIONS "acacia_entry_evictions_total{"
#define JOBS_POLL_MS 200
#define JOBS_STATUS_ERROR_FIRST 400
#define JOBS_S_PER_MINUTE 60

struct Jobs
{
  const LoadOptions *options;
  pthread_t thread;
  GPtrArray *accepted; /**< ids of accepted runs that are not done */
  LoadJobs counts;
};

/* Tries the entries in order until one can be reached. */
static gboolean
call_entries (const LoadOptions *options,
              const LinkRequest *request,
              LinkAnswer *answer,
              GError **error)
{
  for (size_t i = 0; options->entries[i] != NULL; i++)
    {
      Link *link = link_new (options->entries[i], options->timeout_ms, NULL);
      g_clear_error (error);
      gboolean ok = link != NULL && link_call (link, request, answer, error);
      link_free (link);
      if (ok || err_kind (*error) != ERR_REFUSED)
        return ok;
    }
  return FALSE;
}

static void
submit (Jobs *jobs)
{
  char key[IDS_TEXT_SIZE];
  g_autoptr (GError) error = NULL;
  LinkAnswer answer = { 0 };
  g_autofree char *body
      = g_strdup_printf ("{\"name\":\"%s\",\"key\":\"%s\",\"submitter\":\"load\"}",
                         jobs->options->job, ids_print (ids_new (), key));
  const LinkHeader header = { "Content-Type", "application/json" };
  LinkRequest request = { "POST", "/v1/jobs", &header, 1, body, strlen (body) };

  jobs->counts.submitted++;
  if (!call_entries (jobs->options, &request, &answer, &error))
    {
      jobs->counts.refusals[err_kind (error)]++;
      return;
    }
  if (answer.status >= JOBS_STATUS_ERROR_FIRST)
    jobs->counts.refusals[link_answer_kind (&answer)]++;
  else
    {
      json_t *root = json_loadb (answer.body->str, answer.body->len, 0, NULL);
      const char *id = json_string_value (json_object_get (root, "job"));
      if (id != NULL)
        g_ptr_array_add (jobs->accepted, g_strdup (id));
      else
        jobs->counts.refusals[ERR_PROTOCOL]++;
      json_decref (root);
    }
  link_answer_clear (&answer);
}

static void *
submit_main (void *data)
{
  Jobs *jobs = data;
  int64_t start_us = clk_now_us ();
  int64_t gap_us = JOBS_S_PER_MINUTE * CLK_US_PER_S / jobs->options->jobs_per_minute;
  int64_t end_us = start_us + jobs->options->seconds * CLK_US_PER_S;

  for (int64_t due_us = start_us; due_us < end_us; due_us += gap_us)
    {
      int64_t left_us = due_us - clk_now_us ();
      if (left_us > 0)
        g_usleep ((gulong) left_us);
      submit (jobs);
    }
  return NULL;
}

Jobs *
jobs_start (const LoadOptions *options)
{
  Jobs *jobs = g_new0 (Jobs, 1);

  jobs->options = options;
  jobs->accepted = g_ptr_array_new_with_free_func (g_free);
  int rc = pthread_create (&jobs->thread, NULL, submit_main, jobs);
  g_assert (rc == 0);
  return jobs;
}

static gboolean
is_done (const LoadOptions *options, const char *id)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", id);
  g_autoptr (GError) error = NULL;
  LinkRequest request = { .method = "GET", .path = path };
  LinkAnswer answer = { 0 };

  if (!call_entries (options, &request, &answer, &error))
    return FALSE;
  json_t *root = json_loadb (answer.body->str, answer.body->len, 0, NULL);
  const char *state = json_string_value (json_object_get (root, "state"));
  gboolean done = g_strcmp0 (state, "done") == 0;
  json_decref (root);
  link_answer_clear (&answer);
  return done;
}

/* Counts the runs that are done and removes them from the list. */
static void
count_done (Jobs *jobs)
{
  for (guint i = jobs->accepted->len; i > 0; i--)
    {
      if (!is_done (jobs->options, g_ptr_array_index (jobs->accepted, i - 1)))
        continue;
      jobs->counts.done++;
      g_ptr_array_remove_index_fast (jobs->accepted, i - 1);
    }
}

void
jobs_finish (Jobs *jobs, LoadJobs *result)
{
  if (jobs == NULL)
    return;
  (void) pthread_join (jobs->thread, NULL);
  int64_t end_us = clk_now_us () + jobs->options->job_wait_s * CLK_US_PER_S;
  count_done (jobs);
  while (jobs->accepted->len > 0 && clk_now_us () < end_us)
    {
      g_usleep (JOBS_POLL_MS * CLK_US_PER_MS);
      count_done (jobs);
    }
  jobs->counts.unfinished = jobs->accepted->len;
  *result = jobs->counts;
  g_ptr_array_free (jobs->accepted, TRUE);
  g_free (jobs);
}

/* Sums evictions of all causes in the Prometheus text format. */
static int64_t
sum_evictions (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  int64_t sum = 0;

  for (size_t i = 0; lines[i] != NULL; i++)
    {
      const char *value = strrchr (lines[i], ' ');
      if (value != NULL && g_str_has_prefix (lines[i], JOBS_EVICTIONS))
        sum += g_ascii_strtoll (value + 1, NULL, 10);
    }
  g_strfreev (lines);
  return sum;
}

int64_t
jobs_evictions (const LoadOptions *options)
{
  LinkRequest request = { .method = "GET", .path = "/metrics" };
  int64_t sum = -1;

  for (size_t i = 0; options->entries[i] != NULL; i++)
    {
      Link *link = link_new (options->entries[i], options->timeout_ms, NULL);
      LinkAnswer answer = { 0 };
      if (link != NULL && link_call (link, &request, &answer, NULL))
        {
          sum = MAX (sum, 0) + sum_evictions (answer.body->str);
          link_answer_clear (&answer);
        }
      link_free (link);
    }
  return sum;
}
