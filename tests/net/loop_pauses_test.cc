#include "net/loop_pauses.h"

#include <glib.h>
#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr Milliseconds kPause{60};

gboolean Sleep(gpointer) {
  g_usleep(std::chrono::microseconds(kPause).count());
  return G_SOURCE_REMOVE;
}

void RunMainLoop(int iterations) {
  for (int i = 0; i < iterations; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

// Guards against a pause that cannot be seen in the logs afterwards.
TEST(LoopPausesTest, RemembersAPauseAndWhenItEnded) {
  const LoopPauses pauses;
  RunMainLoop(2);
  const MonoTime before = BootClock::now();
  g_idle_add(&Sleep, nullptr);
  RunMainLoop(3);
  EXPECT_GE(pauses.LongestSince(before), kPause);
  EXPECT_EQ(pauses.LongestSince(BootClock::now()), Microseconds(0));
}

// Guards against waits for events that are taken for pauses.
TEST(LoopPausesTest, WaitingForEventsIsNoPause) {
  const LoopPauses pauses;
  RunMainLoop(2);
  const MonoTime before = BootClock::now();
  g_timeout_add(
      static_cast<guint>(kPause.count()),
      [](gpointer) -> gboolean { return G_SOURCE_REMOVE; }, nullptr);
  g_main_context_iteration(nullptr, TRUE);
  RunMainLoop(2);
  EXPECT_EQ(pauses.LongestSince(before), Microseconds(0));
}

}  // namespace
}  // namespace comfreyshift
