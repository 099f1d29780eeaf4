// A soak of the real program under faults from outside.
// usage: soak SEED FIRST_PORT
// Prints a line for each fault and violation, and exits with 1 on violations.

#include <cstdio>
#include <cstdlib>

#include "tools/soak/world.h"

namespace comfreyshift {
namespace {

constexpr Milliseconds kStartTime{2500};
constexpr Milliseconds kFaultTime{6000};
constexpr Milliseconds kRestTime{5000};
constexpr uint64_t kMaxFaults = 14;

int Soak(uint64_t seed, uint16_t first_port) {
  SoakWorld world(seed, first_port);
  world.RunFor(kStartTime);
  std::mt19937_64 random(seed + 1);
  const uint64_t faults = 3 + random() % kMaxFaults;
  for (uint64_t i = 0; i < faults; ++i) {
    const std::string strike = world.Strike();
    std::printf("%lld ms: %s\n",
                static_cast<long long>(world.elapsed().count()),
                strike.c_str());
    world.RunFor(Milliseconds(
        random() % (2 * static_cast<uint64_t>(kFaultTime.count()) / faults)));
  }
  world.Heal();
  const MonoTime calm_since = BootClock::now();
  world.RunFor(kRestTime);
  world.Settle();
  world.CheckEnd(calm_since);
  if (!world.violations().empty()) {
    for (const auto& [name, log] : world.Logs()) {
      std::printf("log of %s:\n%s", name.c_str(), log.c_str());
    }
  }
  std::printf("seed %llu: %zu jobs, %zu served, %zu violations\n",
              static_cast<unsigned long long>(seed), world.jobs(),
              world.served(), world.violations().size());
  return world.violations().empty() ? 0 : 1;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: soak SEED FIRST_PORT\n");
    return 2;
  }
  return comfreyshift::Soak(
      std::strtoull(argv[1], nullptr, 10),
      static_cast<uint16_t>(std::strtoul(argv[2], nullptr, 10)));
}
