#include "scheduler/watch_set_size.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// An agent new in the watch set can be chosen only after a round trip.
constexpr Milliseconds kGrowInterval{10};
constexpr Milliseconds kShrinkDelay{1000};
constexpr Milliseconds kShrinkInterval{200};
constexpr size_t kMaxSize = 4096;

}  // namespace

void WatchSetSize::OnShortage(MonoTime now) {
  m_shrink_at = now + kShrinkDelay;
  if (now >= m_grow_at) {
    m_size = std::min(kMaxSize, m_size + m_size / 2);
    m_grow_at = now + kGrowInterval;
  }
}

void WatchSetSize::MaybeShrink(MonoTime now) {
  if (m_size > kMinSize && now >= m_shrink_at) {
    m_size = std::max(kMinSize, m_size - m_size / 8);
    m_shrink_at = now + kShrinkInterval;
  }
}

size_t WatchSetSize::SizeFor(size_t agents) const {
  return std::min(agents, m_size);
}

}  // namespace comfreyshift
