#include "core/tables.h"

#include <math.h>
#include <stdlib.h>

#define INTERFERENCE_MARGIN 1.0     /**< share of the target up to which tasks are placed */
#define INTERFERENCE_STEP_MIN 0.05  /**< least share of the error that one report corrects */
#define INTERFERENCE_BIAS_STEP 0.15 /**< smoothing factor of the bias */
#define INTERFERENCE_NOISE 0.03     /**< assumed relative noise of a report */
#define INTERFERENCE_ALARM 1.10 /**< a single report over this share of the target is acted on */
#define INTERFERENCE_BASELINE_STEP 0.2     /**< smoothing factor of the tail without batch tasks */
#define INTERFERENCE_LOWER_BAND_FACTOR 1.3 /**< assumed growth relative to a lower load band */
#define INTERFERENCE_SETTLE_US CLK_US_PER_S
#define INTERFERENCE_CHANGE_MAX 0.3 /**< share of the tasks that may change in a measurement */
#define INTERFERENCE_STALE_LAGS 3
#define INTERFERENCE_LAGS_KEPT 4
#define INTERFERENCE_PERMILLE 1000.0

/* Gets the pair's row; NULL if the service has no pairs of the class yet. */
static CorePair *
find_pair (const Core *core, uint32_t service, uint32_t class_row, uint32_t band)
{
  GArray *pairs = tables_service_row (core, service)->pairs;
  guint at = class_row * CORE_BANDS + band;

  return at < pairs->len ? &g_array_index (pairs, CorePair, at) : NULL;
}

static CorePair *
make_pair (Core *core, uint32_t service, uint32_t class_row, uint32_t band)
{
  GArray *pairs = tables_service_row (core, service)->pairs;

  if (pairs->len <= (class_row + 1) * CORE_BANDS)
    g_array_set_size (pairs, (class_row + 1) * CORE_BANDS);
  return find_pair (core, service, class_row, band);
}

/* A load band without samples uses the nearest band that has some. */
gboolean
interference_growth_of (
    const Core *core, uint32_t service, uint32_t class_row, uint32_t band, double *growth)
{
  *growth = 0;
  for (uint32_t distance = 0; distance < CORE_BANDS; distance++)
    {
      const CorePair *lower
          = band >= distance ? find_pair (core, service, class_row, band - distance) : NULL;
      const CorePair *higher = band + distance < CORE_BANDS
                                   ? find_pair (core, service, class_row, band + distance)
                                   : NULL;
      if (lower != NULL && lower->information > 0)
        {
          *growth
              = lower->growth_upper_bound * (distance > 0 ? INTERFERENCE_LOWER_BAND_FACTOR : 1.0);
          return TRUE;
        }
      if (higher != NULL && higher->information > 0)
        {
          *growth = higher->growth_upper_bound;
          return TRUE;
        }
    }
  return FALSE;
}

double
interference_baseline_of (const CoreService *service, uint32_t band)
{
  for (uint32_t distance = 0; distance < CORE_BANDS; distance++)
    {
      if (band >= distance && service->baseline_us[band - distance] > 0)
        return service->baseline_us[band - distance];
      if (band + distance < CORE_BANDS && service->baseline_us[band + distance] > 0)
        return service->baseline_us[band + distance];
    }
  return 0;
}

void
interference_change (Core *core, CoreWorker *worker, uint32_t class_row, int32_t delta)
{
  CoreChange change = { core->now_us, class_row, delta };
  int64_t oldest_us = core->now_us - INTERFERENCE_LAGS_KEPT * tables_lag_us (core);
  guint n_old = 0;

  if (worker->weights->len <= class_row)
    g_array_set_size (worker->weights, class_row + 1);
  g_array_index (worker->weights, int32_t, class_row) += delta;
  if (worker->endpoints->len == 0 || delta == 0)
    return;
  while (n_old < worker->changes->len
         && g_array_index (worker->changes, CoreChange, n_old).at_us < oldest_us)
    n_old++;
  if (n_old > 0)
    g_array_remove_range (worker->changes, 0, n_old);
  g_array_append_val (worker->changes, change);
}

