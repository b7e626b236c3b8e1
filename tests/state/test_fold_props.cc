/**
 * @file test_fold_props.cc
 * Property tests of the fold over random schedules of log records.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "state/fold_ids.h"
#include "state/schedule.h"

namespace
{

FoldPtr
fold_of (const Log &log, FoldObserver observer = nullptr, void *ctx = nullptr)
{
  const FoldOptions options = fold_options ();
  FoldPtr fold (fold_new (&options));
  fold_observe (fold.get (), observer, ctx);
  for (const LogRecord &record : log)
    apply (fold.get (), record);
  return fold;
}

LogRecord
malformed (const LogRecord &record)
{
  return { record.offset, record.time_ms, "\xff", 0, 0, -1, 0 };
}

/** A restart from a snapshot at any offset gives the state of a fold that never stopped. */
void
restart_gives_same_state (const std::vector<Step> &steps, uint8_t cut)
{
  const Log log = make_log (steps);
  const FoldOptions options = fold_options ();
  const size_t at = log.empty () ? 0 : cut % (log.size () + 1);
  FoldPtr first (fold_new (&options));
  for (size_t i = 0; i < at; i++)
    apply (first.get (), log[i]);
  const std::string bytes = state_of (first.get ());
  FoldPtr second (fold_from_snapshot (&options, reinterpret_cast<const uint8_t *> (bytes.data ()),
                                      bytes.size (), nullptr));
  RC_ASSERT (static_cast<bool> (second));
  RC_ASSERT (state_of (second.get ()) == bytes);
  /* The reader may pass records again that the snapshot already covers. */
  for (size_t i = at / 2; i < log.size (); i++)
    {
      const FoldResult result = apply (second.get (), log[i]);
      const FoldResult wanted = i < at ? FOLD_DUPLICATE : apply (first.get (), log[i]);
      RC_ASSERT (result == wanted);
    }
  RC_ASSERT (state_of (second.get ()) == state_of (first.get ()));
}

/** A record changes nothing if its id was folded or fenced before. */
void
duplicates_and_fenced_change_nothing (const std::vector<Step> &steps)
{
  const Log log = make_log (steps);
  Log effective;
  std::set<uint64_t> resolved;
  for (const LogRecord &record : log)
    {
      const bool is_first = record.id == 0 || resolved.insert (record.id).second;
      effective.push_back (is_first ? record : malformed (record));
      if (is_first && record.fences != 0)
        resolved.insert (record.fences);
    }
  RC_ASSERT (state_of (fold_of (log).get ()) == state_of (fold_of (effective).get ()));
}

/** Once the result of a record id is known, it never changes. */
void
record_result_never_changes (const std::vector<Step> &steps)
{
  const Log log = make_log (steps);
  const FoldOptions options = fold_options ();
  FoldPtr fold (fold_new (&options));
  std::map<uint64_t, FoldResult> first_results;
  for (const LogRecord &record : log)
    {
      const FoldResult result = apply (fold.get (), record);
      for (uint64_t id : { record.id, record.fences })
        {
          FoldResult settled;
          if (id == 0 || !fold_record_result (fold.get (), { 7, id }, &settled))
            continue;
          const auto [at, is_new] = first_results.emplace (id, settled);
          RC_ASSERT (at->second == settled);
          if (id == record.id && !is_new)
            RC_ASSERT (result != FOLD_APPLIED);
        }
    }
}

/* Observers are called from C and must not throw, so they store the violation. */
struct Versions
{
  uint64_t newest = 0;
  std::string violation;
};

/** When operators edit the same version concurrently, one succeeds; the version never decreases. */
void
one_operator_wins (const std::vector<Step> &steps)
{
  Versions versions;
  auto observer = [] (void *ctx, const Record__Record *record, int64_t offset) {
    auto *seen = static_cast<Versions *> (ctx);
    if (record->body_case != RECORD__RECORD__BODY_CONFIG)
      return;
    if (record->config->base_version != seen->newest)
      seen->violation = "base is not the newest version";
    if (static_cast<uint64_t> (offset) + 1 <= seen->newest)
      seen->violation = "version decreased";
    seen->newest = static_cast<uint64_t> (offset) + 1;
  };
  FoldPtr fold = fold_of (make_log (steps), observer, &versions);
  RC_ASSERT (versions.violation == "");
  RC_ASSERT (fold_config (fold.get ())->version == versions.newest);
  RC_ASSERT (fold_history (fold.get ())->len <= fold_options ().history_max);
}

/** Reference model of entries and shard owners, built from the records that took effect. */
struct Owners
{
  const Fold *fold = nullptr;
  std::map<std::string, std::tuple<uint64_t, int64_t, int64_t> >
      known; /**< incarnation, since, seen */
  std::map<uint32_t, std::tuple<uint64_t, std::string, uint64_t> > owner; /**< epoch, entry, inc. */
  std::set<std::pair<std::string, uint64_t> > left;
  std::string violation;
};

