#include "entry/once.h"

#include <string.h>

#include "common/clk.h"
#include "entry/once_row.h"

/** Time for which an attempt without waiters is kept, so that a late answer is still logged. */
#define UNATTENDED_KEEP_US (60 * CLK_US_PER_S)

struct Once
{
  OnceOptions options;
  OnceOps ops;
  GHashTable *rows; /**< OnceRow by name; owns the rows */
};

static void advance (Once *once, OnceRow *row, const Fold *fold, int64_t now_us);

Once *
once_new (const OnceOptions *options, const OnceOps *ops)
{
  Once *once = g_new0 (Once, 1);

  once->options = *options;
  once->ops = *ops;
  once->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, once_row_free);
  return once;
}

void
once_free (Once *once)
{
  if (once == NULL)
    return;
  g_hash_table_destroy (once->rows);
  g_free (once);
}

static void
release_outstanding (Once *once, OnceRow *row, RouteEnd end)
{
  if (row->is_outstanding)
    once->ops.ended (once->ops.ctx, row->agent, row->agent_incarnation, row->service, end);
  row->is_outstanding = FALSE;
}

static void
remove_row (Once *once, OnceRow *row)
{
  release_outstanding (once, row, ROUTE_ABANDONED);
  g_hash_table_remove (once->rows, row->name);
}

static void
answer_all (Once *once, OnceRow *row, const OnceAnswer *answer)
{
  GArray *waiters = row->waiters;

  row->waiters = g_array_new (FALSE, FALSE, sizeof (OnceWaiter));
  for (guint i = 0; i < waiters->len; i++)
    once->ops.answer (once->ops.ctx, g_array_index (waiters, OnceWaiter, i).waiter, answer);
  g_array_free (waiters, TRUE);
}

static void
fail_all (Once *once, OnceRow *row, ErrKind kind, ErrRan ran, const char *message)
{
  OnceAnswer answer = once_error (kind, ran, message);

  answer.attempts = row->attempt;
  answer_all (once, row, &answer);
}

/* Ends a row of which nothing was sent or whose attempt is fenced: the answer is final. */
static void
end_not_run (Once *once, OnceRow *row, ErrKind kind, const char *message)
{
  fail_all (once, row, kind, ERR_RAN_NO, message);
  remove_row (once, row);
}

static gboolean
append_intent (Once *once, OnceRow *row)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Intent intent;

  once_row_intent (row, &intent);
  record.body_case = RECORD__RECORD__BODY_INTENT;
  record.intent = &intent;
  return once->ops.append (once->ops.ctx, &record, FALSE, &row->record);
}

static gboolean
pick_agent (Once *once, OnceRow *row, uint32_t attempt, int64_t now_us, ErrKind *kind)
{
  const char *agent = NULL;
  uint64_t incarnation = 0;
  int64_t sent_us = 0;
  int64_t budget_us = once_row_deadline (row) - now_us;

  if (!once->ops.pick (once->ops.ctx, row->service, row->tried, row->n_tried, budget_us, &agent,
                       &incarnation, &sent_us, kind))
    return FALSE;
  IdsId request = row->own_attempts == 0 ? row->first_request : ids_new ();
  once_row_set_attempt (row, attempt, request, agent, incarnation);
  row->agent_sent_us = sent_us;
  if (row->n_tried < ROUTE_TRIED_MAX)
    row->tried[row->n_tried++] = g_intern_string (agent);
  row->own_attempts++;
  return TRUE;
}

