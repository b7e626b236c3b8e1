/**
 * @file backoff.h
 * Exponential back-off with jitter: the delay doubles up to BACKOFF_MAX_MS.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define BACKOFF_FIRST_MS 20
#define BACKOFF_MAX_MS 1000

typedef struct
{
  GRand *random;
  int64_t next_ms;
} Backoff;

/** Initialises @p backoff; release it with backoff_clear(). */
void backoff_init (Backoff *backoff);
void backoff_clear (Backoff *backoff);

/** Delay before the next retry: random between half of the current bound and the bound. */
int64_t backoff_next_ms (Backoff *backoff);

/** Resets the bound to BACKOFF_FIRST_MS; called after a success. */
void backoff_reset (Backoff *backoff);

G_END_DECLS