void
update_entry (Owners *owners, const Record__Entry *entry, int64_t now_ms)
{
  if (entry->leaving)
    {
      owners->left.insert ({ entry->entry, entry->incarnation });
      const auto at = owners->known.find (entry->entry);
      if (at != owners->known.end () && std::get<0> (at->second) == entry->incarnation)
        owners->known.erase (at);
      return;
    }
  auto &row = owners->known[entry->entry];
  const bool is_same
      = std::get<0> (row) == entry->incarnation && std::get<2> (row) + ENTRY_KEEP_MS >= now_ms;
  row = { entry->incarnation, is_same ? std::get<1> (row) : now_ms, now_ms };
}

void
check_claim (Owners *owners, const Record__Claim *claim, int64_t now_ms)
{
  const auto before = owners->owner[claim->shard];
  const auto at = owners->known.find (claim->entry);
  if (claim->epoch != std::get<0> (before) + 1)
    owners->violation = "epoch is not the next";
  if (at == owners->known.end () || std::get<0> (at->second) != claim->incarnation)
    {
      owners->violation = "claimed by an unknown entry";
      return;
    }
  const bool is_own
      = std::get<1> (before) == claim->entry && std::get<2> (before) == claim->incarnation;
  const bool has_left = owners->left.count ({ std::get<1> (before), std::get<2> (before) }) > 0;
  if (std::get<0> (before) > 0 && !is_own && !has_left
      && now_ms - std::get<1> (at->second) < CLAIM_WAIT_MS)
    owners->violation = "claimed by an entry that the owner may not know";
  owners->owner[claim->shard] = { claim->epoch, claim->entry, claim->incarnation };
  owners->left.erase ({ claim->entry, claim->incarnation });
}

/** Each epoch of a shard has one owner; a claimant that the old owner may not know has waited. */
void
one_claim_wins (const std::vector<Step> &steps)
{
  const Log log = make_log (steps);
  const FoldOptions options = fold_options ();
  FoldPtr fold (fold_new (&options));
  Owners owners;
  owners.fold = fold.get ();
  auto observer = [] (void *ctx, const Record__Record *record, int64_t) {
    auto *seen = static_cast<Owners *> (ctx);
    const int64_t now_ms = fold_time_ms (seen->fold);
    if (record->body_case == RECORD__RECORD__BODY_ENTRY)
      update_entry (seen, record->entry, now_ms);
    else if (record->body_case == RECORD__RECORD__BODY_CLAIM)
      check_claim (seen, record->claim, now_ms);
    else if (record->body_case == RECORD__RECORD__BODY_TASKS
             && record->tasks->epoch != std::get<0> (seen->owner[record->tasks->shard]))
      seen->violation = "tasks of an old epoch";
  };
  fold_observe (fold.get (), observer, &owners);
  for (const LogRecord &record : log)
    apply (fold.get (), record);
  RC_ASSERT (owners.violation == "");
}

struct Attempts
{
  const Fold *fold = nullptr;
  /** Number of attempts that may have run, by tenant, key and date of the request. */
  std::map<std::tuple<std::string, std::string, int64_t>, int> unfenced;
  std::map<std::pair<std::string, std::string>, std::tuple<std::string, std::string, int64_t> >
      newest;
  std::string violation;
};

/** A request is never run by two attempts, however often and late it is repeated. */
void
one_attempt_runs (const std::vector<Step> &steps)
{
  const Log log = make_log (steps);
  const FoldOptions options = fold_options ();
  FoldPtr fold (fold_new (&options));
  Attempts attempts;
  attempts.fold = fold.get ();
  auto observer = [] (void *ctx, const Record__Record *record, int64_t) {
    auto *seen = static_cast<Attempts *> (ctx);
    if (record->body_case == RECORD__RECORD__BODY_INTENT)
      {
        const Record__Intent *intent = record->intent;
        const std::tuple<std::string, std::string, int64_t> request
            = { intent->tenant, intent->key, intent->dated_ms };
        if (intent->dated_ms < fold_key_window_start_ms (seen->fold))
          seen->violation = "dated before the key window";
        if (++seen->unfenced[request] != 1)
          seen->violation = "two attempts of one request";
        seen->newest[{ intent->tenant, intent->key }] = request;
      }
    else if (record->body_case == RECORD__RECORD__BODY_OUTCOME && record->outcome->fenced)
      seen->unfenced[seen->newest[{ record->outcome->tenant, record->outcome->key }]]--;
  };
  fold_observe (fold.get (), observer, &attempts);
  for (const LogRecord &record : log)
    apply (fold.get (), record);
  RC_ASSERT (attempts.violation == "");
}

