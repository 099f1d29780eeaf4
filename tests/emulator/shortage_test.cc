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

// The users' higher target for days with trouble.
constexpr double kTargetWorth = 0.78;

double WorthOf(const LoadSummary& sum) {
  return sum.m_worth_earned / sum.m_worth_asked;
}

void SlowDownEveryFifthRunner(FleetEmulation& fleet) {
  constexpr size_t kSlowInterval = 5;
  constexpr double kSlowFactor = 3.0;
  for (size_t i = 0; i < fleet.agent_count(); i += kSlowInterval) {
    fleet.runner(i).set_slowness(kSlowFactor, fleet.now());
  }
}

void ExpectPromises(const FleetEmulation& fleet) {
  EXPECT_EQ(fleet.double_runs(), 0U);
  EXPECT_EQ(fleet.overloads(), 0U);
  EXPECT_EQ(fleet.false_refusals(), 0U);
}

// Guards against long runs that make their runners look slow: with 3% of them,
// slow runners could not be told apart, and the worth was 0.73.
TEST(ShortageTest, SlowRunnersAreToldApartDespiteLongRuns) {
  LoadPattern pattern = UnevenLoad();
  pattern.m_length = Milliseconds(4000);
  FleetEmulation fleet(UnevenFleet(1), pattern);
  fleet.RunUntil(Milliseconds(10));
  SlowDownEveryFifthRunner(fleet);
  fleet.AddLoad();
  fleet.RunUntil(pattern.m_length + std::chrono::seconds(3));
  ExpectPromises(fleet);
  EXPECT_GE(WorthOf(fleet.Summarize()), kTargetWorth);
}

// Guards against rejections while runners that could still be of use are idle:
// 12% of the jobs were rejected.
TEST(ShortageTest, JobsUseSlowRunnersBeforeTheyAreRejected) {
  LoadPattern pattern = UnevenLoad();
  pattern.m_length = Milliseconds(4000);
  pattern.m_phases = {{Milliseconds(1500), Milliseconds(3500), 1.4, ""}};
  FleetEmulation fleet(UnevenFleet(1), pattern);
  fleet.RunUntil(Milliseconds(10));
  SlowDownEveryFifthRunner(fleet);
  fleet.AddLoad();
  fleet.RunUntil(pattern.m_length + std::chrono::seconds(3));
  ExpectPromises(fleet);
  const LoadSummary sum = fleet.Summarize();
  EXPECT_LT(sum.m_refused, sum.m_asked / 12);
}

// Guards against a queue of priority 0 that fares worse than the others because
// its jobs are short and wide.
TEST(ShortageTest, HighestPriorityKeepsItsWorth) {
  LoadPattern pattern = UnevenLoad();
  pattern.m_length = Milliseconds(4000);
  pattern.m_phases = {{Milliseconds(1000), Milliseconds(4000), 1.8, ""}};
  FleetEmulation fleet(UnevenFleet(1), pattern);
  fleet.RunUntil(Milliseconds(10));
  fleet.AddLoad();
  fleet.RunUntil(pattern.m_length + std::chrono::seconds(3));
  ExpectPromises(fleet);
  EXPECT_GE(WorthOf(fleet.Summarize("short-wide")), kTargetWorth);
}

}  // namespace
}  // namespace comfreyshift
