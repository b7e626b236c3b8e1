/* Claims of ownership against a model of the store: who gets the term, and when it may act. Guards
 * against two owners that act at once, and against claims that never get through. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clk.h"
#include "ledger/claim.h"

#define QUIET_US (3300 * CLK_US_PER_MS)
#define TERM 7
#define EPOCH 41
#define OFFSET 60
#define END 64
#define FORMER_BOOT 100

typedef struct
{
  LedgerOwner last;
  ClaimView view;
  Claim claim;
} Claimant;

static LedgerOwner
record_of (uint64_t term, int64_t epoch, char *name, uint64_t boot)
{
  return (
      LedgerOwner){ .term = term, .epoch = epoch, .name = name, .boot = boot, .offset = OFFSET };
}

/* A claimant that has read a record of the former owner at 0, @p boot of which is 0 if it left. */
static Claimant
claimant (uint64_t boot, int64_t sequence)
{
  Claimant it = { .last = record_of (TERM, EPOCH, "former", boot) };

  (void) claim_handle_record (&it.claim, &it.last, "self", 1, 0);
  it.view = (ClaimView){ .end = END, .is_vacant = boot == 0, .sequence = sequence };
  return it;
}

static gboolean
begin (Claimant *it, int64_t now_us)
{
  it->view.last = &it->last;
  it->view.now_us = now_us;
  return claim_begin (&it->claim, &it->view);
}

static void
claims_after_a_leave_follow_the_term_at_any_offset (void **state)
{
  Claimant first = claimant (0, 11);
  Claimant second = claimant (0, 500);

  (void) state;
  second.view.end = END + 9;
  second.last.offset += 5;
  assert_true (begin (&first, QUIET_US));
  assert_true (begin (&second, QUIET_US));
  assert_int_equal (first.claim.expected_end, -1);
  /* Equal, so that the store takes the first one only. */
  assert_int_equal (first.claim.epoch, EPOCH + 1);
  assert_int_equal (second.claim.epoch, EPOCH + 1);
  assert_int_not_equal (first.claim.sequence, second.claim.sequence);
  assert_int_equal (claim_act_us (&first.claim, -1, QUIET_US, QUIET_US), QUIET_US);
}

static void
claim_is_repeated_unchanged_while_it_may_be_written (void **state)
{
  Claimant it = claimant (0, 11);

  (void) state;
  assert_true (begin (&it, 5));
  assert_true (claim_handle_answer (&it.claim, STORE_IN_DOUBT));
  it.view.sequence = 99;
  it.view.end = END + 3;
  assert_false (begin (&it, QUIET_US));
  assert_int_equal (it.claim.sequence, 11);
  assert_int_equal (it.claim.first_sent_us, 5);
  /* It follows a term that has passed. */
  it.last = record_of (TERM + 1, EPOCH + 1, "third", 0);
  assert_int_equal (claim_handle_record (&it.claim, &it.last, "self", 1, 6), CLAIM_REPLACED);
  assert_true (begin (&it, QUIET_US));
  assert_int_equal (it.claim.term, TERM + 2);
  assert_int_equal (it.claim.epoch, EPOCH + 2);
}

static void
refused_epoch_is_followed_by_a_claim_at_an_offset (void **state)
{
  static const StoreOutcome outcomes[] = { STORE_FENCED, STORE_SEQUENCE };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Claimant it = claimant (0, 11);
      assert_true (begin (&it, 0));
      assert_false (claim_handle_answer (&it.claim, outcomes[i]));
      assert_true (begin (&it, 1));
      assert_int_equal (it.claim.expected_end, END);
      assert_int_equal (it.claim.epoch, END + 1);
    }
}

static void
first_term_and_terms_of_older_builds_are_claimed_at_an_offset (void **state)
{
  Claimant it = claimant (0, 11);

  (void) state;
  it.last.epoch = 0;
  assert_true (begin (&it, 0));
  assert_int_equal (it.claim.expected_end, END);
  assert_int_equal (it.claim.epoch, END + 1);
  /* The end has moved. */
  it.view.end++;
  assert_true (begin (&it, 1));
  assert_int_equal (it.claim.epoch, END + 2);
  it.last = (LedgerOwner){ .term = 0 };
  assert_true (begin (&it, 2));
  assert_int_equal (it.claim.expected_end, END + 1);
}

