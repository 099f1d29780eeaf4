// Runs the real program as separate processes on loopback against stand-ins of
// the platform's store and runners. Guards the whole path: wire, adapter,
// decisions and shutdown together.

#include <gtest/gtest.h>
#include <signal.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "http/http.h"
#include "tests/platform/runner_standin.h"
#include "tests/standins/fault_proxy.h"
#include "tests/standins/platform_documents.h"
#include "tests/standins/platform_store_standin.h"
#include "tests/standins/role_process.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kFirstConfigVersion = 7;

void RunFor(Milliseconds time) {
  const MonoTime end = BootClock::now() + time;
  while (BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
}

// Runs the main loop until `is_true`; false after ten seconds.
bool RunUntil(const std::function<bool()>& is_true) {
  const MonoTime end = BootClock::now() + std::chrono::seconds(10);
  while (!is_true()) {
    if (BootClock::now() >= end) {
      return false;
    }
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
  return true;
}

struct Answer {
  bool m_is_there = false;
  int m_status = 0;
  std::string m_body;
  HttpHeaders m_headers;
};

class PlatformProcessesTest : public testing::Test {
 protected:
  static constexpr size_t kAgents = 2;

  void SetUp() override {
    m_clients = TestAddress(0);
    m_readiness = TestAddress(1);
    for (size_t i = 0; i < kAgents; ++i) {
      m_runners.push_back(std::make_unique<RunnerStandin>(
          "i-" + std::to_string(i), TestAddress(2 + i), Milliseconds(100)));
      StartAgent(i);
    }
    m_entry = std::make_unique<PlatformProcess>(
        "platform-entry", "entry", EntrySettings(), TestAddress(10).m_port);
    HttpClientOptions options;
    options.m_base_url = "http://" + m_clients.ToString();
    m_client = HttpClient::Make(options).value();
    options.m_base_url = "http://" + m_readiness.ToString();
    m_prober = HttpClient::Make(options).value();
  }

  std::string EntrySettings() const {
    return EntrySettingsText("entry", m_clients, m_readiness,
                             TestAddress(6).m_port, m_entry_store.address());
  }

  void StartAgent(size_t index) {
    const std::string name = "agent-" + std::to_string(index);
    m_agents.resize(kAgents);
    m_agents[index].reset();
    m_agents[index] = std::make_unique<PlatformProcess>(
        "platform-agent", name,
        AgentSettingsText(name, TestAddress(2 + index),
                          TestAddress(7 + index).m_port,
                          m_runners[index]->address(), m_store.address()),
        TestAddress(11 + index).m_port);
  }

  std::shared_ptr<Answer> Send(const std::string& method,
                               const std::string& path,
                               const std::string& body = "",
                               const std::string& request_id = "",
                               const HttpHeaders& more_headers = {}) {
    HttpCall call;
    call.m_method = method;
    call.m_path = path;
    call.m_body = body;
    call.m_headers = {{"Host", "h.example"}, {"Request-Id", request_id}};
    call.m_headers.insert(more_headers.begin(), more_headers.end());
    call.m_deadline = BootClock::now() + std::chrono::seconds(8);
    auto answer = std::make_shared<Answer>();
    m_client->Send(std::move(call), [answer](const HttpCallResult& result) {
      answer->m_is_there = true;
      if (result) {
        answer->m_status = result.value().m_status;
        answer->m_body = result.value().m_body;
        answer->m_headers = result.value().m_headers;
      }
    });
    return answer;
  }

  std::shared_ptr<Answer> SubmitJob(uint32_t tasks,
                                    const std::string& request_id = "") {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++m_jobs);
    return Send("POST", std::string("/p/") + id,
                JobText(tasks, Milliseconds(100)), request_id);
  }

  bool IsReady() {
    HttpCall call;
    call.m_method = "GET";
    call.m_path = "/api/readyz";
    call.m_deadline = BootClock::now() + std::chrono::seconds(1);
    const auto result = m_prober->SendAndWait(std::move(call));
    return result && result.value().m_status == 200;
  }

  // Puts a configuration in force and waits until jobs can be served.
  void BecomeReady() {
    m_store.Put("op/config", ConfigText(kFirstConfigVersion));
    ASSERT_TRUE(RunUntil([this]() { return IsReady(); }));
    ASSERT_TRUE(RunUntil([this]() {
      return Count(*m_agents[0], "runner_accepting") > 0 &&
             Count(*m_agents[1], "runner_accepting") > 0;
    }));
    RunFor(Milliseconds(200));
  }

  static size_t Count(const PlatformProcess& process,
                      const std::string& event) {
    const std::string log = process.Log();
    const std::string pattern = "\"event\":\"" + event + "\"";
    size_t count = 0;
    for (size_t at = log.find(pattern); at != std::string::npos;
         at = log.find(pattern, at + 1)) {
      ++count;
    }
    return count;
  }

  uint64_t Starts() const {
    return m_runners[0]->runner().starts() + m_runners[1]->runner().starts();
  }

  PlatformStoreStandin m_store;
  // Between the entry and the store.
  FaultProxy m_entry_store{m_store.address()};
  Address m_clients;
  Address m_readiness;
  std::vector<std::unique_ptr<RunnerStandin>> m_runners;
  std::vector<std::unique_ptr<PlatformProcess>> m_agents;
  std::unique_ptr<PlatformProcess> m_entry;
  std::shared_ptr<HttpClient> m_client;
  std::shared_ptr<HttpClient> m_prober;
  uint32_t m_jobs = 0;
};

TEST_F(PlatformProcessesTest, ServesJobsAndRefusesWhatItCannot) {
  ASSERT_TRUE(
      RunUntil([this]() { return Count(*m_entry, "store_reached") >= 2; }));
  EXPECT_FALSE(IsReady());
  const auto early = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return early->m_is_there; }));
  EXPECT_EQ(early->m_status, 503);  // There is no configuration yet.

  BecomeReady();
  const auto job = SubmitJob(12, "request-1");
  const auto unknown = Send("POST", "/other/0000000000000001", "{}");
  const auto malformed = Send("POST", "/p/00000000000000aa", "[]");
  const auto state = Send("GET", "/p/00000000000000ab");
  const auto waiting = Send("GET", "/p/");
  ASSERT_TRUE(RunUntil([&]() {
    return job->m_is_there && unknown->m_is_there && malformed->m_is_there &&
           state->m_is_there && waiting->m_is_there;
  }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(Json::parse(job->m_body)["state"], "completed");
  EXPECT_EQ(Starts(), 12U);
  EXPECT_EQ(unknown->m_status, 404);
  EXPECT_EQ(malformed->m_status, 400);
  EXPECT_EQ(state->m_status, 410);
  EXPECT_EQ(Json::parse(waiting->m_body)["waiting"], 0);
  // The on-call engineer finds the request by its id.
  EXPECT_NE(m_entry->Log().find("\"request\":\"request-1\""),
            std::string::npos);
  // So is each one that was refused before its queue was known.
  EXPECT_EQ(Count(*m_entry, "request_refused"), 2U);
}

TEST_F(PlatformProcessesTest, OverloadIsRefusedAtOnceWithRetryAfter) {
  BecomeReady();
  const auto first = SubmitJob(20);
  RunFor(Milliseconds(30));
  const MonoTime sent_at = BootClock::now();
  const auto second = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return second->m_is_there; }));
  if (second->m_status == 503) {
    EXPECT_LT(BootClock::now() - sent_at, Milliseconds(300));
    EXPECT_TRUE(second->m_headers.contains("retry-after"));
  }
  ASSERT_TRUE(RunUntil([&]() { return first->m_is_there; }));
  EXPECT_EQ(first->m_status, 200);
}

