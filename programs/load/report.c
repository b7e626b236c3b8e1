#include "report.h"

#include <jansson.h>
#include <stdio.h>

#include "common/clk.h"

#define REPORT_PERMILLE 1000

/** Printed quantiles. */
static const struct
{
  const char *name;
  uint32_t permille;
} quantiles[] = {
  { "p50", 500 },
  { "p90", 900 },
  { "p99", 990 },
  { "p99.9", 999 },
};

static int
compare_latency (gconstpointer a, gconstpointer b)
{
  int64_t left = ((const LoadSample *) a)->latency_us;
  int64_t right = ((const LoadSample *) b)->latency_us;

  return (left > right) - (left < right);
}

static int
compare_call (gconstpointer a, gconstpointer b)
{
  int64_t left = ((const LoadSample *) a)->call_us;
  int64_t right = ((const LoadSample *) b)->call_us;

  return (left > right) - (left < right);
}

static guint
rank_of (guint count, uint32_t permille)
{
  guint64 rank = ((guint64) count * permille + REPORT_PERMILLE - 1) / REPORT_PERMILLE;

  return (guint) MAX (rank, 1) - 1;
}

/* Returns the quantiles of call_us or latency_us and leaves the samples sorted by it. */
static json_t *
quantiles_of (GArray *samples, gboolean is_call)
{
  json_t *out = json_object ();

  g_array_sort (samples, is_call ? compare_call : compare_latency);
  for (size_t i = 0; samples->len > 0 && i < G_N_ELEMENTS (quantiles); i++)
    {
      const LoadSample *sample
          = &g_array_index (samples, LoadSample, rank_of (samples->len, quantiles[i].permille));
      json_object_set_new (out, quantiles[i].name,
                           json_integer (is_call ? sample->call_us : sample->latency_us));
    }
  return out;
}

static json_t *
kinds_of (const uint64_t counts[ERR_KIND_COUNT])
{
  json_t *out = json_object ();

  for (int kind = 0; kind < ERR_KIND_COUNT; kind++)
    {
      if (counts[kind] > 0)
        json_object_set_new (out, err_name ((ErrKind) kind),
                             json_integer ((json_int_t) counts[kind]));
    }
  return out;
}

static json_t *
class_json (LoadTally *tally, int64_t elapsed_us)
{
  double seconds = (double) elapsed_us / (double) CLK_US_PER_S;

  json_t *latency = quantiles_of (tally->samples, FALSE);
  json_t *call = quantiles_of (tally->samples, TRUE);
  return json_pack ("{s:I, s:I, s:f, s:o, s:o, s:o, s:I, s:I}", "sent", (json_int_t) tally->sent,
                    "answered", (json_int_t) tally->samples->len, "answered_per_s",
                    (double) tally->samples->len / seconds, "latency_us", latency, "call_us", call,
                    "refusals", kinds_of (tally->refusals), "retries", (json_int_t) tally->retries,
                    "mismatched", (json_int_t) tally->mismatched);
}

static json_int_t
median_call (const json_t *classes, LoadClass class)
{
  const json_t *row = json_object_get (classes, load_class_name (class));

  return json_integer_value (json_object_get (json_object_get (row, "call_us"), "p50"));
}

/* Returns the median latency that the path through an entry adds to a direct call. */
static json_t *
path_cost (const json_t *classes)
{
  json_t *out = json_object ();
  json_int_t direct = median_call (classes, LOAD_DIRECT);

  for (int class = 0; class < LOAD_DIRECT; class ++)
    {
      json_int_t through = median_call (classes, (LoadClass) class);
      if (direct > 0 && through > 0)
        json_object_set_new (out, load_class_name ((LoadClass) class),
                             json_integer (through - direct));
    }
  return out;
}

static json_t *
jobs_json (const LoadJobs *jobs)
{
  return json_pack ("{s:I, s:I, s:I, s:o}", "submitted", (json_int_t) jobs->submitted, "done",
                    (json_int_t) jobs->done, "unfinished", (json_int_t) jobs->unfinished,
                    "refusals", kinds_of (jobs->refusals));
}

