#include "scheduler/retry_advice.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Jobs run for under a second, so room comes free within one.
constexpr Milliseconds kMinWait{1000};
// A client should not stay away for long after a shortage has ended.
constexpr Milliseconds kMaxWait{30'000};
// A shortage has ended when nothing was refused for this long.
constexpr Milliseconds kCalmTime{1000};

}  // namespace

MonoTime RetryAdvice::OnRefusal(MonoTime now) {
  if (!m_last || now >= *m_last + kCalmTime) {
    m_since = now;
  }
  m_last = now;
  return now + std::clamp<Microseconds>(now - m_since, kMinWait, kMaxWait);
}

}  // namespace comfreyshift
