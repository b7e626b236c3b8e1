/**
 * @file schedule.h
 * Random schedules of log records for the property tests of the fold.
 *
 * A schedule contains appends that are repeated after a lost answer, records that are appended late
 * or after their fence, concurrent configuration changes and claims, clock jumps beyond every
 * window, malformed records and skipped offsets.
 */
#pragma once

#include <cstdlib>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "common/ids.h"
#include "state/fold.h"

namespace
{

constexpr int64_t START_MS = 1000000000;
constexpr int64_t CLAIM_WAIT_MS = 1000;
constexpr int64_t ENTRY_KEEP_MS = 30000;
constexpr int64_t BEYOND_WINDOWS_MS = 400000;
constexpr int64_t BEYOND_ID_WINDOW_MS = 60000;
constexpr int64_t CLOCK_SKEW_MS = 100000;
constexpr uint32_t SHARDS = 2;

FoldOptions
fold_options ()
{
  FoldOptions options = {};
  options.key_window_ms = 10000;
  options.answer_bytes_max = 16;
  options.id_window_ms = 20000;
  options.shards = SHARDS;
  options.history_max = 3;
  options.claim_wait_ms = CLAIM_WAIT_MS;
  options.entry_keep_ms = ENTRY_KEEP_MS;
  options.ended_jobs_max = 2;
  options.answers_bytes_max = 24;
  return options;
}

struct FoldDeleter
{
  void
  operator() (Fold *fold) const
  {
    fold_free (fold);
  }
};
using FoldPtr = std::unique_ptr<Fold, FoldDeleter>;

/** One record on the log. */
struct LogRecord
{
  int64_t offset;
  int64_t time_ms;
  std::string bytes;
  uint64_t id;
  uint64_t fences; /**< id of the record that it fences; 0: none */
  int tenant;      /**< tenant of intents and outcomes; -1: none */
  int64_t wall_ms; /**< time on its writer's clock */
};
using Log = std::vector<LogRecord>;

/** One step of a schedule: the action and three parameters. */
using Step = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;

std::string
pack (const Record__Record &record)
{
  std::string bytes (record__record__get_packed_size (&record), '\0');
  record__record__pack (&record, reinterpret_cast<uint8_t *> (bytes.data ()));
  return bytes;
}

FoldResult
apply (Fold *fold, const LogRecord &record)
{
  return fold_apply (fold, record.offset, record.time_ms,
                     reinterpret_cast<const uint8_t *> (record.bytes.data ()),
                     record.bytes.size ());
}

std::string
state_of (const Fold *fold)
{
  GBytes *bytes = fold_snapshot (fold);
  gsize size;
  const char *data = static_cast<const char *> (g_bytes_get_data (bytes, &size));
  std::string text (data, size);
  g_bytes_unref (bytes);
  return text;
}

/** Turns steps into a log; folds it to know current versions and epochs, as a writer does. */
class Writer
{
public:
  Log log;

  Writer ()
  {
    const FoldOptions options = fold_options ();
    current.reset (fold_new (&options));
  }

  void
  apply_step (const Step &step)
  {
    const auto [action, a, b, c] = step;
    time_ms += c % 8 * 50;
    switch (action % 18)
      {
      case 0:
      case 1:
        config (a);
        break;
      case 2:
      case 3:
        entry (a, b, false);
        break;
      case 4:
        entry (a, b, true);
        break;
      case 5:
      case 6:
        claim (a, b, c);
        break;
      case 7:
        job (a, b);
        break;
      case 8:
        cancel (a);
        break;
      case 9:
      case 10:
        tasks (a, b, c);
        break;
      case 11:
      case 12:
        intent (a, b, c);
        break;
      case 13:
        outcome (a, b, c);
        break;
      case 14:
        repeat (a, b);
        break;
      case 15:
        fence (a);
        break;
      case 16:
        time_ms += a % 6 == 0 ? BEYOND_WINDOWS_MS : a % 6 == 1 ? BEYOND_ID_WINDOW_MS : a * 20;
        break;
      default:
        malformed (a);
        break;
      }
  }

