/* Connections of an owner to the agents. Messages of one connection arrive in order; while a
 * direction is cut, they wait. */
#include "support/emulator_private.h"

typedef struct
{
  EmuEntry *entry;
  EmuAgent *agent;
  uint64_t connection;
  EmuPath *path;
  EmuFn deliver;
  EmuProcess *receiver;
  GBytes *bytes;
} Message;

static void
message_free (gpointer data)
{
  Message *message = data;

  g_bytes_unref (message->bytes);
  g_free (message);
}

static EmuLink *
link_of (const Message *message)
{
  return &message->entry->links[message->agent->index];
}

static void
send_message (Emulator *emu, const Message *values, int64_t delay_us)
{
  Message *message = g_memdup2 (values, sizeof *values);

  g_bytes_ref (message->bytes);
  emu_after (emu, delay_us, message->receiver->is_up ? message->receiver : NULL, message->deliver,
             NULL, message, message_free);
}

/* Whether a message has to wait for the end of a cut; sends it again if so. */
static gboolean
is_held (const Message *message)
{
  Emulator *emu = message->entry->emu;
  int64_t cut_us = message->path->cut_until_us - emu->now_us;

  if (cut_us <= 0)
    return FALSE;
  send_message (emu, message, cut_us);
  return TRUE;
}

static void
on_agent_receives (gpointer ctx, gpointer data)
{
  Message *message = data;

  (void) ctx;
  /* Of a connection that was dropped, some messages still arrive. */
  if (is_held (message) || !message->agent->process.is_up
      || (link_of (message)->connection != message->connection
          && emu_chance (message->entry->emu, 50)))
    return;
  emu_agent_receive (message->agent, message->entry->index, message->connection, message->bytes);
}

static void
on_owner_receives (gpointer ctx, gpointer data)
{
  Message *message = data;
  EmuLink *link = link_of (message);

  (void) ctx;
  if (is_held (message) || !message->entry->process.is_up
      || link->connection != message->connection)
    return;
  link->received_us = message->entry->emu->now_us;
  emu_owner_report (message->entry, message->agent->index, message->bytes);
}

static void
queue_message (Emulator *emu, Message *message)
{
  int64_t start_us = MAX (emu->now_us, message->path->cut_until_us);
  int64_t arrival_us = MAX (start_us + emu_between (emu, 200, 4000), message->path->next_us + 1);

  message->path->next_us = arrival_us;
  send_message (emu, message, arrival_us - emu->now_us);
}

void
emu_link_connect (EmuEntry *entry, uint32_t agent)
{
  EmuLink *link = &entry->links[agent];

  link->connection = emu_serial (entry->emu);
  link->received_us = entry->emu->now_us;
  link->to_agent.next_us = link->to_owner.next_us = 0;
}

void
emu_link_disconnect (EmuEntry *entry, uint32_t agent)
{
  entry->links[agent].connection = 0;
  entry->links[agent].sent_us = 0;
}

void
emu_link_to_agent (EmuEntry *entry, uint32_t agent, GBytes *bytes)
{
  EmuLink *link = &entry->links[agent];
  Message message = { entry,
                      &entry->emu->agents[agent],
                      link->connection,
                      &link->to_agent,
                      on_agent_receives,
                      &entry->emu->agents[agent].process,
                      bytes };

  queue_message (entry->emu, &message);
}

void
emu_link_to_owner (EmuAgent *agent, GBytes *bytes)
{
  EmuEntry *entry = &agent->emu->entries[agent->owner];
  Message message = { entry,
                      agent,
                      agent->connection,
                      &entry->links[agent->index].to_owner,
                      on_owner_receives,
                      &entry->process,
                      bytes };

  if (entry->process.is_up)
    queue_message (agent->emu, &message);
}
