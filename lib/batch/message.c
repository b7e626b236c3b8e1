#include "batch/message.h"

#include <stdlib.h>
#include <string.h>

void *
message_alloc (size_t size)
{
  void *memory = calloc (1, MAX (size, 1));

  g_assert (memory != NULL);
  return memory;
}

char *
message_strdup (const char *text)
{
  char *copy = strdup (text != NULL ? text : "");

  g_assert (copy != NULL);
  return copy;
}
