#ifndef PLACEMENT_RUN_MODEL_H_
#define PLACEMENT_RUN_MODEL_H_

#include <chrono>
#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// An expected run time; fractions keep the model smooth.
using RunTime = std::chrono::duration<float, std::micro>;

// How much slower than the mean one target runs tasks, learned by RunModel.
struct RunFactor {
  // Logarithm of the factor.
  float m_log = 0;
  float m_factor = 1;
  uint32_t m_runs = 0;
  // Runs in a row that were far off: above 0 too long, below 0 too short.
  int32_t m_far_off = 0;
};

// Learns run times: a factor for each target, and a line from the logarithm of
// the declared run time to that of the true one. Declarations without
// information give a line of slope 0, and then they count for nothing.
class RunModel {
 public:
  // Takes one run. `declared` is 0 when not declared.
  void Learn(RunFactor& factor, Microseconds run_time, Milliseconds declared);

  // Expected run time on a target of factor 1.
  RunTime ExpectedRun(Milliseconds declared) const;

  // Mean run time on a target of factor 1.
  RunTime mean_run() const { return RunTime(m_mean_us); }

  // Slope of the line, 0 to 1.
  float slope() const { return m_slope; }

 private:
  float LogOf(Milliseconds declared) const;

  uint32_t m_runs = 0;
  uint32_t m_declared_runs = 0;
  float m_mean_us = 300e3F;
  // Means of the logarithms of the run time over the factor and of the declared
  // run time, the variance of the latter and their covariance.
  float m_log_run = 12.6F;
  float m_log_declared = 0;
  float m_variance = 0;
  float m_covariance = 0;
  float m_slope = 0;
  // Mean square of what the line leaves unexplained.
  float m_residual = 0;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_RUN_MODEL_H_
