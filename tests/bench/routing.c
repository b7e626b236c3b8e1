#include "bench/bench.h"

#include <math.h>
#include <string.h>

#define ROUTING_ENDPOINTS 11
#define ROUTING_SLOTS 8
#define ROUTING_CONNECTIONS 64
#define ROUTING_REQUESTS 200000
#define ROUTING_MEAN_US 10000.0
#define ROUTING_LOAD 0.6
#define ROUTING_SLOW 3
#define ROUTING_SLOW_FACTOR 4.0
#define ROUTING_FAILING 7
#define ROUTING_FAIL_US 1000.0
#define ROUTING_LEAVING 9
#define ROUTING_LEAVE_KNOWN_US 2e6
#define ROUTING_PENALTY 16.0
#define ROUTING_PENALTY_HALF_US 1e6

typedef enum
{
  ROUTING_RANDOM,
  ROUTING_ROUND_ROBIN,
  ROUTING_TWO_CHOICES,
  ROUTING_TWO_CHOICES_FAILURES,
  ROUTING_COUNT,
} Routing;

static const char *const routing_names[ROUTING_COUNT]
    = { "random", "round-robin", "two-choices", "two-choices+failures" };

typedef struct
{
  double free_us[ROUTING_SLOTS];       /**< time at which each slot becomes free */
  double ends_us[ROUTING_CONNECTIONS]; /**< end times of the requests in flight */
  guint in_flight;
  double penalty; /**< for recent failures, in requests; halves every ROUTING_PENALTY_HALF_US */
  double penalty_us;
} Endpoint;

typedef struct
{
  Routing routing;
  GRand *rand;
  Endpoint endpoints[ROUTING_ENDPOINTS];
  guint next_endpoint;
  double leave_us;
  double *latencies;
  guint n_answers;
  guint n_failed;
  guint n_refused;
} Trial;

static void
drop_finished (Endpoint *endpoint, double now_us)
{
  guint kept = 0;

  for (guint i = 0; i < endpoint->in_flight; i++)
    {
      if (endpoint->ends_us[i] > now_us)
        endpoint->ends_us[kept++] = endpoint->ends_us[i];
    }
  endpoint->in_flight = kept;
}

static gboolean
is_routable (const Trial *trial, guint endpoint, double now_us)
{
  return endpoint != ROUTING_LEAVING || now_us < trial->leave_us + ROUTING_LEAVE_KNOWN_US;
}

static guint
pick_random (Trial *trial, double now_us)
{
  guint endpoint;

  do
    endpoint = (guint) g_rand_int_range (trial->rand, 0, ROUTING_ENDPOINTS);
  while (!is_routable (trial, endpoint, now_us));
  return endpoint;
}

static double
load_score (Trial *trial, guint index, double now_us)
{
  Endpoint *endpoint = &trial->endpoints[index];

  drop_finished (endpoint, now_us);
  if (trial->routing == ROUTING_TWO_CHOICES)
    return endpoint->in_flight;
  double age_us = now_us - endpoint->penalty_us;
  return endpoint->in_flight + endpoint->penalty * exp2 (-age_us / ROUTING_PENALTY_HALF_US);
}

static guint
pick (Trial *trial, double now_us)
{
  guint a = pick_random (trial, now_us);

  if (trial->routing == ROUTING_RANDOM)
    return a;
  if (trial->routing == ROUTING_ROUND_ROBIN)
    {
      do
        trial->next_endpoint = (trial->next_endpoint + 1) % ROUTING_ENDPOINTS;
      while (!is_routable (trial, trial->next_endpoint, now_us));
      return trial->next_endpoint;
    }
  guint b = pick_random (trial, now_us);
  return load_score (trial, a, now_us) <= load_score (trial, b, now_us) ? a : b;
}

