/**
 * @file members.h
 * Membership: agents with their endpoints, and other entries, from their heartbeats and digests.
 *
 * The module does no I/O and reads no clock: all times are in microseconds of the caller's clock.
 * Late messages of an incarnation that was replaced are ignored.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/doc.h"
#include "common/lab.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

#define MEMBERS_RETIRED_MAX 16

typedef struct Members Members;
typedef struct MembersAgent MembersAgent;

/** Endpoint of one service at one agent; owned by the agent's row. */
typedef struct
{
  MembersAgent *agent;
  char *service;
  uint32_t slots;
  uint32_t connections;
  uint32_t running;
  uint32_t queued;
  int64_t p50_us;
  int64_t p99_us;
  int64_t measured_us;
  gboolean healthy;
  gboolean is_listed;         /**< listed in the agent's newest heartbeat */
  uint32_t outstanding;       /**< requests of this entry that are not answered yet */
  uint32_t sent_since_report; /**< requests of this entry since the newest load report */
  uint32_t failures;          /**< consecutive failures */
  int64_t avoid_until_us;     /**< not chosen before this time, after repeated failures */
} MembersEndpoint;

typedef struct
{
  uint32_t shard;
  uint64_t epoch;
} MembersEpoch;

struct MembersAgent
{
  char *name;
  uint64_t incarnation;
  uint64_t seq;
  int64_t last_received_us;
  int64_t sent_us; /**< send time of its newest heartbeat, on its own clock */
  char *data_centre;
  char *rack;
  LabSet *labels;
  DocSize capacity;
  GPtrArray *endpoints; /**< MembersEndpoint */
  GArray *epochs;       /**< MembersEpoch: newest accepted epochs */
  uint64_t config_version;
  gboolean leaving;
  uint64_t retired[MEMBERS_RETIRED_MAX]; /**< replaced incarnations (ring buffer) */
  uint32_t n_retired;
};

/** Another entry as described by its digests. */
typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t seq;
  int64_t last_received_us;
  char *data_centre;
  uint64_t config_version;
  int64_t log_offset;
  int64_t log_age_ms;
  gboolean leaving;
  uint64_t retired[MEMBERS_RETIRED_MAX];
  uint32_t n_retired;
} MembersEntry;

typedef enum
{
  MEMBERS_STALE,   /**< out of order, or of a replaced incarnation: ignored */
  MEMBERS_UPDATED, /**< from a known incarnation */
  MEMBERS_NEW,
  MEMBERS_REPLACED, /**< a new incarnation under a known name */
} MembersChange;

/** @p timeout_us: time without a heartbeat after which a member gets no new work. */
Members *members_new (int64_t timeout_us);
void members_free (Members *members);

/** Handles a heartbeat of an agent. */
MembersChange members_announce (Members *members, const Wire__Announce *announce, int64_t now_us);

/** Handles a digest of another entry. */
MembersChange members_digest (Members *members, const Wire__Digest *digest, int64_t now_us);

/** Finds an agent by name, or NULL; @p incarnation 0 matches any. */
MembersAgent *members_agent (const Members *members, const char *name, uint64_t incarnation);

/** Finds another entry by name, or NULL. */
const MembersEntry *members_entry (const Members *members, const char *name);

/** Endpoint of @p service at @p agent, or NULL. */
MembersEndpoint *members_endpoint (const MembersAgent *agent, const char *service);

/** Whether a heartbeat received at @p heard_us is recent enough for new work. */
gboolean members_is_live (const Members *members, int64_t heard_us, int64_t now_us);

/** Newest epoch of @p shard that @p agent accepted; 0 for none. */
uint64_t members_epoch (const MembersAgent *agent, uint32_t shard);

/** Known agents (MembersAgent), owned by @p members. */
const GPtrArray *members_agents (const Members *members);
/** Endpoints (MembersEndpoint) of @p service, or NULL; valid until the next heartbeat. */
const GPtrArray *members_endpoints (const Members *members, const char *service);

/** Removes members without a heartbeat for @p forget_us. */
void members_expire (Members *members, int64_t forget_us, int64_t now_us);

G_END_DECLS
