#include "fleet/process_signals.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace comfreyshift {
namespace {

void RunPendingEvents() {
  // GLib hands a signal to the loop from a thread of its own.
  g_usleep(50'000);
  while (g_main_context_iteration(nullptr, FALSE) == TRUE) {
  }
}

TEST(ProcessSignalsTest, ASignalBeforeItsHandlerIsKeptForIt) {
  TakeOverSignals();
  raise(SIGHUP);
  RunPendingEvents();
  int calls = 0;
  SetReloadHandler([&calls]() { ++calls; });
  RunPendingEvents();
  EXPECT_EQ(calls, 1);
  raise(SIGHUP);
  RunPendingEvents();
  EXPECT_EQ(calls, 2);
  SetReloadHandler(nullptr);
}

TEST(ProcessSignalsTest, ASignalAfterItsHandlerIsRemovedEndsNothing) {
  int calls = 0;
  SetStopHandler([&calls]() { ++calls; });
  SetStopHandler(nullptr);
  raise(SIGTERM);
  raise(SIGINT);
  RunPendingEvents();
  EXPECT_EQ(calls, 0);
}

// The default action of SIGPIPE would end a process whose peer has gone.
TEST(ProcessSignalsTest, AWriteToAClosedPipeFails) {
  TakeOverSignals();
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  close(ends[0]);
  EXPECT_EQ(write(ends[1], "x", 1), -1);
  EXPECT_EQ(errno, EPIPE);
  close(ends[1]);
}

}  // namespace
}  // namespace comfreyshift
