#ifndef TESTS_STANDINS_TEST_PORTS_H_
#define TESTS_STANDINS_TEST_PORTS_H_

#include <cstddef>

#include "core/core.h"

namespace comfreyshift {

// Takes a range of ports that no other test run on this machine has, the one at
// place `preferred` if it is free. It is kept until the process ends.
int TakeTestPorts(int preferred);

// A loopback address by its place in the range of this run.
Address TestAddress(size_t offset);

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_TEST_PORTS_H_
