// Runs the real program as separate processes on loopback, with values that
// another writer left in the store or sent: nested too deeply, with numbers out
// of range, or with bytes that cannot be read. Guards against such a value
// ending a process or hiding the values next to it.

#include <gtest/gtest.h>
#include <signal.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "platform/registration.h"
#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_documents.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

constexpr size_t kDepth = 400'000;

// Above the numbers of the runner's own heartbeats.
constexpr uint64_t kLaterSequence = 1'000'000;
constexpr const char* kSequenceText = "1000000";

// An object whose field `name` holds kDepth arrays within each other.
std::string NestedObject(const std::string& name) {
  return "{\"" + name + "\":" + std::string(kDepth, '[') +
         std::string(kDepth, ']') + "}";
}

// `text` with the first `old_part` replaced.
std::string With(std::string text,
                 std::string_view old_part,
                 std::string_view new_part) {
  return text.replace(text.find(old_part), old_part.size(), new_part);
}

std::string HeartbeatText(const std::string& state) {
  return Json{{"service", "service"},
              {"address", TestAddress(15).ToString()},
              {"zone", "zone"},
              {"state", state},
              {"capacity", {{"cpu", 10'000}, {"mem_mb", 4096}, {"gpu", 0}}},
              {"labels", {"a", "r1"}},
              {"clock_ms", 1},
              {"born", 1},
              {"seq", kLaterSequence}}
      .dump();
}

// Each names no runner to use.
std::vector<std::string> OddHeartbeats() {
  const std::string right = HeartbeatText("ready");
  const std::string port = std::to_string(TestAddress(15).m_port);
  return {NestedObject("labels"), With(right, kSequenceText, "1e300"),
          With(right, ":" + port, ":77200"),
          With(right, "\"ready\"", "\"\xff\xfe\"")};
}

std::string AgentKey(const std::string& name) {
  return platform::kAgentsPrefix + name;
}

// A record as an agent at `address` writes it after `heartbeat`.
std::string RecordText(const Address& address, const std::string& heartbeat) {
  return Json{{"address", address.ToString()},
              {"runner_id", "i-0"},
              {"runner_report", heartbeat}}
      .dump();
}

// Each names no agent to use.
std::vector<std::string> OddRecords() {
  const Address address = TestAddress(7);
  return {
      NestedObject("address"),
      RecordText(address, With(HeartbeatText("ready"), kSequenceText, "1e300")),
      R"({"address":"127.0.0.1:77200"})", "{\"address\":\"\xff\xfe\"}"};
}

// Sorts before the names of the agents.
std::string OddAgentKey(size_t index) {
  return AgentKey("a-" + std::to_string(index));
}

class OddInputTest : public PlatformFleet {
 protected:
  void PutOddAgents() {
    for (size_t i = 0; const std::string& record : OddRecords()) {
      m_store.Put(OddAgentKey(i++), record);
    }
    // The agent has a record under its own name.
    m_store.Put(AgentKey(""), RecordText(TestAddress(7), ""));
  }

  std::shared_ptr<Answer> PutHeartbeat(const std::string& body) {
    HttpClientOptions options;
    options.m_base_url = "http://" + TestAddress(2).ToString();
    m_client = HttpClient::Make(options).value();
    return AnswerTo(Send("PUT", "/api/instances/i-0", body));
  }

  static std::shared_ptr<Answer> AnswerTo(std::shared_ptr<Answer> answer) {
    EXPECT_TRUE(RunUntil([&]() { return answer->m_is_there; }));
    return answer;
  }

  void ExpectAllServe() {
    EXPECT_FALSE(m_entry->HasExited());
    EXPECT_FALSE(m_agents[0]->HasExited());
    EXPECT_FALSE(m_agents[1]->HasExited());
  }
};

// An odd record must not keep an entry from the agents of the others, neither
// when it is there first nor when it comes later.
TEST_F(OddInputTest, OddRecordsHideNoAgents) {
  m_agents[1].reset();
  PutOddAgents();
  StartEntry();
  BecomeReady();
  EXPECT_EQ(AnswerTo(SubmitJob(1))->m_status, 200);
  PutOddAgents();
  RunFor(Milliseconds(500));
  StartAgent(1);
  ASSERT_TRUE(RunUntil(
      [this]() { return Count(*m_agents[1], "runner_accepting") > 0; }));
  ASSERT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"agent\":\"agent-1\"") != std::string::npos;
  }));
  RunFor(Milliseconds(500));
  // More than one agent has room for.
  EXPECT_EQ(AnswerTo(SubmitJob(12))->m_status, 200);
  EXPECT_GT(m_runners[1]->runner().starts(), 0U);
  const std::string log = m_entry->Log();
  for (size_t i = 0; i < OddRecords().size(); ++i) {
    EXPECT_NE(log.find("\"" + OddAgentKey(i) + "\""), std::string::npos) << i;
  }
  EXPECT_NE(log.find("\"" + AgentKey("") + "\""), std::string::npos);
  EXPECT_GT(Count(*m_entry, "malformed_agent"), OddRecords().size());
  // A second connection to the same agent would end the first.
  EXPECT_EQ(Count(*m_entry, "agent_connected"), 2U);
  EXPECT_EQ(Count(*m_entry, "agent_disconnected"), 0U);
  ExpectAllServe();
}

