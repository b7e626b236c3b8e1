/*
 * Placement queries: POST /where?queue=NAME on the metrics address, with a job as callers submit
 * it. Only the owner knows the workers; other entries redirect to it. A query is answered on the
 * main loop between two passes, one at a time, and is counted nowhere.
 */
#include <jansson.h>

#include "batch/sched_where.h"
#include "common/clk.h"
#include "entry_private.h"
#include "platform/caller.h"
#include "platform/pjson.h"

/** Retry-After while another query is under way, and while no owner is known. */
#define RETRY_AFTER_S 1

struct Where
{
  Entry *entry;
  NetRequest *request; /**< the query that is under way; NULL for none */
  guint source;
};

static void
reply_json (NetRequest *request, NetReply reply, json_t *object)
{
  g_autofree char *body = pjson_print (object);

  reply.content_type = CALLER_CONTENT_TYPE;
  reply.body = body;
  net_request_reply (request, &reply);
}

static void
reply_error (NetRequest *request, uint32_t status, const char *message)
{
  const NetReply reply
      = { .status = status, .retry_after_s = status == 429 || status == 503 ? RETRY_AFTER_S : 0 };

  reply_json (request, reply, json_pack ("{s:s}", "error", message));
}

static json_t *
encode_ends (const SchedWhereStep *step)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < step->ends->len; i++)
    {
      const SchedWhereEnd *end = &g_array_index (step->ends, SchedWhereEnd, i);
      json_array_append_new (
          rows, json_pack ("{s:s, s:I}", "task", end->task, "in_ms", (json_int_t) end->in_ms));
    }
  return rows;
}

static json_t *
encode_before (const SchedWhereStep *step)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < step->before->len; i++)
    {
      const SchedWhereBefore *before = &g_array_index (step->before, SchedWhereBefore, i);
      json_array_append_new (
          rows, json_pack ("{s:s, s:i, s:i, s:i}", "job", before->job, "step", (int) before->step,
                           "waiting", (int) before->n_waiting, "priority", (int) before->priority));
    }
  return rows;
}

static json_t *
encode_reasons (const SchedWhereStep *step)
{
  json_t *counts = json_object ();

  for (SchedWhereReason reason = SCHED_WHERE_COSTS_MORE; reason < SCHED_WHERE_REASONS; reason++)
    {
      if (step->n_by_reason[reason] > 0)
        json_object_set_new (counts, sched_where_reason_name (reason),
                             json_integer (step->n_by_reason[reason]));
    }
  return counts;
}

static json_t *
encode_workers (const SchedWhereStep *step)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < step->workers->len; i++)
    {
      const SchedWhereWorker *row = &g_array_index (step->workers, SchedWhereWorker, i);
      json_array_append_new (rows, json_pack ("{s:s, s:s}", "worker", row->worker, "reason",
                                              sched_where_reason_name (row->reason)));
    }
  return rows;
}

static json_t *
encode_step (const SchedWhereStep *step, gboolean lists_workers)
{
  const char *waits_for
      = step->verdict == SCHED_WHERE_NOW ? NULL : sched_where_reason_name (step->waits_for);
  json_t *row = json_pack (
      "{s:i, s:i, s:s, s:i, s:s?, s:o, s:b, s:s?, s:i, s:o, s:i, s:o, s:o}", "step",
      (int) step->step, "tasks", (int) step->n_tasks, "verdict",
      sched_where_verdict_name (step->verdict), "starts_now", (int) step->n_now, "worker",
      step->worker, "in_ms", step->in_ms < 0 ? json_null () : json_integer (step->in_ms), "starved",
      step->is_starved, "waits_for", waits_for, "ends_before", (int) step->n_ends, "ends",
      encode_ends (step), "stages_before", (int) step->n_before, "before", encode_before (step),
      "not_chosen", encode_reasons (step));

  if (lists_workers)
    json_object_set_new (row, "workers", encode_workers (step));
  return row;
}

