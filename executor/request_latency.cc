#include "executor/request_latency.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// A runner answers in about a millisecond. An order without an answer after
// these times, or after kLatencyFactor times the usual latency, is lost.
constexpr Milliseconds kMinRequestTimeout{50};
constexpr Milliseconds kMaxRequestTimeout{400};
constexpr int kLatencyFactor = 6;
// Weight of one answer in the usual latency.
constexpr int kLatencyDivisor = 8;

}  // namespace

void RequestLatency::AddSample(StartAnswer answer, Microseconds latency) {
  if (answer == StartAnswer::kUnknown) {
    latency = std::max<Microseconds>(2 * m_average, Milliseconds(10));
  }
  m_average += (latency - m_average) / kLatencyDivisor;
}

Microseconds RequestLatency::Timeout() const {
  return std::clamp<Microseconds>(kLatencyFactor * m_average,
                                  kMinRequestTimeout, kMaxRequestTimeout);
}

}  // namespace comfreyshift
