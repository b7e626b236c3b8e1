/**
 * @file runner.c
 * standin-3-runner --listen IP:PORT --agent IP:PORT --id ID [options]: a runner of the users'
 * platform. It reports to the control address of its machine, and starts what it is told to start.
 *
 * The spec of a task says how long it works: "work_ms=N" for N ms, "work_ms=N long_ms=M" for M ms
 * if it is the first of its step, and "serve" until it is stopped. With "checkpoints" it saves what
 * it has done each second, under a name that says so. With "poison" it fails soon after each start.
 * With "crash_ms=N" the runner crashes N ms after each start.
 *
 * Writes a line for each event to stdout, "MS ID EVENT ...", with the time of day in ms. The script
 * brings disruptions about with calls to /standin/...; see on_control().
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/err.h"
#include "net/net_client.h"
#include "net/net_server.h"

#define REPORT_TIMEOUT_MS 1000
#define TICK_MS 5
#define CONNECTIONS_MAX 256
#define IDLE_S 60
#define BODY_MAX (256 * 1024)
#define ENDS_PER_ANSWER 500
#define PERCENT_MAX 100
/** Time after which a serving task is at work, and after which a task of a failing runner ends. */
#define STARTUP_MS 300
#define FAIL_MS 30
/** A new checkpoint is there with each of these. */
#define CHECKPOINT_MS 1000
#define CONTROL_PREFIX "/standin/"

typedef struct
{
  char *task;
  int64_t run;
  int64_t start_us;
  int64_t end_us;   /**< when it ends; INT64_MAX: only when it is stopped */
  int64_t number;   /**< number of its end */
  int64_t crash_us; /**< when it crashes the runner; 0: never */
  int64_t saved_ms; /**< work that its newest checkpoint holds */
  gboolean fails;
  gboolean has_checkpoints;
  const char *how; /**< how it ended; NULL: it runs */
  char *saved;     /**< its newest checkpoint, once it has ended */
} Run;

typedef struct
{
  NetRequest *request;
  int64_t last_seen;
  int64_t end_us;
} Wait;

static char *listen_address;
static char *agent_address;
static char *id;
static char *labels_text;
static char *service = "s";
static char *zone = "z";
static gint cpu_m = 16000;
static gint mem_mb = 64000;
static gint hold_max_ms = 6000;
static gint report_ms = 1500;

static GOptionEntry entries[] = {
  { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "Address for the agent's calls", NULL },
  { "agent", 0, 0, G_OPTION_ARG_STRING, &agent_address, "Control address of its machine", NULL },
  { "id", 0, 0, G_OPTION_ARG_STRING, &id, "Id of the runner", NULL },
  { "labels", 0, 0, G_OPTION_ARG_STRING, &labels_text, "Labels, separated by commas", NULL },
  { "service", 0, 0, G_OPTION_ARG_STRING, &service, "Service", NULL },
  { "zone", 0, 0, G_OPTION_ARG_STRING, &zone, "Zone", NULL },
  { "cpu", 0, 0, G_OPTION_ARG_INT, &cpu_m, "Thousandths of a core", NULL },
  { "mem", 0, 0, G_OPTION_ARG_INT, &mem_mb, "Memory in MB", NULL },
  { "max-hold", 0, 0, G_OPTION_ARG_INT, &hold_max_ms, "Longest lease in ms", NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL },
};

static char *report_url;
static NetClient *client;
static int64_t born_ms;
static int64_t started_us;
static int64_t sequence;
static int64_t token;
static int64_t lease_end_ms;
static int64_t n_ends;
static int64_t fails_until_us;
static int64_t cut_until_us;
static gboolean is_draining;
static GPtrArray *runs;     /* Run */
static GPtrArray *ends;     /* Run that has ended and is not acknowledged */
static GPtrArray *waits;    /* Wait */
static GHashTable *highest; /* task -> number of the highest run that has begun or was stopped */

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
  g_free (run->saved);
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

static char *checkpoint_of (Run *run);

