#include "scheduler/watch_size.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// An agent that is followed anew needs a round trip before it can be chosen.
constexpr Milliseconds kGrowPause{10};
constexpr Milliseconds kCalmTime{1000};
constexpr Milliseconds kShrinkPause{200};
constexpr size_t kLargest = 4096;

}  // namespace

void WatchSize::OnShortage(MonoTime now) {
  m_shrink_at = now + kCalmTime;
  if (now >= m_grow_at) {
    m_size = std::min(kLargest, m_size + m_size / 2);
    m_grow_at = now + kGrowPause;
  }
}

void WatchSize::Relax(MonoTime now) {
  if (m_size > kSmallest && now >= m_shrink_at) {
    m_size = std::max(kSmallest, m_size - m_size / 8);
    m_shrink_at = now + kShrinkPause;
  }
}

size_t WatchSize::Of(size_t agents) const {
  return std::min(agents, m_size);
}

}  // namespace comfreyshift
