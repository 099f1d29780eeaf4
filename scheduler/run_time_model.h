#ifndef SCHEDULER_RUN_TIME_MODEL_H_
#define SCHEDULER_RUN_TIME_MODEL_H_

#include <map>
#include <string>

#include "core/core.h"

namespace comfreyshift {

// Learns the run time of each queue's tasks on the median runner, and by what
// factor the clients' estimates are off.
class RunTimeModel {
 public:
  // Returns the expected run time of a task on the median runner. `estimate` is
  // the client's estimate; 0 stands for none.
  Microseconds Expect(const std::string& queue, Milliseconds estimate) const;

  // Adds a sample: a task with `estimate` was done in `run_time`, already
  // divided by the runner's slowness.
  void Learn(const std::string& queue,
             Milliseconds estimate,
             Microseconds run_time);

  // Returns the factor by which run times of the queue exceed the expected ones
  // in about one run of six: one standard deviation, if their logarithms are
  // normally distributed.
  double Margin(const std::string& queue) const;

 private:
  // Means of natural logarithms of times in microseconds: run times of one
  // queue vary by factors, so their logarithms are averaged.
  struct QueueModel {
    double m_log_run_time = 0.0;
    // Logarithm of run time / estimate.
    double m_log_bias = 0.0;
    // Mean absolute error of the expected run times' logarithms. Unlike the
    // mean square, a few runs many times as long as expected do not dominate
    // it.
    double m_log_error = 0.0;
    uint64_t m_samples = 0;
    // Samples since m_log_error is measured.
    uint64_t m_error_samples = 0;
  };

  std::map<std::string, QueueModel> m_queues;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_RUN_TIME_MODEL_H_
