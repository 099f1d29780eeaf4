#ifndef SCHEDULER_RETRY_ADVICE_H_
#define SCHEDULER_RETRY_ADVICE_H_

#include <optional>

#include "core/core.h"

namespace comfreyshift {

// When a refused client of one service should send again. Nothing is known of
// when other clients will send less, so a shortage that has lasted for a time
// is expected to last as long again.
class RetryAdvice {
 public:
  // A job is refused now. Returns when sending it again is worthwhile.
  MonoTime OnRejection(MonoTime now);

 private:
  // The first refusal of the shortage.
  MonoTime m_shortage_started_at;
  std::optional<MonoTime> m_last_rejection_at;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_RETRY_ADVICE_H_
