/**
 * @file interference.h
 * How much the images that fill take from the headroom of the images that serve.
 *
 * The headroom of a serving task is its target divided by its tail: under 1 it is over its target.
 * Tails grow like those of a queue, with the inverse of what is left of the processors' caches and
 * buses, so it is the headroom that falls in proportion: by a take of the pair of images for each
 * worker's worth of processors at work. The headroom that a task would have alone is that of its
 * service, whose replicas share the load, and what is its own. For each serving image a Kalman
 * filter estimates the takes and its services' headrooms together: these have a level and a slope,
 * what is a task's own fades within seconds, takes hardly change. Pure: no I/O, no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Interference Interference;

/** Images that are told apart; all later ones count as one. */
#define INTERFERENCE_IMAGES_MAX 1000

/** Headroom that the load of a service leaves its replicas; of one model. */
typedef struct InterferenceService InterferenceService;

/** What one replica has above or below its service. Zero-initialised before its first figure. */
typedef struct
{
  double own;      /**< at seen_us */
  double variance; /**< of that estimate */
  double figure;   /**< newest headroom that was taken in */
  int64_t seen_us; /**< when that was; 0: never */
} InterferenceTask;

/** An estimate and its variance. */
typedef struct
{
  double mean;
  double variance;
} InterferenceEstimate;

/** Processors at work for an image beside a serving task, averaged over a figure's time. */
typedef struct
{
  uint32_t image;
  double share; /**< of the worker's processors */
} InterferenceLoad;

/** Makes a model that knows no pair; free with interference_free(). */
Interference *interference_new (void);
/** NULL is allowed. */
void interference_free (Interference *model);

/** Number of the image called @p name; NULL is an image too. */
uint32_t interference_image (Interference *model, const char *name);

/** A service of image @p serving; free it with interference_service_free() before the model. */
InterferenceService *interference_service_new (Interference *model, uint32_t serving);
/** NULL is allowed. */
void interference_service_free (InterferenceService *service);

/**
 * Takes in a figure: the headroom of a replica of @p service beside @p loads, measured about
 * @p now_us. A figure that only repeats the last one within #INTERFERENCE_REPEAT_MS changes
 * nothing.
 */
void interference_observe (InterferenceService *service,
                           InterferenceTask *task,
                           double headroom,
                           const InterferenceLoad *loads,
                           uint32_t n_loads,
                           int64_t now_us);

/** Figures that repeat the last one within this time may be the same measurement. */
#define INTERFERENCE_REPEAT_MS 600

/** Images that fill beside one task that are told apart. */
#define INTERFERENCE_LOADS_MAX 32
/** Filling images that are told apart beside one serving image. */
#define INTERFERENCE_TAKES_MAX 64
/** Pairs that are kept; figures beside more of them teach nothing about the others. With as many,
 * the covariances take some 20 MB. */
#define INTERFERENCE_PAIRS_MAX 10000

/** What was learned of one pair. */
typedef struct
{
  const char *serving;
  const char *filling;
  double take;
  double variance;
} InterferencePair;

/** Calls @p each for every pair that was learned. */
void interference_each_pair (const Interference *model,
                             void (*each) (void *ctx, const InterferencePair *pair),
                             void *ctx);

/** Takes over what another model learned of a pair, with some doubt more. */
void interference_restore (Interference *model, const InterferencePair *pair);

/** Headroom that the task would have alone at @p at_us, which is not before its newest figure; a
 * cautious guess for a service, or NULL, without figures. */
InterferenceEstimate interference_alone (const InterferenceService *service,
                                         const InterferenceTask *task,
                                         int64_t at_us);

/** Take of a pair, with its variance. */
InterferenceEstimate
interference_pair (const Interference *model, uint32_t serving, uint32_t filling);

/** Expected take of a pair. */
double interference_take (const Interference *model, uint32_t serving, uint32_t filling);

G_END_DECLS
