#include "callers.h"

#include <jansson.h>
#include <string.h>

/** A new job comes this often on average. */
#define JOB_MS 220
#define TRIES_MAX 4
#define DEADLINE_MS 3000
#define RETRY_MS 400
#define ASK_MIN_MS 400
#define ASK_MAX_MS 1500
#define CANCEL_MIN_MS 50
#define CANCEL_MAX_MS 3000
/** Shares of jobs, in percent. */
#define CANCEL_PERCENT 10
#define LASTING_PERCENT 2
#define HOPELESS_PERCENT 3

struct Callers
{
  CallersOptions options;
  gboolean is_stopped;
};

/** What one caller does about one job. */
typedef struct
{
  Callers *callers;
  BookJob *job;
  char *body;
  uint32_t n_tries;
  gboolean is_cancelling; /**< of this call */
} Visit;

static void submit (Visit *visit);
static gboolean ask (gpointer data);

static Visit *
visit_new (Callers *callers, BookJob *job)
{
  Visit *visit = g_new0 (Visit, 1);

  visit->callers = callers;
  visit->job = job;
  return visit;
}

static void
visit_free (gpointer data)
{
  Visit *visit = data;

  g_free (visit->body);
  g_free (visit);
}

/* Each call goes to any entry, as if through a balancer. */
static void
call (Visit *visit, const char *method, NetDone done)
{
  const CallersOptions *options = &visit->callers->options;
  uint32_t entry = g_random_int_range (0, (gint32) options->soak->options->n_entries);
  g_autofree char *ip = soak_ip (options->soak, SOAK_ENTRY, entry);
  g_autofree char *url = g_strdup_printf ("http://%s:29161%s%s", ip, SOAK_PREFIX, visit->job->id);
  const char *const headers[]
      = { "Host: " SOAK_HOST, "X-Request-Deadline-Ms: " G_STRINGIFY (DEADLINE_MS), NULL };
  gboolean has_body = strcmp (method, "POST") == 0;
  const NetCall request = { .method = method,
                            .url = url,
                            .content_type = has_body ? "application/json" : NULL,
                            .headers = headers,
                            .body = has_body ? visit->body : NULL,
                            .size = has_body ? strlen (visit->body) : 0,
                            .timeout_ms = DEADLINE_MS };

  net_client_call (options->client, &request, done, visit_free, visit);
}

static void
on_cancelled (void *ctx, const NetAnswer *answer)
{
  Visit *visit = ctx;

  if (answer->status / 100 == 2)
    {
      soak_note (visit->callers->options.soak, "cancel of %s acknowledged", visit->job->id);
      visit->job->is_cancel_known = TRUE;
      visit_free (visit);
      return;
    }
  if (answer->status != 410 && ++visit->n_tries < TRIES_MAX)
    call (visit, "DELETE", on_cancelled);
  else
    visit_free (visit);
}

static gboolean
cancel (gpointer data)
{
  Visit *visit = data;

  visit->job->was_cancelled = TRUE;
  soak_note (visit->callers->options.soak, "cancel of %s", visit->job->id);
  call (visit, "DELETE", on_cancelled);
  return G_SOURCE_REMOVE;
}

static guint
ask_after_ms (void)
{
  return (guint) g_random_int_range (ASK_MIN_MS, ASK_MAX_MS);
}

static void
on_state (void *ctx, const NetAnswer *answer)
{
  Visit *visit = ctx;
  Book *book = visit->callers->options.book;

  if (answer->status == 410)
    book_state (book, visit->job, NULL);
  if (answer->status == 200)
    {
      json_t *body = json_loads (answer->body, 0, NULL);
      book_state (book, visit->job, json_string_value (json_object_get (body, "state")));
      json_decref (body);
    }
  (void) g_timeout_add (ask_after_ms (), ask, visit);
}

static gboolean
ask (gpointer data)
{
  call (data, "GET", on_state);
  return G_SOURCE_REMOVE;
}

