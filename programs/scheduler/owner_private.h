/**
 * @file owner_private.h
 * The state that the parts of an owner share.
 */
#pragma once

#include "entry_private.h"

G_BEGIN_DECLS

/** The owner's sign of life in the ledger. */
#define OWNER_RENEW_MS 500
/** The store answers in a few ms, slow in some hundreds. */
#define OWNER_TIMEOUT_MS 900
/** Producer of the owner's appends: the store refuses those of an earlier owner. */
#define OWNER_PRODUCER "owner"

typedef struct Peers Peers;

typedef enum
{
  OWNER_NONE,
  OWNER_CLAIMING, /**< the claim was sent, and may be in the ledger */
  OWNER_ACTIVE,
} OwnerPhase;

struct Owner
{
  Entry *entry;
  OwnerPhase phase;
  int64_t claim_us; /**< when the claim was sent */
  uint64_t term;
  int64_t epoch;
  int64_t sequence;      /**< of the next append */
  int64_t authority_us;  /**< sending time of the newest acknowledged append */
  int64_t owner_seen_us; /**< when the newest record of an owner was read */
  gboolean is_leaving;
  Sched *sched; /**< NULL unless active */
  Peers *peers;
  SchedFlush *flush;   /**< in the append under way; NULL for none */
  GByteArray *records; /**< of the append under way or in doubt; NULL for none */
  gboolean is_appending;
  gboolean is_in_doubt;   /**< it is repeated as it was */
  gboolean is_release;    /**< it gives the jobs up */
  gboolean has_forgotten; /**< it drops an agent's record */
  int64_t append_us;      /**< when it was sent */
  int64_t append_next_us; /**< none before, since the last one failed */
  int64_t append_wait_ms; /**< length of that pause; 0: it did not fail */
  int64_t renew_us;       /**< when the next sign of life is due */
  int64_t learned_us;     /**< when what was learned was last written, or the term began */
  guint check_timer;
  guint tick_timer;
  guint soon_timer;
  guint flush_timer;
  MetSeries *terms;
  MetSeries *open_jobs;
  MetHistogram *append_time;
};

/* owner.c */
/* Decides, and tells agents, while no other entry can be the owner. */
void owner_decide (Owner *owner);
/* Gives up everything that belongs to the term. */
void owner_resign (Owner *owner, const char *reason);

/* A report of the agent called @p agent. */
void owner_take_report (Owner *owner, const char *agent, const uint8_t *data, size_t size);

/* owner_peers.c: connections to agents. */
Peers *peers_new (Owner *owner);
void peers_free (Peers *peers);
/* Drops all connections. */
void peers_clear (Peers *peers);
uint32_t peers_count (const Peers *peers);
/* Connects to an agent, or to its new address. */
void peers_add (Peers *peers, const char *name, const char *address);
void peers_remove (Peers *peers, const char *name);
/* Sends what there is to say, and makes silent connections anew. */
void peers_say_orders (Peers *peers);

/* owner_write.c: the owner's records. */
/* Adds the record that names the owner; @p boot is 0 in a release. */
void owner_add_record (const Owner *owner, GByteArray *records, uint64_t boot);
/* Writes what changed, or a sign of life when one is due; one append at a time. */
void owner_write_changes (Owner *owner);
void owner_flush_soon (Owner *owner);

/* owner_claim.c: when an entry claims the jobs. */
/* Looks at claims and writes every few ms; a GSourceFunc of an Owner. */
gboolean owner_check (gpointer data);

G_END_DECLS
