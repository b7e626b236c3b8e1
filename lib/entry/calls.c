#include "entry/calls.h"

#include <string.h>

#include "common/err.h"

struct Calls
{
  uint32_t calls_max;
  GHashTable *by_id;      /**< owns the rows */
  GSequence *by_deadline; /**< CallsCall, earliest first */
};

static guint
id_hash (gconstpointer key)
{
  const IdsId *id = key;

  return (guint) (id->high ^ id->low);
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return ids_equal (*(const IdsId *) a, *(const IdsId *) b);
}

static void
call_free (void *data)
{
  CallsCall *call = data;

  g_free (call->tenant);
  g_free (call->service);
  g_free (call->path);
  g_free (call->content_type);
  g_free (call->agent);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_free (call);
}

Calls *
calls_new (uint32_t calls_max)
{
  Calls *calls = g_new0 (Calls, 1);

  calls->calls_max = calls_max;
  calls->by_id = g_hash_table_new_full (id_hash, id_equal, NULL, call_free);
  calls->by_deadline = g_sequence_new (NULL);
  return calls;
}

void
calls_free (Calls *calls)
{
  if (calls == NULL)
    return;
  g_sequence_free (calls->by_deadline);
  g_hash_table_destroy (calls->by_id);
  g_free (calls);
}

static gint
compare_deadline (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const CallsCall *left = a;
  const CallsCall *right = b;

  (void) ctx;
  return (left->deadline_us > right->deadline_us) - (left->deadline_us < right->deadline_us);
}

CallsCall *
calls_add (Calls *calls, IdsId id, int64_t deadline_us, void *waiter, GError **error)
{
  if (g_hash_table_size (calls->by_id) >= calls->calls_max)
    {
      err_set (error, ERR_QUEUE_FULL, "too many requests wait for answers");
      return NULL;
    }
  if (g_hash_table_contains (calls->by_id, &id))
    {
      err_set (error, ERR_BAD_REQUEST, "Acacia-Request-Id: a request with this id is waiting");
      return NULL;
    }
  CallsCall *call = g_new0 (CallsCall, 1);
  call->id = id;
  call->deadline_us = deadline_us;
  call->waiter = waiter;
  call->by_deadline = g_sequence_insert_sorted (calls->by_deadline, call, compare_deadline, NULL);
  g_hash_table_insert (calls->by_id, &call->id, call);
  return call;
}

void
calls_attempt (CallsCall *call, const char *agent, uint64_t incarnation)
{
  call->attempt++;
  g_free (call->agent);
  call->agent = g_strdup (agent);
  call->agent_incarnation = incarnation;
  if (call->n_tried < ROUTE_TRIED_MAX)
    call->tried[call->n_tried++] = g_intern_string (agent);
}

CallsCall *
calls_find (const Calls *calls, IdsId id)
{
  return g_hash_table_lookup (calls->by_id, &id);
}

void
calls_remove (Calls *calls, CallsCall *call)
{
  g_sequence_remove (call->by_deadline);
  g_hash_table_remove (calls->by_id, &call->id);
}

CallsVerdict
calls_verify (const CallsExpected *expected, const char *agent, const Wire__Response *response)
{
  IdsId id = { response->id_high, response->id_low };
  ErrKind kind = ERR_INTERNAL;

  if (!ids_equal (expected->id, id))
    return CALLS_DROP_UNKNOWN;
  if (expected->attempt != response->attempt)
    return CALLS_DROP_ATTEMPT;
  if (g_strcmp0 (expected->tenant, response->tenant) != 0)
    return CALLS_DROP_TENANT;
  if (g_strcmp0 (expected->agent, agent) != 0)
    return CALLS_DROP_AGENT;
  if (response->length != response->body.len)
    return CALLS_DROP_LENGTH;
  if (response->body_digest != ids_hash (response->body.data, response->body.len))
    return CALLS_DROP_DIGEST;
  if (*response->kind != '\0' && !err_kind_from_name (response->kind, &kind))
    return CALLS_DROP_KIND;
  return CALLS_MATCH;
}

CallsCall *
calls_match (const Calls *calls,
             const char *agent,
             const Wire__Response *response,
             CallsVerdict *verdict)
{
  IdsId id = { response->id_high, response->id_low };
  CallsCall *call = calls_find (calls, id);

  *verdict = CALLS_DROP_UNKNOWN;
  if (call == NULL)
    return NULL;
  CallsExpected expected = { call->id, call->attempt, call->tenant, call->agent };
  *verdict = calls_verify (&expected, agent, response);
  return *verdict == CALLS_MATCH ? call : NULL;
}

CallsCall *
calls_due (const Calls *calls, int64_t now_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (calls->by_deadline);

  if (g_sequence_iter_is_end (first))
    return NULL;
  CallsCall *call = g_sequence_get (first);
  return call->deadline_us <= now_us ? call : NULL;
}

uint32_t
calls_count (const Calls *calls)
{
  return g_hash_table_size (calls->by_id);
}

void
calls_each (Calls *calls, void (*function) (void *ctx, CallsCall *call), void *ctx)
{
  GSequenceIter *next = g_sequence_get_begin_iter (calls->by_deadline);

  while (!g_sequence_iter_is_end (next))
    {
      CallsCall *call = g_sequence_get (next);
      next = g_sequence_iter_next (next);
      function (ctx, call);
    }
}

const char *
calls_verdict_name (CallsVerdict verdict)
{
  static const char *const names[CALLS_VERDICT_COUNT]
      = { "match", "unknown", "attempt", "tenant", "agent", "length", "digest", "kind" };

  g_assert (verdict < CALLS_VERDICT_COUNT);
  return names[verdict];
}
