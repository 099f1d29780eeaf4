#ifndef EXECUTOR_REQUEST_LOSS_H_
#define EXECUTOR_REQUEST_LOSS_H_

#include <algorithm>

#include "core/core.h"

namespace comfreyshift {

// Tells whether the runner has recently left requests without a response.
// While it does, requests are retried soon instead of being waited for.
class RequestLoss {
 public:
  // A request got no response in time.
  void OnNoResponse(MonoTime now) {
    m_is_recent_until = std::max(m_is_recent_until, now + kMemory);
  }
  bool IsRecent(MonoTime now) const { return now < m_is_recent_until; }

 private:
  // A runner that loses a few requests in a hundred shows it again within this
  // time if it runs tasks.
  static constexpr Milliseconds kMemory{2000};

  MonoTime m_is_recent_until;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REQUEST_LOSS_H_
