#include <string.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "entry/dryrun.h"
#include "entry/jobs.h"
#include "entry/render.h"
#include "loop_private.h"

/** Timeouts of an operator's request that waits for the log, or for another entry. */
#define APPEND_WAIT_US (10 * CLK_US_PER_S)
#define QUERY_WAIT_US (2 * CLK_US_PER_S)
#define PENDING_MAX 4096

static void
answer_json (HttpRequest *request, GBytes *body)
{
  http_answer (request, 200, "application/json", body, NULL, 0);
  g_bytes_unref (body);
}

static void
refuse (HttpRequest *request, ErrKind kind, const char *message)
{
  const ErrRow *row = err_row (kind);

  http_fail (request, kind, row->ran, message, row->retry_after_ms, NULL, 0);
}

static void
add_pending (Loop *loop, HttpRequest *request, IdsId id, gboolean is_query)
{
  LoopPending *pending = g_new0 (LoopPending, 1);

  pending->request = request;
  pending->id = id;
  pending->is_query = is_query;
  pending->deadline_us = clk_now_us () + (is_query ? QUERY_WAIT_US : APPEND_WAIT_US);
  g_ptr_array_add (loop->pending, pending);
}

/* Appends a record for a request, which is answered once the record is folded. */
static void
append_for_request (Loop *loop, HttpRequest *request, const Record__Record *record)
{
  IdsId id = { 0 };

  if (loop->pending->len >= PENDING_MAX)
    refuse (request, ERR_QUEUE_FULL, "too many requests wait for the log");
  else if (!loop_log_is_up (loop) || !loop_append (loop, record, FALSE, &id))
    refuse (request, ERR_LOG_DOWN, "the platform's log can't be reached; nothing was changed");
  else
    add_pending (loop, request, id, FALSE);
}

static void
put_config (Loop *loop, HttpRequest *request)
{
  const HttpRequestInfo *ask = http_request_info (request);
  Record__Record record = RECORD__RECORD__INIT;
  Record__Config config = RECORD__CONFIG__INIT;
  gsize size = 0;
  const void *data = g_bytes_get_data (ask->body, &size);

  config.base_version = ask->base;
  config.author = ask->author;
  config.note = ask->note;
  config.text = (ProtobufCBinaryData){ size, (uint8_t *) data };
  record.body_case = RECORD__RECORD__BODY_CONFIG;
  record.config = &config;
  append_for_request (loop, request, &record);
}

static void
check_config (Loop *loop, HttpRequest *request)
{
  g_autoptr (GError) error = NULL;
  Config *next = config_new (0, "", 0, http_request_info (request)->body, &error);

  if (next == NULL)
    {
      refuse (request, ERR_BAD_CONFIG, error->message);
      return;
    }
  answer_json (request, dryrun_render (loop->config->version, loop->config->document,
                                       next->document, loop->members));
  config_unref (next);
}

static void
submit_job (Loop *loop, HttpRequest *request)
{
  const HttpRequestInfo *ask = http_request_info (request);
  uint64_t id = jobs_id (ask->submitter, ask->job_name, ask->job_key);
  const DocJob *definition = doc_job (loop->config->document, ask->job_name);
  Record__Record record = RECORD__RECORD__INIT;
  Record__Job job = RECORD__JOB__INIT;

  if (fold_job (loop->fold, id) != NULL)
    {
      answer_json (request, render_job_id (id));
      return;
    }
  if (definition == NULL)
    {
      refuse (request, ERR_NOT_FOUND, "no such job in the configuration");
      return;
    }
  g_autofree char *text = jobs_definition (definition);
  job.job = id;
  job.name = ask->job_name;
  job.submitter = ask->submitter;
  job.shard = jobs_shard (id, (uint32_t) loop->settings->shards);
  job.submitted_ms = clk_wall_ms ();
  if (definition->deadline_ms != 0)
    job.deadline_ms = job.submitted_ms + definition->deadline_ms;
  job.tasks = (uint32_t) definition->tasks;
  job.definition = (ProtobufCBinaryData){ strlen (text), (uint8_t *) text };
  record.body_case = RECORD__RECORD__BODY_JOB;
  record.job = &job;
  append_for_request (loop, request, &record);
}

static void
get_job (Loop *loop, HttpRequest *request)
{
  const FoldJob *job = fold_job (loop->fold, http_request_info (request)->job);

  if (job == NULL)
    refuse (request, ERR_NOT_FOUND, "no such job");
  else
    answer_json (request, render_job (job));
}