static json_t *
report_json (const LoadOptions *options, LoadResult *result)
{
  json_t *classes = json_object ();
  double seconds = (double) result->elapsed_us / (double) CLK_US_PER_S;

  for (int class = 0; class < LOAD_CLASS_COUNT; class ++)
    {
      if (result->tallies[class].sent > 0)
        json_object_set_new (classes, load_class_name ((LoadClass) class),
                             class_json (&result->tallies[class], result->elapsed_us));
    }
  json_t *cost = path_cost (classes);
  return json_pack ("{s:I, s:f, s:o, s:o, s:o, s:I}", "rate_per_s",
                    (json_int_t) options->rate_per_s, "seconds", seconds, "classes", classes,
                    "path_cost_p50_us", cost, "jobs", jobs_json (&result->jobs), "evictions",
                    (json_int_t) result->evictions);
}

static void
print_times (const char *name, const json_t *times)
{
  const char *key = NULL;
  json_t *value = NULL;

  (void) printf ("  %-10s", name);
  json_object_foreach ((json_t *) times, key, value)
  {
    (void) printf ("  %s %" JSON_INTEGER_FORMAT " us", key, json_integer_value (value));
  }
  (void) printf ("\n");
}

static void
print_kinds (const char *name, const json_t *kinds)
{
  const char *key = NULL;
  json_t *value = NULL;

  if (json_object_size (kinds) == 0)
    {
      (void) printf ("  %-10s  none\n", name);
      return;
    }
  json_object_foreach ((json_t *) kinds, key, value)
  {
    (void) printf ("  %-10s  %s %" JSON_INTEGER_FORMAT "\n", name, key, json_integer_value (value));
  }
}

static void
print_class (const char *name, const json_t *row)
{
  (void) printf ("%s: sent %" JSON_INTEGER_FORMAT ", answered %" JSON_INTEGER_FORMAT
                 " (%.1f per second), retries %" JSON_INTEGER_FORMAT
                 ", mismatched %" JSON_INTEGER_FORMAT "\n",
                 name, json_integer_value (json_object_get (row, "sent")),
                 json_integer_value (json_object_get (row, "answered")),
                 json_real_value (json_object_get (row, "answered_per_s")),
                 json_integer_value (json_object_get (row, "retries")),
                 json_integer_value (json_object_get (row, "mismatched")));
  print_times ("since due", json_object_get (row, "latency_us"));
  print_times ("since sent", json_object_get (row, "call_us"));
  print_kinds ("refused", json_object_get (row, "refusals"));
}

static void
print_text (const json_t *root)
{
  const char *key = NULL;
  json_t *value = NULL;
  const json_t *jobs = json_object_get (root, "jobs");

  (void) printf ("rate %" JSON_INTEGER_FORMAT " per second for %.1f s\n",
                 json_integer_value (json_object_get (root, "rate_per_s")),
                 json_real_value (json_object_get (root, "seconds")));
  json_object_foreach (json_object_get (root, "classes"), key, value)
  {
    print_class (key, value);
  }
  json_object_foreach (json_object_get (root, "path_cost_p50_us"), key, value)
  {
    (void) printf ("path overhead, %s: %" JSON_INTEGER_FORMAT
                   " us more than a direct call (medians since sent)\n",
                   key, json_integer_value (value));
  }
  if (json_integer_value (json_object_get (jobs, "submitted")) > 0)
    {
      (void) printf ("jobs: submitted %" JSON_INTEGER_FORMAT ", done %" JSON_INTEGER_FORMAT
                     ", unfinished %" JSON_INTEGER_FORMAT "\n",
                     json_integer_value (json_object_get (jobs, "submitted")),
                     json_integer_value (json_object_get (jobs, "done")),
                     json_integer_value (json_object_get (jobs, "unfinished")));
      print_kinds ("refused", json_object_get (jobs, "refusals"));
    }
  json_int_t evictions = json_integer_value (json_object_get (root, "evictions"));
  if (evictions >= 0)
    (void) printf ("evictions: %" JSON_INTEGER_FORMAT "\n", evictions);
}

void
report_print (const LoadOptions *options, LoadResult *result, gboolean is_json)
{
  json_t *root = report_json (options, result);

  if (is_json)
    {
      json_dumpf (root, stdout, JSON_INDENT (2));
      (void) putchar ('\n');
    }
  else
    print_text (root);
  json_decref (root);
}
