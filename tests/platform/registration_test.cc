#include "platform/registration.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "http/http.h"
#include "platform/store_wire.h"
#include "tests/platform/platform_fleet.h"
#include "tests/platform/wire_texts.h"
#include "tests/standins/platform_store_standin.h"

namespace comfreyshift::platform {
namespace {

const std::string kKey = std::string(kAgentsPrefix) + "agent";

// A stand-in of the store and the registrations of two incarnations of an
// agent.
struct RegisteredAgent {
  RegisteredAgent() {
    m_client = std::make_shared<KvClient>(
        "http://" + m_store.address().ToString(), m_metrics);
  }

  std::shared_ptr<Registration> Start(uint16_t port) {
    auto registration = std::make_shared<Registration>(
        m_client, "agent", Address{"127.0.0.1", port},
        [](const RunnerHeartbeat&) {});
    registration->Start();
    return registration;
  }

  bool IsRegisteredAt(uint16_t port) const {
    const auto record = DecodeAgentRecord(m_store.Value(kKey));
    return record && record.value().m_address.m_port == port;
  }

  PlatformStoreStandin m_store;
  NodeMetrics m_metrics;
  std::shared_ptr<KvClient> m_client;
};

// A registration renews its lease for as long as the main loop runs, so that it
// and all that it refers to stay until the end of the program.
RegisteredAgent& AddAgent() {
  static std::vector<std::unique_ptr<RegisteredAgent>> agents;
  return *agents.emplace_back(std::make_unique<RegisteredAgent>());
}

// Guards against a write of a killed agent that the store carries out late: it
// would move the record to the lease of the killed process, and with that to
// its end, while the new process renews its own.
TEST(RegistrationTest, LateWriteOfAnEarlierIncarnationChangesNothing) {
  RegisteredAgent& agent = AddAgent();
  const auto earlier = agent.Start(1);
  ASSERT_TRUE(RunUntil([&]() { return agent.IsRegisteredAt(1); }));
  agent.m_store.HoldTransactions();
  earlier->SetRunnerHeartbeat("i-1", kHeartbeat);
  RunFor(Milliseconds(100));
  agent.m_store.Put(kKey, EncodeAgentRecord({"127.0.0.1", 2}, "", ""));
  agent.m_store.ReleaseTransactions();
  EXPECT_TRUE(agent.IsRegisteredAt(2));
}

// Guards against an agent that is not listed because its record has changed
// since it read it, or because the answer to its write was lost.
TEST(RegistrationTest, RecordIsWrittenAfterAConflict) {
  RegisteredAgent& agent = AddAgent();
  agent.m_store.HoldTransactions();
  const auto registration = agent.Start(3);
  RunFor(Milliseconds(100));
  agent.m_store.Put(kKey, EncodeAgentRecord({"127.0.0.1", 4}, "", ""));
  agent.m_store.ReleaseTransactions();
  EXPECT_TRUE(RunUntil([&]() { return agent.IsRegisteredAt(3); }));
}

// Guards against two writes of one process that overtake each other: the record
// would name a runner that has left.
TEST(RegistrationTest, NewestOfSeveralHeartbeatsIsStored) {
  RegisteredAgent& agent = AddAgent();
  const auto registration = agent.Start(5);
  ASSERT_TRUE(RunUntil([&]() { return agent.IsRegisteredAt(5); }));
  agent.m_store.HoldTransactions();
  registration->SetRunnerHeartbeat("i-1", kHeartbeat);
  registration->ClearRunner();
  RunFor(Milliseconds(100));
  agent.m_store.ReleaseTransactions();
  RunFor(Milliseconds(300));
  const auto record = DecodeAgentRecord(agent.m_store.Value(kKey));
  ASSERT_TRUE(record);
  EXPECT_FALSE(record.value().m_runner_heartbeat);
}

// Guards against an exception that ends the entry: a response of the store may
// hold keys that do not start with the prefix, also shorter ones.
TEST(ReadAgentsTest, IgnoresKeysWithoutThePrefix) {
  const std::string record = EncodeAgentRecord({"127.0.0.1", 1}, "", "");
  KvMirror::Items items;
  for (const std::string& key :
       {kKey, std::string(kAgentsPrefix), std::string("a"), std::string(),
        "other/" + std::string(kAgentsPrefix) + "agent-2"}) {
    items[key] = {key, record, 1};
  }
  const auto agents = ReadAgents(items);
  ASSERT_EQ(agents.size(), 1U);
  EXPECT_TRUE(agents.contains("agent"));
}

}  // namespace
}  // namespace comfreyshift::platform
