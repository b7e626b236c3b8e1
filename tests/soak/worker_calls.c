#include <jansson.h>
#include <string.h>

#include "common/clk.h"
#include "worker_private.h"

#define STOP_TAKES_MS 200
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 6000
#define ENDINGS_PER_ANSWER 500

typedef struct
{
  Worker *worker;
  NetRequest *request;
  char *path;
  char *life;
  int64_t born_us; /**< of the life that got it */
  json_t *body;
} Call;

static void
call_free (Call *call)
{
  json_decref (call->body);
  g_free (call->path);
  g_free (call->life);
  g_free (call);
}

static void
reply (const Worker *worker, NetRequest *request, uint32_t status, json_t *body)
{
  (void) json_object_set_new (body, "clock_ms", json_integer (worker_clock_ms (worker)));
  (void) json_object_set_new (body, "born", json_integer (worker->born_wall_ms));
  char *text = json_dumps (body, JSON_COMPACT);
  const NetReply answer = { .status = status, .content_type = "application/json", .body = text };

  net_request_reply (request, &answer);
  free (text);
  json_decref (body);
}

static void
refuse (const Worker *worker, NetRequest *request, const char *reason)
{
  reply (worker, request, 409, json_pack ("{s:s}", "reason", reason));
}

static int64_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static const char *
text (const json_t *body, const char *name)
{
  const char *value = json_string_value (json_object_get (body, name));

  return value != NULL ? value : "";
}

static void
prolong (Worker *worker, const json_t *body)
{
  int64_t until_ms = number (body, "until_ms");
  int64_t most_ms = worker_clock_ms (worker) + WORKER_LEASE_MAX_MS;

  worker->until_ms = MAX (worker->until_ms, MIN (until_ms, most_ms));
}

/* All leases are looked at first: another worker's may have run out just now. */
static void
advance_all (Workers *workers)
{
  for (guint i = 0; i < workers->all->len; i++)
    worker_advance (g_ptr_array_index (workers->all, i));
}

static void
start (Worker *worker, NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run = number (body, "run");
  const WorkerRun *present = worker_find (worker, task);
  const int64_t *highest = g_hash_table_lookup (worker->highest, task);

  if (present != NULL && present->run == run)
    {
      reply (worker, request, 200, json_object ());
      return;
    }
  if (number (body, "until_ms") <= worker_clock_ms (worker))
    {
      refuse (worker, request, "late");
      return;
    }
  prolong (worker, body);
  if (present != NULL || (highest != NULL && run <= *highest))
    {
      refuse (worker, request, "old");
      return;
    }
  advance_all (worker->workers);
  book_start (worker->workers->options.book, worker->index, task, run, text (body, "spec"),
              text (body, "last_checkpoint"));
  worker_begin (worker, task, run, text (body, "last_checkpoint"));
  worker_check_room (worker);
  reply (worker, request, 200, json_object ());
}

static void
stop (Worker *worker, NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run = number (body, "run");
  WorkerRun *present = worker_find (worker, task);

  if (present != NULL && present->run <= run && present->stop_us == 0)
    present->stop_us = clk_now_us () + STOP_TAKES_MS * CLK_US_PER_MS;
  if (present == NULL)
    worker_note_highest (worker, task, run);
  reply (worker, request, 200, json_object ());
}

static void
pace (Worker *worker, NetRequest *request, const json_t *body)
{
  WorkerRun *present = worker_find (worker, text (body, "task"));

  if (present != NULL && present->run == number (body, "run"))
    present->percent = number (body, "percent");
  reply (worker, request, 200, json_object ());
}

static json_t *
running_rows (const Worker *worker)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      int64_t percent = run->need_us > 0 ? MIN (run->done_us * 100 / run->need_us, 100) : 0;
      (void) json_array_append_new (rows,
                                    json_pack ("[s, I, s, I, I]", run->task, (json_int_t) run->run,
                                               run->saved, (json_int_t) percent, (json_int_t) 0));
    }
  return rows;
}

