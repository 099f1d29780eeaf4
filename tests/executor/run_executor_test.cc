#include "executor/run_executor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
const ProcessId kEntry{"entry", 1};
const ProcessId kOtherEntry{"other", 1};
const RunnerLife kLife{"runner", 100};

RunKey Key(uint32_t index, uint64_t number = 1) {
  return {{"job", 0, index}, number};
}

RunnerReport Report(const RunnerLife& life, uint64_t sequence) {
  RunnerReport report;
  report.m_life = life;
  report.m_service = "service";
  report.m_zone = "zone";
  report.m_capacity = {10'000, 1000, 0};
  report.m_sequence = sequence;
  return report;
}

// An executor whose actions are collected by kind.
class Fixture : public testing::Test {
 protected:
  void Connect(const ProcessId& entry = kEntry) {
    m_executor.OnEntryConnected(entry, m_now);
  }

  void RegisterRunner() {
    m_executor.OnHeartbeat(Report(kLife, 1), m_now);
    Tick();
    AnswerPoll({});
  }

  void Tick() {
    for (ExecutorAction& action : m_executor.Tick(m_now)) {
      if (auto* start = std::get_if<OrderStart>(&action)) {
        m_starts.push_back(*start);
      } else if (auto* stop = std::get_if<OrderStop>(&action)) {
        m_stops.push_back(*stop);
      } else if (auto* look = std::get_if<OrderLook>(&action)) {
        m_polls.push_back(*look);
      } else {
        Collect(std::get<SendToEntry>(action));
      }
    }
  }

  void Collect(const SendToEntry& send) {
    if (const auto* report = std::get_if<RunReport>(&send.m_message)) {
      m_reports.push_back(*report);
    } else if (const auto* status =
                   std::get_if<RunnerStatus>(&send.m_message)) {
      m_status = *status;
    }
  }

  // Moves the clock on; the entry goes on claiming unless told otherwise.
  void Advance(Milliseconds time, bool claims = true) {
    m_now += time;
    if (claims) {
      m_executor.OnClaim(kEntry, {m_now}, m_now);
    }
    Tick();
  }

  void AnswerPoll(RunnerLists lists) {
    lists.m_clock = std::chrono::duration_cast<RunnerTime>(m_now - kStart) +
                    RunnerTime(5000);
    m_executor.OnLookAnswer(kLife, lists, m_now);
    Tick();
  }

  void Start(uint32_t index,
             int64_t cpu,
             int64_t urgency = 0,
             const ProcessId& entry = kEntry) {
    StartWithAgentClock(m_now, index, cpu, urgency, entry);
  }

  // Start with the agent's clock as the entry has it.
  void StartWithAgentClock(MonoTime agent_clock,
                           uint32_t index,
                           int64_t cpu,
                           int64_t urgency = 0,
                           const ProcessId& entry = kEntry) {
    StartRun start;
    start.m_agent_clock = agent_clock;
    start.m_run = Key(index);
    start.m_sequence = ++m_sequence;
    start.m_service = "service";
    start.m_demand = {cpu, 1, 0};
    start.m_expected = Milliseconds(100);
    start.m_urgency = urgency;
    start.m_abandon_at = m_now + Milliseconds(3000);
    start.m_queue_until = m_now + Milliseconds(60);
    m_executor.OnStartRun(entry, start, m_now);
    Tick();
  }

  const RunReport* FindReport(uint32_t index) const {
    const auto found = std::ranges::find_if(
        m_reports,
        [&](const RunReport& report) { return report.m_run == Key(index); });
    return found == m_reports.end() ? nullptr : &*found;
  }

  MonoTime m_now = kStart;
  RunExecutor m_executor{{"agent", 1}, 1000};
  uint64_t m_sequence = 0;
  std::vector<OrderStart> m_starts;
  std::vector<OrderStop> m_stops;
  std::vector<OrderLook> m_polls;
  std::vector<RunReport> m_reports;
  std::optional<RunnerStatus> m_status;
};

using RunExecutorTest = Fixture;

// Guards against starting beside what an earlier life of the agent started.
TEST_F(RunExecutorTest, NothingStartsBeforeAListIsRead) {
  Connect();
  m_executor.OnHeartbeat(Report(kLife, 1), m_now);
  Tick();
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  RunnerLists lists;
  lists.m_running = {{Key(9), 10.0}};
  AnswerPoll(lists);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(9));
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  Advance(Milliseconds(20));
  AnswerPoll({});
  EXPECT_TRUE(m_executor.is_accepting(m_now));
}

