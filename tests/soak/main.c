/**
 * @file main.c
 * acacia-soak: runs entries and agents as separate processes, injects faults drawn from a seed, and
 * checks what callers and workers observe against the scheduler's guarantees.
 */
#include <argtable2.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "common/clk.h"
#include "common/err.h"
#include "common/line.h"
#include "faults.h"
#include "platform/operator.h"
#include "platform/store.h"
#include "roll.h"
#include "worker_faults.h"

#define STORE_PORT 29100
#define WORKER_PORT 29165
/** Timeout of the operator's configuration write, and the delay before it is retried. */
#define CONFIG_TIMEOUT_MS 1000
#define CONFIG_RETRY_MS 50
/** All faults have ended this long after the last one began, and all processes have reconnected. */
#define RECOVERY_MS 8000
/** Idle jobs are checked once the system has been free of disturbances for this long. */
#define UNDISTURBED_MS 3000
/** The run ends once all jobs have ended, and after this long in any case. */
#define FINISH_MS 60000
/** Long-running tasks run again 6 s after their last run, plus 3 s without disturbance. */
#define CALM_MIN_MS 9000
#define FINISH_CHECK_MS 500
/** Interval of the clock check; a gap above #STALL_MS means that the soak itself was suspended. */
#define CLOCK_CHECK_MS 100
#define STALL_MS 1000
/** Start of the lines that the store stand-in writes when an entry has broken the store's rules. */
#define STORE_BROKEN "standin-store: BROKEN"

typedef struct
{
  Soak soak;
  Checker *checker;
  NetClient *client;
  Store *store; /**< the operator's client */
  Workers *workers;
  Callers *callers;
  FaultTargets targets;
  Roll *roll; /**< NULL: all processes run one build */
  GMainLoop *loop;
  uint32_t n_unexpected_exits;
  uint32_t n_not_rolled;
  uint32_t n_store_broken; /**< lines of the store stand-in that were noted */
  int64_t clock_checked_ms;
  int64_t calm_since_ms; /**< start of the phase without faults and new jobs; 0: not reached */
  gboolean was_stopped;
} Run;

static void
on_unexpected_exit (void *ctx, const char *name, int status)
{
  Run *run = ctx;

  run->n_unexpected_exits++;
  soak_log (&run->soak, "BROKEN: %s exited unexpectedly with status %d", name, status);
}

static gboolean
start_store (Run *run, GError **error)
{
  g_autofree char *ip = soak_ip (&run->soak, SOAK_STORE, 0);
  g_autofree char *address = g_strdup_printf ("%s:%d", ip, STORE_PORT);
  const char *const arguments[] = { address, "2", NULL };
  const ProcessOptions options = { .soak = &run->soak,
                                   .name = "store",
                                   .program = "standin-store",
                                   .build = SOAK_NEWER,
                                   .arguments = arguments,
                                   .on_unexpected_exit = on_unexpected_exit,
                                   .ctx = run };

  run->store = store_new (run->client, address);
  run->targets.store = process_new (&options, error);
  return run->targets.store != NULL;
}

static gboolean
add_proxy (Run *run, const char *ip, const char *server_ip, uint16_t port, GError **error)
{
  Proxy *proxy = proxy_new (ip, server_ip, port, error);

  if (proxy == NULL)
    return FALSE;
  g_ptr_array_add (run->targets.proxies, proxy);
  return TRUE;
}

/* Each process connects to the store through its own proxy. */
static gboolean
add_store_proxy (Run *run, uint32_t index, GError **error)
{
  g_autofree char *ip = soak_ip (&run->soak, SOAK_STORE_PROXY, index);
  g_autofree char *server_ip = soak_ip (&run->soak, SOAK_STORE, 0);

  return add_proxy (run, ip, server_ip, STORE_PORT, error);
}

static gboolean
start_program (Run *run,
               const char *program,
               const char *name,
               const char *settings,
               GPtrArray *into,
               GError **error)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.toml", run->soak.options->folder, name);
  const char *const arguments[] = { "--config", file, NULL };
  const ProcessOptions options = { .soak = &run->soak,
                                   .name = name,
                                   .program = program,
                                   .build = soak_first_build (&run->soak),
                                   .arguments = arguments,
                                   .on_unexpected_exit = on_unexpected_exit,
                                   .ctx = run };

  if (!g_file_set_contents (file, settings, -1, error))
    return FALSE;
  Process *process = process_new (&options, error);
  if (process == NULL)
    return FALSE;
  g_ptr_array_add (into, process);
  return TRUE;
}

