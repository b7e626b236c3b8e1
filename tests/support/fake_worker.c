#include "support/fake_worker.h"

#include <pthread.h>
#include <string.h>

#include "common/clk.h"

#define PERMILLE 1000
/** Share of the reservation that an unthrottled task uses, in thousandths. */
#define USE_PERMILLE 800
#define CHECKPOINT_PREFIX "progress_ms="

typedef enum
{
  STATE_RUNNING,
  STATE_DONE,
  STATE_FAILED,
  STATE_CHECKPOINTED,
  STATE_STOPPED,
} AttemptState;

static const char *const state_names[] = { "running", "done", "failed", "checkpointed", "stopped" };

typedef struct
{
  uint32_t number;
  uint32_t shard;
  uint64_t epoch;
  AttemptState state;
  gboolean is_forgotten;
  gboolean was_started; /**< FALSE for an attempt that was fenced before its start arrived */
  gboolean can_checkpoint;
  gboolean is_failing;
  DocSize reserved;
  int64_t run_us;
  int64_t first_progress_us;
  int64_t progress_us; /**< progress at since_us */
  int64_t permille;
  int64_t start_us;
  int64_t since_us;
  int64_t end_us;
  int64_t lease_end_us;
} Attempt;

typedef struct
{
  uint64_t job;
  uint32_t index;
  GPtrArray *attempts; /**< Attempt, in order of first call */
} Task;

struct FakeWorker
{
  FakeHttp *http;
  FakeWorkerOptions options;
  int64_t wall_offset_us; /**< wall time minus monotonic time */
  pthread_mutex_t lock;
  GHashTable *tasks;  /**< "job/index" to Task */
  GPtrArray *order;   /**< Task, not owned */
  GPtrArray *running; /**< Attempt, not owned */
  GHashTable *epochs; /**< shard to newest epoch */
};

static void
task_free (void *data)
{
  Task *task = data;

  g_ptr_array_unref (task->attempts);
  g_free (task);
}

static int64_t
progress_at (const Attempt *attempt, int64_t now_us)
{
  int64_t run_us = (now_us - attempt->since_us) * attempt->permille / PERMILLE;

  return MIN (attempt->progress_us + run_us, attempt->run_us);
}

static void
end_attempt (FakeWorker *worker, Attempt *attempt, AttemptState state, int64_t end_us)
{
  attempt->progress_us = progress_at (attempt, end_us);
  attempt->since_us = end_us;
  attempt->end_us = end_us;
  attempt->state = state;
  g_ptr_array_remove_fast (worker->running, attempt);
}

static AttemptState
interrupted_state (const Attempt *attempt)
{
  return attempt->can_checkpoint ? STATE_CHECKPOINTED : STATE_STOPPED;
}

/* Ends a running attempt if it finished or its lease expired by @p now_us, whichever came first. */
static void
advance_attempt (FakeWorker *worker, Attempt *attempt, int64_t now_us)
{
  int64_t goal_us = attempt->run_us;
  AttemptState state = STATE_DONE;

  if (attempt->is_failing)
    {
      goal_us = MIN (goal_us, worker->options.fail_after_ms * CLK_US_PER_MS);
      state = STATE_FAILED;
    }
  int64_t left_us = MAX (goal_us - attempt->progress_us, 0);
  int64_t finish_us = attempt->permille > 0
                          ? attempt->since_us + left_us * PERMILLE / attempt->permille
                          : INT64_MAX;
  int64_t end_us = MIN (finish_us, attempt->lease_end_us);
  if (end_us > now_us)
    return;
  end_attempt (worker, attempt,
               finish_us <= attempt->lease_end_us ? state : interrupted_state (attempt), end_us);
}

static void
advance (FakeWorker *worker, int64_t now_us)
{
  for (guint i = worker->running->len; i > 0; i--)
    advance_attempt (worker, g_ptr_array_index (worker->running, i - 1), now_us);
}

static gboolean
parse_task (const FakeRequest *request, uint64_t *job, uint32_t *index, uint32_t *attempt)
{
  uint64_t wide_index;
  uint64_t wide_attempt;

  if (request->n_parts < 5 || strlen (request->parts[2]) != 16
      || !g_ascii_string_to_unsigned (request->parts[2], 16, 0, G_MAXUINT64, job, NULL)
      || !g_ascii_string_to_unsigned (request->parts[3], 10, 0, G_MAXUINT32, &wide_index, NULL)
      || !g_ascii_string_to_unsigned (request->parts[4], 10, 0, G_MAXUINT32, &wide_attempt, NULL))
    return FALSE;
  *index = (uint32_t) wide_index;
  *attempt = (uint32_t) wide_attempt;
  return TRUE;
}

