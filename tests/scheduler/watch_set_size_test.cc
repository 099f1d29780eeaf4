#include "scheduler/watch_set_size.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

TEST(WatchSetSizeTest, WatchesAllAgentsOfASmallFleet) {
  EXPECT_EQ(WatchSetSize().SizeFor(11), 11U);
}

// Guards against an entry that spends its CPU time on the statuses of all
// agents.
TEST(WatchSetSizeTest, WatchesAFewAgentsOfALargeFleet) {
  EXPECT_EQ(WatchSetSize().SizeFor(2400), 16U);
}

// Guards against slow growth in a burst: the whole fleet must be watched within
// a fraction of a second.
TEST(WatchSetSizeTest, GrowsQuicklyDuringAShortage) {
  WatchSetSize size;
  MonoTime now = kNow;
  for (; now < kNow + Milliseconds(150); now += Milliseconds(1)) {
    size.OnShortage(now);
  }
  EXPECT_EQ(size.SizeFor(2400), 2400U);
}

// Guards against a watch set that stays large after a burst.
TEST(WatchSetSizeTest, ShrinksSomeTimeAfterTheLastShortage) {
  WatchSetSize size;
  size.OnShortage(kNow);
  size.MaybeShrink(kNow + Milliseconds(500));
  EXPECT_EQ(size.SizeFor(2400), 24U);
  for (int i = 0; i < 100; ++i) {
    size.MaybeShrink(kNow + Milliseconds(1000 + 100 * i));
  }
  EXPECT_EQ(size.SizeFor(2400), 16U);
}

}  // namespace
}  // namespace comfreyshift
