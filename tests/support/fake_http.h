/**
 * @file fake_http.h
 * HTTP server with fault injection, on which the stand-ins of the platform are built.
 *
 * It listens on 127.0.0.1 only, with one thread per connection. POST /fault sets the fault;
 * docs/PLATFORM.md lists the modes.
 */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct FakeHttp FakeHttp;

typedef enum
{
  FAKE_FAULT_NONE,
  FAKE_FAULT_DOWN,        /**< 503 and no effect */
  FAKE_FAULT_SLOW,        /**< effect and answer after delay_ms */
  FAKE_FAULT_LOSE_ANSWER, /**< effect, then the connection closes */
  FAKE_FAULT_TRUNCATE,    /**< effect, then half of the answer */
  FAKE_FAULT_GARBAGE,     /**< effect, then an answer that is not JSON */
  FAKE_FAULT_REFUSE,      /**< the connection closes and there is no effect */
  FAKE_FAULT_DUPLICATE,   /**< effect twice, one answer */
} FakeFaultMode;

/** A fault applies to the next @p count calls within @p for_ms; 0 removes the respective limit. */
typedef struct
{
  FakeFaultMode mode;
  int64_t count;
  int64_t for_ms;
  int64_t delay_ms;
} FakeFault;

typedef struct
{
  const char *method;
  const char *path;
  char **parts; /**< path split at '/', without the leading one */
  guint n_parts;
  const json_t *body; /**< object, or NULL */
  GHashTable *query;  /**< char * to char * */
} FakeRequest;

/** Handles a call on its connection's thread; returns the HTTP status and sets @p answer. */
typedef uint32_t (*FakeHandler) (void *ctx, const FakeRequest *request, json_t **answer);

/** Starts serving on 127.0.0.1:@p port (0: any free port). Returns NULL when the port is in use. */
FakeHttp *fake_http_new (uint16_t port, FakeHandler handler, void *ctx);

/** Stops serving; waits for calls in progress. */
void fake_http_free (FakeHttp *http);

uint16_t fake_http_port (const FakeHttp *http);
void fake_http_fault (FakeHttp *http, const FakeFault *fault);

/** Returns the number of calls received, without those that set a fault. */
uint64_t fake_http_calls (FakeHttp *http);

/** Returns an integer of the query, or @p fallback when it is missing. */
int64_t fake_query (const FakeRequest *request, const char *key, int64_t fallback);

/** Returns an integer member of @p object, or @p fallback when it is missing. */
int64_t fake_integer (const json_t *object, const char *key, int64_t fallback);

/** Sets @p answer to {"error": reason} and returns @p status. */
uint32_t fake_fail (json_t **answer, uint32_t status, const char *reason);

G_END_DECLS