/* A claim of an older build, at the end that it has read, gets a higher epoch than any claim here
 * that came before it: else the store would refuse it for ever. */
static void
epoch_stays_below_those_of_older_builds (void **state)
{
  int64_t epoch = END + 1;
  int64_t offset = END;

  (void) state;
  for (uint64_t term = TERM; term < TERM + 5; term++)
    {
      Claimant it = claimant (0, 11);
      it.last.term = term;
      it.last.epoch = epoch;
      assert_true (begin (&it, 0));
      offset++;
      assert_true (it.claim.epoch > epoch);
      epoch = it.claim.epoch;
      assert_true (epoch <= offset + 1);
    }
}

static void
silent_owner_is_claimed_over_at_an_offset_first (void **state)
{
  Claimant it = claimant (FORMER_BOOT, 11);

  (void) state;
  assert_true (begin (&it, QUIET_US));
  assert_int_equal (it.claim.expected_end, END);
  assert_false (it.claim.is_unsure);
  assert_int_equal (claim_act_us (&it.claim, QUIET_US + 1, QUIET_US, QUIET_US + 2), QUIET_US + 2);
  assert_false (claim_handle_answer (&it.claim, STORE_MOVED));
  it.view.end++;
  assert_true (begin (&it, QUIET_US));
  assert_int_equal (it.claim.expected_end, -1);
  assert_true (it.claim.is_unsure);
}

/* Guards against an owner that is replaced although its append was only queued in the store. */
static void
owner_that_was_heard_again_is_claimed_over_at_an_offset (void **state)
{
  Claimant it = claimant (FORMER_BOOT, 11);

  (void) state;
  assert_true (begin (&it, QUIET_US));
  assert_false (claim_handle_answer (&it.claim, STORE_MOVED));
  (void) claim_handle_record (&it.claim, &it.last, "self", 1, QUIET_US + 9);
  it.view.end++;
  assert_true (begin (&it, 3 * QUIET_US));
  assert_int_equal (it.claim.expected_end, END + 1);
}

static Claimant
unsure_claimant (void)
{
  Claimant it = claimant (FORMER_BOOT, 11);

  assert_true (begin (&it, 0));
  assert_false (claim_handle_answer (&it.claim, STORE_MOVED));
  it.view.end++;
  assert_true (begin (&it, QUIET_US));
  assert_true (it.claim.is_unsure);
  return it;
}

/* The owner's record can be read before the answer to the claim that came after it. */
static void
owner_that_was_heard_before_the_answer_is_claimed_over_at_an_offset (void **state)
{
  Claimant it = claimant (FORMER_BOOT, 11);

  (void) state;
  assert_true (begin (&it, QUIET_US));
  (void) claim_handle_record (&it.claim, &it.last, "self", 1, QUIET_US + 9);
  assert_false (claim_handle_answer (&it.claim, STORE_MOVED));
  it.view.end++;
  assert_true (begin (&it, 3 * QUIET_US));
  assert_int_equal (it.claim.expected_end, END + 1);
}

/* A claim that was only refused is not written later, and does not replace an owner that was heard
 * meanwhile; one without an answer is repeated as it was. */
static void
refused_claim_is_not_kept (void **state)
{
  Claimant refused = unsure_claimant ();
  Claimant lost = unsure_claimant ();

  (void) state;
  assert_false (claim_handle_answer (&refused.claim, STORE_REFUSED));
  (void) claim_handle_record (&refused.claim, &refused.last, "self", 1, QUIET_US + 9);
  assert_true (begin (&refused, 3 * QUIET_US));
  assert_int_equal (refused.claim.expected_end, refused.view.end);
  assert_true (claim_handle_answer (&lost.claim, STORE_IN_DOUBT));
  assert_false (claim_handle_answer (&lost.claim, STORE_REFUSED));
  assert_false (begin (&lost, 3 * QUIET_US));
  assert_int_equal (lost.claim.expected_end, -1);
}

