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

FleetOptions LargeFleet(uint64_t seed) {
  return MakeFleet(35, 160, seed);
}

}  // namespace comfreyshift