static Task *
find_task (FakeWorker *worker, uint64_t job, uint32_t index)
{
  char *key = g_strdup_printf ("%" G_GINT64_MODIFIER "x/%u", job, index);
  Task *task = g_hash_table_lookup (worker->tasks, key);

  if (task != NULL)
    {
      g_free (key);
      return task;
    }
  task = g_new0 (Task, 1);
  task->job = job;
  task->index = index;
  task->attempts = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (worker->tasks, key, task);
  g_ptr_array_add (worker->order, task);
  return task;
}

static Attempt *
find_attempt (const Task *task, uint32_t number)
{
  for (guint i = 0; i < task->attempts->len; i++)
    {
      Attempt *attempt = g_ptr_array_index (task->attempts, i);
      if (attempt->number == number)
        return attempt;
    }
  return NULL;
}

/* Returns why other attempts of the task forbid the start of attempt @p number, or NULL. */
static const char *
blocking_attempt (const Task *task, uint32_t number)
{
  for (guint i = 0; i < task->attempts->len; i++)
    {
      const Attempt *other = g_ptr_array_index (task->attempts, i);
      if (other->number > number)
        return "fenced";
      if (other->was_started && other->state == STATE_RUNNING)
        return "refused";
    }
  return NULL;
}

static uint64_t
newest_epoch (FakeWorker *worker, int64_t shard)
{
  const uint64_t *epoch = g_hash_table_lookup (worker->epochs, &shard);
  return epoch != NULL ? *epoch : 0;
}

static void
store_epoch (FakeWorker *worker, int64_t shard, uint64_t epoch)
{
  int64_t *key = g_new (int64_t, 1);
  uint64_t *value = g_new (uint64_t, 1);

  *key = shard;
  *value = epoch;
  g_hash_table_insert (worker->epochs, key, value);
}

/* Returns the end of a lease by this clock; at or before @p now_us when it has expired. */
static int64_t
lease_end (const FakeWorker *worker, const json_t *body, int64_t now_us)
{
  int64_t left_us = fake_integer (body, "lease_left_ms", 0) * CLK_US_PER_MS;
  int64_t sent_us = fake_integer (body, "sent_wall_ms", 0) * CLK_US_PER_MS;
  int64_t transit_us = sent_us > 0 ? now_us + worker->wall_offset_us - sent_us : 0;

  return now_us + left_us - MAX (transit_us, 0);
}

static DocSize
read_size (const json_t *object)
{
  return (DocSize){ .cpu_milli = fake_integer (object, "cpu_milli", 0),
                    .memory_mb = fake_integer (object, "memory_mb", 0),
                    .accelerators = fake_integer (object, "accelerators", 0) };
}

static gboolean
fits (const FakeWorker *worker, DocSize sum)
{
  for (guint i = 0; i < worker->running->len; i++)
    {
      const Attempt *attempt = g_ptr_array_index (worker->running, i);
      sum.cpu_milli += attempt->reserved.cpu_milli;
      sum.memory_mb += attempt->reserved.memory_mb;
      sum.accelerators += attempt->reserved.accelerators;
    }
  return sum.cpu_milli <= worker->options.capacity.cpu_milli
         && sum.memory_mb <= worker->options.capacity.memory_mb
         && sum.accelerators <= worker->options.capacity.accelerators;
}

static int64_t
checkpoint_progress_us (const json_t *body)
{
  const char *token = json_string_value (json_object_get (body, "checkpoint"));

  if (token != NULL && g_str_has_prefix (token, CHECKPOINT_PREFIX))
    return g_ascii_strtoll (token + strlen (CHECKPOINT_PREFIX), NULL, 10) * CLK_US_PER_MS;
  return 0;
}

static Attempt *
add_attempt (Task *task, uint32_t number, const json_t *body, int64_t now_us)
{
  const char *name = json_string_value (json_object_get (body, "job_name"));
  Attempt *attempt = g_new0 (Attempt, 1);

  attempt->number = number;
  attempt->shard = (uint32_t) fake_integer (body, "shard", 0);
  attempt->epoch = (uint64_t) fake_integer (body, "epoch", 0);
  attempt->reserved = read_size (json_object_get (body, "reserved"));
  attempt->run_us = fake_integer (body, "run_ms", 0) * CLK_US_PER_MS;
  attempt->first_progress_us = MIN (checkpoint_progress_us (body), attempt->run_us);
  attempt->progress_us = attempt->first_progress_us;
  attempt->can_checkpoint = name == NULL || strstr (name, "no-checkpoint") == NULL;
  attempt->permille = PERMILLE;
  attempt->start_us = now_us;
  attempt->since_us = now_us;
  g_ptr_array_add (task->attempts, attempt);
  return attempt;
}

