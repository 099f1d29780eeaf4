#include "logging/event_limiter.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// An entry answers about 40 jobs a second today; bursts go through whole.
constexpr double kLinesPerSecond = 100.0;
constexpr double kBurstLines = 300.0;

}  // namespace

std::optional<uint64_t> EventLimiter::Admit(std::string_view event,
                                            MonoTime now) {
  auto found = m_buckets.find(event);
  if (found == m_buckets.end()) {
    found = m_buckets.emplace(event, Bucket{kBurstLines, now, 0}).first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = now - bucket.m_filled_at;
  bucket.m_tokens =
      std::min(kBurstLines, bucket.m_tokens + kLinesPerSecond * passed.count());
  bucket.m_filled_at = now;
  if (bucket.m_tokens < 1.0) {
    ++bucket.m_suppressed;
    ++m_suppressed;
    return std::nullopt;
  }
  bucket.m_tokens -= 1.0;
  return std::exchange(bucket.m_suppressed, 0);
}

}  // namespace comfreyshift
