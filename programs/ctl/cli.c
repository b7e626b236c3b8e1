#include "cli.h"

#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_uri.h>
#include <string.h>

#include "common/clk.h"

#define CLI_STATUS_ERROR_FIRST 400
#define CLI_STATUS_UNAVAILABLE 503

/** Body of an answer; reading stops beyond CLI_ANSWER_MAX. */
typedef struct
{
  GString *text;
  gboolean is_too_large;
} CliBody;

gboolean
cli_start (GError **error)
{
  if (ne_sock_init () == 0)
    return TRUE;
  err_set (error, ERR_INTERNAL, "the socket library can't be initialised");
  return FALSE;
}

static int
read_body (void *ctx, const char *data, size_t size)
{
  CliBody *body = ctx;

  if (body->text->len + size > CLI_ANSWER_MAX)
    {
      body->is_too_large = TRUE;
      return -1;
    }
  g_string_append_len (body->text, data, (gssize) size);
  return 0;
}

/* Free @p uri with ne_uri_free(), also on failure. */
static gboolean
parse_entry (const char *entry, ne_uri *uri, GError **error)
{
  if (ne_uri_parse (entry, uri) == 0 && g_strcmp0 (uri->scheme, "http") == 0 && uri->host != NULL
      && uri->port != 0)
    return TRUE;
  err_set (error, ERR_BAD_CONFIG, "entry '%s': expected http://IP:PORT", entry);
  return FALSE;
}

gboolean
cli_check (const CliOptions *options, GError **error)
{
  gboolean ok = TRUE;

  for (size_t i = 0; ok && options->entries[i] != NULL; i++)
    {
      ne_uri uri = { 0 };
      ok = parse_entry (options->entries[i], &uri, error);
      ne_uri_free (&uri);
    }
  return ok;
}

static ne_session *
open_session (const CliOptions *options, const char *entry, GError **error)
{
  ne_uri uri = { 0 };
  int timeout_s = (int) ((options->timeout_ms + CLK_MS_PER_S - 1) / CLK_MS_PER_S);
  ne_session *session = NULL;

  if (parse_entry (entry, &uri, error))
    session = ne_session_create ("http", uri.host, uri.port);
  ne_uri_free (&uri);
  if (session == NULL)
    return NULL;
  ne_set_connect_timeout (session, timeout_s);
  ne_set_read_timeout (session, timeout_s);
  return session;
}

/* Maps a failed exchange to an error kind. */
static ErrKind
failure_kind (int result, const CliBody *body)
{
  if (result == NE_CONNECT || result == NE_LOOKUP)
    return ERR_REFUSED;
  if (result == NE_TIMEOUT)
    return ERR_TIMEOUT;
  return body->is_too_large ? ERR_TOO_LARGE : ERR_PROTOCOL;
}

void
cli_answer_clear (CliAnswer *answer)
{
  g_clear_pointer (&answer->body, g_free);
  g_clear_pointer (&answer->location, g_free);
}

gboolean
cli_exchange (const CliOptions *options,
              const char *entry,
              const CliRequest *request,
              CliAnswer *answer,
              GError **error)
{
  ne_session *session = open_session (options, entry, error);

  if (session == NULL)
    return FALSE;
  CliBody body = { g_string_new (NULL), FALSE };
  ne_request *call = ne_request_create (session, request->method, request->path);
  ne_set_request_flag (call, NE_REQFLAG_IDEMPOTENT, request->is_repeatable);
  if (request->content_type != NULL)
    ne_add_request_header (call, "Content-Type", request->content_type);
  if (request->body != NULL)
    ne_set_request_body_buffer (call, request->body, request->body_size);
  ne_add_response_body_reader (call, ne_accept_always, read_body, &body);
  int result = ne_request_dispatch (call);
  if (result == NE_OK)
    {
      answer->status = (uint32_t) ne_get_status (call)->code;
      answer->size = body.text->len;
      answer->location = g_strdup (ne_get_response_header (call, "Location"));
      answer->body = g_string_free (g_steal_pointer (&body.text), FALSE);
    }
  else
    err_set (error, failure_kind (result, &body), "%s: %s", entry, ne_get_error (session));
  if (body.text != NULL)
    g_string_free (body.text, TRUE);
  ne_request_destroy (call);
  ne_session_destroy (session);
  return result == NE_OK;
}

