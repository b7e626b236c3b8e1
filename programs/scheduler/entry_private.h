/**
 * @file entry_private.h
 * The state that the parts of an entry share. All of it belongs to the main loop.
 */
#pragma once

#include "batch/queues.h"
#include "entry.h"
#include "ledger/feed.h"
#include "ledger/ledger.h"
#include "ledger/outbox.h"
#include "net/net_server.h"

G_BEGIN_DECLS

typedef struct Owner Owner;
typedef struct Front Front;
typedef struct Relay Relay;

/** Without a good answer of the store for this long, nothing can be accepted or told for sure. */
#define ENTRY_STORE_AGE_MAX_MS 2500

struct Entry
{
  const NodeSettings *settings;
  Node *node;
  Store *store;
  Ledger *ledger;
  Feed *ledger_feed;
  Feed *config_feed;
  QueueConfig *config; /**< NULL before the first one was read */
  Outbox *outbox;
  Owner *owner;
  Front *front;
  Relay *relay;
  gboolean is_leaving;
  guint leave_timer;
  int64_t leave_us;
};

/** Whether all that was acknowledged up to @p age_ms ago is in the ledger here. */
gboolean entry_is_fresh (const Entry *entry, int64_t age_ms);

/* owner.c: whether this entry owns the jobs, and what it does while it does. */
Owner *owner_new (Entry *entry);
void owner_free (Owner *owner);
void owner_take_job (Owner *owner, const LedgerJob *job);
void owner_take_cancel (Owner *owner, const LedgerJob *job);
void owner_take_job_gone (Owner *owner, const char *id);
void owner_take_agent (Owner *owner, const LedgerAgent *agent);
void owner_take_agent_gone (Owner *owner, const char *name);
/** The ledger names an owner: this entry, another one, or none. */
void owner_take_claim (Owner *owner, const LedgerOwner *claim);
void owner_take_config (Owner *owner, const QueueConfig *config);
/** Gives the jobs up, so that another entry takes them at once. */
void owner_leave (Owner *owner);
/** Whether nothing of the owner's is under way any more. */
gboolean owner_is_idle (const Owner *owner);

/* relay.c: entries that help each other. */
/** Other entries whose addresses the owner tells. */
#define RELAY_DEPUTIES_MAX 3
/** What another entry knows of a job; @p is_told is FALSE if none said anything in time. */
typedef void (*RelayTold) (void *ctx, gboolean is_told, gboolean is_known, SchedJobState state);

Relay *relay_new (Entry *entry, GError **error);
void relay_free (Relay *relay);
/** The owner's newest record: who can be asked. */
void relay_take_owner (Relay *relay, const LedgerOwner *owner);
/** Whether another entry answered lately. */
gboolean relay_is_open (const Relay *relay);
/** An OutboxForward of a Relay. */
gboolean relay_pass_on (void *ctx, const char *key, GBytes *value);
/** Asks another entry for a job's state; FALSE if there is none, and @p done is not called. */
gboolean relay_ask (Relay *relay, const char *job, RelayTold done, void *ctx);
/** Up to #RELAY_DEPUTIES_MAX entries that greeted this one lately, owned by @p relay. */
uint32_t relay_deputies (const Relay *relay, const char **addresses);
/** Where this entry takes records of others. */
const char *relay_address (const Relay *relay);

/* front.c: callers' requests. */
Front *front_new (Entry *entry, GError **error);
void front_free (Front *front);
void front_quiesce (Front *front);
uint32_t front_open_requests (const Front *front);

G_END_DECLS
