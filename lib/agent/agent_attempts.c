#include "agent/agent_attempts.h"

#include <string.h>

typedef struct
{
  char *name;
  AgentAttemptState state; /**< running, ran, fenced or unknown (in doubt) */
  GBytes *answer;
  int64_t ended_us;
  GList *by_end;    /**< link in ended; NULL while running */
  GList *by_answer; /**< link in answered; NULL when no answer is stored */
} Row;

struct AgentAttempts
{
  AgentAttemptsOptions options;
  GHashTable *rows; /**< name -> Row */
  GQueue ended;     /**< Row, oldest end first */
  GQueue answered;  /**< Row with an answer, oldest first */
  int64_t answers_bytes;
  /** Attempts without a row that were chosen at or before these times are refused: */
  int64_t forgotten_us;     /**< they may have run and been forgotten */
  int64_t fenced_before_us; /**< there was no room for a row, so they never ran */
};

static void
row_free (void *data)
{
  Row *row = data;

  g_free (row->name);
  if (row->answer != NULL)
    g_bytes_unref (row->answer);
  g_free (row);
}

AgentAttempts *
agent_attempts_new (const AgentAttemptsOptions *options)
{
  AgentAttempts *attempts = g_new0 (AgentAttempts, 1);

  g_assert (options->rows_max > 0);
  attempts->options = *options;
  attempts->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  attempts->forgotten_us = -1;
  attempts->fenced_before_us = -1;
  return attempts;
}

void
agent_attempts_free (AgentAttempts *attempts)
{
  if (attempts == NULL)
    return;
  g_queue_clear (&attempts->ended);
  g_queue_clear (&attempts->answered);
  g_hash_table_unref (attempts->rows);
  g_free (attempts);
}

/* The length prefix distinguishes tenant "a" with key "b/c" from tenant "a/b" with key "c". */
static char *
format_name (const AgentAttempt *attempt)
{
  return g_strdup_printf ("%u/%zu/%s/%s", attempt->attempt, strlen (attempt->tenant),
                          attempt->tenant, attempt->key);
}

static Row *
find_row (const AgentAttempts *attempts, const AgentAttempt *attempt)
{
  g_autofree char *name = format_name (attempt);

  return g_hash_table_lookup (attempts->rows, name);
}

static void
drop_answer (AgentAttempts *attempts, Row *row)
{
  if (row->answer == NULL)
    return;
  attempts->answers_bytes -= (int64_t) g_bytes_get_size (row->answer);
  g_bytes_unref (row->answer);
  row->answer = NULL;
  g_queue_delete_link (&attempts->answered, row->by_answer);
  row->by_answer = NULL;
}

static void
end_row (AgentAttempts *attempts, Row *row, AgentAttemptState state, int64_t now_us)
{
  row->state = state;
  row->ended_us = now_us;
  g_queue_push_tail (&attempts->ended, row);
  row->by_end = g_queue_peek_tail_link (&attempts->ended);
}

/* Makes room for one row. If the table is full, forgets the oldest ended row if it is old enough,
 * and keeps its end as a lower bound for the attempts that are still accepted. */
static gboolean
make_room (AgentAttempts *attempts, int64_t now_us)
{
  Row *oldest = g_queue_peek_head (&attempts->ended);

  if (g_hash_table_size (attempts->rows) < attempts->options.rows_max)
    return TRUE;
  if (oldest == NULL || now_us - oldest->ended_us < attempts->options.keep_us)
    return FALSE;
  attempts->forgotten_us = MAX (attempts->forgotten_us, oldest->ended_us);
  drop_answer (attempts, oldest);
  g_queue_delete_link (&attempts->ended, oldest->by_end);
  g_hash_table_remove (attempts->rows, oldest->name);
  return TRUE;
}

static Row *
add_row (AgentAttempts *attempts, const AgentAttempt *attempt)
{
  Row *row = g_new0 (Row, 1);

  row->name = format_name (attempt);
  row->state = AGENT_ATTEMPT_RUNNING;
  g_hash_table_insert (attempts->rows, row->name, row);
  return row;
}

static gboolean
may_be_forgotten (const AgentAttempts *attempts, const AgentAttempt *attempt)
{
  return attempt->chosen_us <= attempts->forgotten_us;
}

