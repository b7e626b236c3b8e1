/**
 * @file fuzz_lists.c
 * The first byte chooses a list or message that another writer or a newer build may have written;
 * the rest is its content.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "batch/sched.h"
#include "ledger/ledger.h"
#include "platform/caller.h"
#include "platform/runner.h"
#include "platform/store.h"

#define JOB "00000000000000aa"
#define AGENT "w"
#define START_US (INT64_C (1) << 40)
#define TICK_US 200000
#define N_TICKS 12

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

static const char job_body[]
    = "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":500,\"checkpointing\":true},{\"count\":2,"
      "\"cpu\":100,\"fills\":true,\"image\":\"f\"},{\"count\":1,\"cpu\":100,\"image\":\"i\","
      "\"target_ms\":50,\"long_running\":true},{\"count\":2,\"gang\":true,\"fills\":true}]}";

static void
apply_record (void *ctx, const StoreRecord *record)
{
  (void) ledger_apply (ctx, record->offset, record->key, record->key_size, record->value,
                       record->value_size);
}

static void
on_records (void *ctx, const StoreAnswer *answer)
{
  for (guint i = 0; i < answer->records->len; i++)
    apply_record (ctx, &g_array_index (answer->records, StoreRecord, i));
}

static void
decode_worker_answer (const NetAnswer *net)
{
  RunnerAnswer answer = runner_decode_answer (net);

  g_assert ((answer.running == NULL) == (answer.ended == NULL));
  for (guint i = 0; answer.running != NULL && i < answer.running->len; i++)
    g_assert (g_array_index (answer.running, WorkerTask, i).percent <= 100);
  runner_answer_clear (&answer);
}

static QueueConfig *
config_new (void)
{
  QueueConfig *config = queue_config_new (1);
  Queue *queue = queue_new ();

  (void) queue_config_add_service (config, "s");
  queue->name = g_strdup ("q");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("s");
  queue->attempts_max = 2;
  queue->stretch = 2.0;
  queue_config_add (config, queue);
  return config;
}

static void
add_job (Sched *sched, const char *id, const uint8_t *body, size_t size, const LedgerJob *known)
{
  JobSpec *spec = caller_decode_job ((const char *) body, size, NULL);

  if (spec == NULL)
    return;
  const SchedNewJob job
      = { .id = id,
          .queue = "q",
          .accepted_wall_ms = known != NULL ? known->submission->accepted_wall_ms : 0,
          .spec = spec,
          .progress = known != NULL ? known->progress : NULL,
          .may_have_started = known != NULL };
  sched_add_job (sched, &job);
}

static void
add_ledger_job (void *ctx, const LedgerJob *job)
{
  add_job (ctx, job->id, job->submission->body.data, job->submission->body.len, job);
}

static void
apply_own_report (Sched *sched, int64_t now_us, uint64_t version)
{
  Batch__Report report = BATCH__REPORT__INIT;
  Batch__Worker info = BATCH__WORKER__INIT;

  info.id = AGENT;
  info.service = "s";
  info.cpu_m = info.mem_mb = 4000;
  report.worker = &info;
  report.boot = report.life = 1;
  report.clock_us = now_us;
  report.version = version;
  sched_apply_report (sched, AGENT, &report, now_us);
}

static void
write_changes (Sched *sched)
{
  SchedFlush *flush = sched_flush_begin (sched);

  if (flush != NULL)
    sched_flush_end (sched, flush, TRUE);
}

/* Runs a term with what the ledger holds and, if it is not NULL, a report. */
static void
run_term (Ledger *ledger, const Batch__Report *report)
{
  const SchedOptions options
      = { .report_age_max_ms = 1300, .lease_expiry_ms = 3300, .gang_timeout_ms = 3000 };
  Sched *sched = sched_new (&options);
  QueueConfig *config = config_new ();
  Batch__Orders orders = BATCH__ORDERS__INIT;

  sched_set_config (sched, config);
  sched_begin_term (sched, MAX (ledger_owner (ledger)->term + 1, 1), START_US);
  if (ledger_learned (ledger) != NULL)
    sched_restore_learned (sched, ledger_learned (ledger));
  ledger_each_job (ledger, add_ledger_job, sched);
  add_job (sched, JOB, (const uint8_t *) job_body, strlen (job_body), NULL);
  (void) sched_add_agent (sched, AGENT);
  if (ledger_silent (ledger) != NULL)
    sched_restore_silent (sched, ledger_silent (ledger), ledger_is_silent_kept (ledger, 1));
  for (uint32_t i = 0; i < N_TICKS; i++)
    {
      int64_t now_us = START_US + i * TICK_US;
      if (i == 2 && report != NULL)
        sched_apply_report (sched, AGENT, report, now_us);
      else if (report == NULL || i > 2)
        apply_own_report (sched, now_us, i + 1);
      sched_tick (sched, now_us, now_us / 1000);
      write_changes (sched);
      (void) sched_orders (sched, AGENT, &orders);
    }
  g_bytes_unref (sched_encode_learned (sched));
  sched_free (sched);
  queue_config_free (config);
}

