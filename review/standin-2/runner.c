/**
 * @file runner.c
 * review-runner LISTEN AGENT SERVICE CPU_M SMALL_CPU_M: a runner of the users' platform with CPU_M
 * thousandths of a core. It reports to the control address AGENT and takes calls at LISTEN.
 *
 * The spec of a task holds words NAME=VALUE:
 *   work=MS          it ends as done after so much work
 *   fills=CPU_M      it fills, and uses so much of the processors at a pace of 100
 *   tail=MS,MS       it lasts; its tail latency alone, before and after SIGUSR1
 *   impact=PERCENT   growth of that tail beside tasks that fill, for all processors in use
 *   saves=1          it checkpoints its progress
 *   fails=1          its work ends as failed
 *
 * SIGUSR2 sets the capacity to SMALL_CPU_M. SIGHUP lets the tasks that last fail once.
 *
 * Prints a line for each start, refused start, stop, end and pace, and every 200 ms one for each
 * tail over TARGET_MS: "over TASK TAIL ALONE FILLS", where FILLS is the processors in use of the
 * tasks that fill.
 */
#include <glib-unix.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "net/net_client.h"
#include "net/net_server.h"

#define REPORT_MS 1500
#define REPORT_TIMEOUT_MS 1000
#define TICK_MS 10
#define OVER_MS 200
#define TARGET_MS 50
#define STARTUP_MS 300
#define RESTORE_MS 250
#define LEASE_MAX_MS 10000
#define CONNECTIONS_MAX 64
#define IDLE_S 600
#define BODY_MAX (256 * 1024)
#define ENDS_PER_ANSWER 500
#define FULL 100

typedef struct
{
  char *task;
  int64_t run;
  int64_t started_us;
  int64_t work_ms; /* 0: it lasts */
  int64_t fills_m; /* 0: it doesn't fill */
  int64_t tail_ms[2];
  int64_t impact;
  gboolean saves;
  gboolean fails;
  double done_ms;
  double saved_ms;
  int64_t pace;
  int64_t number;
  const char *how;
} Run;

typedef struct
{
  NetRequest *request;
  int64_t last_seen;
  int64_t end_us;
} Wait;

static const char *address;
static const char *service;
static char *id;
static char *report_url;
static int64_t cpu_m;
static int64_t small_cpu_m;
static gboolean is_busy;
static NetClient *client;
static int64_t born_ms;
static int64_t started_us;
static int64_t ticked_us;
static int64_t sequence;
static int64_t token;
static int64_t lease_end_ms;
static int64_t n_ends;
static GPtrArray *runs;
static GPtrArray *ends;
static GPtrArray *waits;
static GHashTable
    *highest; /* task -> number of the highest run that has begun, ended or was stopped */

static int64_t
clock_ms (void)
{
  return (clk_now_us () - started_us) / CLK_US_PER_MS + 1;
}

static void G_GNUC_PRINTF (1, 2) note (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  (void) printf ("%" G_GINT64_FORMAT " %s %s\n", clk_wall_ms (), id, text);
}

static void
run_free (gpointer data)
{
  Run *run = data;

  g_free (run->task);
  g_free (run);
}

static int64_t
number_of (const json_t *body, const char *name)
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
note_highest (const char *task, int64_t run)
{
  int64_t *noted = g_hash_table_lookup (highest, task);

  if (noted == NULL)
    {
      noted = g_new0 (int64_t, 1);
      g_hash_table_insert (highest, g_strdup (task), noted);
    }
  *noted = MAX (*noted, run);
}

