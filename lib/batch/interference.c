#include "batch/interference.h"

#include <math.h>

#include "batch/filter.h"

#define US_PER_S 1e6
/** Prior mean and variance of the impact of a pair. */
#define IMPACT_MEAN 4.0
#define IMPACT_VARIANCE 30.0
/** Upper bound of an impact. */
#define IMPACT_MAX 60.0
/** Process noise of an impact per measurement, so that its variance never shrinks to zero. */
#define IMPACT_DRIFT 0.002
/** Variance that is added to an impact learned by a previous owner. */
#define RESTORED_VARIANCE 0.1
/** Prior mean and variance of the headroom of a service. The mean is low, so that few best-effort
 * tasks are placed beside a service that has not been measured. */
#define FIRST_MEAN 2.5
#define FIRST_VARIANCE 1.0
/** Variance of a service's level at its first measurement, and stationary variance of its slope. */
#define LEVEL_VARIANCE 2.0
#define SLOPE_VARIANCE 0.1
/** Decay time of the slope, in seconds: loads do not rise indefinitely. */
#define SLOPE_DECAY_S 4.0
/** Process noise of the level, per second. */
#define LEVEL_DRIFT 0.01
/** Prior variance of a replica's offset and its decay time, in seconds. */
#define OFFSET_VARIANCE 0.15
#define OFFSET_DECAY_S 1.5
/** Bounds of a service's level: measurements outside come from a faulty worker. */
#define ALONE_MIN 0.3
#define ALONE_MAX 8.0
/** Variance of the measurement noise relative to the square of the headroom, and the least headroom
 * that it is computed from. */
#define NOISE_VARIANCE 0.003
#define NOISE_HEADROOM_MIN 0.5
/** Tails saturate at a multiple of the target: a headroom below this is only an upper bound. */
#define SATURATED 0.2

/** Estimates for one serving image: a filter over its impacts and services. */
typedef struct
{
  Filter *filter;
  GHashTable *impacts; /**< number of the best-effort image -> state + 1 */
} Serving;

struct Interference
{
  GHashTable *images;   /**< name -> number */
  GHashTable *servings; /**< number -> Serving */
  uint32_t n_pairs;
};

struct InterferenceService
{
  Interference *model;
  Serving *serving;
  uint32_t level;  /**< state */
  uint32_t slope;  /**< state */
  int64_t seen_us; /**< time of the states; 0: no measurement yet */
};

static void
serving_free (gpointer data)
{
  Serving *serving = data;

  filter_free (serving->filter);
  g_hash_table_destroy (serving->impacts);
  g_free (serving);
}

Interference *
interference_new (void)
{
  Interference *model = g_new0 (Interference, 1);

  model->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->servings = g_hash_table_new_full (NULL, NULL, NULL, serving_free);
  return model;
}

