#include "agent/agent_entries.h"

typedef struct
{
  uint64_t echoed_seq;
  uint64_t sent_after_seq; /**< newest heartbeat when a message was last sent */
  gboolean is_waiting;     /**< a sent message is not yet confirmed by a later echo */
  int64_t last_echo_us;
} Row;

struct AgentEntries
{
  GHashTable *rows; /**< name -> Row */
};

AgentEntries *
agent_entries_new (void)
{
  AgentEntries *entries = g_new0 (AgentEntries, 1);

  entries->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return entries;
}

void
agent_entries_free (AgentEntries *entries)
{
  if (entries == NULL)
    return;
  g_hash_table_unref (entries->rows);
  g_free (entries);
}

gboolean
agent_entries_note_echo (AgentEntries *entries, const char *name, uint64_t seq, int64_t now_us)
{
  Row *row = g_hash_table_lookup (entries->rows, name);

  if (row == NULL)
    {
      if (g_hash_table_size (entries->rows) >= AGENT_ENTRIES_MAX)
        return FALSE;
      row = g_new0 (Row, 1);
      g_hash_table_insert (entries->rows, g_strdup (name), row);
    }
  row->last_echo_us = now_us;
  row->echoed_seq = MAX (row->echoed_seq, seq);
  if (row->echoed_seq > row->sent_after_seq)
    row->is_waiting = FALSE;
  return TRUE;
}

static void
note_sent (Row *row, uint64_t last_seq)
{
  row->sent_after_seq = last_seq;
  row->is_waiting = TRUE;
}

void
agent_entries_note_sent (AgentEntries *entries, const char *name, uint64_t last_seq)
{
  Row *row = g_hash_table_lookup (entries->rows, name);

  if (row != NULL)
    note_sent (row, last_seq);
}

void
agent_entries_note_sent_all (AgentEntries *entries, uint64_t last_seq)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entries->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    note_sent (value, last_seq);
}

gboolean
agent_entries_any_echoed (const AgentEntries *entries, int64_t within_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entries->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Row *row = value;
      if (now_us - row->last_echo_us <= within_us)
        return TRUE;
    }
  return FALSE;
}

gboolean
agent_entries_all_received (const AgentEntries *entries, int64_t within_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entries->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Row *row = value;
      if (row->is_waiting && now_us - row->last_echo_us <= within_us)
        return FALSE;
    }
  return TRUE;
}