static void
new_attempt (Once *once, OnceRow *row, const Fold *fold, uint32_t attempt, int64_t now_us)
{
  ErrKind kind = ERR_INTERNAL;

  if (!once->ops.log_is_up (once->ops.ctx))
    end_not_run (once, row, ERR_LOG_DOWN, "the platform's log can't be reached; nothing was sent");
  else if (row->dated_ms < fold_key_window_start_ms (fold))
    end_not_run (once, row, ERR_KEY_EXPIRED,
                 "dated before the key window: not run now, an earlier request may have run");
  else if (row->own_attempts > 0 && !once->ops.may_retry (once->ops.ctx, row->last_kind))
    end_not_run (once, row, row->last_kind,
                 "refused before it started; the retry budget is exhausted");
  else if (!pick_agent (once, row, attempt, now_us, &kind))
    end_not_run (once, row, kind, "no endpoint can take the request now");
  else
    {
      row->state = ONCE_INTENT;
      row->is_abandoned = FALSE;
      row->keep_until_us = now_us + UNATTENDED_KEEP_US;
      if (!append_intent (once, row))
        end_not_run (once, row, ERR_LOG_DOWN,
                     "the log did not accept the intent; nothing was sent");
    }
}

static void
watch_attempt (Once *once, OnceRow *row, const FoldIntent *intent, int64_t now_us)
{
  release_outstanding (once, row, ROUTE_ABANDONED);
  once_row_set_attempt (row, intent->attempt, intent->request, intent->agent,
                        intent->agent_incarnation);
  row->agent_sent_us = 0;
  row->state = ONCE_WATCH;
  row->query_us = now_us + once->options.query_after_us;
}

/* Advances the row according to the log's state of its key. */
static void
advance (Once *once, OnceRow *row, const Fold *fold, int64_t now_us)
{
  const FoldIntent *intent = fold_intent (fold, row->tenant, row->key);

  if (intent == NULL)
    new_attempt (once, row, fold, 1, now_us);
  else if (intent->request_digest != row->request_digest)
    end_not_run (once, row, ERR_KEY_REUSED, "the key was already used with a different request");
  else if (!intent->has_outcome)
    watch_attempt (once, row, intent, now_us);
  else if (intent->fenced)
    new_attempt (once, row, fold, intent->attempt + 1, now_us);
  else
    {
      OnceAnswer answer = once_from_intent (intent);
      answer_all (once, row, &answer);
      remove_row (once, row);
    }
}

static void
answer_one (Once *once, void *waiter, ErrKind kind, const char *message)
{
  OnceAnswer answer = once_error (kind, ERR_RAN_NO, message);

  once->ops.answer (once->ops.ctx, waiter, &answer);
}

void
once_begin (Once *once, const Fold *fold, const OnceRequest *ask, int64_t now_us)
{
  g_autofree char *name = once_row_name (ask->tenant, ask->key);
  uint64_t digest = once_row_digest (ask);
  OnceRow *row = g_hash_table_lookup (once->rows, name);

  if (row != NULL && row->request_digest != digest)
    answer_one (once, ask->waiter, ERR_KEY_REUSED,
                "the key was already used with a different request");
  else if (row != NULL)
    {
      OnceWaiter waiter = { ask->waiter, ask->deadline_us };
      g_array_append_val (row->waiters, waiter);
    }
  else if (g_hash_table_size (once->rows) >= once->options.rows_max)
    answer_one (once, ask->waiter, ERR_QUEUE_FULL, "too many once requests are pending");
  else
    {
      row = once_row_new (ask, digest);
      g_hash_table_insert (once->rows, row->name, row);
      advance (once, row, fold, now_us);
    }
}

/* Logs that the attempt certainly did not run, which must precede the intent of another one. */
static void
fence (Once *once, OnceRow *row, ErrKind kind)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Outcome outcome;

  once_row_fence (row, kind, &outcome);
  record.body_case = RECORD__RECORD__BODY_OUTCOME;
  record.outcome = &outcome;
  row->last_kind = kind;
  row->state = ONCE_FENCING;
  if (!once->ops.append (once->ops.ctx, &record, TRUE, &row->record) || row->waiters->len == 0
      || !once->ops.log_is_up (once->ops.ctx))
    end_not_run (once, row, kind, "refused before it started");
}

