#ifndef PLACEMENT_RUN_TIME_ESTIMATOR_H_
#define PLACEMENT_RUN_TIME_ESTIMATOR_H_

#include <chrono>
#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// An expected run time. Floating point keeps fractions of a microsecond, so
// that estimates do not change in steps.
using RunTime = std::chrono::duration<float, std::micro>;

// How many times longer than on an average target tasks run on one target, as
// learned by RunTimeEstimator.
struct TargetSlowdown {
  // Natural logarithm of m_factor.
  float m_log = 0;
  float m_factor = 1;
  uint32_t m_runs = 0;
  // Consecutive runs far from the estimate: positive when they took longer,
  // negative when they were shorter.
  int32_t m_consecutive_outliers = 0;
};

// Estimates run times from a slowdown factor for each target and a linear
// regression of the logarithm of the actual run time on that of the declared
// one. Uninformative declarations yield slope 0 and are then ignored.
class RunTimeEstimator {
 public:
  // Learns from one finished run. `declared` is 0 when not declared.
  void Learn(TargetSlowdown& factor,
             Microseconds run_time,
             Milliseconds declared);

  // Returns the expected run time on a target of factor 1. `declared` is 0 when
  // not declared.
  RunTime ExpectedRun(Milliseconds declared) const;

  // Mean run time of all runs on a target of factor 1.
  RunTime mean_run() const { return RunTime(m_mean_us); }

  // Slope of the regression, 0 to 1.
  float slope() const { return m_slope; }

 private:
  float LogOf(Milliseconds declared) const;

  uint32_t m_runs = 0;
  uint32_t m_declared_runs = 0;
  float m_mean_us = 300e3F;
  // Mean logarithms of the run time divided by the factor and of the declared
  // run time, the variance of the latter, and the covariance of both.
  float m_log_run = 12.6F;
  float m_log_declared = 0;
  float m_variance = 0;
  float m_covariance = 0;
  float m_slope = 0;
  // Mean squared residual of the regression.
  float m_residual = 0;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_RUN_TIME_ESTIMATOR_H_
