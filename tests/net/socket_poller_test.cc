#include "net/socket_poller.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreyshift {
namespace {

// Two connected sockets; closed at the end.
class SocketPollerTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_sockets),
              0);
  }
  void TearDown() override {
    SocketPoller::Default().Remove(m_watch);
    close(m_sockets[0]);
    close(m_sockets[1]);
  }

  void Watch(SocketInterest interest) {
    m_watch = SocketPoller::Default().Add(m_sockets[0], interest,
                                          [this](SocketEvents events) {
                                            ++m_calls;
                                            m_is_hung_up |= events.m_is_hung_up;
                                          });
  }
  static void RunTurns() {
    for (int i = 0; i < 5; ++i) {
      g_main_context_iteration(nullptr, FALSE);
    }
  }
  void Send() { ASSERT_EQ(write(m_sockets[1], "x", 1), 1); }

  int m_sockets[2] = {-1, -1};
  SocketPoller::WatchId m_watch = 0;
  int m_calls = 0;
  bool m_is_hung_up = false;
};

TEST_F(SocketPollerTest, ReportsInputAsLongAsThereIsSome) {
  Watch(SocketInterest::kInput);
  RunTurns();
  EXPECT_EQ(m_calls, 0);
  Send();
  RunTurns();
  EXPECT_GT(m_calls, 1);
}

// A connection that libsoup serves must not wake the loop for what it reads.
TEST_F(SocketPollerTest, ReportsEachArrivalOnce) {
  Watch(SocketInterest::kArrivals);
  Send();
  RunTurns();
  EXPECT_EQ(m_calls, 1);
  Send();
  RunTurns();
  EXPECT_EQ(m_calls, 2);
  EXPECT_FALSE(m_is_hung_up);
  shutdown(m_sockets[1], SHUT_WR);
  RunTurns();
  EXPECT_TRUE(m_is_hung_up);
}

TEST_F(SocketPollerTest, ReportsRoomToWriteOnlyOnRequest) {
  Watch(SocketInterest::kInput);
  RunTurns();
  EXPECT_EQ(m_calls, 0);
  SocketPoller::Default().SetInterest(m_watch, SocketInterest::kInputAndOutput);
  RunTurns();
  EXPECT_GT(m_calls, 0);
}

// Guards against turns of the loop that only make calls after input: each turn
// visits all sources of the loop.
TEST_F(SocketPollerTest, CallsAfterInputNeedNoOtherTurn) {
  int calls = 0;
  m_watch = SocketPoller::Default().Add(
      m_sockets[0], SocketInterest::kArrivals, [&calls](SocketEvents) {
        SocketPoller::Default().CallAfterInput([&calls]() { ++calls; });
      });
  RunTurns();
  calls = 0;
  Send();
  g_main_context_iteration(nullptr, FALSE);
  EXPECT_EQ(calls, 1);
  RunTurns();
  EXPECT_EQ(calls, 1);
}

TEST_F(SocketPollerTest, IsSilentAfterRemove) {
  Watch(SocketInterest::kInput);
  SocketPoller::Default().Remove(std::exchange(m_watch, 0));
  Send();
  RunTurns();
  EXPECT_EQ(m_calls, 0);
}

// A closed socket's number may already belong to another watched socket.
TEST_F(SocketPollerTest, ForgettingAClosedSocketLeavesItsSuccessor) {
  Watch(SocketInterest::kInput);
  const SocketPoller::WatchId old = m_watch;
  const int number = m_sockets[0];
  close(m_sockets[0]);
  close(m_sockets[1]);
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_sockets), 0);
  ASSERT_EQ(m_sockets[0], number);
  Watch(SocketInterest::kInput);
  SocketPoller::Default().Forget(old);
  Send();
  RunTurns();
  EXPECT_GT(m_calls, 0);
}

TEST_F(SocketPollerTest, DefersCallsUntilTheInputIsRead) {
  int order = 0;
  int deferred_at = 0;
  SocketPoller::Default().CallAfterInput([&]() { deferred_at = ++order; });
  EXPECT_EQ(deferred_at, 0);
  RunTurns();
  EXPECT_EQ(deferred_at, 1);
  SocketPoller::Default().CallAfterInput([&]() { deferred_at = ++order; });
  SocketPoller::Default().RunDeferred();
  EXPECT_EQ(deferred_at, 2);
}

}  // namespace
}  // namespace comfreyshift
