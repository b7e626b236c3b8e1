/**
 * @file interference.h
 * Estimates how much best-effort images reduce the headroom of serving images.
 *
 * The headroom of a serving task is its target latency divided by its tail latency; below 1 the
 * task is over its target. Tail latency grows as in a queue, with the inverse of the remaining
 * capacity of the processors' caches and buses, so the headroom falls linearly: by the impact of
 * the pair of images for each worker's worth of busy processors. The headroom that a task would
 * have alone is that of its service, whose replicas share the load, plus an offset of the task. For
 * each serving image one Kalman filter estimates the impacts and the headrooms of its services
 * together. A service has a level and a slope, the offset of a task decays within seconds, and
 * impacts hardly change. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Interference Interference;

/** Number of distinct images; all later ones are treated as one image. */
#define INTERFERENCE_IMAGES_MAX 1000

/** Headroom of the replicas of one service under its current load. Belongs to one model. */
typedef struct InterferenceService InterferenceService;

/** Offset of one replica's headroom from that of its service. Zero-initialised before the first
 * measurement. */
typedef struct
{
  double offset;   /**< offset at seen_us */
  double variance; /**< variance of the offset */
  double headroom; /**< newest headroom that was applied */
  int64_t seen_us; /**< time of that measurement; 0: none yet */
} InterferenceTask;

/** An estimate and its variance. */
typedef struct
{
  double mean;
  double variance;
} InterferenceEstimate;

/** Processors used by an image on the worker of a serving task, averaged over the measurement's
 * window. */
typedef struct
{
  uint32_t image;
  double share; /**< share of the worker's processors */
} InterferenceLoad;

/** Creates a model without pairs; free with interference_free(). */
Interference *interference_new (void);
/** Frees a model; NULL is allowed. */
void interference_free (Interference *model);

/** Returns the number of the image called @p name; NULL stands for unnamed images. */
uint32_t interference_image (Interference *model, const char *name);
/** Like interference_image(), but gives an unknown image no number: returns
 * #INTERFERENCE_IMAGES_MAX for it. */
uint32_t interference_find_image (const Interference *model, const char *name);

/** Creates a service of image @p serving; free it with interference_service_free() before the
 * model.
 */
InterferenceService *interference_service_new (Interference *model, uint32_t serving);
/** Removes a service from its model and frees it; NULL is allowed. */
void interference_service_free (InterferenceService *service);

/**
 * Applies a measurement: the headroom of a replica of @p service beside @p loads, measured around
 * @p now_us. A measurement that repeats the previous one within #INTERFERENCE_REPEAT_MS is ignored.
 */
void interference_observe (InterferenceService *service,
                           InterferenceTask *task,
                           double headroom,
                           const InterferenceLoad *loads,
                           uint32_t n_loads,
                           int64_t now_us);

/** An equal value within this time may be the same measurement, reported again. */
#define INTERFERENCE_REPEAT_MS 600

/** Distinct best-effort images beside one task. */
#define INTERFERENCE_LOADS_MAX 32
/** Best-effort images with an impact on one serving image that are modelled. */
#define INTERFERENCE_IMPACTS_MAX 64
/** Pairs that are modelled; further pairs are not learned. At this number the covariance matrices
 * take some 20 MB. */
#define INTERFERENCE_PAIRS_MAX 10000

/** Learned impact of a best-effort image on a serving image. */
typedef struct
{
  const char *serving;
  const char *best_effort;
  double impact;
  double variance;
} InterferencePair;

/** Calls @p each for every learned pair; the strings belong to the model. */
void interference_each_pair (const Interference *model,
                             void (*each) (void *ctx, const InterferencePair *pair),
                             void *ctx);

/** Adds a pair that another model learned, with an increased variance. */
void interference_restore (Interference *model, const InterferencePair *pair);

/** Predicts the headroom that the task would have alone at @p at_us, which must not be before its
 * newest measurement. Without measurements, or if @p service is NULL, returns a cautious prior. */
InterferenceEstimate interference_alone (const InterferenceService *service,
                                         const InterferenceTask *task,
                                         int64_t at_us);

/** Impact of a pair, with its variance. */
InterferenceEstimate
interference_pair (const Interference *model, uint32_t serving, uint32_t best_effort);

/** Expected impact of a pair. */
double interference_impact (const Interference *model, uint32_t serving, uint32_t best_effort);

G_END_DECLS
