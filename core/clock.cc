#include "core/clock.h"

#include <time.h>

namespace comfreyshift {

BootClock::time_point BootClock::now() noexcept {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  const auto elapsed =
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(elapsed));
}

WallTime WallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace comfreyshift
