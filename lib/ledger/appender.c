#include "ledger/appender.h"

#include "common/clk.h"

/** Length field that precedes each record. */
#define RECORD_HEAD_BYTES 4

const char *
appender_result_name (AppenderResult result)
{
  static const char *const names[] = { "written", "unresolved", "fenced", "rejected", "displaced" };

  return names[result];
}

void
appender_begin (Appender *appender, const AppenderClaim *claim)
{
  g_assert (appender->records == NULL);
  *appender = (Appender){ .epoch = claim->epoch,
                          .sequence = claim->sequence + 1,
                          .end_offset = claim->end_offset,
                          .authority_us = claim->sent_us };
}

void
appender_drop (Appender *appender)
{
  g_clear_pointer (&appender->records, g_byte_array_unref);
  appender->is_under_way = FALSE;
  appender->n_transmitted = 0;
}

gboolean
appender_may_send (const Appender *appender, int64_t now_us)
{
  return !appender->is_under_way && now_us >= appender->not_before_us;
}

gboolean
appender_is_open (const Appender *appender)
{
  return appender->records != NULL;
}

void
appender_add (Appender *appender, GByteArray *records)
{
  g_assert (appender->records == NULL && !appender->is_under_way);
  appender->records = records;
}

void
appender_transmit (Appender *appender, int64_t now_us, StoreAppend *append)
{
  g_assert (appender->records != NULL && !appender->is_under_way);
  if (appender->n_transmitted++ == 0)
    appender->first_sent_us = now_us;
  appender->is_under_way = TRUE;
  append->records = appender->records;
  append->expected_end = -1;
  append->epoch = appender->epoch;
  append->sequence = appender->sequence;
}

static int64_t
count_records (const GByteArray *records)
{
  int64_t n_records = 0;

  for (size_t at = 0; at + RECORD_HEAD_BYTES <= records->len; n_records++)
    {
      const uint8_t *head = records->data + at;
      at += RECORD_HEAD_BYTES
            + (((size_t) head[0] << 24) | ((size_t) head[1] << 16) | ((size_t) head[2] << 8)
               | head[3]);
    }
  return n_records;
}

static AppenderResult
close_written (Appender *appender, int64_t offset)
{
  if (offset >= 0)
    appender->end_offset = offset + count_records (appender->records);
  appender->authority_us = MAX (appender->authority_us, appender->first_sent_us);
  appender->sequence++;
  appender->backoff_ms = 0;
  appender->not_before_us = 0;
  appender_drop (appender);
  return APPENDER_WRITTEN;
}

static AppenderResult
close_failed (Appender *appender, AppenderResult result)
{
  appender_drop (appender);
  return result;
}

AppenderResult
appender_handle_answer (Appender *appender, const StoreAnswer *answer, int64_t now_us)
{
  g_assert (appender->records != NULL && appender->is_under_way);
  appender->is_under_way = FALSE;
  switch (answer->outcome)
    {
    case STORE_OK:
      if (answer->offset >= 0 && answer->offset < appender->end_offset)
        return close_failed (appender, APPENDER_DISPLACED);
      return close_written (appender, answer->offset);
    case STORE_SEQUENCE:
      /* Only an earlier transmission of these records can have used up their number. */
      if (appender->n_transmitted > 1 && answer->expected_sequence == appender->sequence + 1)
        return close_written (appender, -1);
      return close_failed (appender, APPENDER_DISPLACED);
    case STORE_FENCED:
      return close_failed (appender, APPENDER_FENCED);
    case STORE_MOVED:
    case STORE_EXPIRED:
    case STORE_MALFORMED:
      return close_failed (appender, APPENDER_REJECTED);
    default:
      appender->backoff_ms
          = CLAMP (appender->backoff_ms * 2, APPENDER_BACKOFF_MIN_MS, APPENDER_BACKOFF_MAX_MS);
      appender->not_before_us = now_us + appender->backoff_ms * CLK_US_PER_MS;
      return APPENDER_UNRESOLVED;
    }
}

int64_t
appender_authority_us (const Appender *appender)
{
  return appender->authority_us;
}