static json_t *
encode_answer (const Entry *entry, const SchedWhereQuery *query, const SchedWhere *where)
{
  json_t *steps = json_array ();

  for (guint i = 0; i < where->steps->len; i++)
    json_array_append_new (steps,
                           encode_step (g_ptr_array_index (where->steps, i), query->lists_workers));
  return json_pack ("{s:s, s:s, s:s, s:I, s:o, s:I, s:b, s:o}", "verdict",
                    sched_where_verdict_name (where->verdict), "queue", query->queue, "owner",
                    entry->settings->name, "term", (json_int_t) where->term, "report_age_ms",
                    where->report_age_ms < 0 ? json_null () : json_integer (where->report_age_ms),
                    "due_ms", (json_int_t) where->due_ms, "cut", where->is_cut, "steps", steps);
}

/* Redirects to the owner, if the ledger names one. */
static void
redirect (const Where *where, NetRequest *request)
{
  const LedgerOwner *owner = ledger_owner (where->entry->ledger);
  const char *queue = net_request_argument (request, "queue");
  const char *all = net_request_argument (request, "all");

  if (owner->boot == 0 || owner->boot == node_boot (where->entry->node)
      || owner->metrics_address == NULL || *owner->metrics_address == '\0')
    {
      reply_error (request, 503, "no owner is known");
      return;
    }
  g_autofree char *escaped = g_uri_escape_string (queue != NULL ? queue : "", NULL, FALSE);
  g_autofree char *location
      = g_strdup_printf ("http://%s" WHERE_PATH "?queue=%s%s", owner->metrics_address, escaped,
                         g_strcmp0 (all, "1") == 0 ? "&all=1" : "");
  const NetReply reply = { .status = 307, .location = location };
  reply_json (request, reply, json_pack ("{s:s}", "error", "another entry is the owner"));
}

/* The queue that the query names; if it names none, the only one. */
static const char *
queue_of (const Entry *entry, const NetRequest *request)
{
  const char *name = net_request_argument (request, "queue");
  const QueueConfig *config = entry->config;

  if (name != NULL && *name != '\0')
    return name;
  return config != NULL && config->queues->len == 1
             ? ((const Queue *) g_ptr_array_index (config->queues, 0))->name
             : NULL;
}

static void
answer (const Where *where, NetRequest *request, Sched *sched)
{
  g_autoptr (GError) error = NULL;
  size_t size = 0;
  const char *body = net_request_body (request, &size);
  g_autoptr (JobSpec) spec = caller_decode_job (body, size, &error);
  const SchedWhereQuery query
      = { .queue = queue_of (where->entry, request),
          .spec = spec,
          .now_us = clk_now_us (),
          .lists_workers = g_strcmp0 (net_request_argument (request, "all"), "1") == 0 };
  const NetReply ok = { .status = 200 };

  if (spec == NULL)
    {
      reply_error (request, 400, error->message);
      return;
    }
  if (query.queue == NULL)
    {
      reply_error (request, 400, "name a queue");
      return;
    }
  g_autoptr (SchedWhere) result = sched_where (sched, &query);
  if (result == NULL)
    reply_error (request, 404, "no such queue");
  else
    reply_json (request, ok, encode_answer (where->entry, &query, result));
}

static gboolean
on_answer (gpointer data)
{
  Where *where = data;
  NetRequest *request = g_steal_pointer (&where->request);
  Sched *sched = owner_sched (where->entry->owner);

  where->source = 0;
  if (sched != NULL)
    answer (where, request, sched);
  else
    redirect (where, request);
  return G_SOURCE_REMOVE;
}

void
where_handle (void *ctx, NetRequest *request)
{
  Where *where = ctx;

  if (where->request != NULL)
    {
      reply_error (request, 429, "another query is under way");
      return;
    }
  where->request = request;
  where->source = g_idle_add_full (G_PRIORITY_DEFAULT, on_answer, where, NULL);
}

Where *
where_new (Entry *entry)
{
  Where *where = g_new0 (Where, 1);

  where->entry = entry;
  return where;
}

void
where_free (Where *where)
{
  if (where == NULL)
    return;
  g_clear_handle_id (&where->source, g_source_remove);
  g_free (where);
}
