#include "executor/run_executor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
const ProcessId kEntry{"entry", 1};
const ProcessId kOtherEntry{"other", 1};
const RunnerIncarnation kRunnerIncarnation{"runner", 100};
// The incarnation in which the runner was started again under its id.
const RunnerIncarnation kRestarted{"runner", 200};

RunKey Key(uint32_t index, uint64_t number = 1) {
  return {{"job", 0, index}, number};
}

RunnerHeartbeat MakeHeartbeat(const RunnerIncarnation& incarnation,
                              uint64_t sequence) {
  RunnerHeartbeat heartbeat;
  heartbeat.m_process_incarnation = incarnation;
  heartbeat.m_service = "service";
  heartbeat.m_zone = "zone";
  heartbeat.m_capacity = {10'000, 1000, 0};
  heartbeat.m_sequence = sequence;
  return heartbeat;
}

// Collects the actions of an executor by kind.
class Fixture : public testing::Test {
 protected:
  void Connect(const ProcessId& entry = kEntry) {
    m_executor.OnEntryConnected(entry, m_now);
  }

  void RegisterRunner() {
    m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 1), m_now);
    Tick();
    AnswerPoll({});
  }

  void Tick() {
    for (ExecutorAction& action : m_executor.Tick(m_now)) {
      if (auto* start = std::get_if<StartRequest>(&action)) {
        m_starts.push_back(*start);
      } else if (auto* stop = std::get_if<StopRequest>(&action)) {
        m_stops.push_back(*stop);
      } else if (auto* poll = std::get_if<PollRequest>(&action)) {
        m_polls.push_back(*poll);
        m_poll_sent_at[poll->m_purpose] = poll->m_sent_at;
      } else {
        Collect(std::get<SendToEntry>(action));
      }
    }
  }

  void Collect(const SendToEntry& send) {
    if (const auto* report = std::get_if<RunReport>(&send.m_message)) {
      m_reports.push_back(*report);
      m_evidence.push_back(send.m_evidence);
    } else if (const auto* status =
                   std::get_if<RunnerStatus>(&send.m_message)) {
      m_status = *status;
    }
  }

  // Moves the clock on; the entry sends a heartbeat unless told otherwise.
  void Advance(Milliseconds time, bool sends_heartbeats = true) {
    m_now += time;
    if (sends_heartbeats) {
      m_executor.OnEntryHeartbeat(kEntry, {m_now}, m_now);
    }
    Tick();
  }

  void AnswerPoll(RunLists lists) {
    AnswerPollAs(kRunnerIncarnation, std::move(lists));
  }

  // Answers the poll of an incarnation.
  void AnswerPollAs(const RunnerIncarnation& incarnation, RunLists lists) {
    lists.m_clock = std::chrono::duration_cast<RunnerTime>(m_now - kStart) +
                    RunnerTime(5000);
    OnPollResult(incarnation, lists);
    Tick();
  }

  void FailPoll(const RunnerIncarnation& incarnation, PollFailure failure) {
    OnPollResult(incarnation, failure);
  }

  // Passes on the result of the poll that is under way to an incarnation.
  void OnPollResult(const RunnerIncarnation& incarnation,
                    const std::variant<RunLists, PollFailure>& result) {
    OnPollResult(incarnation,
                 m_executor.IsUnverified(incarnation)
                     ? PollPurpose::kVerifyHeartbeat
                     : PollPurpose::kReadLists,
                 result);
  }

  void OnPollResult(const RunnerIncarnation& incarnation,
                    PollPurpose purpose,
                    const std::variant<RunLists, PollFailure>& result) {
    m_executor.OnPollResult(incarnation, purpose, m_poll_sent_at[purpose],
                            result, m_now);
  }

  size_t CountPolls(const RunnerIncarnation& incarnation) const {
    return static_cast<size_t>(std::ranges::count(
        m_polls, incarnation, &PollRequest::m_process_incarnation));
  }

  void ExpectRunnerIs(const RunnerIncarnation& incarnation) const {
    ASSERT_TRUE(m_executor.runner());
    EXPECT_EQ(m_executor.runner()->m_process_incarnation, incarnation);
  }

  void Start(uint32_t index,
             int64_t cpu,
             int64_t urgency = 0,
             const ProcessId& entry = kEntry) {
    StartWithAgentClock(m_now, index, cpu, urgency, entry);
  }

  // Sends a StartRun that returns `agent_clock` as the agent's clock.
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
    start.m_queue_priority = urgency;
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
  std::vector<StartRequest> m_starts;
  std::vector<StopRequest> m_stops;
  std::vector<PollRequest> m_polls;
  // When the newest poll of each purpose was sent.
  std::map<PollPurpose, MonoTime> m_poll_sent_at;
  std::vector<RunReport> m_reports;
  // What shows the end, for each report; empty for a repeated one.
  std::vector<std::optional<EndEvidence>> m_evidence;
  std::optional<RunnerStatus> m_status;
};

using RunExecutorTest = Fixture;

// Guards against exceeding the capacity: an earlier incarnation of the agent
// may have started runs.
TEST_F(RunExecutorTest, NoRunStartsBeforeTheFirstListIsRead) {
  Connect();
  m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 1), m_now);
  Tick();
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  RunLists lists;
  lists.m_running = {{Key(9), 10.0}};
  AnswerPoll(lists);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(9));
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  Advance(Milliseconds(20));
  AnswerPoll({});
  EXPECT_TRUE(m_executor.is_accepting(m_now));
}

// Guards against starting waiting runs in the order of their arrival.
TEST_F(RunExecutorTest, WaitingRunsStartInOrderOfUrgency) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  ASSERT_EQ(m_starts.size(), 1U);
  Start(1, 6000, /*urgency=*/9);
  Start(2, 6000, /*urgency=*/3);
  EXPECT_EQ(m_starts.size(), 1U);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Advance(Milliseconds(20));
  RunLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kDone}};
  AnswerPoll(lists);
  ASSERT_EQ(m_starts.size(), 2U);
  EXPECT_EQ(m_starts[1].m_run, Key(2));
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kDone);
}

