#include "store/backoff.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// 2^20 times any first wait is above any longest wait in use.
constexpr int kMaxDoublings = 20;

}  // namespace

Backoff::Backoff(const BackoffSettings& settings, uint64_t seed)
    : m_settings(settings),
      m_random(static_cast<std::minstd_rand::result_type>(seed)) {}

MonoTime Backoff::Next(MonoTime now) {
  Microseconds wait = m_settings.m_first * (int64_t{1} << m_failures);
  wait = std::min<Microseconds>(wait, m_settings.m_longest);
  m_failures = std::min(m_failures + 1, kMaxDoublings);
  std::uniform_int_distribution<int64_t> part(wait.count() / 2, wait.count());
  return now + Microseconds(part(m_random));
}

}  // namespace comfreyshift
