#include "wire/wire_parse.h"

#include <stdlib.h>

#include "common/err.h"
#include "wire/wire.h"

/* Allocator for protobuf-c; NULL beyond the budget makes it reject the message. */
static void *
budget_alloc (void *data, size_t size)
{
  size_t *left = data;

  if (size > *left)
    return NULL;
  *left -= size;
  return malloc (size);
}

static void
budget_free (void *data, void *pointer)
{
  (void) data;
  free (pointer);
}

Wire__Envelope *
wire_parse (const void *data, size_t size, GError **error)
{
  size_t left = WIRE_PARSE_BYTES_MAX;
  ProtobufCAllocator allocator
      = { .alloc = budget_alloc, .free = budget_free, .allocator_data = &left };

  if (size > WIRE_MESSAGE_MAX)
    {
      err_set (error, ERR_PROTOCOL, "message of %zu bytes exceeds the limit", size);
      return NULL;
    }
  Wire__Envelope *envelope = wire__envelope__unpack (&allocator, size, data);
  if (envelope == NULL)
    {
      err_set (error, ERR_PROTOCOL, "malformed message of %zu bytes", size);
      return NULL;
    }
  if (envelope->body_case == WIRE__ENVELOPE__BODY__NOT_SET)
    {
      wire_parsed_free (envelope);
      err_set (error, ERR_PROTOCOL, "message without a known body");
      return NULL;
    }
  return envelope;
}

void
wire_parsed_free (Wire__Envelope *envelope)
{
  size_t left = 0;
  ProtobufCAllocator allocator
      = { .alloc = budget_alloc, .free = budget_free, .allocator_data = &left };

  if (envelope != NULL)
    wire__envelope__free_unpacked (envelope, &allocator);
}