static gboolean
is_negative (DocSize size)
{
  return size.cpu_milli < 0 || size.memory_mb < 0 || size.accelerators < 0;
}

/* Returns why a start is refused, or NULL. */
static const char *
check_start (
    FakeWorker *worker, const Task *task, uint32_t number, const json_t *body, int64_t now_us)
{
  const char *blocked = blocking_attempt (task, number);

  if ((uint64_t) fake_integer (body, "epoch", 0)
      < newest_epoch (worker, fake_integer (body, "shard", 0)))
    return "stale_epoch";
  if (blocked != NULL)
    return blocked;
  if (lease_end (worker, body, now_us) <= now_us)
    return "no_lease";
  if (!fits (worker, read_size (json_object_get (body, "reserved"))))
    return "no_capacity";
  return NULL;
}

static uint32_t
start (FakeWorker *worker,
       Task *task,
       uint32_t number,
       const json_t *body,
       int64_t now_us,
       json_t **answer)
{
  const Attempt *known = find_attempt (task, number);
  const char *name = json_string_value (json_object_get (body, "job_name"));

  if (body == NULL || is_negative (read_size (json_object_get (body, "reserved"))))
    return fake_fail (answer, 400, "bad_request");
  if (known != NULL && (!known->was_started || known->is_forgotten))
    return fake_fail (answer, 409, "fenced");
  if (known != NULL)
    {
      *answer = json_pack ("{s:s}", "state", state_names[known->state]);
      return 200;
    }
  const char *refused = check_start (worker, task, number, body, now_us);
  if (refused != NULL)
    return fake_fail (answer, 409, refused);
  store_epoch (worker, fake_integer (body, "shard", 0), (uint64_t) fake_integer (body, "epoch", 0));
  Attempt *attempt = add_attempt (task, number, body, now_us);
  attempt->was_started = TRUE;
  attempt->lease_end_us = lease_end (worker, body, now_us);
  attempt->is_failing
      = name != NULL && strstr (name, "fail") != NULL && worker->options.fail_after_ms > 0;
  g_ptr_array_add (worker->running, attempt);
  *answer = json_pack ("{s:s}", "state", state_names[attempt->state]);
  return 200;
}

/* Stops a running attempt; an unknown attempt is recorded as fenced. */
static void
interrupt (
    FakeWorker *worker, Task *task, uint32_t number, gboolean should_checkpoint, int64_t now_us)
{
  Attempt *attempt = find_attempt (task, number);

  if (attempt == NULL)
    {
      attempt = add_attempt (task, number, NULL, now_us);
      attempt->state = STATE_STOPPED;
      attempt->end_us = now_us;
    }
  else if (attempt->state == STATE_RUNNING)
    end_attempt (worker, attempt, should_checkpoint ? interrupted_state (attempt) : STATE_STOPPED,
                 now_us);
}

static uint32_t
throttle (Task *task, uint32_t number, const json_t *body, int64_t now_us, json_t **answer)
{
  Attempt *attempt = find_attempt (task, number);
  int64_t permille = fake_integer (body, "permille", -1);

  if (permille < 0 || permille > PERMILLE)
    return fake_fail (answer, 400, "bad_request");
  if (attempt == NULL || attempt->state != STATE_RUNNING)
    return fake_fail (answer, 404, "not_found");
  attempt->progress_us = progress_at (attempt, now_us);
  attempt->since_us = now_us;
  attempt->permille = permille;
  *answer = json_object ();
  return 200;
}

static uint32_t
forget (Task *task, uint32_t number, json_t **answer)
{
  Attempt *attempt = find_attempt (task, number);

  if (attempt != NULL && attempt->state == STATE_RUNNING)
    return fake_fail (answer, 409, "refused");
  if (attempt != NULL)
    attempt->is_forgotten = TRUE;
  *answer = json_object ();
  return 200;
}