TEST_F(RunExecutorTest, RunsWaitForRoomInOrderOfUrgency) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  ASSERT_EQ(m_starts.size(), 1U);
  Start(1, 6000, /*urgency=*/9);
  Start(2, 6000, /*urgency=*/3);
  EXPECT_EQ(m_starts.size(), 1U);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  Advance(Milliseconds(20));
  RunnerLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kDone}};
  AnswerPoll(lists);
  ASSERT_EQ(m_starts.size(), 2U);
  EXPECT_EQ(m_starts[1].m_run, Key(2));
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kDone);
}

// A start without an answer may be carried out at any time. Its room must not
// be given away, and it must be settled quickly.
TEST_F(RunExecutorTest, AnUnansweredStartKeepsItsRoomUntilAListAfterTheStop) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kUnknown, m_now);
  Tick();
  ASSERT_EQ(m_stops.size(), 1U);
  Start(1, 6000);
  EXPECT_EQ(m_starts.size(), 1U);
  m_executor.OnStopAnswer(kLife, Key(0), StopAnswer::kAccepted, m_now);
  Tick();
  EXPECT_EQ(m_starts.size(), 1U);
  EXPECT_EQ(FindReport(0), nullptr);
  AnswerPoll({});  // The look was sent before the stop was acknowledged.
  EXPECT_EQ(FindReport(0), nullptr);
  Advance(Milliseconds(20));
  AnswerPoll({});
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(m_starts.size(), 2U);
}

// A run that is given up because its runner cannot be reached starts elsewhere.
// Its order may still be on the way and be carried out once the next look
// renews the lease, beside the other run.
TEST_F(RunExecutorTest, OrdersHeldUpWhileTheRunnerWasAwayAreFencedOff) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  ASSERT_EQ(m_starts.size(), 1U);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kUnknown, m_now);
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(3000));
    Advance(Milliseconds(50));
    m_executor.OnLookAnswer(kLife, LookFailure::kNoAnswer, m_now);
  }
  m_polls.clear();
  Advance(Milliseconds(100));
  ASSERT_FALSE(m_polls.empty());
  for (const OrderLook& look : m_polls) {
    EXPECT_GT(look.m_fencing_token, m_starts[0].m_fencing_token);
  }
}

// Guards against orders that a network held up until their entry had placed the
// tasks elsewhere.
TEST_F(RunExecutorTest, AnOrderOlderThanItsClaimIsRefused) {
  Connect();
  RegisterRunner();
  const MonoTime said_at = m_now;
  Advance(kEntryHeartbeatTimeout, /*claims=*/false);
  AnswerPoll({});
  Connect();
  StartWithAgentClock(said_at, 0, 1000);
  EXPECT_TRUE(m_starts.empty());
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  StartWithAgentClock(m_now, 1, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
}

// A connection may be an old one that was held up, so it shows nothing of when
// its entry was alive.
TEST_F(RunExecutorTest, ANewConnectionClaimsNothing) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  Advance(kEntryHeartbeatTimeout - Milliseconds(10), /*claims=*/false);
  Connect();
  Advance(Milliseconds(20), /*claims=*/false);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(0));
}

// Orders get lost now and then; waiting long for their answers makes jobs late.
TEST_F(RunExecutorTest, ALostStartIsGivenUpWithinATenthOfASecond) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  ASSERT_EQ(m_starts.size(), 1U);
  EXPECT_LE(m_starts[0].m_give_up_at, m_now + Milliseconds(100));
}

// A busy process reads answers late and must not take them for lost.
TEST_F(RunExecutorTest, SlowAnswersGiveLaterOrdersMoreTime) {
  Connect();
  RegisterRunner();
  for (uint32_t index = 0; index < 20; ++index) {
    Start(index, 10);
    m_executor.OnStartAnswer(kLife, Key(index), StartAnswer::kStarted,
                             m_now + Milliseconds(45));
  }
  Start(20, 10);
  EXPECT_GE(m_starts.back().m_give_up_at, m_now + Milliseconds(150));
}

// A run whose entry is gone must end before the client sends the job again.
TEST_F(RunExecutorTest, RunsThatNobodyClaimsAreStopped) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  Advance(kEntryHeartbeatTimeout - Milliseconds(1), /*claims=*/false);
  EXPECT_TRUE(m_stops.empty());
  Advance(Milliseconds(2), /*claims=*/false);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(0));
}

// A claim that was delayed on its way says nothing about now.
TEST_F(RunExecutorTest, AClaimCountsFromTheClockValueItReturns) {
  Connect();
  RegisterRunner();
  const MonoTime told_at = m_now;
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  m_now += Milliseconds(450);
  m_executor.OnClaim(kEntry, {told_at}, m_now);
  Advance(Milliseconds(60), /*claims=*/false);
  EXPECT_EQ(m_stops.size(), 1U);
}