// Guards against giving away the capacity of a start without a response, which
// may still be carried out, and against leaving its run unresolved for long.
TEST_F(RunExecutorTest,
       StartWithoutResponseKeepsItsReservationUntilAListAfterTheStop) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kUnknown,
                              m_now);
  Tick();
  ASSERT_EQ(m_stops.size(), 1U);
  Start(1, 6000);
  EXPECT_EQ(m_starts.size(), 1U);
  m_executor.OnStopRunResult(kRunnerIncarnation, Key(0), StopResult::kAccepted,
                             m_now);
  Tick();
  EXPECT_EQ(m_starts.size(), 1U);
  EXPECT_EQ(FindReport(0), nullptr);
  AnswerPoll({});  // This poll was sent before the stop was acknowledged.
  EXPECT_EQ(FindReport(0), nullptr);
  Advance(Milliseconds(20));
  AnswerPoll({});
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(m_starts.size(), 2U);
}

// Guards against stopping a run and placing it anew because one request was
// lost: a retry under the same run number starts it at most once.
TEST_F(RunExecutorTest, LostStartIsRetriedUnderItsRunNumber) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  ASSERT_EQ(m_starts.size(), 1U);
  Advance(Milliseconds(20));
  ASSERT_EQ(m_starts.size(), 2U);
  EXPECT_EQ(m_starts[1].m_run, m_starts[0].m_run);
  EXPECT_EQ(m_starts[1].m_payload, m_starts[0].m_payload);
  EXPECT_EQ(m_starts[1].m_fencing_token, m_starts[0].m_fencing_token);
  EXPECT_TRUE(m_stops.empty());
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Start(1, 6000);
  EXPECT_EQ(m_starts.size(), 2U);  // The run holds its reservation once.
}

// Guards against reporting a run as not started because its retry was rejected:
// the first request may have been carried out.
TEST_F(RunExecutorTest, RejectedRetryDoesNotShowThatTheRunNeverStarted) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  Advance(Milliseconds(20));
  ASSERT_EQ(m_starts.size(), 2U);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0),
                              StartResult::kNumberTooLow, m_now);
  Tick();
  EXPECT_EQ(FindReport(0), nullptr);
  EXPECT_EQ(m_stops.size(), 1U);
}

// Guards against a retry that starts a run on a runner that must get no more,
// here because its zone was closed meanwhile.
TEST_F(RunExecutorTest, LostStartIsNotRetriedOnARunnerThatTakesNoMoreRuns) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  m_executor.OnClosedZones({"zone"}, m_now);
  Advance(Milliseconds(20));
  EXPECT_EQ(m_starts.size(), 1U);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0),
                              StartResult::kNoResponse, m_now);
  Tick();
  EXPECT_EQ(m_starts.size(), 1U);
  EXPECT_EQ(m_stops.size(), 1U);
}

// Guards against running a task twice: once its runner is unreachable a run is
// started elsewhere, but its delayed start request could still be carried out
// when the next poll renews the lease.
TEST_F(RunExecutorTest, DelayedStartsToAnUnreachableRunnerAreFenced) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  ASSERT_EQ(m_starts.size(), 1U);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kUnknown,
                              m_now);
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(3000));
    Advance(Milliseconds(50));
    FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
  }
  m_polls.clear();
  Advance(Milliseconds(100));
  ASSERT_FALSE(m_polls.empty());
  for (const PollRequest& poll : m_polls) {
    EXPECT_GT(poll.m_fencing_token, m_starts[0].m_fencing_token);
  }
}

// Guards against a StartRun that the network delayed until its entry had placed
// the task elsewhere.
TEST_F(RunExecutorTest, StartRunWithAnExpiredHeartbeatIsRejected) {
  Connect();
  RegisterRunner();
  const MonoTime expired_clock = m_now;
  Advance(kEntryHeartbeatTimeout, /*sends_heartbeats=*/false);
  AnswerPoll({});
  Connect();
  StartWithAgentClock(expired_clock, 0, 1000);
  EXPECT_TRUE(m_starts.empty());
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  StartWithAgentClock(m_now, 1, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
}

// Guards against taking a delayed connection for a sign that its entry is
// alive.
TEST_F(RunExecutorTest, NewConnectionDoesNotKeepRunsAlive) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Advance(kEntryHeartbeatTimeout - Milliseconds(10),
          /*sends_heartbeats=*/false);
  Connect();
  Advance(Milliseconds(20), /*sends_heartbeats=*/false);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(0));
}

// Guards against late jobs: a start request may get lost, and waiting long for
// its response delays the job.
TEST_F(RunExecutorTest, LostStartTimesOutWithin100Milliseconds) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  ASSERT_EQ(m_starts.size(), 1U);
  EXPECT_LE(m_starts[0].m_give_up_at, m_now + Milliseconds(100));
}

// Guards against taking requests for lost in a busy process, which reads
// responses late.
TEST_F(RunExecutorTest, SlowResponsesRaiseTheRequestTimeout) {
  Connect();
  RegisterRunner();
  for (uint32_t index = 0; index < 20; ++index) {
    Start(index, 10);
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted,
                                m_now + Milliseconds(45));
  }
  Start(20, 10);
  EXPECT_GE(m_starts.back().m_give_up_at, m_now + Milliseconds(150));
}

// Guards against running a task twice: the runs of a lost entry must end before
// the client sends the job again.
TEST_F(RunExecutorTest, RunsOfAnEntryWithoutHeartbeatsAreStopped) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Advance(kEntryHeartbeatTimeout - Milliseconds(1), /*sends_heartbeats=*/false);
  EXPECT_TRUE(m_stops.empty());
  Advance(Milliseconds(2), /*sends_heartbeats=*/false);
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_run, Key(0));
}

// Guards against counting a delayed heartbeat from its arrival.
TEST_F(RunExecutorTest, HeartbeatCountsFromTheClockValueItReturns) {
  Connect();
  RegisterRunner();
  const MonoTime sent_clock = m_now;
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  m_now += Milliseconds(450);
  m_executor.OnEntryHeartbeat(kEntry, {sent_clock}, m_now);
  Advance(Milliseconds(60), /*sends_heartbeats=*/false);
  EXPECT_EQ(m_stops.size(), 1U);
}

