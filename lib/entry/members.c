#include "entry/members.h"

#include <string.h>

#include "common/clk.h"

struct Members
{
  int64_t timeout_us;
  GPtrArray *agents;
  GPtrArray *entries;
  GHashTable *agents_by_name;
  GHashTable *entries_by_name;
  GHashTable *by_service; /**< service name -> GPtrArray of MembersEndpoint */
};

static void
endpoint_free (void *data)
{
  MembersEndpoint *endpoint = data;

  g_free (endpoint->service);
  g_free (endpoint);
}

static void
agent_free (void *data)
{
  MembersAgent *agent = data;

  g_free (agent->name);
  g_free (agent->data_centre);
  g_free (agent->rack);
  lab_free (agent->labels);
  g_ptr_array_free (agent->endpoints, TRUE);
  g_array_free (agent->epochs, TRUE);
  g_free (agent);
}

static void
entry_free (void *data)
{
  MembersEntry *entry = data;

  g_free (entry->name);
  g_free (entry->data_centre);
  g_free (entry);
}

static void
list_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

Members *
members_new (int64_t timeout_us)
{
  Members *members = g_new0 (Members, 1);

  members->timeout_us = timeout_us;
  members->agents = g_ptr_array_new_with_free_func (agent_free);
  members->entries = g_ptr_array_new_with_free_func (entry_free);
  members->agents_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  members->entries_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  members->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, list_free);
  return members;
}

void
members_free (Members *members)
{
  if (members == NULL)
    return;
  g_hash_table_destroy (members->by_service);
  g_hash_table_destroy (members->agents_by_name);
  g_hash_table_destroy (members->entries_by_name);
  g_ptr_array_free (members->agents, TRUE);
  g_ptr_array_free (members->entries, TRUE);
  g_free (members);
}

static gboolean
is_retired (const uint64_t *retired, uint32_t n_retired, uint64_t incarnation)
{
  uint32_t held = MIN (n_retired, MEMBERS_RETIRED_MAX);

  for (uint32_t i = 0; i < held; i++)
    {
      if (retired[i] == incarnation)
        return TRUE;
    }
  return FALSE;
}

static void
retire (uint64_t *retired, uint32_t *n_retired, uint64_t incarnation)
{
  retired[*n_retired % MEMBERS_RETIRED_MAX] = incarnation;
  (*n_retired)++;
}

static void
unindex (Members *members, MembersAgent *agent)
{
  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      GPtrArray *list = g_hash_table_lookup (members->by_service, endpoint->service);
      g_ptr_array_remove_fast (list, endpoint);
    }
}

static MembersEndpoint *
add_endpoint (Members *members, MembersAgent *agent, const char *service)
{
  MembersEndpoint *endpoint = g_new0 (MembersEndpoint, 1);
  GPtrArray *list = g_hash_table_lookup (members->by_service, service);

  endpoint->agent = agent;
  endpoint->service = g_strdup (service);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (members->by_service, g_strdup (service), list);
    }
  g_ptr_array_add (list, endpoint);
  g_ptr_array_add (agent->endpoints, endpoint);
  return endpoint;
}

MembersEndpoint *
members_endpoint (const MembersAgent *agent, const char *service)
{
  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      if (strcmp (endpoint->service, service) == 0)
        return endpoint;
    }
  return NULL;
}

static void
read_service (Members *members,
              MembersAgent *agent,
              const Wire__ServiceStatus *status,
              int64_t now_us)
{
  MembersEndpoint *endpoint = members_endpoint (agent, status->service);

  if (endpoint == NULL)
    endpoint = add_endpoint (members, agent, status->service);
  endpoint->is_listed = TRUE;
  endpoint->slots = status->slots;
  endpoint->connections = status->connections;
  endpoint->running = status->running;
  endpoint->queued = status->queued;
  endpoint->p50_us = status->p50_us;
  endpoint->p99_us = status->p99_us;
  endpoint->measured_us = now_us - status->measured_ago_us;
  endpoint->healthy = status->healthy;
  endpoint->sent_since_report = 0;
}

/* Rack and data centre are also set as labels; labels from the agent's settings override them. */
static void
read_labels (MembersAgent *agent, const Wire__Announce *announce)
{
  lab_free (agent->labels);
  agent->labels = lab_new ();
  (void) lab_set (agent->labels, "rack", agent->rack, NULL);
  (void) lab_set (agent->labels, "data_centre", agent->data_centre, NULL);
  for (size_t i = 0; i < announce->n_labels; i++)
    (void) lab_set (agent->labels, announce->labels[i]->key, announce->labels[i]->value, NULL);
}

static void
read_size (DocSize *size, const Wire__Size *message)
{
  *size = (DocSize){ 0 };
  if (message == NULL)
    return;
  size->cpu_milli = MAX (message->cpu_milli, 0);
  size->memory_mb = MAX (message->memory_mb, 0);
  size->accelerators = MAX (message->accelerators, 0);
}

