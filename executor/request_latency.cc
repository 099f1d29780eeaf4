#include "executor/request_latency.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// A runner responds in about a millisecond. A request counts as lost after
// kLatencyFactor times the average latency, but within these bounds.
constexpr Milliseconds kMinRequestTimeout{50};
constexpr Milliseconds kMaxRequestTimeout{400};
constexpr int kLatencyFactor = 6;
// Weight of one sample in the average latency is 1 / kLatencyDivisor.
constexpr int kLatencyDivisor = 8;

}  // namespace

void RequestLatency::AddSample(StartResult result, Microseconds latency) {
  if (result == StartResult::kUnknown) {
    latency = std::max<Microseconds>(2 * m_average, Milliseconds(10));
  }
  m_average += (latency - m_average) / kLatencyDivisor;
}

Microseconds RequestLatency::Timeout() const {
  return std::clamp<Microseconds>(kLatencyFactor * m_average,
                                  kMinRequestTimeout, kMaxRequestTimeout);
}

}  // namespace comfreyshift
