/**
 * @file claim.h
 * Claims of ownership: which append claims, and when the entry whose claim was written may act.
 *
 * Answers the loss or the leave of an owner while the store is slow. A claim that requires the
 * topic to end where its claimant has read to fails whenever another append lands before it. Here
 * a claim follows a term, not an offset: its epoch is the next one after that of the term that it
 * follows, and its first sequence number is random, so the store takes the first claim that
 * follows a term and refuses all others, whenever they arrive. Pure: the caller appends.
 *
 * Claims at an offset remain for the first term, for terms of owners of older builds, whose records
 * do not contain their epoch, and as the first claim over an owner that went silent.
 */
#pragma once

#include "ledger/ledger.h"

G_BEGIN_DECLS

/** Fields are internal but for those named here. All zero before the first claim. */
typedef struct
{
  gboolean is_set;         /**< a claim was begun, and its term did not begin */
  uint64_t term;           /**< term that it begins */
  int64_t epoch;           /**< epoch of that term */
  int64_t sequence;        /**< its sequence number */
  int64_t expected_end;    /**< offset at which the topic must end; -1 for any */
  gboolean is_unsure;      /**< the owner of the term before may act again before it is written */
  int64_t first_sent_us;   /**< when it was first sent */
  gboolean was_in_doubt;   /**< a transmission of it was not answered */
  uint64_t moved_term;     /**< the last claim to follow this term came after another append, and no
                                record of its owner was read since */
  uint64_t refused_term;   /**< the store refused the epoch of a claim that follows this term */
  int64_t former_seen_us;  /**< when the newest record of another process was read */
  gboolean is_former_gone; /**< it releases ownership, or its process has ended */
} Claim;

/** What a claimant knows when it claims. */
typedef struct
{
  const LedgerOwner *last;
  int64_t end;        /**< offset after the last record that was read */
  gboolean is_vacant; /**< claim_is_vacant() */
  int64_t sequence;   /**< random */
  int64_t now_us;
} ClaimView;

/** Whether the previous owner certainly ended or released its ownership; also if there was none. */
gboolean claim_is_vacant (const LedgerOwner *last, const char *name, uint64_t boot);

/** Begins a claim, or repeats the one begun before if that may still be written: the claim is then
 * the same, and as old as its first transmission. Returns whether it is a new one. */
gboolean claim_begin (Claim *claim, const ClaimView *view);

/** Handles the answer to a transmission of the claim. Returns whether it can still be written. */
gboolean claim_handle_answer (Claim *claim, StoreOutcome outcome);

typedef enum
{
  CLAIM_WRITTEN,  /**< the record is the claim: its term began */
  CLAIM_FORMER,   /**< a record of the term that the claim follows, or of an earlier one */
  CLAIM_REPLACED, /**< another process has begun the term, or a later one */
  CLAIM_OTHER,    /**< another record of this process */
} ClaimRecord;

/**
 * Judges a new owner record before the term of the claim began, and notes whether its owner may
 * act. @p name and @p boot are those of this process.
 */
ClaimRecord claim_handle_record (
    Claim *claim, const LedgerOwner *record, const char *name, uint64_t boot, int64_t now_us);

/**
 * Returns from when the owner may act whose claim was read at @p now_us.
 *
 * @param loaded_us when the newest load of the ledger ended: records before the claim may be
 *   missing if that was after the claim was sent
 * @param quiet_us time after which an owner has no authority from a record that was read
 */
int64_t claim_act_us (const Claim *claim, int64_t loaded_us, int64_t quiet_us, int64_t now_us);

G_END_DECLS