// Guards against starting a run twice: a broken connection loses messages, and
// the entry repeats its StartRun messages.
TEST_F(RunExecutorTest, RepeatedStartRunStartsNothingNew) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Start(0, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
  Advance(Milliseconds(20));
  RunLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kDone}};
  AnswerPoll(lists);
  EXPECT_EQ(m_reports.size(), 1U);
  Start(0, 1000);
  EXPECT_EQ(m_starts.size(), 1U);
  ASSERT_EQ(m_reports.size(), 2U);
  EXPECT_EQ(m_reports[1].m_outcome, RunOutcome::kDone);
}

// Guards against a delayed heartbeat that replaces newer state.
TEST_F(RunExecutorTest, OutdatedRunnerHeartbeatsAreRejected) {
  RegisterRunner();
  EXPECT_FALSE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 1), m_now));
  EXPECT_FALSE(m_executor.OnHeartbeat(MakeHeartbeat({"older", 50}, 99), m_now));
  EXPECT_TRUE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 2), m_now));
}

// Guards against a runner that is used again after it has left: a heartbeat may
// arrive after the message that the runner leaves.
TEST_F(RunExecutorTest, DelayedHeartbeatOfADepartedRunnerIsRejected) {
  RegisterRunner();
  m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 3), m_now);
  m_executor.OnRunnerLeft(kRunnerIncarnation.m_id, m_now);
  m_polls.clear();
  EXPECT_FALSE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 2), m_now));
  EXPECT_FALSE(m_executor.OnHeartbeat(MakeHeartbeat({"older", 50}, 9), m_now));
  EXPECT_FALSE(m_executor.runner());
  Tick();
  EXPECT_TRUE(m_polls.empty());
  // A runner that has not left after all goes on with higher numbers.
  m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 4), m_now);
  Tick();
  AnswerPoll({});
  ExpectRunnerIs(kRunnerIncarnation);
  EXPECT_TRUE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 5), m_now));
}

// Guards against starting a task elsewhere while it still runs on a runner that
// has only said that it leaves.
TEST_F(RunExecutorTest, RunsOfALeavingRunnerAreReportedOnceTheyHaveEnded) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  EXPECT_TRUE(m_executor.OnRunnerLeft(kRunnerIncarnation.m_id, m_now));
  Tick();
  EXPECT_EQ(FindReport(0), nullptr);
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  ASSERT_EQ(m_stops.size(), 1U);
  Advance(Milliseconds(20));
  RunLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kStopped}};
  AnswerPoll(lists);
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_FALSE(m_executor.runner());
}

// Guards against runs that are never reported because their runner has ended
// without another list, and against waiting for them when this agent stops.
TEST_F(RunExecutorTest, RunsOfARunnerThatIsGoneAreReportedWithTheirLeases) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  const MonoTime left_at = m_now;
  m_executor.OnRunnerLeft(kRunnerIncarnation.m_id, m_now);
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(2000));
    FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
    Advance(Milliseconds(50));
  }
  EXPECT_GE(m_now, left_at + kLeaseDuration);
  EXPECT_FALSE(m_executor.has_runs());
  EXPECT_FALSE(m_executor.runner());
}

// Guards against losing the end of a run: a restarted runner counts its ends
// anew and would forget those that an acknowledgement of earlier ones covers.
TEST_F(RunExecutorTest, NothingIsAcknowledgedAfterAFailedPoll) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  Advance(Milliseconds(20));
  RunLists lists;
  lists.m_ended = {{7, Key(0), RunOutcome::kDone}};
  AnswerPoll(lists);
  Start(1, 1000);
  Advance(Milliseconds(20));
  ASSERT_EQ(m_polls.back().m_acknowledged_ends, 7U);
  FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
  Advance(Milliseconds(60));
  EXPECT_EQ(m_polls.back().m_acknowledged_ends, 0U);
  AnswerPoll({});
  Advance(Milliseconds(20));
  EXPECT_EQ(m_polls.back().m_acknowledged_ends, 7U);
}

// Guards against a foreign heartbeat that takes the runner away from its
// service: the service is fixed for an incarnation.
TEST_F(RunExecutorTest, HeartbeatOfAnotherServiceIsRejected) {
  RegisterRunner();
  RunnerHeartbeat foreign = MakeHeartbeat(kRunnerIncarnation, 1000);
  foreign.m_service = "unknown";
  EXPECT_FALSE(m_executor.OnHeartbeat(foreign, m_now));
  EXPECT_TRUE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 2), m_now));
  EXPECT_EQ(m_executor.runner()->m_service, "service");
}

// Guards against a foreign service that is heard first, with a high number, and
// locks out the runner's own heartbeats: after a start of the agent or of the
// runner.
TEST_F(RunExecutorTest, RunnersOwnServiceWinsAfterAForeignOneCameFirst) {
  Connect();
  const auto send_foreign = [this](const RunnerIncarnation& incarnation) {
    RunnerHeartbeat foreign = MakeHeartbeat(incarnation, 1000);
    foreign.m_service = "unknown";
    m_executor.OnHeartbeat(foreign, m_now);
  };
  const auto expect_own_wins = [this](const RunnerIncarnation& incarnation) {
    EXPECT_EQ(m_executor.runner()->m_service, "unknown");
    for (uint64_t sequence = 1; sequence < 4; ++sequence) {
      m_executor.OnHeartbeat(MakeHeartbeat(incarnation, sequence), m_now);
      m_now += Milliseconds(1500);
    }
    EXPECT_EQ(m_executor.runner()->m_service, "service");
    EXPECT_TRUE(m_executor.OnHeartbeat(MakeHeartbeat(incarnation, 4), m_now));
  };
  send_foreign(kRunnerIncarnation);
  Tick();
  AnswerPoll({});
  expect_own_wins(kRunnerIncarnation);
  Tick();
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  send_foreign(kRestarted);
  expect_own_wins(kRestarted);
}

