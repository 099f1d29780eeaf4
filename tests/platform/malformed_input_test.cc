// Runs the real program as separate processes on loopback, with malformed
// values that another writer has stored or sent: nested too deeply, with
// numbers out of range, or with bytes that are not UTF-8. Guards against such a
// value ending a process or hiding the valid values next to it.

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

// Above the sequence numbers of the heartbeats that the runner stand-in sends.
constexpr uint64_t kLaterSequence = 1'000'000;
constexpr const char* kSequenceText = "1000000";

// Returns an object whose field `name` holds kDepth nested arrays.
std::string NestedObject(const std::string& name) {
  return "{\"" + name + "\":" + std::string(kDepth, '[') +
         std::string(kDepth, ']') + "}";
}

// Returns `text` with the first `old_part` replaced.
std::string ReplaceFirst(std::string text,
                         std::string_view old_part,
                         std::string_view new_part) {
  return text.replace(text.find(old_part), old_part.size(), new_part);
}

std::string HeartbeatText(const std::string& state) {
  return Json{{"service", "service"},
              {"address", TestAddress(15).ToString()},
              {"zone", "zone"},
              {"version", "v1"},
              {"slots", 8},
              {"cold_left_ms", 0},
              {"state", state},
              {"capacity", {{"cpu", 10'000}, {"mem_mb", 4096}, {"gpu", 0}}},
              {"labels", {"a", "r1"}},
              {"clock_ms", 1},
              {"born", 1},
              {"seq", kLaterSequence}}
      .dump();
}

// Returns heartbeats that an agent must reject.
std::vector<std::string> MalformedHeartbeats() {
  const std::string valid = HeartbeatText("ready");
  const std::string port = std::to_string(TestAddress(15).m_port);
  return {NestedObject("labels"),
          ReplaceFirst(valid, kSequenceText, "1e300"),
          ReplaceFirst(valid, ":" + port, ":77200"),
          ReplaceFirst(valid, "\"ready\"", "\"\xff\xfe\""),
          ReplaceFirst(valid, "\"zone\":", "\"zone_name\":"),
          ReplaceFirst(valid, "\"slots\":8", "\"slots\":\"eight\""),
          ReplaceFirst(valid, "\"version\":", "\"build\":"),
          ReplaceFirst(valid, "\"labels\":[\"a\",\"r1\"]", "\"labels\":\"a\"")};
}

std::string AgentKey(const std::string& name) {
  return platform::kAgentsPrefix + name;
}

// Returns the record that an agent at `address` writes after `heartbeat`.
std::string RecordText(const Address& address, const std::string& heartbeat) {
  return Json{{"address", address.ToString()},
              {"runner_id", "i-0"},
              {"runner_report", heartbeat}}
      .dump();
}

// Returns agent records that an entry must ignore.
std::vector<std::string> MalformedRecords() {
  const Address address = TestAddress(7);
  return {NestedObject("address"),
          RecordText(address, ReplaceFirst(HeartbeatText("ready"),
                                           kSequenceText, "1e300")),
          R"({"address":"127.0.0.1:77200"})", "{\"address\":\"\xff\xfe\"}"};
}

// Returns a key that sorts before those of the fleet's agents.
std::string MalformedAgentKey(size_t index) {
  return AgentKey("a-" + std::to_string(index));
}

class MalformedInputTest : public PlatformFleet {
 protected:
  void PutMalformedAgents() {
    for (size_t i = 0; const std::string& record : MalformedRecords()) {
      m_store.Put(MalformedAgentKey(i++), record);
    }
    // A valid record under a key without an agent name.
    m_store.Put(AgentKey(""), RecordText(TestAddress(7), ""));
  }

  std::shared_ptr<PendingResponse> PutHeartbeat(
      const std::string& body,
      const std::string& runner_id = "i-0") {
    HttpClientOptions options;
    options.m_base_url = "http://" + TestAddress(2).ToString();
    m_client = HttpClient::Make(options).value();
    return WaitForResponse(Send("PUT", "/api/instances/" + runner_id, body));
  }

  static std::shared_ptr<PendingResponse> WaitForResponse(
      std::shared_ptr<PendingResponse> response) {
    EXPECT_TRUE(RunUntil([&]() { return response->m_has_arrived; }));
    return response;
  }

  void ExpectAllRunning() {
    EXPECT_FALSE(m_entry->HasExited());
    EXPECT_FALSE(m_agents[0]->HasExited());
    EXPECT_FALSE(m_agents[1]->HasExited());
  }
};

// Guards against a malformed record that keeps an entry from the agents of the
// valid ones, whether it is stored before the entry starts or later.
TEST_F(MalformedInputTest, MalformedRecordsHideNoAgents) {
  m_agents[1].reset();
  PutMalformedAgents();
  StartEntry();
  ConfigureAndWaitUntilReady();
  EXPECT_EQ(WaitForResponse(SubmitJob(1))->m_status, 200);
  PutMalformedAgents();
  RunFor(Milliseconds(500));
  StartAgent(1);
  ASSERT_TRUE(RunUntil(
      [this]() { return CountEvents(*m_agents[1], "runner_accepting") > 0; }));
  ASSERT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"agent\":\"agent-1\"") != std::string::npos;
  }));
  RunFor(Milliseconds(500));
  // More tasks than one agent has capacity for.
  EXPECT_EQ(WaitForResponse(SubmitJob(12))->m_status, 200);
  EXPECT_GT(m_runners[1]->runner().starts(), 0U);
  const std::string log = m_entry->Log();
  for (size_t i = 0; i < MalformedRecords().size(); ++i) {
    EXPECT_NE(log.find("\"" + MalformedAgentKey(i) + "\""), std::string::npos)
        << i;
  }
  EXPECT_NE(log.find("\"" + AgentKey("") + "\""), std::string::npos);
  EXPECT_GT(CountEvents(*m_entry, "malformed_agent"),
            MalformedRecords().size());
  // A second connection to the same agent would end the first.
  EXPECT_EQ(CountEvents(*m_entry, "agent_connected"), 2U);
  EXPECT_EQ(CountEvents(*m_entry, "agent_disconnected"), 0U);
  ExpectAllRunning();
}

