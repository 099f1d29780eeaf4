// Runs the real program as separate processes on loopback against stand-ins of
// the platform's store and runners. Guards the whole path: wire, adapter,
// decisions and shutdown together.

#include <gtest/gtest.h>
#include <signal.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_documents.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

using PlatformProcessesTest = PlatformFleet;

TEST_F(PlatformProcessesTest, ServesJobsAndRefusesWhatItCannot) {
  ASSERT_TRUE(
      RunUntil([this]() { return Count(*m_entry, "store_reached") >= 2; }));
  EXPECT_FALSE(IsReady());
  const auto early = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return early->m_is_there; }));
  EXPECT_EQ(early->m_status, 503);  // There is no configuration yet.

  BecomeReady();
  const auto job = SubmitJob(12, {{"Request-Id", "request-1"}});
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
    const auto job = Send("POST", "/p/00000000000000fa", body,
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
