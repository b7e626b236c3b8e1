/**
 * @file test_shares_props.cc
 * Property test of shares with random origins, loads and pauses: the shares add up to what is in
 * use, one origin that waits is always within its share, none exceeds it while nothing is left
 * waiting, changes are reported once a second, unused origins are removed, and an origin that was
 * idle for any time exceeds its share soon after it takes most processors.
 */
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C"
{
#include "batch/shares.h"
}

namespace
{

constexpr int64_t MS = 1000;

struct Row
{
  SharesOrigin *origin;
  int64_t cpu_m;
  bool is_waiting;
  int64_t news_us;
};

struct Sums
{
  std::vector<SharesState> states;
};

void
collect (void *ctx, const SharesState *state)
{
  static_cast<Sums *> (ctx)->states.push_back (*state);
}

/* One round; its time is past what counts as recent, so that only this round's waiting counts. */
void
check_round (Shares *shares, std::vector<Row> &rows, int64_t now_us, bool is_left)
{
  Sums sums;
  double total_m = 0;
  double split_m = 0;
  uint32_t n_waiting = 0;
  uint32_t n_exceeding = 0;

  for (Row &row : rows)
    {
      row.cpu_m = *rc::gen::inRange (0, 50000);
      row.is_waiting = *rc::gen::arbitrary<bool> ();
      shares_count (row.origin, row.cpu_m, row.is_waiting);
      total_m += static_cast<double> (row.cpu_m);
      n_waiting += row.is_waiting ? 1 : 0;
      if (is_left)
        shares_note_left (row.origin, now_us);
    }
  shares_update (shares, now_us);
  shares_each (shares, collect, &sums);
  RC_ASSERT (sums.states.size () == rows.size ());
  for (size_t i = 0; i < rows.size (); i++)
    {
      const SharesState &state = sums.states[i];
      split_m += rows[i].is_waiting ? state.share_m : std::min (state.running_m, state.share_m);
      n_exceeding += state.exceeds ? 1 : 0;
      RC_ASSERT (!state.is_news || now_us - rows[i].news_us >= SHARES_REPORT_MS * MS);
      if (state.is_news)
        rows[i].news_us = now_us;
      RC_ASSERT (!state.exceeds || (rows[i].is_waiting && state.use_m > state.share_m));
    }
  if (n_waiting > 0)
    RC_ASSERT (std::abs (split_m - total_m) < 1);
  RC_ASSERT (n_exceeding == 0 || (is_left && n_exceeding < n_waiting));
}

bool
check_any_load ()
{
  return rc::check ("shares add up, and bind only while processors are short", [] {
    Shares *shares = shares_new ();
    std::vector<Row> rows;
    int64_t now_us = MS;
    for (int i = *rc::gen::inRange (1, 6); i > 0; i--)
      rows.push_back (
          { shares_ref (shares, "g", std::to_string (i).c_str ()), 0, false, INT64_MIN / 2 });
    for (int i = *rc::gen::inRange (1, 20); i > 0; i--)
      {
        now_us += *rc::gen::inRange (SHARES_RECENT_MS + 1, 5000) * MS;
        check_round (shares, rows, now_us, *rc::gen::arbitrary<bool> ());
      }
    for (const Row &row : rows)
      shares_unref (row.origin);
    for (int i = 0; i < 3; i++)
      shares_update (shares, now_us += SHARES_REPORT_MS * MS);
    Sums sums;
    shares_each (shares, collect, &sums);
    RC_ASSERT (sums.states.empty ());
    shares_free (shares);
  });
}

/* Origin "a" keeps using its part, "b" uses nothing, then both wait and "b" gets all the rest. A
 * new owner does not know what "b" used before, and gives it no credit. */
bool
check_credit ()
{
  return rc::check ("credit is bounded", [] {
    Shares *shares = shares_new ();
    SharesOrigin *a = shares_ref (shares, "g", "a");
    SharesOrigin *b = shares_ref (shares, "g", "b");
    const int64_t part_m = *rc::gen::inRange (0, 20) * 1000;
    const int64_t burst_ms = *rc::gen::inRange (0, 60000);
    int64_t now_ms = 1;
    for (; now_ms < burst_ms; now_ms += 100)
      {
        shares_count (a, part_m, false);
        shares_update (shares, now_ms * MS);
      }
    do
      {
        shares_count (a, part_m, true);
        shares_count (b, 60000 - part_m, true);
        shares_note_left (a, now_ms * MS);
        shares_update (shares, now_ms * MS);
        now_ms += 100;
      }
    while (!shares_exceeds (b) && now_ms < burst_ms + 10 * SHARES_WINDOW_MS);
    RC_ASSERT (shares_exceeds (b));
    const double all_m = static_cast<double> (60000 - part_m);
    const double floor_m = 30000.0 * SHARES_FLOOR_PERCENT / 100;
    const double bound_m = 30000.0 * SHARES_EXCEED_PERCENT / 100;
    const double least_ms = SHARES_WINDOW_MS * std::log ((all_m - floor_m) / (all_m - bound_m));
    RC_ASSERT (static_cast<double> (now_ms - burst_ms) <= least_ms + 300);
    if (burst_ms < SHARES_WINDOW_MS - 200)
      RC_ASSERT (now_ms - burst_ms <= 200);
    shares_free (shares);
  });
}

} // namespace

int
main ()
{
  bool is_passed = check_any_load ();
  is_passed &= check_credit ();
  return is_passed ? 0 : 1;
}
