/**
 * @file backoff.h
 * Waiting times between tries: doubling up to a bound, with jitter.
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

/** Sets up @p backoff; clear it with backoff_clear(). */
void backoff_init (Backoff *backoff);
void backoff_clear (Backoff *backoff);

/** Time to wait before the next try: between a half and the whole of the doubled bound. */
int64_t backoff_next_ms (Backoff *backoff);

/** Starts from the shortest time again. */
void backoff_reset (Backoff *backoff);

G_END_DECLS