static uint32_t
handle_task (FakeWorker *worker, const FakeRequest *request, int64_t now_us, json_t **answer)
{
  uint64_t job;
  uint32_t index;
  uint32_t number;

  if (!parse_task (request, &job, &index, &number))
    return fake_fail (answer, 400, "bad_request");
  Task *task = find_task (worker, job, index);
  const char *verb = request->n_parts == 6 ? request->parts[5] : "";
  if (strcmp (request->method, "PUT") == 0)
    return start (worker, task, number, request->body, now_us, answer);
  if (strcmp (request->method, "DELETE") == 0)
    return forget (task, number, answer);
  if (strcmp (verb, "throttle") == 0)
    return throttle (task, number, request->body, now_us, answer);
  if (strcmp (verb, "checkpoint") != 0 && strcmp (verb, "stop") != 0)
    return fake_fail (answer, 404, "not_found");
  interrupt (worker, task, number, strcmp (verb, "checkpoint") == 0, now_us);
  *answer = json_object ();
  return 200;
}

static uint32_t
extend (FakeWorker *worker, const json_t *body, int64_t now_us, json_t **answer)
{
  int64_t shard = fake_integer (body, "shard", -1);
  uint64_t epoch = (uint64_t) fake_integer (body, "epoch", 0);
  int64_t end_us = lease_end (worker, body, now_us);

  if (shard < 0)
    return fake_fail (answer, 400, "bad_request");
  if (epoch < newest_epoch (worker, shard))
    return fake_fail (answer, 409, "stale_epoch");
  if (end_us <= now_us)
    return fake_fail (answer, 409, "no_lease");
  store_epoch (worker, shard, epoch);
  for (guint i = 0; i < worker->running->len; i++)
    {
      Attempt *attempt = g_ptr_array_index (worker->running, i);
      if (attempt->shard == shard)
        attempt->lease_end_us = MAX (attempt->lease_end_us, end_us);
    }
  *answer = json_object ();
  return 200;
}

static json_t *
size_to_json (DocSize size)
{
  return json_pack ("{s:I,s:I,s:I}", "cpu_milli", (json_int_t) size.cpu_milli, "memory_mb",
                    (json_int_t) size.memory_mb, "accelerators", (json_int_t) size.accelerators);
}

/* Returns the attempt's usage as of usage_lag_ms ago. */
static DocSize
usage_of (const FakeWorker *worker, const Attempt *attempt, int64_t now_us)
{
  int64_t sampled_us = now_us - worker->options.usage_lag_ms * CLK_US_PER_MS;
  int64_t permille = attempt->permille * USE_PERMILLE / PERMILLE;

  if (attempt->state != STATE_RUNNING || attempt->start_us > sampled_us)
    return (DocSize){ 0 };
  return (DocSize){ .cpu_milli = attempt->reserved.cpu_milli * permille / PERMILLE,
                    .memory_mb = attempt->reserved.memory_mb * USE_PERMILLE / PERMILLE,
                    .accelerators = attempt->reserved.accelerators };
}

static json_t *
attempt_to_json (const FakeWorker *worker, const Task *task, const Attempt *attempt, int64_t now_us)
{
  int64_t progress_us
      = attempt->state == STATE_RUNNING ? progress_at (attempt, now_us) : attempt->progress_us;
  g_autofree char *job = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", task->job);
  json_t *item = json_pack (
      "{s:s,s:I,s:I,s:I,s:I,s:s,s:I,s:o,s:o,s:I}", "job", job, "index", (json_int_t) task->index,
      "attempt", (json_int_t) attempt->number, "shard", (json_int_t) attempt->shard, "epoch",
      (json_int_t) attempt->epoch, "state", state_names[attempt->state], "progress_ms",
      (json_int_t) (progress_us / CLK_US_PER_MS), "reserved", size_to_json (attempt->reserved),
      "used", size_to_json (usage_of (worker, attempt, now_us)), "used_age_ms",
      (json_int_t) worker->options.usage_lag_ms);

  if (attempt->state == STATE_CHECKPOINTED)
    json_object_set_new (
        item, "checkpoint",
        json_sprintf (CHECKPOINT_PREFIX "%" G_GINT64_FORMAT, progress_us / CLK_US_PER_MS));
  if (attempt->state == STATE_FAILED)
    json_object_set_new (item, "error", json_string ("endpoint_failed"));
  return item;
}