  /** Starts the log with registered entries that own the shards, and with jobs. */
  void
  prepare ()
  {
    for (uint8_t shard = 0; shard < SHARDS; shard++)
      {
        entry (shard, 0, false);
        claim (shard, shard, 1);
        job (shard, 1);
        /* Repeats the appends that did not reach the log. */
        for (uint8_t i = 0; i < 3; i++)
          repeat (i, 0);
      }
  }

private:
  FoldPtr current;
  int64_t time_ms = START_MS;
  int64_t offset = 0;
  uint64_t last_id = 0;
  std::vector<LogRecord> written; /**< every record made, whether it reached the log or not */

  void
  put_on_log (LogRecord record)
  {
    record.offset = offset++;
    record.time_ms = time_ms;
    log.push_back (record);
    apply (current.get (), record);
  }

  /* A third of the records does not reach the log now, but may be appended later. */
  void
  append (Record__Record &record, int tenant = -1, uint64_t fences = 0)
  {
    record.id_high = 7;
    record.id_low = ++last_id;
    /* The clocks of some writers are ahead. */
    record.wall_ms = time_ms + (last_id % 11 == 0 ? CLOCK_SKEW_MS : 0);
    LogRecord row = { 0, 0, pack (record), last_id, fences, tenant, record.wall_ms };
    written.push_back (row);
    if (fences != 0 || last_id % 3 != 0)
      put_on_log (row);
  }

  void
  config (uint8_t a)
  {
    Record__Record record;
    Record__Config body;
    record__record__init (&record);
    record__config__init (&body);
    const GPtrArray *history = fold_history (current.get ());
    body.base_version = fold_config (current.get ())->version;
    if (a % 4 == 0 && history->len > 1)
      body.base_version = static_cast<FoldConfig *> (g_ptr_array_index (history, 1))->version;
    std::string text (a % 7, 'x');
    body.text.data = reinterpret_cast<uint8_t *> (text.data ());
    body.text.len = text.size ();
    record.body_case = RECORD__RECORD__BODY_CONFIG;
    record.config = &body;
    append (record);
  }

  void
  entry (uint8_t a, uint8_t b, bool leaving)
  {
    Record__Record record;
    Record__Entry body;
    record__record__init (&record);
    record__entry__init (&body);
    std::string name = "entry-" + std::to_string (a % 3);
    body.entry = name.data ();
    body.incarnation = 1 + b % 2;
    body.leaving = leaving;
    record.body_case = RECORD__RECORD__BODY_ENTRY;
    record.entry = &body;
    append (record);
  }

  void
  claim (uint8_t a, uint8_t b, uint8_t c)
  {
    Record__Record record;
    Record__Claim body;
    record__record__init (&record);
    record__claim__init (&body);
    std::string name = "entry-" + std::to_string (a % 3);
    body.shard = b % SHARDS;
    body.epoch = fold_claim (current.get (), body.shard)->epoch + (c % 4 == 0 ? 2 : 1);
    body.entry = name.data ();
    body.incarnation = 1 + b / 2 % 2;
    record.body_case = RECORD__RECORD__BODY_CLAIM;
    record.claim = &body;
    append (record);
  }

  void
  job (uint8_t a, uint8_t b)
  {
    Record__Record record;
    Record__Job body;
    record__record__init (&record);
    record__job__init (&body);
    char name[] = "job";
    body.job = 1 + a % 5;
    body.name = name;
    body.shard = a % SHARDS;
    body.tasks = 1 + b % 2;
    record.body_case = RECORD__RECORD__BODY_JOB;
    record.job = &body;
    append (record);
  }

  void
  cancel (uint8_t a)
  {
    Record__Record record;
    Record__JobCancel body;
    record__record__init (&record);
    record__job_cancel__init (&body);
    body.job = 1 + a % 5;
    record.body_case = RECORD__RECORD__BODY_CANCEL;
    record.cancel = &body;
    append (record);
  }