/* Fences an attempt that has no row. Without room for a row, fences every attempt that was chosen
 * up to now, which includes this one. */
static void
fence_unseen (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us)
{
  if (make_room (attempts, now_us))
    end_row (attempts, add_row (attempts, attempt), AGENT_ATTEMPT_FENCED, now_us);
  else
    attempts->fenced_before_us = MAX (attempts->fenced_before_us, now_us);
}

AgentAttemptState
agent_attempts_begin (AgentAttempts *attempts,
                      const AgentAttempt *attempt,
                      int64_t now_us,
                      GBytes **answer)
{
  const Row *row = find_row (attempts, attempt);

  *answer = NULL;
  if (row != NULL)
    {
      *answer = row->answer;
      return row->state;
    }
  if (may_be_forgotten (attempts, attempt))
    return AGENT_ATTEMPT_UNKNOWN;
  if (attempt->chosen_us <= attempts->fenced_before_us)
    return AGENT_ATTEMPT_FENCED;
  if (!make_room (attempts, now_us))
    {
      attempts->fenced_before_us = MAX (attempts->fenced_before_us, now_us);
      return AGENT_ATTEMPT_FULL;
    }
  (void) add_row (attempts, attempt);
  return AGENT_ATTEMPT_START;
}

AgentAttemptState
agent_attempts_refuse (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us)
{
  const Row *row = find_row (attempts, attempt);

  if (row != NULL)
    return row->state;
  if (may_be_forgotten (attempts, attempt))
    return AGENT_ATTEMPT_UNKNOWN;
  fence_unseen (attempts, attempt, now_us);
  return AGENT_ATTEMPT_FENCED;
}

static void
hold_answer (AgentAttempts *attempts, Row *row, GBytes *answer)
{
  int64_t size = (int64_t) g_bytes_get_size (answer);

  if (size > attempts->options.answers_bytes_max)
    return;
  while (attempts->answers_bytes + size > attempts->options.answers_bytes_max)
    drop_answer (attempts, g_queue_peek_head (&attempts->answered));
  row->answer = g_bytes_ref (answer);
  attempts->answers_bytes += size;
  g_queue_push_tail (&attempts->answered, row);
  row->by_answer = g_queue_peek_tail_link (&attempts->answered);
}

void
agent_attempts_ran (AgentAttempts *attempts,
                    const AgentAttempt *attempt,
                    GBytes *answer,
                    int64_t now_us)
{
  Row *row = find_row (attempts, attempt);

  g_assert (row != NULL && row->state == AGENT_ATTEMPT_RUNNING);
  end_row (attempts, row, AGENT_ATTEMPT_RAN, now_us);
  if (answer != NULL)
    hold_answer (attempts, row, answer);
}

void
agent_attempts_in_doubt (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us)
{
  Row *row = find_row (attempts, attempt);

  g_assert (row != NULL && row->state == AGENT_ATTEMPT_RUNNING);
  end_row (attempts, row, AGENT_ATTEMPT_UNKNOWN, now_us);
}

void
agent_attempts_not_run (AgentAttempts *attempts, const AgentAttempt *attempt, int64_t now_us)
{
  Row *row = find_row (attempts, attempt);

  g_assert (row != NULL && row->state == AGENT_ATTEMPT_RUNNING);
  end_row (attempts, row, AGENT_ATTEMPT_FENCED, now_us);
}

AgentAttemptState
agent_attempts_query (AgentAttempts *attempts,
                      const AgentAttempt *attempt,
                      int64_t now_us,
                      GBytes **answer)
{
  const Row *row = find_row (attempts, attempt);

  *answer = NULL;
  if (row != NULL)
    {
      *answer = row->answer;
      return row->state;
    }
  if (may_be_forgotten (attempts, attempt))
    return AGENT_ATTEMPT_UNKNOWN;
  /* A query may not say when the attempt was chosen, so it is fenced by a row if there is room. */
  fence_unseen (attempts, attempt, now_us);
  return AGENT_ATTEMPT_FENCED;
}

uint32_t
agent_attempts_count (const AgentAttempts *attempts)
{
  return g_hash_table_size (attempts->rows);
}

int64_t
agent_attempts_bytes (const AgentAttempts *attempts)
{
  return attempts->answers_bytes;
}
