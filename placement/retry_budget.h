#ifndef PLACEMENT_RETRY_BUDGET_H_
#define PLACEMENT_RETRY_BUDGET_H_

#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// Limits retries to a tenth of the requests, so that a failure does not
// multiply the load. A floor of one retry a second lets a caller with few
// requests retry at all.
class RetryBudget {
 public:
  explicit RetryBudget(MonoTime now) : m_floor_at(now) {}

  // Counts the first attempt of a request.
  void OnRequest();

  // Takes one retry. Returns false when the budget is spent.
  bool TryRetry(MonoTime now);

 private:
  // Retries earned by requests, in tenths of a retry.
  uint32_t m_tenths = 0;
  // When the floor allows its next retry.
  MonoTime m_floor_at;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_RETRY_BUDGET_H_
