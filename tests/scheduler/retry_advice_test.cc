#include "scheduler/retry_advice.h"

#include <gtest/gtest.h>

#include <queue>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

TEST(RetryAdviceTest, FirstRejectionAdvisesOneSecond) {
  EXPECT_EQ(RetryAdvice().OnRejection(kNow), kNow + Milliseconds(1000));
}

// Guards against a long delay that stems from an earlier shortage.
TEST(RetryAdviceTest, DelayIsResetAfterAShortage) {
  RetryAdvice advice;
  for (int i = 0; i < 100; ++i) {
    advice.OnRejection(kNow + Milliseconds(100 * i));
  }
  const MonoTime later = kNow + Milliseconds(20'000);
  EXPECT_EQ(advice.OnRejection(later), later + Milliseconds(1000));
}

// Guards against clients that stay away long after a shortage has ended.
TEST(RetryAdviceTest, DelayIsAtMost30Seconds) {
  RetryAdvice advice;
  MonoTime now = kNow;
  for (; now < kNow + std::chrono::minutes(5); now += Milliseconds(200)) {
    advice.OnRejection(now);
  }
  EXPECT_EQ(advice.OnRejection(now), now + Milliseconds(30'000));
}

struct ReplayResult {
  uint64_t m_futile_retries = 0;
  Microseconds m_longest_extra_wait{0};
};

// Simulates ten seconds of shortage with 40 new jobs a second; each client
// retries when it was told to.
template <class Advise>
ReplayResult ReplayShortage(Advise advise) {
  const MonoTime end = kNow + Milliseconds(10'000);
  std::priority_queue<MonoTime, std::vector<MonoTime>, std::greater<>> returns;
  ReplayResult result;
  for (MonoTime now = kNow; now < end; now += Milliseconds(25)) {
    returns.push(advise(now));
    while (returns.top() <= now) {
      returns.pop();
      ++result.m_futile_retries;
      returns.push(advise(now));
    }
  }
  while (!returns.empty()) {
    result.m_longest_extra_wait =
        std::max(result.m_longest_extra_wait, returns.top() - end);
    returns.pop();
  }
  return result;
}

// Guards against a constant Retry-After of one second, with which most clients
// were rejected several more times during a long shortage.
TEST(RetryAdviceTest, FewClientsRetryBeforeAShortageHasEnded) {
  RetryAdvice advice;
  const ReplayResult with_advice =
      ReplayShortage([&](MonoTime now) { return advice.OnRejection(now); });
  const ReplayResult every_second =
      ReplayShortage([](MonoTime now) { return now + Milliseconds(1000); });
  EXPECT_LT(with_advice.m_futile_retries, 400U);
  EXPECT_GT(every_second.m_futile_retries, 1700U);
  EXPECT_LE(with_advice.m_longest_extra_wait, Milliseconds(10'000));
}

}  // namespace
}  // namespace comfreyshift
