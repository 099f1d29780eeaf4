#ifndef EXECUTOR_REQUEST_LATENCY_H_
#define EXECUTOR_REQUEST_LATENCY_H_

#include "core/core.h"
#include "executor/runner_observation.h"

namespace comfreyshift {

// Tracks the average latency of requests to the runner and derives their
// timeout. A busy process reads responses late, and then all requests get more
// time.
class RequestLatency {
 public:
  // Adds a sample: a start request ended with `result` after `latency`.
  void AddSample(StartResult result, Microseconds latency);
  // Returns how long to wait for a response before the request counts as lost.
  Microseconds Timeout() const;

 private:
  Microseconds m_average{0};
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REQUEST_LATENCY_H_
