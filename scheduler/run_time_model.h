#ifndef SCHEDULER_RUN_TIME_MODEL_H_
#define SCHEDULER_RUN_TIME_MODEL_H_

#include <map>
#include <string>

#include "core/core.h"

namespace comfreyshift {

// Learns how long the tasks of each queue run on a runner of usual speed, and
// how far the clients' estimates are off.
class RunTimeModel {
 public:
  // Returns the expected run time of a task for which a client estimates
  // `estimate`; 0 stands for no estimate.
  Microseconds Expect(const std::string& queue, Milliseconds estimate) const;

  // A task with `estimate` was done in `run_time`, already divided by the
  // runner's slowness.
  void Learn(const std::string& queue,
             Milliseconds estimate,
             Microseconds run_time);

 private:
  // Means of natural logarithms of microseconds, since run times of one queue
  // vary by factors.
  struct QueueModel {
    double m_log_run_time = 0.0;
    // Of run time / estimate.
    double m_log_bias = 0.0;
    uint64_t m_samples = 0;
  };

  std::map<std::string, QueueModel> m_queues;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_RUN_TIME_MODEL_H_
