/**
 * @file appender.h
 * The appends of one term of an owner, one at a time. Pure: the caller transmits.
 *
 * The store orders a term's appends by their sequence numbers and answers the repeat of an append
 * with its first answer. A sequence number therefore belongs to its records until the store has
 * acknowledged them: whatever happened to a transmission, the next one is the same. What was
 * acknowledged is as old as the first transmission, and so is the authority that it gives.
 */
#pragma once

#include "platform/store.h"

G_BEGIN_DECLS

/** Shortest and longest pause after a transmission that was not acknowledged; each one is twice as
 * long as the previous one. */
#define APPENDER_BACKOFF_MIN_MS 50
#define APPENDER_BACKOFF_MAX_MS 400

typedef enum
{
  APPENDER_WRITTEN,    /**< the records are in the topic */
  APPENDER_UNRESOLVED, /**< they may be; the append is to be transmitted again */
  APPENDER_FENCED,     /**< another term has begun; this one can't append any more */
  APPENDER_REJECTED,   /**< the store does not take these records; the term must end */
  APPENDER_DISPLACED,  /**< the sequence number was used for other records; the term must end */
} AppenderResult;

/** Name for logs; static storage. */
const char *appender_result_name (AppenderResult result);

/** Fields are internal. Initialise with appender_begin(). */
typedef struct
{
  int64_t epoch;
  int64_t sequence;
  int64_t end_offset;     /**< offset after the newest records that were acknowledged */
  int64_t authority_us;   /**< first transmission of the newest acknowledged append */
  int64_t first_sent_us;  /**< first transmission of the open append */
  int64_t not_before_us;  /**< no transmission before this time */
  int64_t backoff_ms;     /**< length of the last pause; 0: the newest transmission succeeded */
  uint32_t n_transmitted; /**< transmissions of the open append */
  gboolean is_under_way;  /**< a transmission has not been answered */
  GByteArray *records;    /**< records of the open append; NULL for none */
} Appender;

/** The claim that began a term. */
typedef struct
{
  int64_t epoch;
  int64_t sequence;   /**< sequence number of the claim */
  int64_t end_offset; /**< offset after the claim */
  int64_t sent_us;    /**< when the claim was sent */
} AppenderClaim;

/** Begins a term. An append of an earlier term must have been dropped. */
void appender_begin (Appender *appender, const AppenderClaim *claim);

/** Drops the open append, if any; an answer to it must not be handled any more. */
void appender_drop (Appender *appender);

/** Whether a transmission of the open or of a new append may be sent at @p now_us. */
gboolean appender_may_send (const Appender *appender, int64_t now_us);

/** Whether an append is open: it was added and is not acknowledged. */
gboolean appender_is_open (const Appender *appender);

/** Adds an append of @p records, built with store_add_record(); takes ownership. None may be open.
 */
void appender_add (Appender *appender, GByteArray *records);

/**
 * Notes a transmission of the open append at @p now_us and sets @p append to it, without topic and
 * time-out. The records stay owned by the appender.
 */
void appender_transmit (Appender *appender, int64_t now_us, StoreAppend *append);

/** Handles the answer to the transmission under way. The append is closed unless the result is
 * #APPENDER_UNRESOLVED. */
AppenderResult
appender_handle_answer (Appender *appender, const StoreAnswer *answer, int64_t now_us);

/** Returns since when the newest acknowledged append proves that no other owner had claimed. */
int64_t appender_authority_us (const Appender *appender);

G_END_DECLS
