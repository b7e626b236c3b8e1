#include <string.h>

#include "common/clk.h"
#include "common/jnl.h"
#include "loop_private.h"

/** Time without a digest after which an owner counts as failed, in tenths of a heartbeat. */
#define OWNER_TIMEOUT_HEARTBEAT_TENTHS 25
/** Limit on acknowledgements in the answer to one heartbeat. */
#define ACKS_MAX 1024

static gboolean
send_command (void *ctx, const char *agent, const Wire__TaskCommand *command)
{
  Loop *loop = ctx;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

  envelope.body_case = WIRE__ENVELOPE__BODY_COMMAND;
  envelope.command = (Wire__TaskCommand *) command;
  return wire_send (loop->wire, agent, &envelope);
}

static gboolean
append_batch (void *ctx, const Record__Record *record, IdsId *id)
{
  return loop_append (ctx, record, TRUE, id);
}

static void
count_decision (void *ctx, const CoreCommand *command)
{
  Loop *loop = ctx;
  g_autofree char *labels
      = g_strdup_printf ("command=\"%s\",reason=\"%s\"", core_command_name (command->type),
                         core_reason_name (command->why));

  met_add (met_counter (loop->metrics, "acacia_entry_commands_total", labels,
                        "Decisions on tasks, by command and reason."),
           1);
  jnl_event (JNL_DEBUG, "tasks", core_command_name (command->type),
             "job=%016" G_GINT64_MODIFIER "x index=%u attempt=%u worker=%s reason=%s",
             command->task.job, command->task.index, command->attempt, command->worker,
             core_reason_name (command->why));
}

static void
add_evictions (Loop *loop, const char *labels, uint64_t n)
{
  met_add (met_counter (loop->metrics, "acacia_entry_evictions_total", labels,
                        "Attempts that ended before their task did, by cause."),
           n);
}

void
loop_count_evictions (Loop *loop, uint32_t number)
{
  CoreCounts *exported_counts = &loop->exported_counts[number];
  CoreCounts now;

  core_counts (shard_core (loop->shards[number]), &now);
  add_evictions (loop, "cause=\"ordered\"", now.evictions - exported_counts->evictions);
  add_evictions (loop, "cause=\"lapsed\"", now.interruptions - exported_counts->interruptions);
  *exported_counts = now;
}

static gboolean
append_claim (void *ctx, uint32_t shard, uint64_t epoch, IdsId *id)
{
  Loop *loop = ctx;
  Record__Record record = RECORD__RECORD__INIT;
  Record__Claim claim = RECORD__CLAIM__INIT;

  claim.shard = shard;
  claim.epoch = epoch;
  claim.entry = loop->settings->name;
  claim.incarnation = loop->incarnation;
  record.body_case = RECORD__RECORD__BODY_CLAIM;
  record.claim = &claim;
  jnl_event (JNL_INFO, "owner", "claim", "shard=%u epoch=%" G_GUINT64_FORMAT, shard, epoch);
  return loop_append (loop, &record, FALSE, id);
}

static void
ask_consent (void *ctx, const char *entry, uint32_t shard, uint64_t epoch, int64_t sent_us)
{
  Loop *loop = ctx;
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__ConsentRequest request = WIRE__CONSENT_REQUEST__INIT;

  request.entry = loop->settings->name;
  request.incarnation = loop->incarnation;
  request.shard = shard;
  request.epoch = epoch;
  request.sent_us = sent_us;
  envelope.body_case = WIRE__ENVELOPE__BODY_CONSENT_REQUEST;
  envelope.consent_request = &request;
  (void) wire_send (loop->wire, entry, &envelope);
}

static void
on_shard_gained (void *ctx, uint32_t number, uint64_t epoch, gboolean is_first)
{
  Loop *loop = ctx;
  const EntrySettings *settings = loop->settings;
  int64_t now_us = clk_now_us ();
  ShardOptions options = { 0 };
  ShardOps ops = { send_command, append_batch, count_decision, loop };

  options.shard = number;
  options.shards = (uint32_t) settings->shards;
  options.epoch = epoch;
  options.entry_incarnation = loop->incarnation;
  options.is_reconciled = is_first;
  options.lease_us = settings->lease_ms * CLK_US_PER_MS;
  options.drift_us = settings->drift_ms * CLK_US_PER_MS;
  options.wall_offset_ms = clk_wall_ms () - now_us / CLK_US_PER_MS;
  options.core
      = (CoreOptions){ .seed = 1, .policy = CORE_POLICY_ACACIA, .mechanisms = CORE_MECHANISM_ALL };
  jnl_event (JNL_INFO, "owner", "gained", "shard=%u epoch=%" G_GUINT64_FORMAT, number, epoch);
  shard_free (loop->shards[number]);
  loop->exported_counts[number] = (CoreCounts){ 0 };
  loop->shards[number] = shard_new (&options, &ops, loop->fold, loop->config->document, now_us);
}

