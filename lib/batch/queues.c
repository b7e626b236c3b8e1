#include "batch/queues.h"

#include <string.h>

static void
queue_clear (gpointer data)
{
  Queue *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
}

Queue *
queue_new (void)
{
  return g_rc_box_new0 (Queue);
}

const Queue *
queue_ref (const Queue *queue)
{
  return g_rc_box_acquire ((gpointer) queue);
}

void
queue_unref (const Queue *queue)
{
  if (queue != NULL)
    g_rc_box_release_full ((gpointer) queue, queue_clear);
}

static void
drop_queue (gpointer data)
{
  queue_unref (data);
}

static void
service_free (gpointer data)
{
  QueueService *service = data;

  g_free (service->name);
  g_free (service);
}

QueueConfig *
queue_config_new (int64_t version)
{
  QueueConfig *config = g_new0 (QueueConfig, 1);

  config->version = version;
  config->queues = g_ptr_array_new_with_free_func (drop_queue);
  config->services = g_ptr_array_new_with_free_func (service_free);
  config->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  config->by_route = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return config;
}

void
queue_config_free (QueueConfig *config)
{
  if (config == NULL)
    return;
  g_hash_table_destroy (config->by_route);
  g_hash_table_destroy (config->by_name);
  g_ptr_array_unref (config->services);
  g_ptr_array_unref (config->queues);
  g_free (config);
}

static char *
route_key (const char *host, const char *path, size_t path_size)
{
  g_autofree char *lower = g_ascii_strdown (host, -1);

  return g_strdup_printf ("%s %.*s", lower, (int) path_size, path);
}

void
queue_config_add (QueueConfig *config, Queue *queue)
{
  g_ptr_array_add (config->queues, queue);
  g_hash_table_replace (config->by_name, queue->name, queue);
  g_hash_table_replace (config->by_route,
                        route_key (queue->host, queue->prefix, strlen (queue->prefix)), queue);
}

QueueService *
queue_config_add_service (QueueConfig *config, const char *name)
{
  QueueService *service = g_new0 (QueueService, 1);

  service->name = g_strdup (name);
  g_ptr_array_add (config->services, service);
  return service;
}

const Queue *
queue_config_route (const QueueConfig *config, const char *host, const char *path)
{
  const char *colon = strchr (host, ':');
  g_autofree char *name
      = colon != NULL ? g_strndup (host, (gsize) (colon - host)) : g_strdup (host);
  g_autofree char *key = route_key (name, path, strlen (path));
  size_t shortest = strlen (name) + 1;

  for (size_t size = strlen (key); size > shortest; size--)
    {
      key[size] = '\0';
      const Queue *queue = g_hash_table_lookup (config->by_route, key);
      if (queue != NULL)
        return queue;
    }
  return NULL;
}

const Queue *
queue_config_find (const QueueConfig *config, const char *name)
{
  return g_hash_table_lookup (config->by_name, name);
}