  void
  tasks (uint8_t a, uint8_t b, uint8_t c)
  {
    Record__Record record;
    Record__TaskBatch body;
    Record__TaskOutcome outcome;
    Record__TaskOutcome *outcomes[] = { &outcome };
    record__record__init (&record);
    record__task_batch__init (&body);
    record__task_outcome__init (&outcome);
    std::string token = c % 2 == 0 ? "" : "token-" + std::to_string (b);
    outcome.job = 1 + a % 5;
    outcome.index = b % 2;
    const FoldJob *known = fold_job (current.get (), outcome.job);
    const uint32_t newest = known != nullptr && outcome.index < known->n_tasks
                                ? known->tasks[outcome.index].attempts
                                : 0;
    outcome.attempt = newest + c % 3;
    outcome.state = static_cast<Record__TaskEnd> (b / 2 % 8);
    outcome.checkpoint = token.data ();
    body.shard = a % SHARDS;
    body.epoch = fold_claim (current.get (), body.shard)->epoch + (c % 5 == 0 ? -1 : 0);
    body.n_outcomes = 1;
    body.outcomes = outcomes;
    record.body_case = RECORD__RECORD__BODY_TASKS;
    record.tasks = &body;
    append (record);
  }

  void
  intent (uint8_t a, uint8_t b, uint8_t c)
  {
    Record__Record record;
    Record__Intent body;
    record__record__init (&record);
    record__intent__init (&body);
    std::string tenant = "tenant-" + std::to_string (a % 2);
    std::string key = "key-" + std::to_string (a / 2 % 2);
    const FoldIntent *known = fold_intent (current.get (), tenant.c_str (), key.c_str ());
    char service[] = "service";
    char agent[] = "agent";
    body.tenant = tenant.data ();
    body.key = key.data ();
    body.service = service;
    body.agent = agent;
    body.request_digest = 1 + (b % 8 == 0 ? 1 : 0);
    body.attempt = known != nullptr && (known->fenced || b % 4 == 1) ? known->attempt + 1 : 1;
    /* Few different dates, so that the same request is repeated often. */
    body.dated_ms = time_ms - time_ms % 20000 + (c % 5 == 0 ? 200000 : 0)
                    - (c % 7 == 0 ? BEYOND_WINDOWS_MS : 0);
    record.body_case = RECORD__RECORD__BODY_INTENT;
    record.intent = &body;
    append (record, a % 2);
  }

  void
  outcome (uint8_t a, uint8_t b, uint8_t c)
  {
    Record__Record record;
    Record__Outcome body;
    record__record__init (&record);
    record__outcome__init (&body);
    std::string tenant = "tenant-" + std::to_string (a % 2);
    std::string key = "key-" + std::to_string (a / 2 % 2);
    const FoldIntent *known = fold_intent (current.get (), tenant.c_str (), key.c_str ());
    std::string text (c % 20, 'y');
    body.tenant = tenant.data ();
    body.key = key.data ();
    body.attempt = known != nullptr ? known->attempt : 1;
    body.fenced = b % 2 == 0;
    body.body.data = reinterpret_cast<uint8_t *> (text.data ());
    body.body.len = text.size ();
    body.length = text.size ();
    body.body_held = !body.fenced;
    record.body_case = RECORD__RECORD__BODY_OUTCOME;
    record.outcome = &body;
    append (record, a % 2);
  }

  /* Repeats an append whose answer was lost, or appends a delayed record. */
  void
  repeat (uint8_t a, uint8_t b)
  {
    if (written.empty ())
      return;
    size_t n = written.size ();
    put_on_log (written[b % 2 == 0 ? n - 1 - a % std::min<size_t> (n, 6) : a % n]);
  }

  void
  fence (uint8_t a)
  {
    Record__Record record;
    Record__Fence body;
    record__record__init (&record);
    record__fence__init (&body);
    if (written.empty ())
      return;
    const LogRecord &target
        = written[written.size () - 1 - a % std::min<size_t> (written.size (), 6)];
    if (target.fences != 0)
      return;
    body.id_high = 7;
    body.id_low = target.id;
    body.wall_ms = target.wall_ms;
    record.body_case = RECORD__RECORD__BODY_FENCE;
    record.fence = &body;
    append (record, -1, target.id);
  }

  void
  malformed (uint8_t a)
  {
    offset += a % 3;
    put_on_log ({ 0, 0, std::string (a % 5, '\xff'), 0, 0, -1, 0 });
  }
};

Log
make_log (const std::vector<Step> &steps)
{
  Writer writer;
  if (!steps.empty () && std::get<1> (steps[0]) % 2 == 1)
    writer.prepare ();
  for (const Step &step : steps)
    writer.apply_step (step);
  return writer.log;
}

} // namespace
