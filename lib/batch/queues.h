/**
 * @file queues.h
 * One version of the operators' configuration of queues and services.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Latency model of a queue's advice service and lifetime of its tickets. */
typedef struct
{
  int64_t decision_ms;
  int64_t per_worker_ms;
  int64_t validity_ms;
} QueueAdvice;

/** A queue as one version configured it. Reference-counted, as jobs keep it beyond that version;
 * not thread-safe. */
typedef struct
{
  char *name;
  char *host;
  char *prefix;      /**< path prefix of its jobs */
  char *service;     /**< service whose workers run the tasks */
  uint32_t priority; /**< 0 is the most urgent */
  uint32_t attempts_max;
  double stretch; /**< objective: stretch * duration of the longest chain of steps + target_ms */
  int64_t target_ms;
  int64_t timeout_ms;
  gboolean has_advice;
  QueueAdvice advice;
} Queue;

typedef struct
{
  char *name;
  gboolean rejects_over_capacity; /**< its workers reject tasks that exceed their capacity */
  gboolean is_standby;            /**< its machines are powered off */
} QueueService;

typedef struct
{
  int64_t version;
  GPtrArray *queues;    /**< Queue, a reference to each */
  GPtrArray *services;  /**< QueueService, owned */
  GHashTable *by_name;  /**< name -> Queue */
  GHashTable *by_route; /**< "host prefix" -> Queue */
} QueueConfig;

/** Creates an empty queue with one reference. */
Queue *queue_new (void);

/** Adds a reference to @p queue and returns it. */
const Queue *queue_ref (const Queue *queue);

/** Drops a reference; the last one frees the queue. NULL is allowed. */
void queue_unref (const Queue *queue);

/** Creates an empty configuration; free with queue_config_free(). */
QueueConfig *queue_config_new (int64_t version);

/** Frees a configuration; NULL is allowed. */
void queue_config_free (QueueConfig *config);

/** Adds @p queue and takes over the caller's reference. */
void queue_config_add (QueueConfig *config, Queue *queue);

/** Adds a service, owned by @p config. */
QueueService *queue_config_add_service (QueueConfig *config, const char *name);

/** Returns the queue with the longest prefix of @p path at @p host, or NULL. A port in @p host is
 * ignored. */
const Queue *queue_config_route (const QueueConfig *config, const char *host, const char *path);

/** Returns the queue called @p name, or NULL; @p config owns it. */
const Queue *queue_config_find (const QueueConfig *config, const char *name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QueueConfig, queue_config_free)

G_END_DECLS
