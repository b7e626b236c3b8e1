#include "batch/interference.h"

#include <math.h>

#define US_PER_S 1e6
/** Take of a pair that was never seen: its mean and its variance. */
#define TAKE_MEAN 1.6
#define TAKE_VARIANCE 8.0
/** Growth of a take's variance with each figure, so that it is never taken for certain. */
#define TAKE_DRIFT 0.002
/** Doubt that is added to what an earlier owner learned. */
#define RESTORED_VARIANCE 0.1
/** Standard deviations above the mean that count as hardly exceeded. */
#define TAKE_DEVIATIONS 2.0
/** Variance of the headroom alone at first, and its growth in a second by changes of load. */
#define ALONE_VARIANCE 2.0
#define ALONE_VARIANCE_MAX 3.0
#define ALONE_DRIFT 0.2
#define ALONE_MIN 0.3
#define ALONE_MAX 8.0
/** Variance of a figure's error, as a share of its square; figures are rough. */
#define FIGURE_VARIANCE 0.01
#define FIGURE_LEAST 0.3
/** Tails stop growing at a multiple of the target: below this a headroom says "at most". */
#define SATURATED 0.2

typedef struct
{
  double take;
  double variance;
} Pair;

struct Interference
{
  GHashTable *images; /**< name -> number */
  GHashTable *pairs;  /**< both numbers -> Pair */
};

Interference *
interference_new (void)
{
  Interference *model = g_new0 (Interference, 1);

  model->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->pairs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return model;
}

void
interference_free (Interference *model)
{
  if (model == NULL)
    return;
  g_hash_table_destroy (model->images);
  g_hash_table_destroy (model->pairs);
  g_free (model);
}

uint32_t
interference_image (Interference *model, const char *name)
{
  const char *key = name != NULL ? name : "";
  gpointer number = NULL;

  if (g_hash_table_lookup_extended (model->images, key, NULL, &number))
    return GPOINTER_TO_UINT (number);
  uint32_t next = g_hash_table_size (model->images);
  if (next >= INTERFERENCE_IMAGES_MAX)
    return INTERFERENCE_IMAGES_MAX;
  g_hash_table_insert (model->images, g_strdup (key), GUINT_TO_POINTER (next));
  return next;
}

#define KEY_BASE (INTERFERENCE_IMAGES_MAX + 1)

static gpointer
pair_key (uint32_t serving, uint32_t filling)
{
  return GUINT_TO_POINTER (serving * KEY_BASE + filling);
}

static const Pair *
find_pair (const Interference *model, uint32_t serving, uint32_t filling)
{
  static const Pair unknown = { TAKE_MEAN, TAKE_VARIANCE };
  const Pair *pair = g_hash_table_lookup (model->pairs, pair_key (serving, filling));

  return pair != NULL ? pair : &unknown;
}

static Pair *
make_pair (Interference *model, uint32_t serving, uint32_t filling)
{
  gpointer key = pair_key (serving, filling);
  Pair *pair = g_hash_table_lookup (model->pairs, key);

  if (pair != NULL || g_hash_table_size (model->pairs) >= INTERFERENCE_PAIRS_MAX)
    return pair;
  pair = g_new (Pair, 1);
  *pair = (Pair){ TAKE_MEAN, TAKE_VARIANCE };
  g_hash_table_insert (model->pairs, key, pair);
  return pair;
}

double
interference_take (const Interference *model, uint32_t serving, uint32_t filling)
{
  return find_pair (model, serving, filling)->take;
}

double
interference_take_most (const Interference *model, uint32_t serving, uint32_t filling)
{
  const Pair *pair = find_pair (model, serving, filling);

  return pair->take + TAKE_DEVIATIONS * sqrt (pair->variance);
}

static gboolean
is_repeat (const InterferenceTask *task, double headroom, int64_t now_us)
{
  return task->seen_us != 0 && task->figure == headroom
         && now_us - task->seen_us < INTERFERENCE_REPEAT_MS * 1000;
}

