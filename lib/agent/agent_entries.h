/**
 * @file agent_entries.h
 * What the agent knows of each entry: when it was last heard, and whether it has all answers.
 *
 * Messages to one entry arrive in order within a connection, so an entry that answers heartbeat n
 * has received every answer that was sent before it. Pure: time is passed in.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define AGENT_ENTRIES_MAX 1024

typedef struct AgentEntries AgentEntries;

AgentEntries *agent_entries_new (void);
void agent_entries_free (AgentEntries *entries);

/** Notes an answer of entry @p name to heartbeat @p seq. FALSE: the table is full. */
gboolean
agent_entries_note_echo (AgentEntries *entries, const char *name, uint64_t seq, int64_t now_us);

/** Notes that something was sent to entry @p name after heartbeat @p last_seq. */
void agent_entries_note_sent (AgentEntries *entries, const char *name, uint64_t last_seq);

/** Notes that something was sent to every known entry after heartbeat @p last_seq. */
void agent_entries_note_sent_all (AgentEntries *entries, uint64_t last_seq);

/** Whether some entry was heard within @p within_us. */
gboolean agent_entries_any_echoed (const AgentEntries *entries, int64_t within_us, int64_t now_us);

/** Whether every entry that is still heard has received all that was sent to it. */
gboolean
agent_entries_all_received (const AgentEntries *entries, int64_t within_us, int64_t now_us);

G_END_DECLS
