#ifndef JOBS_LEASES_H_
#define JOBS_LEASES_H_

#include "core/core.h"

namespace comfreyshift {

// A client whose connection broke sends its job again after 1.3 s. All runs of
// the first submission must have ended by then, whichever processes are lost:
// kEntryHeartbeatTimeout + kLeaseDuration * kRunnerClockDriftFactor +
// kMaxStopTime stays below 1.3 s (docs/decisions/0006-platform.md).

// The same holds for a job that its client or its entry ended, whose runs the
// runner does not stop: kStopGrace + kLeaseDuration * kRunnerClockDriftFactor +
// kMaxStopTime stays below 1.3 s.

// An agent stops the runs of an entry that has sent no heartbeat for this long.
inline constexpr Milliseconds kEntryHeartbeatTimeout{500};

// A runner kills runs whose lease the agent has not renewed for this long.
inline constexpr Milliseconds kLeaseDuration{700};

// No runner grants a longer lease, whatever end is requested, unless the
// settings say otherwise. A restarted runner grants this one to a request whose
// end was computed from its earlier clock.
inline constexpr Milliseconds kMaxRunnerLease{1000};

// A runner's clock may run slower than ours by up to this factor.
inline constexpr double kRunnerClockDriftFactor = 1.02;

// If the runner has not acknowledged the stop of an ended job's run for this
// long, its lease is left to expire.
inline constexpr Milliseconds kStopGrace{400};

// Time within which a runner carries out a stop request.
inline constexpr Milliseconds kMaxStopTime{50};

}  // namespace comfreyshift

#endif  // JOBS_LEASES_H_