static json_t *
list_tasks (const FakeWorker *worker, int64_t now_us)
{
  json_t *items = json_array ();

  for (guint i = 0; i < worker->order->len; i++)
    {
      const Task *task = g_ptr_array_index (worker->order, i);
      for (guint k = 0; k < task->attempts->len; k++)
        {
          const Attempt *attempt = g_ptr_array_index (task->attempts, k);
          if (attempt->was_started && !attempt->is_forgotten)
            json_array_append_new (items, attempt_to_json (worker, task, attempt, now_us));
        }
    }
  return json_pack ("{s:o}", "tasks", items);
}

static json_t *
history_item (const FakeWorker *worker, const Attempt *attempt)
{
  int64_t start_ms = (attempt->start_us + worker->wall_offset_us) / CLK_US_PER_MS;
  int64_t end_ms = (attempt->end_us + worker->wall_offset_us) / CLK_US_PER_MS;
  json_t *end = attempt->state == STATE_RUNNING ? json_null () : json_integer (end_ms);

  return json_pack ("{s:I,s:I,s:s,s:I,s:I,s:o}", "attempt", (json_int_t) attempt->number, "epoch",
                    (json_int_t) attempt->epoch, "state", state_names[attempt->state],
                    "from_progress_ms", (json_int_t) (attempt->first_progress_us / CLK_US_PER_MS),
                    "start_ms", (json_int_t) start_ms, "end_ms", end);
}

static json_t *
list_history (const FakeWorker *worker)
{
  json_t *items = json_array ();

  for (guint i = 0; i < worker->order->len; i++)
    {
      const Task *task = g_ptr_array_index (worker->order, i);
      g_autofree char *job = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", task->job);
      json_t *attempts = json_array ();
      for (guint k = 0; k < task->attempts->len; k++)
        {
          const Attempt *attempt = g_ptr_array_index (task->attempts, k);
          if (attempt->was_started)
            json_array_append_new (attempts, history_item (worker, attempt));
        }
      json_array_append_new (items, json_pack ("{s:s,s:I,s:o}", "job", job, "index",
                                               (json_int_t) task->index, "attempts", attempts));
    }
  return json_pack ("{s:o}", "tasks", items);
}

static uint32_t
dispatch (FakeWorker *worker, const FakeRequest *request, int64_t now_us, json_t **answer)
{
  gboolean is_get = strcmp (request->method, "GET") == 0;

  if (request->n_parts >= 5 && strcmp (request->parts[1], "tasks") == 0)
    return handle_task (worker, request, now_us, answer);
  if (strcmp (request->path, "/v1/lease") == 0)
    return extend (worker, request->body, now_us, answer);
  if (is_get && strcmp (request->path, "/v1/capacity") == 0)
    *answer = size_to_json (worker->options.capacity);
  else if (is_get && strcmp (request->path, "/v1/tasks") == 0)
    *answer = list_tasks (worker, now_us);
  else if (is_get && strcmp (request->path, "/v1/history") == 0)
    *answer = list_history (worker);
  else
    return fake_fail (answer, 404, "not_found");
  return 200;
}

static uint32_t
handle (void *ctx, const FakeRequest *request, json_t **answer)
{
  FakeWorker *worker = ctx;

  pthread_mutex_lock (&worker->lock);
  int64_t now_us = clk_now_us ();
  advance (worker, now_us);
  uint32_t status = dispatch (worker, request, now_us, answer);
  pthread_mutex_unlock (&worker->lock);
  return status;
}

FakeWorker *
fake_worker_new (const FakeWorkerOptions *options)
{
  FakeWorker *worker = g_new0 (FakeWorker, 1);

  worker->options = *options;
  worker->wall_offset_us = clk_wall_ms () * CLK_US_PER_MS - clk_now_us ();
  pthread_mutex_init (&worker->lock, NULL);
  worker->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, task_free);
  worker->order = g_ptr_array_new ();
  worker->running = g_ptr_array_new ();
  worker->epochs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  worker->http = fake_http_new (options->port, handle, worker);
  if (worker->http != NULL)
    return worker;
  fake_worker_free (worker);
  return NULL;
}

void
fake_worker_free (FakeWorker *worker)
{
  if (worker == NULL)
    return;
  fake_http_free (worker->http);
  g_ptr_array_unref (worker->running);
  g_ptr_array_unref (worker->order);
  g_hash_table_unref (worker->tasks);
  g_hash_table_unref (worker->epochs);
  pthread_mutex_destroy (&worker->lock);
  g_free (worker);
}

FakeHttp *
fake_worker_http (FakeWorker *worker)
{
  return worker->http;
}

uint16_t
fake_worker_port (const FakeWorker *worker)
{
  return fake_http_port (worker->http);
}
