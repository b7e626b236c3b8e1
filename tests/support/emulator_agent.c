/* Agents: the supervisor and what programs/worker/agent.c does around it. */
#include <string.h>

#include "support/emulator_private.h"

#define REPORT_INTERVAL_MS 400
#define REPORT_SOON_MS 8
#define TICK_MS 100
#define POLL_WAIT_MS 400
#define CALL_TIMEOUT_MS 600
#define STORE_TIMEOUT_MS 1500
#define REGISTER_RETRY_MS 300
#define OWNER_SILENCE_MS 2500
#define LEAVE_DELAY_MS 60

static int64_t
read_clock (void *ctx)
{
  return ((EmuAgent *) ctx)->emu->now_us;
}

static EmuCall *
call_new (
    EmuAgent *agent, EmuCallKind kind, const RunnerTarget *target, RunnerDone done, void *done_ctx)
{
  EmuCall *call = g_rc_box_new0 (EmuCall);

  call->agent = agent;
  call->agent_life = agent->process.life;
  call->kind = kind;
  call->token = target->token;
  (void) g_strlcpy (call->worker_id, target->worker_id, sizeof call->worker_id);
  call->done = done;
  call->done_ctx = done_ctx;
  return call;
}

static void
call_start (void *ctx,
            const RunnerTarget *target,
            const RunnerStart *start,
            RunnerDone done,
            void *done_ctx)
{
  EmuCall *call = call_new (ctx, EMU_CALL_START, target, done, done_ctx);

  (void) g_strlcpy (call->task, start->task, sizeof call->task);
  call->run = start->run;
  call->until_ms = start->until_ms;
  emu_worker_call (call);
}

static void
call_stop (void *ctx,
           const RunnerTarget *target,
           const char *task,
           int64_t run,
           RunnerDone done,
           void *done_ctx)
{
  EmuCall *call = call_new (ctx, EMU_CALL_STOP, target, done, done_ctx);

  (void) g_strlcpy (call->task, task, sizeof call->task);
  call->run = run;
  emu_worker_call (call);
}

static void
call_set_cpu_limit (void *ctx,
                    const RunnerTarget *target,
                    const char *task,
                    int64_t run,
                    int64_t percent,
                    RunnerDone done,
                    void *done_ctx)
{
  (void) task;
  (void) run;
  (void) percent;
  emu_worker_call (call_new (ctx, EMU_CALL_LIMIT, target, done, done_ctx));
}

static void
call_poll (void *ctx,
           const RunnerTarget *target,
           const RunnerPoll *request,
           RunnerDone done,
           void *done_ctx)
{
  EmuCall *call = call_new (ctx, EMU_CALL_POLL, target, done, done_ctx);

  call->until_ms = request->until_ms;
  call->acked_end = request->acked_end;
  call->wait_ms = request->wait_ms;
  emu_worker_call (call);
}

static void
log_event (void *ctx, const char *event, const char *text)
{
  EmuAgent *agent = ctx;

  emu_trace (agent->emu, agent->process.name, "%s %s", event, text);
}

static void
send_report (EmuAgent *agent)
{
  Batch__Report *report = agent->owner >= 0 ? supervisor_report (agent->supervisor) : NULL;

  report_flow_sent (&agent->flow, report != NULL ? report->version : 0, agent->emu->now_us);
  if (report == NULL)
    return;
  size_t n_crashes = report->n_crashes;
  if (agent->is_older)
    {
      report->looked_us = 0;
      report->level = 0;
      report->n_crashes = 0;
    }
  size_t size = batch__report__get_packed_size (report);
  uint8_t *data = g_malloc (size);
  (void) batch__report__pack (report, data);
  report->n_crashes = n_crashes;
  batch__report__free_unpacked (report, NULL);
  g_autoptr (GBytes) bytes = g_bytes_new_take (data, size);
  emu_link_to_owner (agent, bytes);
}

static void schedule_report (EmuAgent *agent);

static void
on_report_due (gpointer ctx, gpointer data)
{
  EmuAgent *agent = ctx;

  if (GPOINTER_TO_SIZE (data) != agent->report_serial)
    return;
  send_report (agent);
  schedule_report (agent);
}

static void
schedule_report (EmuAgent *agent)
{
  emu_after (agent->emu, report_flow_due_us (&agent->flow) - agent->emu->now_us, &agent->process,
             on_report_due, agent, GSIZE_TO_POINTER (++agent->report_serial), NULL);
}

static void
report_soon (void *ctx)
{
  EmuAgent *agent = ctx;

  report_flow_urgent (&agent->flow, agent->emu->now_us);
  schedule_report (agent);
}

static void register_agent (EmuAgent *agent);

static void
on_register_retry (gpointer ctx, gpointer data)
{
  (void) data;
  register_agent (ctx);
}

