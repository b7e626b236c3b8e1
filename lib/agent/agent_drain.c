#include "agent/agent_drain.h"

void
agent_drain_init (AgentDrain *drain, const AgentDrainOptions *options)
{
  *drain = (AgentDrain){ .options = *options };
}

gboolean
agent_drain_leave (AgentDrain *drain, int64_t now_us)
{
  if (drain->leaving)
    return FALSE;
  drain->leaving = TRUE;
  drain->since_us = now_us;
  return TRUE;
}

gboolean
agent_drain_is_done (AgentDrain *drain, const AgentDrainPending *pending, int64_t now_us)
{
  gboolean tasks_done = pending->live_tasks + pending->unacknowledged_tasks == 0
                        || now_us - drain->since_us >= drain->options.task_us;

  if (!drain->leaving || pending->requests > 0 || !tasks_done)
    {
      drain->receipt_wait_from_us = 0;
      return FALSE;
    }
  if (drain->receipt_wait_from_us == 0)
    drain->receipt_wait_from_us = now_us;
  return pending->all_received || now_us - drain->receipt_wait_from_us >= drain->options.receipt_us;
}
