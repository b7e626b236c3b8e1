/**
 * @file fake_state.h
 * Helpers for tests that read and write the log: options, records and a receiver of pages.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "state/commit.h"
#include "state/fold.h"
#include "state/follow.h"
#include "state/wake.h"

G_BEGIN_DECLS

#define FAKE_STREAM "main"
#define FAKE_SNAPSHOTS "snapshots"

/** Returns options with two shards and windows of ten minutes. */
FoldOptions fake_fold_options (void);

PlatLogOptions fake_log_options (uint16_t port);
CommitOptions fake_commit_options (uint16_t port);
FollowOptions fake_follow_options (uint16_t port);

/** Fills @p record with an entry record of @p name; both must outlive its use. */
void fake_entry_record (Record__Record *record, Record__Entry *entry, const char *name);

/** Receives a follower's events and folds its pages. */
typedef struct
{
  Wake wake;
  Fold *fold; /**< NULL before the first snapshot */
  uint32_t snapshots;
  uint32_t older_snapshots; /**< snapshots older than the current state */
  uint32_t failures[64];    /**< number of failures by error kind */
} FakeReceiver;

void fake_receiver_init (FakeReceiver *receiver);
void fake_receiver_clear (FakeReceiver *receiver);
FollowEvents fake_receiver_events (FakeReceiver *receiver);

/** Waits up to @p wait_ms until the fold has reached @p offset. Returns whether it has. */
gboolean fake_receiver_wait (FakeReceiver *receiver, int64_t offset, int64_t wait_ms);

G_END_DECLS