static void
record_before_the_claim_forces_a_wait (void **state)
{
  Claimant it = unsure_claimant ();
  int64_t seen_us = QUIET_US + 40;

  (void) state;
  /* Without one, the former owner's authority ended before the claim was sent. */
  assert_int_equal (claim_act_us (&it.claim, -1, QUIET_US, seen_us), seen_us);
  LedgerOwner between = record_of (TERM, EPOCH, "former", FORMER_BOOT);
  assert_int_equal (claim_handle_record (&it.claim, &between, "self", 1, seen_us), CLAIM_FORMER);
  assert_int_equal (claim_act_us (&it.claim, -1, QUIET_US, seen_us + 9), seen_us + QUIET_US);
  /* It leaves: its authority has ended. */
  between.boot = 0;
  assert_int_equal (claim_handle_record (&it.claim, &between, "self", 1, seen_us + 8),
                    CLAIM_FORMER);
  assert_int_equal (claim_act_us (&it.claim, -1, QUIET_US, seen_us + 9), seen_us + 9);
}

static void
records_that_may_have_been_missed_force_a_wait (void **state)
{
  Claimant it = unsure_claimant ();
  int64_t read_us = QUIET_US + 40;

  (void) state;
  assert_int_equal (claim_act_us (&it.claim, QUIET_US + 1, QUIET_US, read_us), read_us + QUIET_US);
}

static void
only_the_own_claim_begins_the_term (void **state)
{
  Claimant it = claimant (0, 11);

  (void) state;
  assert_true (begin (&it, 0));
  LedgerOwner record = record_of (TERM + 1, EPOCH + 1, "self", 1);
  assert_int_equal (claim_handle_record (&it.claim, &record, "self", 1, 9), CLAIM_WRITTEN);
  /* An earlier claim of this process to the same term. */
  record.epoch = END + 1;
  assert_int_equal (claim_handle_record (&it.claim, &record, "self", 1, 9), CLAIM_OTHER);
  record = record_of (TERM + 1, EPOCH + 1, "third", 3);
  assert_int_equal (claim_handle_record (&it.claim, &record, "self", 1, 9), CLAIM_REPLACED);
}

/* The end of a process does not make its term vacant while the owner before may act: its records
 * have no name then. */
static void
only_a_named_owner_is_succeeded_by_its_next_process_at_once (void **state)
{
  LedgerOwner last = record_of (TERM, EPOCH, "self", FORMER_BOOT);

  (void) state;
  assert_true (claim_is_vacant (&last, "self", 1));
  assert_false (claim_is_vacant (&last, "self", FORMER_BOOT));
  assert_false (claim_is_vacant (&last, "other", 1));
  last.name = "";
  assert_false (claim_is_vacant (&last, "self", 1));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (claims_after_a_leave_follow_the_term_at_any_offset),
    cmocka_unit_test (claim_is_repeated_unchanged_while_it_may_be_written),
    cmocka_unit_test (refused_epoch_is_followed_by_a_claim_at_an_offset),
    cmocka_unit_test (first_term_and_terms_of_older_builds_are_claimed_at_an_offset),
    cmocka_unit_test (epoch_stays_below_those_of_older_builds),
    cmocka_unit_test (silent_owner_is_claimed_over_at_an_offset_first),
    cmocka_unit_test (owner_that_was_heard_again_is_claimed_over_at_an_offset),
    cmocka_unit_test (owner_that_was_heard_before_the_answer_is_claimed_over_at_an_offset),
    cmocka_unit_test (refused_claim_is_not_kept),
    cmocka_unit_test (record_before_the_claim_forces_a_wait),
    cmocka_unit_test (records_that_may_have_been_missed_force_a_wait),
    cmocka_unit_test (only_the_own_claim_begins_the_term),
    cmocka_unit_test (only_a_named_owner_is_succeeded_by_its_next_process_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