// Work must go on while the store is away, and with lapsed registrations.
TEST_F(PlatformProcessesTest, ALostStoreChangesNothing) {
  BecomeReady();
  m_store.EndLeases();
  m_store.set_is_down(true);
  RunFor(Milliseconds(500));
  const auto job = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return job->m_is_there; }));
  EXPECT_EQ(job->m_status, 200);
  m_store.set_is_down(false);
  EXPECT_TRUE(RunUntil([this]() {
    return m_store.Has("comfreyshift/agents/agent-0") &&
           m_store.Has("comfreyshift/agents/agent-1");
  }));
}

// The configuration that was written while history was dropped must arrive.
TEST_F(PlatformProcessesTest, AConfigurationAfterDroppedHistoryIsApplied) {
  BecomeReady();
  m_store.Compact();
  Json config = Json::parse(ConfigText(9));
  config["routes"][0]["prefix"] = "/q/";
  m_store.Put("op/config", config.dump());
  ASSERT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":9") != std::string::npos;
  }));
  const auto old = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return old->m_is_there; }));
  EXPECT_EQ(old->m_status, 404);
}

// The store may turn an entry away while it serves others. An entry that learns
// nothing then handles requests by an old configuration.
TEST_F(PlatformProcessesTest, AnEntryThatTheStoreTurnsAwayReadsThroughAgents) {
  BecomeReady();
  for (const LinkFault fault : {LinkFault::kReset, LinkFault::kSilent}) {
    m_entry_store.SetFault(fault);
    RunFor(Milliseconds(300));
    const uint64_t version = fault == LinkFault::kReset ? 9 : 11;
    m_store.Put("op/config", ConfigText(version));
    EXPECT_TRUE(RunUntil([&]() {
      return m_entry->Log().find("\"version\":" + std::to_string(version)) !=
             std::string::npos;
    }));
    m_entry_store.SetFault(LinkFault::kNone);
    RunFor(Milliseconds(2500));
  }
}

