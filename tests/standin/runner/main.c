/**
 * @file main.c
 * standin-runner LISTEN AGENT WORK_MS [CPU_M]: a worker of the users' platform whose tasks all run
 * for WORK_MS. It has CPU_M thousandths of a core and reports to the agent's control address AGENT.
 *
 * Prints a line for each start, for each end, and for each acknowledged end: "start TASK RUN", "end
 * TASK RUN done" (or "lapsed", "stopped") and "seen TASK RUN done".
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "net/net_client.h"
#include "net/net_server.h"

#define REPORT_MS 1000
#define REPORT_TIMEOUT_MS 1000
#define TICK_MS 5
#define LEASE_MAX_MS 10000
#define CONNECTIONS_MAX 64
#define IDLE_S 60
#define BODY_MAX (256 * 1024)
#define CPU_DEFAULT_M 8000
#define ENDS_PER_ANSWER 500
#define PERCENT_MAX 100

typedef struct
{
  char *task;
  int64_t run;
  int64_t end_us;
  int64_t number;  /**< number of its end */
  const char *how; /**< how it ended; NULL: it runs */
} Run;

typedef struct
{
  NetRequest *request;
  int64_t last_seen;
  int64_t end_us;
} Wait;

static const char *address;
static char *id;
static char *report_url;
static int64_t work_us;
static int64_t cpu_m = CPU_DEFAULT_M;
static NetClient *client;
static int64_t born_ms;
static int64_t started_us;
static int64_t sequence;
static int64_t token;
static int64_t lease_end_ms;
static int64_t n_ends;
static GPtrArray *runs;     /* Run */
static GPtrArray *ends;     /* Run that has ended and is not acknowledged */
static GPtrArray *waits;    /* Wait */
static GHashTable *highest; /* task -> number of the highest run that has begun or was stopped */

static int64_t
clock_ms (void)
{
  return (clk_now_us () - started_us) / CLK_US_PER_MS + 1;
}