/* Number of batch tasks on the instance at @p at_us, by class. Valid until the next call. */
static const double *
weights_at (Core *core, const CoreWorker *worker, int64_t at_us)
{
  g_array_set_size (core->scratch, 0);
  g_array_set_size (core->scratch, core->classes->len + 1);
  double *weights = (double *) (void *) core->scratch->data;

  for (guint i = 0; i < worker->weights->len; i++)
    weights[i] = g_array_index (worker->weights, int32_t, i);
  for (guint i = worker->changes->len; i > 0; i--)
    {
      const CoreChange *change = &g_array_index (worker->changes, CoreChange, i - 1);
      if (change->at_us <= at_us)
        break;
      weights[change->class_row] -= change->delta_permille;
    }
  for (guint i = 0; i < worker->weights->len; i++)
    weights[i] /= INTERFERENCE_PERMILLE;
  return weights;
}

double
interference_current (const Core *core, const CoreWorker *worker, uint32_t service, uint32_t band)
{
  double sum = 0;

  for (guint i = 0; i < worker->weights->len; i++)
    {
      int32_t weight = g_array_index (worker->weights, int32_t, i);
      double growth = 0;
      if (weight > 0 && interference_growth_of (core, service, i, band, &growth))
        sum += weight * growth;
    }
  return sum / INTERFERENCE_PERMILLE;
}

/* Whether so many tasks changed shortly before @p at_us that a report of that time covers two
 * different states. */
static gboolean
is_transient (const Core *core, const CoreWorker *worker, int64_t at_us, const double *weights)
{
  double changed = 0;
  double all = 0;

  for (guint i = 0; i < core->classes->len; i++)
    all += weights[i];
  for (guint i = worker->changes->len; i > 0; i--)
    {
      const CoreChange *change = &g_array_index (worker->changes, CoreChange, i - 1);
      if (change->at_us <= at_us - INTERFERENCE_SETTLE_US)
        break;
      if (change->at_us <= at_us)
        changed += abs (change->delta_permille) / INTERFERENCE_PERMILLE;
    }
  return changed > INTERFERENCE_CHANGE_MAX * all;
}

/* Sum of the pairs' growth for the tasks in @p weights, without the uncertainty. */
static double
fitted_growth (const Core *core, const CoreEndpoint *endpoint, const double *weights)
{
  double sum = 0;

  for (guint i = 0; i < core->classes->len; i++)
    {
      const CorePair *pair = find_pair (core, endpoint->service, i, endpoint->band);
      if (weights[i] > 0 && pair != NULL)
        sum += weights[i] * pair->growth;
    }
  return sum;
}

/* Attributes the error to the pairs without samples, or to all pairs if each has some. */
static void
learn_pairs (Core *core, const CoreEndpoint *endpoint, const double *weights, double error)
{
  double square = 0;
  gboolean has_unproven = FALSE;

  for (guint i = 0; i < core->classes->len; i++)
    {
      if (weights[i] <= 0)
        continue;
      const CorePair *pair = make_pair (core, endpoint->service, i, endpoint->band);
      has_unproven = has_unproven || pair->information <= 0;
    }
  for (guint i = 0; i < core->classes->len; i++)
    {
      const CorePair *pair = find_pair (core, endpoint->service, i, endpoint->band);
      if (weights[i] > 0 && (!has_unproven || pair->information <= 0))
        square += weights[i] * weights[i];
    }
  for (guint i = 0; i < core->classes->len; i++)
    {
      CorePair *pair = find_pair (core, endpoint->service, i, endpoint->band);
      if (weights[i] <= 0 || (has_unproven && pair->information > 0))
        continue;
      double weight_square = weights[i] * weights[i];
      double step
          = MAX (weight_square / (pair->information + weight_square), INTERFERENCE_STEP_MIN);
      pair->growth = MAX (pair->growth + step * error * weights[i] / square, 0.0);
      pair->information += weight_square;
      pair->growth_upper_bound = pair->growth + INTERFERENCE_NOISE / sqrt (pair->information);
      pair->trial_until_us = 0;
    }
}

