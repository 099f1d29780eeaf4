#ifndef PLACEMENT_RETRY_BUDGET_H_
#define PLACEMENT_RETRY_BUDGET_H_

#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// Limits retries to a tenth of the requests, so that a failure does not
// multiply the load. A floor lets a caller with few requests retry at all.
class RetryBudget {
 public:
  explicit RetryBudget(MonoTime now) : m_floor_at(now) {}

  // Counts one first try.
  void OnRequest();

  // Takes one retry. Returns false when the budget is spent.
  bool TryRetry(MonoTime now);

 private:
  // Tenths of retries that requests earned.
  uint32_t m_tenths = 0;
  // When the floor allows its next retry.
  MonoTime m_floor_at;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_RETRY_BUDGET_H_