static void
send_attempt (Once *once, OnceRow *row, int64_t now_us)
{
  OnceSend send = { row->request,      row->attempt,
                    row->tenant,       row->key,
                    row->service,      row->path,
                    row->content_type, row->body,
                    row->body_digest,  once_row_deadline (row) - now_us,
                    row->agent,        row->agent_incarnation,
                    row->agent_sent_us };

  row->state = ONCE_SENT;
  if (once->ops.send (once->ops.ctx, &send))
    {
      row->is_outstanding = TRUE;
      row->keep_until_us = now_us + UNATTENDED_KEEP_US;
    }
  else
    fence (once, row, ERR_REFUSED);
}

/* This entry's intent was read back as the first of its attempt, so the attempt may be sent. */
static void
intent_applied (Once *once, OnceRow *row, int64_t now_us)
{
  if (row->is_abandoned || once_row_deadline (row) <= now_us)
    fence (once, row, ERR_DEADLINE);
  else
    send_attempt (once, row, now_us);
}

static void
intent_folded (Once *once, OnceRow *row, const Fold *fold, int64_t now_us)
{
  FoldResult result = FOLD_APPLIED;

  if (!fold_record_result (fold, row->record, &result))
    return;
  if (result == FOLD_APPLIED)
    intent_applied (once, row, now_us);
  else if (row->waiters->len == 0)
    remove_row (once, row);
  else if (result == FOLD_REFUSED && fold_intent (fold, row->tenant, row->key) != NULL)
    advance (once, row, fold, now_us);
  else if (result == FOLD_REFUSED)
    end_not_run (once, row, ERR_KEY_EXPIRED,
                 "dated before the key window: not run now, an earlier request may have run");
  else
    end_not_run (once, row, ERR_FENCED, "the intent did not take effect; nothing was sent");
}

static void
answer_stored (Once *once, OnceRow *row)
{
  g_assert (row->has_stored);
  answer_all (once, row, &row->stored);
}

static void
row_folded (Once *once, OnceRow *row, const Fold *fold, int64_t now_us)
{
  const FoldIntent *intent = fold_intent (fold, row->tenant, row->key);

  if (row->state == ONCE_INTENT)
    {
      intent_folded (once, row, fold, now_us);
      return;
    }
  if (intent == NULL || (intent->attempt == row->attempt && !intent->has_outcome))
    return;
  if (row->state == ONCE_OUTCOME)
    {
      answer_stored (once, row);
      remove_row (once, row);
    }
  else if (row->waiters->len == 0)
    remove_row (once, row);
  else
    advance (once, row, fold, now_us);
}

/* Copies the list of rows, so that a row may remove itself, but no other, during the iteration. */
static GPtrArray *
all_rows (const Once *once)
{
  GPtrArray *rows = g_ptr_array_sized_new (g_hash_table_size (once->rows));
  GHashTableIter iter;
  gpointer row = NULL;

  g_hash_table_iter_init (&iter, once->rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    g_ptr_array_add (rows, row);
  return rows;
}

void
once_folded (Once *once, const Fold *fold, int64_t now_us)
{
  g_autoptr (GPtrArray) rows = all_rows (once);

  for (guint i = 0; i < rows->len; i++)
    row_folded (once, g_ptr_array_index (rows, i), fold, now_us);
}

/* Finds the row whose pending record (by_record) or current request has the id. */
static OnceRow *
find_row (const Once *once, IdsId id, gboolean by_record)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, once->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      OnceRow *row = value;
      if (ids_equal (by_record ? row->record : row->request, id))
        return row;
    }
  return NULL;
}

void
once_not_appended (Once *once, IdsId id)
{
  OnceRow *row = find_row (once, id, TRUE);

  if (row == NULL)
    return;
  switch (row->state)
    {
    case ONCE_INTENT:
      end_not_run (once, row, ERR_LOG_DOWN,
                   "the intent was not appended to the log; nothing was sent");
      break;
    case ONCE_OUTCOME:
      answer_stored (once, row);
      remove_row (once, row);
      break;
    case ONCE_FENCING:
      end_not_run (once, row, row->last_kind, "refused before it started");
      break;
    case ONCE_SENT:
    case ONCE_WATCH:
    default:
      break;
    }
}

