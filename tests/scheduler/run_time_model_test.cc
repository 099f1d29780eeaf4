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

}  // namespace
}  // namespace comfreyshift
