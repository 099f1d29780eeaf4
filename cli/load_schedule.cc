#include "cli/load_schedule.h"

#include <cmath>

namespace comfreyshift {

namespace {

// Draws one gap, in units of the mean gap.
struct GapDrawer {
  double operator()(const ConstantGaps&) const { return 1.0; }

  // std::exponential_distribution differs between standard libraries.
  double operator()(const PoissonGaps&) const {
    constexpr int kUnusedBits = 11;
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    const double uniform =
        static_cast<double>(m_random() >> kUnusedBits) * kScale;
    return -std::log(1.0 - uniform);
  }

  std::mt19937_64& m_random;
};

struct SeedReader {
  uint64_t operator()(const ConstantGaps&) const { return 0; }
  uint64_t operator()(const PoissonGaps& gaps) const { return gaps.m_seed; }
};

}  // namespace

LoadSchedule::LoadSchedule(Gaps gaps, double rate, Microseconds length)
    : m_gaps(gaps),
      m_rate(rate),
      m_length(length),
      m_random(std::visit(SeedReader{}, gaps)) {}

std::optional<Microseconds> LoadSchedule::Next() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  m_position += std::visit(GapDrawer{m_random}, m_gaps) / m_rate;
  const double micros = m_position * kMicrosecondsPerSecond;
  if (micros >= static_cast<double>(m_length.count())) {
    return std::nullopt;
  }
  return Microseconds(static_cast<int64_t>(micros));
}

}  // namespace comfreyshift
