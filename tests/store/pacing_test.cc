#include <gtest/gtest.h>

#include "store/backoff.h"
#include "store/call_budget.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

// Guards against a budget that lets more calls through in the long run than
// its rate, or that stays spent.
TEST(CallBudgetTest, AllowsBurstThenRate) {
  CallBudget budget({.m_calls_per_second = 10, .m_burst = 5});
  MonoTime start = MonoTime(1h);
  int taken = 0;
  for (MonoTime now = start; now < start + 10s; now += 1ms) {
    taken += budget.TryTake(now) ? 1 : 0;
  }
  EXPECT_GE(taken, 5 + 99);
  EXPECT_LE(taken, 5 + 100);
}

// Guards against waits that do not grow, exceed the longest wait, or are the
// same in two processes.
TEST(BackoffTest, GrowsWithJitterUpToTheLongestWait) {
  BackoffSettings settings{.m_first = 100ms, .m_longest = 1000ms};
  Backoff one(settings, 1);
  Backoff other(settings, 2);
  MonoTime now = MonoTime(1h);
  Microseconds bound = 100ms;
  int equal = 0;
  for (int i = 0; i < 100; ++i) {
    MonoTime next = one.Next(now);
    equal += next == other.Next(now) ? 1 : 0;
    EXPECT_GE(next - now, bound / 2);
    EXPECT_LE(next - now, bound);
    bound = std::min<Microseconds>(2 * bound, 1000ms);
  }
  EXPECT_LT(equal, 5);
}

}  // namespace
}  // namespace comfreyshift
