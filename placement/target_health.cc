#include "placement/target_health.h"

#include <algorithm>

namespace comfreyshift {
namespace {

constexpr float kResultWeight = 1.0F / 4;

// Failure rate above which a target is ejected; three failures in a row exceed
// it.
constexpr float kEjectionFailureRate = 0.55F;

constexpr Microseconds kInitialEjection = std::chrono::seconds(5);
constexpr Microseconds kMaxEjection = std::chrono::seconds(60);
constexpr uint32_t kMaxDoublings = 4;

struct LimitAt {
  MonoTime m_now;
  uint32_t m_unlimited;

  uint32_t operator()(const TargetHealthy& /*state*/) const {
    return m_unlimited;
  }
  uint32_t operator()(const TargetEjected& state) const {
    return m_now >= state.m_until ? 1 : 0;
  }
  uint32_t operator()(const TargetRecovering& state) const {
    return state.m_limit;
  }
};

struct EjectionsOf {
  uint32_t operator()(const TargetHealthy& /*state*/) const { return 0; }
  uint32_t operator()(const TargetEjected& state) const {
    return state.m_count;
  }
  uint32_t operator()(const TargetRecovering& state) const {
    return state.m_count;
  }
};

}  // namespace

bool TargetHealth::OnResult(bool ok, uint32_t slots) {
  m_failure_rate += kResultWeight * ((ok ? 0.0F : 1.0F) - m_failure_rate);
  auto* returning = std::get_if<TargetRecovering>(&m_state);
  if (returning == nullptr) {
    return healthy() && m_failure_rate > kEjectionFailureRate;
  }
  if (!ok) {
    return true;
  }
  returning->m_limit *= 2;
  if (returning->m_limit >= slots) {
    m_state = TargetHealthy();
    m_failure_rate = 0;
  }
  return false;
}

void TargetHealth::Eject(MonoTime now) {
  const uint32_t before = std::visit(EjectionsOf(), m_state);
  const Microseconds time =
      kInitialEjection * (1U << std::min(before, kMaxDoublings));
  m_state = TargetEjected{now + std::min(time, kMaxEjection), before + 1};
}

uint32_t TargetHealth::Limit(MonoTime now, uint32_t unlimited) const {
  return std::visit(LimitAt{now, unlimited}, m_state);
}

void TargetHealth::OnSent(MonoTime now) {
  const auto* ejected = std::get_if<TargetEjected>(&m_state);
  if (ejected != nullptr && now >= ejected->m_until) {
    m_state = TargetRecovering{1, ejected->m_count};
  }
}

bool TargetHealth::ejected(MonoTime now) const {
  const auto* ejected = std::get_if<TargetEjected>(&m_state);
  return ejected != nullptr && now < ejected->m_until;
}

}  // namespace comfreyshift
