/**
 * @file outbox.h
 * Group commit of an entry's own records: all that wait go into one append.
 *
 * A record whose append had no answer is appended again until one comes, since it may have taken
 * effect; appending it twice does no harm.
 */
#pragma once

#include "platform/store.h"

G_BEGIN_DECLS

typedef struct Outbox Outbox;

/** What became of a record. */
typedef enum
{
  OUTBOX_WRITTEN,
  OUTBOX_REFUSED,  /**< certainly not written, now or later */
  OUTBOX_IN_DOUBT, /**< the time is up; it may be written, and is tried on */
} OutboxResult;

typedef void (*OutboxDone) (void *ctx, OutboxResult result, int64_t offset);

/** @p topic must outlive it. */
Outbox *outbox_new (Store *store, const char *topic);
/** No call may be under way any more; waiting records are dropped. NULL is allowed. */
void outbox_free (Outbox *outbox);

/**
 * Adds a record; bytes are copied. @p done is called once, by @p deadline_us (clk_now_us()) at the
 * latest. A record whose key waits already shares that one's fate.
 */
void outbox_add (Outbox *outbox,
                 const char *key,
                 const void *value,
                 size_t size,
                 int64_t deadline_us,
                 OutboxDone done,
                 void *ctx);

/** Records that were not answered yet. */
uint32_t outbox_waiting (const Outbox *outbox);

G_END_DECLS
