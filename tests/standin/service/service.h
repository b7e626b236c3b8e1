/**
 * @file service.h
 * A back end that runs requests in slots, counts its runs by key, and fails on demand.
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

/** Serves on 127.0.0.1 with a thread for each connection; NULL when the port is taken. */
Service *service_new (const ServiceOptions *options);

/** Stops after the requests in progress. */
void service_free (Service *service);

G_END_DECLS