static void
end_run (guint index, const char *how)
{
  Run *run = g_ptr_array_steal_index_fast (runs, index);

  run->how = how;
  run->number = ++n_ends;
  run->saved_ms = run->saves && strcmp (how, "stopped") == 0 ? run->done_ms : run->saved_ms;
  note ("end %s %" G_GINT64_FORMAT " %s", run->task, run->run, how);
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
extend_lease (const json_t *body)
{
  lease_end_ms = MAX (lease_end_ms, MIN (number_of (body, "until_ms"), clock_ms () + LEASE_MAX_MS));
}

static int64_t
word (const char *spec, const char *name, guint part)
{
  g_auto (GStrv) words = g_strsplit (spec, " ", -1);

  for (guint i = 0; words[i] != NULL; i++)
    {
      if (!g_str_has_prefix (words[i], name) || words[i][strlen (name)] != '=')
        continue;
      g_auto (GStrv) values = g_strsplit (words[i] + strlen (name) + 1, ",", -1);
      return part < g_strv_length (values) ? g_ascii_strtoll (values[part], NULL, 10) : 0;
    }
  return 0;
}

static char *
checkpoint_of (const Run *run)
{
  return run->saved_ms > 0 ? g_strdup_printf ("%016" G_GINT64_MODIFIER "x", (int64_t) run->saved_ms)
                           : g_strdup ("");
}

static void
start (NetRequest *request, const json_t *body)
{
  const char *task = text_of (body, "task");
  const char *spec = text_of (body, "spec");
  int64_t run_number = number_of (body, "run");
  const int64_t *noted = g_hash_table_lookup (highest, task);
  guint index = 0;
  const Run *present = find_run (task, &index);

  if (present != NULL && present->run == run_number)
    {
      reply (request, 200, json_object ());
      return;
    }
  if (number_of (body, "until_ms") <= clock_ms ())
    {
      note ("late %s %" G_GINT64_FORMAT, task, run_number);
      refuse (request, "late");
      return;
    }
  extend_lease (body);
  if (present != NULL || (noted != NULL && run_number <= *noted))
    {
      note ("old %s %" G_GINT64_FORMAT, task, run_number);
      refuse (request, "old");
      return;
    }
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (task);
  run->run = run_number;
  run->started_us = clk_now_us ();
  run->work_ms = word (spec, "work", 0);
  run->fills_m = word (spec, "fills", 0);
  run->tail_ms[0] = word (spec, "tail", 0);
  run->tail_ms[1] = word (spec, "tail", 1);
  run->impact = word (spec, "impact", 0);
  run->saves = word (spec, "saves", 0) != 0;
  run->fails = word (spec, "fails", 0) != 0;
  run->pace = FULL;
  run->done_ms = (double) g_ascii_strtoll (text_of (body, "last_checkpoint"), NULL, 16);
  run->saved_ms = run->done_ms;
  if (run->done_ms > 0)
    run->started_us += RESTORE_MS * CLK_US_PER_MS;
  g_ptr_array_add (runs, run);
  note_highest (task, run_number);
  note ("start %s %" G_GINT64_FORMAT " token=%" G_GINT64_FORMAT, task, run_number, token);
  reply (request, 200, json_object ());
}

static void
stop (NetRequest *request, const json_t *body)
{
  const char *task = text_of (body, "task");
  int64_t run_number = number_of (body, "run");
  guint index = 0;
  const Run *present = find_run (task, &index);

  note ("stop %s %" G_GINT64_FORMAT, task, run_number);
  note_highest (task, run_number);
  if (present != NULL && present->run <= run_number)
    end_run (index, "stopped");
  reply (request, 200, json_object ());
}

static void
set_pace (NetRequest *request, const json_t *body)
{
  guint index = 0;
  Run *run = find_run (text_of (body, "task"), &index);

  if (run != NULL && run->run == number_of (body, "run"))
    {
      run->pace = CLAMP (number_of (body, "percent"), 0, FULL);
      note ("pace %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT, run->task, run->run, run->pace);
    }
  reply (request, 200, json_object ());
}

static gboolean
is_at_work (const Run *run)
{
  int64_t startup_ms = run->work_ms == 0 ? STARTUP_MS : 0;

  return clk_now_us () >= run->started_us + startup_ms * CLK_US_PER_MS;
}

static int64_t
fills_in_use (void)
{
  int64_t sum = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const Run *run = g_ptr_array_index (runs, i);
      sum += is_at_work (run) ? run->fills_m * run->pace / FULL : 0;
    }
  return sum;
}

static int64_t
tail_of (const Run *run)
{
  int64_t alone_ms = run->tail_ms[is_busy];

  return alone_ms + alone_ms * run->impact * fills_in_use () / (cpu_m * FULL);
}

static json_t *
running_row (const Run *run)
{
  g_autofree char *checkpoint = checkpoint_of (run);
  int64_t percent = run->work_ms > 0 ? (int64_t) (run->done_ms * FULL / (double) run->work_ms)
                                     : is_at_work (run) * FULL;
  int64_t figure = run->tail_ms[0] > 0 && is_at_work (run) ? tail_of (run)
                   : run->fills_m > 0                      ? run->fills_m * run->pace / FULL
                                                           : 1;

  return json_pack ("[s, I, s, I, I]", run->task, (json_int_t) run->run, checkpoint,
                    (json_int_t) MIN (percent, run->work_ms > 0 ? FULL - 1 : FULL),
                    (json_int_t) figure);
}

static json_t *
ended_row (const Run *run)
{
  g_autofree char *checkpoint = checkpoint_of (run);

  return json_pack ("[I, s, I, s, s]", (json_int_t) run->number, run->task, (json_int_t) run->run,
                    run->how, checkpoint);
}

static void
reply_lists (NetRequest *request)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < runs->len; i++)
    (void) json_array_append_new (running, running_row (g_ptr_array_index (runs, i)));
  for (guint i = 0; i < MIN (ends->len, ENDS_PER_ANSWER); i++)
    (void) json_array_append_new (ended, ended_row (g_ptr_array_index (ends, i)));
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
      note ("seen %s %" G_GINT64_FORMAT " %s", run->task, run->run, run->how);
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
  int64_t last_seen = number_of (body, "last_seen");
  int64_t wait_ms = number_of (body, "wait_ms");

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
  if (body == NULL)
    reply (request, 400, json_object ());
  else if (target != NULL && strcmp (target, id) != 0)
    reply (request, 421, json_object ());
  else if (number_of (body, "fencing_token") < token)
    refuse (request, "fence");
  else
    {
      token = number_of (body, "fencing_token");
      if (strcmp (path, "/run-start") == 0)
        start (request, body);
      else if (strcmp (path, "/run-stop") == 0)
        stop (request, body);
      else if (strcmp (path, "/pace") == 0)
        set_pace (request, body);
      else if (strcmp (path, "/hold") == 0)
        hold (request, body);
      else
        reply (request, 400, json_object ());
    }
  json_decref (body);
}

