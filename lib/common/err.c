#include "common/err.h"

static const ErrRow err_rows[ERR_KIND_COUNT] = {
  { ERR_INTERNAL, "internal", 500, ERR_RAN_DOUBT, 1000 },
  { ERR_BAD_REQUEST, "bad_request", 400, ERR_RAN_NO, 0 },
  { ERR_TOO_LARGE, "too_large", 413, ERR_RAN_NO, 0 },
  { ERR_NOT_FOUND, "not_found", 404, ERR_RAN_NO, 0 },
  { ERR_BAD_CONFIG, "bad_config", 422, ERR_RAN_NO, 0 },
  { ERR_STALE_BASE, "stale_base", 409, ERR_RAN_NO, 0 },
  { ERR_KEY_REUSED, "key_reused", 422, ERR_RAN_NO, 0 },
  { ERR_KEY_EXPIRED, "key_expired", 410, ERR_RAN_NO, 0 },
  { ERR_QUEUE_FULL, "queue_full", 503, ERR_RAN_NO, 500 },
  { ERR_NO_ENDPOINT, "no_endpoint", 503, ERR_RAN_NO, 2000 },
  { ERR_ALL_BUSY, "all_busy", 503, ERR_RAN_NO, 500 },
  { ERR_DEADLINE, "deadline", 504, ERR_RAN_NO, 500 },
  { ERR_RETRY_BUDGET, "retry_budget", 503, ERR_RAN_NO, 1000 },
  { ERR_LEAVING, "leaving", 503, ERR_RAN_NO, 500 },
  { ERR_LOG_DOWN, "log_down", 503, ERR_RAN_NO, 5000 },
  { ERR_IN_DOUBT, "in_doubt", 504, ERR_RAN_DOUBT, 2000 },
  { ERR_ANSWER_GONE, "answer_gone", 410, ERR_RAN_YES, 0 },
  { ERR_ENDPOINT_FAILED, "endpoint_failed", 502, ERR_RAN_YES, 0 },
  { ERR_STALE_EPOCH, "stale_epoch", 409, ERR_RAN_NO, 1000 },
  { ERR_NO_LEASE, "no_lease", 409, ERR_RAN_NO, 1000 },
  { ERR_NO_CAPACITY, "no_capacity", 503, ERR_RAN_NO, 1000 },
  { ERR_QUOTA, "quota", 429, ERR_RAN_NO, 5000 },
  { ERR_UNPLACEABLE, "unplaceable", 422, ERR_RAN_NO, 0 },
  { ERR_CANCELLED, "cancelled", 409, ERR_RAN_NO, 0 },
  { ERR_FENCED, "fenced", 409, ERR_RAN_NO, 500 },
  { ERR_NOT_OWNER, "not_owner", 503, ERR_RAN_NO, 500 },
  { ERR_TIMEOUT, "timeout", 504, ERR_RAN_DOUBT, 1000 },
  { ERR_REFUSED, "refused", 503, ERR_RAN_NO, 1000 },
  { ERR_PROTOCOL, "protocol", 502, ERR_RAN_DOUBT, 1000 },
  { ERR_GAP, "gap", 503, ERR_RAN_NO, 5000 },
};

G_DEFINE_QUARK (acacia - error - quark, err)

const ErrRow *
err_row (ErrKind kind)
{
  if ((unsigned int) kind >= ERR_KIND_COUNT)
    kind = ERR_INTERNAL;
  return &err_rows[kind];
}

const char *
err_name (ErrKind kind)
{
  return err_row (kind)->name;
}

const char *
err_ran_name (ErrRan ran)
{
  switch (ran)
    {
    case ERR_RAN_NO:
      return "no";
    case ERR_RAN_YES:
      return "yes";
    case ERR_RAN_DOUBT:
    default:
      return "in doubt";
    }
}

gboolean
err_kind_from_name (const char *name, ErrKind *kind)
{
  for (unsigned int i = 0; i < ERR_KIND_COUNT; i++)
    {
      if (g_strcmp0 (name, err_rows[i].name) == 0)
        {
          *kind = (ErrKind) i;
          return TRUE;
        }
    }
  return FALSE;
}

void
err_set (GError **error, ErrKind kind, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return;
  va_start (args, format);
  g_propagate_error (error, g_error_new_valist (ERR_DOMAIN, (gint) kind, format, args));
  va_end (args);
}

ErrKind
err_kind (const GError *error)
{
  if (error == NULL || error->domain != ERR_DOMAIN)
    return ERR_INTERNAL;
  return (ErrKind) error->code;
}