static gboolean
start_entry (Run *run, uint32_t index, GError **error)
{
  g_autofree char *name = g_strdup_printf ("entry-%u", index);
  g_autofree char *ip = soak_ip (&run->soak, SOAK_ENTRY, index);
  g_autofree char *store_ip = soak_ip (&run->soak, SOAK_STORE_PROXY, index);
  g_autofree char *settings = g_strdup_printf (
      "name = \"%s\"\nip = \"%s\"\ncallers.listen = \"%s:29161\"\ncallers.ready = \"%s:29167\"\n"
      "internal.metrics_port = 29121\nstore.address = \"%s:%d\"\n",
      name, ip, ip, ip, store_ip, STORE_PORT);

  return add_store_proxy (run, index, error)
         && start_program (run, "acacia-scheduler", name, settings, run->targets.entries, error);
}

static gboolean
start_agent (Run *run, uint32_t index, GError **error)
{
  uint32_t store_index = run->soak.options->n_entries + index;
  g_autofree char *name = g_strdup_printf ("agent-%u", index);
  g_autofree char *ip = soak_ip (&run->soak, SOAK_AGENT, index);
  g_autofree char *store_ip = soak_ip (&run->soak, SOAK_STORE_PROXY, store_index);
  g_autofree char *proxy_ip = soak_ip (&run->soak, SOAK_WORKER_PROXY, index);
  g_autofree char *worker_ip = soak_ip (&run->soak, SOAK_WORKER, index);
  g_autofree char *settings = g_strdup_printf (
      "name = \"%s\"\nip = \"%s\"\nworker.listen = \"%s:29166\"\nworker.call = \"%s:%d\"\n"
      "internal.metrics_port = 29121\nstore.address = \"%s:%d\"\n",
      name, ip, ip, proxy_ip, WORKER_PORT, store_ip, STORE_PORT);

  return add_store_proxy (run, store_index, error)
         && add_proxy (run, proxy_ip, worker_ip, WORKER_PORT, error)
         && start_program (run, "acacia-worker", name, settings, run->targets.agents, error);
}

static void on_config_written (void *ctx, const StoreAnswer *answer);

/* Writes the configuration; retried until the store has accepted it. */
static gboolean
write_config (gpointer data)
{
  Run *run = data;
  g_autofree char *value = g_strdup_printf (
      "{\"version\":1,\"routes\":[{\"name\":\"jobs\",\"host\":\"%s\",\"path_prefix\":\"%s\","
      "\"service\":\"%s\",\"max_attempts\":%d}],\"services\":[{\"name\":\"%s\"}]}",
      SOAK_HOST, SOAK_PREFIX, SOAK_SERVICE, SOAK_ATTEMPTS_MAX, SOAK_SERVICE);
  g_autoptr (GByteArray) records = g_byte_array_new ();

  store_add_record (records, OPERATOR_CONFIG_KEY, value, strlen (value));
  const StoreAppend append = {
    .topic = OPERATOR_TOPIC, .records = records, .expected_end = -1, .timeout_ms = CONFIG_TIMEOUT_MS
  };
  store_append (run->store, &append, on_config_written, run);
  return G_SOURCE_REMOVE;
}

static void
on_config_written (void *ctx, const StoreAnswer *answer)
{
  if (answer->outcome != STORE_OK)
    (void) g_timeout_add (CONFIG_RETRY_MS, write_config, ctx);
}

static gboolean
start_all (Run *run, GError **error)
{
  const SoakOptions *options = run->soak.options;
  const WorkersOptions workers = { &run->soak, run->checker, run->client };

  run->targets.entries = g_ptr_array_new_with_free_func ((GDestroyNotify) process_free);
  run->targets.agents = g_ptr_array_new_with_free_func ((GDestroyNotify) process_free);
  run->targets.proxies = g_ptr_array_new_with_free_func ((GDestroyNotify) proxy_free);
  run->targets.soak = &run->soak;
  if (!start_store (run, error))
    return FALSE;
  for (uint32_t i = 0; i < options->n_entries; i++)
    {
      if (!start_entry (run, i, error))
        return FALSE;
    }
  for (uint32_t i = 0; i < options->n_workers; i++)
    {
      if (!start_agent (run, i, error))
        return FALSE;
    }
  run->workers = workers_new (&workers, error);
  run->targets.workers = run->workers;
  return run->workers != NULL;
}

/* Notes what the store stand-in has newly reported. */
static void
check_store_log (Run *run)
{
  g_autofree char *path = g_build_filename (run->soak.options->folder, "store.log", NULL);
  g_autofree char *text = NULL;
  uint32_t n_broken = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (!g_str_has_prefix (*line, STORE_BROKEN) || ++n_broken <= run->n_store_broken)
        continue;
      run->n_store_broken = n_broken;
      soak_log (&run->soak, "BROKEN: %s", *line);
    }
}

