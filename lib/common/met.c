#include "common/met.h"

#include <pthread.h>
#include <stdatomic.h>

/** Linear sub-buckets per power of two; they bound the relative error to 1/16. */
#define MET_SUB_BUCKETS 16
#define MET_SUB_BUCKET_BITS 4
#define MET_POWERS 40
#define MET_BUCKETS (MET_POWERS * MET_SUB_BUCKETS)

struct MetSeries
{
  char *name;
  char *labels;
  char *help;
  gboolean is_gauge;
  _Atomic int64_t value;
};

struct MetHistogram
{
  char *name;
  char *labels;
  char *help;
  _Atomic uint64_t count;
  _Atomic uint64_t sum_us;
  _Atomic uint64_t buckets[MET_BUCKETS];
};

struct MetRegistry
{
  pthread_mutex_t lock;
  GHashTable *by_key; /**< "name{labels}" -> MetSeries or MetHistogram, not owned */
  GPtrArray *series;
  GPtrArray *histograms;
};

static void
series_free (void *data)
{
  MetSeries *series = data;

  g_free (series->name);
  g_free (series->labels);
  g_free (series->help);
  g_free (series);
}

static void
histogram_free (void *data)
{
  MetHistogram *histogram = data;

  g_free (histogram->name);
  g_free (histogram->labels);
  g_free (histogram->help);
  g_free (histogram);
}

MetRegistry *
met_new (void)
{
  MetRegistry *registry = g_new0 (MetRegistry, 1);

  (void) pthread_mutex_init (&registry->lock, NULL);
  registry->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  registry->series = g_ptr_array_new_with_free_func (series_free);
  registry->histograms = g_ptr_array_new_with_free_func (histogram_free);
  return registry;
}

void
met_free (MetRegistry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_destroy (registry->by_key);
  g_ptr_array_free (registry->series, TRUE);
  g_ptr_array_free (registry->histograms, TRUE);
  (void) pthread_mutex_destroy (&registry->lock);
  g_free (registry);
}

static MetSeries *
find_or_add_series (MetRegistry *registry,
                    const char *name,
                    const char *labels,
                    const char *help,
                    gboolean is_gauge)
{
  char *key = g_strdup_printf ("%s{%s}", name, labels != NULL ? labels : "");

  (void) pthread_mutex_lock (&registry->lock);
  MetSeries *series = g_hash_table_lookup (registry->by_key, key);
  if (series == NULL)
    {
      series = g_new0 (MetSeries, 1);
      series->name = g_strdup (name);
      series->labels = g_strdup (labels);
      series->help = g_strdup (help);
      series->is_gauge = is_gauge;
      g_ptr_array_add (registry->series, series);
      g_hash_table_insert (registry->by_key, g_steal_pointer (&key), series);
    }
  (void) pthread_mutex_unlock (&registry->lock);
  g_free (key);
  return series;
}

MetSeries *
met_counter (MetRegistry *registry, const char *name, const char *labels, const char *help)
{
  return find_or_add_series (registry, name, labels, help, FALSE);
}

MetSeries *
met_gauge (MetRegistry *registry, const char *name, const char *labels, const char *help)
{
  return find_or_add_series (registry, name, labels, help, TRUE);
}

void
met_add (MetSeries *series, uint64_t n)
{
  atomic_fetch_add_explicit (&series->value, (int64_t) n, memory_order_relaxed);
}

void
met_set (MetSeries *series, int64_t value)
{
  atomic_store_explicit (&series->value, value, memory_order_relaxed);
}

int64_t
met_value (const MetSeries *series)
{
  return atomic_load_explicit (&((MetSeries *) series)->value, memory_order_relaxed);
}

void
met_kind_add (MetRegistry *registry, const char *name, ErrKind kind, uint64_t n)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "kind=\"%s\"", err_name (kind));
  met_add (met_counter (registry, name, labels, "Count by error kind."), n);
}

MetHistogram *
met_histogram (MetRegistry *registry, const char *name, const char *labels, const char *help)
{
  char *key = g_strdup_printf ("%s{%s}", name, labels != NULL ? labels : "");

  (void) pthread_mutex_lock (&registry->lock);
  MetHistogram *histogram = g_hash_table_lookup (registry->by_key, key);
  if (histogram == NULL)
    {
      histogram = g_new0 (MetHistogram, 1);
      histogram->name = g_strdup (name);
      histogram->labels = g_strdup (labels);
      histogram->help = g_strdup (help);
      g_ptr_array_add (registry->histograms, histogram);
      g_hash_table_insert (registry->by_key, g_steal_pointer (&key), histogram);
    }
  (void) pthread_mutex_unlock (&registry->lock);
  g_free (key);
  return histogram;
}