// A connection that breaks loses messages; the entry repeats its orders.
TEST_F(RunExecutorTest, RepeatedStartsAreHarmless) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  Start(0, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
  Advance(Milliseconds(20));
  RunnerLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kDone}};
  AnswerPoll(lists);
  EXPECT_EQ(m_reports.size(), 1U);
  Start(0, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
  ASSERT_EQ(m_reports.size(), 2U);
  EXPECT_EQ(m_reports[1].m_outcome, RunOutcome::kDone);
}

TEST_F(RunExecutorTest, OldHeartbeatsAreRefused) {
  RegisterRunner();
  EXPECT_FALSE(m_executor.OnHeartbeat(Report(kLife, 1), m_now));
  EXPECT_FALSE(m_executor.OnHeartbeat(Report({"older", 50}, 99), m_now));
  EXPECT_TRUE(m_executor.OnHeartbeat(Report(kLife, 2), m_now));
}

// What a runner ran has ended with its life, whatever id the next one has.
TEST_F(RunExecutorTest, ANewLifeEndsTheRunsOfTheOldOne) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  m_executor.OnHeartbeat(Report({"runner", 200}, 1), m_now);
  Tick();
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kStopped);
  EXPECT_FALSE(m_executor.is_accepting(m_now));
}

TEST_F(RunExecutorTest, ALeavingRunnerGetsNothing) {
  Connect();
  RegisterRunner();
  RunnerReport leaving = Report(kLife, 2);
  leaving.m_is_draining = true;
  m_executor.OnHeartbeat(leaving, m_now);
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
}

// A runner that has seen a higher token does nothing for ours.
TEST_F(RunExecutorTest, AFencedOrderRaisesTheToken) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  const uint64_t token = m_starts[0].m_fencing_token;
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kFenced, m_now);
  Start(1, 1000);
  ASSERT_EQ(m_starts.size(), 2U);
  EXPECT_GT(m_starts[1].m_fencing_token, token);
}

// A runner that fails everything would otherwise draw all work, as it is
// always free.
TEST_F(RunExecutorTest, ARunnerThatFailsEverythingIsPausedAndTriedAgain) {
  Connect();
  RegisterRunner();
  for (uint32_t index = 0; index < 3; ++index) {
    Start(index, 1000);
    m_executor.OnStartAnswer(kLife, Key(index), StartAnswer::kStarted, m_now);
  }
  Advance(Milliseconds(20));
  RunnerLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kFailed},
                   {2, Key(1), RunOutcome::kFailed},
                   {3, Key(2), RunOutcome::kFailed}};
  AnswerPoll(lists);
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  for (int i = 0; i < 30; ++i) {
    Advance(Milliseconds(20));
    AnswerPoll({});
  }
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  Start(3, 1000);
  Start(4, 1000);
  EXPECT_EQ(m_starts.size(), 4U);  // One at a time until one is done.
}

// The lease must outlast a look that is lost.
TEST_F(RunExecutorTest, TheLeaseIsRenewedWhileRunsAreAtWork) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  m_polls.clear();
  Advance(Milliseconds(20));
  AnswerPoll({{}, {}, {{Key(0), 10.0}}, {}});
  Advance(Milliseconds(20));
  ASSERT_FALSE(m_polls.empty());
  ASSERT_TRUE(m_polls.back().m_lease_until);
  const auto runner_now =
      std::chrono::duration_cast<RunnerTime>(m_now - kStart) + RunnerTime(5000);
  EXPECT_LE(*m_polls.back().m_lease_until, runner_now + kLeaseDuration);
  EXPECT_GT(*m_polls.back().m_lease_until, runner_now + kLeaseDuration / 2);
  EXPECT_LT(m_polls.back().m_give_up_at, m_now + kLeaseDuration / 2);
}

// A runner that does not answer has killed its runs when the lease is over.
TEST_F(RunExecutorTest, RunsOfAnUnreachableRunnerAreReportedAfterTheLease) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartAnswer(kLife, Key(0), StartAnswer::kStarted, m_now);
  for (int i = 0; i < 15 && FindReport(0) == nullptr; ++i) {
    m_executor.OnLookAnswer(kLife, LookFailure::kNoAnswer, m_now);
    Advance(Milliseconds(100));
  }
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kStopped);
  EXPECT_GE(m_now, kStart + kLeaseDuration);
  EXPECT_TRUE(m_executor.has_runs());  // Its room is kept until it is settled.
}

}  // namespace
}  // namespace comfreyshift
