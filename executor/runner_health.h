#ifndef EXECUTOR_RUNNER_HEALTH_H_
#define EXECUTOR_RUNNER_HEALTH_H_

#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// What an agent concludes from the ends and the pace of its runner's runs: how
// slow the runner is, and whether it fails what it starts.
class RunnerHealth {
 public:
  // Forgets everything, for a new life of the runner.
  void Reset();

  // A run ended as done after `run_time` when `expected` was expected.
  void OnDone(Microseconds run_time, Microseconds expected, MonoTime now);
  // A run failed, or the runner said it is unhealthy.
  void OnFailure(MonoTime now);
  // A run has worked for `elapsed` and reached `percent`.
  void OnProgress(Microseconds elapsed, double percent, Microseconds expected);

  // Run time here, as a multiple of the expected one; at least 0.1.
  double slowness() const { return m_slowness; }
  // Whether runs may be given to it at all.
  bool IsUsable(MonoTime now) const { return now >= m_retry_at; }
  // After failures it gets one run at a time until one is done.
  bool is_on_probation() const { return m_pauses > 0; }
  MonoTime retry_at() const { return m_retry_at; }

 private:
  double m_slowness = 1.0;
  uint32_t m_failures_in_row = 0;
  // Pauses in a row, without a run done in between.
  uint32_t m_pauses = 0;
  MonoTime m_retry_at;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_HEALTH_H_
