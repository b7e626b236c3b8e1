#include "faults.h"

#include <signal.h>

#include "worker_faults.h"

#define FIRST_MS 4000
#define GAP_MIN_MS 50
#define GAP_MAX_MS 1400
#define SHORT_MIN_MS 50
#define SHORT_MAX_MS 1500
#define LONG_MIN_MS 300
#define LONG_MAX_MS 5000
#define DELAY_MAX_MS 700
/** Probability that another fault follows at once, in percent. */
#define SERIES_PERCENT 30
/** Pauses between links that reset and refuse connections. */
#define REFUSE_GAP_MIN_MS 500
#define REFUSE_GAP_MAX_MS 2500
/** Share of them that are an entry's link to the store, in percent. */
#define REFUSE_ENTRY_PERCENT 70

typedef struct
{
  Proxy *proxy;
  uint32_t index;
  const Soak *soak;
} LinkRecovery;

static uint32_t
draw (const FaultTargets *targets, uint32_t from, uint32_t to)
{
  return (uint32_t) g_rand_int_range (targets->soak->rand, (gint32) from, (gint32) to);
}

static gpointer
pick (const FaultTargets *targets, const GPtrArray *from, uint32_t *index)
{
  *index = draw (targets, 0, from->len);
  return g_ptr_array_index (from, *index);
}

static gboolean
on_link_recovered (gpointer data)
{
  LinkRecovery *recovery = data;

  soak_log (recovery->soak, "proxy %u forwards again", recovery->index);
  proxy_set (recovery->proxy, PROXY_PASS, 0);
  g_free (recovery);
  return G_SOURCE_REMOVE;
}

static void
inject_link_fault (const FaultTargets *targets)
{
  LinkRecovery *recovery = g_new0 (LinkRecovery, 1);
  ProxyMode mode = (ProxyMode) draw (targets, PROXY_DELAY, PROXY_RESET_AND_REFUSE);
  uint32_t for_ms = draw (targets, LONG_MIN_MS, LONG_MAX_MS);

  recovery->proxy = pick (targets, targets->proxies, &recovery->index);
  recovery->soak = targets->soak;
  soak_log (targets->soak, "proxy %u: %s for %u ms", recovery->index, proxy_mode_name (mode),
            for_ms);
  proxy_set (recovery->proxy, mode, draw (targets, 1, DELAY_MAX_MS));
  (void) g_timeout_add (for_ms, on_link_recovered, recovery);
}

/* Drawn apart from the other faults, whose draws stay the same. */
static gboolean
on_refusal (gpointer data)
{
  const FaultTargets *targets = data;
  static GRand *rand;
  gint32 n_links = (gint32) targets->proxies->len;

  if (targets->soak->is_fault_phase_over)
    return G_SOURCE_REMOVE;
  if (rand == NULL)
    rand = g_rand_new_with_seed (targets->soak->options->seed);
  /* The entries' links to the store come first. */
  if (g_rand_int_range (rand, 0, 100) < REFUSE_ENTRY_PERCENT)
    n_links = (gint32) targets->entries->len;
  LinkRecovery *recovery = g_new0 (LinkRecovery, 1);
  uint32_t for_ms = (uint32_t) g_rand_int_range (rand, LONG_MIN_MS, LONG_MAX_MS);
  recovery->index = (uint32_t) g_rand_int_range (rand, 0, n_links);
  recovery->proxy = g_ptr_array_index (targets->proxies, recovery->index);
  recovery->soak = targets->soak;
  soak_log (targets->soak, "proxy %u: %s for %u ms", recovery->index,
            proxy_mode_name (PROXY_RESET_AND_REFUSE), for_ms);
  proxy_set (recovery->proxy, PROXY_RESET_AND_REFUSE, 0);
  (void) g_timeout_add (for_ms, on_link_recovered, recovery);
  (void) g_timeout_add ((guint) g_rand_int_range (rand, REFUSE_GAP_MIN_MS, REFUSE_GAP_MAX_MS),
                        on_refusal, data);
  return G_SOURCE_REMOVE;
}

static void
end_process (const FaultTargets *targets, const GPtrArray *from)
{
  uint32_t index = 0;
  Process *process = pick (targets, from, &index);
  int signal_number = draw (targets, 0, 2) == 0 ? SIGTERM : SIGKILL;

  process_restart (process, signal_number, draw (targets, SHORT_MIN_MS, LONG_MAX_MS));
}

static void
pause_process (const FaultTargets *targets, const GPtrArray *from)
{
  uint32_t index = 0;
  Process *process = pick (targets, from, &index);

  process_pause (process, draw (targets, SHORT_MIN_MS, LONG_MAX_MS));
}

static void
inject_worker_fault (const FaultTargets *targets)
{
  uint32_t index = draw (targets, 0, targets->soak->options->n_workers);
  uint32_t for_ms = draw (targets, LONG_MIN_MS, LONG_MAX_MS);

  if (draw (targets, 0, 2) == 0)
    {
      soak_log (targets->soak, "worker %u is down for %u ms", index, for_ms);
      workers_crash (targets->workers, index, for_ms);
      return;
    }
  soak_log (targets->soak, "worker %u executes calls late for %u ms", index, for_ms);
  workers_delay_calls (targets->workers, index, for_ms);
}

static void
inject (const FaultTargets *targets)
{
  switch (draw (targets, 0, 12))
    {
    case 0:
    case 1:
    case 2:
      end_process (targets, targets->entries);
      break;
    case 3:
      end_process (targets, targets->agents);
      break;
    case 4:
    case 5:
      pause_process (targets, targets->entries);
      break;
    case 6:
      pause_process (targets, targets->agents);
      break;
    case 7:
      process_pause (targets->store, draw (targets, SHORT_MIN_MS, SHORT_MAX_MS * 2));
      break;
    case 8:
    case 9:
      inject_worker_fault (targets);
      break;
    default:
      inject_link_fault (targets);
      break;
    }
}

static gboolean
on_fault (gpointer data)
{
  const FaultTargets *targets = data;

  if (targets->soak->is_fault_phase_over)
    return G_SOURCE_REMOVE;
  do
    inject (targets);
  while (draw (targets, 0, 100) < SERIES_PERCENT);
  (void) g_timeout_add (draw (targets, GAP_MIN_MS, GAP_MAX_MS), on_fault, data);
  return G_SOURCE_REMOVE;
}

void
faults_begin (const FaultTargets *targets)
{
  const SoakOptions *options = targets->soak->options;

  worker_faults_begin (targets->workers);
  if (options->only != NULL)
    return;
  (void) g_timeout_add (FIRST_MS, on_fault, (gpointer) targets);
  /* Builds before 43afb37 take a refusal for a proof that nothing was written, and lose appends. */
  if (options->previous == NULL)
    (void) g_timeout_add (FIRST_MS, on_refusal, (gpointer) targets);
}

void
faults_end (const FaultTargets *targets)
{
  targets->soak->is_fault_phase_over = TRUE;
  for (guint i = 0; i < targets->proxies->len; i++)
    proxy_set (g_ptr_array_index (targets->proxies, i), PROXY_PASS, 0);
  worker_faults_end (targets->workers);
  for (uint32_t i = 0; i < targets->soak->options->n_workers; i++)
    workers_delay_calls (targets->workers, i, 0);
  soak_log (targets->soak, "no more faults");
}
