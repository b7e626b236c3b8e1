#include "ledger/handover.h"

#include "common/clk.h"

gboolean
handover_is_due (Handover *handover, const HandoverInput *input, int64_t now_us)
{
  if (input->failing_since_us == 0 || input->peer_view_us <= input->overdue_us
      || input->own_written_us > input->overdue_us)
    {
      handover->peer_served_us = 0;
      return FALSE;
    }
  if (handover->peer_served_us == 0)
    handover->peer_served_us = now_us;
  const int64_t outage_us = HANDOVER_OUTAGE_MS * CLK_US_PER_MS;
  gboolean is_recovering = handover->peer_served_us - input->failing_since_us >= outage_us;
  int64_t failing_us = (HANDOVER_FAILING_MS + HANDOVER_ANSWERS * input->answer_ms) * CLK_US_PER_MS;

  return now_us >= MAX (input->failing_since_us, handover->peer_served_us) + failing_us
         && (!is_recovering || now_us >= handover->peer_served_us + outage_us);
}

int64_t
handover_peer_view_us (int64_t asked_us, uint32_t view_age_ms)
{
  return view_age_ms == 0 ? 0 : asked_us - (int64_t) view_age_ms * CLK_US_PER_MS;
}

uint32_t
handover_view_age_ms (int64_t fresh_us, int64_t now_us)
{
  if (fresh_us == 0)
    return 0;
  return (uint32_t) MIN (MAX (now_us - fresh_us, 0) / CLK_US_PER_MS + 1, G_MAXINT32);
}
