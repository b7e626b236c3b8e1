/**
 * @file props.h
 * Shared by the property tests of the entry: number of runs, random schedules, log in memory.
 */
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "common/ids.h"
#include "state/fold.h"
#include "state/record.pb-c.h"

namespace props
{

/** Adds the number of runs to RC_PARAMS unless it already has one. */
inline void
set_runs (int runs)
{
  const char *given = std::getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "";

  if (params.find ("max_success") == std::string::npos)
    params += " max_success=" + std::to_string (runs);
  setenv ("RC_PARAMS", params.c_str (), 1);
}

/** Generates 1 to @p steps_max random words, one per step of a schedule; shrinks by removing steps.
 */
inline std::vector<uint32_t>
schedule (int steps_max)
{
  auto word = rc::gen::resize (rc::kNominalSize, rc::gen::arbitrary<uint32_t> ());
  auto length = *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (1, steps_max + 1));

  return *rc::gen::container<std::vector<uint32_t> > ((size_t) length, word);
}

/** Records in log order, each with its append time. */
struct Log
{
  struct Row
  {
    std::vector<uint8_t> data;
    int64_t time_ms;
  };
  std::vector<Row> rows;
};

/** Packs @p record with a new id and returns the id. */
inline IdsId
pack (const Record__Record *record, const char *writer, std::vector<uint8_t> *data)
{
  Record__Record copy = *record;
  IdsId id = ids_new ();

  copy.id_high = id.high;
  copy.id_low = id.low;
  copy.writer = const_cast<char *> (writer);
  data->resize (record__record__get_packed_size (&copy));
  record__record__pack (&copy, data->data ());
  return id;
}

/** Folds the next @p count records, or fewer at the end of the log. */
inline void
read (const Log &log, Fold *fold, size_t count)
{
  while (count-- > 0 && (size_t) fold_next_offset (fold) < log.rows.size ())
    {
      int64_t offset = fold_next_offset (fold);
      const Log::Row &row = log.rows[(size_t) offset];
      fold_apply (fold, offset, row.time_ms, row.data.data (), row.data.size ());
    }
}

inline Fold *
new_fold ()
{
  FoldOptions options = {};

  options.key_window_ms = 3600 * 1000;
  options.answer_bytes_max = 64;
  options.id_window_ms = 3600 * 1000;
  options.shards = 1;
  options.history_max = 10;
  return fold_new (&options);
}

} // namespace props
