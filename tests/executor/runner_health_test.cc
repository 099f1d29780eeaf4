#include "executor/runner_health.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr Microseconds kExpected{50'000};

// Guards against a runner that looks slow because of a few long runs: one task
// in thirty took seven times as long as expected, and every runner looked
// between 0.4 and 2.4 times as slow as it was.
TEST(RunnerHealthTest, FewLongRunsDoNotMakeARunnerLookSlow) {
  constexpr int kTailInterval = 30;
  RunnerHealth health;
  for (int run = 0; run < 600; ++run) {
    const bool is_long = run % kTailInterval == kTailInterval - 1;
    health.OnDone(is_long ? 7 * kExpected : kExpected, kExpected, MonoTime());
    EXPECT_LT(health.slowness(), 1.1);
  }
}

// Guards against a slow runner that is found out too late or never.
TEST(RunnerHealthTest, SlowRunnerIsFoundWithinAHundredRuns) {
  RunnerHealth health;
  for (int run = 0; run < 100; ++run) {
    health.OnDone(3 * kExpected, kExpected, MonoTime());
  }
  EXPECT_GT(health.slowness(), 2.7);
  EXPECT_LT(health.slowness(), 3.3);
  for (int run = 0; run < 100; ++run) {
    health.OnDone(kExpected, kExpected, MonoTime());
  }
  EXPECT_LT(health.slowness(), 1.1);
}

// Guards against progress that is taken for evidence although the run is not
// behind.
TEST(RunnerHealthTest, ProgressCountsOnlyOnceTheRunIsBehind) {
  RunnerHealth health;
  EXPECT_FALSE(health.OnProgress(kExpected, 10.0, kExpected));
  EXPECT_FALSE(health.OnProgress(2 * kExpected, 100.0, kExpected));
  EXPECT_EQ(health.slowness(), 1.0);
  EXPECT_TRUE(health.OnProgress(2 * kExpected, 10.0, kExpected));
  EXPECT_GT(health.slowness(), 1.0);
}

}  // namespace
}  // namespace comfreyshift
