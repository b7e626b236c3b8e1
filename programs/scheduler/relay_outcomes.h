/**
 * @file relay_outcomes.h
 * Outcomes of records that other entries asked this one to write.
 *
 * The queue of a link takes few messages (#NET_LINK_QUEUE_MAX), and one append can decide on many
 * records of one entry. Outcomes that it has no room for are kept and sent again.
 */
#pragma once

#include "ledger/outbox.h"
#include "net/net_link.h"

G_BEGIN_DECLS

/** Time to write a record that another entry forwarded. After it, the sender gets no outcome.
 * Longer than callers usually wait (3 s): a record can spend 2 s in the queue of a slow store. */
#define RELAY_WRITE_TIMEOUT_MS 3500

typedef struct RelayOutcomes RelayOutcomes;

/** @p server and @p pace must outlive it. */
RelayOutcomes *relay_outcomes_new (NetLink *server, const StorePace *pace);
/** NULL is allowed. */
void relay_outcomes_free (RelayOutcomes *outcomes);

/** Sends the outcome of the record @p key to @p peer, now or as soon as the link's queue has room,
 * together with the time that appends take here. */
void relay_outcomes_send (
    RelayOutcomes *outcomes, GBytes *peer, const char *key, OutboxResult result, int64_t offset);

G_END_DECLS
