// Replays demand beyond the capacity against the decisions of entries and
// agents.

#include <gtest/gtest.h>

#include "emulator/emulator.h"

namespace comfreyshift {
namespace {

// Guards against a replay that does not have the uneven traffic, the swing and
// the long runs of the load that it stands for.
TEST(UnevenLoadTest, DrawsSharesSwingAndTail) {
  LoadPattern pattern = UnevenLoad();
  pattern.m_length = pattern.m_swing_period;
  std::mt19937_64 random(1);
  const auto arrivals = DrawArrivals(pattern, 11, random);
  ASSERT_GT(arrivals.size(), 8000U);
  size_t first_half = 0;
  size_t in_tail = 0;
  std::vector<size_t> entries(pattern.m_entry_weights.size());
  for (const Arrival& arrival : arrivals) {
    first_half += arrival.m_at < pattern.m_length / 2 ? 1 : 0;
    ++entries.at(arrival.m_entry);
    const auto mean = pattern.m_kinds[arrival.m_kind].m_mean_work;
    // Without the tail only one job in 10,000 is as long.
    in_tail += arrival.m_longest > 4 * mean ? 1 : 0;
  }
  EXPECT_GT(first_half, 3 * arrivals.size() / 5);
  EXPECT_GT(in_tail, arrivals.size() / 60);
  EXPECT_LT(in_tail, arrivals.size() / 25);
  EXPECT_GT(entries[2], 3 * entries[0]);
}

}  // namespace
}  // namespace comfreyshift
