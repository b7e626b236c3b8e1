#include "agent/agent_handoff.h"

#include <pthread.h>
#include <time.h>

#include "common/clk.h"

#define NS_PER_US 1000

struct AgentHandoff
{
  pthread_mutex_t mutex; /**< guards all following fields */
  pthread_cond_t changed;
  GQueue items;
  uint32_t max;
  gboolean is_closed;
};

AgentHandoff *
agent_handoff_new (uint32_t max)
{
  AgentHandoff *handoff = g_new0 (AgentHandoff, 1);
  pthread_condattr_t attributes;

  (void) pthread_condattr_init (&attributes);
  (void) pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  (void) pthread_cond_init (&handoff->changed, &attributes);
  (void) pthread_condattr_destroy (&attributes);
  (void) pthread_mutex_init (&handoff->mutex, NULL);
  handoff->max = max;
  return handoff;
}

void
agent_handoff_free (AgentHandoff *handoff, GDestroyNotify free_item)
{
  if (handoff == NULL)
    return;
  g_queue_clear_full (&handoff->items, free_item);
  (void) pthread_cond_destroy (&handoff->changed);
  (void) pthread_mutex_destroy (&handoff->mutex);
  g_free (handoff);
}

gboolean
agent_handoff_push (AgentHandoff *handoff, void *item)
{
  gboolean added;

  (void) pthread_mutex_lock (&handoff->mutex);
  added = !handoff->is_closed && handoff->items.length < handoff->max;
  if (added)
    {
      g_queue_push_tail (&handoff->items, item);
      (void) pthread_cond_signal (&handoff->changed);
    }
  (void) pthread_mutex_unlock (&handoff->mutex);
  return added;
}

static struct timespec
time_after (int64_t wait_us)
{
  struct timespec end;

  (void) clock_gettime (CLOCK_MONOTONIC, &end);
  end.tv_sec += wait_us / CLK_US_PER_S;
  end.tv_nsec += (wait_us % CLK_US_PER_S) * NS_PER_US;
  if (end.tv_nsec >= CLK_US_PER_S * NS_PER_US)
    {
      end.tv_nsec -= CLK_US_PER_S * NS_PER_US;
      end.tv_sec++;
    }
  return end;
}

void *
agent_handoff_pop (AgentHandoff *handoff, int64_t wait_us)
{
  struct timespec end = time_after (MAX (wait_us, 0));
  gboolean in_time = TRUE;
  void *item;

  (void) pthread_mutex_lock (&handoff->mutex);
  while (handoff->items.length == 0 && !handoff->is_closed && in_time)
    {
      if (wait_us < 0)
        (void) pthread_cond_wait (&handoff->changed, &handoff->mutex);
      else
        in_time = pthread_cond_timedwait (&handoff->changed, &handoff->mutex, &end) == 0;
    }
  item = g_queue_pop_head (&handoff->items);
  (void) pthread_mutex_unlock (&handoff->mutex);
  return item;
}

void
agent_handoff_close (AgentHandoff *handoff)
{
  (void) pthread_mutex_lock (&handoff->mutex);
  handoff->is_closed = TRUE;
  (void) pthread_cond_broadcast (&handoff->changed);
  (void) pthread_mutex_unlock (&handoff->mutex);
}

gboolean
agent_handoff_is_closed (AgentHandoff *handoff)
{
  gboolean closed;

  (void) pthread_mutex_lock (&handoff->mutex);
  closed = handoff->is_closed;
  (void) pthread_mutex_unlock (&handoff->mutex);
  return closed;
}
