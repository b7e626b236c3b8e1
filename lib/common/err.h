/**
 * @file err.h
 * The closed list of error kinds and the one table from kind to answer.
 *
 * Every failure that crosses a module border is a GError in the domain #ERR_DOMAIN whose code is an
 * #ErrKind. The table says, for each kind, its stable name, the HTTP status, whether the work that
 * was asked for ran, and when the caller should come back.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Domain of all GErrors that the modules return. */
#define ERR_DOMAIN (err_quark ())

/** Whether the work behind a failed request ran. */
typedef enum
{
  ERR_RAN_NO,    /**< certainly not run, and fenced against a late start */
  ERR_RAN_YES,   /**< it ran; only its answer can't be given */
  ERR_RAN_DOUBT, /**< it may have run; asking again under the same key is safe */
} ErrRan;

/** All error kinds; the names are stable and part of the HTTP API. */
typedef enum
{
  ERR_INTERNAL,        /**< a broken invariant of our own */
  ERR_BAD_REQUEST,     /**< the request can't be understood */
  ERR_TOO_LARGE,       /**< a bound on headers, body or time was passed */
  ERR_NOT_FOUND,       /**< no such service, job, task or path */
  ERR_BAD_CONFIG,      /**< a settings file or operator document is invalid */
  ERR_STALE_BASE,      /**< a configuration based on an older version than the newest */
  ERR_KEY_REUSED,      /**< an idempotency key came back with a different request */
  ERR_KEY_EXPIRED,     /**< dated before the key window: not run now, may have run then */
  ERR_QUEUE_FULL,      /**< a bounded queue of ours is full */
  ERR_NO_ENDPOINT,     /**< no endpoint of the service is known and live */
  ERR_ALL_BUSY,        /**< every endpoint's slots and connections are taken */
  ERR_DEADLINE,        /**< the deadline can't be met; nothing was started */
  ERR_RETRY_BUDGET,    /**< a retry was due, but the budget for retries is spent */
  ERR_LEAVING,         /**< the process is leaving and takes nothing new */
  ERR_LOG_DOWN,        /**< the platform's log can't be reached; nothing was started */
  ERR_IN_DOUBT,        /**< sent, and whether it ran can't be known now */
  ERR_ANSWER_GONE,     /**< ran, but the answer is no longer held */
  ERR_ENDPOINT_FAILED, /**< the endpoint ran the request and answered with a failure */
  ERR_STALE_EPOCH,     /**< the sender's epoch for the shard is not the newest */
  ERR_NO_LEASE,        /**< no live lease covers the command */
  ERR_NO_CAPACITY,     /**< reservations would exceed processors, memory or accelerators */
  ERR_QUOTA,           /**< the team's quota is used up */
  ERR_UNPLACEABLE,     /**< no instance can ever hold the task under the rules */
  ERR_CANCELLED,       /**< cancelled before it was done */
  ERR_FENCED,          /**< the attempt or record was fenced before it took effect */
  ERR_NOT_OWNER,       /**< this entry does not own the shard */
  ERR_TIMEOUT,         /**< a call to the platform or endpoint ended without an answer */
  ERR_REFUSED,         /**< a connection was refused or could not be made: nothing was sent */
  ERR_PROTOCOL,        /**< a peer's answer is malformed, truncated or contradicts its digest */
  ERR_GAP,             /**< log records that were needed have expired */
  ERR_KIND_COUNT,
} ErrKind;

/** One row of the table from kind to answer. */
typedef struct
{
  ErrKind kind;
  const char *name;        /**< stable, lower case with underscores */
  uint32_t http_status;    /**< status of the answer to a caller */
  ErrRan ran;              /**< whether the work ran, unless the answer says more */
  uint32_t retry_after_ms; /**< when to come back; 0: asking again won't help */
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
