#ifndef TESTS_STANDINS_BUSY_LOOP_H_
#define TESTS_STANDINS_BUSY_LOOP_H_

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "net/net.h"

namespace comfreyshift {

// A socket that always has input, so that the default main loop never waits for
// events while this object lives, as under a flood of requests.
class BusyLoop {
 public:
  BusyLoop() {
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, m_sockets.data()), 0);
    EXPECT_EQ(write(m_sockets[1], "x", 1), 1);
    m_watch = SocketPoller::Default().Add(m_sockets[0], SocketInterest::kInput,
                                          [](SocketEvents) {});
  }
  ~BusyLoop() {
    SocketPoller::Default().Remove(m_watch);
    close(m_sockets[0]);
    close(m_sockets[1]);
  }
  BusyLoop(const BusyLoop&) = delete;
  BusyLoop& operator=(const BusyLoop&) = delete;

 private:
  std::array<int, 2> m_sockets = {-1, -1};
  SocketPoller::WatchId m_watch = 0;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_BUSY_LOOP_H_
