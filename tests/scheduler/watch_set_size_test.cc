#include "scheduler/watch_set_size.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

TEST(WatchSizeTest, FollowsAllOfASmallFleet) {
  EXPECT_EQ(WatchSetSize().Of(11), 11U);
}

TEST(WatchSizeTest, FollowsAFewOfALargeFleet) {
  EXPECT_EQ(WatchSetSize().Of(2400), 16U);
}

// In a burst the whole fleet must be within reach in a fraction of a second.
TEST(WatchSizeTest, GrowsFastWhileTasksFindNoRoom) {
  WatchSetSize size;
  MonoTime now = kNow;
  for (; now < kNow + Milliseconds(150); now += Milliseconds(1)) {
    size.OnShortage(now);
  }
  EXPECT_EQ(size.Of(2400), 2400U);
}

TEST(WatchSizeTest, ShrinksSomeTimeAfterTheLastShortage) {
  WatchSetSize size;
  size.OnShortage(kNow);
  size.MaybeShrink(kNow + Milliseconds(500));
  EXPECT_EQ(size.Of(2400), 24U);
  for (int i = 0; i < 100; ++i) {
    size.MaybeShrink(kNow + Milliseconds(1000 + 100 * i));
  }
  EXPECT_EQ(size.Of(2400), 16U);
}

}  // namespace
}  // namespace comfreyshift
