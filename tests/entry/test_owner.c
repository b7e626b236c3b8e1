/* Ownership rules, one per test: when an entry claims, consents, renews and completes a takeover.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/clk.h"
#include "entry/owner.h"

#define MS CLK_US_PER_MS
#define LEASE_MS 1000
#define FRESH_MS 400
#define DRIFT_MS 100
#define OUTAGE_MS 5000
#define SILENCE_MS 300

typedef struct
{
  Fold *fold;
  Members *members;
  Owner *owner; /**< the entry "e1", incarnation 1 */
  int64_t now_us;
  int64_t offset;
  uint64_t seq;
  uint32_t claims;
  uint32_t consent_requests;
  uint32_t settled;
  uint32_t lost;
  IdsId claim_id;
} Fixture;

static gboolean
on_claim (void *ctx, uint32_t shard, uint64_t epoch, IdsId *id)
{
  Fixture *fix = ctx;

  (void) shard;
  (void) epoch;
  fix->claims++;
  fix->claim_id = ids_new ();
  *id = fix->claim_id;
  return TRUE;
}

static void
on_consent_request (void *ctx, const char *entry, uint32_t shard, uint64_t epoch, int64_t sent_us)
{
  Fixture *fix = ctx;

  (void) entry;
  (void) shard;
  (void) epoch;
  (void) sent_us;
  fix->consent_requests++;
}

static void
on_gained (void *ctx, uint32_t shard, uint64_t epoch, gboolean is_first)
{
  (void) ctx;
  (void) shard;
  (void) epoch;
  (void) is_first;
}

static void
on_settled (void *ctx, uint32_t shard)
{
  Fixture *fix = ctx;

  (void) shard;
  fix->settled++;
}

static void
on_lost (void *ctx, uint32_t shard)
{
  Fixture *fix = ctx;

  (void) shard;
  fix->lost++;
}

static void
fold_record (Fixture *fix, const Record__Record *record)
{
  Record__Record copy = *record;
  IdsId id = ids_new ();
  char writer[] = "e";

  copy.id_high = id.high;
  copy.id_low = id.low;
  copy.writer = writer;
  g_autofree uint8_t *data = g_malloc (record__record__get_packed_size (&copy));
  size_t size = record__record__pack (&copy, data);
  fold_apply (fix->fold, fix->offset++, fix->now_us / MS, data, size);
}

static void
fold_entry (Fixture *fix, const char *name)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Entry entry = RECORD__ENTRY__INIT;

  entry.entry = (char *) name;
  entry.incarnation = 1;
  record.body_case = RECORD__RECORD__BODY_ENTRY;
  record.entry = &entry;
  fold_record (fix, &record);
}

static void
fold_claim_by (Fixture *fix, const char *name, uint64_t epoch)
{
  Record__Record record = RECORD__RECORD__INIT;
  Record__Claim claim = RECORD__CLAIM__INIT;

  claim.epoch = epoch;
  claim.entry = (char *) name;
  claim.incarnation = 1;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  fold_record (fix, &record);
}

static int
set_up (void **state)
{
  FoldOptions fold_options = { .key_window_ms = 1000000,
                               .answer_bytes_max = 100,
                               .id_window_ms = 1000000,
                               .shards = 1,
                               .history_max = 10 };
  OwnerOptions options = { .name = "e1",
                           .incarnation = 1,
                           .shards = 1,
                           .lease_us = LEASE_MS * MS,
                           .fresh_us = FRESH_MS * MS,
                           .drift_us = DRIFT_MS * MS,
                           .outage_us = OUTAGE_MS * MS,
                           .owner_timeout_us = SILENCE_MS * MS,
                           .stagger_us = 100 * MS,
                           .consent_interval_us = 100 * MS };
  Fixture *fix = g_new0 (Fixture, 1);
  OwnerEvents events = { on_claim, on_consent_request, on_gained, on_settled, on_lost, fix };

  fix->now_us = 100 * CLK_US_PER_S;
  fix->fold = fold_new (&fold_options);
  fix->members = members_new (SILENCE_MS * MS);
  fix->owner = owner_new (&options, &events);
  *state = fix;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fix = *state;

  owner_free (fix->owner);
  members_free (fix->members);
  fold_free (fix->fold);
  g_free (fix);
  return 0;
}

