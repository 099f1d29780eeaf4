#include "fleet/process_signals.h"

#include <glib-unix.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>

#include "tests/standins/busy_loop.h"

namespace comfreyshift {
namespace {

gboolean SetFlag(gpointer flag) {
  *static_cast<bool*>(flag) = true;
  return G_SOURCE_REMOVE;
}

// GLib forwards a signal to all of its sources from a worker thread, after a
// delay that depends on the load. A signal source added here shows when that
// has happened.
void RaiseAndDispatch(int signal) {
  bool is_dispatched = false;
  g_unix_signal_add(signal, &SetFlag, &is_dispatched);
  raise(signal);
  while (!is_dispatched) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

// Dispatches ready sources. The number of iterations is bounded because a busy
// main loop always has ready sources.
void RunReadyEvents() {
  constexpr int kIterations = 100;
  for (int i = 0; i < kIterations; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

// Guards against losing a signal that arrives before its handler is set.
TEST(ProcessSignalsTest, DeliversAnEarlierSignalToANewHandler) {
  InstallSignalHandlers();
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

// Guards against a stop request that is delayed until an overloaded process is
// idle; the process would be killed with SIGKILL first.
TEST(ProcessSignalsTest, DeliversAnEarlierSignalWhileTheMainLoopIsBusy) {
  InstallSignalHandlers();
  RaiseAndDispatch(SIGTERM);
  const BusyLoop busy_loop;
  int calls = 0;
  SetStopHandler([&calls]() { ++calls; });
  RunReadyEvents();
  EXPECT_EQ(calls, 1);
  SetStopHandler(nullptr);
}

// Guards against calling a removed handler, and against the default action of
// the signals, which terminates the process.
TEST(ProcessSignalsTest, ASignalAfterHandlerRemovalHasNoEffect) {
  int calls = 0;
  SetStopHandler([&calls]() { ++calls; });
  SetStopHandler(nullptr);
  RaiseAndDispatch(SIGTERM);
  RaiseAndDispatch(SIGINT);
  RunReadyEvents();
  EXPECT_EQ(calls, 0);
}

// Guards against the default action of SIGPIPE, which terminates a process
// whose peer has closed the connection.
TEST(ProcessSignalsTest, WritingToAClosedPipeFailsWithAnError) {
  InstallSignalHandlers();
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  close(ends[0]);
  EXPECT_EQ(write(ends[1], "x", 1), -1);
  EXPECT_EQ(errno, EPIPE);
  close(ends[1]);
}

// Guards against the default action of SIGXFSZ, which terminates a process
// whose log has reached the file size limit.
TEST(ProcessSignalsTest, WritingBeyondTheFileSizeLimitFailsWithAnError) {
  InstallSignalHandlers();
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
