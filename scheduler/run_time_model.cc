#include "scheduler/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {

namespace {

// Expected for a task without an estimate in a queue without samples.
constexpr Microseconds kDefaultRunTime{500'000};
// Minimum weight of a sample in the mean, so that the mean follows changes.
constexpr double kMinSampleWeight = 0.01;
// The estimate and the queue's mean have errors of about the same size, so both
// have the same weight.
constexpr double kEstimateWeight = 0.5;
constexpr uint64_t kMinSamples = 3;

// Margin of a queue without samples: its clients' estimates may be off by a
// quarter.
constexpr double kDefaultMargin = 1.25;
// Standard deviation of a normal distribution divided by its mean absolute
// deviation, the square root of pi / 2.
constexpr double kDeviationRatio = 1.2533;

double Log(Microseconds time) {
  return std::log(std::max(1.0, static_cast<double>(time.count())));
}

}  // namespace

Microseconds RunTimeModel::Expect(const std::string& queue,
                                  Milliseconds estimate) const {
  const auto found = m_queues.find(queue);
  const bool is_known =
      found != m_queues.end() && found->second.m_samples >= kMinSamples;
  if (estimate <= Milliseconds(0)) {
    return is_known ? Microseconds(
                          std::llround(std::exp(found->second.m_log_run_time)))
                    : kDefaultRunTime;
  }
  if (!is_known) {
    return estimate;
  }
  const QueueModel& model = found->second;
  const double by_estimate = Log(estimate) + model.m_log_bias;
  return Microseconds(
      std::llround(std::exp(kEstimateWeight * by_estimate +
                            (1.0 - kEstimateWeight) * model.m_log_run_time)));
}

double RunTimeModel::Margin(const std::string& queue) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || found->second.m_error_samples < kMinSamples) {
    return kDefaultMargin;
  }
  return std::exp(kDeviationRatio * found->second.m_log_error);
}

void RunTimeModel::Learn(const std::string& queue,
                         Milliseconds estimate,
                         Microseconds run_time) {
  QueueModel& model = m_queues[queue];
  if (model.m_samples >= kMinSamples) {
    const double error = std::abs(Log(run_time) - Log(Expect(queue, estimate)));
    ++model.m_error_samples;
    model.m_log_error +=
        std::max(kMinSampleWeight,
                 1.0 / static_cast<double>(model.m_error_samples)) *
        (error - model.m_log_error);
  }
  ++model.m_samples;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(model.m_samples));
  const double log_time = Log(run_time);
  model.m_log_run_time += weight * (log_time - model.m_log_run_time);
  if (estimate > Milliseconds(0)) {
    const double bias = log_time - Log(estimate);
    model.m_log_bias += weight * (bias - model.m_log_bias);
  }
}

}  // namespace comfreyshift
