#include "emulator/deployments.h"

namespace comfreyshift {

namespace {

FleetOptions MakeFleet(size_t entries, size_t runners, uint64_t seed) {
  FleetOptions fleet;
  fleet.m_entries = entries;
  fleet.m_seed = seed;
  constexpr double kSlowness[] = {1.0, 1.0 / 1.6, 1.0 / 0.6};
  for (size_t i = 0; i < runners; ++i) {
    fleet.m_runner_cpus.push_back(i % 3 == 2 ? 96 : 64);
    fleet.m_runner_slowness.push_back(kSlowness[(i / 3) % 3]);
  }
  return fleet;
}

}  // namespace

FleetOptions TodaysFleet(uint64_t seed) {
  return MakeFleet(4, 11, seed);
}

FleetOptions GrownFleet(uint64_t seed) {
  return MakeFleet(12, 66, seed);
}

FleetOptions UnevenFleet(uint64_t seed) {
  constexpr size_t kRunners = 64;
  // Processor time of an entry for a message, and the shares of a processor of
  // small and of usual entries.
  constexpr double kMessageCostUs = 60.0;
  constexpr double kSmallShare = 0.12;
  constexpr double kUsualShare = 0.5;
  FleetOptions fleet;
  fleet.m_entries = 11;
  fleet.m_seed = seed;
  for (size_t i = 0; i < kRunners; ++i) {
    fleet.m_runner_cpus.push_back(i % 2 == 0 ? 32 : 48);
    fleet.m_runner_slowness.push_back(i / 2 % 2 == 0 ? 1.0 : 1.3);
  }
  for (size_t i = 0; i < fleet.m_entries; ++i) {
    const double share = i < 2 ? kSmallShare : kUsualShare;
    fleet.m_entry_message_times.emplace_back(
        static_cast<int64_t>(kMessageCostUs / share));
  }
  return fleet;
}

FleetOptions LargeFleet(uint64_t seed) {
  return MakeFleet(35, 160, seed);
}

}  // namespace comfreyshift