/* A suspended machine disturbs all processes, so the undisturbed period starts again. */
static gboolean
on_clock_check (gpointer data)
{
  Run *run = data;
  int64_t now_ms = soak_now_ms (&run->soak);

  check_store_log (run);
  if (now_ms - run->clock_checked_ms > STALL_MS)
    {
      soak_log (&run->soak, "the soak was suspended for %" G_GINT64_FORMAT " ms",
                now_ms - run->clock_checked_ms);
      if (run->calm_since_ms != 0)
        run->calm_since_ms = now_ms;
      checker_check_idle (run->checker, now_ms, FALSE);
    }
  if (workers_take_crash (run->workers) && run->calm_since_ms != 0)
    {
      run->calm_since_ms = now_ms;
      checker_check_idle (run->checker, now_ms, FALSE);
    }
  run->clock_checked_ms = now_ms;
  if (run->calm_since_ms != 0 && now_ms - run->calm_since_ms > UNDISTURBED_MS)
    checker_check_idle (run->checker, now_ms, workers_half_free (run->workers));
  return G_SOURCE_CONTINUE;
}

static gboolean
on_finish_check (gpointer data)
{
  Run *run = data;
  int64_t now_ms = soak_now_ms (&run->soak);

  int64_t calm_ms = now_ms - run->calm_since_ms;
  if (calm_ms < CALM_MIN_MS || (calm_ms < FINISH_MS && !checker_is_finished (run->checker)))
    return G_SOURCE_CONTINUE;
  checker_check_end (run->checker);
  g_main_loop_quit (run->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
on_recovered (gpointer data)
{
  Run *run = data;

  if (run->roll != NULL)
    run->n_not_rolled = roll_count_unfinished (run->roll);
  callers_stop (run->callers);
  run->calm_since_ms = soak_now_ms (&run->soak);
  soak_log (&run->soak, "no new jobs");
  (void) g_timeout_add (FINISH_CHECK_MS, on_finish_check, run);
  return G_SOURCE_REMOVE;
}

static gboolean
on_faults_over (gpointer data)
{
  Run *run = data;

  faults_end (&run->targets);
  if (run->roll != NULL)
    roll_finish (run->roll);
  (void) g_timeout_add (RECOVERY_MS, on_recovered, run);
  return G_SOURCE_REMOVE;
}

static gboolean
on_signal (gpointer data)
{
  Run *run = data;

  run->was_stopped = TRUE;
  g_main_loop_quit (run->loop);
  return G_SOURCE_CONTINUE;
}

static void
end_processes (Run *run)
{
  g_ptr_array_unref (run->targets.entries);
  g_ptr_array_unref (run->targets.agents);
  if (run->targets.store != NULL)
    process_free (run->targets.store);
}

static void
begin_roll (Run *run)
{
  const RollOptions options = { &run->soak, run->targets.entries, run->targets.agents };

  if (run->soak.options->previous != NULL)
    run->roll = roll_new (&options);
}

static int
run_phases (Run *run)
{
  const SoakOptions *options = run->soak.options;
  g_autoptr (GError) error = NULL;
  const CallersOptions callers = { &run->soak, run->checker, run->client };

  if (!start_all (run, &error))
    {
      (void) fprintf (stderr, "acacia-soak: %s\n", error->message);
      end_processes (run);
      return 2;
    }
  (void) write_config (run);
  (void) g_timeout_add (CLOCK_CHECK_MS, on_clock_check, run);
  run->callers = callers_new (&callers);
  if (!options->is_roll_only)
    faults_begin (&run->targets);
  begin_roll (run);
  (void) g_unix_signal_add (SIGTERM, on_signal, run);
  (void) g_unix_signal_add (SIGINT, on_signal, run);
  (void) g_timeout_add_seconds (options->fault_s, on_faults_over, run);
  g_main_loop_run (run->loop);
  end_processes (run);
  check_store_log (run);
  g_autofree char *summary = checker_summary (run->checker);
  const char *roll = run->roll == NULL ? "" : options->is_back ? " roll=back" : " roll=forward";
  (void) printf ("seed=%u %s own_ends=%u store_broken=%u%s%s\n", options->seed, summary,
                 run->n_unexpected_exits, run->n_store_broken, roll,
                 run->was_stopped ? " stopped" : "");
  return run->was_stopped || checker_n_violations (run->checker) > 0 || run->n_unexpected_exits > 0
         || run->n_not_rolled > 0 || run->n_store_broken > 0;
}

static int
soak_run (const SoakOptions *options)
{
  Run run = { .soak = { .options = options } };
  g_autofree char *path = g_build_filename (options->folder, "journal", NULL);

  run.soak.journal = fopen (path, "w");
  if (run.soak.journal == NULL)
    {
      (void) fprintf (stderr, "acacia-soak: cannot write %s\n", path);
      return 2;
    }
  g_random_set_seed (options->seed);
  run.soak.rand = g_rand_new_with_seed (options->seed);
  run.soak.start_us = clk_now_us ();
  run.checker = checker_new (&run.soak);
  run.client = net_client_new ();
  run.loop = g_main_loop_new (NULL, FALSE);
  int code = run_phases (&run);
  net_client_free (run.client);
  store_free (run.store);
  checker_free (run.checker);
  callers_free (run.callers);
  if (run.roll != NULL)
    roll_free (run.roll);
  g_rand_free (run.soak.rand);
  g_main_loop_unref (run.loop);
  (void) fclose (run.soak.journal);
  return code;
}

static uint32_t
count_of (const struct arg_int *argument, uint32_t fallback, uint32_t most)
{
  if (argument->count == 0)
    return fallback;
  return (uint32_t) CLAMP (argument->ival[0], 0, (int) most);
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the faults and the load (1)");
  struct arg_int *slot = arg_int0 (NULL, "slot", "N", "loopback addresses to use, 0 to 99 (0)");
  struct arg_int *entries = arg_int0 (NULL, "entries", "N", "entries (3)");
  struct arg_int *workers = arg_int0 (NULL, "workers", "N", "workers, each with an agent (4)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "N", "duration of the fault phase (20)");
  struct arg_str *bin = arg_str1 (NULL, "bin", "DIR", "directory of the programs");
  struct arg_str *previous
      = arg_str0 (NULL, "previous", "DIR", "programs of an older build; processes are rolled");
  struct arg_lit *back = arg_lit0 (NULL, "back", "roll from --bin to --previous");
  struct arg_int *successions
      = arg_int0 (NULL, "successions", "N", "successions of owners in the roll (0 or 1, by seed)");
  struct arg_lit *roll_only = arg_lit0 (NULL, "roll-only", "no faults but those of the roll");
  struct arg_str *folder = arg_str1 (NULL, "out", "DIR", "existing directory for logs");
  struct arg_int *deadly
      = arg_int0 (NULL, "deadly", "PERCENT", "jobs with a task that crashes its workers (0)");
  struct arg_str *only
      = arg_str0 (NULL, "only", "KIND", "inject only " WORKER_FAULT_KINDS " (all kinds of faults)");
  struct arg_lit *open = arg_lit0 (NULL, "open", "also inject worker faults that show open faults");
  struct arg_end *end = arg_end (8);
  void *table[] = { seed,        slot,      entries, workers, seconds, bin,  previous, back,
                    successions, roll_only, folder,  deadly,  only,    open, end };

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "acacia-soak");
      (void) fprintf (stderr, "Usage: acacia-soak");
      arg_print_syntax (stderr, table, "\n");
      arg_print_glossary (stderr, table, "  %-16s %s\n");
      (void) fprintf (
          stderr, "Exit codes: 0 all checks passed, 1 a check failed, 2 the soak could not run.\n");
      arg_freetable (table, G_N_ELEMENTS (table));
      return 2;
    }
  const SoakOptions options = { .seed = count_of (seed, 1, G_MAXINT32),
                                .slot = count_of (slot, 0, 99),
                                .n_entries = MAX (count_of (entries, 3, SOAK_ENTRIES_MAX), 1),
                                .n_workers = MAX (count_of (workers, 4, SOAK_WORKERS_MAX), 1),
                                .fault_s = count_of (seconds, 20, 3600),
                                .deadly_percent = count_of (deadly, 0, 100),
                                .has_open_faults = open->count > 0,
                                .only = only->count > 0 ? only->sval[0] : NULL,
                                .bin = bin->sval[0],
                                .previous = previous->count > 0 ? previous->sval[0] : NULL,
                                .is_back = back->count > 0,
                                .n_successions = count_of (successions, 0, 100),
                                .is_roll_only = roll_only->count > 0,
                                .folder = folder->sval[0] };
  if (options.previous == NULL
      && (options.is_back || options.is_roll_only || options.n_successions > 0))
    {
      (void) fprintf (stderr,
                      "acacia-soak: --back, --successions and --roll-only need --previous\n");
      arg_freetable (table, G_N_ELEMENTS (table));
      return 2;
    }
  if (options.only != NULL && !worker_faults_is_kind (options.only))
    {
      (void) fprintf (stderr, "acacia-soak: --only %s: expected " WORKER_FAULT_KINDS "\n",
                      options.only);
      arg_freetable (table, G_N_ELEMENTS (table));
      return 2;
    }
  int code = soak_run (&options);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
