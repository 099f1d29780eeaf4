#include "placement/retry_budget.h"

#include <algorithm>

namespace comfreyshift {
namespace {

constexpr uint32_t kTenthsPerRetry = 10;

// Earned retries that may be saved up.
constexpr uint32_t kMaxTenths = 100 * kTenthsPerRetry;

// The floor: one retry in this time, whatever the number of requests.
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