// Guards against a copy of an agent's record under another name that makes the
// entry lose its connection to the agent, whether the copy is stored after the
// entry has connected or before it starts.
TEST_F(MalformedInputTest, CopiedRecordsCloseNoConnections) {
  ConfigureAndWaitUntilReady();
  m_store.Put(AgentKey("a-copy"), RecordText(TestAddress(7), ""));
  m_store.Put(AgentKey("z-copy"), RecordText(TestAddress(7), ""));
  RunFor(Milliseconds(1000));
  EXPECT_EQ(CountEvents(*m_entry, "agent_disconnected"), 0U);
  EXPECT_EQ(WaitForResponse(SubmitJob(12))->m_status, 200);
  StartEntry();
  ConfigureAndWaitUntilReady();
  RunFor(Milliseconds(1000));
  EXPECT_EQ(CountEvents(*m_entry, "agent_connected"), 2U);
  EXPECT_EQ(CountEvents(*m_entry, "agent_disconnected"), 0U);
  EXPECT_EQ(WaitForResponse(SubmitJob(12))->m_status, 200);
  ExpectAllRunning();
}

// Guards against a malformed heartbeat that ends the agent, or whose sequence
// number makes later valid heartbeats look outdated.
TEST_F(MalformedInputTest, MalformedHeartbeatsAreRejected) {
  ConfigureAndWaitUntilReady();
  for (const std::string& heartbeat : MalformedHeartbeats()) {
    EXPECT_EQ(PutHeartbeat(heartbeat)->m_status, 400)
        << heartbeat.substr(0, 99);
  }
  EXPECT_EQ(CountEvents(*m_agents[0], "malformed_heartbeat"),
            MalformedHeartbeats().size());
  EXPECT_EQ(CountEvents(*m_agents[0], "runner_not_accepting"), 0U);
  EXPECT_EQ(PutHeartbeat(HeartbeatText("draining"))->m_status, 200);
  EXPECT_TRUE(RunUntil([this]() {
    return CountEvents(*m_agents[0], "runner_not_accepting") == 1;
  }));
  ExpectAllRunning();
}