static void
end_run (guint index, const char *how)
{
  Run *run = g_ptr_array_steal_index_fast (runs, index);

  run->how = how;
  run->saved = checkpoint_of (run);
  run->number = ++n_ends;
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
note_highest (const char *task, int64_t run)
{
  int64_t *noted = g_new (int64_t, 1);

  *noted = run;
  g_hash_table_replace (highest, g_strdup (task), noted);
}

static void
extend_lease (const json_t *body)
{
  lease_end_ms = MAX (lease_end_ms, MIN (number (body, "until_ms"), clock_ms () + hold_max_ms));
}

static gboolean
is_cut (void)
{
  return clk_now_us () < cut_until_us;
}

static int64_t
spec_number (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);

  return at != NULL ? g_ascii_strtoll (at + strlen (name), NULL, 10) : 0;
}

static int64_t
work_ms (const char *task, const char *spec)
{
  int64_t long_ms = spec_number (spec, "long_ms=");
  gboolean is_first = g_str_has_suffix (task, ".0");

  return is_first && long_ms > 0 ? long_ms : spec_number (spec, "work_ms=");
}

static int64_t
ran_ms (const Run *run)
{
  return (clk_now_us () - run->start_us) / CLK_US_PER_MS;
}

/* Name of the newest checkpoint; free it. */
static char *
checkpoint_of (Run *run)
{
  if (!run->has_checkpoints)
    return g_strdup ("");
  run->saved_ms = MAX (run->saved_ms, ran_ms (run) / CHECKPOINT_MS * CHECKPOINT_MS);
  if (run->saved_ms == 0)
    return g_strdup ("");
  return g_strdup_printf (
      "snapshots/installation-1/zone-%s/service-%s/jobs/%.16s/tasks/%s/runs/%08" G_GINT64_MODIFIER
      "d/parts/00000000/state-%016" G_GINT64_MODIFIER "d.snapshot.zst",
      zone, service, run->task, run->task, run->run, run->saved_ms);
}

static void
begin_run (const char *task, int64_t run_number, const char *spec, const char *checkpoint)
{
  Run *run = g_new0 (Run, 1);
  const char *saved = strstr (checkpoint, "/state-");

  run->task = g_strdup (task);
  run->run = run_number;
  run->start_us = clk_now_us ();
  run->fails = run->start_us < fails_until_us || strstr (spec, "poison") != NULL;
  if (run->fails)
    run->end_us = run->start_us + FAIL_MS * CLK_US_PER_MS;
  else if (strstr (spec, "serve") != NULL)
    run->end_us = INT64_MAX;
  else
    run->end_us = run->start_us + work_ms (task, spec) * CLK_US_PER_MS;
  if (strstr (spec, "crash_ms=") != NULL)
    run->crash_us = run->start_us + spec_number (spec, "crash_ms=") * CLK_US_PER_MS;
  run->has_checkpoints = strstr (spec, "checkpoints") != NULL;
  if (saved != NULL)
    {
      run->saved_ms = g_ascii_strtoll (saved + strlen ("/state-"), NULL, 10);
      run->start_us -= run->saved_ms * CLK_US_PER_MS;
      if (run->end_us != INT64_MAX)
        run->end_us -= run->saved_ms * CLK_US_PER_MS;
    }
  g_ptr_array_add (runs, run);
  note_highest (task, run_number);
  note ("start %s %" G_GINT64_FORMAT "%s", task, run_number, is_draining ? " draining" : "");
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
  begin_run (task, run_number, text (body, "spec"), text (body, "last_checkpoint"));
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
  int64_t ran_us = clk_now_us () - run->start_us;
  int64_t whole_us
      = run->end_us == INT64_MAX ? STARTUP_MS * CLK_US_PER_MS : run->end_us - run->start_us;

  return MIN (ran_us * PERCENT_MAX / MAX (whole_us, 1), PERCENT_MAX);
}

static void
reply_lists (NetRequest *request)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < runs->len; i++)
    {
      Run *run = g_ptr_array_index (runs, i);
      g_autofree char *checkpoint = checkpoint_of (run);
      (void) json_array_append_new (running,
                                    json_pack ("[s, I, s, I, i]", run->task, (json_int_t) run->run,
                                               checkpoint, (json_int_t) percent_of (run), 0));
    }
  for (guint i = 0; i < MIN (ends->len, ENDS_PER_ANSWER); i++)
    {
      const Run *run = g_ptr_array_index (ends, i);
      (void) json_array_append_new (ended, json_pack ("[I, s, I, s, s]", (json_int_t) run->number,
                                                      run->task, (json_int_t) run->run, run->how,
                                                      run->saved != NULL ? run->saved : ""));
    }
  reply (request, 200, json_pack ("{s:o, s:o}", "running", running, "ended", ended));
}

