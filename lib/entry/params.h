/**
 * @file params.h
 * Validates the path, headers and query of requests and converts them to typed values.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"

G_BEGIN_DECLS

#define PARAMS_PATH_MAX 1024
#define PARAMS_NAME_MAX 63
#define PARAMS_KEY_MAX 128
#define PARAMS_CONTENT_TYPE_MAX 127
#define PARAMS_TIMEOUT_MAX_MS INT64_C (600000)
#define PARAMS_CALL_PREFIX "/v1/call/"

/** Whether the caller allows the request to be repeated. */
typedef enum
{
  PARAMS_KIND_DEFAULT, /**< not given: the service's default */
  PARAMS_KIND_ONCE,
  PARAMS_KIND_REPEATABLE,
} ParamsKind;

/** One call; owns its strings. */
typedef struct
{
  char *tenant;
  char *service;
  char *path; /**< with its leading slash and query */
  char *key;  /**< idempotency key; NULL for none */
  char *content_type;
  ParamsKind kind;
  int64_t timeout_ms; /**< 0: the service's timeout */
  int64_t dated_ms;   /**< wall time of the first try; 0: not given */
  IdsId id;           /**< zero: not given, to be generated */
} ParamsCall;

/** Returns the value of header @p name, or NULL. */
typedef const char *(*ParamsHeader) (void *ctx, const char *name);

/**
 * Reads a call from its raw request target and headers into @p call, which must be zeroed. FALSE
 * with #ERR_BAD_REQUEST, #ERR_TOO_LARGE or #ERR_NOT_FOUND. Clear with params_clear() either way.
 */
gboolean
params_call (const char *target, ParamsHeader header, void *ctx, ParamsCall *call, GError **error);

/** Frees the strings of @p call and zeroes it. */
void params_clear (ParamsCall *call);

/** Whether @p text is 1 to @p max letters, digits, '.', '_' and '-'. */
gboolean params_is_name (const char *text, size_t max);

/** Parses a whole decimal number from @p min to @p max. */
gboolean params_integer (const char *text, int64_t min, int64_t max, int64_t *value);

/** Parses exactly 16 hexadecimal digits. */
gboolean params_hex16 (const char *text, uint64_t *value);

G_END_DECLS
