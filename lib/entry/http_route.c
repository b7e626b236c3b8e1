#include <jansson.h>
#include <string.h>

#include "common/clk.h"
#include "common/doc.h"
#include "entry/render.h"
#include "entry/http_private.h"

/** The process is unhealthy when the loop has not published a view for this time. */
#define LOOP_TIMEOUT_US (5 * CLK_US_PER_S)
#define AUTHOR_MAX 63
#define NOTE_MAX 255

typedef struct
{
  const char *method;
  const char *path;
  HttpOp op;
} RouteRow;

static const RouteRow route_rows[] = {
  { "GET", "/v1/config", HTTP_CONFIG_GET },
  { "PUT", "/v1/config", HTTP_CONFIG_PUT },
  { "POST", "/v1/config/check", HTTP_CONFIG_CHECK },
  { "GET", "/v1/config/history", HTTP_CONFIG_HISTORY },
  { "POST", "/v1/jobs", HTTP_JOB_SUBMIT },
  { "GET", "/v1/jobs", HTTP_JOB_LIST },
  { "GET", "/v1/status", HTTP_STATUS },
  { "GET", "/metrics", HTTP_METRICS },
  { "GET", "/healthz", HTTP_HEALTH },
  { "GET", "/readyz", HTTP_READY },
};

#define JOB_PREFIX "/v1/jobs/"
#define EXPLAIN_SUFFIX "/explain"

static gboolean
route_job (HttpRequest *request, const char *method, const char *path, GError **error)
{
  g_autofree char *id = g_strdup (path + strlen (JOB_PREFIX));
  gboolean explains = g_str_has_suffix (id, EXPLAIN_SUFFIX);

  if (explains)
    id[strlen (id) - strlen (EXPLAIN_SUFFIX)] = '\0';
  if (!params_hex16 (id, &request->ask.job))
    err_set (error, ERR_BAD_REQUEST, "path: expected a job's id of 16 hexadecimal digits");
  else if (strcmp (method, "GET") == 0)
    {
      request->ask.op = explains ? HTTP_JOB_EXPLAIN : HTTP_JOB_GET;
      return TRUE;
    }
  else if (strcmp (method, "DELETE") == 0 && !explains)
    {
      request->ask.op = HTTP_JOB_CANCEL;
      return TRUE;
    }
  else
    err_set (error, ERR_NOT_FOUND, "%s: no such path", method);
  return FALSE;
}

static const char *
find_header (void *ctx, const char *name)
{
  return MHD_lookup_connection_value (ctx, MHD_HEADER_KIND, name);
}

static gboolean
route_call (HttpRequest *request, const char *method, GError **error)
{
  if (strcmp (method, "POST") != 0)
    {
      err_set (error, ERR_NOT_FOUND, "calls: expected POST");
      return FALSE;
    }
  request->ask.op = HTTP_CALL;
  if (!params_call (request->target, find_header, request->connection, &request->ask.call, error))
    return FALSE;
  if (ids_is_zero (request->ask.call.id))
    request->ask.call.id = ids_new ();
  return TRUE;
}

static const char *
find_argument (const HttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static gboolean
read_text (const HttpRequest *request, const char *name, size_t max, char **value, GError **error)
{
  const char *text = find_argument (request, name);

  if (text != NULL && (strlen (text) > max || !g_utf8_validate (text, -1, NULL)))
    {
      err_set (error, ERR_BAD_REQUEST, "%s: expected at most %u bytes of text", name,
               (unsigned int) max);
      return FALSE;
    }
  *value = g_strdup (text != NULL ? text : "");
  return TRUE;
}

static gboolean
read_arguments (HttpRequest *request, GError **error)
{
  const char *base_text = find_argument (request, "base");
  int64_t base = 0;

  if ((request->ask.op == HTTP_CONFIG_PUT || base_text != NULL)
      && !params_integer (base_text, 0, G_MAXINT64, &base))
    {
      err_set (error, ERR_BAD_REQUEST, "base: expected the version that this is based on");
      return FALSE;
    }
  request->ask.base = (uint64_t) base;
  return read_text (request, "author", AUTHOR_MAX, &request->ask.author, error)
         && read_text (request, "note", NOTE_MAX, &request->ask.note, error);
}

gboolean
http_route (HttpRequest *request, const char *method, const char *path, GError **error)
{
  if (g_str_has_prefix (path, PARAMS_CALL_PREFIX))
    return route_call (request, method, error);
  if (g_str_has_prefix (path, JOB_PREFIX))
    return route_job (request, method, path, error)
           && read_text (request, "author", AUTHOR_MAX, &request->ask.author, error);
  for (size_t i = 0; i < G_N_ELEMENTS (route_rows); i++)
    {
      if (strcmp (path, route_rows[i].path) != 0 || strcmp (method, route_rows[i].method) != 0)
        continue;
      request->ask.op = route_rows[i].op;
      return read_arguments (request, error);
    }
  err_set (error, ERR_NOT_FOUND, "no such method and path");
  return FALSE;
}

static gboolean
read_document (const HttpRequest *request, GError **error)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (request->ask.body, &size);
  DocDocument *document = doc_parse (text != NULL ? text : "", size, "body", error);

  doc_free (document);
  return document != NULL;
}

