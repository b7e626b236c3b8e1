/**
 * @file err.h
 * All error kinds and the table that maps a kind to an answer.
 *
 * Modules report failures as a GError in the domain #ERR_DOMAIN whose code is an #ErrKind. For each
 * kind the table holds its stable name, the HTTP status, whether the requested work ran, and when
 * the caller should retry.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Domain of all GErrors that modules return. */
#define ERR_DOMAIN (err_quark ())

/** Whether the work behind a failed request ran. */
typedef enum
{
  ERR_RAN_NO,    /**< it did not run and is fenced against a late start */
  ERR_RAN_YES,   /**< it ran, but its answer is not available */
  ERR_RAN_DOUBT, /**< it may have run; a retry with the same key is safe */
} ErrRan;

/** All error kinds; the names are stable and part of the HTTP API. */
typedef enum
{
  ERR_INTERNAL,        /**< a broken internal invariant */
  ERR_BAD_REQUEST,     /**< the request is malformed */
  ERR_TOO_LARGE,       /**< a limit on headers, body or time was exceeded */
  ERR_NOT_FOUND,       /**< no such service, job, task or path */
  ERR_BAD_CONFIG,      /**< a settings file or operator document is invalid */
  ERR_STALE_BASE,      /**< a configuration is not based on the newest version */
  ERR_KEY_REUSED,      /**< an idempotency key was reused for a different request */
  ERR_KEY_EXPIRED,     /**< dated before the key window: not run now, may have run earlier */
  ERR_QUEUE_FULL,      /**< an internal bounded queue is full */
  ERR_NO_ENDPOINT,     /**< no endpoint of the service is known and live */
  ERR_ALL_BUSY,        /**< every endpoint's slots and connections are taken */
  ERR_DEADLINE,        /**< the deadline can't be met; nothing was started */
  ERR_RETRY_BUDGET,    /**< a retry was due, but the retry budget is used up */
  ERR_LEAVING,         /**< the process is shutting down and accepts no new work */
  ERR_LOG_DOWN,        /**< the platform's log can't be reached; nothing was started */
  ERR_IN_DOUBT,        /**< sent, and it is unknown whether it ran */
  ERR_ANSWER_GONE,     /**< ran, but the answer is no longer stored */
  ERR_ENDPOINT_FAILED, /**< the endpoint ran the request and answered with a failure */
  ERR_STALE_EPOCH,     /**< the sender's epoch for the shard is not the newest */
  ERR_NO_LEASE,        /**< no valid lease covers the command */
  ERR_NO_CAPACITY,     /**< reservations would exceed processors, memory or accelerators */
  ERR_QUOTA,           /**< the team's quota is used up */
  ERR_UNPLACEABLE,     /**< the rules and sizes admit no instance for the task */
  ERR_CANCELLED,       /**< cancelled before completion */
  ERR_FENCED,          /**< the attempt or record was fenced before it took effect */
  ERR_NOT_OWNER,       /**< this entry does not own the shard */
  ERR_TIMEOUT,         /**< a call to the platform or an endpoint timed out */
  ERR_REFUSED,         /**< no connection could be made: nothing was sent */
  ERR_PROTOCOL,        /**< a peer's answer is malformed, truncated or contradicts its digest */
  ERR_GAP,             /**< log records that were needed have expired */
  ERR_KIND_COUNT,
} ErrKind;

/** One row of the table that maps a kind to an answer. */
typedef struct
{
  ErrKind kind;
  const char *name;        /**< stable, lower case with underscores */
  uint32_t http_status;    /**< status of the answer to a caller */
  ErrRan ran;              /**< whether the work ran, unless the answer is more precise */
  uint32_t retry_after_ms; /**< when to retry; 0: a retry does not help */
} ErrRow;

/** Returns the GError domain. */
GQuark err_quark (void);

/** Returns the row of @p kind; an unknown value gives the row of #ERR_INTERNAL. Static storage. */
const ErrRow *err_row (ErrKind kind);

/** Returns the stable name of @p kind; static storage. */
const char *err_name (ErrKind kind);

/** Returns "no", "yes" or "in doubt"; static storage. */
const char *err_ran_name (ErrRan ran);

/** Finds a kind by its stable name; FALSE if there is none. */
gboolean err_kind_from_name (const char *name, ErrKind *kind);

/** Sets @p error to @p kind with a formatted message; does nothing when @p error is NULL. */
void err_set (GError **error, ErrKind kind, const char *format, ...) G_GNUC_PRINTF (3, 4);

/** Returns the kind of @p error; #ERR_INTERNAL for NULL or a foreign domain. */
ErrKind err_kind (const GError *error);

G_END_DECLS
