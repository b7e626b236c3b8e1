/* The appends of a term: numbers, repeats and authority. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clk.h"
#include "ledger/appender.h"

#define EPOCH 40
#define CLAIM_SEQUENCE 7
#define CLAIM_SENT_US 1000
#define SECOND_US (1000 * CLK_US_PER_MS)

static Appender
begin_term (void)
{
  const AppenderClaim claim = {
    .epoch = EPOCH, .sequence = CLAIM_SEQUENCE, .end_offset = EPOCH, .sent_us = CLAIM_SENT_US
  };
  Appender appender = { 0 };

  appender_begin (&appender, &claim);
  return appender;
}

static void
add (Appender *appender, uint32_t n_records)
{
  GByteArray *records = g_byte_array_new ();

  for (uint32_t i = 0; i < n_records; i++)
    store_add_record (records, "key", "value", i);
  appender_add (appender, records);
}

static StoreAppend
transmit (Appender *appender, int64_t now_us)
{
  StoreAppend append = { 0 };

  appender_transmit (appender, now_us, &append);
  return append;
}

static AppenderResult
answer (Appender *appender, StoreOutcome outcome, int64_t offset, int64_t expected, int64_t now_us)
{
  const StoreAnswer answer
      = { .outcome = outcome, .offset = offset, .expected_sequence = expected };

  return appender_handle_answer (appender, &answer, now_us);
}

static void
numbers_follow_the_claim (void **state)
{
  Appender appender = begin_term ();

  (void) state;
  add (&appender, 1);
  StoreAppend append = transmit (&appender, SECOND_US);
  assert_int_equal (append.epoch, EPOCH);
  assert_int_equal (append.sequence, CLAIM_SEQUENCE + 1);
  assert_int_equal (append.expected_end, -1);
  assert_int_equal (answer (&appender, STORE_OK, EPOCH, -1, SECOND_US), APPENDER_WRITTEN);
  add (&appender, 1);
  assert_int_equal (transmit (&appender, SECOND_US).sequence, CLAIM_SEQUENCE + 2);
  appender_drop (&appender);
}

/* Outcomes that do not resolve an append; a client may report any of them of one that was executed.
 */
static void
unacknowledged_append_keeps_number_and_records (void **state)
{
  static const StoreOutcome outcomes[] = { STORE_REFUSED, STORE_IN_DOUBT };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Appender appender = begin_term ();
      add (&appender, 3);
      StoreAppend first = transmit (&appender, SECOND_US);
      assert_int_equal (answer (&appender, outcomes[i], -1, -1, SECOND_US), APPENDER_UNRESOLVED);
      assert_true (appender_is_open (&appender));
      StoreAppend second = transmit (&appender, 2 * SECOND_US);
      assert_int_equal (second.sequence, first.sequence);
      assert_ptr_equal (second.records, first.records);
      appender_drop (&appender);
    }
}

static void
repeat_gives_authority_of_first_transmission (void **state)
{
  Appender appender = begin_term ();

  (void) state;
  assert_int_equal (appender_authority_us (&appender), CLAIM_SENT_US);
  add (&appender, 1);
  (void) transmit (&appender, 1 * SECOND_US);
  (void) answer (&appender, STORE_IN_DOUBT, -1, -1, 2 * SECOND_US);
  (void) transmit (&appender, 3 * SECOND_US);
  assert_int_equal (answer (&appender, STORE_OK, EPOCH, -1, 3 * SECOND_US), APPENDER_WRITTEN);
  assert_int_equal (appender_authority_us (&appender), 1 * SECOND_US);
}

static void
used_up_number_is_written_only_by_a_repeat (void **state)
{
  Appender first = begin_term ();
  Appender repeated = begin_term ();
  const int64_t next = CLAIM_SEQUENCE + 2;

  (void) state;
  add (&first, 1);
  (void) transmit (&first, SECOND_US);
  assert_int_equal (answer (&first, STORE_SEQUENCE, -1, next, SECOND_US), APPENDER_DISPLACED);
  add (&repeated, 1);
  (void) transmit (&repeated, SECOND_US);
  (void) answer (&repeated, STORE_IN_DOUBT, -1, -1, SECOND_US);
  (void) transmit (&repeated, 2 * SECOND_US);
  assert_int_equal (answer (&repeated, STORE_SEQUENCE, -1, next, SECOND_US), APPENDER_WRITTEN);
}