static gboolean
read_member (json_t *root, const char *name, char **value, GError **error)
{
  const char *text = json_string_value (json_object_get (root, name));

  if (text == NULL || *text == '\0' || strlen (text) > PARAMS_KEY_MAX)
    {
      err_set (error, ERR_BAD_REQUEST, "%s: expected a text of 1 to %d bytes", name,
               PARAMS_KEY_MAX);
      return FALSE;
    }
  *value = g_strdup (text);
  return TRUE;
}

static gboolean
read_submission (HttpRequest *request, GError **error)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (request->ask.body, &size);
  json_error_t json_error;
  json_t *root = json_loadb (text != NULL ? text : "", size, JSON_REJECT_DUPLICATES, &json_error);
  gboolean ok = FALSE;

  if (root == NULL)
    err_set (error, ERR_BAD_REQUEST, "body:%d: expected JSON: %s", json_error.line,
             json_error.text);
  else
    ok = read_member (root, "name", &request->ask.job_name, error)
         && read_member (root, "key", &request->ask.job_key, error)
         && read_member (root, "submitter", &request->ask.submitter, error);
  json_decref (root);
  return ok;
}

gboolean
http_read_body (HttpRequest *request, GError **error)
{
  switch (request->ask.op)
    {
    case HTTP_CONFIG_PUT:
    case HTTP_CONFIG_CHECK:
      return read_document (request, error);
    case HTTP_JOB_SUBMIT:
      return read_submission (request, error);
    default:
      return TRUE;
    }
}

static void
answer_text (HttpRequest *request, uint32_t status, const char *content_type, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  http_answer (request, status, content_type, body, NULL, 0);
}

static void
answer_metrics (HttpRequest *request)
{
  g_autofree char *text = met_render (request->http->options.metrics);

  answer_text (request, MHD_HTTP_OK, "text/plain; version=0.0.4", text);
}

static void
answer_config (HttpRequest *request, const View *view)
{
  const Config *config = view->config;
  g_autoptr (GBytes) body
      = render_config (config->version, config->author, config->wall_ms, config->text);

  http_answer (request, MHD_HTTP_OK, "application/json", body, NULL, 0);
}

static void
answer_probe (HttpRequest *request, gboolean is_ok)
{
  answer_text (request, is_ok ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
               is_ok ? "ok\n" : "no\n");
}

static void
refuse_call (HttpRequest *request, ErrKind kind, const char *message)
{
  http_fail (request, kind, ERR_RAN_NO, message, err_row (kind)->retry_after_ms, NULL, 0);
}

/* Refuses calls that can be rejected from the newest view, without waking the loop. */
static gboolean
refuse_early (HttpRequest *request, const View *view)
{
  const ParamsCall *call = &request->ask.call;
  /* The log may hold an answer to an earlier request with the key; the loop checks it. */
  gboolean may_be_answered = call->key != NULL;
  gboolean is_live = g_hash_table_contains (view->live_services, call->service);

  if (view->is_leaving)
    refuse_call (request, ERR_LEAVING, "this entry is leaving");
  else if (!may_be_answered && doc_service (view->config->document, call->service) == NULL)
    refuse_call (request, ERR_NOT_FOUND, "no such service");
  else if (!may_be_answered && !is_live)
    refuse_call (request, ERR_NO_ENDPOINT, "no endpoint of the service is live");
  else
    return FALSE;
  return TRUE;
}

static gboolean
answer_with_view (HttpRequest *request, const View *view)
{
  switch (request->ask.op)
    {
    case HTTP_CONFIG_GET:
      answer_config (request, view);
      return TRUE;
    case HTTP_HEALTH:
      answer_probe (request, clk_now_us () - view->published_us < LOOP_TIMEOUT_US);
      return TRUE;
    case HTTP_READY:
      answer_probe (request, view->is_ready && !view->is_leaving);
      return TRUE;
    case HTTP_CALL:
      return refuse_early (request, view);
    default:
      return FALSE;
    }
}

gboolean
http_answer_directly (HttpRequest *request)
{
  if (request->ask.op == HTTP_METRICS)
    {
      answer_metrics (request);
      return TRUE;
    }
  const View *view = view_enter (request->http->options.board);
  g_assert (view != NULL);
  gboolean is_answered = answer_with_view (request, view);
  view_leave (request->http->options.board);
  return is_answered;
}