// Guards against a foreign heartbeat that takes the place of the agent's
// runner: its runs would be started again elsewhere while they go on, and it
// would get no more work, also after a restart of the agent.
TEST_F(MalformedInputTest, ForeignHeartbeatLeavesTheRunnerItsWork) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(20);
  RunFor(Milliseconds(50));
  const std::string foreign =
      ReplaceFirst(ReplaceFirst(HeartbeatText("ready"), "\"born\":1",
                                "\"born\":9000000000000"),
                   "\"service\":\"service\"", "\"service\":\"unknown\"");
  const auto client = m_client;
  EXPECT_EQ(PutHeartbeat(foreign, "x-1")->m_status, 200);
  EXPECT_EQ(PutHeartbeat(foreign)->m_status, 200);
  m_client = client;
  EXPECT_EQ(WaitForResponse(job)->m_status, 200);
  EXPECT_EQ(StartCount(), 20U);
  EXPECT_EQ(CountEvents(*m_agents[0], "heartbeat_rejected"), 2U);
  RunFor(Milliseconds(1000));  // Two heartbeats of the runner.
  const size_t connections = CountEvents(*m_entry, "agent_connected");
  StartAgent(0);
  // The entry could place the whole job on the other agent before it connects.
  ASSERT_TRUE(RunUntil([&]() {
    return CountEvents(*m_agents[0], "runner_accepting") > 0 &&
           CountEvents(*m_entry, "agent_connected") > connections;
  }));
  const uint64_t earlier_starts = m_runners[0]->runner().starts();
  EXPECT_EQ(WaitForResponse(SubmitJob(20))->m_status, 200);
  EXPECT_GT(m_runners[0]->runner().starts(), earlier_starts);
  ExpectAllRunning();
}

// Guards against a stack overflow: the body of one client would end the entry
// and the jobs of all clients.
TEST_F(MalformedInputTest, TooDeeplyNestedJobIsRejected) {
  ConfigureAndWaitUntilReady();
  const auto malformed = WaitForResponse(
      Send("POST", "/p/00000000000000aa", NestedObject("steps")));
  EXPECT_EQ(malformed->m_status, 400);
  EXPECT_EQ(WaitForResponse(SubmitJob(1))->m_status, 200);
  ExpectAllRunning();
}

// Guards against a watch that is stuck at malformed changes: the entry would
// not see any later change.
TEST_F(MalformedInputTest, ConfigurationAfterMalformedChangesIsApplied) {
  ConfigureAndWaitUntilReady();
  m_store.SpoilHistory();
  m_store.Put("op/config", ConfigText(9));
  EXPECT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":9") != std::string::npos;
  }));
  EXPECT_GT(CountEvents(*m_entry, "malformed_answer"), 0U);
  // The entry watches for changes again.
  m_store.Put("op/config", ConfigText(11));
  EXPECT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":11") != std::string::npos;
  }));
  ExpectAllRunning();
}

// Guards against an agent that cannot start because the record under its own
// name, which another writer may have written, is malformed. The agent would
// end at each start.
TEST_F(MalformedInputTest, AgentWithMalformedRecordStarts) {
  ConfigureAndWaitUntilReady();
  for (const std::string& record : MalformedRecords()) {
    m_agents[0]->Signal(SIGKILL);
    ASSERT_TRUE(RunUntil([this]() { return m_agents[0]->HasExited(); }));
    m_store.Put(AgentKey("agent-0"), record);
    StartAgent(0);
    EXPECT_TRUE(RunUntil([this]() {
      return CountEvents(*m_agents[0], "runner_accepting") == 1;
    }));
    EXPECT_TRUE(RunUntil(
        [this]() { return CountEvents(*m_agents[0], "registered") > 0; }));
    EXPECT_EQ(CountEvents(*m_agents[0], "malformed_record"), 1U)
        << record.substr(0, 99);
  }
  RunFor(Milliseconds(500));
  EXPECT_EQ(WaitForResponse(SubmitJob(12))->m_status, 200);
  EXPECT_GT(m_runners[0]->runner().starts(), 0U);
  ExpectAllRunning();
}

}  // namespace
}  // namespace comfreyshift
