#include "fleet/process_signals.h"

#include <glib-unix.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>

namespace comfreyshift {
namespace {

gboolean SetFlag(gpointer flag) {
  *static_cast<bool*>(flag) = true;
  return G_SOURCE_REMOVE;
}

// GLib hands a signal to all of its sources from a thread of its own, at a time
// that depends on the machine's load. A source of the test's own tells when.
void RaiseAndDispatch(int signal) {
  bool is_dispatched = false;
  g_unix_signal_add(signal, &SetFlag, &is_dispatched);
  raise(signal);
  while (!is_dispatched) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

// Runs what is ready, a bounded number of times: a busy loop never ends.
void RunReadyEvents() {
  constexpr int kIterations = 100;
  for (int i = 0; i < kIterations; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

TEST(ProcessSignalsTest, ASignalBeforeItsHandlerIsKeptForIt) {
  TakeOverSignals();
  RaiseAndDispatch(SIGHUP);
  int calls = 0;
  SetReloadHandler([&calls]() { ++calls; });
  RunReadyEvents();
  EXPECT_EQ(calls, 1);
  RaiseAndDispatch(SIGHUP);
  RunReadyEvents();
  EXPECT_EQ(calls, 2);
  SetReloadHandler(nullptr);
}

gboolean StayBusy(gpointer) {
  return G_SOURCE_CONTINUE;
}

// A stop that waits until an overloaded process has nothing else to do ends in
// SIGKILL.
TEST(ProcessSignalsTest, AKeptSignalIsHandledWhileTheLoopIsBusy) {
  TakeOverSignals();
  RaiseAndDispatch(SIGTERM);
  const guint busy =
      g_idle_add_full(G_PRIORITY_DEFAULT, &StayBusy, nullptr, nullptr);
  int calls = 0;
  SetStopHandler([&calls]() { ++calls; });
  RunReadyEvents();
  EXPECT_EQ(calls, 1);
  SetStopHandler(nullptr);
  g_source_remove(busy);
}

TEST(ProcessSignalsTest, ASignalAfterItsHandlerIsRemovedEndsNothing) {
  int calls = 0;
  SetStopHandler([&calls]() { ++calls; });
  SetStopHandler(nullptr);
  RaiseAndDispatch(SIGTERM);
  RaiseAndDispatch(SIGINT);
  RunReadyEvents();
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

// The default action of SIGXFSZ would end a process whose log has reached the
// limit on the size of files.
TEST(ProcessSignalsTest, AWriteBeyondTheFileSizeLimitFails) {
  TakeOverSignals();
  std::FILE* file = std::tmpfile();
  ASSERT_NE(file, nullptr);
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &before), 0);
  const rlimit none{0, before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &none), 0);
  const ssize_t written = write(fileno(file), "x", 1);
  const int error = errno;
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_EQ(written, -1);
  EXPECT_EQ(error, EFBIG);
  std::fclose(file);
}

}  // namespace
}  // namespace comfreyshift
