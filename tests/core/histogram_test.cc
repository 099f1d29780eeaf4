#include "core/histogram.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

// Guards against percentiles that drift: the error bound is part of the
// interface.
TEST(HistogramTest, QuantilesStayWithinTheStatedError) {
  Histogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Record(Microseconds(i));
  }
  for (const double q : {0.01, 0.5, 0.9, 0.99, 1.0}) {
    const double exact = q * 100'000;
    const auto estimate = static_cast<double>(histogram.Quantile(q).count());
    EXPECT_GE(estimate, exact - 1);
    EXPECT_LE(estimate, exact * 1.016 + 1);
  }
}

TEST(HistogramTest, EmptyHistogramReportsZero) {
  const Histogram histogram;
  EXPECT_EQ(histogram.Quantile(0.99), Microseconds(0));
  EXPECT_EQ(histogram.Mean(), Microseconds(0));
}

}  // namespace
}  // namespace comfreyshift