static void
on_shard_reconciled (void *ctx, uint32_t number)
{
  Loop *loop = ctx;

  jnl_event (JNL_INFO, "owner", "settled", "shard=%u", number);
  if (loop->shards[number] != NULL)
    shard_reconciled (loop->shards[number]);
}

static void
on_shard_lost (void *ctx, uint32_t number)
{
  Loop *loop = ctx;

  jnl_event (JNL_WARN, "owner", "deposed", "shard=%u", number);
  g_clear_pointer (&loop->shards[number], shard_free);
}

Owner *
loop_owner_new (Loop *loop)
{
  const EntrySettings *settings = loop->settings;
  OwnerOptions options = { 0 };
  OwnerEvents events
      = { append_claim, ask_consent, on_shard_gained, on_shard_reconciled, on_shard_lost, loop };

  options.name = settings->name;
  options.incarnation = loop->incarnation;
  options.shards = (uint32_t) settings->shards;
  options.lease_us = settings->lease_ms * CLK_US_PER_MS;
  options.fresh_us = settings->fresh_ms * CLK_US_PER_MS;
  options.drift_us = settings->drift_ms * CLK_US_PER_MS;
  options.outage_us = settings->outage_ms * CLK_US_PER_MS;
  options.owner_timeout_us
      = settings->heartbeat_ms * CLK_US_PER_MS * OWNER_TIMEOUT_HEARTBEAT_TENTHS / 10;
  options.stagger_us = settings->heartbeat_ms * CLK_US_PER_MS;
  options.consent_interval_us = settings->heartbeat_ms * CLK_US_PER_MS;
  return owner_new (&options, &events);
}

void
loop_offer_config (Loop *loop, const char *peer)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__ConfigOffer offer = WIRE__CONFIG_OFFER__INIT;
  gsize size = 0;
  const void *data = g_bytes_get_data (loop->config->text, &size);

  offer.version = loop->config->version;
  offer.author = loop->config->author;
  offer.wall_ms = loop->config->wall_ms;
  offer.text = (ProtobufCBinaryData){ size, (uint8_t *) data };
  envelope.body_case = WIRE__ENVELOPE__BODY_CONFIG;
  envelope.config = &offer;
  (void) wire_send (loop->wire, peer, &envelope);
}

/* Acknowledges outcomes that the heartbeat repeats and that are already on the log. */
static size_t
fill_acks (const Shard *shard, const Wire__Announce *announce, Wire__TaskAck *acks)
{
  size_t count = 0;

  for (size_t i = 0; i < announce->n_tasks && count < ACKS_MAX; i++)
    {
      const Wire__TaskStatus *status = announce->tasks[i];
      if (!reports_may_ack (shard_reports (shard), status))
        continue;
      wire__task_ack__init (&acks[count]);
      acks[count].job = status->job;
      acks[count].index = status->index;
      acks[count].attempt = status->attempt;
      count++;
    }
  return count;
}

static void
send_lease (Loop *loop,
            const char *agent,
            const Wire__Announce *announce,
            uint32_t number,
            int64_t lease_ms)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Lease lease = WIRE__LEASE__INIT;
  const Shard *shard = loop->shards[number];
  Wire__TaskAck acks[ACKS_MAX];
  Wire__TaskAck *pointers[ACKS_MAX];

  lease.entry = loop->settings->name;
  lease.entry_incarnation = loop->incarnation;
  lease.seq = announce->seq;
  lease.sent_us = announce->sent_us;
  lease.config_version = loop->config->version;
  lease.shard = number;
  if (shard != NULL)
    {
      lease.epoch = shard_epoch (shard);
      lease.lease_ms = lease_ms;
      lease.n_acks = fill_acks (shard, announce, acks);
      for (size_t i = 0; i < lease.n_acks; i++)
        pointers[i] = &acks[i];
      lease.acks = pointers;
    }
  envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
  envelope.lease = &lease;
  (void) wire_send (loop->wire, agent, &envelope);
}

