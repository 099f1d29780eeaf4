#include "store/call_budget.h"

#include <algorithm>
#include <chrono>

namespace comfreyshift {

namespace {

Microseconds RefillTime(double tokens, double tokens_per_second) {
  std::chrono::duration<double> time(tokens / tokens_per_second);
  return std::chrono::duration_cast<Microseconds>(time);
}

}  // namespace

CallBudget::CallBudget(const CallBudgetSettings& settings)
    : m_refill_of_one(RefillTime(1, settings.m_calls_per_second)),
      m_refill_of_all(
          RefillTime(settings.m_burst, settings.m_calls_per_second)) {}

bool CallBudget::TryTake(MonoTime now) {
  MonoTime full_at = std::max(m_full_at, now) + m_refill_of_one;
  if (full_at > now + m_refill_of_all) {
    return false;
  }
  m_full_at = full_at;
  return true;
}

}  // namespace comfreyshift
