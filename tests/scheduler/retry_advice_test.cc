#include "scheduler/retry_advice.h"

#include <gtest/gtest.h>

#include <queue>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

TEST(RetryAdviceTest, AFirstRefusalIsForASecond) {
  EXPECT_EQ(RetryAdvice().OnRejection(kNow), kNow + Milliseconds(1000));
}

TEST(RetryAdviceTest, AShortageThatEndedIsForgotten) {
  RetryAdvice advice;
  for (int i = 0; i < 100; ++i) {
    advice.OnRejection(kNow + Milliseconds(100 * i));
  }
  const MonoTime later = kNow + Milliseconds(20'000);
  EXPECT_EQ(advice.OnRejection(later), later + Milliseconds(1000));
}

TEST(RetryAdviceTest, NobodyIsSentAwayForMoreThanHalfAMinute) {
  RetryAdvice advice;
  MonoTime now = kNow;
  for (; now < kNow + std::chrono::minutes(5); now += Milliseconds(200)) {
    advice.OnRejection(now);
  }
  EXPECT_EQ(advice.OnRejection(now), now + Milliseconds(30'000));
}

struct ReplayResult {
  uint64_t m_futile = 0;
  Microseconds m_longest_overstay{0};
};

// Forty new jobs a second find no room for ten seconds; each client comes back
// when it is told to.
template <class Advise>
ReplayResult ReplayShortage(Advise advise) {
  const MonoTime end = kNow + Milliseconds(10'000);
  std::priority_queue<MonoTime, std::vector<MonoTime>, std::greater<>> returns;
  ReplayResult result;
  for (MonoTime now = kNow; now < end; now += Milliseconds(25)) {
    returns.push(advise(now));
    while (returns.top() <= now) {
      returns.pop();
      ++result.m_futile;
      returns.push(advise(now));
    }
  }
  while (!returns.empty()) {
    result.m_longest_overstay =
        std::max(result.m_longest_overstay, returns.top() - end);
    returns.pop();
  }
  return result;
}

// Guards against a Retry-After of one second all through a long shortage, with
// which most clients came back to be refused again several times.
TEST(RetryAdviceTest, FewComeBackBeforeAShortageHasEnded) {
  RetryAdvice advice;
  const ReplayResult with_advice =
      ReplayShortage([&](MonoTime now) { return advice.OnRejection(now); });
  const ReplayResult every_second =
      ReplayShortage([](MonoTime now) { return now + Milliseconds(1000); });
  EXPECT_LT(with_advice.m_futile, 400U);
  EXPECT_GT(every_second.m_futile, 1700U);
  EXPECT_LE(with_advice.m_longest_overstay, Milliseconds(10'000));
}

}  // namespace
}  // namespace comfreyshift
