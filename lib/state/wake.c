#include "state/wake.h"

#include <time.h>

#include "common/clk.h"

#define NS_PER_US 1000

void
wake_init (Wake *wake)
{
  pthread_condattr_t attributes;

  pthread_mutex_init (&wake->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&wake->changed, &attributes);
  pthread_condattr_destroy (&attributes);
}

void
wake_clear (Wake *wake)
{
  pthread_cond_destroy (&wake->changed);
  pthread_mutex_destroy (&wake->lock);
}

void
wake_lock (Wake *wake)
{
  pthread_mutex_lock (&wake->lock);
}

void
wake_unlock (Wake *wake)
{
  pthread_mutex_unlock (&wake->lock);
}

void
wake_signal (Wake *wake)
{
  pthread_cond_broadcast (&wake->changed);
}

void
wake_wait (Wake *wake)
{
  pthread_cond_wait (&wake->changed, &wake->lock);
}

int64_t
wake_now_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * CLK_US_PER_S + now.tv_nsec / NS_PER_US;
}

gboolean
wake_wait_until (Wake *wake, int64_t end_us)
{
  const struct timespec end
      = { .tv_sec = end_us / CLK_US_PER_S, .tv_nsec = end_us % CLK_US_PER_S * NS_PER_US };

  return pthread_cond_timedwait (&wake->changed, &wake->lock, &end) == 0;
}