// Guards against a start after an acknowledged draining, which a foreign
// heartbeat that came first would hide.
TEST_F(RunExecutorTest, DrainingHoldsBesideAForeignService) {
  Connect();
  RunnerHeartbeat foreign = MakeHeartbeat(kRunnerIncarnation, 1000);
  foreign.m_service = "unknown";
  m_executor.OnHeartbeat(foreign, m_now);
  Tick();
  AnswerPoll({});
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  RunnerHeartbeat draining = MakeHeartbeat(kRunnerIncarnation, 1);
  draining.m_is_draining = true;
  m_executor.OnHeartbeat(draining, m_now);
  EXPECT_FALSE(m_executor.is_accepting(m_now));
}

// Guards against a start that reaches another incarnation of the runner, which
// may be smaller: one restarted at the same address takes it, since a start
// names only the id.
TEST_F(RunExecutorTest, NothingStartsAfterALostConnectionBeforeAListIsRead) {
  Connect();
  RegisterRunner();
  Advance(Milliseconds(20));
  m_executor.OnConnectionLost(m_now);
  Advance(Milliseconds(1));
  ASSERT_EQ(m_polls.back().m_purpose, PollPurpose::kConfirmIncarnation);
  EXPECT_EQ(m_polls.back().m_answer_by, m_now);
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  EXPECT_EQ(FindReport(0), nullptr);
  Advance(Milliseconds(1));
  OnPollResult(kRunnerIncarnation, PollPurpose::kConfirmIncarnation,
               RunLists{});
  Tick();
  EXPECT_EQ(m_starts.size(), 1U);
}

// Guards against a loop without pauses, and against connections that are made
// in vain, while the runner is down.
TEST_F(RunExecutorTest, RunnerThatIsDownIsCheckedOnlyWhileItIsInUse) {
  Connect();
  RegisterRunner();
  for (int i = 0; i < 200; ++i) {
    Advance(Milliseconds(10));
    if (m_polls.empty()) {
      continue;
    }
    const PollPurpose purpose = m_polls.back().m_purpose;
    m_polls.pop_back();
    m_executor.OnConnectionLost(m_now);
    OnPollResult(kRunnerIncarnation, purpose, PollFailure::kNoResponse);
    if (!m_executor.is_accepting(m_now)) {
      EXPECT_NE(purpose, PollPurpose::kConfirmIncarnation);
      EXPECT_GT(m_executor.NextDeadline(m_now), m_now);
    }
  }
  EXPECT_FALSE(m_executor.is_accepting(m_now));
}

// Guards against the same fault when the list shows that the runner has
// restarted: its capacity and labels are not known before its heartbeat.
TEST_F(RunExecutorTest, NothingStartsOnAnIncarnationThatTookThePlace) {
  Connect();
  RegisterRunner();
  Advance(Milliseconds(20));
  m_executor.OnConnectionLost(m_now);
  Advance(Milliseconds(1));
  Start(0, 9000);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  OnPollResult(kRunnerIncarnation, PollPurpose::kConfirmIncarnation, lists);
  Tick();
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  RunnerHeartbeat smaller = MakeHeartbeat(kRestarted, 1);
  smaller.m_capacity = {5000, 1000, 0};
  m_executor.OnHeartbeat(smaller, m_now);
  AnswerPollAs(kRestarted, lists);
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  Start(1, 9000);
  EXPECT_TRUE(m_starts.empty());
}

// Guards against waiting for runs that ended with the runner's last
// incarnation.
TEST_F(RunExecutorTest, NewRunnerIncarnationEndsTheRunsOfTheOldOne) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  const RunnerIncarnation successor{"successor", 200};
  m_executor.OnHeartbeat(MakeHeartbeat(successor, 1), m_now);
  Tick();
  RunLists lists;
  lists.m_start_time_ms = successor.m_start_time_ms;
  lists.m_running = {{Key(9), 10.0}};
  AnswerPollAs(successor, lists);
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kStopped);
  EXPECT_FALSE(m_executor.is_accepting(m_now));
}

// Guards against reporting a run as stopped while it runs in the runner's next
// incarnation, which its start request reached before the agent knew of it.
TEST_F(RunExecutorTest, RunThatARestartedRunnerListsGoesOn) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  Start(1, 1000);
  for (const uint32_t index : {0U, 1U}) {
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  Advance(Milliseconds(20));
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  lists.m_running = {{Key(1), 10.0}};
  AnswerPoll(lists);
  EXPECT_TRUE(m_reports.empty());
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  AnswerPollAs(kRestarted, lists);
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kStopped);
  EXPECT_EQ(FindReport(1), nullptr);
  // Its capacity and labels are not known before its heartbeat.
  EXPECT_FALSE(m_executor.is_accepting(m_now));
  EXPECT_TRUE(m_executor.OnHeartbeat(MakeHeartbeat(kRestarted, 1), m_now));
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  EXPECT_EQ(FindReport(1), nullptr);
  Advance(Milliseconds(20));
  lists.m_running = {};
  lists.m_ended = {{1, Key(1), RunOutcome::kDone}};
  AnswerPollAs(kRestarted, lists);
  ASSERT_NE(FindReport(1), nullptr);
  EXPECT_EQ(FindReport(1)->m_outcome, RunOutcome::kDone);
}

// Guards against the same fault when the heartbeat of the next incarnation
// arrives before any of its lists.
TEST_F(RunExecutorTest, RunGoesOnWhenTheHeartbeatTellsOfTheRestart) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  m_executor.OnHeartbeat(MakeHeartbeat(kRestarted, 1), m_now);
  Advance(Milliseconds(20));
  EXPECT_TRUE(m_reports.empty());
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  lists.m_running = {{Key(0), 10.0}};
  AnswerPollAs(kRestarted, lists);
  ExpectRunnerIs(kRestarted);
  AnswerPollAs(kRestarted, lists);
  EXPECT_TRUE(m_reports.empty());
  EXPECT_TRUE(m_executor.is_accepting(m_now));
}

// Guards against taking a run for ended because lists that were read before its
// start arrive late: the poll that verified the heartbeat was overtaken.
TEST_F(RunExecutorTest, ListsOfAnOvertakenVerificationAreIgnored) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnHeartbeat(MakeHeartbeat(kRestarted, 1), m_now);
  Advance(Milliseconds(1));
  ASSERT_TRUE(m_executor.IsUnverified(kRestarted));
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  lists.m_running = {{Key(0), 10.0}};
  Advance(Milliseconds(1));
  AnswerPoll(lists);
  ExpectRunnerIs(kRestarted);
  lists.m_running = {};
  OnPollResult(kRestarted, PollPurpose::kVerifyHeartbeat, lists);
  Tick();
  EXPECT_EQ(FindReport(0), nullptr);
}