static void
read_announce (Members *members,
               MembersAgent *agent,
               const Wire__Announce *announce,
               int64_t now_us)
{
  agent->seq = announce->seq;
  agent->last_received_us = now_us;
  agent->sent_us = announce->sent_us;
  agent->leaving = agent->leaving || announce->leaving;
  agent->config_version = announce->config_version;
  g_free (agent->data_centre);
  agent->data_centre = g_strdup (announce->data_centre);
  g_free (agent->rack);
  agent->rack = g_strdup (announce->rack);
  read_labels (agent, announce);
  read_size (&agent->capacity, announce->capacity);
  g_array_set_size (agent->epochs, 0);
  for (size_t i = 0; i < announce->n_shards; i++)
    {
      MembersEpoch epoch = { announce->shards[i]->shard, announce->shards[i]->epoch };
      g_array_append_val (agent->epochs, epoch);
    }
  for (guint i = 0; i < agent->endpoints->len; i++)
    {
      MembersEndpoint *endpoint = g_ptr_array_index (agent->endpoints, i);
      endpoint->is_listed = FALSE;
    }
  for (size_t i = 0; i < announce->n_services; i++)
    read_service (members, agent, announce->services[i], now_us);
}

static MembersAgent *
add_agent (Members *members, const char *name)
{
  MembersAgent *agent = g_new0 (MembersAgent, 1);

  agent->name = g_strdup (name);
  agent->endpoints = g_ptr_array_new_with_free_func (endpoint_free);
  agent->epochs = g_array_new (FALSE, FALSE, sizeof (MembersEpoch));
  g_ptr_array_add (members->agents, agent);
  g_hash_table_insert (members->agents_by_name, agent->name, agent);
  return agent;
}

static void
replace_agent (Members *members, MembersAgent *agent)
{
  retire (agent->retired, &agent->n_retired, agent->incarnation);
  unindex (members, agent);
  g_ptr_array_set_size (agent->endpoints, 0);
  agent->leaving = FALSE;
}

MembersChange
members_announce (Members *members, const Wire__Announce *announce, int64_t now_us)
{
  MembersAgent *agent = g_hash_table_lookup (members->agents_by_name, announce->agent);
  MembersChange change = MEMBERS_UPDATED;

  if (agent == NULL)
    {
      agent = add_agent (members, announce->agent);
      change = MEMBERS_NEW;
    }
  else if (agent->incarnation != announce->incarnation)
    {
      if (is_retired (agent->retired, agent->n_retired, announce->incarnation))
        return MEMBERS_STALE;
      replace_agent (members, agent);
      change = MEMBERS_REPLACED;
    }
  else if (announce->seq <= agent->seq)
    return MEMBERS_STALE;
  agent->incarnation = announce->incarnation;
  read_announce (members, agent, announce, now_us);
  return change;
}

MembersChange
members_digest (Members *members, const Wire__Digest *digest, int64_t now_us)
{
  MembersEntry *entry = g_hash_table_lookup (members->entries_by_name, digest->entry);
  MembersChange change = MEMBERS_UPDATED;

  if (entry == NULL)
    {
      entry = g_new0 (MembersEntry, 1);
      entry->name = g_strdup (digest->entry);
      g_ptr_array_add (members->entries, entry);
      g_hash_table_insert (members->entries_by_name, entry->name, entry);
      change = MEMBERS_NEW;
    }
  else if (entry->incarnation != digest->incarnation)
    {
      if (is_retired (entry->retired, entry->n_retired, digest->incarnation))
        return MEMBERS_STALE;
      retire (entry->retired, &entry->n_retired, entry->incarnation);
      change = MEMBERS_REPLACED;
    }
  else if (digest->seq <= entry->seq)
    return MEMBERS_STALE;
  entry->incarnation = digest->incarnation;
  entry->seq = digest->seq;
  entry->last_received_us = now_us;
  g_free (entry->data_centre);
  entry->data_centre = g_strdup (digest->data_centre);
  entry->config_version = digest->config_version;
  entry->log_offset = digest->log_offset;
  entry->log_age_ms = digest->log_age_ms;
  entry->leaving = digest->leaving;
  return change;
}

MembersAgent *
members_agent (const Members *members, const char *name, uint64_t incarnation)
{
  MembersAgent *agent = g_hash_table_lookup (members->agents_by_name, name);

  if (agent == NULL || (incarnation != 0 && agent->incarnation != incarnation))
    return NULL;
  return agent;
}

const MembersEntry *
members_entry (const Members *members, const char *name)
{
  return g_hash_table_lookup (members->entries_by_name, name);
}

gboolean
members_is_live (const Members *members, int64_t heard_us, int64_t now_us)
{
  return now_us - heard_us < members->timeout_us;
}

uint64_t
members_epoch (const MembersAgent *agent, uint32_t shard)
{
  for (guint i = 0; i < agent->epochs->len; i++)
    {
      const MembersEpoch *epoch = &g_array_index (agent->epochs, MembersEpoch, i);
      if (epoch->shard == shard)
        return epoch->epoch;
    }
  return 0;
}

const GPtrArray *
members_agents (const Members *members)
{
  return members->agents;
}

const GPtrArray *
members_endpoints (const Members *members, const char *service)
{
  return g_hash_table_lookup (members->by_service, service);
}

void
members_expire (Members *members, int64_t forget_us, int64_t now_us)
{
  for (guint i = members->agents->len; i > 0; i--)
    {
      MembersAgent *agent = g_ptr_array_index (members->agents, i - 1);
      if (now_us - agent->last_received_us < forget_us)
        continue;
      unindex (members, agent);
      g_hash_table_remove (members->agents_by_name, agent->name);
      g_ptr_array_remove_index_fast (members->agents, i - 1);
    }
  for (guint i = members->entries->len; i > 0; i--)
    {
      MembersEntry *entry = g_ptr_array_index (members->entries, i - 1);
      if (now_us - entry->last_received_us < forget_us)
        continue;
      g_hash_table_remove (members->entries_by_name, entry->name);
      g_ptr_array_remove_index_fast (members->entries, i - 1);
    }
}
