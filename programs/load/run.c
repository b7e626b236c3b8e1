#include "run.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "common/clk.h"
#include "common/ids.h"
#include "jobs.h"
#include "link.h"
#include "plan.h"

#define RUN_TAG_SIZE 64
#define RUN_STATUS_ERROR_FIRST 400
#define RUN_HEADERS_MAX 5
/** Number of headers at the end of the list that only once requests have. */
#define RUN_ONCE_HEADERS 2

/** State shared by all threads. */
typedef struct
{
  const LoadOptions *options;
  IdsId run; /**< makes the keys of this run unique */
  int64_t start_us;
  gint64 next; /**< index of the next request; incremented atomically */
} Run;

/** A thread with its connections and counts. */
typedef struct
{
  Run *run;
  pthread_t thread;
  GPtrArray *links; /**< Link, one for each entry */
  Link *direct;     /**< NULL without direct calls */
  LoadTally tallies[LOAD_CLASS_COUNT];
} Sender;

static void
sleep_until (int64_t due_us)
{
  int64_t left_us = due_us - clk_now_us ();

  if (left_us > 0)
    g_usleep ((gulong) left_us);
}

/* Creates the body of a request: a unique tag, padded to body_bytes. */
static GString *
make_body (const Run *run, int64_t index, char tag[RUN_TAG_SIZE])
{
  char id[IDS_TEXT_SIZE];
  GString *body = g_string_new (NULL);

  (void) g_snprintf (tag, RUN_TAG_SIZE, "load-%s-%" G_GINT64_FORMAT, ids_print (run->run, id),
                     index);
  g_string_append (body, tag);
  while (body->len < (gsize) run->options->body_bytes)
    g_string_append_c (body, '.');
  return body;
}

static gboolean
send_request (Sender *sender,
              LoadClass class,
              int64_t index,
              const char *tag,
              GString *body,
              LinkAnswer *answer,
              GError **error)
{
  const LoadOptions *options = sender->run->options;
  g_autofree char *path = class == LOAD_DIRECT
                              ? g_strdup_printf ("/%s", options->path)
                              : g_strdup_printf ("/v1/call/%s/%s", options->service, options->path);
  g_autofree char *timeout = g_strdup_printf ("%" G_GINT64_FORMAT, options->timeout_ms);
  g_autofree char *date = g_strdup_printf ("%" G_GINT64_FORMAT, clk_wall_ms ());
  const LinkHeader headers[RUN_HEADERS_MAX] = {
    { "Acacia-Tenant", options->tenant },
    { "Acacia-Timeout-Ms", timeout },
    { "Acacia-Kind", class == LOAD_ONCE ? "once" : "repeatable" },
    { "Idempotency-Key", tag },
    { "Acacia-Date-Ms", date },
  };
  size_t n_headers = class == LOAD_ONCE ? RUN_HEADERS_MAX : RUN_HEADERS_MAX - RUN_ONCE_HEADERS;
  LinkRequest request = { "POST", path, headers, n_headers, body->str, body->len };
  Link *link = sender->direct;
  if (class != LOAD_DIRECT)
    link = g_ptr_array_index (sender->links, (guint) (index % sender->links->len));
  return link_call (link, &request, answer, error);
}

/* Returns whether the answer has the digest of this body, which is unique because of its tag. */
static gboolean
is_own_answer (const LinkAnswer *answer, const GString *body)
{
  g_autofree char *digest = g_strdup_printf ("\"digest\":\"%016" G_GINT64_MODIFIER "x\"",
                                             ids_hash (body->str, body->len));

  return strstr (answer->body->str, digest) != NULL;
}

static void
count_answer (LoadTally *tally, const LinkAnswer *answer, const GString *body, LoadSample sample)
{
  if (answer->attempts > 1)
    tally->retries += answer->attempts - 1;
  if (answer->status >= RUN_STATUS_ERROR_FIRST)
    {
      tally->refusals[link_answer_kind (answer)]++;
      return;
    }
  if (!is_own_answer (answer, body))
    tally->mismatched++;
  g_array_append_val (tally->samples, sample);
}