/* Takes of all that works beside the task. */
static double
sum_of_takes (const Interference *model,
              uint32_t serving,
              const InterferenceLoad *loads,
              uint32_t n_loads)
{
  double sum = 0;

  for (uint32_t i = 0; i < n_loads; i++)
    sum += interference_take (model, serving, loads[i].image) * loads[i].share;
  return sum;
}

static double
expected_variance (const Interference *model,
                   uint32_t serving,
                   const InterferenceTask *task,
                   double headroom,
                   const InterferenceLoad *loads,
                   uint32_t n_loads)
{
  double rough = MAX (headroom, FIGURE_LEAST);
  double variance = task->variance + FIGURE_VARIANCE * rough * rough;

  for (uint32_t i = 0; i < n_loads; i++)
    variance
        += find_pair (model, serving, loads[i].image)->variance * loads[i].share * loads[i].share;
  return variance;
}

static void
correct_take (Pair *pair, double share, double error, double variance)
{
  if (pair == NULL)
    return;
  double gain = pair->variance * share / variance;

  pair->take = MAX (pair->take - gain * error, 0.0);
  pair->variance = pair->variance * (1.0 - gain * share) + TAKE_DRIFT;
}

void
interference_observe (Interference *model,
                      uint32_t serving,
                      InterferenceTask *task,
                      double headroom,
                      const InterferenceLoad *loads,
                      uint32_t n_loads,
                      int64_t now_us)
{
  double takes = sum_of_takes (model, serving, loads, n_loads);
  gboolean is_first = task->seen_us == 0;

  if (is_repeat (task, headroom, now_us))
    return;
  double passed_s = (double) (now_us - task->seen_us) / US_PER_S;
  task->seen_us = now_us;
  task->figure = headroom;
  if (is_first)
    {
      task->alone = CLAMP (headroom + takes, ALONE_MIN, ALONE_MAX);
      task->variance = ALONE_VARIANCE;
      return;
    }
  task->variance = MIN (task->variance + ALONE_DRIFT * passed_s, ALONE_VARIANCE_MAX);
  double error = headroom - (task->alone - takes);
  if (headroom < SATURATED && error > 0)
    return;
  double variance = expected_variance (model, serving, task, headroom, loads, n_loads);
  double gain = task->variance / variance;
  task->alone = CLAMP (task->alone + gain * error, ALONE_MIN, ALONE_MAX);
  task->variance *= 1.0 - gain;
  for (uint32_t i = 0; i < n_loads; i++)
    correct_take (make_pair (model, serving, loads[i].image), loads[i].share, error, variance);
}

/* Names by number; owned by the model. */
static GPtrArray *
image_names (const Interference *model)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name = NULL;
  gpointer number = NULL;

  g_ptr_array_set_size (names, (gint) g_hash_table_size (model->images));
  g_hash_table_iter_init (&iter, model->images);
  while (g_hash_table_iter_next (&iter, &name, &number))
    names->pdata[GPOINTER_TO_UINT (number)] = name;
  return names;
}

void
interference_each_pair (const Interference *model,
                        void (*each) (void *ctx, const InterferencePair *pair),
                        void *ctx)
{
  g_autoptr (GPtrArray) names = image_names (model);
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, model->pairs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Pair *pair = value;
      uint32_t serving = GPOINTER_TO_UINT (key) / KEY_BASE;
      uint32_t filling = GPOINTER_TO_UINT (key) % KEY_BASE;
      if (serving >= names->len || filling >= names->len)
        continue;
      const InterferencePair row
          = { names->pdata[serving], names->pdata[filling], pair->take, pair->variance };
      each (ctx, &row);
    }
}

void
interference_restore (Interference *model, const InterferencePair *row)
{
  Pair *pair = make_pair (model, interference_image (model, row->serving),
                          interference_image (model, row->filling));

  if (pair == NULL || !isfinite (row->take) || !isfinite (row->variance))
    return;
  pair->take = MAX (row->take, 0.0);
  pair->variance = CLAMP (row->variance, 0.0, TAKE_VARIANCE) + RESTORED_VARIANCE;
}
