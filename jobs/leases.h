#ifndef JOBS_LEASES_H_
#define JOBS_LEASES_H_

#include "core/core.h"

namespace comfreyshift {

// A client whose connection broke sends its job again after 1.3 s. Until then
// every run of the first sending has to be gone, whichever processes are lost:
// kEntryHeartbeatTimeout + kLeaseDuration * kRunnerClockDriftFactor +
// kMaxStopTime stays below that (docs/decisions/0006-platform.md).

// An entry that has not claimed its runs for this long has lost them: the
// agent stops them.
inline constexpr Milliseconds kEntryHeartbeatTimeout{500};

// Runs whose lease an agent does not renew for this long are killed by the
// runner.
inline constexpr Milliseconds kLeaseDuration{700};

// Runner clocks may run slower than ours by this factor.
inline constexpr double kRunnerClockDriftFactor = 1.02;

// Time in which a runner carries out an order to stop.
inline constexpr Milliseconds kMaxStopTime{50};

}  // namespace comfreyshift

#endif  // JOBS_LEASES_H_
