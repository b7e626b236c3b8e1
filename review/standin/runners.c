/**
 * @file runners.c
 * runners NET COUNT RECORD: stand-ins of the platform's runners. Runner I (from 1) listens on
 * 127.NET.2.I:8300 and sends its liveness reports to 127.NET.3.I:8166.
 *
 * The length of a task is in its spec: "work_ms=N". A spec with "fail" makes its runs fail after
 * half of that. A spec with "lasts" makes tasks that are at work at once and never end.
 */
#include <glib-unix.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "net/net_client.h"
#include "net/net_server.h"

#define CALL_PORT 8300
#define CONTROL_PORT 8166
#define REPORT_MS 1500
#define REPORT_TIMEOUT_MS 1000
#define TICK_MS 10
#define LEASE_MAX_MS 10000
#define STOP_MS 100
#define CHECKPOINT_MS 1000
#define ENDS_PER_ANSWER 500
#define CPU_M 16000
#define MEM_MB 64000
#define RACK_RUNNERS 3

typedef struct
{
  char *task;
  int64_t run;
  int64_t begun_us;
  int64_t work_us; /**< length of the task; 0: it lasts */
  gboolean fails;
  int64_t stop_us; /**< when a stop takes effect; 0: none */
} Run;

typedef struct
{
  int64_t number;
  char *task;
  int64_t run;
  const char *how;
} End;

typedef struct
{
  NetRequest *request;
  int64_t last_seen;
  int64_t end_us;
} Wait;

typedef struct
{
  uint32_t index;
  char *id;
  char *address;
  char *url;
  NetServer *server;
  int64_t started_us;
  int64_t born_ms;
  int64_t sequence;
  int64_t token;
  int64_t lease_end_ms;
  GPtrArray *runs; /**< Run */
  GPtrArray *ends; /**< End that was not acknowledged */
  int64_t n_ends;
  GHashTable *highest; /**< task -> highest run that was stopped or has ended here */
  GPtrArray *waits;    /**< Wait */
} Runner;

static GPtrArray *runners;
static NetClient *client;
static FILE *record;

static void
note (const Runner *runner, const char *event, const char *task, int64_t run, const char *how)
{
  (void) fprintf (record,
                  "%" G_GINT64_FORMAT " %s runner=%u task=%s run=%" G_GINT64_FORMAT "%s%s\n",
                  clk_wall_ms (), event, runner->index, task, run, how != NULL ? " how=" : "",
                  how != NULL ? how : "");
  (void) fflush (record);
}

static int64_t
clock_ms (const Runner *runner)
{
  return (clk_now_us () - runner->started_us) / CLK_US_PER_MS + 1;
}

