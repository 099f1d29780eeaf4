#include "executor/runner_health.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {

namespace {

// A runner that fails this many runs in a row is paused. One or two failures
// may come from a job that always fails.
constexpr uint32_t kFailuresToPause = 3;
constexpr Milliseconds kInitialPause{500};
constexpr Milliseconds kMaxPause{4000};
// Weight of one run in the estimate. Run times of tasks vary by about half.
constexpr double kSampleWeight = 0.05;
// Logarithm of the largest factor by which a sample may differ from the
// estimate; more counts as this much. A few runs take many times as long as
// expected on any runner, and with their full length they would make it look
// slow, while a slow runner delays every run.
const double kMaxLogDeviation = std::log(2.0);
// Bounds of the estimate.
constexpr double kMaxSlowness = 10.0;
constexpr double kMinSlowness = 0.1;

}  // namespace

void RunnerHealth::Reset() {
  *this = RunnerHealth();
}

void RunnerHealth::OnDone(Microseconds run_time,
                          Microseconds expected,
                          MonoTime) {
  m_failures_in_row = 0;
  m_pauses = 0;
  if (expected <= Microseconds(0)) {
    return;
  }
  AddSample(static_cast<double>(run_time.count()) /
            static_cast<double>(expected.count()));
}

void RunnerHealth::AddSample(double sample) {
  const double deviation =
      std::log(std::max(sample, kMinSlowness)) - std::log(m_slowness);
  m_slowness *=
      std::exp(kSampleWeight *
               std::clamp(deviation, -kMaxLogDeviation, kMaxLogDeviation));
  m_slowness = std::clamp(m_slowness, kMinSlowness, kMaxSlowness);
}

void RunnerHealth::OnFailure(MonoTime now) {
  ++m_failures_in_row;
  const uint32_t limit = is_on_probation() ? 1 : kFailuresToPause;
  if (m_failures_in_row < limit) {
    return;
  }
  const auto pause = kInitialPause * (1 << std::min(m_pauses, 8U));
  m_retry_at = now + std::min<Milliseconds>(pause, kMaxPause);
  ++m_pauses;
  m_failures_in_row = 0;
}

bool RunnerHealth::OnProgress(Microseconds elapsed,
                              double percent,
                              Microseconds expected) {
  const double expected_us = static_cast<double>(expected.count());
  const double elapsed_us = static_cast<double>(elapsed.count());
  // A run says nothing before it has run for well over its expected time.
  if (expected_us <= 0.0 || elapsed_us < 1.5 * expected_us * m_slowness ||
      percent >= 100.0) {
    return false;
  }
  const double done = std::max(percent / 100.0, 0.01);
  const double projected = elapsed_us / done / expected_us;
  if (projected <= m_slowness) {
    return false;
  }
  AddSample(projected);
  return true;
}

}  // namespace comfreyshift
