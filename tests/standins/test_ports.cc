#include "tests/standins/test_ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace comfreyshift {

namespace {

// The ranges end below the ports that the system takes for outgoing
// connections: a process cannot listen on one of these for a minute after its
// connection.
constexpr int kFirstTestPort = 10'000;
constexpr int kPortsOfARun = 20;
constexpr int kRunsAtOnce = 1000;
constexpr int kFirstOutgoingPort = 32'768;
static_assert(kFirstTestPort + kPortsOfARun * kRunsAtOnce <=
              kFirstOutgoingPort);

// Process ids that are equal modulo kRunsAtOnce prefer the same range, so the
// last port of a range is listened on for as long as it is in use.
constexpr int kLockOffset = kPortsOfARun - 1;

// Returns a listening socket, or -1 if the port is in use.
int ListenOn(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int is_set = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &is_set, sizeof(is_set));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 1) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool IsFree(int port) {
  const int fd = ListenOn(port);
  if (fd >= 0) {
    close(fd);
  }
  return fd >= 0;
}

bool TakeRange(int first) {
  const int lock = ListenOn(first + kLockOffset);
  if (lock < 0) {
    return false;
  }
  for (int offset = 0; offset < kLockOffset; ++offset) {
    if (!IsFree(first + offset)) {
      close(lock);
      return false;
    }
  }
  return true;
}

}  // namespace

int TakeTestPorts(int preferred) {
  for (int i = 0; i < kRunsAtOnce; ++i) {
    const int first =
        kFirstTestPort + (preferred + i) % kRunsAtOnce * kPortsOfARun;
    if (TakeRange(first)) {
      return first;
    }
  }
  std::fprintf(stderr, "no range of test ports is free\n");
  std::abort();
}

Address TestAddress(size_t offset) {
  static const int first = TakeTestPorts(getpid() % kRunsAtOnce);
  return {"127.0.0.1",
          static_cast<uint16_t>(static_cast<size_t>(first) + offset)};
}

}  // namespace comfreyshift