static void
run_free (gpointer data)
{
  Run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_free (gpointer data)
{
  End *end = data;

  g_free (end->task);
  g_free (end);
}

static Run *
find_run (const Runner *runner, const char *task)
{
  for (guint i = 0; i < runner->runs->len; i++)
    {
      Run *run = g_ptr_array_index (runner->runs, i);
      if (strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static void
note_highest (Runner *runner, const char *task, int64_t run)
{
  int64_t *highest = g_hash_table_lookup (runner->highest, task);

  if (highest == NULL)
    {
      highest = g_new0 (int64_t, 1);
      g_hash_table_insert (runner->highest, g_strdup (task), highest);
    }
  *highest = MAX (*highest, run);
}

static void
end_run (Runner *runner, Run *run, const char *how)
{
  End *end = g_new0 (End, 1);

  end->number = ++runner->n_ends;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  g_ptr_array_add (runner->ends, end);
  note_highest (runner, run->task, run->run);
  note (runner, "end", run->task, run->run, how);
  (void) g_ptr_array_remove_fast (runner->runs, run);
}

static void
advance (Runner *runner)
{
  int64_t now = clk_now_us ();
  gboolean has_lapsed = clock_ms (runner) >= runner->lease_end_ms;

  for (guint i = runner->runs->len; i-- > 0;)
    {
      Run *run = g_ptr_array_index (runner->runs, i);
      if (has_lapsed)
        end_run (runner, run, "lapsed");
      else if (run->stop_us != 0 && now >= run->stop_us)
        end_run (runner, run, "stopped");
      else if (run->fails && now - run->begun_us >= run->work_us / 2)
        end_run (runner, run, "failed");
      else if (run->work_us > 0 && now - run->begun_us >= run->work_us)
        end_run (runner, run, "done");
    }
}

static void
reply (const Runner *runner, NetRequest *request, uint32_t status, json_t *body)
{
  (void) json_object_set_new (body, "clock_ms", json_integer (clock_ms (runner)));
  (void) json_object_set_new (body, "born", json_integer (runner->born_ms));
  char *text = json_dumps (body, JSON_COMPACT);
  const NetReply answer = { .status = status, .content_type = "application/json", .body = text };

  net_request_reply (request, &answer);
  free (text);
  json_decref (body);
}

static void
refuse (const Runner *runner, NetRequest *request, const char *reason)
{
  reply (runner, request, 409, json_pack ("{s:s}", "reason", reason));
}

static int64_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static const char *
text_of (const json_t *body, const char *name)
{
  const char *value = json_string_value (json_object_get (body, name));

  return value != NULL ? value : "";
}

static void
extend_lease (Runner *runner, const json_t *body)
{
  int64_t most_ms = clock_ms (runner) + LEASE_MAX_MS;

  runner->lease_end_ms = MAX (runner->lease_end_ms, MIN (number (body, "until_ms"), most_ms));
}

static void
start (Runner *runner, NetRequest *request, const json_t *body)
{
  const char *task = text_of (body, "task");
  const char *spec = text_of (body, "spec");
  const char *length = strstr (spec, "work_ms=");
  int64_t number_of_run = number (body, "run");
  const Run *present = find_run (runner, task);
  const int64_t *highest = g_hash_table_lookup (runner->highest, task);

  if (present != NULL && present->run == number_of_run)
    {
      reply (runner, request, 200, json_object ());
      return;
    }
  if (number (body, "until_ms") <= clock_ms (runner))
    {
      refuse (runner, request, "late");
      return;
    }
  extend_lease (runner, body);
  if (present != NULL || (highest != NULL && number_of_run <= *highest))
    {
      refuse (runner, request, "old");
      return;
    }
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (task);
  run->run = number_of_run;
  run->begun_us = clk_now_us ();
  run->work_us
      = length != NULL ? g_ascii_strtoll (length + strlen ("work_ms="), NULL, 10) * 1000 : 0;
  run->fails = strstr (spec, "fail") != NULL;
  g_ptr_array_add (runner->runs, run);
  note (runner, "start", task, number_of_run, NULL);
  reply (runner, request, 200, json_object ());
}

static void
stop (Runner *runner, NetRequest *request, const json_t *body)
{
  const char *task = text_of (body, "task");
  Run *present = find_run (runner, task);

  if (present == NULL)
    note_highest (runner, task, number (body, "run"));
  else if (present->run <= number (body, "run") && present->stop_us == 0)
    present->stop_us = clk_now_us () + STOP_MS * CLK_US_PER_MS;
  reply (runner, request, 200, json_object ());
}

static json_t *
running_rows (const Runner *runner)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < runner->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (runner->runs, i);
      int64_t percent
          = run->work_us > 0 ? (clk_now_us () - run->begun_us) * 100 / run->work_us : 100;
      (void) json_array_append_new (
          rows, json_pack ("[s, I, s, I, I]", run->task, (json_int_t) run->run, "",
                           (json_int_t) MIN (percent, 100), (json_int_t) 0));
    }
  return rows;
}

static json_t *
ended_rows (const Runner *runner)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < MIN (runner->ends->len, ENDS_PER_ANSWER); i++)
    {
      const End *end = g_ptr_array_index (runner->ends, i);
      (void) json_array_append_new (rows,
                                    json_pack ("[I, s, I, s, s]", (json_int_t) end->number,
                                               end->task, (json_int_t) end->run, end->how, ""));
    }
  return rows;
}

static void
reply_lists (const Runner *runner, NetRequest *request)
{
  reply (runner, request, 200,
         json_pack ("{s:o, s:o}", "running", running_rows (runner), "ended", ended_rows (runner)));
}

static gboolean
has_new_end (const Runner *runner, int64_t last_seen)
{
  return runner->ends->len > 0 && runner->n_ends > last_seen;
}

static void
hold (Runner *runner, NetRequest *request, const json_t *body)
{
  int64_t last_seen = number (body, "last_seen");
  int64_t wait_ms = number (body, "wait_ms");

  extend_lease (runner, body);
  while (runner->ends->len > 0
         && ((End *) g_ptr_array_index (runner->ends, 0))->number <= last_seen)
    {
      const End *end = g_ptr_array_index (runner->ends, 0);
      note (runner, "seen", end->task, end->run, end->how);
      g_ptr_array_remove_index (runner->ends, 0);
    }
  if (wait_ms == 0 || has_new_end (runner, last_seen))
    {
      reply_lists (runner, request);
      return;
    }
  Wait *wait = g_new0 (Wait, 1);
  *wait = (Wait){ request, last_seen, clk_now_us () + wait_ms * CLK_US_PER_MS };
  g_ptr_array_add (runner->waits, wait);
}