/* Answers the waiters that nothing was sent. The attempt must never be sent after that. */
static void
abandon (Once *once, OnceRow *row)
{
  row->is_abandoned = TRUE;
  fail_all (once, row, ERR_LOG_DOWN, ERR_RAN_NO,
            "the platform's log became unavailable; nothing was sent");
}

void
once_in_doubt (Once *once, IdsId id)
{
  OnceRow *row = find_row (once, id, TRUE);

  if (row != NULL && row->state == ONCE_INTENT)
    abandon (once, row);
  else if (row != NULL)
    once_not_appended (once, id);
}

/* Logs the stored answer. It goes to the waiters once it is on the log, or at once while the log
 * is unavailable. */
static void
log_outcome (Once *once, OnceRow *row)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Outcome outcome;

  once_row_outcome (row, once->options.answer_bytes_max, &outcome);
  record.body_case = RECORD__RECORD__BODY_OUTCOME;
  record.outcome = &outcome;
  row->state = ONCE_OUTCOME;
  if (once->ops.append (once->ops.ctx, &record, TRUE, &row->record)
      && once->ops.log_is_up (once->ops.ctx))
    return;
  answer_stored (once, row);
  remove_row (once, row);
}

static void
end_in_doubt (Once *once, OnceRow *row)
{
  fail_all (once, row, ERR_IN_DOUBT, ERR_RAN_DOUBT,
            "the request was sent; whether it ran is not known");
}

static void
handle_response (Once *once, OnceRow *row, const Wire__Response *response)
{
  ErrKind kind = ERR_INTERNAL;

  if (*response->kind == '\0')
    {
      release_outstanding (once, row, ROUTE_ANSWERED);
      once_row_store (row, response);
      log_outcome (once, row);
      return;
    }
  (void) err_kind_from_name (response->kind, &kind);
  if (response->ran == ERR_RAN_NO)
    {
      release_outstanding (once, row, kind == ERR_LEAVING ? ROUTE_REFUSED_LEAVING : ROUTE_FAILED);
      fence (once, row, kind);
    }
  else if (response->ran == ERR_RAN_YES)
    {
      release_outstanding (once, row, ROUTE_ANSWERED);
      once_row_store_error (row, kind, response->message);
      log_outcome (once, row);
    }
  else
    {
      release_outstanding (once, row, ROUTE_FAILED);
      end_in_doubt (once, row);
      remove_row (once, row);
    }
}

gboolean
once_response (Once *once, const char *agent, const Wire__Response *response, CallsVerdict *verdict)
{
  IdsId id = { response->id_high, response->id_low };
  OnceRow *row = find_row (once, id, FALSE);

  *verdict = CALLS_DROP_UNKNOWN;
  if (row == NULL || (row->state != ONCE_SENT && row->state != ONCE_WATCH))
    return FALSE;
  CallsExpected expected = { row->request, row->attempt, row->tenant, row->agent };
  *verdict = calls_verify (&expected, agent, response);
  if (*verdict != CALLS_MATCH)
    return FALSE;
  handle_response (once, row, response);
  return TRUE;
}

static void
handle_ran (Once *once, OnceRow *row, const char *agent, const Wire__AttemptReply *reply)
{
  CallsExpected expected = { row->request, row->attempt, row->tenant, row->agent };

  if (reply->response != NULL && calls_verify (&expected, agent, reply->response) == CALLS_MATCH)
    handle_response (once, row, reply->response);
  else
    {
      release_outstanding (once, row, ROUTE_ANSWERED);
      once_row_store_error (row, ERR_ANSWER_GONE,
                            "the request ran; its answer is no longer stored");
      log_outcome (once, row);
    }
}

