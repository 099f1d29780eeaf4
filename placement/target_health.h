#ifndef PLACEMENT_TARGET_HEALTH_H_
#define PLACEMENT_TARGET_HEALTH_H_

#include <cstdint>
#include <variant>

#include "core/core.h"

namespace comfreyshift {

// The target gets work without a limit.
struct TargetHealthy {};
// The target failed too often and gets no work until m_until (open breaker).
struct TargetEjected {
  MonoTime m_until;
  // Number of ejections since the target was last healthy.
  uint32_t m_count = 1;
};
// The target gets at most m_limit tasks at once (half-open breaker). It starts
// with one task, the probe, and each success doubles the limit.
struct TargetRecovering {
  uint32_t m_limit = 1;
  uint32_t m_count = 1;
};
using HealthState =
    std::variant<TargetHealthy, TargetEjected, TargetRecovering>;

// Circuit breaker of one target.
class TargetHealth {
 public:
  // Counts the result of one task. Returns true when the target should be
  // ejected. The caller then calls Eject, unless too many targets are ejected
  // already.
  bool OnResult(bool ok, uint32_t slots);

  void Eject(MonoTime now);

  // Returns how many tasks may be at the target at once. A healthy target gets
  // `unlimited`.
  uint32_t Limit(MonoTime now, uint32_t unlimited) const;

  // Counts a task as sent. An ejected target whose ejection has ended starts to
  // recover, with this task as its probe.
  void OnSent(MonoTime now);

  bool ejected(MonoTime now) const;
  bool healthy() const {
    return std::holds_alternative<TargetHealthy>(m_state);
  }
  const HealthState& state() const { return m_state; }

 private:
  // Moving average over about the last 4 results, 1 for each failure.
  float m_failure_rate = 0;
  HealthState m_state;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_TARGET_HEALTH_H_
