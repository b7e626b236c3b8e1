/* The log of the programs on standard output. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "common/line.h"

#define LINES_PER_S_MAX 100

/* Lines that a broken standard output swallowed are counted one by one, and the count is logged. */
static void
lines_lost_at_a_broken_output_are_counted (void **state)
{
  int broken[2];
  int output[2];
  char text[1024] = "";
  int standard = dup (STDOUT_FILENO);

  (void) state;
  (void) signal (SIGPIPE, SIG_IGN);
  assert_int_equal (pipe (broken), 0);
  assert_int_equal (pipe (output), 0);
  (void) close (broken[0]);
  (void) dup2 (broken[1], STDOUT_FILENO);
  line_open ("test", LINES_PER_S_MAX);
  line_add ("module", "event", "number=%d", 1);
  line_add ("module", "event", "number=%d", 2);
  line_flush ();
  (void) dup2 (output[1], STDOUT_FILENO);
  line_add ("module", "event", "number=%d", 3);
  line_flush ();
  (void) dup2 (standard, STDOUT_FILENO);
  assert_true (read (output[0], text, sizeof text - 1) > 0);
  assert_non_null (strstr (text, "log dropped lines=3\n"));
  assert_non_null (strstr (text, "module event number=3\n"));
  assert_null (strstr (text, "number=2"));
}

/* Lines that are frequent do not take the place of the others. */
static void
frequent_lines_leave_room_for_others (void **state)
{
  int output[2];
  char text[8 * 1024] = "";
  int standard = dup (STDOUT_FILENO);

  (void) state;
  assert_int_equal (pipe (output), 0);
  (void) dup2 (output[1], STDOUT_FILENO);
  line_open ("test", LINES_PER_S_MAX);
  for (int i = 0; i < LINES_PER_S_MAX * 10; i++)
    line_add_frequent ("module", "frequent", "number=%d", i);
  line_add ("module", "other", "number=1");
  line_flush ();
  (void) dup2 (standard, STDOUT_FILENO);
  assert_true (read (output[0], text, sizeof text - 1) > 0);
  assert_non_null (strstr (text, "module other number=1\n"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lines_lost_at_a_broken_output_are_counted),
    cmocka_unit_test (frequent_lines_leave_room_for_others),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