void
once_reply (Once *once, const char *agent, const Wire__AttemptReply *reply, int64_t now_us)
{
  g_autofree char *name = once_row_name (reply->tenant, reply->key);
  OnceRow *row = g_hash_table_lookup (once->rows, name);
  IdsId id = { reply->id_high, reply->id_low };

  if (row == NULL || (row->state != ONCE_WATCH && row->state != ONCE_SENT)
      || row->attempt != reply->attempt || !ids_equal (row->request, id)
      || g_strcmp0 (row->agent, agent) != 0)
    return;
  switch (reply->state)
    {
    case WIRE__ATTEMPT_STATE__ATTEMPT_RAN:
      handle_ran (once, row, agent, reply);
      break;
    case WIRE__ATTEMPT_STATE__ATTEMPT_RUNNING:
      row->query_us = now_us + once->options.query_interval_us;
      break;
    case WIRE__ATTEMPT_STATE__ATTEMPT_FENCED:
      release_outstanding (once, row, ROUTE_ABANDONED);
      fence (once, row, ERR_FENCED);
      break;
    case WIRE__ATTEMPT_STATE__ATTEMPT_UNKNOWN:
    default:
      end_in_doubt (once, row);
      remove_row (once, row);
      break;
    }
}

/* Answers a waiter whose deadline has passed. While others wait, the attempt may still be sent. */
static void
answer_expired (Once *once, OnceRow *row, void *waiter)
{
  gboolean is_last = row->waiters->len == 0;
  gboolean not_run = (row->state == ONCE_INTENT || row->state == ONCE_FENCING) && is_last;
  OnceAnswer answer
      = not_run ? once_error (ERR_DEADLINE, ERR_RAN_NO, "the deadline passed; nothing was sent")
                : once_error (ERR_IN_DOUBT, ERR_RAN_DOUBT, "the deadline passed before the answer");

  if (row->state == ONCE_OUTCOME)
    answer = row->stored;
  answer.attempts = row->attempt;
  row->is_abandoned = row->is_abandoned || (not_run && row->state == ONCE_INTENT);
  once->ops.answer (once->ops.ctx, waiter, &answer);
}

static void
expire_waiters (Once *once, OnceRow *row, int64_t now_us)
{
  for (guint i = row->waiters->len; i > 0; i--)
    {
      OnceWaiter waiter = g_array_index (row->waiters, OnceWaiter, i - 1);
      if (waiter.deadline_us > now_us)
        continue;
      g_array_remove_index_fast (row->waiters, i - 1);
      answer_expired (once, row, waiter.waiter);
    }
}

static gboolean
is_removable (const OnceRow *row, int64_t now_us)
{
  if (row->waiters->len > 0)
    return FALSE;
  return row->state == ONCE_WATCH || row->state == ONCE_FENCING || now_us >= row->keep_until_us;
}

static void
query_agent (Once *once, OnceRow *row, int64_t now_us)
{
  if (!once->ops.is_alive (once->ops.ctx, row->agent, row->agent_incarnation))
    {
      end_in_doubt (once, row);
      return;
    }
  if (row->state != ONCE_WATCH || now_us < row->query_us)
    return;
  row->query_us = now_us + once->options.query_interval_us;
  once->ops.query (once->ops.ctx, row->agent, row->agent_incarnation, row->tenant, row->key,
                   row->attempt, row->request, row->agent_sent_us);
}

static void
row_tick (Once *once, OnceRow *row, int64_t now_us)
{
  expire_waiters (once, row, now_us);
  if (row->waiters->len > 0 && (row->state == ONCE_WATCH || row->state == ONCE_SENT))
    query_agent (once, row, now_us);
  gboolean log_is_up = once->ops.log_is_up (once->ops.ctx);
  if (row->state == ONCE_INTENT && row->waiters->len > 0 && !log_is_up)
    abandon (once, row);
  if (row->state == ONCE_OUTCOME && !log_is_up)
    {
      answer_stored (once, row);
      remove_row (once, row);
    }
  else if (row->state == ONCE_FENCING && !log_is_up)
    end_not_run (once, row, row->last_kind, "refused before it started");
  else if (is_removable (row, now_us))
    remove_row (once, row);
}

void
once_tick (Once *once, int64_t now_us)
{
  g_autoptr (GPtrArray) rows = all_rows (once);

  for (guint i = 0; i < rows->len; i++)
    row_tick (once, g_ptr_array_index (rows, i), now_us);
}

uint32_t
once_count (const Once *once)
{
  return g_hash_table_size (once->rows);
}
