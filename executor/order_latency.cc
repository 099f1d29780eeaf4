#include "executor/order_latency.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// A runner answers in about a millisecond. An order without an answer after
// these times, or after kLatencyFactor times the usual latency, is lost.
constexpr Milliseconds kMinOrderTimeout{50};
constexpr Milliseconds kMaxOrderTimeout{400};
constexpr int kLatencyFactor = 6;
// Weight of one answer in the usual latency.
constexpr int kLatencyDivisor = 8;

}  // namespace

void OrderLatency::OnAnswer(StartAnswer answer, Microseconds latency) {
  if (answer == StartAnswer::kUnknown) {
    latency = std::max<Microseconds>(2 * m_usual, Milliseconds(10));
  }
  m_usual += (latency - m_usual) / kLatencyDivisor;
}

Microseconds OrderLatency::Timeout() const {
  return std::clamp<Microseconds>(kLatencyFactor * m_usual, kMinOrderTimeout,
                                  kMaxOrderTimeout);
}

}  // namespace comfreyshift
