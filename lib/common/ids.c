#include "common/ids.h"

#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define IDS_DIGITS (IDS_TEXT_SIZE - 1)

IdsId
ids_new (void)
{
  IdsId id = { 0, 0 };

  while (ids_is_zero (id))
    {
      ssize_t got = getrandom (&id, sizeof id, 0);
      if (got != (ssize_t) sizeof id)
        memset (&id, 0, sizeof id);
    }
  return id;
}

gboolean
ids_is_zero (IdsId id)
{
  return id.high == 0 && id.low == 0;
}

gboolean
ids_equal (IdsId a, IdsId b)
{
  return a.high == b.high && a.low == b.low;
}

const char *
ids_print (IdsId id, char text[IDS_TEXT_SIZE])
{
  g_snprintf (text, IDS_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", id.high,
              id.low);
  return text;
}

static gboolean
parse_half (const char *text, uint64_t *half)
{
  *half = 0;
  for (int i = 0; i < IDS_DIGITS / 2; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);
      if (digit < 0)
        return FALSE;
      *half = *half << 4 | (uint64_t) digit;
    }
  return TRUE;
}

gboolean
ids_parse (const char *text, IdsId *id)
{
  if (text == NULL || strlen (text) != IDS_DIGITS)
    return FALSE;
  return parse_half (text, &id->high) && parse_half (text + IDS_DIGITS / 2, &id->low);
}

uint64_t
ids_hash (const void *data, size_t size)
{
  return XXH3_64bits (data, size);
}

uint64_t
ids_hash_text (const char *text)
{
  return ids_hash (text, strlen (text));
}