/* Advances the time in ticks; @p reads: the log is read at each tick. */
static void
advance (Fixture *fix, int64_t ms, gboolean reads)
{
  for (int64_t i = 0; i < ms; i += 50)
    {
      fix->now_us += 50 * MS;
      if (reads)
        owner_log_read (fix->owner, fix->now_us);
      owner_folded (fix->owner, fix->fold, fix->now_us);
      owner_tick (fix->owner, fix->fold, fix->members, fix->now_us);
    }
}

static void
receive_owner_digest (Fixture *fix, int64_t log_offset)
{
  Wire__Digest digest = WIRE__DIGEST__INIT;
  char name[] = "e0";

  digest.entry = name;
  digest.incarnation = 1;
  digest.seq = ++fix->seq;
  digest.log_offset = log_offset;
  members_digest (fix->members, &digest, fix->now_us);
}

static gboolean
may_renew (const Fixture *fix)
{
  return owner_may_renew (fix->owner, fix->fold, 0, fix->now_us);
}

static void
a_vacant_shard_is_claimed_once_with_a_fresh_view (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e1");
  advance (fix, 500, FALSE);
  assert_int_equal (fix->claims, 0);
  advance (fix, 500, TRUE);
  assert_int_equal (fix->claims, 1);
  fold_claim_by (fix, "e1", 1);
  advance (fix, 500, TRUE);
  assert_int_equal (fix->claims, 1);
  assert_true (may_renew (fix));
  assert_int_equal (owner_epoch (fix->owner, 0), 1);
}

/* An owner that lost the log may renew by consents, without asking an entry whose record it has not
 * read. */
static void
an_entry_unknown_to_the_owner_waits_for_the_outage_time (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  advance (fix, 100, TRUE);
  fold_entry (fix, "e1");
  advance (fix, OUTAGE_MS - 100, TRUE);
  assert_int_equal (fix->claims, 0);
  advance (fix, 500, TRUE);
  assert_int_equal (fix->claims, 1);
}

/* One page of the log may hold both records, and the owner may be lost before its next digest. */
static void
an_entry_whose_record_the_claim_follows_is_known_to_the_owner (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e0");
  fold_entry (fix, "e1");
  fold_claim_by (fix, "e0", 1);
  advance (fix, LEASE_MS + SILENCE_MS + 500, TRUE);
  assert_int_equal (fix->claims, 1);
}

static void
an_entry_whose_record_follows_the_claim_on_its_page_waits_out_an_outage (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  fold_entry (fix, "e1");
  advance (fix, OUTAGE_MS - 100, TRUE);
  assert_int_equal (fix->claims, 0);
  advance (fix, 500, TRUE);
  assert_int_equal (fix->claims, 1);
}

static void
an_entry_known_to_the_owner_claims_after_its_heartbeats_stop (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  advance (fix, 100, TRUE);
  fold_entry (fix, "e1");
  for (int i = 0; i < 30; i++)
    {
      receive_owner_digest (fix, fix->offset);
      advance (fix, 100, TRUE);
    }
  assert_int_equal (fix->claims, 0);
  advance (fix, 2 * SILENCE_MS + 200, TRUE);
  assert_int_equal (fix->claims, 1);
}

/* An earlier incarnation of the entry may have consented, so one lease time has to pass first. */
static void
a_restarted_entry_waits_a_lease_time (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  receive_owner_digest (fix, 10);
  advance (fix, 2000, TRUE);
  fold_entry (fix, "e1");
  advance (fix, LEASE_MS - 100, TRUE);
  assert_int_equal (fix->claims, 0);
  advance (fix, 300, TRUE);
  assert_int_equal (fix->claims, 1);
}

static int64_t
request_consent (Fixture *fix)
{
  Wire__ConsentRequest request = WIRE__CONSENT_REQUEST__INIT;
  char name[] = "e0";

  request.entry = name;
  request.incarnation = 1;
  request.epoch = 1;
  return owner_consent_requested (fix->owner, fix->fold, &request, fix->now_us);
}