// Guards against a late start request that a restarted runner carries out after
// its task was started elsewhere.
TEST_F(RunExecutorTest, LateStartsAreFencedBeforeARestartedRunnersListsCount) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  ASSERT_EQ(m_starts.size(), 1U);
  Advance(Milliseconds(20));
  m_polls.clear();
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  ASSERT_EQ(CountPolls(kRestarted), 1U);
  EXPECT_GT(m_polls.back().m_fencing_token, m_starts[0].m_fencing_token);
  // The result of the start request decides, also after the restart.
  AnswerPollAs(kRestarted, lists);
  EXPECT_TRUE(m_reports.empty());
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kUnknown,
                              m_now);
  Tick();
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_process_incarnation, kRestarted);
  m_executor.OnStopRunResult(kRestarted, Key(0), StopResult::kAccepted, m_now);
  Advance(Milliseconds(20));
  AnswerPollAs(kRestarted, lists);
  Advance(Milliseconds(20));
  AnswerPollAs(kRestarted, lists);
  ASSERT_NE(FindReport(0), nullptr);
}

// Guards against taking the leases on a restarted runner for expired: it grants
// the longest lease to an end that was computed from its earlier clock.
TEST_F(RunExecutorTest, RunOnARestartedRunnerThatGoesSilentKeepsItsLease) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  const MonoTime restarted_at = m_now;
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(3000));
    FailPoll(kRestarted, PollFailure::kNoResponse);
    Advance(Milliseconds(10));
  }
  EXPECT_GE(m_now, restarted_at + kMaxRunnerLease);
}

// Guards against the same where runners grant longer leases than by default.
TEST_F(RunExecutorTest, LongestLeaseOfARestartedRunnerIsTheOneInTheSettings) {
  constexpr Milliseconds kLongLease{2500};
  m_executor.SetMaxRunnerLease(kLongLease);
  Connect();
  RegisterRunner();
  Start(0, 1000);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  const MonoTime restarted_at = m_now;
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, restarted_at + 2 * kLongLease);
    FailPoll(kRestarted, PollFailure::kNoResponse);
    Advance(Milliseconds(10));
  }
  EXPECT_GE(m_now, restarted_at + kLongLease);
}

// Guards against a heartbeat of another writer, or a late one of an earlier
// incarnation, that ends the runner's work: its tasks would be started
// elsewhere while they run here.
TEST_F(RunExecutorTest, HeartbeatThatTheRunnerDeniesChangesNothing) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  const RunnerIncarnation other_id{"x-1", 5000};
  const RunnerIncarnation other_start_time{"runner", 5000};
  EXPECT_FALSE(m_executor.OnHeartbeat(MakeHeartbeat(other_id, 1), m_now));
  EXPECT_FALSE(
      m_executor.OnHeartbeat(MakeHeartbeat(other_start_time, 1), m_now));
  Tick();
  FailPoll(other_id, PollFailure::kOtherIncarnation);
  RunLists lists;
  lists.m_start_time_ms = kRunnerIncarnation.m_start_time_ms;
  lists.m_running = {{Key(0), 10.0}};
  AnswerPollAs(other_start_time, lists);
  ExpectRunnerIs(kRunnerIncarnation);
  EXPECT_EQ(FindReport(0), nullptr);
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  EXPECT_TRUE(
      m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 2), m_now));
  m_polls.clear();
  Advance(Milliseconds(200));
  EXPECT_EQ(CountPolls(other_id), 0U);
  EXPECT_EQ(CountPolls(other_start_time), 0U);
}

// Guards against a foreign heartbeat that arrives before the runner's own and
// keeps the runner from ever getting work.
TEST_F(RunExecutorTest, RunnerIsAcceptedAfterAForeignHeartbeat) {
  Connect();
  const RunnerIncarnation foreign{"x-1", 5000};
  m_executor.OnHeartbeat(MakeHeartbeat(foreign, 99), m_now);
  m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 1), m_now);
  Tick();
  EXPECT_FALSE(m_executor.runner());
  AnswerPoll({});
  FailPoll(foreign, PollFailure::kOtherIncarnation);
  Tick();
  ExpectRunnerIs(kRunnerIncarnation);
  EXPECT_TRUE(m_executor.is_accepting(m_now));
}

// Guards against a runner that stays unknown because the poll that verifies its
// heartbeat was lost.
TEST_F(RunExecutorTest, VerificationIsRepeatedUntilTheRunnerAnswers) {
  m_executor.OnHeartbeat(MakeHeartbeat(kRunnerIncarnation, 1), m_now);
  Tick();
  ASSERT_EQ(CountPolls(kRunnerIncarnation), 1U);
  FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
  EXPECT_FALSE(m_executor.runner());
  Advance(Milliseconds(100));
  ASSERT_EQ(CountPolls(kRunnerIncarnation), 2U);
  AnswerPoll({});
  ExpectRunnerIs(kRunnerIncarnation);
}

// Guards against a runner whose start time lies before that of its predecessor,
// because the clock of its machine was set back, and which gets no work.
TEST_F(RunExecutorTest, RunnerIsReplacedByOneWithAnEarlierStartTime) {
  RegisterRunner();
  const RunnerIncarnation successor{"successor", 50};
  m_executor.OnHeartbeat(MakeHeartbeat(successor, 1), m_now);
  Tick();
  AnswerPollAs(successor, {});
  ExpectRunnerIs(successor);
  EXPECT_TRUE(m_executor.is_accepting(m_now));
}

// Guards against two incarnations of an entry that both act: what the earlier
// one has sent may be read after the later one has connected.
TEST_F(RunExecutorTest, ReplacedIncarnationOfAnEntryStartsNothing) {
  const ProcessId successor{kEntry.m_name, kEntry.m_incarnation + 1};
  Connect();
  RegisterRunner();
  Connect(successor);
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
  m_executor.OnEntryHeartbeat(kEntry, {m_now}, m_now);
  Start(1, 1000);
  EXPECT_TRUE(m_starts.empty());
  Start(2, 1000, 0, successor);
  EXPECT_EQ(m_starts.size(), 1U);
}

