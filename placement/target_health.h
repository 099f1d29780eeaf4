#ifndef PLACEMENT_TARGET_HEALTH_H_
#define PLACEMENT_TARGET_HEALTH_H_

#include <cstdint>
#include <variant>

#include "core/core.h"

namespace comfreyshift {

// The target gets work.
struct TargetHealthy {};
// The target failed too often and gets no work until m_until.
struct TargetEjected {
  MonoTime m_until;
  // Ejections since the target was last healthy.
  uint32_t m_count = 1;
};
// The target gets work again, at most m_limit tasks at once. It starts with one
// task, a probe, and each success doubles the limit.
struct TargetReturning {
  uint32_t m_limit = 1;
  uint32_t m_count = 1;
};
using HealthState = std::variant<TargetHealthy, TargetEjected, TargetReturning>;

// The circuit breaker of one target.
class TargetHealth {
 public:
  // Counts one answer. Returns true when the target should be ejected; the
  // caller decides with Eject, because the number of ejections is capped.
  bool OnAnswer(bool ok, uint32_t slots);

  void Eject(MonoTime now);

  // Returns how many tasks may be at the target at once. `slots` and
  // `unlimited` are what a returning target grows to and a healthy one gets.
  uint32_t Limit(MonoTime now, uint32_t unlimited) const;

  // An ejected target whose time is over becomes a returning one.
  void OnSent(MonoTime now);

  bool ejected(MonoTime now) const;
  bool healthy() const {
    return std::holds_alternative<TargetHealthy>(m_state);
  }
  const HealthState& state() const { return m_state; }

 private:
  // Mean of failures, 1 for each failure, over about the last 4 answers.
  float m_failures = 0;
  HealthState m_state;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_TARGET_HEALTH_H_
