#include "executor/request_latency.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// A runner responds in about a millisecond. A request counts as lost after
// kLatencyFactor times the average latency, but within these bounds.
constexpr Milliseconds kMinRequestTimeout{50};
constexpr Milliseconds kMaxRequestTimeout{400};
constexpr int kLatencyFactor = 6;
// Minimum time until the first retry, and the same after a recent loss of
// requests.
constexpr Milliseconds kMinRetryDelay{20};
constexpr Milliseconds kMinRetryDelayAfterLoss{10};
// The first retry follows after this many times the average latency at least.
constexpr int kRetryLatencyFactor = 4;
// Weight of one sample in the average latency is 1 / kLatencyDivisor.
constexpr int kLatencyDivisor = 8;

}  // namespace

void RequestLatency::AddSample(Microseconds latency) {
  m_average += (latency - m_average) / kLatencyDivisor;
}

void RequestLatency::AddTimeout() {
  AddSample(std::max<Microseconds>(2 * m_average, Milliseconds(10)));
}

Microseconds RequestLatency::Timeout() const {
  return std::clamp<Microseconds>(kLatencyFactor * m_average,
                                  kMinRequestTimeout, kMaxRequestTimeout);
}

// The delay doubles from the second retry on: a runner that responds slowly is
// not taken for one that loses requests.
Microseconds RequestLatency::RetryDelay(uint32_t retries,
                                        bool is_loss_recent) const {
  const Microseconds first = std::max<Microseconds>(
      kRetryLatencyFactor * m_average,
      is_loss_recent ? kMinRetryDelayAfterLoss : kMinRetryDelay);
  const Microseconds delay =
      retries < 2 ? first : first * (int64_t{1} << std::min(retries - 1, 8U));
  return std::min(delay, Timeout());
}

}  // namespace comfreyshift
