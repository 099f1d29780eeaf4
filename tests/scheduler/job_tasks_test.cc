#include "scheduler/job_tasks.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyshift {
namespace {

std::vector<Step> Steps(std::initializer_list<uint32_t> counts) {
  std::vector<Step> steps;
  for (const uint32_t count : counts) {
    steps.emplace_back().m_count = count;
  }
  return steps;
}

// Guards against tasks that are placed twice, left out, or counted for another
// step.
TEST(JobTasksTest, EveryTaskIsPlacedOnceInOrder) {
  JobTasks tasks(Steps({2, 1, 3}));
  ASSERT_EQ(tasks.size(), 6U);
  const uint32_t steps[] = {0, 0, 1, 2, 2, 2};
  const uint32_t indexes[] = {0, 1, 0, 0, 1, 2};
  for (size_t task = 0; task < tasks.size(); ++task) {
    ASSERT_EQ(tasks.FirstWaiting(), task);
    EXPECT_EQ(tasks.Locate(task).m_step, steps[task]);
    EXPECT_EQ(tasks.Locate(task).m_index, indexes[task]);
    tasks.OnPlaced(task, 100 + task);
  }
  EXPECT_FALSE(tasks.has_waiting());
  EXPECT_EQ(tasks.CountWaiting(2), 0U);
  EXPECT_EQ(tasks.placed().size(), 6U);
}

// Guards against a task that was not done and loses its failures or the agent
// to avoid.
TEST(JobTasksTest, ReturnedTaskWaitsAgainWithItsHistory) {
  JobTasks tasks(Steps({3}));
  tasks.OnPlaced(0, 1);
  tasks.OnPlaced(1, 2);
  EXPECT_EQ(tasks.OnReturned(0, "agent", /*has_failed=*/true), 1U);
  EXPECT_EQ(tasks.FirstWaiting(), 0U);
  EXPECT_EQ(tasks.CountWaiting(0), 2U);
  EXPECT_EQ(tasks.LastFailedAgent(0), "agent");
  tasks.OnPlaced(0, 3);
  EXPECT_EQ(tasks.OnReturned(0, "other", /*has_failed=*/true), 2U);
  tasks.OnPlaced(0, 4);
  tasks.OnDone(0);
  tasks.OnDone(1);
  EXPECT_EQ(tasks.done(), 2U);
  EXPECT_EQ(tasks.FirstWaiting(), 2U);
  EXPECT_TRUE(tasks.placed().empty());
}

}  // namespace
}  // namespace comfreyshift
