#include "placement/run_model.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {
namespace {

// A run weighs 1 / runs in a mean, and never less than this.
constexpr float kLeastTargetWeight = 1.0F / 64;
constexpr float kLeastModelWeight = 1.0F / 512;

// After this many runs in a row that are off by twice or more to the same side,
// the target's speed changed, and a run weighs more.
constexpr float kFarOffLog = 0.7F;
constexpr int32_t kFarOffRuns = 6;
constexpr float kChangedWeight = 1.0F / 4;

// Declared runs before the line is used.
constexpr uint32_t kLeastDeclaredRuns = 64;

// Share of the variance that the line must explain before it is used.
constexpr float kLeastExplained = 0.05F;

float Weight(uint32_t runs, float least) {
  return std::max(least, 1.0F / static_cast<float>(runs));
}

float TargetWeight(RunFactor& factor, float residual) {
  if (residual > kFarOffLog) {
    factor.m_far_off = std::max(factor.m_far_off, 0) + 1;
  } else if (residual < -kFarOffLog) {
    factor.m_far_off = std::min(factor.m_far_off, 0) - 1;
  } else {
    factor.m_far_off = 0;
  }
  const bool changed = std::abs(factor.m_far_off) >= kFarOffRuns;
  return changed ? kChangedWeight
                 : Weight(factor.m_runs + 1, kLeastTargetWeight);
}

float LogMicroseconds(Microseconds time) {
  return std::log(static_cast<float>(std::max<int64_t>(time.count(), 1)));
}

}  // namespace

float RunModel::LogOf(Milliseconds declared) const {
  if (declared.count() <= 0) {
    return m_log_run;
  }
  return m_log_run + m_slope * (LogMicroseconds(declared) - m_log_declared);
}

RunTime RunModel::ExpectedRun(Milliseconds declared) const {
  // The mean of a log-normal value lies half its variance above the median.
  return RunTime(std::exp(LogOf(declared) + m_residual / 2));
}

void RunModel::Learn(RunFactor& factor,
                     Microseconds run_time,
                     Milliseconds declared) {
  const float log_run = LogMicroseconds(run_time);
  const float residual = log_run - LogOf(declared) - factor.m_log;
  ++m_runs;
  ++factor.m_runs;
  factor.m_log += TargetWeight(factor, residual) * residual;
  factor.m_factor = std::exp(factor.m_log);
  const float weight = Weight(m_runs, kLeastModelWeight);
  const float normal = log_run - factor.m_log;
  m_mean_us += weight * (std::exp(normal) - m_mean_us);
  m_residual += weight * (residual * residual - m_residual);
  const float run_error = normal - m_log_run;
  m_log_run += weight * run_error;
  if (declared.count() <= 0) {
    return;
  }
  const float declared_weight = Weight(++m_declared_runs, kLeastModelWeight);
  const float error = LogMicroseconds(declared) - m_log_declared;
  m_log_declared += declared_weight * error;
  m_variance += declared_weight * (error * error - m_variance);
  m_covariance += declared_weight * (error * run_error - m_covariance);
  const float slope = m_variance > 0 ? m_covariance / m_variance : 0;
  const float explained = slope * m_covariance;
  const bool informative =
      m_declared_runs >= kLeastDeclaredRuns &&
      explained > kLeastExplained * (m_residual + explained);
  m_slope = informative ? std::clamp(slope, 0.0F, 1.0F) : 0;
}

}  // namespace comfreyshift
