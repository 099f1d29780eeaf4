#ifndef CORE_CLOCK_H_
#define CORE_CLOCK_H_

#include <chrono>

namespace comfreyshift {

// CLOCK_BOOTTIME as a chrono clock. Unlike std::chrono::steady_clock it counts
// the time the machine was suspended, so a proof of freshness expires while its
// holder sleeps.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard's Clock requirements fix this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

// A point in time on this process's own boot-time clock. It has no meaning in
// another process.
using MonoTime = BootClock::time_point;

// A point in time on the wall clock, to the millisecond, comparable between
// processes within the allowed clock error.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

// Returns the current wall clock time.
WallTime WallNow() noexcept;

// The wall clock difference between two processes that all comparisons of
// WallTime values allow for.
inline constexpr std::chrono::seconds kAllowedClockError{5};

}  // namespace comfreyshift

#endif  // CORE_CLOCK_H_