static void
advance (Run *run, int64_t passed_us)
{
  if (!is_at_work (run))
    return;
  run->done_ms += (double) (passed_us * run->pace) / (CLK_US_PER_MS * FULL);
  if (run->saves && run->done_ms >= run->saved_ms + CLK_MS_PER_S)
    run->saved_ms = run->done_ms;
}

static gboolean
is_done (const Run *run)
{
  return run->work_ms > 0 && run->done_ms >= (double) run->work_ms;
}

static void
answer_waits (void)
{
  for (guint i = waits->len; i > 0; i--)
    {
      const Wait *wait = g_ptr_array_index (waits, i - 1);
      if (clk_now_us () < wait->end_us && !has_new_end (wait->last_seen))
        continue;
      reply_lists (wait->request);
      g_ptr_array_remove_index_fast (waits, i - 1);
    }
}

static gboolean
on_tick (gpointer data)
{
  int64_t passed_us = clk_now_us () - ticked_us;

  (void) data;
  ticked_us += passed_us;
  for (guint i = runs->len; i > 0; i--)
    {
      Run *run = g_ptr_array_index (runs, i - 1);
      advance (run, passed_us);
      if (clock_ms () >= lease_end_ms)
        end_run (i - 1, "lapsed");
      else if (is_done (run))
        end_run (i - 1, run->fails ? "failed" : "done");
    }
  answer_waits ();
  return G_SOURCE_CONTINUE;
}

static gboolean
on_over_check (gpointer data)
{
  (void) data;
  for (guint i = 0; i < runs->len; i++)
    {
      const Run *run = g_ptr_array_index (runs, i);
      if (run->tail_ms[0] > 0 && is_at_work (run) && tail_of (run) > TARGET_MS)
        note ("over %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT, run->task,
              tail_of (run), run->tail_ms[is_busy], fills_in_use ());
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_busy (gpointer data)
{
  (void) data;
  is_busy = TRUE;
  note ("busy");
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
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:{s:I, s:i, s:i}, s:[s], s:I, s:I, s:I}",
      "service", service, "address", address, "zone", "z", "machine", address, "version", "1",
      "state", "ready", "slots", 8, "cold_left_ms", 0, "capacity", "cpu", (json_int_t) cpu_m,
      "mem_mb", 64000, "gpu", 0, "labels", "a", "seq", (json_int_t) ++sequence, "clock_ms",
      (json_int_t) clock_ms (), "born", (json_int_t) born_ms);
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

static gboolean
on_failure (gpointer data)
{
  (void) data;
  for (guint i = runs->len; i > 0; i--)
    {
      if (((const Run *) g_ptr_array_index (runs, i - 1))->work_ms == 0)
        end_run (i - 1, "failed");
    }
  answer_waits ();
  return G_SOURCE_CONTINUE;
}

static gboolean
on_shrink (gpointer data)
{
  cpu_m = small_cpu_m;
  note ("capacity %" G_GINT64_FORMAT, cpu_m);
  (void) report (data);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GError) error = NULL;

  if (argc != 6)
    {
      (void) fprintf (stderr,
                      "Usage: review-runner IP:PORT AGENT_IP:PORT SERVICE CPU_M SMALL_CPU_M\n");
      return 2;
    }
  (void) setvbuf (stdout, NULL, _IOLBF, 0);
  address = argv[1];
  id = g_strdup_printf ("i-%.*s", (int) strcspn (address, ":"), address);
  report_url = g_strdup_printf ("http://%s/instances/%s", argv[2], id);
  service = argv[3];
  cpu_m = g_ascii_strtoll (argv[4], NULL, 10);
  small_cpu_m = g_ascii_strtoll (argv[5], NULL, 10);
  started_us = clk_now_us ();
  ticked_us = started_us;
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
      (void) fprintf (stderr, "review-runner: %s\n", error->message);
      return 1;
    }
  (void) g_unix_signal_add (SIGUSR1, on_busy, NULL);
  (void) g_unix_signal_add (SIGUSR2, on_shrink, NULL);
  (void) g_unix_signal_add (SIGHUP, on_failure, NULL);
  (void) report (NULL);
  (void) g_timeout_add (REPORT_MS, report, NULL);
  (void) g_timeout_add (TICK_MS, on_tick, NULL);
  (void) g_timeout_add (OVER_MS, on_over_check, NULL);
  g_main_loop_run (loop);
  return 0;
}