static void
learn_bias (CoreEndpoint *endpoint, double forecast_us)
{
  double seen = (double) endpoint->p99_us / MAX (forecast_us, 1.0);

  if (endpoint->bias <= 0)
    endpoint->bias = 1.0;
  endpoint->bias += INTERFERENCE_BIAS_STEP * (seen - endpoint->bias);
}

static gboolean
is_all_zero (const Core *core, const double *weights)
{
  for (guint i = 0; i < core->classes->len; i++)
    {
      if (weights[i] > 0)
        return FALSE;
    }
  return TRUE;
}

static void
learn_report (Core *core, CoreWorker *worker, CoreEndpoint *endpoint)
{
  CoreService *service = tables_service_row (core, endpoint->service);
  const double *weights = weights_at (core, worker, endpoint->measured_us);
  double *baseline_us = &service->baseline_us[endpoint->band];
  double sum = fitted_growth (core, endpoint, weights);
  gboolean is_empty = is_all_zero (core, weights);

  if (is_transient (core, worker, endpoint->measured_us, weights))
    return;
  if (*baseline_us <= 0 && (is_empty || interference_baseline_of (service, endpoint->band) > 0))
    *baseline_us = (double) endpoint->p99_us / (1.0 + sum);
  if (*baseline_us <= 0)
    return;
  learn_bias (endpoint, *baseline_us * (1.0 + sum));
  if (is_empty)
    *baseline_us += INTERFERENCE_BASELINE_STEP * ((double) endpoint->p99_us - *baseline_us);
  else
    learn_pairs (core, endpoint, weights, (double) endpoint->p99_us / *baseline_us - 1.0 - sum);
}

/* Whether the tail is over its target: the smoothed value, or a single report by more than the
 * noise. */
static gboolean
is_over (Core *core, const CoreWorker *worker, const CoreEndpoint *endpoint)
{
  const CoreService *service = tables_service_row (core, endpoint->service);
  double target_us = (double) service->target_us;
  double baseline_us = service->baseline_us[endpoint->band];

  if (endpoint->measured_us == 0 || service->target_us <= 0)
    return FALSE;
  if ((double) endpoint->p99_us > INTERFERENCE_ALARM * target_us)
    return TRUE;
  if (baseline_us <= 0 || endpoint->bias <= 0)
    return (double) endpoint->p99_us > target_us;
  const double *weights = weights_at (core, worker, endpoint->measured_us);
  return baseline_us * (1.0 + fitted_growth (core, endpoint, weights)) * endpoint->bias > target_us;
}

void
interference_report (Core *core, CoreWorker *worker, const CoreServiceIn *in)
{
  for (guint i = 0; i < worker->endpoints->len; i++)
    {
      CoreEndpoint *endpoint = &g_array_index (worker->endpoints, CoreEndpoint, i);
      const CoreService *service = tables_service_row (core, endpoint->service);
      if (g_strcmp0 (service->name, in->service) != 0 || in->measured_us <= endpoint->measured_us)
        continue;
      uint32_t band = in->load_permille * CORE_BANDS / CORE_FULL_PERMILLE;
      endpoint->band = MIN (band, CORE_BANDS - 1U);
      endpoint->p99_us = in->p99_us;
      endpoint->measured_us = in->measured_us;
      endpoint->has_new_report = TRUE;
      tables_service_row (core, endpoint->service)->band = endpoint->band;
      worker->lag_us = core->now_us - in->measured_us;
      if (!worker->has_new_reports)
        g_ptr_array_add (core->reported, worker);
      worker->has_new_reports = TRUE;
      if (in->p99_us > 0)
        learn_report (core, worker, endpoint);
      endpoint->is_over = is_over (core, worker, endpoint);
      if (worker->trial_until_us > 0
          && in->measured_us
                 >= worker->trial_until_us - tables_lag_us (core) + INTERFERENCE_SETTLE_US)
        worker->trial_until_us = 0;
    }
}

