#include "scheduler/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {

namespace {

// Time over which the rate of placements is averaged. Runs take 50 to 900 ms,
// so it spans several ends of most runs, and it follows a burst of 2 s.
constexpr Microseconds kRateTime{500'000};
// After a pause this long the measurement starts anew.
constexpr Microseconds kMaxPause = 2 * kRateTime;
// Above the longest wait that any objective leaves; more cannot be expressed in
// microseconds if hardly anything was placed.
constexpr double kMaxWaitUs = 1e15;

}  // namespace

double ExpectedWork(const Resources& demand, Microseconds expected) {
  return static_cast<double>(demand.m_cpu_millis) *
         static_cast<double>(expected.count());
}

double AdmissionPolicy::DecayUntil(MonoTime now) const {
  return std::exp(-static_cast<double>((now - m_updated_at).count()) /
                  static_cast<double>(kRateTime.count()));
}

void AdmissionPolicy::OnPlaced(double work, MonoTime now) {
  if (now > m_updated_at + kMaxPause) {
    m_placed = 0.0;
    m_measured_since = now;
  }
  m_placed = m_placed * DecayUntil(now) + work;
  m_updated_at = now;
}

void AdmissionPolicy::OnReturned(double work, MonoTime now) {
  m_placed = std::max(0.0, m_placed * DecayUntil(now) - work);
  m_updated_at = now;
}

std::optional<Microseconds> AdmissionPolicy::ExpectedWait(double work,
                                                          MonoTime now) const {
  const double placed = m_placed * DecayUntil(now);
  if (placed <= 0.0) {
    return std::nullopt;
  }
  // Weights that have decayed since the measurement began sum up to less than
  // kRateTime, so that the first placements show a rate, too.
  const auto rate_time = static_cast<double>(kRateTime.count());
  const double measured_us =
      rate_time *
      -std::expm1(-static_cast<double>((now - m_measured_since).count()) /
                  rate_time);
  const double wait_us = work / placed * measured_us;
  return Microseconds(static_cast<int64_t>(std::min(wait_us, kMaxWaitUs)));
}

}  // namespace comfreyshift
