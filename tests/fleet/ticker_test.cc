#include "fleet/ticker.h"

#include <gtest/gtest.h>

#include "tests/standins/busy_loop.h"

namespace comfreyshift {
namespace {

constexpr Milliseconds kFarAway{10'000};

void RunMainLoop(int iterations) {
  for (int i = 0; i < iterations; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

// Guards against one tick for each wake, and against a tick from within Wake.
TEST(TickerTest, CombinesWakesIntoOneTick) {
  int ticks = 0;
  Ticker ticker([&ticks](MonoTime now) {
    ++ticks;
    return now + kFarAway;
  });
  RunMainLoop(5);
  ticks = 0;
  ticker.Wake();
  ticker.Wake();
  EXPECT_EQ(ticks, 0);
  RunMainLoop(5);
  EXPECT_EQ(ticks, 1);
}

// Guards against nested ticks, and against losing a wake during a tick.
TEST(TickerTest, AWakeDuringATickCausesOneMoreTick) {
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
  RunMainLoop(5);
  EXPECT_EQ(ticks, 1);
  ticker.Wake();
  RunMainLoop(10);
  EXPECT_EQ(ticks, 3);
}

// Guards against a scheduler that stands still for as long as input keeps
// coming, because its last tick asked for another one.
TEST(TickerTest, TicksAgainWhileTheLoopIsBusy) {
  int ticks = 0;
  Ticker* self = nullptr;
  Ticker ticker([&](MonoTime now) {
    if (++ticks == 2) {
      self->Wake();
    }
    return now + kFarAway;
  });
  self = &ticker;
  RunMainLoop(5);
  const BusyLoop busy_loop;
  ticker.Wake();
  RunMainLoop(10);
  EXPECT_EQ(ticks, 3);
}

// Guards against deadlines that are missed without a wake.
TEST(TickerTest, TicksWhenADeadlineIsDue) {
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

// Guards against a pending wake that uses a destroyed ticker.
TEST(TickerTest, DoesNotTickAfterItsDestruction) {
  int ticks = 0;
  {
    Ticker ticker([&ticks](MonoTime now) {
      ++ticks;
      return now + kFarAway;
    });
    RunMainLoop(3);
    ticker.Wake();
  }
  RunMainLoop(5);
  EXPECT_EQ(ticks, 1);
}

}  // namespace
}  // namespace comfreyshift