// Guards against a late connection of an earlier incarnation that takes the
// place of its successor.
TEST_F(RunExecutorTest, SuccessorOutlivesALateConnectionOfItsPredecessor) {
  const ProcessId successor{kEntry.m_name, kEntry.m_incarnation + 1};
  RegisterRunner();
  Connect(successor);
  Connect();
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  Start(1, 1000, 0, successor);
  EXPECT_EQ(m_starts.size(), 1U);
}

// Guards against a run that waits for a runner which takes no more work,
// instead of being reported so that its entry can place the task elsewhere.
TEST_F(RunExecutorTest, DrainingRunnerGetsNoNewRuns) {
  Connect();
  RegisterRunner();
  RunnerHeartbeat draining = MakeHeartbeat(kRunnerIncarnation, 2);
  draining.m_is_draining = true;
  m_executor.OnHeartbeat(draining, m_now);
  Start(0, 1000);
  EXPECT_TRUE(m_starts.empty());
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kNotStarted);
}

// Guards against a runner that rejects all requests because it has seen a
// higher token.
TEST_F(RunExecutorTest, FencedStartRaisesTheToken) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  const uint64_t token = m_starts[0].m_fencing_token;
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kFenced,
                              m_now);
  Start(1, 1000);
  ASSERT_EQ(m_starts.size(), 2U);
  EXPECT_GT(m_starts[1].m_fencing_token, token);
}

// Guards against a runner that fails all runs and attracts all work, because it
// is always free.
TEST_F(RunExecutorTest, RunnerThatFailsAllRunsIsPausedAndRetried) {
  Connect();
  RegisterRunner();
  for (uint32_t index = 0; index < 3; ++index) {
    Start(index, 1000);
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  Advance(Milliseconds(20));
  RunLists lists;
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
  EXPECT_EQ(m_starts.size(), 4U);  // One run at a time until one is done.
}

// Guards against a run that is reported as ended without a trace of the reason.
TEST_F(RunExecutorTest, ReportTellsWhatShowsTheEnd) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  Start(1, 1000);
  Start(2, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(1), StartResult::kStarted,
                              m_now);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(2),
                              StartResult::kRejected, m_now);
  Advance(Milliseconds(70));
  RunLists lists;
  lists.m_ended = {{1, Key(0), RunOutcome::kFailed}};
  AnswerPoll(lists);
  Advance(Milliseconds(70));
  AnswerPoll({});
  m_executor.OnStopRun(kEntry, {Key(0)}, m_now);
  m_executor.OnStopRun(kEntry, {Key(9)}, m_now);
  Tick();
  const std::vector<std::optional<EndEvidence>> expected{
      EndEvidence::kStartRejected, EndEvidence::kEndListed,
      EndEvidence::kNotListed, std::nullopt, EndEvidence::kUnknownRun};
  EXPECT_EQ(m_evidence, expected);
  EXPECT_EQ(ToString(EndEvidence::kNotListed), "not_listed");
}

// Guards against a lease that expires because one poll was lost.
TEST_F(RunExecutorTest, LeaseIsRenewedWhileRunsAreInProgress) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
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

// Guards against a run of a lost entry that outlives the time after which the
// entry starts its task elsewhere: the runner has not carried out the stop, and
// polls for other runs keep its lease alive.
TEST_F(RunExecutorTest, LeaseIsNotRenewedWhileAStopIsOverdue) {
  Connect();
  Connect(kOtherEntry);
  RegisterRunner();
  Start(0, 1000);
  Start(1, 1000, 0, kOtherEntry);
  for (uint32_t index : {0U, 1U}) {
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  const auto poll_for = [this](Milliseconds time) {
    const MonoTime end = m_now + time;
    m_polls.clear();
    while (m_now < end) {
      m_executor.OnEntryHeartbeat(kOtherEntry, {m_now}, m_now);
      AnswerPoll({{}, {}, {{Key(0), 10.0}, {Key(1), 10.0}}, {}});
      Advance(Milliseconds(20), /*sends_heartbeats=*/false);
    }
  };
  poll_for(kEntryHeartbeatTimeout + Milliseconds(20));
  EXPECT_FALSE(m_stops.empty());
  poll_for(Milliseconds(200));
  ASSERT_FALSE(m_polls.empty());
  EXPECT_TRUE(std::ranges::none_of(m_polls, [](const PollRequest& poll) {
    return poll.m_lease_until.has_value();
  }));
  // A start would extend the lease of everything on the runner.
  Start(2, 1000, 0, kOtherEntry);
  EXPECT_EQ(m_starts.size(), 2U);
  m_executor.OnStopRunResult(kRunnerIncarnation, Key(0), StopResult::kAccepted,
                             m_now);
  poll_for(Milliseconds(40));
  ASSERT_FALSE(m_polls.empty());
  EXPECT_TRUE(m_polls.back().m_lease_until);
}

// Guards against the same by some ms: a client sends its job again 1.3 s after
// its entry was lost.
TEST_F(RunExecutorTest, RunOfALostEntryEndsBeforeItsClientSendsAgain) {
  constexpr Milliseconds kResendDelay{1300};
  Connect();
  Connect(kOtherEntry);
  RegisterRunner();
  Start(0, 1000);
  Start(1, 1000, 0, kOtherEntry);
  for (uint32_t index : {0U, 1U}) {
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  const MonoTime lost_at = m_now;
  MonoTime granted_at = lost_at;
  while (m_now < lost_at + kResendDelay) {
    m_polls.clear();
    m_starts.clear();
    m_executor.OnEntryHeartbeat(kOtherEntry, {m_now}, m_now);
    AnswerPoll({{}, {}, {{Key(0), 10.0}, {Key(1), 10.0}}, {}});
    Start(2 + static_cast<uint32_t>(m_sequence), 10, 0, kOtherEntry);
    Advance(Milliseconds(5), /*sends_heartbeats=*/false);
    const bool is_granted =
        !m_starts.empty() ||
        std::ranges::any_of(m_polls, [](const PollRequest& poll) {
          return poll.m_lease_until.has_value();
        });
    granted_at = is_granted ? m_now : granted_at;
  }
  const auto lease = std::chrono::duration_cast<Microseconds>(
      kLeaseDuration * kRunnerClockDriftFactor);
  EXPECT_LE(granted_at + lease + kMaxStopTime, lost_at + kResendDelay);
}

// Guards against a run that nobody waits for and that goes on while other runs
// keep the runner's lease alive.
TEST_F(RunExecutorTest, LeaseIsNotRenewedForAnOrphanedRun) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  for (int i = 0; i < 10; ++i) {
    m_polls.clear();
    Advance(Milliseconds(20));
    AnswerPoll({{}, {}, {{Key(0), 10.0}, {Key(7), 10.0}}, {}});
  }
  ASSERT_FALSE(m_polls.empty());
  EXPECT_FALSE(m_polls.back().m_lease_until);
  m_polls.clear();
  Advance(Milliseconds(20));
  AnswerPoll({{}, {}, {{Key(0), 10.0}}, {}});
  ASSERT_FALSE(m_polls.empty());
  EXPECT_TRUE(m_polls.back().m_lease_until);
}

// Guards against a stop that the runner leaves unanswered for a moment and that
// costs the other runs their lease.
TEST_F(RunExecutorTest, LeaseIsRenewedWhileAStartIsUnconfirmed) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  Start(1, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(1), StartResult::kUnknown,
                              m_now);
  for (int i = 0; i < 20; ++i) {
    m_polls.clear();
    Advance(Milliseconds(20));
    AnswerPoll({{}, {}, {{Key(0), 10.0}, {Key(1), 10.0}}, {}});
    Advance(Milliseconds(20));
    ASSERT_FALSE(m_polls.empty());
    EXPECT_TRUE(m_polls.back().m_lease_until);
  }
}