static void
begin_to_ask (Visit *visit)
{
  Callers *callers = visit->callers;

  visit->job->is_accepted = TRUE;
  soak_note (callers->options.soak, "job %s accepted", visit->job->id);
  (void) g_timeout_add (ask_after_ms (), ask, visit);
  if (g_random_int_range (0, 100) < CANCEL_PERCENT)
    (void) g_timeout_add ((guint) g_random_int_range (CANCEL_MIN_MS, CANCEL_MAX_MS), cancel,
                          visit_new (callers, visit->job));
}

static gboolean
on_retry (gpointer data)
{
  submit (data);
  return G_SOURCE_REMOVE;
}

static void
on_submitted (void *ctx, const NetAnswer *answer)
{
  Visit *visit = ctx;

  if (answer->status == 429 || answer->status == 503)
    visit->job->n_unknown--;
  if (answer->status / 100 == 2)
    begin_to_ask (visit);
  else if (visit->n_tries < TRIES_MAX)
    (void) g_timeout_add (RETRY_MS, on_retry, visit);
  else
    visit_free (visit);
}

static void
submit (Visit *visit)
{
  visit->n_tries++;
  visit->job->n_unknown++;
  call (visit, "POST", on_submitted);
}

static void
add_step (GArray *steps, gboolean lasts)
{
  const BookStep step = { .n_tasks = (uint32_t) g_random_int_range (1, lasts ? 3 : 7),
                          .cpu_m = g_random_int_range (200, lasts ? 1500 : 2500),
                          .mem_mb = g_random_int_range (100, 2000),
                          .work_ms = g_random_int_range (100, 1800),
                          .has_after = steps->len > 0,
                          .saves = g_random_boolean (),
                          .lasts = lasts };

  g_array_append_val (steps, step);
}

static GArray *
plan_steps (void)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (BookStep));
  gboolean lasts = g_random_int_range (0, 100) < LASTING_PERCENT;
  int n_steps = lasts ? 1 : g_random_int_range (1, 4);

  for (int i = 0; i < n_steps; i++)
    add_step (steps, lasts);
  if (!lasts && g_random_int_range (0, 100) < HOPELESS_PERCENT)
    g_array_index (steps, BookStep, 0).fails = TRUE;
  return steps;
}

static json_t *
encode_step (const BookStep *step, guint index)
{
  json_t *row = json_pack ("{s:I, s:I, s:I, s:I}", "count", (json_int_t) step->n_tasks, "cpu",
                           (json_int_t) step->cpu_m, "mem_mb", (json_int_t) step->mem_mb,
                           "estimate_ms", (json_int_t) step->work_ms);

  if (step->has_after)
    (void) json_object_set_new (row, "after", json_pack ("[i]", (int) index - 1));
  if (step->saves)
    (void) json_object_set_new (row, "checkpointing", json_true ());
  if (step->lasts)
    (void) json_object_set_new (row, "long_running", json_true ());
  return row;
}

static char *
encode_job (const BookJob *job)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < job->steps->len; i++)
    (void) json_array_append_new (rows, encode_step (&g_array_index (job->steps, BookStep, i), i));
  json_t *body = json_pack ("{s:s, s:o}", "spec", job->spec, "steps", rows);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static gboolean
on_new_job (gpointer data)
{
  Callers *callers = data;

  if (callers->is_stopped)
    return G_SOURCE_REMOVE;
  char *id = g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
  char *spec = g_strdup_printf ("spec of %s", id);
  Visit *visit = visit_new (callers, book_add (callers->options.book, id, spec, plan_steps ()));
  char *body = encode_job (visit->job);
  visit->body = g_strdup (body);
  free (body);
  submit (visit);
  (void) g_timeout_add ((guint) g_random_int_range (JOB_MS / 2, JOB_MS * 3 / 2), on_new_job,
                        callers);
  return G_SOURCE_REMOVE;
}

Callers *
callers_new (const CallersOptions *options)
{
  Callers *callers = g_new0 (Callers, 1);

  callers->options = *options;
  (void) g_timeout_add (JOB_MS, on_new_job, callers);
  return callers;
}

void
callers_free (Callers *callers)
{
  g_free (callers);
}

void
callers_stop (Callers *callers)
{
  callers->is_stopped = TRUE;
}