// SIGHUP says that the settings file has changed; by default it ends a process,
// and with it every job in progress.
TEST_F(PlatformProcessesTest, AReloadCutsNothing) {
  BecomeReady();
  const auto job = SubmitJob(4);
  RunFor(Milliseconds(30));
  m_entry->Signal(SIGHUP);
  m_agents[0]->Signal(SIGHUP);
  m_agents[1]->Signal(SIGHUP);
  ASSERT_TRUE(RunUntil([&]() { return job->m_is_there; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_FALSE(m_entry->HasExited());
  EXPECT_EQ(Count(*m_entry, "settings_reloaded"), 1U);
  EXPECT_EQ(Count(*m_agents[0], "settings_reloaded"), 1U);
}

// A time that does not fit was converted to one in the past, and the job given
// up at once.
TEST_F(PlatformProcessesTest, AClientThatWaitsForeverIsServed) {
  BecomeReady();
  const std::string body = JobText(1, Milliseconds(100));
  for (const char* patience : {"9223372036854775807", "10000000000000000",
                               "99999999999999999999999"}) {
    const auto job = Send("POST", "/p/00000000000000fa", body, "",
                          {{"Deadline-Remaining", patience}});
    ASSERT_TRUE(RunUntil([&]() { return job->m_is_there; })) << patience;
    EXPECT_EQ(job->m_status, 200) << patience << " " << job->m_body;
  }
}

// A planned stop cuts nothing: the job in progress gets its whole answer.
TEST_F(PlatformProcessesTest, AStoppingEntryFinishesItsJobs) {
  BecomeReady();
  const auto job = SubmitJob(4);
  RunFor(Milliseconds(30));
  m_entry->Signal(SIGTERM);
  RunFor(Milliseconds(50));
  EXPECT_FALSE(IsReady());
  const auto later = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return job->m_is_there && later->m_is_there; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(later->m_status, 200);
  ASSERT_TRUE(RunUntil([this]() { return m_entry->HasExited(); }));
  EXPECT_EQ(m_entry->exit_status(), 0);
}

TEST_F(PlatformProcessesTest, AStoppingAgentFinishesItsRuns) {
  BecomeReady();
  const auto job = SubmitJob(16);
  RunFor(Milliseconds(30));
  m_agents[0]->Signal(SIGTERM);
  ASSERT_TRUE(RunUntil([this]() { return m_agents[0]->HasExited(); }));
  EXPECT_EQ(m_agents[0]->exit_status(), 0);
  ASSERT_TRUE(RunUntil([&]() { return job->m_is_there; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(Starts(), 16U);
}

// The runs of a killed agent end with their lease or with the next agent; the
// job is completed all the same, and nothing runs twice at once.
TEST_F(PlatformProcessesTest, AKilledAgentsTasksRunAgain) {
  BecomeReady();
  const auto job = SubmitJob(16);
  RunFor(Milliseconds(30));
  m_agents[0]->Signal(SIGKILL);
  RunFor(Milliseconds(100));
  StartAgent(0);
  ASSERT_TRUE(RunUntil([&]() { return job->m_is_there; }));
  EXPECT_TRUE(job->m_status == 200 || job->m_status == 504) << job->m_status;
  EXPECT_EQ(m_runners[0]->runner().overloads(), 0U);
  EXPECT_EQ(m_runners[1]->runner().overloads(), 0U);
}

// A client that leaves frees the room of its job.
TEST_F(PlatformProcessesTest, AClientThatLeavesStopsItsRuns) {
  BecomeReady();
  HttpClientOptions options;
  options.m_base_url = "http://" + m_clients.ToString();
  std::swap(m_client, *std::make_unique<std::shared_ptr<HttpClient>>(
                          HttpClient::Make(options).value()));
  SubmitJob(8);
  ASSERT_TRUE(RunUntil([this]() { return Starts() == 8U; }));
  m_client.reset();
  EXPECT_TRUE(RunUntil([this]() {
    return m_runners[0]->runner().Working().empty() &&
           m_runners[1]->runner().Working().empty() &&
           Count(*m_entry, "client_gone") == 1;
  }));
}

}  // namespace
}  // namespace comfreyshift
