#include "state/backoff.h"

void
backoff_init (Backoff *backoff)
{
  backoff->random = g_rand_new ();
  backoff->next_ms = BACKOFF_FIRST_MS;
}

void
backoff_clear (Backoff *backoff)
{
  g_clear_pointer (&backoff->random, g_rand_free);
}

int64_t
backoff_next_ms (Backoff *backoff)
{
  int64_t bound_ms = backoff->next_ms;

  backoff->next_ms = MIN (bound_ms * 2, BACKOFF_MAX_MS);
  return bound_ms / 2 + g_rand_int_range (backoff->random, 0, (gint32) (bound_ms / 2) + 1);
}

void
backoff_reset (Backoff *backoff)
{
  backoff->next_ms = BACKOFF_FIRST_MS;
}
