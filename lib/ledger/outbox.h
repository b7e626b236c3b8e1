/**
 * @file outbox.h
 * Group commit of an entry's own records: all waiting records go into one append.
 *
 * An append without an answer may have taken effect. Its records are appended again until an answer
 * comes; appending a record twice does no harm. If the store refuses a record or is slow, another
 * entry can be asked to write it too. A record whose key this outbox wrote within the last 30 s is
 * never reported as refused.
 *
 * While the store is slow, records are handed over to the owner, which appends those of all
 * entries, and are appended here only if no outcome comes in time: appends of many entries would
 * queue up in the store.
 */
#pragma once

#include "ledger/store_pace.h"
#include "platform/store.h"

G_BEGIN_DECLS

typedef struct Outbox Outbox;

/** Outcome of a record. */
typedef enum
{
  OUTBOX_WRITTEN,
  OUTBOX_REFUSED,  /**< certainly not written, now or later */
  OUTBOX_IN_DOUBT, /**< the deadline passed; it may be written, and is retried for 60 s */
} OutboxResult;

typedef void (*OutboxDone) (void *ctx, OutboxResult result, int64_t offset);

/** Forwards a record to another entry; FALSE if none can be asked. */
typedef gboolean (*OutboxForward) (void *ctx, const char *key, GBytes *value);

/**
 * How long appends take at the owner, which appends the records of all while the store is slow, in
 * ms. 0 if there is none, if it is this one, or if it did not say so lately.
 */
typedef int64_t (*OutboxOwnerPace) (void *ctx);

typedef struct
{
  Store *store;
  const char *topic;          /**< must outlive the outbox */
  OutboxForward forward;      /**< NULL for none */
  OutboxOwnerPace owner_pace; /**< NULL for none; asked before forward() hands a record over */
  StorePace *pace;            /**< of all appends of this process; must outlive the outbox */
  uint64_t bytes_max;         /**< a forwarded record beyond it is refused at once; 0: no limit */
  void *ctx;
} OutboxOptions;

Outbox *outbox_new (const OutboxOptions *options);
/** No call may be under way. Waiting records are dropped. NULL is allowed. */
void outbox_free (Outbox *outbox);

/** A record to be written. The key and the value are copied. */
typedef struct
{
  const char *key;
  const void *value;
  size_t size;
  int64_t deadline_us;   /**< on clk_now_us() */
  gboolean is_forwarded; /**< another entry forwarded it, so it is not forwarded again */
} OutboxRecord;

/**
 * Adds a record. @p done is called once, by the record's deadline at the latest. If a record with
 * the same key waits already, the new one is not written but gets the outcome of that one. A
 * forwarded record that exceeds OutboxOptions.bytes_max is refused before this returns.
 */
void outbox_add (Outbox *outbox, const OutboxRecord *record, OutboxDone done, void *ctx);

/** Handles the outcome of a forwarded record, as reported by the entry that it was forwarded to. */
void
outbox_handle_forward_result (Outbox *outbox, const char *key, OutboxResult result, int64_t offset);

/**
 * Handles a record with a value that was read from the ledger: one with its key that waits here is
 * written, whoever appended it, although no answer said so.
 */
void outbox_handle_record (Outbox *outbox, const char *key, size_t key_size, int64_t offset);

/** Must follow calls of outbox_handle_record(). If all records of the append under way were read,
 * the next one does not wait for its answer, which may be lost. */
void outbox_end_records (Outbox *outbox);

/** A record that is not written within this time is forwarded as well. */
#define OUTBOX_FORWARD_MS 150

/** Expected time in ms until a record that is added now is written. */
int64_t outbox_expected_ms (const Outbox *outbox);

/** Whether a record with @p key waits, or was written within the last 30 s. */
gboolean outbox_knows (Outbox *outbox, const char *key);

/** Number of records that were handed over since the outbox was created. */
uint64_t outbox_handed_over (const Outbox *outbox);

/** Bytes of the records whose outcome is not known yet. */
uint64_t outbox_bytes (const Outbox *outbox);

/** Number of forwarded records that were refused because of OutboxOptions.bytes_max. */
uint64_t outbox_turned_away (const Outbox *outbox);

/** Number of records whose outcome is not known yet. */
uint32_t outbox_waiting (const Outbox *outbox);

G_END_DECLS
