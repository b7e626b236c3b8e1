#include "roll.h"

#include <signal.h>

/** The first step follows this long after the start, and the last one this long before the end of
 * the fault phase. */
#define FIRST_MS 4000
#define LAST_MS 1000
#define DOWN_MIN_MS 50
#define DOWN_MAX_MS 1500
#define KILL_PERCENT 25
#define TAKE_BACK_PERCENT 50
/** A fault phase shorter than this has no succession. */
#define SUCCESSION_PHASE_S 20
#define SUCCESSION_PERCENT 60
#define SUCCESSION_MS 12000

struct Roll
{
  RollOptions options;
  GRand *rand;
  SoakBuild first;
  SoakBuild last;
  GPtrArray *order;  /**< Process, in the order of the roll */
  uint32_t n_rolled; /**< processes at the front of the order that are on the final build */
  uint32_t turn_at;  /**< the roll is taken back after this many processes; 0: never */
  uint32_t resume_at;
  gboolean is_taken_back;
  uint32_t n_successions; /**< successions that are left, half-way through the order */
  uint32_t step_ms;       /**< longest interval between steps */
  Process *agent;         /**< agent of the succession */
};

static uint32_t
draw (Roll *roll, uint32_t from, uint32_t to)
{
  return (uint32_t) g_rand_int_range (roll->rand, (gint32) from, (gint32) to);
}

static gboolean
draw_percent (Roll *roll, uint32_t percent)
{
  return draw (roll, 0, 100) < percent;
}

static int
draw_signal (Roll *roll)
{
  return draw_percent (roll, KILL_PERCENT) ? SIGKILL : SIGTERM;
}

static GPtrArray *
shuffled (Roll *roll, const GPtrArray *from)
{
  GPtrArray *to = g_ptr_array_new ();

  for (guint i = 0; i < from->len; i++)
    g_ptr_array_insert (to, (gint) draw (roll, 0, to->len + 1), g_ptr_array_index (from, i));
  return to;
}

/* Spreads the entries evenly among the agents. */
static void
draw_order (Roll *roll)
{
  g_autoptr (GPtrArray) entries = shuffled (roll, roll->options.entries);
  g_autoptr (GPtrArray) agents = shuffled (roll, roll->options.agents);
  guint n_entries = 0;
  guint n_agents = 0;

  while (n_entries + n_agents < entries->len + agents->len)
    {
      gboolean is_entry = n_entries * agents->len <= n_agents * entries->len;
      if (is_entry && n_entries < entries->len)
        g_ptr_array_add (roll->order, g_ptr_array_index (entries, n_entries++));
      else
        g_ptr_array_add (roll->order, g_ptr_array_index (agents, n_agents++));
    }
}

static void
draw_plan (Roll *roll)
{
  const SoakOptions *options = roll->options.soak->options;
  uint32_t phase_ms = options->fault_s * 1000;
  uint32_t taken_ms = FIRST_MS + LAST_MS;

  draw_order (roll);
  uint32_t n_steps = roll->order->len;
  if (draw_percent (roll, TAKE_BACK_PERCENT))
    {
      roll->turn_at = draw (roll, 1, roll->order->len);
      roll->resume_at = draw (roll, 0, roll->turn_at);
      n_steps += 2 * (roll->turn_at - roll->resume_at);
    }
  gboolean has_succession = draw_percent (roll, SUCCESSION_PERCENT);
  if (options->n_successions > 0)
    roll->n_successions = options->n_successions;
  else if (has_succession && options->fault_s >= SUCCESSION_PHASE_S)
    roll->n_successions = 1;
  taken_ms += roll->n_successions * SUCCESSION_MS;
  roll->step_ms = phase_ms > taken_ms ? (phase_ms - taken_ms) / n_steps : 0;
}

static void
move (Roll *roll, Process *process, SoakBuild build)
{
  process_set_build (process, build);
  process_restart (process, draw_signal (roll), draw (roll, DOWN_MIN_MS, DOWN_MAX_MS));
}

static void
end_entries (Roll *roll, SoakBuild build, uint32_t down_ms)
{
  int signal_number = draw_signal (roll);

  for (guint i = 0; i < roll->options.entries->len; i++)
    {
      Process *entry = g_ptr_array_index (roll->options.entries, i);
      if (process_build (entry) == build)
        process_restart (entry, signal_number, down_ms);
    }
}