// Guards against a run that is reported as ended while it still runs: on a
// runner whose clock is slow, a lease that was computed from an old reading of
// that clock lasts longer, and the runner needs time to kill what has expired.
TEST_F(RunExecutorTest, RunsOfAnUnreachableRunnerWithASlowClockHaveEnded) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  // The last reading of the runner's clock that reaches the agent.
  const MonoTime read_at = m_now;
  const RunnerTime read_clock(5000);
  RunnerTime lease_until = m_starts.back().m_lease_until;
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(2500));
    if (!m_polls.empty()) {
      FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
    }
    m_polls.clear();
    Advance(Milliseconds(1));
    for (const PollRequest& poll : m_polls) {
      lease_until =
          std::max(lease_until, poll.m_lease_until.value_or(RunnerTime(0)));
    }
  }
  const auto expires_at =
      read_at + std::chrono::duration_cast<Microseconds>(
                    (lease_until - read_clock) * kRunnerClockDriftFactor);
  EXPECT_GE(m_now, expires_at + kMaxStopTime);
}

// Guards against taking the leases on a restarted runner for expired once its
// lists have been read: a shorter renewal does not shorten the long lease that
// it granted to an end computed from its earlier clock.
TEST_F(RunExecutorTest, RenewalDoesNotShortenTheLeaseOfARestartedRunner) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  const MonoTime restarted_at = m_now;
  lists.m_running = {{Key(0), 10.0}};
  Advance(Milliseconds(5));
  AnswerPollAs(kRestarted, lists);
  Advance(Milliseconds(5));  // A poll renews the lease.
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(3000));
    FailPoll(kRestarted, PollFailure::kNoResponse);
    Advance(Milliseconds(1));
  }
  EXPECT_GE(m_now, restarted_at + kMaxRunnerLease);
}

// Guards against taking a long lease on a slow clock for expired too early.
TEST_F(RunExecutorTest, LongLeaseOnASlowClockIsCountedInFull) {
  constexpr Milliseconds kLongLease{5000};
  m_executor.SetMaxRunnerLease(kLongLease);
  Connect();
  RegisterRunner();
  Start(0, 1000);
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  const MonoTime restarted_at = m_now;
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, restarted_at + 2 * kLongLease);
    FailPoll(kRestarted, PollFailure::kNoResponse);
    Advance(Milliseconds(1));
  }
  EXPECT_GE(m_now, restarted_at +
                       std::chrono::duration_cast<Microseconds>(
                           kLongLease * kRunnerClockDriftFactor) +
                       kMaxStopTime);
}

