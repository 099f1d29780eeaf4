// Runs the real program as separate processes on loopback against stand-ins of
// the platform's store and runners. Guards against faults that only show in the
// interaction of protocol, adapter, scheduling and shutdown.

#include <gtest/gtest.h>
#include <signal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>

#include "fleet/fleet.h"
#include "platform/kv_client.h"
#include "platform/registration.h"
#include "platform/store_wire.h"
#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_documents.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

using PlatformProcessesTest = PlatformFleet;

// Guards against an entry that is ready before it has a configuration, and
// against requests that get a wrong status or are missing in the log.
TEST_F(PlatformProcessesTest, ServesJobsAndRejectsInvalidRequests) {
  ASSERT_TRUE(RunUntil(
      [this]() { return CountEvents(*m_entry, "store_reached") >= 2; }));
  EXPECT_FALSE(IsReady());
  const auto early = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return early->m_has_arrived; }));
  EXPECT_EQ(early->m_status, 503);  // There is no configuration yet.

  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(12, {{"Request-Id", "request-1"}});
  const auto unknown = Send("POST", "/other/0000000000000001", "{}");
  const auto malformed = Send("POST", "/p/00000000000000aa", "[]");
  const auto state = Send("GET", "/p/00000000000000ab");
  const auto waiting = Send("GET", "/p/");
  ASSERT_TRUE(RunUntil([&]() {
    return job->m_has_arrived && unknown->m_has_arrived &&
           malformed->m_has_arrived && state->m_has_arrived &&
           waiting->m_has_arrived;
  }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(Json::parse(job->m_body)["state"], "completed");
  EXPECT_EQ(StartCount(), 12U);
  EXPECT_EQ(unknown->m_status, 404);
  EXPECT_EQ(malformed->m_status, 400);
  EXPECT_EQ(state->m_status, 410);
  EXPECT_EQ(Json::parse(waiting->m_body)["waiting"], 0);
  // The request can be found in the log by its id.
  EXPECT_NE(m_entry->Log().find("\"request\":\"request-1\""),
            std::string::npos);
  // Requests that are rejected before their queue is known are logged as well.
  EXPECT_EQ(CountEvents(*m_entry, "request_refused"), 2U);
}

// Guards against an overloaded entry that lets clients wait for a rejection.
TEST_F(PlatformProcessesTest, OverloadIsRejectedAtOnceWithRetryAfter) {
  ConfigureAndWaitUntilReady();
  const auto first = SubmitJob(20);
  RunFor(Milliseconds(30));
  const MonoTime sent_at = BootClock::now();
  const auto second = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return second->m_has_arrived; }));
  if (second->m_status == 503) {
    EXPECT_LT(BootClock::now() - sent_at, Milliseconds(300));
    EXPECT_TRUE(second->m_headers.contains("retry-after"));
  }
  ASSERT_TRUE(RunUntil([&]() { return first->m_has_arrived; }));
  EXPECT_EQ(first->m_status, 200);
}

// Guards against job failures while the store is down and the registrations of
// the agents have expired.
TEST_F(PlatformProcessesTest, JobsAreServedDuringStoreOutage) {
  ConfigureAndWaitUntilReady();
  m_store.EndLeases();
  m_store.set_is_down(true);
  RunFor(Milliseconds(500));
  const auto job = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 200);
  m_store.set_is_down(false);
  EXPECT_TRUE(RunUntil([this]() {
    return m_store.Has("comfreyshift/agents/agent-0") &&
           m_store.Has("comfreyshift/agents/agent-1");
  }));
}

// Guards against a missed configuration that was written before the store
// compacted its history: the watch cannot return it, only a new listing can.
TEST_F(PlatformProcessesTest, ConfigurationAfterCompactionIsApplied) {
  ConfigureAndWaitUntilReady();
  m_store.Compact();
  Json config = Json::parse(ConfigText(9));
  config["routes"][0]["prefix"] = "/q/";
  m_store.Put("op/config", config.dump());
  ASSERT_TRUE(RunUntil([this]() {
    return m_entry->Log().find("\"version\":9") != std::string::npos;
  }));
  const auto old = SubmitJob(1);
  ASSERT_TRUE(RunUntil([&]() { return old->m_has_arrived; }));
  EXPECT_EQ(old->m_status, 404);
}

