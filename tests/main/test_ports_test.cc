#include "tests/standins/test_ports.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

// Test programs run at the same time, and process ids far apart ask for the
// same range; the processes of one run could not listen then.
TEST(TestPortsTest, RunsThatPreferOneRangeGetTwo) {
  const int first = TakeTestPorts(7);
  const int second = TakeTestPorts(7);
  EXPECT_NE(first, second);
}

}  // namespace
}  // namespace comfreyshift
