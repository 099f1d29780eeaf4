#include "placement/retry_budget.h"

#include <algorithm>

namespace comfreyshift {
namespace {

constexpr uint32_t kTenthsPerRetry = 10;

// Limit on the earned retries that accumulate while none is used.
constexpr uint32_t kMaxTenths = 100 * kTenthsPerRetry;

// One retry per period is allowed whatever the number of requests.
constexpr Microseconds kFloorPeriod = std::chrono::seconds(1);

}  // namespace

void RetryBudget::OnRequest() {
  m_tenths = std::min(m_tenths + 1, kMaxTenths);
}

bool RetryBudget::TryRetry(MonoTime now) {
  if (m_tenths >= kTenthsPerRetry) {
    m_tenths -= kTenthsPerRetry;
    return true;
  }
  if (now < m_floor_at) {
    return false;
  }
  m_floor_at = now + kFloorPeriod;
  return true;
}

}  // namespace comfreyshift