// A copy of an agent's record under another name must not cost the entry its
// connection to the agent, neither when it comes later nor when it is there
// first.
TEST_F(OddInputTest, CopiesOfARecordCutNoConnections) {
  BecomeReady();
  m_store.Put(AgentKey("a-copy"), RecordText(TestAddress(7), ""));
  m_store.Put(AgentKey("z-copy"), RecordText(TestAddress(7), ""));
  RunFor(Milliseconds(1000));
  EXPECT_EQ(Count(*m_entry, "agent_disconnected"), 0U);
  EXPECT_EQ(AnswerTo(SubmitJob(12))->m_status, 200);
  StartEntry();
  BecomeReady();
  RunFor(Milliseconds(1000));
  EXPECT_EQ(Count(*m_entry, "agent_connected"), 2U);
  EXPECT_EQ(Count(*m_entry, "agent_disconnected"), 0U);
  EXPECT_EQ(AnswerTo(SubmitJob(12))->m_status, 200);
  ExpectAllServe();
}

// A heartbeat that cannot be read must neither end the agent nor count as one,
// so that later ones look old.
TEST_F(OddInputTest, OddHeartbeatsAreRejected) {
  BecomeReady();
  for (const std::string& heartbeat : OddHeartbeats()) {
    EXPECT_EQ(PutHeartbeat(heartbeat)->m_status, 400)
        << heartbeat.substr(0, 99);
  }
  EXPECT_EQ(Count(*m_agents[0], "malformed_heartbeat"), OddHeartbeats().size());
  EXPECT_EQ(Count(*m_agents[0], "runner_not_accepting"), 0U);
  EXPECT_EQ(PutHeartbeat(HeartbeatText("draining"))->m_status, 200);
  EXPECT_TRUE(RunUntil(
      [this]() { return Count(*m_agents[0], "runner_not_accepting") == 1; }));
  ExpectAllServe();
}

// The body of one client must not end the jobs of all.
TEST_F(OddInputTest, AJobThatNestsTooDeepIsRejected) {
  BecomeReady();
  const auto odd =
      AnswerTo(Send("POST", "/p/00000000000000aa", NestedObject("steps")));
  EXPECT_EQ(odd->m_status, 400);
  EXPECT_EQ(AnswerTo(SubmitJob(1))->m_status, 200);
  ExpectAllServe();
}

// Changes that cannot be read must not keep an entry from later ones.
TEST_F(OddInputTest, AConfigurationAfterUnreadableChangesIsApplied) {
  BecomeReady();
  m_store.SpoilHistory();
  m_store.Put("op/config", ConfigText(9));
  EXPECT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":9") != std::string::npos;
  }));
  EXPECT_GT(Count(*m_entry, "malformed_answer"), 0U);
  // It follows again.
  m_store.Put("op/config", ConfigText(11));
  EXPECT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":11") != std::string::npos;
  }));
  ExpectAllServe();
}

// What stands in the store under an agent's own name is its last record or that
// of another writer; an agent that ended by it would do so at each start.
TEST_F(OddInputTest, AnAgentWithAnOddRecordStarts) {
  BecomeReady();
  for (const std::string& record : OddRecords()) {
    m_agents[0]->Signal(SIGKILL);
    ASSERT_TRUE(RunUntil([this]() { return m_agents[0]->HasExited(); }));
    m_store.Put(AgentKey("agent-0"), record);
    StartAgent(0);
    EXPECT_TRUE(RunUntil(
        [this]() { return Count(*m_agents[0], "runner_accepting") == 1; }));
    EXPECT_TRUE(
        RunUntil([this]() { return Count(*m_agents[0], "registered") > 0; }));
    EXPECT_EQ(Count(*m_agents[0], "malformed_record"), 1U)
        << record.substr(0, 99);
  }
  RunFor(Milliseconds(500));
  EXPECT_EQ(AnswerTo(SubmitJob(12))->m_status, 200);
  EXPECT_GT(m_runners[0]->runner().starts(), 0U);
  ExpectAllServe();
}

}  // namespace
}  // namespace comfreyshift
