#include "executor/start_gate.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};

MonoTime At(int64_t milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

// Guards against lists that an earlier incarnation returned: they were
// requested before the connection ended.
TEST(StartGateTest, OpensOnlyWithListsRequestedAfterTheLoss) {
  StartGate gate;
  EXPECT_TRUE(gate.is_open());
  gate.OnConnectionLost(At(10));
  EXPECT_FALSE(gate.is_open());
  gate.OnLists(At(9));
  gate.OnLists(At(10));
  EXPECT_FALSE(gate.is_open());
  gate.OnLists(At(11));
  EXPECT_TRUE(gate.is_open());
}

// Guards against starts that wait longer than one round trip.
TEST(StartGateTest, LossIsCheckedAtOnce) {
  StartGate gate;
  EXPECT_FALSE(gate.IsCheckDue(At(9)));
  gate.OnConnectionLost(At(10));
  EXPECT_TRUE(gate.IsCheckDue(At(10)));
  gate.OnCheckSent(At(11));
  EXPECT_FALSE(gate.IsCheckDue(At(12)));
  gate.OnCheckAnswered(At(12));
  EXPECT_TRUE(gate.is_open());
  EXPECT_EQ(gate.NextCheckAt(), MonoTime::max());
}

// Guards against a check that a second loss has overtaken, and against checks
// without a pause of a runner that closes its connections after each response.
TEST(StartGateTest, LossDuringACheckRepeatsItAfterAPause) {
  StartGate gate;
  gate.OnConnectionLost(At(10));
  gate.OnCheckSent(At(11));
  gate.OnConnectionLost(At(12));
  gate.OnCheckAnswered(At(13));
  EXPECT_FALSE(gate.is_open());
  EXPECT_FALSE(gate.IsCheckDue(At(13)));
  EXPECT_TRUE(gate.IsCheckDue(At(36)));
}

// Guards against starts that wait for the next poll of the schedule because the
// response to one check was lost, and against checks of a runner that is down
// without a pause.
TEST(StartGateTest, FailedCheckIsRepeatedAfterAPause) {
  StartGate gate;
  gate.OnConnectionLost(At(10));
  gate.OnCheckSent(At(11));
  gate.OnConnectionLost(At(12));
  gate.OnCheckFailed(At(12));
  EXPECT_FALSE(gate.IsCheckDue(At(13)));
  EXPECT_EQ(gate.NextCheckAt(), At(36));
  gate.OnLists(At(20));
  EXPECT_TRUE(gate.is_open());
  EXPECT_EQ(gate.NextCheckAt(), MonoTime::max());
}

}  // namespace
}  // namespace comfreyshift