static void
answer_waits (Runner *runner)
{
  for (guint i = runner->waits->len; i-- > 0;)
    {
      const Wait *wait = g_ptr_array_index (runner->waits, i);
      if (clk_now_us () < wait->end_us && !has_new_end (runner, wait->last_seen))
        continue;
      reply_lists (runner, wait->request);
      g_ptr_array_remove_index_fast (runner->waits, i);
    }
}

static void
on_call (void *ctx, NetRequest *request)
{
  Runner *runner = ctx;
  const char *path = net_request_path (request);
  const char *target = net_request_header (request, "X-Target-Instance");
  json_t *body = json_loads (net_request_body (request, NULL), 0, NULL);

  advance (runner);
  if (target != NULL && strcmp (target, runner->id) != 0)
    reply (runner, request, 421, json_object ());
  else if (body == NULL)
    reply (runner, request, 400, json_object ());
  else if (number (body, "fencing_token") < runner->token)
    refuse (runner, request, "fence");
  else
    {
      runner->token = number (body, "fencing_token");
      if (strcmp (path, "/run-start") == 0)
        start (runner, request, body);
      else if (strcmp (path, "/run-stop") == 0)
        stop (runner, request, body);
      else if (strcmp (path, "/hold") == 0)
        hold (runner, request, body);
      else
        reply (runner, request, 200, json_object ());
    }
  json_decref (body);
}

static void
on_reported (void *ctx, const NetAnswer *answer)
{
  (void) ctx;
  (void) answer;
}

static gboolean
report (gpointer data)
{
  Runner *runner = data;
  g_autofree char *rack = g_strdup_printf ("r1-%u", (runner->index - 1) / RACK_RUNNERS + 1);
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
      "service", "desk", "address", runner->address, "zone", "z1", "machine", runner->address,
      "version", "v1", "slots", 8, "state", "ready", "cold_left_ms", 0, "capacity", "cpu", CPU_M,
      "mem_mb", MEM_MB, "gpu", 0, "labels", "a", rack, "seq", (json_int_t) ++runner->sequence,
      "clock_ms", (json_int_t) clock_ms (runner), "born", (json_int_t) runner->born_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  const NetCall call = { .method = "PUT",
                         .url = runner->url,
                         .content_type = "application/json",
                         .body = text,
                         .size = strlen (text),
                         .timeout_ms = REPORT_TIMEOUT_MS };

  net_client_call (client, &call, on_reported, NULL, NULL);
  free (text);
  json_decref (body);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_tick (gpointer data)
{
  (void) data;
  for (guint i = 0; i < runners->len; i++)
    {
      Runner *runner = g_ptr_array_index (runners, i);
      advance (runner);
      answer_waits (runner);
    }
  return G_SOURCE_CONTINUE;
}

static Runner *
runner_new (const char *net, uint32_t index)
{
  Runner *runner = g_new0 (Runner, 1);

  runner->index = index;
  runner->id = g_strdup_printf ("i-%08x", g_random_int ());
  runner->address = g_strdup_printf ("127.%s.2.%u:%d", net, index, CALL_PORT);
  runner->url = g_strdup_printf ("http://127.%s.3.%u:%d/instances/%s", net, index, CONTROL_PORT,
                                 runner->id);
  runner->started_us = clk_now_us ();
  runner->born_ms = clk_wall_ms ();
  runner->runs = g_ptr_array_new_with_free_func (run_free);
  runner->ends = g_ptr_array_new_with_free_func (end_free);
  runner->waits = g_ptr_array_new_with_free_func (g_free);
  runner->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const NetServerOptions options = { .address = runner->address,
                                     .connections_max = 64,
                                     .idle_s = 60,
                                     .body_bytes_max = 256 * 1024,
                                     .handler = on_call,
                                     .ctx = runner };
  runner->server = net_server_new (&options, NULL);
  return runner;
}

static gboolean
on_end (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  if (argc != 4 || (record = fopen (argv[3], "a")) == NULL)
    {
      (void) fprintf (stderr, "Usage: runners NET COUNT RECORD\n");
      return 2;
    }
  client = net_client_new ();
  runners = g_ptr_array_new ();
  for (uint32_t i = 1; i <= (uint32_t) atoi (argv[2]); i++)
    {
      Runner *runner = runner_new (argv[1], i);
      if (runner->server == NULL)
        {
          (void) fprintf (stderr, "runners: cannot listen on %s\n", runner->address);
          return 2;
        }
      g_ptr_array_add (runners, runner);
      (void) report (runner);
      (void) g_timeout_add (REPORT_MS, report, runner);
    }
  (void) g_timeout_add (TICK_MS, on_tick, NULL);
  (void) g_unix_signal_add (SIGTERM, on_end, loop);
  g_main_loop_run (loop);
  return 0;
}
