#ifndef STORE_CALL_BUDGET_H_
#define STORE_CALL_BUDGET_H_

#include "core/core.h"

namespace comfreyshift {

struct CallBudgetSettings {
  // Calls per second that the process may make in the long run; above 0.
  double m_calls_per_second = 50;
  // Calls that it may make at once after a pause; at least 1.
  double m_burst = 100;
};

// Token bucket over the calls to the store, whose rate all processes share.
class CallBudget {
 public:
  // The bucket is full at first.
  explicit CallBudget(const CallBudgetSettings& settings);

  // Takes one token, or returns false and takes nothing.
  bool TryTake(MonoTime now);

 private:
  Microseconds m_refill_of_one;
  Microseconds m_refill_of_all;
  // When the bucket is full again if no more is taken.
  MonoTime m_full_at;
};

}  // namespace comfreyshift

#endif  // STORE_CALL_BUDGET_H_
