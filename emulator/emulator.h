#ifndef EMULATOR_EMULATOR_H_
#define EMULATOR_EMULATOR_H_

// Public header of the emulator library: entries, agents and runners in one
// process under a virtual clock, for replays of load and for tests of failures.
// The decision code is the one that runs in production.

#include "emulator/deployments.h"
#include "emulator/fleet_emulation.h"
#include "emulator/load.h"
#include "emulator/load_summary.h"
#include "emulator/runner_emulation.h"

#endif  // EMULATOR_EMULATOR_H_
