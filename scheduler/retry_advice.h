#ifndef SCHEDULER_RETRY_ADVICE_H_
#define SCHEDULER_RETRY_ADVICE_H_

#include <optional>

#include "core/core.h"

namespace comfreyshift {

// Computes when a rejected client of one service should send its job again. It
// is unknown when the load of other clients will drop, so a shortage that has
// lasted for a time is expected to last as long again.
class RetryAdvice {
 public:
  // Records that a job is rejected now. Returns when to send it again.
  MonoTime OnRejection(MonoTime now);

 private:
  // When the first job of the current shortage was rejected.
  MonoTime m_shortage_started_at;
  std::optional<MonoTime> m_last_rejection_at;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_RETRY_ADVICE_H_