/* Renews the leases of the shards that this entry owns. Without a shard, the answer grants none. */
static void
answer_announce (Loop *loop, const MembersAgent *agent, const Wire__Announce *announce)
{
  int64_t now_us = clk_now_us ();
  gboolean is_answered = FALSE;

  for (uint32_t i = 0; i < (uint32_t) loop->settings->shards; i++)
    {
      Shard *shard = loop->shards[i];
      if (shard == NULL)
        continue;
      gboolean granted
          = owner_may_renew (loop->owner, loop->fold, i, now_us) && shard_may_grant (shard, agent);
      shard_announce (shard, loop->fold, agent, announce, granted, now_us);
      send_lease (loop, agent->name, announce, i, granted ? loop->settings->lease_ms : 0);
      is_answered = TRUE;
    }
  if (!is_answered)
    send_lease (loop, agent->name, announce, 0, 0);
}

void
loop_announce (Loop *loop, const char *peer, const Wire__Announce *announce)
{
  if (strcmp (announce->agent, peer) != 0)
    return;
  MembersChange change = members_announce (loop->members, announce, clk_now_us ());
  if (change == MEMBERS_STALE)
    return;
  if (change != MEMBERS_UPDATED)
    jnl_event (JNL_INFO, "members", change == MEMBERS_NEW ? "agent_new" : "agent_replaced",
               "agent=%s incarnation=%016" G_GINT64_MODIFIER "x", peer, announce->incarnation);
  const MembersAgent *agent = members_agent (loop->members, announce->agent, 0);
  answer_announce (loop, agent, announce);
  if (announce->config_version < loop->config->version)
    loop_offer_config (loop, peer);
}

void
loop_event (Loop *loop, const char *peer, const Wire__TaskStatus *status)
{
  const MembersAgent *agent = members_agent (loop->members, peer, 0);

  if (agent == NULL || status->shard >= (uint32_t) loop->settings->shards
      || loop->shards[status->shard] == NULL)
    return;
  shard_event (loop->shards[status->shard], loop->fold, agent, status, clk_now_us ());
}

void
loop_digest (Loop *loop, const char *peer, const Wire__Digest *digest)
{
  if (strcmp (digest->entry, peer) != 0)
    return;
  if (members_digest (loop->members, digest, clk_now_us ()) == MEMBERS_STALE)
    return;
  if (digest->config_version < loop->config->version)
    loop_offer_config (loop, peer);
}

void
loop_send_digests (Loop *loop, int64_t now_us)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Digest digest = WIRE__DIGEST__INIT;
  const char *const *peers = wire_peers (loop->wire);
  int64_t age_us = owner_view_age_us (loop->owner, now_us);

  digest.entry = loop->settings->name;
  digest.incarnation = loop->incarnation;
  digest.data_centre = loop->settings->data_centre;
  digest.config_version = loop->config->version;
  digest.log_offset = fold_next_offset (loop->fold);
  digest.log_age_ms = age_us / CLK_US_PER_MS;
  digest.seq = ++loop->digest_seq;
  digest.sent_us = now_us;
  digest.leaving = loop->is_leaving;
  digest.wire_address = loop->settings->wire_listen;
  envelope.body_case = WIRE__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  for (; *peers != NULL; peers++)
    (void) wire_send (loop->wire, *peers, &envelope);
}

void
loop_consent_request (Loop *loop, const char *peer, const Wire__ConsentRequest *request)
{
  Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
  Wire__Consent consent = WIRE__CONSENT__INIT;

  if (strcmp (request->entry, peer) != 0)
    return;
  consent.entry = loop->settings->name;
  consent.incarnation = loop->incarnation;
  consent.shard = request->shard;
  consent.epoch = request->epoch;
  consent.seq = request->seq;
  consent.sent_us = request->sent_us;
  consent.hold_ms
      = owner_consent_requested (loop->owner, loop->fold, request, clk_now_us ()) / CLK_US_PER_MS;
  envelope.body_case = WIRE__ENVELOPE__BODY_CONSENT;
  envelope.consent = &consent;
  (void) wire_send (loop->wire, peer, &envelope);
}
