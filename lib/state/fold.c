#include "state/fold.h"

#include <string.h>

#include "platform/plat_log.h"
#include "state/fold_private.h"

gboolean
fold_text_fits (const char *text, size_t min, size_t max)
{
  size_t length = strlen (text);

  return length >= min && length <= max;
}

Fold *
fold_new (const FoldOptions *options)
{
  Fold *fold = g_new0 (Fold, 1);

  g_assert (options->shards > 0 && options->history_max > 0);
  fold->options = *options;
  if (fold->options.ended_jobs_max == 0)
    fold->options.ended_jobs_max = FOLD_ENDED_JOBS_DEFAULT;
  if (fold->options.answers_bytes_max == 0)
    fold->options.answers_bytes_max = FOLD_ANSWERS_BYTES_DEFAULT;
  fold->ids = fold_ids_new ();
  fold_init_members (fold);
  fold_init_jobs (fold);
  fold_init_intents (fold);
  return fold;
}

void
fold_free (Fold *fold)
{
  if (fold == NULL)
    return;
  fold_clear_intents (fold);
  fold_clear_jobs (fold);
  fold_clear_members (fold);
  fold_ids_free (fold->ids);
  g_free (fold);
}

void
fold_observe (Fold *fold, FoldObserver observer, void *ctx)
{
  fold->observer = observer;
  fold->observer_ctx = ctx;
}

/* A record written before the id window can't be distinguished from a duplicate any more. */
static gboolean
is_before_window (const Fold *fold, int64_t wall_ms)
{
  return wall_ms > 0 && wall_ms < fold->time_ms - fold->options.id_window_ms;
}

/* The record named by a fence never takes effect, unless it already has. */
static FoldResult
apply_fence (Fold *fold, const Record__Fence *fence)
{
  IdsId id = { fence->id_high, fence->id_low };
  uint8_t known;

  if (ids_is_zero (id))
    return FOLD_MALFORMED;
  if (is_before_window (fold, fence->wall_ms))
    return FOLD_REFUSED;
  if (!fold_ids_find (fold->ids, id, &known))
    fold_ids_add (fold->ids, id, fold->time_ms, FOLD_FENCED);
  return FOLD_APPLIED;
}

static FoldResult
apply_body (Fold *fold, const Record__Record *record, int64_t offset)
{
  switch (record->body_case)
    {
    case RECORD__RECORD__BODY_CONFIG:
      return fold_apply_config (fold, record, offset);
    case RECORD__RECORD__BODY_FENCE:
      return apply_fence (fold, record->fence);
    case RECORD__RECORD__BODY_ENTRY:
      return fold_apply_entry (fold, record->entry, offset);
    case RECORD__RECORD__BODY_CLAIM:
      return fold_apply_claim (fold, record->claim, offset);
    case RECORD__RECORD__BODY_JOB:
      return fold_apply_job (fold, record->job);
    case RECORD__RECORD__BODY_CANCEL:
      return fold_apply_cancel (fold, record->cancel);
    case RECORD__RECORD__BODY_TASKS:
      return fold_apply_tasks (fold, record->tasks);
    case RECORD__RECORD__BODY_INTENT:
      return fold_apply_intent (fold, record->intent);
    case RECORD__RECORD__BODY_OUTCOME:
      return fold_apply_outcome (fold, record->outcome);
    default:
      return FOLD_UNKNOWN;
    }
}

static FoldResult
apply_record (Fold *fold, const Record__Record *record, int64_t offset)
{
  IdsId id = { record->id_high, record->id_low };
  uint8_t known;

  if (ids_is_zero (id))
    return FOLD_MALFORMED;
  if (fold_ids_find (fold->ids, id, &known))
    return known == FOLD_FENCED ? FOLD_FENCED : FOLD_DUPLICATE;
  /* The result is not stored, since an earlier copy may have taken effect. */
  if (is_before_window (fold, record->wall_ms))
    return FOLD_REFUSED;
  FoldResult result = apply_body (fold, record, offset);
  /* A fence may name its own id, which is then stored already. */
  if (!fold_ids_find (fold->ids, id, &known))
    fold_ids_add (fold->ids, id, fold->time_ms, (uint8_t) result);
  if (result == FOLD_APPLIED && fold->observer != NULL)
    fold->observer (fold->observer_ctx, record, offset);
  return result;
}

static void
advance (Fold *fold, int64_t offset, int64_t time_ms)
{
  fold->next_offset = offset + 1;
  fold->time_ms = MAX (fold->time_ms, MIN (time_ms, FOLD_TIME_MAX_MS));
  fold_ids_expire (fold->ids, fold->time_ms - fold->options.id_window_ms - FOLD_DATE_SKEW_MS);
  fold_expire_entries (fold);
  fold_expire_intents (fold);
}

FoldResult
fold_apply (Fold *fold, int64_t offset, int64_t time_ms, const uint8_t *data, size_t size)
{
  if (offset < fold->next_offset)
    return FOLD_DUPLICATE;
  advance (fold, offset, time_ms);
  if (size > PLAT_LOG_RECORD_MAX)
    return FOLD_MALFORMED;
  Record__Record *record = record__record__unpack (NULL, size, data);
  if (record == NULL)
    return FOLD_MALFORMED;
  FoldResult result = apply_record (fold, record, offset);
  record__record__free_unpacked (record, NULL);
  return result;
}

int64_t
fold_next_offset (const Fold *fold)
{
  return fold->next_offset;
}

int64_t
fold_time_ms (const Fold *fold)
{
  return fold->time_ms;
}

gboolean
fold_record_result (const Fold *fold, IdsId id, FoldResult *result)
{
  uint8_t known;

  if (!fold_ids_find (fold->ids, id, &known))
    return FALSE;
  *result = (FoldResult) known;
  return TRUE;
}
