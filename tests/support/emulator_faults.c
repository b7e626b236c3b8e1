/* Faults of a schedule: kinds, times and targets, all chosen before it begins. */
#include "support/emulator_private.h"

typedef enum
{
  FAULT_ENTRY_KILL,
  FAULT_OWNER_KILL,
  FAULT_ENTRY_ROLL,
  FAULT_OWNER_ROLL,
  FAULT_ENTRY_FREEZE,
  FAULT_OWNER_FREEZE,
  FAULT_ENTRY_CUT,
  FAULT_OWNER_STORE_CUT,
  FAULT_ENTRY_STORE_CUT,
  FAULT_AGENT_KILL,
  FAULT_AGENT_ROLL,
  FAULT_AGENT_FREEZE,
  FAULT_AGENT_CUT,
  FAULT_LINK_CUT,
  FAULT_WORKER_CRASH,
  FAULT_WORKER_REBIRTH,
  FAULT_WORKER_DRAIN,
  FAULT_WORKER_TROUBLE,
  FAULT_INSTANCE_KILL,
  FAULT_STORE_SLOW,
  FAULT_STORE_DOWN,
  FAULT_STORE_LOSSY,
  FAULT_CLOCK_STEP,
  FAULT_ROLL_ENTRIES,
  FAULT_ROLL_AGENTS,
  FAULT_POWER,
  FAULT_COUNT,
} FaultKind;

static const char *const fault_names[FAULT_COUNT]
    = { "entry_kill",     "owner_kill",   "entry_roll",      "owner_roll",      "entry_freeze",
        "owner_freeze",   "entry_cut",    "owner_store_cut", "entry_store_cut", "agent_kill",
        "agent_roll",     "agent_freeze", "agent_cut",       "link_cut",        "worker_crash",
        "worker_rebirth", "worker_drain", "worker_trouble",  "instance_kill",   "store_slow",
        "store_down",     "store_lossy",  "clock_step",      "roll_entries",    "roll_agents",
        "power" };

/** Cuts of agents beside jobs that repeat: their number, and lengths around that of a lease, so
 * that ends are reported after other runs were started. */
#define REPEAT_CUTS 6
#define REPEAT_CUT_MIN_MS 4000
#define REPEAT_CUT_MAX_MS 8000

typedef struct
{
  Emulator *emu;
  uint32_t index;
  FaultKind kind;
  uint32_t entry;
  uint32_t agent;
  int64_t length_us;
  uint32_t ways; /**< bit 0: to the agent is cut, bit 1: to the owner */
  gboolean changes_build;
} Fault;

static EmuEntry *
owner_of (Emulator *emu)
{
  for (uint32_t i = 0; i < emu->options.n_entries; i++)
    {
      if (emu->entries[i].phase == EMU_OWNER_ACTIVE)
        return &emu->entries[i];
    }
  return NULL;
}

static void
start_entry (gpointer ctx, gpointer data)
{
  EmuEntry *entry = ctx;

  if (!entry->process.is_up && GPOINTER_TO_INT (data))
    entry->is_older = !entry->is_older;
  emu_entry_start (entry);
}

static void
start_agent (gpointer ctx, gpointer data)
{
  EmuAgent *agent = ctx;

  if (!agent->process.is_up && GPOINTER_TO_INT (data))
    agent->is_older = !agent->is_older;
  emu_agent_start (agent);
}

static void
start_worker (gpointer ctx, gpointer data)
{
  EmuWorker *worker = ctx;

  if (!worker->process.is_up)
    emu_worker_start (worker, GPOINTER_TO_INT (data));
}

static void
later (const Fault *fault, int64_t delay_us, EmuFn fn, gpointer ctx, gboolean flag)
{
  emu_after (fault->emu, delay_us, NULL, fn, ctx, GINT_TO_POINTER (flag), NULL);
}

static void
kill_entry (const Fault *fault, EmuEntry *entry)
{
  emu_entry_kill (entry);
  later (fault, fault->length_us, start_entry, entry, fault->changes_build);
}

/* The entry ends within 2.6 s of leaving. */
static void
roll_entry (const Fault *fault, EmuEntry *entry, int64_t delay_us)
{
  emu_entry_leave (entry);
  later (fault, delay_us + 2700 * CLK_US_PER_MS, start_entry, entry, fault->changes_build);
}

static void
roll_agent (const Fault *fault, EmuAgent *agent, int64_t delay_us)
{
  emu_agent_leave (agent);
  later (fault, delay_us + 100 * CLK_US_PER_MS, start_agent, agent, fault->changes_build);
}

static void
crash_worker (const Fault *fault, gboolean keeps_id)
{
  EmuWorker *worker = &fault->emu->workers[fault->agent];

  emu_worker_crash (worker);
  later (fault, fault->length_us, start_worker, worker, keeps_id);
}

static void
kill_agent (const Fault *fault, EmuAgent *agent)
{
  emu_agent_kill (agent);
  later (fault, fault->length_us, start_agent, agent, fault->changes_build);
}

