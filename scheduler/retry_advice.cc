#include "scheduler/retry_advice.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Jobs run for under a second, so capacity becomes free within that time.
constexpr Milliseconds kMinRetryAfter{1000};
// Bounds how long a client stays away after a shortage has ended.
constexpr Milliseconds kMaxRetryAfter{30'000};
// A shortage has ended when no job was rejected for this long.
constexpr Milliseconds kShortageEndDelay{1000};

}  // namespace

MonoTime RetryAdvice::OnRejection(MonoTime now) {
  if (!m_last_rejection_at || now >= *m_last_rejection_at + kShortageEndDelay) {
    m_shortage_started_at = now;
  }
  m_last_rejection_at = now;
  return now + std::clamp<Microseconds>(now - m_shortage_started_at,
                                        kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace comfreyshift
