/**
 * @file loop_private.h
 * State of the loop, shared only by the loop*.c files. Unless noted otherwise it is accessed by the
 * loop thread alone.
 */
#pragma once

#include <pthread.h>

#include "entry/budget.h"
#include "entry/calls.h"
#include "entry/config.h"
#include "entry/members.h"
#include "entry/once.h"
#include "entry/owner.h"
#include "entry/shard.h"
#include "loop.h"
#include "state/commit.h"
#include "state/fold.h"
#include "state/follow.h"
#include "wire/wire.h"

G_BEGIN_DECLS

/** Interval of the loop's timer. */
#define LOOP_TIMER_MS 5
/** Requests time out this long before the caller's deadline, so that the answer arrives in time. */
#define LOOP_MARGIN_US (2 * LOOP_TIMER_MS * CLK_US_PER_MS)

/** An operator's request that waits for the log or for another entry. */
typedef struct
{
  HttpRequest *request;
  IdsId id; /**< id of the record or the query */
  gboolean is_query;
  int64_t deadline_us;
  uint64_t version; /**< version of an accepted configuration; 0: none yet */
} LoopPending;

/** Result of an append, posted by the commit thread. */
typedef struct
{
  IdsId id;
  CommitResult result;
} LoopAppended;

struct Loop
{
  const EntrySettings *settings;
  uint64_t incarnation;
  MetRegistry *metrics;
  ViewBoard *board;
  Wire *wire;
  Commit *commit;
  Follow *follow;
  Fold *fold;
  GRand *rand;
  Config *config;
  Members *members;
  Calls *calls;
  Once *once;
  Owner *owner;
  Budget budget;
  Shard **shards;              /**< by number; NULL if this entry does not own the shard */
  CoreCounts *exported_counts; /**< by number; counts already added to the eviction metrics */
  GPtrArray *pending;          /**< LoopPending */
  GArray *dirty_jobs;          /**< uint64_t: jobs with records that were just folded */
  pthread_t snapshot;          /**< thread that writes a snapshot; valid while has_snapshot */
  gboolean has_snapshot;
  gint snapshot_done;
  gint stopping;      /**< set once; also read by the log threads */
  gint in_flight;     /**< requests that wait; read by loop_leave() */
  gboolean has_state; /**< the fold was read from the log */
  gboolean is_caught_up;
  gboolean is_leaving;
  gboolean is_entry_sent;
  IdsId entry_record;
  uint64_t digest_seq;
  int64_t started_us;
  int64_t tick_due_us;
  int64_t heartbeat_due_us;
  int64_t entry_due_us; /**< when this entry's Entry record is appended again */
  int64_t snapshot_due_us;
  MetHistogram *call_us;
  MetSeries *calls_gauge;
};

/** Appends a record and tracks its outcome. FALSE if it is certainly not on the log. */
gboolean loop_append (Loop *loop, const Record__Record *record, gboolean wait, IdsId *id);

/** Returns whether recent reads and appends show that the log is available. */
gboolean loop_log_is_up (const Loop *loop);

FoldOptions loop_fold_options (const EntrySettings *settings);

/** Registers the loop's observer of folded records. */
void loop_observe (Loop *loop);

/**
 * Posts to the loop from another thread and waits while its queue is full. FALSE if the loop is
 * stopping.
 */
gboolean loop_post_blocking (Loop *loop, void (*function) (void *ctx, void *data), void *data);

/** Adds the evictions of shard @p number since the last call to the metrics. */
void loop_count_evictions (Loop *loop, uint32_t number);

/** Writes a snapshot when one is due and this entry owns shard 0. */
void loop_snapshot_tick (Loop *loop, int64_t now_us);
void loop_join_snapshot (Loop *loop);

Commit *loop_open_commit (const Loop *loop);
Follow *loop_open_follow (Loop *loop);

/** Adopts a configuration from the log or another process if it is newer and valid. */
void loop_accept_config (
    Loop *loop, uint64_t version, const char *author, int64_t wall_ms, GBytes *text);

/** Adopts @p next if it is newer than the current configuration. Takes over the reference. */
void loop_adopt (Loop *loop, Config *next);

/* loop_calls.c */
void loop_call (Loop *loop, HttpRequest *request);
void loop_response (Loop *loop, const char *agent, const Wire__Response *response);
void loop_calls_due (Loop *loop, int64_t now_us);
void loop_calls_check_agents (Loop *loop, int64_t now_us);

/* loop_once.c */
Once *loop_once_new (Loop *loop);
void loop_once_call (Loop *loop, HttpRequest *request, int64_t deadline_us);
void loop_answer_body (Loop *loop,
                       HttpRequest *request,
                       uint32_t status,
                       const char *content_type,
                       GBytes *body,
                       uint64_t digest,
                       uint32_t attempts,
                       IdsId id);

/* loop_tasks.c */
Owner *loop_owner_new (Loop *loop);
void loop_announce (Loop *loop, const char *peer, const Wire__Announce *announce);
void loop_event (Loop *loop, const char *peer, const Wire__TaskStatus *status);
void loop_digest (Loop *loop, const char *peer, const Wire__Digest *digest);
void loop_send_digests (Loop *loop, int64_t now_us);
void loop_consent_request (Loop *loop, const char *peer, const Wire__ConsentRequest *request);
void loop_offer_config (Loop *loop, const char *peer);

/* loop_operators.c */
void loop_operator (Loop *loop, HttpRequest *request);
void loop_query (Loop *loop, const char *peer, const Wire__Query *query);
void loop_query_reply (Loop *loop, const Wire__QueryReply *reply);
void loop_pending_folded (Loop *loop);
void loop_pending_not_appended (Loop *loop, IdsId id);
void loop_pending_due (Loop *loop, int64_t now_us);
void loop_pending_version (Loop *loop, IdsId id, uint64_t version);

G_END_DECLS