// Guards against an entry that serves an outdated configuration because the
// store rejects or ignores its requests while it serves those of the agents.
TEST_F(PlatformProcessesTest, EntryRejectedByStoreReadsThroughAgents) {
  ConfigureAndWaitUntilReady();
  for (const LinkFault fault : {LinkFault::kReset, LinkFault::kSilent}) {
    m_store_proxy.SetFault(fault);
    RunFor(Milliseconds(300));
    const uint64_t version = fault == LinkFault::kReset ? 9 : 11;
    m_store.Put("op/config", ConfigText(version));
    EXPECT_TRUE(RunUntil([&]() {
      return m_entry->Log().find("\"version\":" + std::to_string(version)) !=
             std::string::npos;
    }));
    m_store_proxy.SetFault(LinkFault::kNone);
    RunFor(Milliseconds(2500));
  }
}

// An entry in this process sends state that the other processes have not read
// from the store. Guards against agents and entries that use a closed zone
// because they wait for the store.
TEST_F(PlatformProcessesTest, ClosedZonesOfAPeerAreInForceEverywhere) {
  constexpr uint64_t kLaterRevision = 1'000'000;
  ConfigureAndWaitUntilReady();
  std::map<std::string, Address> addresses;
  for (const std::string name : {"agent-0", "agent-1"}) {
    const auto record = platform::DecodeAgentRecord(
        m_store.Value(platform::kAgentsPrefix + name));
    ASSERT_TRUE(record) << name;
    addresses[name] = record.value().m_address;
  }
  EntryNode peer({"peer", 1});
  peer.SetAgents(addresses);
  peer.SetOperatorState({kLaterRevision, {"zone"}});
  EXPECT_TRUE(RunUntil([&]() {
    return CountEvents(*m_entry, "operator_state_received") == 1 &&
           CountEvents(*m_entry, "announced_revision_read") >= 1 &&
           CountEvents(*m_agents[0], "runner_not_accepting") == 1 &&
           CountEvents(*m_agents[1], "runner_not_accepting") == 1;
  }));
  const uint64_t starts = StartCount();
  const auto job = SubmitJob(2);
  EXPECT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 503);
  EXPECT_EQ(StartCount(), starts);
  peer.SetOperatorState({kLaterRevision + 1, {}});
  EXPECT_TRUE(RunUntil([&]() {
    return CountEvents(*m_agents[0], "runner_accepting") == 2 &&
           CountEvents(*m_agents[1], "runner_accepting") == 2;
  }));
}

// Guards against agents that start tasks in a closed zone because no entry has
// told them of the closing (review/6).
TEST_F(PlatformProcessesTest, AgentsReadClosedZonesWithoutAnyEntry) {
  ConfigureAndWaitUntilReady();
  m_entry.reset();
  const auto all_have_logged = [this](const char* event, size_t count) {
    return RunUntil([&]() {
      return CountEvents(*m_agents[0], event) == count &&
             CountEvents(*m_agents[1], event) == count;
    });
  };
  m_store.Put("op/evacuate/zone", "{}");
  EXPECT_TRUE(all_have_logged("runner_not_accepting", 1));
  m_store.Remove("op/evacuate/zone");
  EXPECT_TRUE(all_have_logged("runner_accepting", 2));
}

// Guards against logs that do not tell on which operator state a run was
// started, at the entry and at the agent.
TEST_F(PlatformProcessesTest, EveryStartIsLoggedWithTheStatesItWasDecidedOn) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  uint64_t logged = 0;
  EXPECT_TRUE(RunUntil([&]() {
    logged = 0;
    for (const auto& agent : m_agents) {
      std::istringstream lines(agent->Log());
      for (std::string line; std::getline(lines, line);) {
        const Json event = Json::parse(line, nullptr, false);
        if (event.is_object() && event["event"] == "runs_started") {
          logged += event["starts"].get<uint64_t>();
          EXPECT_GT(event["entry_revision"], 0U);
          EXPECT_GE(event["entry_age_us"], 0);
          EXPECT_GT(event["agent_revision"], 0U);
          EXPECT_GE(event["agent_age_us"], 0);
        }
      }
    }
    return logged >= StartCount();
  }));
  EXPECT_EQ(logged, StartCount());
}

// SIGHUP asks for a reload of the settings file. Guards against its default
// action, which ends the process and with it every job in progress.
TEST_F(PlatformProcessesTest, ReloadInterruptsNoJobs) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(4);
  RunFor(Milliseconds(30));
  m_entry->Signal(SIGHUP);
  m_agents[0]->Signal(SIGHUP);
  m_agents[1]->Signal(SIGHUP);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_FALSE(m_entry->HasExited());
  EXPECT_EQ(CountEvents(*m_entry, "settings_reloaded"), 1U);
  EXPECT_EQ(CountEvents(*m_agents[0], "settings_reloaded"), 1U);
}

