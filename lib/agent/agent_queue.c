#include "agent/agent_queue.h"

typedef struct
{
  void *item;
  int64_t deadline_us;
} Waiting;

struct AgentQueue
{
  uint32_t slots;
  uint32_t connections;
  uint32_t running;
  GQueue waiting; /**< Waiting, oldest first */
};

AgentQueue *
agent_queue_new (uint32_t slots, uint32_t connections)
{
  AgentQueue *queue = g_new0 (AgentQueue, 1);

  queue->slots = slots;
  queue->connections = connections;
  return queue;
}

void
agent_queue_free (AgentQueue *queue)
{
  if (queue == NULL)
    return;
  g_assert (g_queue_is_empty (&queue->waiting));
  g_free (queue);
}

void
agent_queue_set_limits (AgentQueue *queue, uint32_t slots, uint32_t connections)
{
  queue->slots = slots;
  queue->connections = connections;
}

gboolean
agent_queue_add (AgentQueue *queue, void *item, int64_t deadline_us, int64_t now_us, ErrKind *kind)
{
  if (now_us >= deadline_us)
    {
      *kind = ERR_DEADLINE;
      return FALSE;
    }
  if (queue->running + queue->waiting.length >= queue->connections)
    {
      *kind = ERR_ALL_BUSY;
      return FALSE;
    }
  Waiting *waiting = g_new (Waiting, 1);
  *waiting = (Waiting){ item, deadline_us };
  g_queue_push_tail (&queue->waiting, waiting);
  return TRUE;
}

static void *
remove_link (AgentQueue *queue, GList *link)
{
  g_autofree Waiting *waiting = link->data;

  g_queue_delete_link (&queue->waiting, link);
  return waiting->item;
}

void *
agent_queue_take (AgentQueue *queue, int64_t now_us, gboolean *expired)
{
  *expired = FALSE;
  for (GList *link = queue->waiting.head; link != NULL; link = link->next)
    {
      const Waiting *waiting = link->data;
      if (now_us < waiting->deadline_us)
        continue;
      *expired = TRUE;
      return remove_link (queue, link);
    }
  if (queue->waiting.head == NULL || queue->running >= queue->slots)
    return NULL;
  queue->running++;
  return remove_link (queue, queue->waiting.head);
}

void
agent_queue_done (AgentQueue *queue)
{
  g_assert (queue->running > 0);
  queue->running--;
}

uint32_t
agent_queue_running (const AgentQueue *queue)
{
  return queue->running;
}

uint32_t
agent_queue_queued (const AgentQueue *queue)
{
  return queue->waiting.length;
}

uint32_t
agent_queue_slots (const AgentQueue *queue)
{
  return queue->slots;
}

uint32_t
agent_queue_connections (const AgentQueue *queue)
{
  return queue->connections;
}