static void
fold_and_run (const char *key, const uint8_t *data, size_t size)
{
  const LedgerEvents events = { 0 };
  Ledger *ledger = ledger_new (&events);
  Batch__Submission submission = BATCH__SUBMISSION__INIT;
  uint8_t bytes[sizeof job_body + 64];

  submission.queue = "q";
  submission.body.data = (uint8_t *) job_body;
  submission.body.len = strlen (job_body);
  size_t n_bytes = batch__submission__pack (&submission, bytes);
  (void) ledger_apply (ledger, 2, key, strlen (key), data, size);
  (void) ledger_apply (ledger, 3, "job." JOB, strlen ("job." JOB), bytes, n_bytes);
  run_term (ledger, NULL);
  ledger_free (ledger);
}

static void
run_report (const uint8_t *data, size_t size)
{
  const LedgerEvents events = { 0 };
  Batch__Report *report = batch__report__unpack (NULL, size, data);

  if (report == NULL)
    return;
  Ledger *ledger = ledger_new (&events);
  run_term (ledger, report);
  ledger_free (ledger);
  batch__report__free_unpacked (report, NULL);
}

static void
decode_store (gboolean is_page, const uint8_t *data, size_t size)
{
  const LedgerEvents events = { 0 };
  Ledger *ledger = ledger_new (&events);

  if (is_page)
    store_decode_newest ((const char *) data, size, on_records, ledger);
  else
    store_decode_read (data, size, 0, on_records, ledger);
  ledger_free (ledger);
}

static void
decode_messages (const uint8_t *data, size_t size)
{
  Batch__Orders *orders = batch__orders__unpack (NULL, size, data);
  Batch__Relay *relay = batch__relay__unpack (NULL, size, data);

  if (orders != NULL)
    batch__orders__free_unpacked (orders, NULL);
  if (relay != NULL)
    batch__relay__free_unpacked (relay, NULL);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  static const char *const keys[]
      = { "job." JOB, "run." JOB, "cancel." JOB, "owner", "learned", "silent", "agent." AGENT };
  const NetAnswer answer = { .status = 200, .body = (const char *) data + 1, .size = size - 1 };

  if (size < 1)
    return 0;
  switch (data[0])
    {
    case 'a':
      decode_worker_answer (&answer);
      break;
    case 'n':
    case 'r':
      decode_store (data[0] == 'n', data + 1, size - 1);
      break;
    case 'p':
      run_report (data + 1, size - 1);
      break;
    case 'm':
      decode_messages (data + 1, size - 1);
      break;
    default:
      fold_and_run (keys[data[0] % G_N_ELEMENTS (keys)], data + 1, size - 1);
    }
  return 0;
}
