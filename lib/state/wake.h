/**
 * @file wake.h
 * A mutex with a condition variable whose timed waits use the monotonic clock.
 */
#pragma once

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
} Wake;

void wake_init (Wake *wake);
void wake_clear (Wake *wake);

void wake_lock (Wake *wake);
void wake_unlock (Wake *wake);

/** Wakes all waiting threads. */
void wake_signal (Wake *wake);

/** Waits for a signal; the caller holds the lock. */
void wake_wait (Wake *wake);

/** Current time of the clock that wake_wait_until() uses. */
int64_t wake_now_us (void);

/** Waits for a signal until @p end_us; FALSE on time-out. The caller holds the lock. */
gboolean wake_wait_until (Wake *wake, int64_t end_us);

G_END_DECLS