static void
record_failure (Trial *trial, Endpoint *endpoint, double now_us)
{
  double age_us = now_us - endpoint->penalty_us;

  endpoint->penalty
      = endpoint->penalty * exp2 (-age_us / ROUTING_PENALTY_HALF_US) + ROUTING_PENALTY;
  endpoint->penalty_us = now_us;
  trial->n_failed++;
}

/* Sends one request: it is refused, fails, or is answered after waiting for a slot. */
static void
send (Trial *trial, guint index, double now_us)
{
  Endpoint *endpoint = &trial->endpoints[index];
  guint slot = 0;

  drop_finished (endpoint, now_us);
  if (endpoint->in_flight >= ROUTING_CONNECTIONS
      || (index == ROUTING_LEAVING && now_us >= trial->leave_us))
    {
      trial->n_refused++;
      return;
    }
  for (guint i = 1; i < ROUTING_SLOTS; i++)
    {
      if (endpoint->free_us[i] < endpoint->free_us[slot])
        slot = i;
    }
  double work_us = -log (1 - g_rand_double (trial->rand)) * ROUTING_MEAN_US;
  if (index == ROUTING_SLOW)
    work_us *= ROUTING_SLOW_FACTOR;
  if (index == ROUTING_FAILING)
    work_us = ROUTING_FAIL_US;
  double end_us = MAX (endpoint->free_us[slot], now_us) + work_us;
  endpoint->free_us[slot] = end_us;
  endpoint->ends_us[endpoint->in_flight++] = end_us;
  if (index == ROUTING_FAILING)
    record_failure (trial, endpoint, now_us);
  else
    trial->latencies[trial->n_answers++] = end_us - now_us;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return x < y ? -1 : (x > y ? 1 : 0);
}

static void
run_trial (Trial *trial, uint32_t seed)
{
  double rate = ROUTING_LOAD * ROUTING_SLOTS * ROUTING_ENDPOINTS / ROUTING_MEAN_US;
  double now_us = 0;

  trial->rand = g_rand_new_with_seed (seed);
  trial->latencies = g_new0 (double, ROUTING_REQUESTS);
  trial->leave_us = ROUTING_REQUESTS / rate / 3;
  for (guint i = 0; i < ROUTING_REQUESTS; i++)
    {
      now_us += -log (1 - g_rand_double (trial->rand)) / rate;
      send (trial, pick (trial, now_us), now_us);
    }
  qsort (trial->latencies, trial->n_answers, sizeof (double), compare_doubles);
  g_rand_free (trial->rand);
}

void
routing_run (const BenchOptions *options, BenchTargets *targets)
{
  double p99[ROUTING_COUNT];
  FILE *csv = bench_open (options, "routing.csv");

  (void) printf ("\n%-22s %10s %10s %9s %9s\n", "routing", "p99 ms", "p99.9 ms", "refused",
                 "failed");
  for (int r = 0; r < ROUTING_COUNT; r++)
    {
      Trial trial = { .routing = (Routing) r };
      run_trial (&trial, 1);
      p99[r] = trial.latencies[(guint) (0.99 * trial.n_answers)] / 1000.0;
      double p999 = trial.latencies[(guint) (0.999 * trial.n_answers)] / 1000.0;
      (void) printf ("%-22s %10.1f %10.1f %9u %9u\n", routing_names[r], p99[r], p999,
                     trial.n_refused, trial.n_failed);
      if (csv != NULL)
        (void) fprintf (csv, "%s,%g,%g,%u,%u\n", routing_names[r], p99[r], p999, trial.n_refused,
                        trial.n_failed);
      g_free (trial.latencies);
    }
  if (csv != NULL)
    (void) fclose (csv);
  for (int r = ROUTING_RANDOM; r <= ROUTING_ROUND_ROBIN; r++)
    bench_target (targets, p99[ROUTING_TWO_CHOICES_FAILURES] < p99[r],
                  "routing: p99 %.1f ms by two choices, %.1f ms by %s",
                  p99[ROUTING_TWO_CHOICES_FAILURES], p99[r], routing_names[r]);
}