static void
on_registered (void *ctx, const StoreAnswer *answer)
{
  EmuAgent *agent = ctx;

  if (answer->outcome != STORE_OK)
    {
      emu_after (agent->emu, REGISTER_RETRY_MS * CLK_US_PER_MS, &agent->process, on_register_retry,
                 agent, NULL, NULL);
      return;
    }
  agent->is_registering = FALSE;
  agent->contact_us = agent->emu->now_us;
}

static void
register_agent (EmuAgent *agent)
{
  EmuStoreCall *call = emu_store_call (agent->emu, EMU_STORE_APPEND, &agent->process);
  g_autofree char *key = g_strconcat (LEDGER_AGENT_PREFIX, agent->process.name, NULL);
  Batch__Member member = BATCH__MEMBER__INIT;
  uint8_t data[128];

  agent->is_registering = TRUE;
  member.name = agent->process.name;
  member.address = agent->process.name;
  member.boot = agent->boot;
  call->records = g_byte_array_new ();
  store_add_record (call->records, key, data, batch__member__pack (&member, data));
  call->done = on_registered;
  call->ctx = agent;
  emu_store_send (call, 0, STORE_TIMEOUT_MS);
}

static void
on_tick (gpointer ctx, gpointer data)
{
  EmuAgent *agent = ctx;
  int64_t silent_us = agent->emu->now_us - agent->contact_us;

  (void) data;
  supervisor_tick (agent->supervisor);
  if (!agent->is_registering && supervisor_is_live (agent->supervisor)
      && silent_us > OWNER_SILENCE_MS * CLK_US_PER_MS)
    register_agent (agent);
  emu_after (agent->emu, TICK_MS * CLK_US_PER_MS, &agent->process, on_tick, agent, NULL, NULL);
}

static void
update_owner (EmuAgent *agent, uint32_t entry, uint64_t connection, const Batch__Orders *orders)
{
  if (agent->owner != (int32_t) entry || agent->connection != connection)
    {
      agent->owner = (int32_t) entry;
      agent->connection = connection;
      report_flow_restart (&agent->flow, agent->emu->now_us);
    }
  else if (orders->agent_boot == agent->boot)
    report_flow_answered (&agent->flow, orders->report_taken, orders->report_gap_ms);
  schedule_report (agent);
}

void
emu_agent_receive (EmuAgent *agent, uint32_t entry, uint64_t connection, GBytes *bytes)
{
  size_t size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  Batch__Orders *orders = batch__orders__unpack (NULL, size, data);

  g_assert (orders != NULL);
  if (agent->is_older)
    orders->forbids_starts = orders->wants_report = FALSE;
  agent->contact_us = agent->emu->now_us;
  if (supervisor_handle_orders (agent->supervisor, orders))
    update_owner (agent, entry, connection, orders);
  batch__orders__free_unpacked (orders, NULL);
}

void
emu_agent_start (EmuAgent *agent)
{
  Emulator *emu = agent->emu;
  const ReportFlowOptions flow = { .period_ms = REPORT_INTERVAL_MS, .soon_ms = REPORT_SOON_MS };

  if (agent->process.is_up)
    return;
  emu_process_start (emu, &agent->process);
  agent->boot = emu_random (emu) | 1;
  const SupervisorOptions options
      = { .boot = agent->boot,
          .token = EMU_WALL_MS + emu->now_us / CLK_US_PER_MS + agent->wall_offset_ms,
          .grant_ms = EMU_GRANT_MS,
          .poll_wait_ms = POLL_WAIT_MS,
          .call_timeout_ms = CALL_TIMEOUT_MS,
          .now_us = read_clock,
          .start = call_start,
          .stop = call_stop,
          .set_cpu_limit = call_set_cpu_limit,
          .poll = call_poll,
          .changed = report_soon,
          .log = log_event,
          .ctx = agent };
  agent->supervisor = supervisor_new (&options);
  agent->owner = -1;
  agent->connection = 0;
  agent->is_registering = FALSE;
  agent->contact_us = 0;
  report_flow_init (&agent->flow, &flow);
  emu_trace (emu, agent->process.name, "up build=%s", agent->is_older ? "older" : "current");
  schedule_report (agent);
  emu_after (emu, TICK_MS * CLK_US_PER_MS, &agent->process, on_tick, agent, NULL, NULL);
}

void
emu_agent_kill (EmuAgent *agent)
{
  if (!agent->process.is_up)
    return;
  emu_trace (agent->emu, agent->process.name, "down");
  emu_process_end (agent->emu, &agent->process);
  g_clear_pointer (&agent->supervisor, supervisor_free);
}

static void
on_left (gpointer ctx, gpointer data)
{
  (void) data;
  emu_agent_kill (ctx);
}

void
emu_agent_leave (EmuAgent *agent)
{
  if (!agent->process.is_up)
    return;
  emu_trace (agent->emu, agent->process.name, "leaving");
  supervisor_leave (agent->supervisor);
  send_report (agent);
  emu_after (agent->emu, LEAVE_DELAY_MS * CLK_US_PER_MS, &agent->process, on_left, agent, NULL,
             NULL);
}
