/**
 * @file outbox.h
 * Group commit of an entry's own records: all that wait go into one append.
 *
 * A record whose append had no answer is appended again until one comes, since it may have taken
 * effect; appending it twice does no harm. Where the store refuses or is slow, another entry may be
 * asked to write it too.
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

/** Passes a record on to another entry; FALSE if there is none to ask. */
typedef gboolean (*OutboxForward) (void *ctx, const char *key, GBytes *value);

typedef struct
{
  Store *store;
  const char *topic;     /**< must outlive the outbox */
  OutboxForward forward; /**< NULL for none */
  void *ctx;
} OutboxOptions;

Outbox *outbox_new (const OutboxOptions *options);
/** No call may be under way any more; waiting records are dropped. NULL is allowed. */
void outbox_free (Outbox *outbox);

/** A record to be written; bytes are copied. */
typedef struct
{
  const char *key;
  const void *value;
  size_t size;
  int64_t deadline_us; /**< on clk_now_us() */
  gboolean is_foreign; /**< another entry passed it on: it is not passed on again */
} OutboxRecord;

/**
 * Adds a record. @p done is called once, by its deadline at the latest. A record whose key waits
 * already shares that one's fate.
 */
void outbox_add (Outbox *outbox, const OutboxRecord *record, OutboxDone done, void *ctx);

/** The entry that the record of @p key was passed on to says what became of it there. */
void outbox_take_fate (Outbox *outbox, const char *key, OutboxResult result, int64_t offset);

/** A record that is not written after this long is passed on as well. */
#define OUTBOX_FORWARD_MS 150

/** Records that were not answered yet. */
uint32_t outbox_waiting (const Outbox *outbox);

G_END_DECLS
