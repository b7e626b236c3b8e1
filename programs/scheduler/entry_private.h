/**
 * @file entry_private.h
 * State shared by the modules of an entry. All of it is used on the main loop only.
 */
#pragma once

#include "batch/evacuations.h"
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
typedef struct Where Where;

/** Largest body of a submission, also in a placement query. */
#define ENTRY_BODY_BYTES_MAX (256 * 1024)
/** Jobs are accepted and states reported only if the store's newest good answer is no older. */
#define ENTRY_STORE_AGE_MAX_MS 2500

struct Entry
{
  const NodeSettings *settings;
  Node *node;
  Store *store;
  StorePace pace; /**< of the appends of this entry */
  Ledger *ledger;
  Feed *ledger_feed;
  Feed *config_feed;
  QueueConfig *config; /**< NULL until the first configuration was read */
  Evacuations *evacuations;
  Outbox *outbox;
  Owner *owner;
  Front *front;
  Relay *relay;
  Where *where;
  gboolean is_leaving;
  guint leave_timer;
  int64_t leave_us;
};

/** Whether this entry's ledger holds every record acknowledged up to @p age_ms ago. */
gboolean entry_is_fresh (const Entry *entry, int64_t age_ms);

/* owner.c: scheduling while this entry is the owner. */
Owner *owner_new (Entry *entry);
void owner_free (Owner *owner);
void owner_add_job (Owner *owner, const LedgerJob *job);
void owner_cancel_job (Owner *owner, const LedgerJob *job);
void owner_remove_job (Owner *owner, const char *id);
void owner_add_agent (Owner *owner, const LedgerAgent *agent);
void owner_remove_agent (Owner *owner, const char *name);
/** Handles a ledger record that names the owner: this entry, another one, or none. */
void owner_handle_claim (Owner *owner, const LedgerOwner *claim);
void owner_set_config (Owner *owner, const QueueConfig *config);
/** Handles a change of entry->evacuations. */
void owner_evacuations_changed (Owner *owner);
/** Releases ownership, so that another entry can claim it at once. */
void owner_leave (Owner *owner);
/** Handles the statement of the owner of @p term, the process @p boot, that it has ended its term:
 * this entry can claim at once. */
void owner_handle_resigned (Owner *owner, uint64_t term, uint64_t boot);
/** The scheduler while this entry is certainly the owner, else NULL. */
Sched *owner_sched (Owner *owner);
/** Whether this entry is neither the owner nor claiming ownership. */
gboolean owner_is_idle (const Owner *owner);

/* relay.c: requests between entries. */
/** Most entries, besides itself, whose addresses the owner publishes. */
#define RELAY_DEPUTIES_MAX 3
/** Receives a job's state from another entry; @p is_answered is FALSE if no answer came in time. */
typedef void (*RelayJobState) (void *ctx,
                               gboolean is_answered,
                               gboolean is_known,
                               SchedJobState state);

Relay *relay_new (Entry *entry, GError **error);
void relay_free (Relay *relay);
/** Updates the entries that can be asked from the owner's newest record. */
void relay_update_owner (Relay *relay, const LedgerOwner *owner);
/** Whether an entry that reaches the store answered recently. */
gboolean relay_can_ask (const Relay *relay);
/** An OutboxForward; @p ctx is a Relay. */
gboolean relay_forward_record (void *ctx, const char *key, GBytes *value);
/** An OutboxOwnerPace; 0 if the owner did not answer recently. @p ctx is a Relay. */
int64_t relay_owner_append_ms (void *ctx);
/** Asks other entries for the age of their views, unless it was asked lately. */
void relay_ask_views (Relay *relay);
/** Newest time up to which another entry has certainly read all records; 0: none is known. */
int64_t relay_peer_view_us (const Relay *relay);
/** Tells other entries that this process has ended its term as the owner. */
void relay_tell_resigned (Relay *relay, uint64_t term);
/** Asks another entry for a job's state. FALSE if none can be asked; @p done is not called then. */
gboolean relay_query_job (Relay *relay, const char *job, RelayJobState done, void *ctx);
/** Up to #RELAY_DEPUTIES_MAX entries that sent a hello recently; owned by @p relay. */
uint32_t relay_deputies (const Relay *relay, const char **addresses);
/** Address at which this entry receives requests of other entries. */
const char *relay_address (const Relay *relay);

/* front.c: HTTP requests of callers. */
Front *front_new (Entry *entry, GError **error);
void front_free (Front *front);
void front_quiesce (Front *front);
uint32_t front_open_requests (const Front *front);

/* where.c: placement queries of operators. */
#define WHERE_PATH "/where"
Where *where_new (Entry *entry);
/** NULL is allowed. A query that is under way gets no answer from here. */
void where_free (Where *where);
/** A NetHandler of a Where; answers at once or soon. */
void where_handle (void *ctx, NetRequest *request);

G_END_DECLS
