#include "entry/admission_gate.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyshift {
namespace {

Inventory InventoryWith(uint32_t starts_per_second, uint32_t slots) {
  Inventory inventory;
  inventory.m_targets["runner-1"].m_slots = slots;
  inventory.m_clients["census"].m_starts_per_second = starts_per_second;
  return inventory;
}

class AdmissionGateTest : public testing::Test {
 protected:
  AdmissionGateTest()
      : m_gate("entry-1",
               [this](const Submission&, JobSession::DoneFunction done) {
                 m_running.push_back(std::move(done));
               }) {}

  void Submit(const std::string& client, size_t tasks) {
    Submission submission;
    submission.m_client = client;
    submission.m_tasks.resize(tasks);
    submission.m_deadline = m_start + std::chrono::seconds(30);
    m_gate.Submit(m_start, std::move(submission), [this](SessionAnswer answer) {
      m_answers.push_back(std::move(answer));
    });
  }

  NotRunReason ReasonAt(size_t index) const {
    return std::get<AttemptRejected>(m_answers[index]).m_reason;
  }

  // The gate reads the clock itself when a job ends.
  const MonoTime m_start = BootClock::now();
  std::vector<JobSession::DoneFunction> m_running;
  std::vector<SessionAnswer> m_answers;
  AdmissionGate m_gate;
};

// Guards against a client that takes more than its quota through an entry: 1
// start a second with a burst of one whole job.
TEST_F(AdmissionGateTest, ClientOverItsQuotaIsRefused) {
  m_gate.Configure(m_start, InventoryWith(1, 1000), 1);
  Submit("census", kMaxTasksPerJob);
  EXPECT_EQ(m_running.size(), 1U);
  Submit("census", kMaxTasksPerJob);
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(ReasonAt(0), NotRunReason::kQuota);
}

TEST_F(AdmissionGateTest, UnknownClientIsRefused) {
  m_gate.Configure(m_start, InventoryWith(0, 1), 1);
  Submit("stranger", 1);
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(ReasonAt(0), NotRunReason::kDenied);
}

// Guards against jobs that wait at the entry and are never let out.
TEST_F(AdmissionGateTest, WaitingJobsRunWhenOthersEnd) {
  m_gate.Configure(m_start, InventoryWith(0, 1), 1);
  Submit("census", 8);
  Submit("census", 8);
  EXPECT_EQ(m_running.size(), 1U);
  m_running[0](JobAnswer(JobComplete{}));
  EXPECT_EQ(m_running.size(), 2U);
  m_running[1](JobAnswer(JobComplete{}));
  EXPECT_EQ(m_answers.size(), 2U);
}

}  // namespace
}  // namespace comfreyshift
