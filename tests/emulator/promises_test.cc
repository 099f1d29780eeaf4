// Guards the promises that hold whatever fails: no two runs of a task at once,
// no runner over its capacity, and no refusal of a job that has started.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emulator/emulator.h"

namespace comfreyshift {
namespace {

constexpr size_t kEntries = 3;
constexpr size_t kAgents = 5;
constexpr Microseconds kLength{8'000'000};
constexpr Microseconds kSettle{6'000'000};

FleetOptions SmallFleet(uint64_t seed) {
  FleetOptions options;
  options.m_entries = kEntries;
  options.m_runner_cpus = {64, 64, 96, 64, 64};
  options.m_runner_slowness = {1.0, 0.6, 1.0, 1.7, 1.0};
  options.m_seed = seed;
  return options;
}

// Half of today's load goes to about half of today's runners.
LoadPattern SmallLoad(double rate) {
  LoadPattern pattern = TodaysLoad(rate);
  pattern.m_length = kLength;
  return pattern;
}

enum class Fault : uint8_t {
  kKillEntry,
  kKillAgent,
  kFreezeEntry,
  kFreezeAgent,
  kCutLink,
  kCutEntry,
  kHoldLink,
  kHoldAgent,
  kCrashRunner,
  kLoseOrders,
  kHang,
  kFail,
  kLast = kFail,
};

void Strike(FleetEmulation& fleet, Fault fault, size_t where) {
  const size_t entry = where % kEntries;
  const size_t agent = where % kAgents;
  const Microseconds length = Milliseconds(300 + 200 * (where % 20));
  switch (fault) {
    case Fault::kKillEntry:
      fleet.KillEntry(entry);
      return;
    case Fault::kKillAgent:
      fleet.KillAgent(agent);
      return;
    case Fault::kFreezeEntry:
      fleet.FreezeEntry(entry, length);
      return;
    case Fault::kFreezeAgent:
      fleet.FreezeAgent(agent, length);
      return;
    case Fault::kCutLink:
      fleet.CutLink(entry, agent, length);
      return;
    case Fault::kCutEntry:
      for (size_t i = 0; i < kAgents; ++i) {
        fleet.CutLink(entry, i, length);
      }
      return;
    case Fault::kHoldLink:
      fleet.HoldLink(entry, agent, length);
      return;
    case Fault::kHoldAgent:
      for (size_t i = 0; i < kEntries; ++i) {
        fleet.HoldLink(i, agent, length);
      }
      return;
    case Fault::kCrashRunner:
      fleet.CrashRunner(agent);
      return;
    case Fault::kLoseOrders:
      fleet.LoseRequests(0.05 * static_cast<double>(where % 10), length);
      return;
    case Fault::kHang:
      fleet.runner(agent).set_hangs(where % 2 == 0, fleet.now());
      return;
    case Fault::kFail:
      fleet.runner(agent).set_fails_all(where % 2 == 0);
      return;
  }
}

void ExpectPromises(const FleetEmulation& fleet) {
  RC_ASSERT(fleet.double_runs() == 0U);
  RC_ASSERT(fleet.overloads() == 0U);
  RC_ASSERT(fleet.false_refusals() == 0U);
  for (const JobRecord& job : fleet.jobs()) {
    RC_ASSERT(job.m_result != ClientResult::kInProgress);
  }
}

TEST(PromisesTest, HoldUnderAnySeriesOfFaults) {
  const bool holds = rc::check("promises hold", []() {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto faults = *rc::gen::container<std::vector<uint32_t>>(
        8, rc::gen::arbitrary<uint32_t>());
    FleetEmulation fleet(SmallFleet(seed), SmallLoad(0.5));
    fleet.RunUntil(Milliseconds(20));
    fleet.AddLoad();
    for (const uint32_t fault : faults) {
      const auto kind =
          static_cast<Fault>(fault % (static_cast<uint32_t>(Fault::kLast) + 1));
      const size_t where = (fault >> 8) & 0xFF;
      const Microseconds at = Milliseconds(500 + ((fault >> 16) % 7000));
      fleet.At(at, [&fleet, kind, where]() { Strike(fleet, kind, where); });
    }
    fleet.RunUntil(kLength + kSettle);
    ExpectPromises(fleet);
  });
  EXPECT_TRUE(holds);
}

// Guards against orders that arrive after their entry has given them up, as the
// soak's seeds 2 and 107 saw: the network holds them up, the entry places the
// tasks elsewhere, and then connects again, which lets the agent take its word.
TEST(PromisesTest, OrdersHeldUpInTheNetworkStartNothing) {
  FleetEmulation fleet(SmallFleet(3), SmallLoad(0.5));
  fleet.RunUntil(Milliseconds(20));
  fleet.AddLoad();
  for (int second = 1; second < 7; second += 2) {
    fleet.At(Milliseconds(1000 * second), [&fleet, second]() {
      for (size_t entry = 0; entry < kEntries; ++entry) {
        fleet.HoldLink(entry, static_cast<size_t>(second) % kAgents,
                       Milliseconds(1450));
      }
    });
  }
  fleet.RunUntil(kLength + kSettle);
  EXPECT_EQ(fleet.double_runs(), 0U);
  EXPECT_EQ(fleet.false_refusals(), 0U);
}

// After faults have ended, new jobs are served as before.
TEST(PromisesTest, ServesAgainAfterEveryProcessWasKilled) {
  FleetEmulation fleet(SmallFleet(1), SmallLoad(0.3));
  fleet.RunUntil(Milliseconds(20));
  fleet.AddLoad();
  fleet.At(Milliseconds(2000), [&fleet]() {
    for (size_t i = 0; i < kEntries; ++i) {
      fleet.KillEntry(i);
    }
    for (size_t i = 0; i < kAgents; ++i) {
      fleet.KillAgent(i);
    }
  });
  fleet.RunUntil(kLength + kSettle);
  size_t asked = 0;
  size_t completed = 0;
  for (const JobRecord& job : fleet.jobs()) {
    if (job.m_arrival.m_at > Milliseconds(4500)) {
      ++asked;
      completed += job.m_result == ClientResult::kCompleted ? 1 : 0;
    }
  }
  EXPECT_GT(asked, 100U);
  EXPECT_GT(completed, asked * 95 / 100);
}

}  // namespace
}  // namespace comfreyshift