static void
consent_is_given_only_in_an_outage_and_delays_claims (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e1");
  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  receive_owner_digest (fix, fix->offset);
  advance (fix, 200, TRUE);
  assert_int_equal (request_consent (fix), 0);
  advance (fix, FRESH_MS + 100, FALSE);
  assert_int_equal (request_consent (fix), LEASE_MS * MS);
  advance (fix, 800, FALSE);
  assert_int_equal (request_consent (fix), LEASE_MS * MS);
  advance (fix, LEASE_MS - 100, TRUE);
  assert_int_equal (fix->claims, 0);
  advance (fix, 200, TRUE);
  assert_int_equal (fix->claims, 1);
  /* A claim whose result is unknown may still reach the log. */
  advance (fix, FRESH_MS + 100, FALSE);
  assert_int_equal (request_consent (fix), 0);
  owner_not_appended (fix->owner, fix->claim_id);
  assert_int_equal (request_consent (fix), LEASE_MS * MS);
}

static void
consent (Fixture *fix, const char *name, int64_t sent_us)
{
  Wire__Consent message = WIRE__CONSENT__INIT;

  message.entry = (char *) name;
  message.incarnation = 1;
  message.epoch = 1;
  message.sent_us = sent_us;
  message.hold_ms = LEASE_MS;
  owner_consent_received (fix->owner, fix->fold, &message);
}

static void
leases_are_renewed_with_all_consents_only (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e1");
  fold_entry (fix, "e0");
  fold_entry (fix, "e2");
  fold_claim_by (fix, "e1", 1);
  advance (fix, 100, TRUE);
  assert_true (may_renew (fix));
  advance (fix, FRESH_MS + 100, FALSE);
  assert_true (fix->consent_requests >= 2);
  assert_false (may_renew (fix));
  consent (fix, "e0", fix->now_us);
  assert_false (may_renew (fix));
  consent (fix, "e2", fix->now_us);
  assert_true (may_renew (fix));
  advance (fix, LEASE_MS - DRIFT_MS - 50, FALSE);
  assert_true (may_renew (fix));
  advance (fix, 50, FALSE);
  assert_false (may_renew (fix));
  /* Consents are sufficient for renewals only for a bounded time without the log. */
  advance (fix, OUTAGE_MS, FALSE);
  consent (fix, "e0", fix->now_us);
  consent (fix, "e2", fix->now_us);
  assert_false (may_renew (fix));
}

static void
a_takeover_completes_only_with_a_fresh_view (void **state)
{
  Fixture *fix = *state;
  const int64_t wait_ms = FRESH_MS + LEASE_MS + DRIFT_MS;

  fold_entry (fix, "e1");
  fold_entry (fix, "e0");
  fold_claim_by (fix, "e0", 1);
  fold_claim_by (fix, "e1", 2);
  advance (fix, wait_ms, TRUE);
  assert_int_equal (fix->settled, 0);
  advance (fix, wait_ms, FALSE);
  assert_int_equal (fix->settled, 0);
  advance (fix, 100, TRUE);
  assert_int_equal (fix->settled, 1);
}

static void
a_deposed_owner_stops_at_once (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e1");
  fold_entry (fix, "e0");
  fold_claim_by (fix, "e1", 1);
  advance (fix, 100, TRUE);
  assert_true (may_renew (fix));
  fold_claim_by (fix, "e0", 2);
  owner_folded (fix->owner, fix->fold, fix->now_us);
  assert_int_equal (fix->lost, 1);
  assert_false (may_renew (fix));
  assert_int_equal (owner_epoch (fix->owner, 0), 0);
}

static void
a_leaving_owner_stops_renewing (void **state)
{
  Fixture *fix = *state;

  fold_entry (fix, "e1");
  fold_claim_by (fix, "e1", 1);
  advance (fix, 100, TRUE);
  owner_leave (fix->owner);
  assert_false (may_renew (fix));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_vacant_shard_is_claimed_once_with_a_fresh_view, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (an_entry_unknown_to_the_owner_waits_for_the_outage_time,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (an_entry_whose_record_the_claim_follows_is_known_to_the_owner,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        an_entry_whose_record_follows_the_claim_on_its_page_waits_out_an_outage, set_up, tear_down),
    cmocka_unit_test_setup_teardown (an_entry_known_to_the_owner_claims_after_its_heartbeats_stop,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_restarted_entry_waits_a_lease_time, set_up, tear_down),
    cmocka_unit_test_setup_teardown (consent_is_given_only_in_an_outage_and_delays_claims, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (leases_are_renewed_with_all_consents_only, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_takeover_completes_only_with_a_fresh_view, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_deposed_owner_stops_at_once, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_leaving_owner_stops_renewing, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
