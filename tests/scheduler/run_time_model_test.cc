#include "scheduler/run_time_model.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

TEST(RunTimeModelTest, UsesTheEstimateBeforeEnoughSamples) {
  const RunTimeModel model;
  EXPECT_EQ(model.Expect("q", Milliseconds(80)), Milliseconds(80));
}

// Guards against relying on estimates that are off by the same factor for all
// jobs of a queue.
TEST(RunTimeModelTest, CorrectsTheBiasOfEstimates) {
  RunTimeModel model;
  for (int i = 0; i < 200; ++i) {
    model.Learn("q", Milliseconds(100), Milliseconds(300));
  }
  const auto expected = model.Expect("q", Milliseconds(100));
  EXPECT_GT(expected, Milliseconds(290));
  EXPECT_LT(expected, Milliseconds(310));
  EXPECT_EQ(model.Expect("other", Milliseconds(100)), Milliseconds(100));
}

// Guards against a margin that a few very long runs make useless, and against
// one that does not cover the usual errors of the estimates.
TEST(RunTimeModelTest, MarginCoversUsualErrorsOnly) {
  RunTimeModel model;
  EXPECT_EQ(model.Margin("queue"), 1.25);
  for (int run = 0; run < 600; ++run) {
    const int64_t estimate = run % 2 == 0 ? 80 : 125;
    const int64_t run_time = run % 30 == 29 ? 700 : 100;
    model.Learn("queue", Milliseconds(estimate), Milliseconds(run_time));
  }
  EXPECT_GT(model.Margin("queue"), 1.1);
  EXPECT_LT(model.Margin("queue"), 1.5);
}

}  // namespace
}  // namespace comfreyshift