static void
cancel_job (Loop *loop, HttpRequest *request)
{
  const HttpRequestInfo *ask = http_request_info (request);
  const FoldJob *job = fold_job (loop->fold, ask->job);
  Record__Record record = RECORD__RECORD__INIT;
  Record__JobCancel cancel = RECORD__JOB_CANCEL__INIT;

  if (job == NULL)
    refuse (request, ERR_NOT_FOUND, "no such job");
  else if (job->cancelled || job->n_final == job->n_tasks)
    answer_json (request, render_job (job));
  else
    {
      cancel.job = ask->job;
      cancel.author = ask->author;
      record.body_case = RECORD__RECORD__BODY_CANCEL;
      record.cancel = &cancel;
      append_for_request (loop, request, &record);
    }
}

/* Explains a job from local state. Returns NULL if this entry doesn't own the shard. For a job that
   the core doesn't know yet or no longer knows, the state from the log is returned. */
static char *
explain_locally (Loop *loop, uint64_t id)
{
  const FoldJob *job = fold_job (loop->fold, id);
  const Shard *shard = loop->shards[jobs_shard (id, (uint32_t) loop->settings->shards)];
  char *text = shard != NULL ? core_explain_job (shard_core (shard), id) : NULL;

  if (shard == NULL || text != NULL || job == NULL)
    return text;
  g_autoptr (GBytes) body = render_job (job);
  gsize size = 0;
  const char *data = g_bytes_get_data (body, &size);
  return g_strndup (data, size);
}

/* Used if the owner of the shard can't answer: the job is explained from the log. */
static void
explain_without_owner (Loop *loop, HttpRequest *request, const char *why)
{
  const FoldJob *job = fold_job (loop->fold, http_request_info (request)->job);

  if (job == NULL)
    refuse (request, ERR_NOT_FOUND, "no such job");
  else if (job->n_final == job->n_tasks)
    answer_json (request, render_job (job));
  else
    answer_json (request, render_unowned_job (job, why));
}

static void
forward_query (Loop *loop, HttpRequest *request, const FoldClaim *claim)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Query query = WIRE__QUERY__INIT;
  char argument[JOBS_ID_SIZE];
  IdsId id = ids_new ();

  query.id_high = id.high;
  query.id_low = id.low;
  query.what = "explain";
  query.argument = (char *) jobs_print (http_request_info (request)->job, argument);
  envelope.body_case = WIRE__ENVELOPE__BODY_QUERY;
  envelope.query = &query;
  if (claim->epoch == 0 || loop->pending->len >= PENDING_MAX
      || !wire_send (loop->wire, claim->entry, &envelope))
    explain_without_owner (loop, request, "the shard's owner can't be reached now");
  else
    add_pending (loop, request, id, TRUE);
}

static void
explain_job (Loop *loop, HttpRequest *request)
{
  uint64_t id = http_request_info (request)->job;
  uint32_t shard = jobs_shard (id, (uint32_t) loop->settings->shards);
  g_autofree char *text = explain_locally (loop, id);

  if (text != NULL)
    answer_json (request, g_bytes_new (text, strlen (text)));
  else if (fold_job (loop->fold, id) == NULL)
    refuse (request, ERR_NOT_FOUND, "no such job");
  else
    forward_query (loop, request, fold_claim (loop->fold, shard));
}

static void
get_status (Loop *loop, HttpRequest *request)
{
  int64_t now_us = clk_now_us ();
  int64_t age_us = owner_view_age_us (loop->owner, now_us);
  RenderStatus status = { .name = loop->settings->name,
                          .data_centre = loop->settings->data_centre,
                          .fold = loop->fold,
                          .members = loop->members,
                          .document = loop->config->document,
                          .config_version = loop->config->version,
                          .shards = (uint32_t) loop->settings->shards,
                          .is_leaving = loop->is_leaving,
                          .log_is_up = loop_log_is_up (loop),
                          .log_age_ms = age_us / CLK_US_PER_MS,
                          .now_us = now_us };

  answer_json (request, render_status (&status));
}

void
loop_operator (Loop *loop, HttpRequest *request)
{
  switch (http_request_info (request)->op)
    {
    case HTTP_CONFIG_PUT:
      put_config (loop, request);
      break;
    case HTTP_CONFIG_CHECK:
      check_config (loop, request);
      break;
    case HTTP_CONFIG_HISTORY:
      answer_json (request, render_history (loop->fold));
      break;
    case HTTP_JOB_SUBMIT:
      submit_job (loop, request);
      break;
    case HTTP_JOB_LIST:
      answer_json (request, render_jobs (loop->fold));
      break;
    case HTTP_JOB_GET:
      get_job (loop, request);
      break;
    case HTTP_JOB_CANCEL:
      cancel_job (loop, request);
      break;
    case HTTP_JOB_EXPLAIN:
      explain_job (loop, request);
      break;
    case HTTP_STATUS:
      get_status (loop, request);
      break;
    default:
      refuse (request, ERR_INTERNAL, "the loop does not handle this operation");
      break;
    }
}

