#include "agent/agent_admission.h"

struct AgentAdmission
{
  DocSize capacity;
  DocSize wanted;  /**< requested by the service */
  DocSize service; /**< reserved for the service: at most wanted */
  DocSize tasks;
};

AgentAdmission *
agent_admission_new (const DocSize *capacity)
{
  AgentAdmission *admission = g_new0 (AgentAdmission, 1);

  admission->capacity = *capacity;
  return admission;
}

void
agent_admission_free (AgentAdmission *admission)
{
  g_free (admission);
}

static int64_t
service_reservation (int64_t wanted, int64_t capacity, int64_t tasks)
{
  return CLAMP (wanted, 0, MAX (capacity - tasks, 0));
}

static void
update_service_reservation (AgentAdmission *admission)
{
  const DocSize *wanted = &admission->wanted;
  const DocSize *capacity = &admission->capacity;
  const DocSize *tasks = &admission->tasks;
  DocSize *service = &admission->service;

  service->cpu_milli
      = service_reservation (wanted->cpu_milli, capacity->cpu_milli, tasks->cpu_milli);
  service->memory_mb
      = service_reservation (wanted->memory_mb, capacity->memory_mb, tasks->memory_mb);
  service->accelerators
      = service_reservation (wanted->accelerators, capacity->accelerators, tasks->accelerators);
}

void
agent_admission_set_capacity (AgentAdmission *admission, const DocSize *capacity)
{
  admission->capacity = *capacity;
  update_service_reservation (admission);
}

void
agent_admission_set_service (AgentAdmission *admission, const DocSize *wanted)
{
  admission->wanted = *wanted;
  update_service_reservation (admission);
}

/* Subtracts from the capacity instead of adding to the size, which could overflow with a size from
 * the network. */
static gboolean
fits (int64_t size, int64_t capacity, int64_t wanted, int64_t tasks)
{
  return size >= 0 && size <= capacity - wanted - tasks;
}

gboolean
agent_admission_reserve (AgentAdmission *admission, const DocSize *size)
{
  const DocSize *capacity = &admission->capacity;
  const DocSize *wanted = &admission->wanted;
  DocSize *tasks = &admission->tasks;

  if (!fits (size->cpu_milli, capacity->cpu_milli, wanted->cpu_milli, tasks->cpu_milli)
      || !fits (size->memory_mb, capacity->memory_mb, wanted->memory_mb, tasks->memory_mb)
      || !fits (size->accelerators, capacity->accelerators, wanted->accelerators,
                tasks->accelerators))
    return FALSE;
  tasks->cpu_milli += size->cpu_milli;
  tasks->memory_mb += size->memory_mb;
  tasks->accelerators += size->accelerators;
  return TRUE;
}

void
agent_admission_release (AgentAdmission *admission, const DocSize *size)
{
  DocSize *tasks = &admission->tasks;

  tasks->cpu_milli -= size->cpu_milli;
  tasks->memory_mb -= size->memory_mb;
  tasks->accelerators -= size->accelerators;
  g_assert (tasks->cpu_milli >= 0 && tasks->memory_mb >= 0 && tasks->accelerators >= 0);
  update_service_reservation (admission);
}

DocSize
agent_admission_capacity (const AgentAdmission *admission)
{
  return admission->capacity;
}

DocSize
agent_admission_reserved (const AgentAdmission *admission)
{
  const DocSize *tasks = &admission->tasks;
  const DocSize *service = &admission->service;

  return (DocSize){ tasks->cpu_milli + service->cpu_milli, tasks->memory_mb + service->memory_mb,
                    tasks->accelerators + service->accelerators };
}
