#ifndef EXECUTOR_RUNNER_HEALTH_H_
#define EXECUTOR_RUNNER_HEALTH_H_

#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// Estimates from the ends and the progress of a runner's runs how slow the
// runner is, and pauses it when it fails what it starts.
class RunnerHealth {
 public:
  // Resets all estimates, for a new incarnation of the runner.
  void Reset();

  // A run was done after `run_time`; its expected run time was `expected`.
  void OnDone(Microseconds run_time, Microseconds expected, MonoTime now);
  // A run failed, or the runner reported that it is unhealthy.
  void OnFailure(MonoTime now);
  // A run has been running for `elapsed` and has reached `percent`. Returns
  // whether this shows that the runner is slower than estimated.
  bool OnProgress(Microseconds elapsed, double percent, Microseconds expected);

  // Run time on this runner as a multiple of the expected one; at least 0.1.
  double slowness() const { return m_slowness; }
  // Whether the runner may get runs, that is, is not paused.
  bool IsUsable(MonoTime now) const { return now >= m_retry_at; }
  // Whether the runner gets one run at a time, which it does from a pause until
  // a run is done.
  bool is_on_probation() const { return m_pauses > 0; }
  MonoTime retry_at() const { return m_retry_at; }

 private:
  // Adds the run time of one run as a multiple of the expected one.
  void AddSample(double sample);

  double m_slowness = 1.0;
  uint32_t m_failures_in_row = 0;
  // Number of pauses since a run was last done.
  uint32_t m_pauses = 0;
  MonoTime m_retry_at;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_HEALTH_H_