static ErrRan
ran_from_name (const char *name)
{
  if (g_strcmp0 (name, "no") == 0)
    return ERR_RAN_NO;
  return g_strcmp0 (name, "yes") == 0 ? ERR_RAN_YES : ERR_RAN_DOUBT;
}

/* Converts an entry's error answer to a GError and sets *ran to whether the work ran. */
static void
read_error (const char *entry, const CliAnswer *answer, ErrRan *ran, GError **error)
{
  json_t *root = json_loadb (answer->body, answer->size, 0, NULL);
  const json_t *body = json_object_get (root, "error");
  const char *name = json_string_value (json_object_get (body, "kind"));
  const char *message = json_string_value (json_object_get (body, "message"));
  const char *request = json_string_value (json_object_get (body, "request_id"));
  json_int_t after_ms = json_integer_value (json_object_get (body, "retry_after_ms"));
  ErrKind kind = ERR_PROTOCOL;

  *ran = ran_from_name (json_string_value (json_object_get (body, "ran")));
  if (name == NULL || !err_kind_from_name (name, &kind))
    err_set (error, ERR_PROTOCOL, "%s: answered status %u without a known error kind", entry,
             answer->status);
  else
    {
      g_autofree char *retry_hint
          = after_ms > 0
                ? g_strdup_printf ("; retry in %" G_GINT64_FORMAT " ms", (int64_t) after_ms)
                : g_strdup ("");
      err_set (error, kind, "%s (ran: %s%s; request %s)", message != NULL ? message : "",
               err_ran_name (*ran), retry_hint, request != NULL ? request : "unknown");
    }
  json_decref (root);
}

/* Returns whether another entry may be tried after an error answer. */
static gboolean
may_try_next (const CliRequest *request, uint32_t status, ErrRan ran)
{
  return status == CLI_STATUS_UNAVAILABLE && (ran == ERR_RAN_NO || request->is_repeatable);
}

/* Sends the request to one entry. On failure sets *try_next to whether another may be tried. */
static gboolean
call_entry (const CliOptions *options,
            const char *entry,
            const CliRequest *request,
            CliAnswer *answer,
            gboolean *try_next,
            GError **error)
{
  CliAnswer received = { 0 };
  ErrRan ran = ERR_RAN_DOUBT;

  if (!cli_exchange (options, entry, request, &received, error))
    {
      *try_next = request->is_repeatable || (error != NULL && err_kind (*error) == ERR_REFUSED);
      return FALSE;
    }
  if (received.status < CLI_STATUS_ERROR_FIRST)
    {
      *answer = received;
      return TRUE;
    }
  read_error (entry, &received, &ran, error);
  *try_next = may_try_next (request, received.status, ran);
  cli_answer_clear (&received);
  return FALSE;
}

gboolean
cli_call (const CliOptions *options, const CliRequest *request, CliAnswer *answer, GError **error)
{
  g_autoptr (GError) failure = NULL;
  gboolean try_next = TRUE;

  for (size_t i = 0; try_next && options->entries[i] != NULL; i++)
    {
      g_clear_error (&failure);
      if (call_entry (options, options->entries[i], request, answer, &try_next, &failure))
        return TRUE;
    }
  if (failure == NULL)
    err_set (&failure, ERR_BAD_CONFIG, "no entry is configured: use --entry http://IP:PORT");
  g_propagate_error (error, g_steal_pointer (&failure));
  return FALSE;
}
