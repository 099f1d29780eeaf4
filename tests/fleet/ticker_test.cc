#include "fleet/ticker.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr Milliseconds kFarAway{10'000};

void RunTurns(int turns) {
  for (int i = 0; i < turns; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

TEST(TickerTest, CallsOnceForManyWakes) {
  int ticks = 0;
  Ticker ticker([&ticks](MonoTime now) {
    ++ticks;
    return now + kFarAway;
  });
  RunTurns(5);
  ticks = 0;
  ticker.Wake();
  ticker.Wake();
  EXPECT_EQ(ticks, 0);
  RunTurns(5);
  EXPECT_EQ(ticks, 1);
}

// Guards against a tick within a tick, and against a wake that is lost.
TEST(TickerTest, AWakeDuringATickCallsOnceMoreAfterIt) {
  int ticks = 0;
  bool is_ticking = false;
  Ticker* self = nullptr;
  Ticker ticker([&](MonoTime now) {
    EXPECT_FALSE(is_ticking);
    is_ticking = true;
    if (++ticks == 2) {
      self->Wake();
    }
    is_ticking = false;
    return now + kFarAway;
  });
  self = &ticker;
  RunTurns(5);
  EXPECT_EQ(ticks, 1);
  ticker.Wake();
  RunTurns(10);
  EXPECT_EQ(ticks, 3);
}

TEST(TickerTest, CallsWhenItsDeadlineIsDue) {
  int ticks = 0;
  const Ticker ticker([&ticks](MonoTime now) {
    ++ticks;
    return now + Milliseconds(5);
  });
  const MonoTime end = BootClock::now() + Milliseconds(200);
  while (ticks < 3 && BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
  }
  EXPECT_EQ(ticks, 3);
}

TEST(TickerTest, ADestroyedTickerIsNotCalled) {
  int ticks = 0;
  {
    Ticker ticker([&ticks](MonoTime now) {
      ++ticks;
      return now + kFarAway;
    });
    RunTurns(3);
    ticker.Wake();
  }
  RunTurns(5);
  EXPECT_EQ(ticks, 1);
}

}  // namespace
}  // namespace comfreyshift