static void
acknowledge (int64_t last_seen)
{
  guint n_seen = 0;

  for (; n_seen < ends->len; n_seen++)
    {
      const Run *run = g_ptr_array_index (ends, n_seen);
      if (run->number > last_seen)
        break;
      note ("seen %s %" G_GINT64_FORMAT " %s", run->task, run->run, run->how);
    }
  if (n_seen > 0)
    g_ptr_array_remove_range (ends, 0, n_seen);
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

static json_t *
report_body (int64_t number_of_call, const char *state)
{
  json_t *labels = json_array ();
  g_auto (GStrv) words = g_strsplit (labels_text != NULL ? labels_text : "a", ",", -1);

  for (char **word = words; *word != NULL; word++)
    (void) json_array_append_new (labels, json_string (*word));
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:{s:i, s:i, s:i}, s:o, s:I, s:I, s:I}", "service",
      service, "address", listen_address, "zone", zone, "machine", id, "version", "v1", "state",
      state, "slots", 8, "cold_left_ms", 0, "capacity", "cpu", cpu_m, "mem_mb", mem_mb, "gpu", 0,
      "labels", labels, "seq", (json_int_t) number_of_call, "clock_ms", (json_int_t) clock_ms (),
      "born", (json_int_t) born_ms);
}

static void
on_reported (void *ctx, const NetAnswer *answer)
{
  g_autofree char *what = ctx;

  if (strstr (what, "draining") != NULL || strstr (what, "late") != NULL)
    note ("report %s status %u", what, answer->status);
}

/* Sends a report; takes the body, and a word for the record. */
static void
send_report (json_t *body, char *what)
{
  char *dump = json_dumps (body, JSON_COMPACT);
  const NetCall call = { .method = "PUT",
                         .url = report_url,
                         .content_type = "application/json",
                         .body = dump,
                         .size = strlen (dump),
                         .timeout_ms = REPORT_TIMEOUT_MS };

  net_client_call (client, &call, on_reported, g_free, what);
  free (dump);
  json_decref (body);
}

static gboolean
report (gpointer data)
{
  const char *state = is_draining ? "draining" : "ready";

  (void) data;
  sequence++;
  if (is_cut ())
    return G_SOURCE_CONTINUE;
  send_report (report_body (sequence, state), g_strdup_printf ("%s seq %d", state, (int) sequence));
  return G_SOURCE_CONTINUE;
}

typedef struct
{
  json_t *body;
  int64_t number;
} Late;

static gboolean
on_late (gpointer data)
{
  g_autofree Late *late = data;

  send_report (late->body, g_strdup_printf ("late ready seq %d", (int) late->number));
  return G_SOURCE_REMOVE;
}

static int64_t
argument (NetRequest *request, const char *name)
{
  const char *value = net_request_argument (request, name);

  return value != NULL ? g_ascii_strtoll (value, NULL, 10) : 0;
}

/* Sends @p count reports now that reach the agent only after @p delay_ms, one after the other. */
static void
delay_reports (int64_t count, int64_t delay_ms)
{
  for (int64_t i = 0; i < count; i++)
    {
      Late *late = g_new (Late, 1);
      sequence++;
      *late = (Late){ report_body (sequence, "ready"), sequence };
      note ("report ready seq %d delayed", (int) sequence);
      (void) g_timeout_add ((guint) (delay_ms + i * 20), on_late, late);
    }
}

/*
 * /standin/fail?for_ms=N   all that starts within N ms fails soon after its start
 * /standin/cut?for_ms=N    it is cut off from its machine for N ms, and runs on
 * /standin/capacity?cpu_m=N    it has N thousandths of a core from now on, and reports that at once
 * /standin/drain           it drains from now on, and reports that at once
 * /standin/late?count=C&delay_ms=D   C reports are under way for D ms
 */
