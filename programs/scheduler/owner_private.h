/**
 * @file owner_private.h
 * The state that the parts of an owner share.
 */
#pragma once

#include "entry_private.h"
#include "net/net_link.h"

G_BEGIN_DECLS

/** The owner's sign of life in the ledger. */
#define OWNER_RENEW_MS 500
/** The store answers in a few ms, slow in some hundreds. */
#define OWNER_TIMEOUT_MS 900
/** Producer of the owner's appends: the store refuses those of an earlier owner. */
#define OWNER_PRODUCER "owner"

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
  NetLinks *links;
  GHashTable *peers;   /**< agent name -> Peer */
  SchedFlush *flush;   /**< in the append under way; NULL for none */
  GByteArray *records; /**< of the append under way or in doubt; NULL for none */
  gboolean is_appending;
  gboolean is_in_doubt;   /**< it is repeated as it was */
  gboolean is_release;    /**< it gives the jobs up */
  gboolean has_forgotten; /**< it drops an agent's record */
  int64_t append_us;      /**< when it was sent */
  int64_t renew_us;       /**< when the next sign of life is due */
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
