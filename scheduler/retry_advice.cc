#include "scheduler/retry_advice.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Jobs run for under a second, so room comes free within one.
constexpr Milliseconds kMinRetryDelay{1000};
// A client should not stay away for long after a shortage has ended.
constexpr Milliseconds kMaxRetryDelay{30'000};
// A shortage has ended when nothing was refused for this long.
constexpr Milliseconds kShortageEndDelay{1000};

}  // namespace

MonoTime RetryAdvice::OnRejection(MonoTime now) {
  if (!m_last_rejection_at || now >= *m_last_rejection_at + kShortageEndDelay) {
    m_shortage_started_at = now;
  }
  m_last_rejection_at = now;
  return now + std::clamp<Microseconds>(now - m_shortage_started_at,
                                        kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace comfreyshift