static void
on_control (NetRequest *request, const char *what)
{
  note ("control %s", what);
  if (strcmp (what, "fail") == 0)
    fails_until_us = clk_now_us () + argument (request, "for_ms") * CLK_US_PER_MS;
  else if (strcmp (what, "cut") == 0)
    {
      cut_until_us = clk_now_us () + argument (request, "for_ms") * CLK_US_PER_MS;
      /* No answer passes; the callers give up. */
      g_ptr_array_set_size (waits, 0);
    }
  else if (strcmp (what, "capacity") == 0)
    {
      cpu_m = (gint) argument (request, "cpu_m");
      (void) report (NULL);
    }
  else if (strcmp (what, "drain") == 0)
    {
      is_draining = TRUE;
      (void) report (NULL);
    }
  else if (strcmp (what, "late") == 0)
    delay_reports (argument (request, "count"), argument (request, "delay_ms"));
  reply (request, 200, json_object ());
}

static void
on_order (NetRequest *request, const char *path, const json_t *body)
{
  const char *target = net_request_header (request, "X-Target-Instance");

  if (target != NULL && strcmp (target, id) != 0)
    {
      reply (request, 421, json_object ());
      return;
    }
  if (number (body, "fencing_token") < token)
    {
      refuse (request, "fence");
      return;
    }
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

static void
on_call (void *ctx, NetRequest *request)
{
  const char *path = net_request_path (request);
  json_t *body = NULL;

  (void) ctx;
  if (g_str_has_prefix (path, CONTROL_PREFIX))
    {
      on_control (request, path + strlen (CONTROL_PREFIX));
      return;
    }
  /* A call that is lost in a partition is not executed later: its caller has given up. */
  if (is_cut ())
    return;
  body = json_loads (net_request_body (request, NULL), 0, NULL);
  on_order (request, path, body);
  json_decref (body);
}

static gboolean
on_tick (gpointer data)
{
  int64_t now = clk_now_us ();

  (void) data;
  for (guint i = runs->len; i > 0; i--)
    {
      const Run *run = g_ptr_array_index (runs, i - 1);
      if (run->crash_us != 0 && now >= run->crash_us)
        {
          note ("crash %s %" G_GINT64_FORMAT, run->task, run->run);
          _exit (1);
        }
      if (clock_ms () >= lease_end_ms)
        end_run (i - 1, "lapsed");
      else if (now >= run->end_us)
        end_run (i - 1, run->fails ? "failed" : "done");
    }
  for (guint i = waits->len; i > 0; i--)
    {
      const Wait *wait = g_ptr_array_index (waits, i - 1);
      if (now < wait->end_us && !has_new_end (wait->last_seen))
        continue;
      reply_lists (wait->request);
      g_ptr_array_remove_index_fast (waits, i - 1);
    }
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GOptionContext) options = g_option_context_new ("- a runner");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error) || listen_address == NULL
      || agent_address == NULL || id == NULL)
    {
      (void) fprintf (stderr, "standin-3-runner: %s\n",
                      error != NULL ? error->message : "--listen, --agent and --id are needed");
      return 2;
    }
  (void) setvbuf (stdout, NULL, _IOLBF, 0);
  report_url = g_strdup_printf ("http://%s/instances/%s", agent_address, id);
  started_us = clk_now_us ();
  born_ms = clk_wall_ms ();
  client = net_client_new ();
  runs = g_ptr_array_new ();
  ends = g_ptr_array_new_with_free_func (run_free);
  waits = g_ptr_array_new_with_free_func (g_free);
  highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const NetServerOptions server = { .address = listen_address,
                                    .connections_max = CONNECTIONS_MAX,
                                    .excess_waits = TRUE,
                                    .idle_s = IDLE_S,
                                    .body_bytes_max = BODY_MAX,
                                    .handler = on_call };
  if (net_server_new (&server, &error) == NULL)
    {
      (void) fprintf (stderr, "standin-3-runner: %s\n", error->message);
      return 1;
    }
  (void) report (NULL);
  (void) g_timeout_add ((guint) report_ms, report, NULL);
  (void) g_timeout_add (TICK_MS, on_tick, NULL);
  g_main_loop_run (loop);
  return 0;
}
