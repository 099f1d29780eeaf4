#include <gtest/gtest.h>

#include "jobs/jobs.h"

namespace comfreyshift {
namespace {

FleetConfig TwoQueues() {
  FleetConfig config;
  config.m_version = 3;
  QueueConfig outer;
  outer.m_name = "outer";
  outer.m_host = "a.example";
  outer.m_prefix = "/jobs/";
  QueueConfig inner = outer;
  inner.m_name = "inner";
  inner.m_prefix = "/jobs/urgent/";
  config.m_queues = {outer, inner};
  return config;
}

// Guards against a job that is put into the queue of a shorter prefix.
TEST(FleetConfigTest, LongestPrefixIsChosen) {
  const FleetConfig config = TwoQueues();
  EXPECT_EQ(config.FindQueue("a.example", "/jobs/urgent/1")->m_name, "inner");
  EXPECT_EQ(config.FindQueue("a.example", "/jobs/1")->m_name, "outer");
}

// Guards against a client whose Host header, or an operator whose
// configuration, has capital letters.
TEST(FleetConfigTest, HostsAreComparedWithoutCase) {
  FleetConfig config = TwoQueues();
  EXPECT_EQ(config.FindQueue("A.Example", "/jobs/1")->m_name, "outer");
  config.m_queues[0].m_host = "A.EXAMPLE";
  EXPECT_EQ(config.FindQueue("a.example", "/jobs/1")->m_name, "outer");
  EXPECT_EQ(config.FindQueue("a.example", "/JOBS/1"), nullptr);
  EXPECT_EQ(config.FindQueue("a.example.", "/jobs/1"), nullptr);
}

TEST(FleetConfigTest, UnknownHostOrPathHasNoQueue) {
  const FleetConfig config = TwoQueues();
  EXPECT_EQ(config.FindQueue("b.example", "/jobs/1"), nullptr);
  EXPECT_EQ(config.FindQueue("a.example", "/other/1"), nullptr);
}

// Guards against a task that exceeds one resource while the others fit.
TEST(ResourcesTest, EachResourceMustFit) {
  const Resources capacity{1000, 512, 1};
  EXPECT_TRUE((Resources{1000, 512, 1}).Fits(capacity));
  EXPECT_FALSE((Resources{1001, 1, 0}).Fits(capacity));
  EXPECT_FALSE((Resources{1, 513, 0}).Fits(capacity));
  EXPECT_FALSE((Resources{1, 1, 2}).Fits(capacity));
}

// Guards against running a task twice at once: clients send a job again after
// 1.3 s, and all its runs must have ended by then.
TEST(LeasesTest, RunsEndBeforeTheirJobIsResubmitted) {
  const auto lease = std::chrono::duration_cast<Microseconds>(
      kLeaseDuration * kRunnerClockDriftFactor);
  EXPECT_LT(kEntryHeartbeatTimeout + lease + kMaxStopTime, Milliseconds(1300));
}

}  // namespace
}  // namespace comfreyshift