void
loop_query (Loop *loop, const char *peer, const Wire__Query *query)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__QueryReply reply = WIRE__QUERY_REPLY__INIT;
  uint64_t id = 0;
  g_autofree char *text = NULL;

  if (strcmp (query->what, "explain") == 0 && params_hex16 (query->argument, &id))
    text = explain_locally (loop, id);
  reply.id_high = query->id_high;
  reply.id_low = query->id_low;
  reply.kind = (char *) (text != NULL ? "" : err_name (ERR_NOT_OWNER));
  reply.json = text != NULL ? text : "";
  envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_REPLY;
  envelope.query_reply = &reply;
  (void) wire_send (loop->wire, peer, &envelope);
}

static LoopPending *
find_pending (const Loop *loop, IdsId id)
{
  for (guint i = 0; i < loop->pending->len; i++)
    {
      LoopPending *pending = g_ptr_array_index (loop->pending, i);
      if (ids_equal (pending->id, id))
        return pending;
    }
  return NULL;
}

static HttpRequest *
take_pending (Loop *loop, LoopPending *pending)
{
  HttpRequest *request = pending->request;

  g_ptr_array_remove_fast (loop->pending, pending);
  return request;
}

void
loop_query_reply (Loop *loop, const Wire__QueryReply *reply)
{
  LoopPending *pending = find_pending (loop, (IdsId){ reply->id_high, reply->id_low });

  if (pending == NULL || !pending->is_query)
    return;
  HttpRequest *request = take_pending (loop, pending);
  if (*reply->kind == '\0')
    answer_json (request, g_bytes_new (reply->json, strlen (reply->json)));
  else
    explain_without_owner (loop, request, "the shard's owner is changing");
}

void
loop_pending_version (Loop *loop, IdsId id, uint64_t version)
{
  LoopPending *pending = find_pending (loop, id);

  if (pending != NULL)
    pending->version = version;
}

static void
answer_stale (Loop *loop, HttpRequest *request)
{
  g_autofree char *message = g_strdup_printf ("base: the newest version is %" G_GUINT64_FORMAT,
                                              fold_config (loop->fold)->version);

  refuse (request, ERR_STALE_BASE, message);
}

static void
answer_applied (Loop *loop, HttpRequest *request, uint64_t version)
{
  const HttpRequestInfo *ask = http_request_info (request);

  if (ask->op == HTTP_CONFIG_PUT)
    answer_json (request, render_version (version));
  else if (ask->op == HTTP_JOB_SUBMIT)
    answer_json (request, render_job_id (jobs_id (ask->submitter, ask->job_name, ask->job_key)));
  else
    get_job (loop, request);
}

static void
answer_folded (Loop *loop, LoopPending *pending, FoldResult result)
{
  uint64_t version = pending->version;
  HttpRequest *request = take_pending (loop, pending);
  const HttpRequestInfo *ask = http_request_info (request);
  gboolean is_known
      = ask->op == HTTP_JOB_SUBMIT
        && fold_job (loop->fold, jobs_id (ask->submitter, ask->job_name, ask->job_key)) != NULL;

  if (result == FOLD_APPLIED || is_known)
    answer_applied (loop, request, version);
  else if (result == FOLD_REFUSED && ask->op == HTTP_CONFIG_PUT)
    answer_stale (loop, request);
  else if (result == FOLD_FENCED)
    refuse (request, ERR_LOG_DOWN, "the record was fenced on the log; nothing was changed");
  else
    refuse (request, ERR_BAD_REQUEST, "the record was rejected; nothing was changed");
}

void
loop_pending_folded (Loop *loop)
{
  for (guint i = loop->pending->len; i > 0; i--)
    {
      LoopPending *pending = g_ptr_array_index (loop->pending, i - 1);
      FoldResult result = FOLD_APPLIED;
      if (!pending->is_query && fold_record_result (loop->fold, pending->id, &result))
        answer_folded (loop, pending, result);
    }
}

void
loop_pending_not_appended (Loop *loop, IdsId id)
{
  LoopPending *pending = find_pending (loop, id);

  if (pending != NULL && !pending->is_query)
    refuse (take_pending (loop, pending), ERR_LOG_DOWN,
            "the platform's log can't be reached; nothing was changed");
}

void
loop_pending_due (Loop *loop, int64_t now_us)
{
  for (guint i = loop->pending->len; i > 0; i--)
    {
      LoopPending *pending = g_ptr_array_index (loop->pending, i - 1);
      if (pending->deadline_us > now_us)
        continue;
      gboolean is_query = pending->is_query;
      HttpRequest *request = take_pending (loop, pending);
      if (is_query)
        explain_without_owner (loop, request, "the shard's owner did not answer");
      else
        refuse (request, ERR_IN_DOUBT, "the record may be on the log; check before retrying");
    }
}