double
interference_growth (Core *core, uint32_t class_row)
{
  CoreClass *row = tables_class_row (core, class_row);

  if (row->growth_us == core->now_us)
    return row->growth;
  row->growth_us = core->now_us;
  row->growth = 0;
  for (guint i = 0; i < core->services->len; i++)
    {
      const CoreService *service = tables_service_row (core, i);
      const CorePair *pair = find_pair (core, i, class_row, service->band);
      if (service->target_us > 0 && pair != NULL && pair->information > 0)
        row->growth = MAX (row->growth, pair->growth);
    }
  return row->growth;
}

static gboolean
is_stale (const Core *core, const CoreWorker *worker, const CoreEndpoint *endpoint)
{
  int64_t newest_us = MAX (endpoint->measured_us, worker->first_seen_us);

  return core->now_us - newest_us > INTERFERENCE_STALE_LAGS * tables_lag_us (core);
}

/* The load band of an endpoint; before its first report, that of the service's other endpoints. */
static uint32_t
band_of (const Core *core, const CoreEndpoint *endpoint)
{
  return endpoint->measured_us > 0 ? endpoint->band
                                   : tables_service_row (core, endpoint->service)->band;
}

static void
forecast_endpoint (Core *core,
                   const CoreWorker *worker,
                   const CoreEndpoint *endpoint,
                   const CoreJob *job,
                   CoreForecast *out)
{
  const CoreService *service = tables_service_row (core, endpoint->service);
  uint32_t band = band_of (core, endpoint);
  double baseline_us = interference_baseline_of (service, band);
  double growth = 0;

  if (service->target_us <= 0)
    return;
  gboolean is_known
      = interference_growth_of (core, endpoint->service, job->class_row, band, &growth);
  double sum = interference_current (core, worker, endpoint->service, band);
  double tail_us
      = MAX (baseline_us * (1.0 + sum + growth), 1.0) * (endpoint->bias > 0 ? endpoint->bias : 1.0);
  int64_t permille = (int64_t) (INTERFERENCE_PERMILLE * tail_us / (double) service->target_us);
  const CorePair *pair = find_pair (core, endpoint->service, job->class_row, band);
  gboolean is_in_trial = pair != NULL && pair->trial_until_us > core->now_us;

  out->is_trial = out->is_trial || !is_known;
  if (is_stale (core, worker, endpoint) || endpoint->is_over || (!is_known && is_in_trial)
      || tail_us > INTERFERENCE_MARGIN * (double) service->target_us)
    {
      out->is_allowed = FALSE;
      out->service = service->name;
    }
  if (permille >= out->tail_permille)
    {
      out->tail_permille = permille;
      out->growth_permille = (int64_t) (INTERFERENCE_PERMILLE * growth);
      out->service = service->name;
    }
}

void
interference_forecast (Core *core, CoreWorker *worker, const CoreJob *job, CoreForecast *out)
{
  *out = (CoreForecast){ .is_allowed = TRUE };
  if (!tables_has_mechanism (core, CORE_MECHANISM_INTERFERENCE))
    return;
  for (guint i = 0; i < worker->endpoints->len; i++)
    forecast_endpoint (core, worker, &g_array_index (worker->endpoints, CoreEndpoint, i), job, out);
  if (worker->trial_until_us > core->now_us)
    out->is_allowed = FALSE;
  if (job->priority == DOC_URGENT)
    out->is_allowed = TRUE;
}

void
interference_started (Core *core, CoreWorker *worker, const CoreJob *job)
{
  int64_t until_us = core->now_us + tables_lag_us (core);

  if (!tables_has_mechanism (core, CORE_MECHANISM_INTERFERENCE))
    return;
  for (guint i = 0; i < worker->endpoints->len; i++)
    {
      const CoreEndpoint *endpoint = &g_array_index (worker->endpoints, CoreEndpoint, i);
      double growth = 0;
      uint32_t band = band_of (core, endpoint);
      if (tables_service_row (core, endpoint->service)->target_us <= 0
          || interference_growth_of (core, endpoint->service, job->class_row, band, &growth))
        continue;
      make_pair (core, endpoint->service, job->class_row, band)->trial_until_us = until_us;
      worker->trial_until_us = until_us;
    }
}
