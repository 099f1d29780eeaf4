#include "scheduler/waiting_job_order.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};

WaitingJob MakeJob(JobHandle job, int32_t priority, Milliseconds due_in) {
  return {job, priority, /*m_has_started=*/false, kStart + due_in};
}

// Guards against priorities that change the order although there is enough
// capacity.
TEST(WaitingJobOrderTest, WithoutShortageJobsGoByDueTime) {
  WaitingJobOrder order;
  std::vector<WaitingJob> jobs = {MakeJob(1, 0, Milliseconds(300)),
                                  MakeJob(2, 2, Milliseconds(100)),
                                  MakeJob(3, 1, Milliseconds(200))};
  order.Sort(jobs, /*is_short=*/false);
  EXPECT_EQ(jobs[0].m_job, 2U);
  EXPECT_EQ(jobs[1].m_job, 3U);
  EXPECT_EQ(jobs[2].m_job, 1U);
}

// Guards against priorities that are never read.
TEST(WaitingJobOrderTest, UnderShortageJobsGoByPriorityAndThenByDueTime) {
  WaitingJobOrder order;
  std::vector<WaitingJob> jobs = {
      MakeJob(1, 1, Milliseconds(50)), MakeJob(2, 0, Milliseconds(300)),
      MakeJob(3, 0, Milliseconds(200)), MakeJob(4, 2, Milliseconds(10))};
  order.Sort(jobs, /*is_short=*/true);
  EXPECT_EQ(jobs[0].m_job, 3U);
  EXPECT_EQ(jobs[1].m_job, 2U);
  EXPECT_EQ(jobs[2].m_job, 1U);
  EXPECT_EQ(jobs[3].m_job, 4U);
}

// Guards against a priority that gets nothing while higher ones fill the
// runners, and against one that gets more than its share.
TEST(WaitingJobOrderTest, NoPriorityIsStarved) {
  constexpr int kPlacements = 2100;
  WaitingJobOrder order;
  std::map<int32_t, int> placed;
  for (int i = 0; i < kPlacements; ++i) {
    std::vector<WaitingJob> jobs = {MakeJob(1, 0, Milliseconds(100)),
                                    MakeJob(2, 1, Milliseconds(100)),
                                    MakeJob(3, 2, Milliseconds(100))};
    order.Sort(jobs, /*is_short=*/true);
    order.OnPlaced(jobs[0].m_priority, 1.0);
    ++placed[jobs[0].m_priority];
  }
  EXPECT_NEAR(placed[0], kPlacements * 16.0 / 21.0, 5);
  EXPECT_NEAR(placed[1], kPlacements * 4.0 / 21.0, 5);
  EXPECT_NEAR(placed[2], kPlacements * 1.0 / 21.0, 5);
  EXPECT_NEAR(order.ShareOf(0), 16.0 / 21.0, 1e-9);
}

// Guards against a priority that saves up its share while it has no jobs and
// then holds up the others.
TEST(WaitingJobOrderTest, APriorityThatBeginsToWaitIsLevelWithTheOthers) {
  WaitingJobOrder order;
  for (int i = 0; i < 100; ++i) {
    std::vector<WaitingJob> jobs = {MakeJob(1, 0, Milliseconds(100)),
                                    MakeJob(2, 1, Milliseconds(100))};
    order.Sort(jobs, /*is_short=*/true);
    order.OnPlaced(jobs[0].m_priority, 1.0);
  }
  int placed_in_row = 0;
  while (placed_in_row < 10) {
    std::vector<WaitingJob> jobs = {MakeJob(1, 0, Milliseconds(100)),
                                    MakeJob(2, 1, Milliseconds(100)),
                                    MakeJob(3, 2, Milliseconds(100))};
    order.Sort(jobs, /*is_short=*/true);
    order.OnPlaced(jobs[0].m_priority, 1.0);
    if (jobs[0].m_priority != 2) {
      break;
    }
    ++placed_in_row;
  }
  EXPECT_LE(placed_in_row, 1);
}

}  // namespace
}  // namespace comfreyshift