/** The keys of one tenant are independent of the records of all other tenants. */
void
tenants_are_independent (const std::vector<Step> &steps)
{
  const Log log = make_log (steps);
  Log without_other;
  for (const LogRecord &record : log)
    without_other.push_back (record.tenant == 1 ? malformed (record) : record);
  FoldPtr both = fold_of (log);
  FoldPtr one = fold_of (without_other);
  for (const char *key : { "key-0", "key-1" })
    {
      const FoldIntent *left = fold_intent (both.get (), "tenant-0", key);
      const FoldIntent *right = fold_intent (one.get (), "tenant-0", key);
      RC_ASSERT ((left == nullptr) == (right == nullptr));
      if (left == nullptr)
        continue;
      RC_ASSERT (left->attempt == right->attempt);
      RC_ASSERT (left->intent_ms == right->intent_ms);
      RC_ASSERT (left->has_outcome == right->has_outcome);
      RC_ASSERT (left->fenced == right->fenced);
      RC_ASSERT (left->length == right->length);
      RC_ASSERT (left->request_digest == right->request_digest);
    }
}

bool
is_final (const FoldTask &task)
{
  return task.end == RECORD__TASK_END__END_DONE || task.end == RECORD__TASK_END__END_CANCELLED
         || task.end == RECORD__TASK_END__END_GIVEN_UP;
}

/** The final end of a task never changes, and its counters never decrease. */
void
final_ends_never_change (const std::vector<Step> &steps)
{
  using Tasks = std::map<std::pair<uint64_t, uint32_t>, FoldTask>;
  const Log log = make_log (steps);
  const FoldOptions options = fold_options ();
  FoldPtr fold (fold_new (&options));
  Tasks before;
  for (const LogRecord &record : log)
    {
      apply (fold.get (), record);
      const GPtrArray *jobs = fold_jobs (fold.get ());
      Tasks now;
      guint n_ended = 0;
      for (guint i = 0; i < jobs->len; i++)
        {
          const auto *job = static_cast<FoldJob *> (g_ptr_array_index (jobs, i));
          n_ended += job->n_final == job->n_tasks ? 1 : 0;
          for (uint32_t k = 0; k < job->n_tasks; k++)
            now[{ job->job, k }] = job->tasks[k];
        }
      RC_ASSERT (n_ended <= options.ended_jobs_max);
      for (const auto &[id, task] : now)
        {
          const auto was = before.find (id);
          if (was == before.end ())
            continue;
          RC_ASSERT (!is_final (was->second) || task.end == was->second.end);
          RC_ASSERT (!is_final (was->second) || task.attempts == was->second.attempts);
          RC_ASSERT (task.attempts >= was->second.attempts);
          RC_ASSERT (task.failures >= was->second.failures);
        }
      before = now;
    }
}

/** The id window matches a plain map while it grows, wraps around and expires ids. */
void
id_window_matches_map (const std::vector<std::pair<uint8_t, uint8_t> > &steps)
{
  constexpr size_t STEPS_MAX = 12;
  FoldIds *ids = fold_ids_new ();
  std::map<uint64_t, std::pair<int64_t, uint8_t> > expected;
  uint64_t next = 0;
  int64_t time_ms = 0;
  bool same = true;
  for (size_t i = 0; i < std::min (steps.size (), STEPS_MAX); i++)
    {
      for (int n = 0; n < steps[i].first * 3; n++, next++)
        {
          time_ms += n % 7 == 0 ? 1 : 0;
          fold_ids_add (ids, { next * next, next + 1 }, time_ms, next % 4);
          expected[next] = { time_ms, next % 4 };
        }
      const int64_t before_ms = time_ms - steps[i].second;
      fold_ids_expire (ids, before_ms);
      for (auto at = expected.begin (); at != expected.end () && at->second.first < before_ms;)
        at = expected.erase (at);
      same = same && fold_ids_count (ids) == expected.size ();
      for (const auto &[id, row] : expected)
        {
          uint8_t result = 255;
          same = same && fold_ids_find (ids, { id * id, id + 1 }, &result) && result == row.second;
        }
    }
  fold_ids_free (ids);
  RC_ASSERT (same);
}

/* The seed comes from RC_PARAMS, and so does the number of schedules if it is given there. */
void
set_rapidcheck_params ()
{
  const char *given = getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "seed=1";
  if (params.find ("max_success") == std::string::npos)
    params += " max_success=10000";
  if (params.find ("max_size") == std::string::npos)
    params += " max_size=120";
  setenv ("RC_PARAMS", params.c_str (), 1);
}

} // namespace

int
main ()
{
  set_rapidcheck_params ();
  bool ok = rc::check ("restart gives the same state", restart_gives_same_state);
  ok = rc::check ("duplicates and fenced records change nothing",
                  duplicates_and_fenced_change_nothing)
       && ok;
  ok = rc::check ("result of a record never changes", record_result_never_changes) && ok;
  ok = rc::check ("one operator wins", one_operator_wins) && ok;
  ok = rc::check ("one claim wins", one_claim_wins) && ok;
  ok = rc::check ("one attempt runs", one_attempt_runs) && ok;
  ok = rc::check ("tenants are independent", tenants_are_independent) && ok;
  ok = rc::check ("final ends never change", final_ends_never_change) && ok;
  ok = rc::check ("id window matches a map", id_window_matches_map) && ok;
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
