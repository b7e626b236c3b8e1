#include "load.h"

const char *
load_class_name (LoadClass class)
{
  static const char *const names[LOAD_CLASS_COUNT] = { "repeatable", "once", "direct" };

  return names[class];
}

void
load_tally_init (LoadTally *tally)
{
  *tally = (LoadTally){ .samples = g_array_new (FALSE, FALSE, sizeof (LoadSample)) };
}

void
load_tally_clear (LoadTally *tally)
{
  g_array_free (tally->samples, TRUE);
  tally->samples = NULL;
}

void
load_tally_merge (LoadTally *into, const LoadTally *from)
{
  if (from->samples->len > 0)
    g_array_append_vals (into->samples, from->samples->data, from->samples->len);
  into->sent += from->sent;
  into->retries += from->retries;
  into->mismatched += from->mismatched;
  for (int kind = 0; kind < ERR_KIND_COUNT; kind++)
    into->refusals[kind] += from->refusals[kind];
}
