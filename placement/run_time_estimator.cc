#include "placement/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {
namespace {

// A new run has weight 1 / runs in a moving average, but at least this one.
constexpr float kMinTargetWeight = 1.0F / 64;
constexpr float kMinModelWeight = 1.0F / 512;

// After this many consecutive runs that were all at least twice as long as
// estimated, or all at most half as long, the target's speed has changed, and
// new runs get a higher weight.
constexpr float kOutlierLogRatio = 0.7F;
constexpr int32_t kMinOutlierRuns = 6;
constexpr float kChangedSpeedWeight = 1.0F / 4;

// Number of declared runs before the regression is used.
constexpr uint32_t kMinDeclaredRuns = 64;

// Share of the variance that the regression must explain to be used.
constexpr float kMinExplainedShare = 0.05F;

float Weight(uint32_t runs, float least) {
  return std::max(least, 1.0F / static_cast<float>(runs));
}

float TargetWeight(TargetSlowdown& factor, float residual) {
  if (residual > kOutlierLogRatio) {
    factor.m_consecutive_outliers =
        std::max(factor.m_consecutive_outliers, 0) + 1;
  } else if (residual < -kOutlierLogRatio) {
    factor.m_consecutive_outliers =
        std::min(factor.m_consecutive_outliers, 0) - 1;
  } else {
    factor.m_consecutive_outliers = 0;
  }
  const bool changed =
      std::abs(factor.m_consecutive_outliers) >= kMinOutlierRuns;
  return changed ? kChangedSpeedWeight
                 : Weight(factor.m_runs + 1, kMinTargetWeight);
}

float LogMicroseconds(Microseconds time) {
  return std::log(static_cast<float>(std::max<int64_t>(time.count(), 1)));
}

}  // namespace

float RunTimeEstimator::LogOf(Milliseconds declared) const {
  if (declared.count() <= 0) {
    return m_log_run;
  }
  return m_log_run + m_slope * (LogMicroseconds(declared) - m_log_declared);
}

RunTime RunTimeEstimator::ExpectedRun(Milliseconds declared) const {
  // The mean of a log-normal distribution is exp(mu + variance / 2).
  return RunTime(std::exp(LogOf(declared) + m_residual / 2));
}

void RunTimeEstimator::Learn(TargetSlowdown& factor,
                             Microseconds run_time,
                             Milliseconds declared) {
  const float log_run = LogMicroseconds(run_time);
  const float residual = log_run - LogOf(declared) - factor.m_log;
  ++m_runs;
  ++factor.m_runs;
  factor.m_log += TargetWeight(factor, residual) * residual;
  factor.m_factor = std::exp(factor.m_log);
  const float weight = Weight(m_runs, kMinModelWeight);
  const float normal = log_run - factor.m_log;
  m_mean_us += weight * (std::exp(normal) - m_mean_us);
  m_residual += weight * (residual * residual - m_residual);
  const float run_error = normal - m_log_run;
  m_log_run += weight * run_error;
  if (declared.count() <= 0) {
    return;
  }
  const float declared_weight = Weight(++m_declared_runs, kMinModelWeight);
  const float error = LogMicroseconds(declared) - m_log_declared;
  m_log_declared += declared_weight * error;
  m_variance += declared_weight * (error * error - m_variance);
  m_covariance += declared_weight * (error * run_error - m_covariance);
  const float slope = m_variance > 0 ? m_covariance / m_variance : 0;
  const float explained = slope * m_covariance;
  const bool informative =
      m_declared_runs >= kMinDeclaredRuns &&
      explained > kMinExplainedShare * (m_residual + explained);
  m_slope = informative ? std::clamp(slope, 0.0F, 1.0F) : 0;
}

}  // namespace comfreyshift
