/**
 * @file link.h
 * Persistent HTTP connection of one thread to one address.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

typedef struct Link Link;

/** A complete answer; free with link_answer_clear(). */
typedef struct
{
  uint32_t status;
  GString *body;
  uint32_t attempts; /**< from the Acacia-Attempts header; 0 without one */
} LinkAnswer;

/** A header. The caller owns both texts. */
typedef struct
{
  const char *name;
  const char *value;
} LinkHeader;

typedef struct
{
  const char *method;
  const char *path;
  const LinkHeader *headers;
  size_t n_headers;
  const char *body; /**< NULL for none */
  size_t body_size;
} LinkRequest;

/** Initialises the HTTP library. Call it once per process. */
gboolean link_start (GError **error);

/** Creates a link that connects on first use. NULL with #ERR_BAD_CONFIG for an invalid @p url. */
Link *link_new (const char *url, int64_t timeout_ms, GError **error);
void link_free (Link *link);

/**
 * Sends one request and reads the complete answer; an answer of any status counts as success. Fails
 * with #ERR_REFUSED if nothing was sent, and with #ERR_TIMEOUT or #ERR_PROTOCOL if it may have run.
 */
gboolean link_call (Link *link, const LinkRequest *request, LinkAnswer *answer, GError **error);

void link_answer_clear (LinkAnswer *answer);

/** Returns the error kind of an entry's JSON answer, or #ERR_PROTOCOL if it has none. */
ErrKind link_answer_kind (const LinkAnswer *answer);

G_END_DECLS
