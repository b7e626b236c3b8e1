/**
 * @file agent_entries.h
 * Tracks for each entry when it last answered a heartbeat, and whether it has received all
 * messages.
 *
 * Messages to one entry arrive in order within a connection, so an entry that answers heartbeat n
 * has received every message that was sent before it. Does no I/O; time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define AGENT_ENTRIES_MAX 1024

typedef struct AgentEntries AgentEntries;

AgentEntries *agent_entries_new (void);
void agent_entries_free (AgentEntries *entries);

/** Records an answer of entry @p name to heartbeat @p seq; FALSE when the table is full. */
gboolean
agent_entries_note_echo (AgentEntries *entries, const char *name, uint64_t seq, int64_t now_us);

/** Records that a message was sent to entry @p name after heartbeat @p last_seq. */
void agent_entries_note_sent (AgentEntries *entries, const char *name, uint64_t last_seq);

/** Records that a message was sent to every known entry after heartbeat @p last_seq. */
void agent_entries_note_sent_all (AgentEntries *entries, uint64_t last_seq);

/** Whether any entry answered a heartbeat within the last @p within_us. */
gboolean agent_entries_any_echoed (const AgentEntries *entries, int64_t within_us, int64_t now_us);

/** Whether every entry that answered within the last @p within_us has received all messages. */
gboolean
agent_entries_all_received (const AgentEntries *entries, int64_t within_us, int64_t now_us);

G_END_DECLS
