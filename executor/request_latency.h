#ifndef EXECUTOR_REQUEST_LATENCY_H_
#define EXECUTOR_REQUEST_LATENCY_H_

#include "core/core.h"
#include "executor/runner_observation.h"

namespace comfreyshift {

// The usual time from an order to the runner's answer, and how long an answer
// is awaited. A busy process reads answers late; then all orders get more time.
class RequestLatency {
 public:
  // An order to start was answered, or given up, after `latency`.
  void AddSample(StartAnswer answer, Microseconds latency);
  // An order without an answer after this time is lost.
  Microseconds Timeout() const;

 private:
  Microseconds m_average{0};
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REQUEST_LATENCY_H_
