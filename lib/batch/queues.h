/**
 * @file queues.h
 * The operators' configuration of queues and services, in one version.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** What the advice service of a queue takes to answer, and how long a ticket holds. */
typedef struct
{
  int64_t decision_ms;
  int64_t per_worker_ms;
  int64_t validity_ms;
} QueueAdvice;

typedef struct
{
  char *name;
  char *host;
  char *prefix;      /**< paths of its jobs begin with it */
  char *service;     /**< whose workers run the tasks */
  uint32_t priority; /**< 0 comes first */
  uint32_t attempts_max;
  double stretch; /**< objective: this many times the chain of work, and target_ms */
  int64_t target_ms;
  int64_t timeout_ms;
  gboolean has_advice;
  QueueAdvice advice;
} Queue;

typedef struct
{
  char *name;
  gboolean guards_capacity; /**< its workers refuse what does not fit */
  gboolean is_standby;      /**< its machines are off */
} QueueService;

typedef struct
{
  int64_t version;
  GPtrArray *queues;    /**< Queue, owned */
  GPtrArray *services;  /**< QueueService, owned */
  GHashTable *by_name;  /**< name -> Queue */
  GHashTable *by_place; /**< "host prefix" -> Queue */
} QueueConfig;

/** Makes an empty configuration; free with queue_config_free(). */
QueueConfig *queue_config_new (int64_t version);

/** NULL is allowed. */
void queue_config_free (QueueConfig *config);

/** Adds @p queue, which @p config then owns. */
void queue_config_add (QueueConfig *config, Queue *queue);

/** Adds a service, owned by @p config. */
QueueService *queue_config_add_service (QueueConfig *config, const char *name);

/** The queue of the longest prefix of @p path at @p host, or NULL. */
const Queue *queue_config_route (const QueueConfig *config, const char *host, const char *path);

/** The queue called @p name, or NULL. */
const Queue *queue_config_find (const QueueConfig *config, const char *name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QueueConfig, queue_config_free)

G_END_DECLS
