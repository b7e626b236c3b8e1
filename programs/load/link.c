#include "link.h"

#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_uri.h>

#include "common/clk.h"

#define LINK_ANSWER_MAX (16 * 1024 * 1024)

struct Link
{
  ne_session *session;
};

gboolean
link_start (GError **error)
{
  if (ne_sock_init () == 0)
    return TRUE;
  err_set (error, ERR_INTERNAL, "the socket library can't be initialised");
  return FALSE;
}

Link *
link_new (const char *url, int64_t timeout_ms, GError **error)
{
  ne_uri uri = { 0 };
  int timeout_s = (int) ((timeout_ms + CLK_MS_PER_S - 1) / CLK_MS_PER_S);

  gboolean ok = ne_uri_parse (url, &uri) == 0 && g_strcmp0 (uri.scheme, "http") == 0
                && uri.host != NULL && uri.port != 0;
  Link *link = NULL;
  if (ok)
    {
      link = g_new0 (Link, 1);
      link->session = ne_session_create ("http", uri.host, uri.port);
      ne_set_connect_timeout (link->session, timeout_s);
      ne_set_read_timeout (link->session, timeout_s);
    }
  else
    err_set (error, ERR_BAD_CONFIG, "'%s': expected http://IP:PORT", url);
  ne_uri_free (&uri);
  return link;
}

void
link_free (Link *link)
{
  if (link == NULL)
    return;
  ne_session_destroy (link->session);
  g_free (link);
}

static int
read_body (void *ctx, const char *data, size_t size)
{
  GString *body = ctx;

  if (body->len + size > LINK_ANSWER_MAX)
    return -1;
  g_string_append_len (body, data, (gssize) size);
  return 0;
}

static ErrKind
failure_kind (int result)
{
  if (result == NE_CONNECT || result == NE_LOOKUP)
    return ERR_REFUSED;
  return result == NE_TIMEOUT ? ERR_TIMEOUT : ERR_PROTOCOL;
}

gboolean
link_call (Link *link, const LinkRequest *request, LinkAnswer *answer, GError **error)
{
  *answer = (LinkAnswer){ .body = g_string_new (NULL) };
  ne_request *call = ne_request_create (link->session, request->method, request->path);
  for (size_t i = 0; i < request->n_headers; i++)
    ne_add_request_header (call, request->headers[i].name, request->headers[i].value);
  if (request->body != NULL)
    ne_set_request_body_buffer (call, request->body, request->body_size);
  ne_add_response_body_reader (call, ne_accept_always, read_body, answer->body);
  int result = ne_request_dispatch (call);
  if (result == NE_OK)
    {
      const char *attempts = ne_get_response_header (call, "Acacia-Attempts");
      answer->status = (uint32_t) ne_get_status (call)->code;
      answer->attempts = attempts != NULL ? (uint32_t) g_ascii_strtoull (attempts, NULL, 10) : 0;
    }
  else
    {
      err_set (error, failure_kind (result), "%s", ne_get_error (link->session));
      link_answer_clear (answer);
    }
  ne_request_destroy (call);
  return result == NE_OK;
}

void
link_answer_clear (LinkAnswer *answer)
{
  if (answer->body != NULL)
    g_string_free (answer->body, TRUE);
  answer->body = NULL;
}

ErrKind
link_answer_kind (const LinkAnswer *answer)
{
  json_t *root = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  const char *name = json_string_value (json_object_get (json_object_get (root, "error"), "kind"));
  ErrKind kind = ERR_PROTOCOL;

  if (name != NULL)
    (void) err_kind_from_name (name, &kind);
  json_decref (root);
  return kind;
}