static gboolean
on_newer_own_again (gpointer data)
{
  Roll *roll = data;

  if (roll->options.soak->is_fault_phase_over)
    return G_SOURCE_REMOVE;
  process_pause (roll->agent, draw (roll, 1500, 4500));
  end_entries (roll, SOAK_OLDER, draw (roll, 1000, 3000));
  return G_SOURCE_REMOVE;
}

static gboolean
on_older_own (gpointer data)
{
  Roll *roll = data;

  if (roll->options.soak->is_fault_phase_over)
    return G_SOURCE_REMOVE;
  end_entries (roll, SOAK_NEWER, draw (roll, 500, 1500));
  (void) g_timeout_add (draw (roll, 2000, 5500), on_newer_own_again, roll);
  return G_SOURCE_REMOVE;
}

static gboolean
on_agent_due (gpointer data)
{
  Roll *roll = data;

  if (roll->options.soak->is_fault_phase_over)
    return G_SOURCE_REMOVE;
  process_pause (roll->agent, draw (roll, 2000, 3500));
  (void) g_timeout_add (draw (roll, 1500, 2500), on_older_own, roll);
  return G_SOURCE_REMOVE;
}

/* The newer, the older and again the newer build own the jobs, and the agent is suspended when the
 * first and the second of them leave. */
static void
begin_succession (Roll *roll)
{
  roll->agent = g_ptr_array_index (roll->options.agents, draw (roll, 0, roll->options.agents->len));
  soak_log (roll->options.soak, "succession of owners, with %s", process_name (roll->agent));
  end_entries (roll, SOAK_OLDER, draw (roll, 1000, 2000));
  (void) g_timeout_add (draw (roll, 500, 1000), on_agent_due, roll);
}

static void
step (Roll *roll)
{
  if (roll->is_taken_back)
    {
      move (roll, g_ptr_array_index (roll->order, --roll->n_rolled), roll->first);
      roll->is_taken_back = roll->n_rolled > roll->resume_at;
      return;
    }
  move (roll, g_ptr_array_index (roll->order, roll->n_rolled++), roll->last);
  if (roll->n_rolled != roll->turn_at)
    return;
  soak_log (roll->options.soak, "the roll is taken back");
  roll->turn_at = 0;
  roll->is_taken_back = TRUE;
}

static gboolean
on_step (gpointer data)
{
  Roll *roll = data;

  if (roll->options.soak->is_fault_phase_over || roll->n_rolled == roll->order->len)
    return G_SOURCE_REMOVE;
  if (roll->n_successions > 0 && !roll->is_taken_back && roll->n_rolled == roll->order->len / 2)
    {
      roll->n_successions--;
      begin_succession (roll);
      (void) g_timeout_add (SUCCESSION_MS, on_step, roll);
      return G_SOURCE_REMOVE;
    }
  step (roll);
  (void) g_timeout_add (draw (roll, roll->step_ms / 2, roll->step_ms + 1), on_step, roll);
  return G_SOURCE_REMOVE;
}

Roll *
roll_new (const RollOptions *options)
{
  Roll *roll = g_new0 (Roll, 1);
  const guint32 seed[] = { options->soak->options->seed, 1 };

  roll->options = *options;
  roll->rand = g_rand_new_with_seed_array (seed, G_N_ELEMENTS (seed));
  roll->first = options->soak->options->is_back ? SOAK_NEWER : SOAK_OLDER;
  roll->last = options->soak->options->is_back ? SOAK_OLDER : SOAK_NEWER;
  roll->order = g_ptr_array_new ();
  draw_plan (roll);
  (void) g_timeout_add (FIRST_MS, on_step, roll);
  return roll;
}

void
roll_free (Roll *roll)
{
  g_ptr_array_unref (roll->order);
  g_rand_free (roll->rand);
  g_free (roll);
}

void
roll_finish (Roll *roll)
{
  for (guint i = 0; i < roll->order->len; i++)
    {
      Process *process = g_ptr_array_index (roll->order, i);
      process_set_build (process, roll->last);
      if (process_running_build (process) != roll->last)
        process_restart (process, SIGTERM, DOWN_MIN_MS);
    }
}

uint32_t
roll_count_unfinished (const Roll *roll)
{
  uint32_t n_unfinished = 0;

  for (guint i = 0; i < roll->order->len; i++)
    {
      const Process *process = g_ptr_array_index (roll->order, i);
      if (process_running_build (process) == roll->last)
        continue;
      soak_log (roll->options.soak, "BROKEN: %s has not been rolled to the %s build",
                process_name (process), soak_build_name (roll->last));
      n_unfinished++;
    }
  return n_unfinished;
}
