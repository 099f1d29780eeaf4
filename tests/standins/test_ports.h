#ifndef TESTS_STANDINS_TEST_PORTS_H_
#define TESTS_STANDINS_TEST_PORTS_H_

#include <unistd.h>

#include <cstddef>
#include <cstdint>

#include "core/core.h"

namespace comfreyshift {

// Port ranges of test runs on one machine are kept apart by the process id.
// They end below the ports that the system takes for outgoing connections: a
// process cannot listen on one of these for a minute after its connection.
constexpr int kFirstTestPort = 10'000;
constexpr int kPortsOfARun = 20;
constexpr int kRunsAtOnce = 1000;
constexpr int kFirstOutgoingPort = 32'768;
static_assert(kFirstTestPort + kPortsOfARun * kRunsAtOnce <=
              kFirstOutgoingPort);

// A loopback address by its place in the range of this run.
inline Address TestAddress(size_t offset) {
  const int first = kFirstTestPort + getpid() % kRunsAtOnce * kPortsOfARun;
  return {"127.0.0.1",
          static_cast<uint16_t>(static_cast<size_t>(first) + offset)};
}

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_TEST_PORTS_H_
