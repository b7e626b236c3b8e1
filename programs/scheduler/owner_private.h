/**
 * @file owner_private.h
 * State shared by the modules of an owner.
 */
#pragma once

#include "entry_private.h"
#include "ledger/appender.h"
#include "ledger/claim.h"
#include "ledger/handover.h"

G_BEGIN_DECLS

/** An owner may act for this long after it first sent its newest acknowledged append. */
#define OWNER_AUTHORITY_MS 3000
/** Interval of the owner's heartbeat records in the ledger. */
#define OWNER_RENEW_MS 500
/** Producer name of the owner's appends; the store refuses those of an earlier owner's epoch. */
#define OWNER_PRODUCER "owner"

typedef struct Peers Peers;

typedef enum
{
  OWNER_NONE,
  OWNER_CLAIMING, /**< the claim was sent and may be in the ledger */
  OWNER_WAITING,  /**< its term began, and the owner before may still act */
  OWNER_ACTIVE,
} OwnerPhase;

struct Owner
{
  Entry *entry;
  OwnerPhase phase;
  Claim claim;               /**< the newest one */
  int64_t claim_sent_us;     /**< when it was last sent */
  uint32_t claim_pace_slot;  /**< of its transmission under way */
  int64_t claim_pause_ms;    /**< before it is sent again */
  int64_t claim_refused_us;  /**< when one was last refused since others had appended */
  GByteArray *claim_records; /**< records of the newest claim; NULL once its term began */
  uint64_t term;
  int64_t claim_offset;   /**< offset of the term's claim */
  int64_t taken_over_end; /**< end of the records that were read when the owner began to act */
  int64_t act_us;         /**< from when the owner acts */
  uint64_t level_since;   /**< first term since which all owners were of this build's level */
  int64_t epoch;
  Appender appender;
  uint32_t pace_slot;    /**< of the transmission under way */
  int64_t owner_seen_us; /**< when the newest owner record was read */
  Handover handover;
  uint64_t resigned_term; /**< term whose owner told this entry that it has ended; 0: none did */
  uint64_t resigned_boot; /**< process of that owner */
  int64_t resigned_us;    /**< when it told so */
  gboolean is_leaving;
  Sched *sched; /**< NULL unless active */
  Peers *peers;
  SchedFlush *flush;      /**< changes in the open append; NULL for none */
  gboolean is_claim_open; /**< a transmission of a claim has not been answered */
  gboolean is_calling;    /**< a transmission of an append has not been answered */
  gboolean is_release;    /**< the open append releases ownership */
  int64_t renew_us;       /**< when the next heartbeat record is due */
  int64_t learned_us;     /**< when learned state was last written, or the term began */
  guint check_timer;
  guint tick_timer;
  guint tick_soon_timer;
  guint flush_timer;
  MetSeries *terms;
  MetSeries *open_jobs;
  MetSeries *handovers;
  MetSeries *crashed_runs;
  MetSeries *given_up;
  MetHistogram *append_time;
};

/* owner.c */
/* Runs a scheduling pass and sends the orders, provided that no other entry can be the owner. */
void owner_decide (Owner *owner);
/* Whether its term has begun and not ended, whether or not it acts yet. */
gboolean owner_has_term (const Owner *owner);
/* Begins to act in its term, if it waits and nothing forces it to wait any longer. */
void owner_act_if_due (Owner *owner);
/* Ends the term and frees its state. */
void owner_resign (Owner *owner, const char *reason);

/* Handles a report of the agent named @p agent. */
void owner_handle_report (Owner *owner, const char *agent, const uint8_t *data, size_t size);

/* owner_shares.c: metrics of jobs and of shares. */
/* Counts the first start of a job; @p ctx is the Owner. */
void owner_count_start (void *ctx, const SchedFirstStart *start);
/* Counts the result of an occurrence; @p ctx is the Owner. */
void owner_count_result (void *ctx, const SchedResult *result);
/* Shows which origins exceed their shares; the other one shows that none does. */
void owner_show_shares (const Owner *owner);
void owner_clear_shares (const Owner *owner);

/* owner_peers.c: connections to agents. */
Peers *peers_new (Owner *owner);
void peers_free (Peers *peers);
/* Drops all connections. */
void peers_clear (Peers *peers);
uint32_t peers_count (const Peers *peers);
/* Connects to an agent; reconnects if its address changed. */
void peers_add (Peers *peers, const char *name, const char *address);
void peers_remove (Peers *peers, const char *name);
/* Sends pending orders and heartbeats, and reconnects agents that went silent. */
void peers_send_orders (Peers *peers);

/* owner_write.c: the owner's records. */
/* Adds the record that names the owner, without its name while it may have to wait: its process is
 * not the only one that can act then, so its end does not make the term vacant. @p boot is 0 to
 * release ownership. */
void owner_add_record (const Owner *owner, GByteArray *records, uint64_t boot);
/* Appends changes, or a heartbeat when one is due. Only one append is under way at a time. */
void owner_write_changes (Owner *owner);
void owner_flush_soon (Owner *owner);

/* owner_claim.c: when an entry claims ownership. */
/* Checks periodically whether a claim or an append is due; a GSourceFunc of an Owner. */
gboolean owner_check (gpointer data);

G_END_DECLS
