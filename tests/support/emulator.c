#include <string.h>

#include "support/emulator_private.h"

uint64_t
emu_random (Emulator *emu)
{
  uint64_t value = emu->random += 0x9e3779b97f4a7c15ULL;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

int64_t
emu_between (Emulator *emu, int64_t low, int64_t high)
{
  return low + (int64_t) (emu_random (emu) % (uint64_t) (high - low + 1));
}

gboolean
emu_chance (Emulator *emu, uint32_t percent)
{
  return emu_random (emu) % 100 < percent;
}

uint64_t
emu_serial (Emulator *emu)
{
  return ++emu->n_serials;
}

static gboolean
is_before (const EmuEvent *a, const EmuEvent *b)
{
  return a->time_us < b->time_us || (a->time_us == b->time_us && a->order < b->order);
}

static void
push_event (Emulator *emu, const EmuEvent *event)
{
  guint at = emu->events->len;

  g_array_append_val (emu->events, *event);
  EmuEvent *heap = &g_array_index (emu->events, EmuEvent, 0);
  while (at > 0 && is_before (event, &heap[(at - 1) / 2]))
    {
      heap[at] = heap[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  heap[at] = *event;
}

static EmuEvent
pop_event (Emulator *emu)
{
  EmuEvent *heap = &g_array_index (emu->events, EmuEvent, 0);
  const EmuEvent first = heap[0];
  const EmuEvent last = heap[emu->events->len - 1];
  guint n_events = emu->events->len - 1;
  guint at = 0;

  for (guint child = 1; child < n_events; child = 2 * at + 1)
    {
      if (child + 1 < n_events && is_before (&heap[child + 1], &heap[child]))
        child++;
      if (!is_before (&heap[child], &last))
        break;
      heap[at] = heap[child];
      at = child;
    }
  heap[at] = last;
  g_array_set_size (emu->events, n_events);
  return first;
}

void
emu_after (Emulator *emu,
           int64_t delay_us,
           EmuProcess *process,
           EmuFn fn,
           gpointer ctx,
           gpointer data,
           GDestroyNotify free)
{
  const EmuEvent event = { .time_us = emu->now_us + MAX (delay_us, 0),
                           .order = ++emu->n_orders,
                           .process = process,
                           .life = process != NULL ? process->life : 0,
                           .fn = fn,
                           .ctx = ctx,
                           .data = data,
                           .free = free };

  push_event (emu, &event);
}

static void
free_data (const EmuEvent *event)
{
  if (event->free != NULL)
    event->free (event->data);
}

/* A frozen process handles its events afterwards, in order. */
static void
play_event (Emulator *emu, EmuEvent *event)
{
  EmuProcess *process = event->process;

  if (process != NULL && process->life == event->life && process->frozen_until_us > event->time_us)
    {
      event->time_us = process->frozen_until_us;
      push_event (emu, event);
      return;
    }
  emu->now_us = event->time_us;
  if (process == NULL || process->life == event->life)
    {
      emu->result->n_events++;
      event->fn (event->ctx, event->data);
    }
  free_data (event);
}

void
emu_process_start (Emulator *emu, EmuProcess *process)
{
  process->life = emu_serial (emu);
  process->is_up = TRUE;
  process->frozen_until_us = 0;
}

void
emu_process_end (Emulator *emu, EmuProcess *process)
{
  process->life = emu_serial (emu);
  process->is_up = FALSE;
  process->frozen_until_us = 0;
}

void
emu_trace (Emulator *emu, const char *who, const char *format, ...)
{
  GString *trace = emu->result->trace;
  va_list args;

  g_string_append_printf (trace, "%7" G_GINT64_FORMAT ".%03d %s ", emu->now_us / CLK_US_PER_MS,
                          (int) (emu->now_us % CLK_US_PER_MS), who);
  va_start (args, format);
  g_string_append_vprintf (trace, format, args);
  va_end (args);
  g_string_append_c (trace, '\n');
}

EmulatorOptions
emulator_options (uint64_t seed)
{
  return (EmulatorOptions){ .seed = seed,
                            .n_entries = 4,
                            .n_agents = 6,
                            .trouble_ms = 30000,
                            .quiet_ms = 30000,
                            .has_late_calls = seed % 4 != 0,
                            .has_older_builds = seed % 2 == 0 };
}

static void
start_all (Emulator *emu)
{
  for (uint32_t i = 0; i < emu->options.n_entries; i++)
    {
      EmuEntry *entry = &emu->entries[i];
      entry->emu = emu;
      entry->index = i;
      (void) g_snprintf (entry->process.name, sizeof entry->process.name, "entry-%u", i);
      entry->claim_delay_us = emu_between (emu, 0, 300) * CLK_US_PER_MS;
      entry->is_older = emu->options.has_older_builds && emu_chance (emu, 50);
      emu_entry_start (entry);
    }
  for (uint32_t i = 0; i < emu->options.n_agents; i++)
    {
      EmuAgent *agent = &emu->agents[i];
      EmuWorker *worker = &emu->workers[i];
      agent->emu = worker->emu = emu;
      agent->index = worker->index = i;
      (void) g_snprintf (agent->process.name, sizeof agent->process.name, "agent-%u", i);
      (void) g_snprintf (worker->process.name, sizeof worker->process.name, "worker-%u", i);
      agent->is_older = emu->options.has_older_builds && emu_chance (emu, 50);
      emu_agent_start (agent);
      emu_worker_start (worker, FALSE);
    }
}

static void
clear_all (Emulator *emu)
{
  for (guint i = 0; i < emu->events->len; i++)
    free_data (&g_array_index (emu->events, EmuEvent, i));
  g_array_unref (emu->events);
  for (uint32_t i = 0; i < emu->options.n_entries; i++)
    emu_entry_kill (&emu->entries[i]);
  for (uint32_t i = 0; i < emu->options.n_agents; i++)
    {
      emu_agent_kill (&emu->agents[i]);
      emu_worker_clear (&emu->workers[i]);
    }
  emu_store_clear (emu);
  emu_check_free (emu->check);
  queue_config_free (emu->config);
  g_free (emu);
}

EmulatorResult *
emulator_play (const EmulatorOptions *options)
{
  Emulator *emu = g_new0 (Emulator, 1);
  EmulatorResult *result = g_new0 (EmulatorResult, 1);

  g_assert (options->n_entries <= EMU_ENTRIES_MAX && options->n_agents <= EMU_AGENTS_MAX);
  result->violations = g_string_new (NULL);
  result->trace = g_string_sized_new (1 << 16);
  emu->options = *options;
  emu->result = result;
  emu->random = options->seed * 0x2545f4914f6cdd1dULL + 1;
  emu->now_us = 1000000;
  emu->end_us = emu->now_us + (options->trouble_ms + options->quiet_ms) * CLK_US_PER_MS;
  emu->events = g_array_new (FALSE, FALSE, sizeof (EmuEvent));
  emu->config = emu_config_new (1, TRUE);
  emu_store_init (emu);
  emu->check = emu_check_new (emu);
  emu_faults_schedule (emu);
  emu_check_add_jobs (emu);
  emu_config_schedule (emu);
  start_all (emu);
  while (emu->events->len > 0 && g_array_index (emu->events, EmuEvent, 0).time_us <= emu->end_us)
    {
      EmuEvent event = pop_event (emu);
      play_event (emu, &event);
    }
  emu_check_finish (emu);
  clear_all (emu);
  return result;
}

void
emulator_result_free (EmulatorResult *result)
{
  (void) g_string_free (result->violations, TRUE);
  (void) g_string_free (result->trace, TRUE);
  g_free (result);
}

static uint32_t
count_faults (const EmulatorOptions *options)
{
  g_autoptr (EmulatorResult) result = emulator_play (options);

  return result->violations->len > 0 ? result->n_faults : 0;
}

EmulatorOptions
emulator_shrink (const EmulatorOptions *options)
{
  EmulatorOptions best = *options;
  uint32_t n_faults = count_faults (options);
  gboolean is_smaller = TRUE;

  while (is_smaller)
    {
      is_smaller = FALSE;
      for (uint32_t i = 0; i < n_faults; i++)
        {
          EmulatorOptions fewer = best;
          fewer.skipped_faults |= 1ULL << i;
          if (fewer.skipped_faults == best.skipped_faults || count_faults (&fewer) == 0)
            continue;
          best = fewer;
          is_smaller = TRUE;
        }
    }
  return best;
}
