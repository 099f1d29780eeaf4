#ifndef LOGGING_EVENT_LIMITER_H_
#define LOGGING_EVENT_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"

namespace comfreyshift {

// Bounds the lines of each kind of event, so that logs stay small under load
// and frequent events do not crowd out rare ones. Each kind has a token bucket.
class EventLimiter {
 public:
  // Returns how many lines of this kind were left out since the last one, or
  // nothing if this one is left out as well.
  std::optional<uint64_t> Admit(std::string_view event, MonoTime now);

  // Lines left out so far.
  uint64_t suppressed() const { return m_suppressed; }

 private:
  struct Bucket {
    double m_tokens = 0.0;
    MonoTime m_filled_at;
    uint64_t m_suppressed = 0;
  };

  std::map<std::string, Bucket, std::less<>> m_buckets;
  uint64_t m_suppressed = 0;
};

}  // namespace comfreyshift

#endif  // LOGGING_EVENT_LIMITER_H_
