#include "scheduler/admission_policy.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr double kTaskWork = 1000.0 * 50'000.0;

// Guards against a wait that does not follow from the work ahead and the rate:
// at one task in 10 ms, 20 tasks take 200 ms.
TEST(AdmissionPolicyTest, WaitIsWorkDividedByTheRateOfPlacements) {
  AdmissionPolicy policy;
  MonoTime now = kStart;
  for (int task = 0; task < 200; ++task) {
    now += Milliseconds(10);
    policy.OnPlaced(kTaskWork, now);
  }
  const auto wait = policy.ExpectedWait(20 * kTaskWork, now);
  ASSERT_TRUE(wait);
  EXPECT_GT(*wait, Milliseconds(190));
  EXPECT_LT(*wait, Milliseconds(210));
}

// Guards against rejections because nothing is known yet, or because the first
// placements after a pause are taken for the rate of a long time.
TEST(AdmissionPolicyTest, FirstPlacementsShowARateAtOnce) {
  AdmissionPolicy policy;
  EXPECT_FALSE(policy.ExpectedWait(kTaskWork, kStart));
  MonoTime now = kStart;
  for (int task = 0; task < 6; ++task) {
    now += Milliseconds(10);
    policy.OnPlaced(kTaskWork, now);
  }
  const auto wait = policy.ExpectedWait(20 * kTaskWork, now);
  ASSERT_TRUE(wait);
  EXPECT_LT(*wait, Milliseconds(220));
}

// Guards against counting runs that agents have sent back as capacity.
TEST(AdmissionPolicyTest, ReturnedRunsAreNoCapacity) {
  AdmissionPolicy policy;
  policy.OnPlaced(kTaskWork, kStart);
  policy.OnReturned(kTaskWork, kStart);
  EXPECT_FALSE(policy.ExpectedWait(kTaskWork, kStart));
}

}  // namespace
}  // namespace comfreyshift
