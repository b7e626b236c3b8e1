/**
 * @file service.h
 * Back end that runs requests in slots, counts runs by idempotency key and injects faults on
 * demand.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Service Service;

typedef struct
{
  uint16_t port;
  uint32_t slots;
  uint32_t connections;
  int64_t service_ms;
  const char *name;
} ServiceOptions;

/** Serves on 127.0.0.1 with one thread per connection. Returns NULL when the port is in use. */
Service *service_new (const ServiceOptions *options);

/** Stops the service after the requests in progress have ended. */
void service_free (Service *service);

G_END_DECLS
