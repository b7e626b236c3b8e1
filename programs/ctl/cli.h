/**
 * @file cli.h
 * HTTP client of an operator's terminal: one request to the first entry that takes it.
 *
 * A request that reached no entry, or that an entry refused as not run, goes to the next one. A
 * request that may have taken effect does so only when repeating it is harmless.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"

G_BEGIN_DECLS

#define CLI_ANSWER_MAX (16 * 1024 * 1024)

typedef struct
{
  const char *const *entries; /**< NULL-terminated "http://IP:PORT", tried in order */
  int64_t timeout_ms;         /**< for connecting, and again for each read */
} CliOptions;

typedef struct
{
  const char *method;
  const char *path;         /**< with its query, already escaped */
  const char *content_type; /**< NULL without a body */
  const char *body;         /**< NULL for none */
  size_t body_size;
  gboolean is_repeatable; /**< asking again after a lost answer does no harm */
} CliRequest;

/** An answer with its whole body; free the body with g_free(). */
typedef struct
{
  uint32_t status;
  char *body; /**< zero-terminated */
  size_t size;
} CliAnswer;

/** Sets up the HTTP library; once a process, before the first cli_call(). */
gboolean cli_start (GError **error);

/**
 * Sends @p request and reads the whole answer. FALSE when no entry took it, with the newest
 * failure: #ERR_REFUSED nothing was sent, #ERR_TIMEOUT or #ERR_PROTOCOL it may have taken effect,
 * #ERR_BAD_CONFIG an entry's URL is wrong, or the kind of an entry's own error answer.
 */
gboolean
cli_call (const CliOptions *options, const CliRequest *request, CliAnswer *answer, GError **error);

G_END_DECLS
