/**
 * @file link.h
 * One thread's HTTP connections: kept open, one for each address.
 */
#pragma once

#include "load.h"

G_BEGIN_DECLS

typedef struct Link Link;

/** One answer; free with link_answer_clear(). */
typedef struct
{
  uint32_t status;
  GString *body;
  uint32_t attempts; /**< as the answer tells; 0 when it doesn't */
} LinkAnswer;

/** A header; both texts belong to the caller. */
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

/** Sets up the HTTP library; once a process. */
gboolean link_start (GError **error);

/** Connects to nothing yet; NULL with #ERR_BAD_CONFIG when @p url isn't http://IP:PORT. */
Link *link_new (const char *url, int64_t timeout_ms, GError **error);
void link_free (Link *link);

/**
 * Sends one request and reads the whole answer. #ERR_REFUSED: nothing was sent; #ERR_TIMEOUT and
 * #ERR_PROTOCOL: it may have run. An answer of any status is a success here.
 */
gboolean link_call (Link *link, const LinkRequest *request, LinkAnswer *answer, GError **error);

void link_answer_clear (LinkAnswer *answer);

/** Kind of the error that an entry's JSON answer names; #ERR_PROTOCOL when it names none. */
ErrKind link_answer_kind (const LinkAnswer *answer);

G_END_DECLS
