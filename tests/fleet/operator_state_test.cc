// Runs entries and agents in one process, with connections on loopback, and
// gives some of them the operator's state.

#include <glib.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

constexpr const char* kZone = "zone";

bool RunUntil(const std::function<bool()>& condition) {
  const MonoTime end = BootClock::now() + std::chrono::seconds(5);
  while (!condition()) {
    if (BootClock::now() >= end) {
      return false;
    }
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
  return true;
}

// The api of a runner that does not respond.
RunnerApi MakeRunnerApi() {
  RunnerApi api;
  api.m_start = [](const StartRequest&,
                   const std::function<void(StartResult)>& callback) {
    callback(StartResult::kUnknown);
  };
  api.m_stop = [](const StopRequest&,
                  const std::function<void(StopResult)>& callback) {
    callback(StopResult::kUnknown);
  };
  api.m_poll =
      [](const PollRequest&,
         const std::function<void(std::variant<RunLists, PollFailure>)>&) {};
  return api;
}

class OperatorStateTest : public testing::Test {
 protected:
  void StartAgent() {
    m_agent.reset();
    m_agent =
        std::make_unique<AgentNode>(ProcessId{"agent", ++m_incarnation},
                                    m_incarnation, MakeRunnerApi(), m_metrics);
    ASSERT_TRUE(m_agent->Listen(m_address));
  }

  std::unique_ptr<EntryNode> StartEntry(const std::string& name) {
    auto entry = std::make_unique<EntryNode>(ProcessId{name, ++m_incarnation});
    entry->SetAgents({{"agent", m_address}});
    return entry;
  }

  bool AgentLearns(const OperatorState& state) {
    return RunUntil([&]() { return m_agent->operator_state() == state; });
  }

  const Address m_address = TestAddress(0);
  NodeMetrics m_metrics;
  uint64_t m_incarnation = 0;
  std::unique_ptr<AgentNode> m_agent;
};

// Guards against an entry that is cut off from the store and uses a closed zone
// although its agents know better, and against agents that do not learn it.
TEST_F(OperatorStateTest, NewerStateReachesAgentsAndOtherEntries) {
  StartAgent();
  const auto cut_off = StartEntry("cut-off");
  std::vector<uint64_t> learned;
  cut_off->SetNewerStateFunction(
      [&](uint64_t revision) { learned.push_back(revision); });
  cut_off->SetOperatorState({5, {}});
  ASSERT_TRUE(AgentLearns({5, {}}));
  const auto entry = StartEntry("entry");
  entry->SetOperatorState({10, {kZone}});
  EXPECT_TRUE(AgentLearns({10, {kZone}}));
  EXPECT_TRUE(RunUntil([&]() { return !learned.empty(); }));
  EXPECT_EQ(learned, std::vector<uint64_t>{10});
  EXPECT_EQ(cut_off->operator_state(), (OperatorState{10, {kZone}}));
  entry->SetOperatorState({12, {}});
  EXPECT_TRUE(RunUntil([&]() {
    return cut_off->operator_state() == OperatorState{12, {}};
  }));
}

// Guards against going back to an older state: a late response of the store, or
// an entry that was cut off, would open a closed zone again.
TEST_F(OperatorStateTest, OlderStateIsIgnored) {
  StartAgent();
  const auto entry = StartEntry("entry");
  entry->SetOperatorState({10, {kZone}});
  ASSERT_TRUE(AgentLearns({10, {kZone}}));
  const auto outdated = StartEntry("outdated");
  outdated->SetOperatorState({7, {}});
  EXPECT_TRUE(
      RunUntil([&]() { return outdated->operator_state().m_revision == 10; }));
  outdated->SetOperatorState({9, {}});
  EXPECT_EQ(outdated->operator_state(), (OperatorState{10, {kZone}}));
  EXPECT_EQ(m_agent->operator_state(), (OperatorState{10, {kZone}}));
}

// Guards against an agent that starts runs in a closed zone after its restart.
TEST_F(OperatorStateTest, RestartedAgentLearnsTheState) {
  StartAgent();
  const auto entry = StartEntry("entry");
  entry->SetOperatorState({10, {kZone}});
  ASSERT_TRUE(AgentLearns({10, {kZone}}));
  StartAgent();
  EXPECT_TRUE(AgentLearns({10, {kZone}}));
}

// Guards against sending the state again and again, and against closing the
// connection to a peer of an older version with a message it does not know.
TEST(OperatorStatePeerTest, StateIsSentOnceAndOnlyToPeersThatKnowIt) {
  OperatorStatePeer peer(kOperatorStateVersion);
  EXPECT_FALSE(peer.TakeDue(0));
  EXPECT_TRUE(peer.TakeDue(3));
  EXPECT_FALSE(peer.TakeDue(3));
  peer.OnReceived(5);
  EXPECT_FALSE(peer.TakeDue(5));
  EXPECT_TRUE(peer.TakeDue(6));
  OperatorStatePeer older(0);
  EXPECT_FALSE(older.TakeDue(7));
}

// Guards against an entry that is cut off from the store and learns of a
// closing late although one of its agents has read it.
TEST_F(OperatorStateTest, AgentPassesOnWhatItHasRead) {
  StartAgent();
  const auto cut_off = StartEntry("cut-off");
  ASSERT_TRUE(RunUntil([&]() { return cut_off->connected_agents() == 1; }));
  m_agent->SetOperatorState({10, {kZone}});
  EXPECT_TRUE(RunUntil([&]() {
    return cut_off->operator_state() == OperatorState{10, {kZone}};
  }));
}

// Guards against a zone that an agent opens on the word of an entry that has
// missed its second closing, and on an older read of its own.
TEST_F(OperatorStateTest, OlderStateOpensNoZoneThatTheAgentHasReadAsClosed) {
  StartAgent();
  m_agent->SetOperatorState({10, {kZone}});
  m_agent->SetOperatorState({20, {kZone}});
  const auto outdated = StartEntry("outdated");
  outdated->SetOperatorState({15, {}});
  EXPECT_TRUE(RunUntil([&]() {
    return outdated->operator_state() == OperatorState{20, {kZone}};
  }));
  m_agent->SetOperatorState({15, {}});
  EXPECT_EQ(m_agent->operator_state(), (OperatorState{20, {kZone}}));
}

}  // namespace
}  // namespace comfreyshift
