/**
 * @file members.h
 * Who is there: agents with their endpoints, and other entries, as they announce themselves.
 *
 * Pure: all times are microseconds of the caller's clock. An incarnation that another one replaced
 * never comes back, however late its messages arrive.
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

/** One service's endpoint beside one agent; owned by the agent's row. */
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
  gboolean is_listed;     /**< the newest announcement named it */
  uint32_t outstanding;   /**< requests that this entry has sent and not seen answered */
  uint32_t sent_since;    /**< requests sent since the newest load report */
  uint32_t failures;      /**< in a row */
  int64_t avoid_until_us; /**< failing: not chosen before this time */
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
  int64_t heard_us;
  int64_t sent_us; /**< of its newest heartbeat, on its own clock */
  char *data_centre;
  char *rack;
  LabSet *labels;
  DocSize capacity;
  GPtrArray *endpoints; /**< MembersEndpoint */
  GArray *epochs;       /**< MembersEpoch: newest that it accepted */
  uint64_t config_version;
  gboolean leaving;
  uint64_t retired[MEMBERS_RETIRED_MAX]; /**< incarnations that were replaced */
  uint32_t n_retired;
};

/** Another entry as its digests say. */
typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t seq;
  int64_t heard_us;
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
  MEMBERS_STALE,   /**< late, or of a replaced incarnation: ignored */
  MEMBERS_UPDATED, /**< a heartbeat of a known incarnation */
  MEMBERS_NEW,
  MEMBERS_REPLACED, /**< a new incarnation under a known name */
} MembersChange;

/** @p timeout_us: silence after which a member gets nothing new. */
Members *members_new (int64_t timeout_us);
void members_free (Members *members);

/** Takes in a heartbeat of an agent. */
MembersChange members_announce (Members *members, const Wire__Announce *announce, int64_t now_us);

/** Takes in a digest of another entry. */
MembersChange members_digest (Members *members, const Wire__Digest *digest, int64_t now_us);

/** An agent by name, or NULL; @p incarnation 0 takes any. */
MembersAgent *members_agent (const Members *members, const char *name, uint64_t incarnation);

/** Another entry by name, or NULL. */
const MembersEntry *members_entry (const Members *members, const char *name);

/** Endpoint of @p service beside @p agent, or NULL. */
MembersEndpoint *members_endpoint (const MembersAgent *agent, const char *service);

/** Whether @p heard_us is recent enough for new work. */
gboolean members_is_live (const Members *members, int64_t heard_us, int64_t now_us);

/** Newest epoch of @p shard that @p agent accepted; 0 for none. */
uint64_t members_epoch (const MembersAgent *agent, uint32_t shard);

/** Known agents (MembersAgent), owned by @p members. */
const GPtrArray *members_agents (const Members *members);
/** Endpoints (MembersEndpoint) of @p service, or NULL; valid until the next announcement. */
const GPtrArray *members_endpoints (const Members *members, const char *service);

/** Forgets members that were silent for @p forget_us. */
void members_forget (Members *members, int64_t forget_us, int64_t now_us);

G_END_DECLS