// Guards against an overflow: a timeout that did not fit a time point became a
// deadline in the past, and the job was abandoned at once.
TEST_F(PlatformProcessesTest, HugeClientTimeoutIsAccepted) {
  ConfigureAndWaitUntilReady();
  const std::string body = JobText(1, Milliseconds(100));
  for (const char* timeout : {"9223372036854775807", "10000000000000000",
                              "99999999999999999999999"}) {
    const auto job = Send("POST", "/p/00000000000000fa", body,
                          {{"Deadline-Remaining", timeout}});
    ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; })) << timeout;
    EXPECT_EQ(job->m_status, 200) << timeout << " " << job->m_body;
  }
}

// Guards against a planned stop that interrupts the jobs in progress, or that
// rejects new ones before the load balancer has removed the entry.
TEST_F(PlatformProcessesTest, StoppingEntryFinishesItsJobs) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(4);
  RunFor(Milliseconds(30));
  m_entry->Signal(SIGTERM);
  RunFor(Milliseconds(50));
  EXPECT_FALSE(IsReady());
  const auto later = SubmitJob(1);
  ASSERT_TRUE(
      RunUntil([&]() { return job->m_has_arrived && later->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(later->m_status, 200);
  ASSERT_TRUE(RunUntil([this]() { return m_entry->HasExited(); }));
  EXPECT_EQ(m_entry->exit_status(), 0);
}

// An entry that is killed one second after SIGTERM, with runners that take far
// longer than clients say.
class ShortStopTest : public PlatformFleet {
 protected:
  ShortStopTest() : PlatformFleet(Milliseconds(2500)) {}
  std::string ExtraSettings() const override { return "bounds.grace_s=1\n"; }

  std::shared_ptr<PendingResponse> SubmitWithEstimate(const std::string& id,
                                                      Milliseconds estimate) {
    return Send("POST", "/p/" + id, JobText(1, estimate),
                {{"Deadline-Remaining", "6000"}});
  }
};

// Guards against requests whose connection ends without an answer because the
// entry takes what it cannot end before it is killed (review/14).
TEST_F(ShortStopTest, EveryRequestIsAnsweredBeforeTheEnd) {
  ConfigureAndWaitUntilReady();
  const auto earlier =
      SubmitWithEstimate("00000000000000aa", Milliseconds(2500));
  RunFor(Milliseconds(100));
  m_entry->Signal(SIGTERM);
  RunFor(Milliseconds(50));
  const auto too_long =
      SubmitWithEstimate("00000000000000ab", Milliseconds(2500));
  const auto underestimated =
      SubmitWithEstimate("00000000000000ac", Milliseconds(50));
  ASSERT_TRUE(
      RunUntil([&]() { return too_long->m_has_arrived; }, Milliseconds(300)));
  EXPECT_EQ(too_long->m_status, 503);
  EXPECT_TRUE(too_long->m_headers.contains("retry-after"));
  ASSERT_TRUE(
      RunUntil([this]() { return m_entry->HasExited(); }, Milliseconds(1000)));
  EXPECT_EQ(m_entry->exit_status(), 0);
  ASSERT_TRUE(RunUntil([&]() {
    return earlier->m_has_arrived && underestimated->m_has_arrived;
  }));
  EXPECT_EQ(earlier->m_status, 504);
  EXPECT_EQ(underestimated->m_status, 504);
}

// Guards against a stopping agent that ends before its runs: their tasks would
// run a second time.
TEST_F(PlatformProcessesTest, StoppingAgentFinishesItsRuns) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(16);
  RunFor(Milliseconds(30));
  m_agents[0]->Signal(SIGTERM);
  ASSERT_TRUE(RunUntil([this]() { return m_agents[0]->HasExited(); }));
  EXPECT_EQ(m_agents[0]->exit_status(), 0);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(StartCount(), 16U);
}

// The runs of a killed agent end when their lease expires or the agent's next
// incarnation stops them. Guards against a job that gets no result, and against
// starting the tasks again on a runner that is still at capacity.
TEST_F(PlatformProcessesTest, JobEndsAfterAgentIsKilled) {
  ConfigureAndWaitUntilReady();
  const auto job = SubmitJob(16);
  RunFor(Milliseconds(30));
  m_agents[0]->Signal(SIGKILL);
  RunFor(Milliseconds(100));
  StartAgent(0);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_TRUE(job->m_status == 200 || job->m_status == 504) << job->m_status;
  EXPECT_EQ(m_runners[0]->runner().overloads(), 0U);
  EXPECT_EQ(m_runners[1]->runner().overloads(), 0U);
}

// Guards against a runner that is used again after it has left: an agent that
// restarts reads its runner's last heartbeat from the store.
TEST_F(PlatformProcessesTest, RestartedAgentForgetsARunnerThatHasLeft) {
  ConfigureAndWaitUntilReady();
  m_runners[0]->Leave();
  ASSERT_TRUE(
      RunUntil([this]() { return m_runners[0]->is_leave_acknowledged(); }));
  RunFor(Milliseconds(200));
  const uint64_t earlier_starts = m_runners[0]->runner().starts();
  StartAgent(0);
  ASSERT_TRUE(RunUntil(
      [this]() { return CountEvents(*m_agents[0], "registered") > 0; }));
  RunFor(Milliseconds(500));
  EXPECT_EQ(CountEvents(*m_agents[0], "runner_remembered"), 0U);
  const auto job = SubmitJob(4);
  ASSERT_TRUE(RunUntil([&]() { return job->m_has_arrived; }));
  EXPECT_EQ(job->m_status, 200) << job->m_body;
  EXPECT_EQ(m_runners[0]->runner().starts(), earlier_starts);
}

// Guards against taking an error for the word that nothing was started: the
// task would be started elsewhere while it runs.
TEST_F(PlatformProcessesTest, StartAnsweredWithAnErrorDoesNotRunElsewhere) {
  ConfigureAndWaitUntilReady();
  for (const int status : {500, 502, 504}) {
    m_runners[0]->set_start_status(status);
    const auto job = SubmitJob(20);
    EXPECT_TRUE(RunUntilAndCheckRuns([&]() { return job->m_has_arrived; }));
    EXPECT_EQ(job->m_status, 200) << status;
  }
  EXPECT_GT(CountEvents(*m_agents[0], "start_not_confirmed"), 0U);
}

// Guards against a foreign heartbeat with the start time of the agent's own
// runner, which ended all runs of that runner until its next heartbeat.
TEST_F(PlatformProcessesTest, RunsOutliveAForeignHeartbeatOfTheSameStartTime) {
  ConfigureAndWaitUntilReady();
  for (int i = 0; i < 5; ++i) {
    const auto job = SubmitJob(16);
    RunFor(Milliseconds(40));
    m_runners[0]->SendHeartbeatAs("x-" + std::to_string(i));
    EXPECT_TRUE(RunUntilAndCheckRuns([&]() { return job->m_has_arrived; }));
    EXPECT_EQ(job->m_status, 200);
  }
  EXPECT_EQ(StartCount(), 5 * 16U);
}

// Guards against runs that hold capacity after their client has disconnected.
TEST_F(PlatformProcessesTest, ClientDisconnectStopsItsRuns) {
  ConfigureAndWaitUntilReady();
  HttpClientOptions options;
  options.m_base_url = "http://" + m_client_address.ToString();
  std::swap(m_client, *std::make_unique<std::shared_ptr<HttpClient>>(
                          HttpClient::Make(options).value()));
  SubmitJob(8);
  ASSERT_TRUE(RunUntil([this]() { return StartCount() == 8U; }));
  m_client.reset();
  EXPECT_TRUE(RunUntil([this]() {
    return m_runners[0]->runner().Working().empty() &&
           m_runners[1]->runner().Working().empty() &&
           CountEvents(*m_entry, "client_gone") == 1;
  }));
}

// Guards against a cancelled job that runs on although its cancel was
// acknowledged, and against an answer that makes its client send it again.
TEST_F(PlatformProcessesTest, DeleteStopsAJobWhoseClientWaits) {
  ConfigureAndWaitUntilReady();
  const auto other = SubmitJob(2);
  const auto job = SubmitJob(6);
  ASSERT_TRUE(RunUntil([this]() { return StartCount() == 8U; }));
  const auto cancel = Send("DELETE", "/p/0000000000000002");
  ASSERT_TRUE(
      RunUntil([&]() { return cancel->m_has_arrived && job->m_has_arrived; }));
  EXPECT_EQ(cancel->m_status, 200);
  EXPECT_EQ(job->m_status, 200);
  EXPECT_EQ(Json::parse(job->m_body)["state"], "failed");
  // The other job has not ended yet: the cancelled one was stopped before its
  // tasks were done.
  EXPECT_FALSE(other->m_has_arrived);
  ASSERT_TRUE(RunUntil([&]() { return other->m_has_arrived; }));
  EXPECT_EQ(Json::parse(other->m_body)["state"], "completed");
  EXPECT_TRUE(RunUntil([this]() {
    return m_runners[0]->runner().Working().empty() &&
           m_runners[1]->runner().Working().empty();
  }));
  // Six runs of the cancelled job ended without being done.
  EXPECT_EQ(CountEvents(*m_agents[0], "run_not_done") +
                CountEvents(*m_agents[1], "run_not_done"),
            6U);
  const auto again = Send("DELETE", "/p/0000000000000002");
  ASSERT_TRUE(RunUntil([&]() { return again->m_has_arrived; }));
  EXPECT_EQ(again->m_status, 410);
}

}  // namespace
}  // namespace comfreyshift