static void
cut_link (const Fault *fault, uint32_t entry, uint32_t agent)
{
  EmuLink *link = &fault->emu->entries[entry].links[agent];
  int64_t until_us = fault->emu->now_us + fault->length_us;

  if (fault->ways & 1)
    link->to_agent.cut_until_us = MAX (link->to_agent.cut_until_us, until_us);
  if (fault->ways & 2)
    link->to_owner.cut_until_us = MAX (link->to_owner.cut_until_us, until_us);
}

static void
cut_all (const Fault *fault, gboolean is_of_entry)
{
  uint32_t n_peers = is_of_entry ? fault->emu->options.n_agents : fault->emu->options.n_entries;

  for (uint32_t i = 0; i < n_peers; i++)
    cut_link (fault, is_of_entry ? fault->entry : i, is_of_entry ? i : fault->agent);
}

static void
on_roll_entry (gpointer ctx, gpointer data)
{
  const Fault *fault = data;

  roll_entry (fault, ctx, 0);
}

static void
on_roll_agent (gpointer ctx, gpointer data)
{
  const Fault *fault = data;

  roll_agent (fault, ctx, 0);
}

/* Rolls all entries, or all agents, one after the other. */
static void
roll_all (const Fault *fault, gboolean is_of_entries)
{
  Emulator *emu = fault->emu;
  uint32_t n_all = is_of_entries ? emu->options.n_entries : emu->options.n_agents;

  for (uint32_t i = 0; i < n_all; i++)
    emu_after (emu, fault->length_us * i / 2, NULL, is_of_entries ? on_roll_entry : on_roll_agent,
               is_of_entries ? (gpointer) &emu->entries[i] : (gpointer) &emu->agents[i],
               g_memdup2 (fault, sizeof *fault), g_free);
}

static void
lose_power (Fault *fault)
{
  for (uint32_t i = 0; i < fault->emu->options.n_entries; i++)
    kill_entry (fault, &fault->emu->entries[i]);
  for (uint32_t i = 0; i < fault->emu->options.n_agents; i++)
    {
      fault->agent = i;
      kill_agent (fault, &fault->emu->agents[i]);
      crash_worker (fault, emu_chance (fault->emu, 50));
    }
}

static void
freeze (const Fault *fault, EmuProcess *process)
{
  if (process->is_up)
    process->frozen_until_us
        = MAX (process->frozen_until_us, fault->emu->now_us + fault->length_us);
}

static void
play_entry_fault (const Fault *fault, EmuEntry *entry)
{
  switch (fault->kind)
    {
    case FAULT_ENTRY_KILL:
    case FAULT_OWNER_KILL:
      kill_entry (fault, entry);
      break;
    case FAULT_ENTRY_ROLL:
    case FAULT_OWNER_ROLL:
      roll_entry (fault, entry, fault->length_us);
      break;
    case FAULT_ENTRY_FREEZE:
    case FAULT_OWNER_FREEZE:
      freeze (fault, &entry->process);
      break;
    case FAULT_ENTRY_CUT:
      cut_all (fault, TRUE);
      break;
    default:
      entry->store_cut_until_us = fault->emu->now_us + fault->length_us;
      break;
    }
}

static void
play_agent_fault (Fault *fault)
{
  Emulator *emu = fault->emu;
  EmuAgent *agent = &emu->agents[fault->agent];

  switch (fault->kind)
    {
    case FAULT_AGENT_KILL:
      kill_agent (fault, agent);
      break;
    case FAULT_AGENT_ROLL:
      roll_agent (fault, agent, fault->length_us);
      break;
    case FAULT_AGENT_FREEZE:
      freeze (fault, &agent->process);
      break;
    case FAULT_AGENT_CUT:
      cut_all (fault, FALSE);
      break;
    case FAULT_LINK_CUT:
      cut_link (fault, fault->entry, fault->agent);
      break;
    case FAULT_WORKER_CRASH:
    case FAULT_WORKER_REBIRTH:
      crash_worker (fault, fault->kind == FAULT_WORKER_REBIRTH);
      break;
    case FAULT_WORKER_DRAIN:
      emu_worker_drain (&emu->workers[fault->agent]);
      break;
    case FAULT_WORKER_TROUBLE:
      emu->workers[fault->agent].trouble_until_us = emu->now_us + fault->length_us;
      break;
    case FAULT_INSTANCE_KILL:
      kill_agent (fault, agent);
      crash_worker (fault, fault->ways & 1);
      break;
    default:
      agent->wall_offset_ms += (fault->ways & 1 ? 1 : -1) * fault->length_us / CLK_US_PER_MS * 4;
      break;
    }
}