// Guards against a run of a lost entry that goes on when its client sends the
// job again (jobs/leases.h), 1.3 s after the entry's connections broke.
TEST_F(RunExecutorTest, RunOfALostEntryHasEndedWhenItsClientRetries) {
  constexpr Milliseconds kClientRetryDelay{1300};
  Connect();
  Connect(kOtherEntry);
  RegisterRunner();
  const MonoTime lost_at = m_now;
  const RunnerTime clock_at_start(5000);
  Start(0, 1000);
  Start(1, 1000, 0, kOtherEntry);
  for (uint32_t index : {0U, 1U}) {
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  RunnerTime lease_until(0);
  // The runner's clock is slow by kRunnerClockDriftFactor.
  const auto runner_clock = [&] {
    return clock_at_start + std::chrono::duration_cast<RunnerTime>(
                                (m_now - lost_at) / kRunnerClockDriftFactor);
  };
  while (m_now < lost_at + Milliseconds(1200)) {
    m_polls.clear();
    m_now += Milliseconds(1);
    m_executor.OnEntryHeartbeat(kOtherEntry, {m_now}, m_now);
    RunLists lists;
    lists.m_clock = runner_clock();
    lists.m_running = {{Key(0), 10.0}, {Key(1), 10.0}};
    OnPollResult(kRunnerIncarnation, lists);
    Tick();
    for (const PollRequest& poll : m_polls) {
      lease_until =
          std::max(lease_until, poll.m_lease_until.value_or(RunnerTime(0)));
    }
  }
  const auto killed_at =
      lost_at +
      std::chrono::duration_cast<Microseconds>((lease_until - clock_at_start) *
                                               kRunnerClockDriftFactor) +
      kMaxStopTime;
  EXPECT_LE(killed_at, lost_at + kClientRetryDelay)
      << (killed_at - lost_at).count() << " us after the loss";
}

// Guards against an agent that stands still for a moment and then renews the
// lease of a run whose entry was lost meanwhile.
TEST_F(RunExecutorTest, StopIsDueFromTheLossOfTheEntryNotFromItsDiscovery) {
  Connect();
  Connect(kOtherEntry);
  RegisterRunner();
  const MonoTime lost_at = m_now;
  Start(0, 1000);
  Start(1, 1000, 0, kOtherEntry);
  for (uint32_t index : {0U, 1U}) {
    m_executor.OnStartRunResult(kRunnerIncarnation, Key(index),
                                StartResult::kStarted, m_now);
  }
  const auto poll = [this] {
    m_polls.clear();
    m_executor.OnEntryHeartbeat(kOtherEntry, {m_now}, m_now);
    AnswerPoll({{}, {}, {{Key(0), 10.0}, {Key(1), 10.0}}, {}});
    Tick();
  };
  while (m_now < lost_at + Milliseconds(450)) {
    m_now += Milliseconds(10);
    poll();
  }
  m_now += Milliseconds(300);  // The agent stands still.
  MonoTime renewed_at = lost_at;
  while (m_now < lost_at + Milliseconds(1000)) {
    poll();
    m_now += Milliseconds(5);
    Tick();
    for (const PollRequest& sent : m_polls) {
      renewed_at = sent.m_lease_until ? m_now : renewed_at;
    }
  }
  EXPECT_LE(renewed_at, lost_at + kEntryHeartbeatTimeout + kMaxStopTime)
      << (renewed_at - lost_at).count() << " us after the loss";
}

// Guards against a run that was reported as ended, goes on nevertheless, and
// whose lease other runs keep alive.
TEST_F(RunExecutorTest, LeaseIsNotRenewedForAReportedRunThatGoesOn) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kUnknown,
                              m_now);
  while (FindReport(0) == nullptr) {
    ASSERT_LT(m_now, kStart + Milliseconds(3000));
    FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
    Advance(Milliseconds(10));
  }
  // The runner was restarted meanwhile and has carried out the late start.
  RunLists lists;
  lists.m_start_time_ms = kRestarted.m_start_time_ms;
  AnswerPoll(lists);
  m_executor.OnHeartbeat(MakeHeartbeat(kRestarted, 1), m_now);
  lists.m_running = {{Key(0), 10.0}};
  for (int i = 0; i < 15; ++i) {
    Advance(Milliseconds(20));
    AnswerPollAs(kRestarted, lists);
  }
  m_starts.clear();
  m_polls.clear();
  Start(1, 1000);
  for (int i = 0; i < 10; ++i) {
    Advance(Milliseconds(20));
    AnswerPollAs(kRestarted, lists);
  }
  EXPECT_TRUE(m_starts.empty());
  EXPECT_TRUE(std::ranges::none_of(m_polls, [](const PollRequest& poll) {
    return poll.m_lease_until.has_value();
  }));
}

// Guards against one lost answer to the stop of a cancelled run that costs the
// runs of other jobs their place in the queue.
TEST_F(RunExecutorTest, OneLostAnswerToAStopRejectsNoWaitingRun) {
  Connect();
  RegisterRunner();
  Start(0, 9000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Start(1, 9000);  // Waits for room, up to 60 ms.
  Advance(Milliseconds(2));
  m_executor.OnStopRun(kEntry, StopRun{Key(0)}, m_now);
  Tick();
  ASSERT_EQ(m_stops.size(), 1U);
  for (int i = 0; i < 54; ++i) {
    Advance(Milliseconds(1));
    AnswerPoll({{}, {}, {{Key(0), 10.0}}, {}});
  }
  EXPECT_TRUE(m_executor.is_accepting(m_now));
  EXPECT_EQ(FindReport(1), nullptr);
}

// Guards against waiting forever for the runs of an unreachable runner, which
// kills them when their leases expire.
TEST_F(RunExecutorTest,
       RunsOfAnUnreachableRunnerAreReportedAfterTheLeaseExpires) {
  Connect();
  RegisterRunner();
  Start(0, 1000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  for (int i = 0; i < 15 && FindReport(0) == nullptr; ++i) {
    FailPoll(kRunnerIncarnation, PollFailure::kNoResponse);
    Advance(Milliseconds(100));
  }
  ASSERT_NE(FindReport(0), nullptr);
  EXPECT_EQ(FindReport(0)->m_outcome, RunOutcome::kStopped);
  EXPECT_GE(m_now, kStart + kLeaseDuration);
  EXPECT_TRUE(m_executor.has_runs());  // Its reservation is kept.
}

// Guards against starting what an entry with outdated state sends.
TEST_F(RunExecutorTest, NothingStartsInAClosedZone) {
  Connect();
  RegisterRunner();
  Start(0, 6000);
  m_executor.OnStartRunResult(kRunnerIncarnation, Key(0), StartResult::kStarted,
                              m_now);
  Start(1, 6000);
  ASSERT_EQ(m_starts.size(), 1U);
  m_executor.OnClosedZones({"zone"}, m_now);
  Tick();
  EXPECT_FALSE(m_status->m_is_accepting);
  // It waited for capacity.
  ASSERT_NE(FindReport(1), nullptr);
  EXPECT_EQ(FindReport(1)->m_outcome, RunOutcome::kNotStarted);
  Start(2, 1000);
  ASSERT_NE(FindReport(2), nullptr);
  EXPECT_EQ(FindReport(2)->m_outcome, RunOutcome::kNotStarted);
  // What runs already goes on.
  EXPECT_EQ(FindReport(0), nullptr);
  EXPECT_TRUE(m_stops.empty());
  m_executor.OnClosedZones({"other"}, m_now);
  Advance(Milliseconds(20));
  EXPECT_TRUE(m_status->m_is_accepting);
  Start(3, 1000);
  EXPECT_EQ(m_starts.size(), 2U);
}

}  // namespace
}  // namespace comfreyshift
