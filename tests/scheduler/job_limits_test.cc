#include "scheduler/job_limits.h"

#include <gtest/gtest.h>

#include <optional>

namespace comfreyshift {
namespace {

constexpr MonoTime kSoon{std::chrono::hours(1)};
constexpr MonoTime kLate{std::chrono::hours(9)};

// Guards against a crowd of one client that locks out the others, and against
// refusing those who wait for a moment in favor of those who wait for hours.
TEST(JobLimitsTest, ClientWithTheMostJobsLosesTheOneThatWaitsLongest) {
  const JobLimits limits{.m_max_waiting_jobs = 3};
  EXPECT_EQ(ChooseExcessJob({{1, "a", kSoon}, {2, "a", kLate}}, limits),
            std::nullopt);
  EXPECT_EQ(
      ChooseExcessJob(
          {{1, "a", kSoon}, {2, "a", kLate}, {3, "a", kSoon}, {4, "b", kLate}},
          limits),
      2U);
  EXPECT_EQ(
      ChooseExcessJob(
          {{1, "a", kSoon}, {2, "a", kSoon}, {3, "b", kSoon}, {4, "a", kSoon}},
          limits),
      4U);
}

// Guards against a client that fills what all may use.
TEST(JobLimitsTest, OneClientHasALimitOfItsOwn) {
  const JobLimits limits{.m_max_waiting_jobs = 9,
                         .m_max_waiting_jobs_per_client = 1};
  EXPECT_EQ(ChooseExcessJob({{1, "a", kSoon}, {2, "b", kSoon}}, limits),
            std::nullopt);
  EXPECT_EQ(ChooseExcessJob({{1, "a", kSoon}, {2, "b", kSoon}, {3, "b", kSoon}},
                            limits),
            3U);
}

}  // namespace
}  // namespace comfreyshift