static void
play_common_fault (Fault *fault)
{
  EmuStore *store = &fault->emu->store;
  int64_t until_us = fault->emu->now_us + fault->length_us;

  switch (fault->kind)
    {
    case FAULT_STORE_SLOW:
      store->slow_until_us = until_us;
      store->slow_ms = 20 + fault->length_us / CLK_US_PER_MS % 280;
      /* Other clients' appends are queued by the time that an entry notices. */
      if (fault->emu->options.has_store_queue)
        store->queue_free_us
            = fault->emu->now_us + emu_between (fault->emu, 0, 2000) * CLK_US_PER_MS;
      break;
    case FAULT_STORE_DOWN:
      store->down_until_us = until_us;
      break;
    case FAULT_STORE_LOSSY:
      store->lossy_until_us = until_us;
      break;
    case FAULT_ROLL_ENTRIES:
    case FAULT_ROLL_AGENTS:
      roll_all (fault, fault->kind == FAULT_ROLL_ENTRIES);
      break;
    default:
      lose_power (fault);
      break;
    }
}

static gboolean
is_at_owner (FaultKind kind)
{
  return kind == FAULT_OWNER_KILL || kind == FAULT_OWNER_ROLL || kind == FAULT_OWNER_FREEZE
         || kind == FAULT_OWNER_STORE_CUT;
}

static void
play_fault (gpointer ctx, gpointer data)
{
  Emulator *emu = ctx;
  Fault *fault = data;
  EmuEntry *owner = owner_of (emu);

  if (is_at_owner (fault->kind) && owner != NULL)
    fault->entry = owner->index;
  emu_trace (emu, "FAULT", "%u %s entry=%u agent=%u ms=%" G_GINT64_FORMAT " ways=%u", fault->index,
             fault_names[fault->kind], fault->entry, fault->agent, fault->length_us / CLK_US_PER_MS,
             fault->ways);
  if (fault->kind <= FAULT_ENTRY_STORE_CUT)
    play_entry_fault (fault, &emu->entries[fault->entry]);
  else if (fault->kind < FAULT_STORE_SLOW || fault->kind == FAULT_CLOCK_STEP)
    play_agent_fault (fault);
  else
    play_common_fault (fault);
}

/* Each schedule plays some of the kinds, half of them at one agent, so that they meet often. */
static FaultKind
choose_kind (Emulator *emu, uint64_t kinds)
{
  for (;;)
    {
      FaultKind kind = (FaultKind) emu_between (emu, 0, FAULT_COUNT - 1);
      if (kinds & (1ULL << kind))
        return kind;
    }
}

/* Draws from a generator of its own, so that the rest of the schedule is that of the seed. */
static void
schedule_repeat_cuts (Emulator *emu)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed ((guint32) emu->options.seed);

  for (uint32_t i = 0; i < REPEAT_CUTS; i++)
    {
      Fault *fault = g_new0 (Fault, 1);
      int64_t at_ms = g_rand_int_range (rand, 1500, (gint32) emu->options.trouble_ms - 1000);
      *fault = (Fault){
        .emu = emu,
        .index = EMULATOR_FAULTS_MAX + i,
        .kind = FAULT_AGENT_CUT,
        .agent = g_rand_int (rand) % emu->options.n_agents,
        .length_us = g_rand_int_range (rand, REPEAT_CUT_MIN_MS, REPEAT_CUT_MAX_MS) * CLK_US_PER_MS,
        .ways = 3,
      };
      emu_after (emu, at_ms * CLK_US_PER_MS, NULL, play_fault, emu, fault, g_free);
    }
}

void
emu_faults_schedule (Emulator *emu)
{
  uint64_t kinds = emu_random (emu);
  uint32_t n_faults = (uint32_t) emu_between (emu, 3, 30);
  uint32_t victim = (uint32_t) emu_between (emu, 0, emu->options.n_agents - 1);

  kinds &= emu_random (emu) & ((1ULL << FAULT_COUNT) - 1);
  if (kinds == 0)
    kinds = (1ULL << FAULT_COUNT) - 1;
  emu->result->n_faults = n_faults;
  for (uint32_t i = 0; i < n_faults; i++)
    {
      Fault *fault = g_new0 (Fault, 1);
      int64_t at_ms = emu_between (emu, 1500, emu->options.trouble_ms - 1000);
      gboolean is_long = emu_chance (emu, 40);
      fault->emu = emu;
      fault->index = i;
      fault->kind = choose_kind (emu, kinds);
      fault->entry = (uint32_t) emu_between (emu, 0, emu->options.n_entries - 1);
      fault->agent = emu_chance (emu, 50)
                         ? victim
                         : (uint32_t) emu_between (emu, 0, emu->options.n_agents - 1);
      fault->length_us = emu_between (emu, 20, is_long ? 6000 : 1200) * CLK_US_PER_MS;
      fault->ways = (uint32_t) emu_between (emu, 1, 3);
      fault->changes_build = emu_chance (emu, 60) && emu->options.has_older_builds;
      if (emu->options.skipped_faults & (1ULL << i))
        g_free (fault);
      else
        emu_after (emu, at_ms * CLK_US_PER_MS, NULL, play_fault, emu, fault, g_free);
    }
  if (emu->options.has_repeats)
    schedule_repeat_cuts (emu);
}
