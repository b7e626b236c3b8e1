/* Evacuation of data centres: which requests are in force, and that nothing is started there. */
#include "batch/evacuations.h"
#include "rig.h"

#define JOB_A "00000000000000aa"
#define ROUND_MS 100

/* Workers 0 and 1 of a rig are in data centre dc0, workers 2 and 3 in dc1. */
typedef struct
{
  Rig *rig;
  Evacuations *evacuations;
} Fixture;

static Fixture
fixture_new (uint32_t n_workers)
{
  Fixture fixture = { rig_new (n_workers), evacuations_new () };

  sched_set_evacuations (fixture.rig->sched, fixture.evacuations);
  return fixture;
}

static void
fixture_clear (Fixture *fixture)
{
  rig_free (fixture->rig);
  evacuations_free (fixture->evacuations);
}

static uint32_t
running_in (const Rig *rig, const char *data_centre)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < rig->n_workers; i++)
    count += strcmp (rig->workers[i].data_centre, data_centre) == 0 ? rig->workers[i].n_tasks : 0;
  return count;
}

static void
request_holds_until_it_is_removed (void **state)
{
  g_autoptr (Evacuations) evacuations = evacuations_new ();

  (void) state;
  assert_true (evacuations_apply (evacuations, "a", 3, TRUE));
  assert_false (evacuations_apply (evacuations, "a", 4, TRUE));
  assert_true (evacuations_apply (evacuations, "b", 5, TRUE));
  assert_int_equal (evacuations_count (evacuations), 2);
  assert_true (evacuations_apply (evacuations, "a", 6, FALSE));
  assert_false (evacuations_apply (evacuations, "unknown", 7, FALSE));
  assert_false (evacuations_contains (evacuations, "a"));
  assert_true (evacuations_contains (evacuations, "b"));
  assert_true (evacuations_apply (evacuations, "a", 8, TRUE));
  assert_true (evacuations_contains (evacuations, "a"));
}

/* A load delivers the newest request first and then, from where it began, an older removal. */
static void
older_removal_is_ignored (void **state)
{
  g_autoptr (Evacuations) evacuations = evacuations_new ();

  (void) state;
  assert_true (evacuations_apply (evacuations, "a", 9, TRUE));
  assert_false (evacuations_apply (evacuations, "a", 8, FALSE));
  assert_true (evacuations_contains (evacuations, "a"));
}

/* A removal that was missed shows only by its key no longer being among the newest records. */
static void
request_missing_from_a_load_was_removed (void **state)
{
  g_autoptr (Evacuations) evacuations = evacuations_new ();

  (void) state;
  (void) evacuations_apply (evacuations, "a", 1, TRUE);
  (void) evacuations_apply (evacuations, "b", 2, TRUE);
  evacuations_begin_load (evacuations);
  assert_true (evacuations_contains (evacuations, "a"));
  assert_false (evacuations_apply (evacuations, "b", 2, TRUE));
  assert_true (evacuations_end_load (evacuations));
  assert_false (evacuations_contains (evacuations, "a"));
  assert_true (evacuations_contains (evacuations, "b"));
  evacuations_begin_load (evacuations);
  (void) evacuations_apply (evacuations, "b", 2, TRUE);
  assert_false (evacuations_end_load (evacuations));
}

static void
nothing_starts_in_an_evacuated_data_centre (void **state)
{
  Fixture fixture = fixture_new (4);
  Rig *rig = fixture.rig;

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  (void) evacuations_apply (fixture.evacuations, "dc0", 1, TRUE);
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":24,\"cpu\":2000}");
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->n_starts, 16);
  assert_int_equal (running_in (rig, "dc0"), 0);
  (void) evacuations_apply (fixture.evacuations, "dc0", 2, FALSE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (running_in (rig, "dc0"), 8);
  fixture_clear (&fixture);
}

static void
running_tasks_stay_in_an_evacuated_data_centre (void **state)
{
  Fixture fixture = fixture_new (2);
  Rig *rig = fixture.rig;

  (void) state;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":4,\"cpu\":2000}");
  rig_round (rig, ROUND_MS, TRUE);
  (void) evacuations_apply (fixture.evacuations, "dc0", 1, TRUE);
  for (int i = 0; i < 5; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (running_in (rig, "dc0"), 4);
  assert_int_equal (rig->n_stops, 0);
  fixture_clear (&fixture);
}

/* The order of a start is lost with the connection. When it is sent again, the data centre is being
 * evacuated. */
static void
start_that_was_ordered_before_is_withdrawn (void **state)
{
  Fixture fixture = fixture_new (4);
  Rig *rig = fixture.rig;

  (void) state;
  rig_round (rig, ROUND_MS, TRUE);
  rig->workers[2].is_silent = TRUE;
  rig->workers[3].is_silent = TRUE;
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":32,\"cpu\":2000}");
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->n_starts, 16);
  (void) evacuations_apply (fixture.evacuations, "dc1", 1, TRUE);
  rig->workers[2].is_silent = FALSE;
  rig->workers[3].is_silent = FALSE;
  for (int i = 0; i < 5; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (running_in (rig, "dc1"), 0);
  for (int i = 0; i < 16; i++)
    rig_end (&rig->workers[i / 8], rig->workers[i / 8].tasks[0].name, WORKER_END_DONE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (running_in (rig, "dc0"), 16);
  assert_int_equal (running_in (rig, "dc1"), 0);
  fixture_clear (&fixture);
}

/* A new owner learns of the evacuation from the operators' records, before its first tick. */
static void
evacuation_holds_for_a_new_owner (void **state)
{
  Fixture fixture = fixture_new (4);
  Rig *rig = fixture.rig;

  (void) state;
  (void) evacuations_apply (fixture.evacuations, "dc1", 1, TRUE);
  sched_begin_term (rig->sched, 2, rig->now_us + 1000 * RIG_EXPIRY_MS);
  rig_add_job_as (rig, JOB_A, "urgent", "{\"count\":20,\"cpu\":2000}", TRUE);
  for (int i = 0; i < 3; i++)
    rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (running_in (rig, "dc0"), 16);
  assert_int_equal (running_in (rig, "dc1"), 0);
  fixture_clear (&fixture);
}

static void
held_starts_wait (void **state)
{
  Fixture fixture = fixture_new (2);
  Rig *rig = fixture.rig;

  (void) state;
  sched_hold_starts (rig->sched, TRUE);
  rig_add_job (rig, JOB_A, "urgent", "{\"count\":4,\"cpu\":2000}");
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->n_starts, 0);
  sched_hold_starts (rig->sched, FALSE);
  rig_round (rig, ROUND_MS, TRUE);
  assert_int_equal (rig->n_starts, 4);
  fixture_clear (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (request_holds_until_it_is_removed),
    cmocka_unit_test (older_removal_is_ignored),
    cmocka_unit_test (request_missing_from_a_load_was_removed),
    cmocka_unit_test (nothing_starts_in_an_evacuated_data_centre),
    cmocka_unit_test (running_tasks_stay_in_an_evacuated_data_centre),
    cmocka_unit_test (start_that_was_ordered_before_is_withdrawn),
    cmocka_unit_test (evacuation_holds_for_a_new_owner),
    cmocka_unit_test (held_starts_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