void
interference_free (Interference *model)
{
  if (model == NULL)
    return;
  g_hash_table_destroy (model->images);
  g_hash_table_destroy (model->servings);
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

uint32_t
interference_find_image (const Interference *model, const char *name)
{
  gpointer number = NULL;

  return g_hash_table_lookup_extended (model->images, name != NULL ? name : "", NULL, &number)
             ? GPOINTER_TO_UINT (number)
             : INTERFERENCE_IMAGES_MAX;
}

static Serving *
find_serving (const Interference *model, uint32_t image)
{
  return g_hash_table_lookup (model->servings, GUINT_TO_POINTER (image));
}

static Serving *
make_serving (Interference *model, uint32_t image)
{
  Serving *serving = find_serving (model, image);

  if (serving != NULL)
    return serving;
  serving = g_new0 (Serving, 1);
  serving->filter = filter_new ();
  serving->impacts = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (model->servings, GUINT_TO_POINTER (image), serving);
  return serving;
}

/* State of an impact, or FILTER_NONE. */
static uint32_t
find_impact (const Serving *serving, uint32_t best_effort)
{
  gpointer value = g_hash_table_lookup (serving->impacts, GUINT_TO_POINTER (best_effort));

  return value != NULL ? GPOINTER_TO_UINT (value) - 1 : FILTER_NONE;
}

static uint32_t
make_impact (
    Interference *model, Serving *serving, uint32_t best_effort, double impact, double variance)
{
  uint32_t state = find_impact (serving, best_effort);

  if (state != FILTER_NONE || model->n_pairs >= INTERFERENCE_PAIRS_MAX
      || g_hash_table_size (serving->impacts) >= INTERFERENCE_IMPACTS_MAX)
    return state;
  state = filter_add (serving->filter, impact, variance);
  if (state == FILTER_NONE)
    return state;
  model->n_pairs++;
  g_hash_table_insert (serving->impacts, GUINT_TO_POINTER (best_effort),
                       GUINT_TO_POINTER (state + 1));
  return state;
}

InterferenceEstimate
interference_pair (const Interference *model, uint32_t serving, uint32_t best_effort)
{
  const Serving *row = find_serving (model, serving);
  uint32_t state = row != NULL ? find_impact (row, best_effort) : FILTER_NONE;

  if (state == FILTER_NONE)
    return (InterferenceEstimate){ IMPACT_MEAN, IMPACT_VARIANCE };
  return (InterferenceEstimate){ filter_mean (row->filter, state),
                                 filter_covariance (row->filter, state, state) };
}

double
interference_impact (const Interference *model, uint32_t serving, uint32_t best_effort)
{
  return interference_pair (model, serving, best_effort).mean;
}

InterferenceService *
interference_service_new (Interference *model, uint32_t serving)
{
  InterferenceService *service = g_new0 (InterferenceService, 1);

  service->model = model;
  service->serving = make_serving (model, serving);
  service->level = FILTER_NONE;
  service->slope = FILTER_NONE;
  return service;
}

void
interference_service_free (InterferenceService *service)
{
  if (service == NULL)
    return;
  filter_drop (service->serving->filter, service->level);
  filter_drop (service->serving->filter, service->slope);
  g_free (service);
}

static gboolean
is_repeat (const InterferenceTask *task, double headroom, int64_t now_us)
{
  return task->seen_us != 0 && task->headroom == headroom
         && now_us - task->seen_us < INTERFERENCE_REPEAT_MS * 1000;
}

static double
seconds_since (int64_t then_us, int64_t now_us)
{
  return (double) MAX (now_us - then_us, 0) / US_PER_S;
}

/* Integral of the decaying unit slope over a time. */
static double
carried_s (double passed_s)
{
  return SLOPE_DECAY_S * (1.0 - exp (-passed_s / SLOPE_DECAY_S));
}

static InterferenceTask
task_at (const InterferenceTask *task, int64_t at_us)
{
  InterferenceTask next = *task;

  if (task->seen_us == 0)
    {
      next.variance = OFFSET_VARIANCE;
      return next;
    }
  double kept = exp (-seconds_since (task->seen_us, at_us) / OFFSET_DECAY_S);
  next.offset *= kept;
  next.variance = task->variance * kept * kept + OFFSET_VARIANCE * (1.0 - kept * kept);
  return next;
}

InterferenceEstimate
interference_alone (const InterferenceService *service, const InterferenceTask *task, int64_t at_us)
{
  if (service == NULL || service->seen_us == 0)
    return (InterferenceEstimate){ FIRST_MEAN, FIRST_VARIANCE };
  const Filter *filter = service->serving->filter;
  double passed_s = seconds_since (service->seen_us, at_us);
  const FilterTerm terms[] = { { service->level, 1.0 }, { service->slope, carried_s (passed_s) } };
  double level = filter_sum (filter, terms, G_N_ELEMENTS (terms));

  return (InterferenceEstimate){ CLAMP (level, ALONE_MIN, ALONE_MAX) + task_at (task, at_us).offset,
                                 filter_sum_variance (filter, terms, G_N_ELEMENTS (terms))
                                     + LEVEL_DRIFT * passed_s };
}

/* Predicts the states of the service at a later time. */
static void
advance_service (InterferenceService *service, int64_t now_us)
{
  Filter *filter = service->serving->filter;
  double passed_s = seconds_since (service->seen_us, now_us);
  double kept = exp (-passed_s / SLOPE_DECAY_S);

  filter_advance (filter, service->level, service->slope, carried_s (passed_s), kept);
  filter_drift (filter, service->level, LEVEL_DRIFT * passed_s);
  filter_drift (filter, service->slope, SLOPE_VARIANCE * (1.0 - kept * kept));
  service->seen_us = MAX (service->seen_us, now_us);
}

static gboolean
begin_service (InterferenceService *service, double headroom, int64_t now_us)
{
  Filter *filter = service->serving->filter;

  service->level = filter_add (filter, CLAMP (headroom, ALONE_MIN, ALONE_MAX), LEVEL_VARIANCE);
  service->slope = filter_add (filter, 0, SLOPE_VARIANCE);
  if (service->level == FILTER_NONE || service->slope == FILTER_NONE)
    {
      filter_drop (filter, service->level);
      filter_drop (filter, service->slope);
      service->level = FILTER_NONE;
      service->slope = FILTER_NONE;
      return FALSE;
    }
  service->seen_us = now_us;
  return TRUE;
}

/* Terms of a measurement that stand for the impacts of the loads. */
static uint32_t
terms_of (InterferenceService *service,
          const InterferenceLoad *loads,
          uint32_t n_loads,
          FilterTerm *terms)
{
  uint32_t n_terms = 0;

  for (uint32_t i = 0; i < n_loads; i++)
    {
      uint32_t impact = make_impact (service->model, service->serving, loads[i].image, IMPACT_MEAN,
                                     IMPACT_VARIANCE);
      if (impact != FILTER_NONE)
        terms[n_terms++] = (FilterTerm){ impact, -loads[i].share };
    }
  return n_terms;
}

static void
correct_impacts (Filter *filter, const FilterTerm *terms, uint32_t n_terms)
{
  for (uint32_t i = 0; i < n_terms; i++)
    {
      filter_clamp (filter, terms[i].state, 0, IMPACT_MAX);
      filter_drift (filter, terms[i].state, IMPACT_DRIFT);
    }
}

static void
correct_task (InterferenceTask *task, double error, double variance)
{
  double gain = task->variance / variance;

  task->offset += gain * error;
  task->variance *= 1.0 - gain;
}

void
interference_observe (InterferenceService *service,
                      InterferenceTask *task,
                      double headroom,
                      const InterferenceLoad *loads,
                      uint32_t n_loads,
                      int64_t now_us)
{
  FilterTerm terms[INTERFERENCE_LOADS_MAX + 1];
  Filter *filter = service->serving->filter;

  g_assert (n_loads <= INTERFERENCE_LOADS_MAX);
  if (is_repeat (task, headroom, now_us))
    return;
  uint32_t n_impacts = terms_of (service, loads, n_loads, terms);
  *task = task_at (task, now_us);
  task->seen_us = now_us;
  task->headroom = headroom;
  if (service->seen_us == 0
      && !begin_service (service, headroom - filter_sum (filter, terms, n_impacts), now_us))
    return;
  advance_service (service, now_us);
  terms[n_impacts] = (FilterTerm){ service->level, 1.0 };
  double error = headroom - filter_sum (filter, terms, n_impacts + 1) - task->offset;
  if (headroom < SATURATED && error > 0)
    return;
  double rough = MAX (headroom, NOISE_HEADROOM_MIN);
  double variance = task->variance + NOISE_VARIANCE * rough * rough;
  double whole = filter_sum_variance (filter, terms, n_impacts + 1) + variance;
  filter_correct (filter, terms, n_impacts + 1, error, variance);
  filter_clamp (filter, service->level, ALONE_MIN, ALONE_MAX);
  correct_impacts (filter, terms, n_impacts);
  correct_task (task, error, whole);
}

/* Image names, indexed by number; the strings belong to the model. */
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
  GHashTableIter servings;
  gpointer key = NULL;
  gpointer value = NULL;

  g_hash_table_iter_init (&servings, model->servings);
  while (g_hash_table_iter_next (&servings, &key, &value))
    {
      const Serving *serving = value;
      uint32_t image = GPOINTER_TO_UINT (key);
      GHashTableIter impacts;
      gpointer best_effort = NULL;
      gpointer state = NULL;
      g_hash_table_iter_init (&impacts, serving->impacts);
      while (g_hash_table_iter_next (&impacts, &best_effort, &state))
        {
          uint32_t index = GPOINTER_TO_UINT (state) - 1;
          if (image >= names->len || GPOINTER_TO_UINT (best_effort) >= names->len)
            continue;
          const InterferencePair row
              = { names->pdata[image], names->pdata[GPOINTER_TO_UINT (best_effort)],
                  filter_mean (serving->filter, index),
                  filter_covariance (serving->filter, index, index) };
          each (ctx, &row);
        }
    }
}

void
interference_restore (Interference *model, const InterferencePair *row)
{
  uint32_t serving = interference_image (model, row->serving);
  uint32_t best_effort = interference_image (model, row->best_effort);

  if (!isfinite (row->impact) || !isfinite (row->variance))
    return;
  (void) make_impact (model, make_serving (model, serving), best_effort,
                      CLAMP (row->impact, 0.0, IMPACT_MAX),
                      CLAMP (row->variance, 0.0, IMPACT_VARIANCE) + RESTORED_VARIANCE);
}
