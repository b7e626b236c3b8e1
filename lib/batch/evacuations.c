#include "batch/evacuations.h"

typedef struct
{
  int64_t offset;        /**< record of the newest request */
  gboolean is_confirmed; /**< not removed before the newest load */
} Request;

struct Evacuations
{
  GHashTable *requests; /**< data centre -> Request */
};

Evacuations *
evacuations_new (void)
{
  Evacuations *evacuations = g_new0 (Evacuations, 1);

  evacuations->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return evacuations;
}

void
evacuations_free (Evacuations *evacuations)
{
  if (evacuations == NULL)
    return;
  g_hash_table_destroy (evacuations->requests);
  g_free (evacuations);
}

static gboolean
add_request (Evacuations *evacuations, const char *data_centre, int64_t offset)
{
  Request *request = g_hash_table_lookup (evacuations->requests, data_centre);
  gboolean is_new = request == NULL;

  if (is_new)
    {
      request = g_new0 (Request, 1);
      g_hash_table_insert (evacuations->requests, g_strdup (data_centre), request);
    }
  request->offset = MAX (request->offset, offset);
  request->is_confirmed = TRUE;
  return is_new;
}

gboolean
evacuations_apply (Evacuations *evacuations,
                   const char *data_centre,
                   int64_t offset,
                   gboolean is_requested)
{
  if (is_requested)
    return add_request (evacuations, data_centre, offset);
  const Request *request = g_hash_table_lookup (evacuations->requests, data_centre);
  return request != NULL && offset > request->offset
         && g_hash_table_remove (evacuations->requests, data_centre);
}

void
evacuations_begin_load (Evacuations *evacuations)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, evacuations->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Request *) value)->is_confirmed = FALSE;
}

static gboolean
is_unconfirmed (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  (void) data;
  return !((const Request *) value)->is_confirmed;
}

gboolean
evacuations_end_load (Evacuations *evacuations)
{
  return g_hash_table_foreach_remove (evacuations->requests, is_unconfirmed, NULL) > 0;
}

gboolean
evacuations_contains (const Evacuations *evacuations, const char *data_centre)
{
  return g_hash_table_contains (evacuations->requests, data_centre);
}

uint32_t
evacuations_count (const Evacuations *evacuations)
{
  return g_hash_table_size (evacuations->requests);
}