static void
run_one (Sender *sender, int64_t index, int64_t due_us)
{
  LoadClass class = plan_class (sender->run->options, index);
  LoadTally *tally = &sender->tallies[class];
  char tag[RUN_TAG_SIZE];
  g_autoptr (GString) body = make_body (sender->run, index, tag);
  g_autoptr (GError) error = NULL;
  LinkAnswer answer = { 0 };

  tally->sent++;
  int64_t sent_us = clk_now_us ();
  gboolean ok = sender->run->options->is_own_cost
                || send_request (sender, class, index, tag, body, &answer, &error);
  int64_t end_us = clk_now_us ();
  LoadSample sample = { end_us - due_us, end_us - sent_us };
  if (!ok)
    tally->refusals[err_kind (error)]++;
  else if (sender->run->options->is_own_cost)
    g_array_append_val (tally->samples, sample);
  else
    count_answer (tally, &answer, body, sample);
  link_answer_clear (&answer);
}

static void *
sender_main (void *data)
{
  Sender *sender = data;
  Run *run = sender->run;
  int64_t count = plan_count (run->options);

  for (;;)
    {
      int64_t index = __atomic_fetch_add (&run->next, 1, __ATOMIC_RELAXED);
      if (index >= count)
        return NULL;
      int64_t due_us = run->start_us + plan_due_us (run->options, index);
      sleep_until (due_us);
      run_one (sender, index, due_us);
    }
}

static void
link_destroy (gpointer data)
{
  link_free (data);
}

static gboolean
sender_open (Sender *sender, Run *run, GError **error)
{
  const LoadOptions *options = run->options;

  sender->run = run;
  sender->links = g_ptr_array_new_with_free_func (link_destroy);
  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    load_tally_init (&sender->tallies[class]);
  for (size_t i = 0; options->entries[i] != NULL; i++)
    {
      Link *link = link_new (options->entries[i], options->timeout_ms, error);
      if (link == NULL)
        return FALSE;
      g_ptr_array_add (sender->links, link);
    }
  if (options->direct == NULL)
    return TRUE;
  sender->direct = link_new (options->direct, options->timeout_ms, error);
  return sender->direct != NULL;
}

static void
sender_close (Sender *sender)
{
  if (sender->links == NULL)
    return;
  g_ptr_array_free (sender->links, TRUE);
  link_free (sender->direct);
  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    load_tally_clear (&sender->tallies[class]);
}

static void
run_senders (Run *run, Sender *senders, int64_t n_senders, LoadResult *result)
{
  run->start_us = clk_now_us ();
  for (int64_t i = 0; i < n_senders; i++)
    {
      int rc = pthread_create (&senders[i].thread, NULL, sender_main, &senders[i]);
      g_assert (rc == 0);
    }
  for (int64_t i = 0; i < n_senders; i++)
    {
      (void) pthread_join (senders[i].thread, NULL);
      for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
        load_tally_merge (&result->tallies[class], &senders[i].tallies[class]);
    }
  result->elapsed_us = clk_now_us () - run->start_us;
}

gboolean
run_load (const LoadOptions *options, LoadResult *result, GError **error)
{
  Run run = { .options = options, .run = ids_new () };
  Sender *senders = g_new0 (Sender, options->threads);
  gboolean ok = TRUE;

  *result = (LoadResult){ .evictions = -1 };
  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    load_tally_init (&result->tallies[class]);
  for (int64_t i = 0; ok && i < options->threads; i++)
    ok = sender_open (&senders[i], &run, error);
  if (ok)
    {
      int64_t before = options->is_own_cost ? -1 : jobs_evictions (options);
      Jobs *jobs = options->job != NULL ? jobs_start (options) : NULL;
      run_senders (&run, senders, options->threads, result);
      jobs_finish (jobs, &result->jobs);
      int64_t after = before >= 0 ? jobs_evictions (options) : -1;
      result->evictions = after >= 0 ? after - before : -1;
    }
  for (int64_t i = 0; i < options->threads; i++)
    sender_close (&senders[i]);
  g_free (senders);
  return ok;
}

void
run_result_clear (LoadResult *result)
{
  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    load_tally_clear (&result->tallies[class]);
}