static json_t *
ended_rows (const Worker *worker)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed" };
  json_t *rows = json_array ();

  for (guint i = 0; i < MIN (worker->endings->len, ENDINGS_PER_ANSWER); i++)
    {
      const WorkerEnding *ending = g_ptr_array_index (worker->endings, i);
      (void) json_array_append_new (rows, json_pack ("[I, s, I, s, s]", (json_int_t) ending->number,
                                                     ending->task, (json_int_t) ending->run,
                                                     names[ending->end], ending->saved));
    }
  return rows;
}

static void
reply_lists (const Worker *worker, NetRequest *request)
{
  reply (worker, request, 200,
         json_pack ("{s:o, s:o}", "running", running_rows (worker), "ended", ended_rows (worker)));
}

static void
hold (Worker *worker, NetRequest *request, const json_t *body)
{
  int64_t seen = number (body, "last_seen");
  int64_t wait_ms = number (body, "wait_ms");

  prolong (worker, body);
  worker_acknowledge (worker, seen);
  if (wait_ms == 0 || worker_has_news (worker, seen))
    {
      reply_lists (worker, request);
      return;
    }
  WorkerWait *wait = g_new0 (WorkerWait, 1);
  wait->worker = worker;
  wait->request = request;
  wait->seen = seen;
  wait->end_us = clk_now_us () + wait_ms * CLK_US_PER_MS;
  g_ptr_array_add (worker->waiting, wait);
}

void
worker_answer_waits (Worker *worker, gboolean all)
{
  for (guint i = worker->waiting->len; i > 0; i--)
    {
      WorkerWait *wait = g_ptr_array_index (worker->waiting, i - 1);
      if (!all && clk_now_us () < wait->end_us && !worker_has_news (worker, wait->seen))
        continue;
      reply_lists (worker, wait->request);
      g_ptr_array_remove_index_fast (worker->waiting, i - 1);
    }
}

static void
carry_out (Worker *worker, const Call *call)
{
  worker_advance (worker);
  if (worker->is_down || strcmp (call->life, worker->id) != 0 || call->born_us != worker->born_us)
    {
      reply (worker, call->request, 421, json_object ());
      return;
    }
  if (number (call->body, "fencing_token") < worker->token)
    {
      refuse (worker, call->request, "fence");
      return;
    }
  worker->token = number (call->body, "fencing_token");
  if (strcmp (call->path, "/run-start") == 0)
    start (worker, call->request, call->body);
  else if (strcmp (call->path, "/run-stop") == 0)
    stop (worker, call->request, call->body);
  else if (strcmp (call->path, "/pace") == 0)
    pace (worker, call->request, call->body);
  else
    hold (worker, call->request, call->body);
}

static gboolean
on_late (gpointer data)
{
  Call *call = data;

  soak_note (call->worker->workers->options.soak, "late order %s %s at worker %u", call->path,
             text (call->body, "task"), call->worker->index);
  carry_out (call->worker, call);
  call_free (call);
  return G_SOURCE_REMOVE;
}

void
worker_on_call (void *ctx, NetRequest *request)
{
  Worker *worker = ctx;
  const char *life = net_request_header (request, "X-Target-Instance");
  Call *call = g_new0 (Call, 1);

  call->worker = worker;
  call->request = request;
  call->born_us = worker->born_us;
  call->path = g_strdup (net_request_path (request));
  call->life = g_strdup (life != NULL ? life : worker->id);
  call->body = json_loads (net_request_body (request, NULL), 0, NULL);
  if (clk_now_us () < worker->delay_until_us)
    {
      (void) g_timeout_add ((guint) g_random_int_range (LATE_MIN_MS, LATE_MAX_MS), on_late, call);
      return;
    }
  carry_out (worker, call);
  call_free (call);
}
