/**
 * @file cli.h
 * HTTP client of acaciactl: sends a request to the first entry that accepts it.
 *
 * If an entry can't be reached or answers that the request did not run, the next entry is tried. A
 * request that may have taken effect is retried only if it is repeatable.
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
  int64_t timeout_ms;         /**< timeout for connecting, and for each read */
} CliOptions;

typedef struct
{
  const char *method;
  const char *path;         /**< including the query, already escaped */
  const char *content_type; /**< NULL without a body */
  const char *body;         /**< NULL for none */
  size_t body_size;
  gboolean is_repeatable; /**< may be sent again after a lost answer */
} CliRequest;

/** A complete answer; free its texts with cli_answer_clear(). */
typedef struct
{
  uint32_t status;
  char *body; /**< zero-terminated */
  size_t size;
  char *location; /**< where it redirects; NULL if it doesn't */
} CliAnswer;

/** Frees the texts of an answer, not the answer itself. */
void cli_answer_clear (CliAnswer *answer);

/** Initialises the HTTP library. Call it once per process, before cli_call(). */
gboolean cli_start (GError **error);

/** Checks the addresses of all entries; FALSE with #ERR_BAD_CONFIG that names the invalid one. */
gboolean cli_check (const CliOptions *options, GError **error);

/** Sends @p request to one entry and reads the complete answer, whatever its status. Returns FALSE
 * without one, with an error as from cli_call(). */
gboolean cli_exchange (const CliOptions *options,
                       const char *entry,
                       const CliRequest *request,
                       CliAnswer *answer,
                       GError **error);

/**
 * Sends @p request and reads the complete answer. Returns FALSE if no entry accepted it, with the
 * last failure: #ERR_REFUSED if nothing was sent, #ERR_TIMEOUT or #ERR_PROTOCOL if it may have
 * taken effect, #ERR_TOO_LARGE for an answer above #CLI_ANSWER_MAX bytes, #ERR_BAD_CONFIG for an
 * invalid entry URL, or the kind of an entry's error answer.
 */
gboolean
cli_call (const CliOptions *options, const CliRequest *request, CliAnswer *answer, GError **error);

G_END_DECLS
