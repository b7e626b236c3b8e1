#include "ledger/claim.h"

#include <string.h>

gboolean
claim_is_vacant (const LedgerOwner *last, const char *name, uint64_t boot)
{
  if (last->term == 0 || last->boot == 0)
    return TRUE;
  return strcmp (last->name, name) == 0 && last->boot != boot;
}

/* Whether a claim may be written after records that its claimant has not read. An owner that is
 * silent while the store is slow may have an append in the store's queue, and works on if that is
 * written. So a claim at an offset comes first, and takes as long as that append; only if it came
 * after appends of others, and the owner is still silent, does a claim at any offset follow. */
static gboolean
is_unconditional (const Claim *claim, const ClaimView *view)
{
  const LedgerOwner *last = view->last;

  if (last->term == 0 || last->epoch <= 0 || claim->refused_term == last->term)
    return FALSE;
  return view->is_vacant || claim->moved_term == last->term;
}

static gboolean
may_be_repeated (const Claim *claim, const ClaimView *view)
{
  if (!claim->is_set || claim->term != view->last->term + 1)
    return FALSE;
  if (claim->expected_end >= 0)
    return claim->expected_end == view->end;
  return claim->refused_term != view->last->term;
}

gboolean
claim_begin (Claim *claim, const ClaimView *view)
{
  const LedgerOwner *last = view->last;

  if (may_be_repeated (claim, view))
    return FALSE;
  claim->is_set = TRUE;
  claim->was_in_doubt = FALSE;
  claim->term = last->term + 1;
  claim->sequence = view->sequence;
  claim->first_sent_us = view->now_us;
  if (is_unconditional (claim, view))
    {
      /* Never above the offset of the claim plus 1, the epoch of a claim at that offset: a later
       * claim of an older build has a higher epoch. */
      claim->epoch = last->epoch + 1;
      claim->expected_end = -1;
      claim->is_unsure = !view->is_vacant;
    }
  else
    {
      claim->epoch = view->end + 1;
      claim->expected_end = view->end;
      claim->is_unsure = FALSE;
    }
  return TRUE;
}

gboolean
claim_handle_answer (Claim *claim, StoreOutcome outcome)
{
  switch (outcome)
    {
    case STORE_OK:
      return TRUE;
    case STORE_IN_DOUBT:
      claim->was_in_doubt = TRUE;
      return TRUE;
    case STORE_MOVED:
      /* Not if that record was the owner's, and it was read before this answer. */
      if (claim->former_seen_us <= claim->first_sent_us)
        claim->moved_term = claim->term - 1;
      return FALSE;
    case STORE_FENCED:
    case STORE_SEQUENCE:
      /* Another claim was written, or the store knows of a higher epoch than the ledger says. The
       * record of the other claim shows which; if there is none, a claim at an offset follows. */
      claim->refused_term = claim->term - 1;
      return FALSE;
    default:
      /* Nothing was done: the next claim need not be this one. */
      claim->is_set = claim->was_in_doubt;
      return FALSE;
    }
}

ClaimRecord
claim_handle_record (
    Claim *claim, const LedgerOwner *record, const char *name, uint64_t boot, int64_t now_us)
{
  if (record->boot == boot)
    return claim->is_set && record->term == claim->term && record->epoch == claim->epoch
               ? CLAIM_WRITTEN
               : CLAIM_OTHER;
  claim->moved_term = 0;
  claim->former_seen_us = now_us;
  claim->is_former_gone = claim_is_vacant (record, name, boot);
  return claim->is_set && record->term >= claim->term ? CLAIM_REPLACED : CLAIM_FORMER;
}

int64_t
claim_act_us (const Claim *claim, int64_t loaded_us, int64_t quiet_us, int64_t now_us)
{
  /* No record is between the one that was read last and a claim at an offset, and a process that
   * has ended or released its ownership does not act again. */
  if (claim->expected_end >= 0 || !claim->is_unsure || claim->is_former_gone)
    return now_us;
  if (loaded_us >= claim->first_sent_us)
    return now_us + quiet_us;
  return MAX (claim->former_seen_us + quiet_us, now_us);
}
