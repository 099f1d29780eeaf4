#ifndef EXECUTOR_REQUEST_LATENCY_H_
#define EXECUTOR_REQUEST_LATENCY_H_

#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// Tracks the average latency of requests to the runner and derives their
// timeout. A busy process reads responses late, and then all requests get more
// time.
class RequestLatency {
 public:
  // Adds the latency of a request that got a response.
  void AddSample(Microseconds latency);
  // A request and all its retries got no response.
  void AddTimeout();
  // Returns how long to wait for a response before a request with all its
  // retries counts as lost.
  Microseconds Timeout() const;
  // Returns how long to wait for a response before the request is sent again,
  // after `retries` retries. `is_loss_recent` says whether the runner has left
  // requests without a response recently.
  Microseconds RetryDelay(uint32_t retries, bool is_loss_recent) const;

 private:
  Microseconds m_average{0};
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REQUEST_LATENCY_H_