static void
unexpected_number_ends_the_term (void **state)
{
  Appender appender = begin_term ();

  (void) state;
  add (&appender, 1);
  (void) transmit (&appender, SECOND_US);
  assert_int_equal (answer (&appender, STORE_SEQUENCE, -1, CLAIM_SEQUENCE + 9, SECOND_US),
                    APPENDER_DISPLACED);
  assert_false (appender_is_open (&appender));
}

/* Such an answer was given to an append before this one. */
static void
offset_before_the_known_end_ends_the_term (void **state)
{
  Appender appender = begin_term ();

  (void) state;
  add (&appender, 3);
  (void) transmit (&appender, SECOND_US);
  assert_int_equal (answer (&appender, STORE_OK, EPOCH + 5, -1, SECOND_US), APPENDER_WRITTEN);
  add (&appender, 1);
  (void) transmit (&appender, SECOND_US);
  assert_int_equal (answer (&appender, STORE_OK, EPOCH + 7, -1, SECOND_US), APPENDER_DISPLACED);
}

static void
higher_epoch_ends_the_term (void **state)
{
  Appender appender = begin_term ();

  (void) state;
  add (&appender, 1);
  (void) transmit (&appender, SECOND_US);
  assert_int_equal (answer (&appender, STORE_FENCED, -1, -1, SECOND_US), APPENDER_FENCED);
  assert_false (appender_is_open (&appender));
}

/* Sent again unchanged, such an append would keep the term from writing for good. */
static void
append_that_is_never_accepted_ends_the_term (void **state)
{
  static const StoreOutcome outcomes[] = { STORE_MALFORMED, STORE_MOVED, STORE_EXPIRED };

  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      Appender appender = begin_term ();
      add (&appender, 1);
      (void) transmit (&appender, SECOND_US);
      (void) answer (&appender, STORE_IN_DOUBT, -1, -1, SECOND_US);
      (void) transmit (&appender, 2 * SECOND_US);
      assert_int_equal (answer (&appender, outcomes[i], -1, -1, 2 * SECOND_US), APPENDER_REJECTED);
      assert_false (appender_is_open (&appender));
    }
}

static void
pauses_grow_until_an_append_is_written (void **state)
{
  static const int64_t pauses_ms[]
      = { APPENDER_BACKOFF_MIN_MS, 2 * APPENDER_BACKOFF_MIN_MS, 4 * APPENDER_BACKOFF_MIN_MS,
          APPENDER_BACKOFF_MAX_MS, APPENDER_BACKOFF_MAX_MS };
  Appender appender = begin_term ();
  int64_t now_us = SECOND_US;

  (void) state;
  add (&appender, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (pauses_ms); i++)
    {
      (void) transmit (&appender, now_us);
      assert_false (appender_may_send (&appender, now_us));
      (void) answer (&appender, STORE_REFUSED, -1, -1, now_us);
      now_us += pauses_ms[i] * CLK_US_PER_MS;
      assert_false (appender_may_send (&appender, now_us - 1));
      assert_true (appender_may_send (&appender, now_us));
    }
  (void) transmit (&appender, now_us);
  (void) answer (&appender, STORE_OK, EPOCH, -1, now_us);
  assert_true (appender_may_send (&appender, now_us));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (numbers_follow_the_claim),
    cmocka_unit_test (unacknowledged_append_keeps_number_and_records),
    cmocka_unit_test (repeat_gives_authority_of_first_transmission),
    cmocka_unit_test (used_up_number_is_written_only_by_a_repeat),
    cmocka_unit_test (unexpected_number_ends_the_term),
    cmocka_unit_test (offset_before_the_known_end_ends_the_term),
    cmocka_unit_test (higher_epoch_ends_the_term),
    cmocka_unit_test (append_that_is_never_accepted_ends_the_term),
    cmocka_unit_test (pauses_grow_until_an_append_is_written),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