static unsigned int
bucket_of (uint64_t value)
{
  if (value < MET_SUB_BUCKETS)
    return (unsigned int) value;
  unsigned int power = 63U - (unsigned int) __builtin_clzll (value);
  unsigned int sub_bucket
      = (unsigned int) (value >> (power - MET_SUB_BUCKET_BITS)) & (MET_SUB_BUCKETS - 1);
  unsigned int bucket = (power - MET_SUB_BUCKET_BITS + 1) * MET_SUB_BUCKETS + sub_bucket;

  return MIN (bucket, MET_BUCKETS - 1);
}

static uint64_t
bucket_value (unsigned int bucket)
{
  if (bucket < MET_SUB_BUCKETS)
    return bucket;
  unsigned int shift = bucket / MET_SUB_BUCKETS - 1;

  return (uint64_t) (MET_SUB_BUCKETS + bucket % MET_SUB_BUCKETS) << shift;
}

void
met_observe (MetHistogram *histogram, int64_t value_us)
{
  uint64_t value = value_us > 0 ? (uint64_t) value_us : 0;

  atomic_fetch_add_explicit (&histogram->buckets[bucket_of (value)], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, value, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->count, 1, memory_order_relaxed);
}

uint64_t
met_count (const MetHistogram *histogram)
{
  return atomic_load_explicit (&((MetHistogram *) histogram)->count, memory_order_relaxed);
}

int64_t
met_quantile (const MetHistogram *histogram, double q)
{
  MetHistogram *readable = (MetHistogram *) histogram;
  uint64_t total = met_count (histogram);
  uint64_t wanted = (uint64_t) (q * (double) total + 0.5);
  uint64_t seen = 0;

  if (total == 0)
    return 0;
  wanted = CLAMP (wanted, 1, total);
  for (unsigned int i = 0; i < MET_BUCKETS; i++)
    {
      seen += atomic_load_explicit (&readable->buckets[i], memory_order_relaxed);
      if (seen >= wanted)
        return (int64_t) bucket_value (i);
    }
  return (int64_t) bucket_value (MET_BUCKETS - 1);
}

static int
compare_series (const void *a, const void *b)
{
  const MetSeries *left = *(MetSeries *const *) a;
  const MetSeries *right = *(MetSeries *const *) b;
  int order = g_strcmp0 (left->name, right->name);

  return order != 0 ? order : g_strcmp0 (left->labels, right->labels);
}

static void
render_series (GString *out, const MetSeries *series, const char *previous_name)
{
  if (g_strcmp0 (series->name, previous_name) != 0)
    {
      g_string_append_printf (out, "# HELP %s %s\n", series->name, series->help);
      g_string_append_printf (out, "# TYPE %s %s\n", series->name,
                              series->is_gauge ? "gauge" : "counter");
    }
  if (series->labels != NULL)
    g_string_append_printf (out, "%s{%s} %" G_GINT64_FORMAT "\n", series->name, series->labels,
                            met_value (series));
  else
    g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", series->name, met_value (series));
}

static void
render_histogram (GString *out, MetHistogram *histogram)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  const char *labels = histogram->labels != NULL ? histogram->labels : "";
  const char *comma = histogram->labels != NULL ? "," : "";

  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s summary\n", histogram->name,
                          histogram->help, histogram->name);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (out, "%s{%s%squantile=\"%g\"} %" G_GINT64_FORMAT "\n", histogram->name,
                            labels, comma, quantiles[i], met_quantile (histogram, quantiles[i]));
  g_string_append_printf (out, "%s_sum{%s} %" G_GUINT64_FORMAT "\n", histogram->name, labels,
                          atomic_load_explicit (&histogram->sum_us, memory_order_relaxed));
  g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", histogram->name, labels,
                          met_count (histogram));
}

char *
met_render (MetRegistry *registry)
{
  GString *out = g_string_new (NULL);
  const char *previous_name = NULL;

  (void) pthread_mutex_lock (&registry->lock);
  g_ptr_array_sort (registry->series, compare_series);
  for (guint i = 0; i < registry->series->len; i++)
    {
      const MetSeries *series = g_ptr_array_index (registry->series, i);
      render_series (out, series, previous_name);
      previous_name = series->name;
    }
  for (guint i = 0; i < registry->histograms->len; i++)
    render_histogram (out, g_ptr_array_index (registry->histograms, i));
  (void) pthread_mutex_unlock (&registry->lock);
  return g_string_free (out, FALSE);
}
