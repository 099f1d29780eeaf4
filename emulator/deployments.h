#ifndef EMULATOR_DEPLOYMENTS_H_
#define EMULATOR_DEPLOYMENTS_H_

#include <cstdint>

#include "emulator/fleet_emulation.h"

namespace comfreyshift {

// Four entries and eleven runners of three speeds, a third of them half again
// as large; it takes TodaysLoad(1.0).
FleetOptions TodaysFleet(uint64_t seed);

// The same deployment after its growth: twelve entries and 66 runners. It takes
// TodaysLoad(6.0).
FleetOptions GrownFleet(uint64_t seed);

// Eleven entries, two of which have little processor time, and 64 runners of
// two sizes and speeds. It takes UnevenLoad().
FleetOptions UnevenFleet(uint64_t seed);

// The same deployment on hundreds of machines: 35 entries and 160 runners. It
// takes LargeLoad().
FleetOptions LargeFleet(uint64_t seed);

}  // namespace comfreyshift

#endif  // EMULATOR_DEPLOYMENTS_H_