static void
run_free (gpointer data)
{
  Run *run = data;

  g_free (run->task);
  g_free (run);
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
reply (NetRequest *request, uint32_t status, json_t *body)
{
  (void) json_object_set_new (body, "clock_ms", json_integer (clock_ms ()));
  (void) json_object_set_new (body, "born", json_integer (born_ms));
  char *dump = json_dumps (body, JSON_COMPACT);
  const NetReply answer = { .status = status, .content_type = "application/json", .body = dump };

  net_request_reply (request, &answer);
  free (dump);
  json_decref (body);
}

static void
refuse (NetRequest *request, const char *reason)
{
  reply (request, 409, json_pack ("{s:s}", "reason", reason));
}

static void
end_run (guint index, const char *how)
{
  Run *run = g_ptr_array_steal_index_fast (runs, index);

  run->how = how;
  run->number = ++n_ends;
  (void) printf ("end %s %" G_GINT64_FORMAT " %s\n", run->task, run->run, how);
  g_ptr_array_add (ends, run);
}

static Run *
find_run (const char *task, guint *index)
{
  for (guint i = 0; i < runs->len; i++)
    {
      Run *run = g_ptr_array_index (runs, i);
      *index = i;
      if (strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static void
note_highest (const char *task, int64_t run)
{
  int64_t *noted = g_new (int64_t, 1);

  *noted = run;
  g_hash_table_replace (highest, g_strdup (task), noted);
}

static void
extend_lease (const json_t *body)
{
  lease_end_ms = MAX (lease_end_ms, MIN (number (body, "until_ms"), clock_ms () + LEASE_MAX_MS));
}

static void
start (NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run_number = number (body, "run");
  const int64_t *noted = g_hash_table_lookup (highest, task);
  guint index = 0;
  const Run *present = find_run (task, &index);

  if (present != NULL && present->run == run_number)
    {
      reply (request, 200, json_object ());
      return;
    }
  if (number (body, "until_ms") <= clock_ms ())
    {
      refuse (request, "late");
      return;
    }
  extend_lease (body);
  if (present != NULL || (noted != NULL && run_number <= *noted))
    {
      refuse (request, "old");
      return;
    }
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (task);
  run->run = run_number;
  run->end_us = clk_now_us () + work_us;
  g_ptr_array_add (runs, run);
  note_highest (task, run_number);
  (void) printf ("start %s %" G_GINT64_FORMAT "\n", task, run_number);
  reply (request, 200, json_object ());
}

static void
stop (NetRequest *request, const json_t *body)
{
  const char *task = text (body, "task");
  int64_t run_number = number (body, "run");
  guint index = 0;
  const Run *present = find_run (task, &index);

  if (present == NULL)
    note_highest (task, run_number);
  else if (present->run <= run_number)
    end_run (index, "stopped");
  reply (request, 200, json_object ());
}

static int64_t
percent_of (const Run *run)
{
  int64_t left_us = MAX (run->end_us - clk_now_us (), 0);

  return PERCENT_MAX - left_us * PERCENT_MAX / work_us;
}

static void
reply_lists (NetRequest *request)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < runs->len; i++)
    {
      const Run *run = g_ptr_array_index (runs, i);
      (void) json_array_append_new (running,
                                    json_pack ("[s, I, s, I, i]", run->task, (json_int_t) run->run,
                                               "", (json_int_t) percent_of (run), 0));
    }
  for (guint i = 0; i < MIN (ends->len, ENDS_PER_ANSWER); i++)
    {
      const Run *run = g_ptr_array_index (ends, i);
      (void) json_array_append_new (ended,
                                    json_pack ("[I, s, I, s, s]", (json_int_t) run->number,
                                               run->task, (json_int_t) run->run, run->how, ""));
    }
  reply (request, 200, json_pack ("{s:o, s:o}", "running", running, "ended", ended));
}

static void
acknowledge (int64_t last_seen)
{
  while (ends->len > 0)
    {
      const Run *run = g_ptr_array_index (ends, 0);
      if (run->number > last_seen)
        return;
      (void) printf ("seen %s %" G_GINT64_FORMAT " %s\n", run->task, run->run, run->how);
      g_ptr_array_remove_index (ends, 0);
    }
}

static gboolean
has_new_end (int64_t last_seen)
{
  return ends->len > 0 && n_ends > last_seen;
}

static void
hold (NetRequest *request, const json_t *body)
{
  int64_t last_seen = number (body, "last_seen");
  int64_t wait_ms = number (body, "wait_ms");

  extend_lease (body);
  acknowledge (last_seen);
  if (wait_ms == 0 || has_new_end (last_seen))
    {
      reply_lists (request);
      return;
    }
  Wait *wait = g_new0 (Wait, 1);
  *wait = (Wait){ request, last_seen, clk_now_us () + wait_ms * CLK_US_PER_MS };
  g_ptr_array_add (waits, wait);
}

static void
on_call (void *ctx, NetRequest *request)
{
  const char *path = net_request_path (request);
  const char *target = net_request_header (request, "X-Target-Instance");
  json_t *body = json_loads (net_request_body (request, NULL), 0, NULL);

  (void) ctx;
  if (target != NULL && strcmp (target, id) != 0)
    reply (request, 421, json_object ());
  else if (number (body, "fencing_token") < token)
    refuse (request, "fence");
  else
    {
      token = number (body, "fencing_token");
      if (strcmp (path, "/run-start") == 0)
        start (request, body);
      else if (strcmp (path, "/run-stop") == 0)
        stop (request, body);
      else if (strcmp (path, "/hold") == 0)
        hold (request, body);
      else
        reply (request, 200, json_object ());
    }
  json_decref (body);
}

static gboolean
on_tick (gpointer data)
{
  (void) data;
  for (guint i = runs->len; i > 0; i--)
    {
      const Run *run = g_ptr_array_index (runs, i - 1);
      if (clock_ms () >= lease_end_ms)
        end_run (i - 1, "lapsed");
      else if (clk_now_us () >= run->end_us)
        end_run (i - 1, "done");
    }
  for (guint i = waits->len; i > 0; i--)
    {
      const Wait *wait = g_ptr_array_index (waits, i - 1);
      if (clk_now_us () < wait->end_us && !has_new_end (wait->last_seen))
        continue;
      reply_lists (wait->request);
      g_ptr_array_remove_index_fast (waits, i - 1);
    }
  return G_SOURCE_CONTINUE;
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
  json_t *body
      = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:{s:I, s:i, s:i}, s:[s], s:I, s:I, s:I}",
                   "service", "s", "address", address, "zone", "z", "machine", address, "version",
                   "1", "state", "ready", "slots", 8, "capacity", "cpu", (json_int_t) cpu_m,
                   "mem_mb", 64000, "gpu", 0, "labels", "a", "seq", (json_int_t) ++sequence,
                   "clock_ms", (json_int_t) clock_ms (), "born", (json_int_t) born_ms);
  char *dump = json_dumps (body, JSON_COMPACT);
  const NetCall call = { .method = "PUT",
                         .url = report_url,
                         .content_type = "application/json",
                         .body = dump,
                         .size = strlen (dump),
                         .timeout_ms = REPORT_TIMEOUT_MS };

  (void) data;
  net_client_call (client, &call, on_reported, NULL, NULL);
  free (dump);
  json_decref (body);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GError) error = NULL;

  if (argc < 4 || argc > 5)
    {
      (void) fprintf (stderr, "Usage: standin-runner IP:PORT AGENT_IP:PORT WORK_MS [CPU_M]\n");
      return 2;
    }
  if (argc == 5)
    cpu_m = g_ascii_strtoll (argv[4], NULL, 10);
  (void) setvbuf (stdout, NULL, _IOLBF, 0);
  address = argv[1];
  id = g_strdup_printf ("i-%.*s", (int) strcspn (address, ":"), address);
  report_url = g_strdup_printf ("http://%s/instances/%s", argv[2], id);
  work_us = g_ascii_strtoll (argv[3], NULL, 10) * CLK_US_PER_MS;
  started_us = clk_now_us ();
  born_ms = clk_wall_ms ();
  client = net_client_new ();
  runs = g_ptr_array_new ();
  ends = g_ptr_array_new_with_free_func (run_free);
  waits = g_ptr_array_new_with_free_func (g_free);
  highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const NetServerOptions options = { .address = address,
                                     .connections_max = CONNECTIONS_MAX,
                                     .excess_waits = TRUE,
                                     .idle_s = IDLE_S,
                                     .body_bytes_max = BODY_MAX,
                                     .handler = on_call };
  if (net_server_new (&options, &error) == NULL)
    {
      (void) fprintf (stderr, "standin-runner: %s\n", error->message);
      return 1;
    }
  (void) report (NULL);
  (void) g_timeout_add (REPORT_MS, report, NULL);
  (void) g_timeout_add (TICK_MS, on_tick, NULL);
  g_main_loop_run (loop);
  return 0;
}
