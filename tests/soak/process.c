#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/err.h"

/** Interval at which a new process is asked whether it handles SIGTERM. */
#define TERM_POLL_MS 1

struct Process
{
  const Soak *soak;
  char *name;
  char *program;
  char **arguments;
  SoakBuild build;
  SoakBuild running_build;
  void (*on_unexpected_exit) (void *ctx, const char *name, int status);
  void *ctx;
  GPid pid; /**< 0: not running */
  guint watch;
  guint pause;
  guint term;      /**< SIGTERM waits until the process handles it; 0: none waits */
  int sent_signal; /**< signal that was sent; 0: none */
  uint32_t restart_delay_ms;
};

/* The child is killed when the soak ends for any reason. It has its own process group because the
 * kernel sends SIGHUP to an orphaned group that has a stopped process when a shell exits. */
static void
in_child (gpointer data)
{
  (void) data;
  (void) setpgid (0, 0);
  (void) prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void on_ended (GPid pid, gint status, gpointer data);

static void
cancel_term (Process *process)
{
  if (process->term != 0)
    g_source_remove (process->term);
  process->term = 0;
}

static gboolean
launch (Process *process, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("%s/%s.log", process->soak->options->folder, process->name);
  g_autofree char *program = soak_program (process->soak, process->build, process->program);
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();
  int log = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

  g_strv_builder_add (builder, program);
  g_strv_builder_addv (builder, (const char **) process->arguments);
  g_auto (GStrv) argv = g_strv_builder_end (builder);
  gboolean is_started = g_spawn_async_with_fds (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                                in_child, NULL, &process->pid, -1, log, log, error);
  (void) close (log);
  if (!is_started)
    return FALSE;
  if (process->soak->options->previous != NULL)
    soak_log (process->soak, "%s runs the %s build, process %d", process->name,
              soak_build_name (process->build), process->pid);
  process->running_build = process->build;
  process->sent_signal = 0;
  process->watch = g_child_watch_add (process->pid, on_ended, process);
  return TRUE;
}

static gboolean
on_restart_due (gpointer data)
{
  Process *process = data;
  g_autoptr (GError) error = NULL;

  soak_log (process->soak, "%s restarts", process->name);
  if (!launch (process, &error))
    soak_log (process->soak, "%s: %s", process->name, error->message);
  return G_SOURCE_REMOVE;
}

static void
on_ended (GPid pid, gint status, gpointer data)
{
  Process *process = data;

  g_spawn_close_pid (pid);
  process->pid = 0;
  process->watch = 0;
  if (process->pause != 0)
    g_source_remove (process->pause);
  process->pause = 0;
  cancel_term (process);
  gboolean is_clean
      = process->sent_signal == SIGKILL || (process->sent_signal == SIGTERM && status == 0);
  if (!is_clean && process->on_unexpected_exit != NULL)
    process->on_unexpected_exit (process->ctx, process->name, status);
  (void) g_timeout_add (process->restart_delay_ms, on_restart_due, process);
}

Process *
process_new (const ProcessOptions *options, GError **error)
{
  Process *process = g_new0 (Process, 1);

  process->soak = options->soak;
  process->name = g_strdup (options->name);
  process->program = g_strdup (options->program);
  process->arguments = g_strdupv ((char **) options->arguments);
  process->build = options->build;
  process->on_unexpected_exit = options->on_unexpected_exit;
  process->ctx = options->ctx;
  if (launch (process, error))
    return process;
  process_free (process);
  return NULL;
}

void
process_free (Process *process)
{
  if (process->watch != 0)
    g_source_remove (process->watch);
  if (process->pause != 0)
    g_source_remove (process->pause);
  cancel_term (process);
  if (process->pid != 0)
    {
      (void) kill (process->pid, SIGKILL);
      (void) waitpid (process->pid, NULL, 0);
    }
  g_strfreev (process->arguments);
  g_free (process->program);
  g_free (process->name);
  g_free (process);
}

void
process_set_build (Process *process, SoakBuild build)
{
  process->build = build;
}

SoakBuild
process_build (const Process *process)
{
  return process->build;
}

SoakBuild
process_running_build (const Process *process)
{
  return process->running_build;
}

const char *
process_name (const Process *process)
{
  return process->name;
}

static gboolean
on_pause_over (gpointer data)
{
  Process *process = data;

  process->pause = 0;
  soak_log (process->soak, "%s resumes", process->name);
  if (process->pid != 0)
    (void) kill (process->pid, SIGCONT);
  return G_SOURCE_REMOVE;
}

void
process_pause (Process *process, uint32_t for_ms)
{
  if (process->pid == 0 || process->pause != 0)
    return;
  soak_log (process->soak, "%s is suspended for %u ms", process->name, for_ms);
  (void) kill (process->pid, SIGSTOP);
  process->pause = g_timeout_add (for_ms, on_pause_over, process);
}

/* Until a process handles SIGTERM, the signal ends it with status 15. */
static gboolean
handles_term (const Process *process)
{
  const char *set = "\nSigCgt:";
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", process->pid);
  g_autofree char *status = NULL;

  if (!g_file_get_contents (path, &status, NULL, NULL))
    return FALSE;
  const char *row = strstr (status, set);
  return row != NULL
         && (g_ascii_strtoull (row + strlen (set), NULL, 16) & (1ULL << (SIGTERM - 1))) != 0;
}

static void
send_signal (Process *process, int signal_number)
{
  soak_log (process->soak, "%s gets signal %d, restarts after %u ms", process->name, signal_number,
            process->restart_delay_ms);
  process->sent_signal = signal_number;
  (void) kill (process->pid, signal_number);
}

static gboolean
on_term_due (gpointer data)
{
  Process *process = data;

  if (!handles_term (process))
    return G_SOURCE_CONTINUE;
  process->term = 0;
  send_signal (process, SIGTERM);
  return G_SOURCE_REMOVE;
}

void
process_restart (Process *process, int signal_number, uint32_t restart_delay_ms)
{
  gboolean is_ending = process->sent_signal != 0 || process->term != 0;

  if (process->pid == 0 || (is_ending && signal_number != SIGKILL))
    return;
  cancel_term (process);
  process->restart_delay_ms = restart_delay_ms;
  if (signal_number == SIGTERM && !handles_term (process))
    process->term = g_timeout_add (TERM_POLL_MS, on_term_due, process);
  else
    send_signal (process, signal_number);
}
