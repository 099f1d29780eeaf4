#ifndef CLI_LOAD_SCHEDULE_H_
#define CLI_LOAD_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>

#include "core/core.h"

namespace comfreyshift {

// Equal gaps between jobs.
struct ConstantGaps {};

// Exponentially distributed gaps, as independent callers make them.
struct PoissonGaps {
  uint64_t m_seed = 1;
};

using Gaps = std::variant<ConstantGaps, PoissonGaps>;

// The times at which an open-loop load sends its jobs, fixed before the run: a
// slow server does not delay the jobs after the one it is slow with. The same
// seed gives the same times on every machine.
class LoadSchedule {
 public:
  // `rate` is in jobs a second and must be above 0.
  LoadSchedule(Gaps gaps, double rate, Microseconds length);

  // Returns the time of the next job since the start, or nothing after the end.
  std::optional<Microseconds> Next();

 private:
  Gaps m_gaps;
  double m_rate;
  Microseconds m_length;
  std::mt19937_64 m_random;
  // Seconds since the start.
  double m_position = 0;
};

}  // namespace comfreyshift

#endif  // CLI_LOAD_SCHEDULE_H_
