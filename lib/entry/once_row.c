#include "entry/once_row.h"

#include <string.h>

OnceRow *
once_row_new (const OnceRequest *ask, uint64_t request_digest)
{
  OnceRow *row = g_new0 (OnceRow, 1);
  OnceWaiter waiter = { ask->waiter, ask->deadline_us };
  gsize size = 0;
  const void *data = g_bytes_get_data (ask->body, &size);

  row->name = once_row_name (ask->tenant, ask->key);
  row->tenant = g_strdup (ask->tenant);
  row->key = g_strdup (ask->key);
  row->service = g_strdup (ask->service);
  row->path = g_strdup (ask->path);
  row->content_type = g_strdup (ask->content_type);
  row->body = g_bytes_ref (ask->body);
  row->body_digest = ids_hash (data, size);
  row->request_digest = request_digest;
  row->dated_ms = ask->dated_ms;
  row->first_request = ask->request;
  row->last_kind = ERR_DEADLINE;
  row->waiters = g_array_new (FALSE, FALSE, sizeof (OnceWaiter));
  g_array_append_val (row->waiters, waiter);
  return row;
}

static void
clear_stored (OnceRow *row)
{
  g_free ((char *) row->stored.content_type);
  g_free ((char *) row->stored.message);
  g_clear_pointer (&row->stored.body, g_bytes_unref);
  row->stored = (OnceAnswer){ 0 };
  row->has_stored = FALSE;
}

void
once_row_free (void *data)
{
  OnceRow *row = data;

  clear_stored (row);
  g_free (row->name);
  g_free (row->tenant);
  g_free (row->key);
  g_free (row->service);
  g_free (row->path);
  g_free (row->content_type);
  g_bytes_unref (row->body);
  g_free (row->agent);
  g_array_free (row->waiters, TRUE);
  g_free (row);
}

/* Tenant names contain no line feed, so different pairs never have the same name. */
char *
once_row_name (const char *tenant, const char *key)
{
  return g_strconcat (tenant, "\n", key, NULL);
}

uint64_t
once_row_digest (const OnceRequest *ask)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (ask->body, &size);
  g_autofree char *text = g_strdup_printf ("%s\n%s\n%s\n%016" G_GINT64_MODIFIER "x", ask->service,
                                           ask->path, ask->content_type, ids_hash (data, size));

  return ids_hash_text (text);
}

int64_t
once_row_deadline (const OnceRow *row)
{
  int64_t deadline = 0;

  for (guint i = 0; i < row->waiters->len; i++)
    deadline = MAX (deadline, g_array_index (row->waiters, OnceWaiter, i).deadline_us);
  return deadline;
}

void
once_row_store (OnceRow *row, const Wire__Response *response)
{
  clear_stored (row);
  row->has_stored = TRUE;
  row->stored.is_answer = TRUE;
  row->stored.ran = ERR_RAN_YES;
  row->stored.status = response->status;
  row->stored.content_type = g_strdup (response->content_type);
  row->stored.body = g_bytes_new (response->body.data, response->body.len);
  row->stored.body_digest = response->body_digest;
  row->stored.attempts = row->attempt;
}

void
once_row_store_error (OnceRow *row, ErrKind kind, const char *message)
{
  clear_stored (row);
  row->has_stored = TRUE;
  row->stored = once_error (kind, ERR_RAN_YES, g_strdup (message));
  row->stored.attempts = row->attempt;
}

void
once_row_outcome (const OnceRow *row, int64_t answer_bytes_max, Record__Outcome *outcome)
{
  gsize size = 0;
  const void *data = row->stored.body != NULL ? g_bytes_get_data (row->stored.body, &size) : NULL;

  record__outcome__init (outcome);
  outcome->tenant = row->tenant;
  outcome->key = row->key;
  outcome->attempt = row->attempt;
  outcome->kind = (char *) (row->stored.is_answer ? "" : err_name (row->stored.kind));
  outcome->status = row->stored.status;
  outcome->content_type = (char *) (row->stored.is_answer ? row->stored.content_type : "");
  outcome->length = size;
  outcome->body_digest = row->stored.body_digest;
  outcome->body_held = row->stored.is_answer && (int64_t) size <= answer_bytes_max;
  if (outcome->body_held)
    outcome->body = (ProtobufCBinaryData){ size, (uint8_t *) data };
}

OnceAnswer
once_error (ErrKind kind, ErrRan ran, const char *message)
{
  OnceAnswer answer = { 0 };

  answer.kind = kind;
  answer.ran = ran;
  answer.message = message;
  answer.retry_after_ms = err_row (kind)->retry_after_ms;
  return answer;
}

OnceAnswer
once_from_intent (const FoldIntent *intent)
{
  ErrKind kind = ERR_ANSWER_GONE;
  OnceAnswer answer = { 0 };

  if (*intent->kind != '\0')
    {
      if (!err_kind_from_name (intent->kind, &kind))
        kind = ERR_ENDPOINT_FAILED;
      answer
          = once_error (kind, ERR_RAN_YES, "the first request with this key ended with this error");
    }
  else if (!intent->body_held)
    answer = once_error (ERR_ANSWER_GONE, ERR_RAN_YES,
                         "the request ran; its answer is no longer stored");
  else
    {
      answer.is_answer = TRUE;
      answer.ran = ERR_RAN_YES;
      answer.status = intent->status;
      answer.content_type = intent->content_type;
      answer.body = intent->body;
      answer.body_digest = intent->body_digest;
    }
  answer.attempts = intent->attempt;
  return answer;
}

void
once_row_set_attempt (
    OnceRow *row, uint32_t attempt, IdsId request, const char *agent, uint64_t incarnation)
{
  char *copy = g_strdup (agent);

  row->attempt = attempt;
  row->request = request;
  g_free (row->agent);
  row->agent = copy;
  row->agent_incarnation = incarnation;
}

void
once_row_intent (const OnceRow *row, Record__Intent *intent)
{
  record__intent__init (intent);
  intent->tenant = row->tenant;
  intent->key = row->key;
  intent->service = row->service;
  intent->request_digest = row->request_digest;
  intent->request_high = row->request.high;
  intent->request_low = row->request.low;
  intent->attempt = row->attempt;
  intent->agent = row->agent;
  intent->agent_incarnation = row->agent_incarnation;
  intent->dated_ms = row->dated_ms;
}

void
once_row_fence (const OnceRow *row, ErrKind kind, Record__Outcome *outcome)
{
  record__outcome__init (outcome);
  outcome->tenant = row->tenant;
  outcome->key = row->key;
  outcome->attempt = row->attempt;
  outcome->fenced = TRUE;
  outcome->kind = (char *) err_name (kind);
}
