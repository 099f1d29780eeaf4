// Plays the hand-overs of a run (client to entry, entry to agent, agent to
// runner, and back) with the real program as processes, and disturbs one of
// them. Guards against runs that count as ended on evidence that does not show
// their end: their tasks would run twice at the same time.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_documents.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kTaskRunTime{1800};
constexpr Milliseconds kLongTaskRunTime{3000};
// The users' clients send a job again this long after a broken connection.
constexpr Milliseconds kResendDelay{1300};
// Longer than any silence after which a process takes another for lost.
constexpr Milliseconds kTroubleTime{1500};
constexpr Milliseconds kStartTime{5};
constexpr Milliseconds kWorkTime{400};
constexpr const char* kClientTimeoutMs = "8000";
constexpr int kOk = 200;

// Between which two processes a run is handed over.
enum class HandOver : uint8_t { kClientToEntry, kEntryToAgent, kAgentToRunner };

enum class Trouble : uint8_t {
  // Killed, and started again at the end of the trouble.
  kSenderKilled,
  kReceiverKilled,
  // Killed, and started again at once.
  kSenderRestarted,
  kReceiverRestarted,
  // Gets no processor time.
  kSenderFrozen,
  kReceiverFrozen,
  // Faults of the link between the two.
  kDelay,
  kReset,
  kSilent,
  kCutToReceiver,
  kCutToSender,
};

// Where the runs are when the trouble begins.
enum class Moment : uint8_t {
  // One job is at work, the starts of another are on their way, and a third is
  // sent just afterwards.
  kStartsAndWork,
  kAboutToEnd,
};

struct HandoverCase {
  HandOver m_hand_over;
  Trouble m_trouble;
  Moment m_moment;
};

const char* Name(HandOver hand_over) {
  switch (hand_over) {
    case HandOver::kClientToEntry:
      return "ClientToEntry";
    case HandOver::kEntryToAgent:
      return "EntryToAgent";
    case HandOver::kAgentToRunner:
      return "AgentToRunner";
  }
  return "";
}

const char* Name(Trouble trouble) {
  switch (trouble) {
    case Trouble::kSenderKilled:
      return "SenderKilled";
    case Trouble::kReceiverKilled:
      return "ReceiverKilled";
    case Trouble::kSenderRestarted:
      return "SenderRestarted";
    case Trouble::kReceiverRestarted:
      return "ReceiverRestarted";
    case Trouble::kSenderFrozen:
      return "SenderFrozen";
    case Trouble::kReceiverFrozen:
      return "ReceiverFrozen";
    case Trouble::kDelay:
      return "Delay";
    case Trouble::kReset:
      return "Reset";
    case Trouble::kSilent:
      return "Silent";
    case Trouble::kCutToReceiver:
      return "CutToReceiver";
    case Trouble::kCutToSender:
      return "CutToSender";
  }
  return "";
}

const char* Name(Moment moment) {
  return moment == Moment::kAboutToEnd ? "AboutToEnd" : "StartsAndWork";
}

std::string CaseName(const testing::TestParamInfo<HandoverCase>& info) {
  const HandoverCase& c = info.param;
  return std::string(Name(c.m_hand_over)) + Name(c.m_trouble) +
         Name(c.m_moment);
}

// A job as its client sees it.
struct ClientJob {
  std::string m_path;
  std::string m_body;
  size_t m_entry = 0;
  std::shared_ptr<PendingResponse> m_response;
  MonoTime m_send_at = MonoTime::max();
  bool m_is_done = false;
};

// Two entries, two agents and their runners, with a proxy on every link.
class HandoverFleet : public PlatformFleet {
 protected:
  using PlatformFleet::PlatformFleet;

  void SetUp() override {
    for (size_t i = 0; i < kAgents; ++i) {
      m_agent_links.push_back(std::make_unique<FaultProxy>(TestAddress(7 + i)));
    }
    m_runner_links.resize(kAgents);
    m_store.RewriteValues([this](const std::string& key, std::string value) {
      return Rewrite(key, std::move(value));
    });
    PlatformFleet::SetUp();
    StartOtherEntry();
    m_client_link = std::make_unique<FaultProxy>(m_client_address);
    AddClient(m_client_link->address());
    AddClient(TestAddress(13));
    ConfigureAndWaitUntilReady();
    ASSERT_TRUE(RunUntil([this]() {
      return CountEvents(*m_other_entry, "config_applied") > 0;
    }));
  }

  void TearDown() override {
    if (HasFailure()) {
      KeepLog("entry-0", *m_entry);
      KeepLog("entry-1", *m_other_entry);
      KeepLog("agent-0", *m_agents[0]);
      KeepLog("agent-1", *m_agents[1]);
      for (const std::string& log : m_logs) {
        std::printf("%s\n", log.c_str());
      }
    }
  }

  // Entries reach the agents through the proxies.
  std::string Rewrite(const std::string& key, std::string value) const {
    for (size_t i = 0; i < kAgents; ++i) {
      if (key == "comfreyshift/agents/agent-" + std::to_string(i)) {
        Json record = Json::parse(value);
        record["address"] = m_agent_links[i]->address().ToString();
        return record.dump();
      }
    }
    return value;
  }

  Address RunnerAddress(size_t index) override {
    if (m_runner_links[index] == nullptr) {
      m_runner_links[index] =
          std::make_unique<FaultProxy>(m_runners[index]->address());
    }
    return m_runner_links[index]->address();
  }

  void StartOtherEntry() {
    m_other_entry = std::make_unique<PlatformProcess>(
        "platform-entry", "entry-1",
        EntrySettingsText("entry-1", TestAddress(13), TestAddress(14),
                          TestAddress(15).m_port, m_store.address()),
        TestAddress(16).m_port);
  }

  void AddClient(const Address& address) {
    HttpClientOptions options;
    options.m_base_url = "http://" + address.ToString();
    m_clients.push_back(HttpClient::Make(options).value());
  }

  void SendJob(size_t entry, uint32_t tasks) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++m_job_count);
    ClientJob job;
    job.m_path = std::string("/p/") + id;
    job.m_body = JobText(tasks, m_task_run_time);
    job.m_entry = entry;
    Send(job);
    m_jobs.push_back(std::move(job));
  }

  void Send(ClientJob& job) {
    job.m_send_at = MonoTime::max();
    job.m_response =
        SendThrough(*m_clients[job.m_entry], "POST", job.m_path, job.m_body,
                    {{"Deadline-Remaining", kClientTimeoutMs}});
  }

  // Clients send their jobs again, at the other entry, if they have not been
  // told what became of them.
  void AdvanceClients() {
    for (ClientJob& job : m_jobs) {
      if (BootClock::now() >= job.m_send_at) {
        Send(job);
      }
      if (job.m_response == nullptr || !job.m_response->m_has_arrived) {
        continue;
      }
      job.m_is_done = job.m_response->m_status == kOk;
      if (!job.m_is_done) {
        job.m_entry = 1 - job.m_entry;
        job.m_send_at = BootClock::now() + kResendDelay;
      }
      job.m_response = nullptr;
    }
  }

  void PlayFor(Milliseconds time) {
    const MonoTime end = BootClock::now() + time;
    RunUntilAndCheckRuns([&]() {
      AdvanceClients();
      return BootClock::now() >= end;
    });
  }

  bool PlayUntilAnswered() {
    return RunUntilAndCheckRuns([this]() {
      AdvanceClients();
      return std::ranges::all_of(
          m_jobs, [](const ClientJob& job) { return job.m_is_done; });
    });
  }

  void KeepLog(const std::string& name, const PlatformProcess& process) {
    m_logs.push_back("---- " + name + "\n" + process.Log());
  }

  void KillEntry() {
    KeepLog("entry-0, killed", *m_entry);
    m_entry->Signal(SIGKILL);
  }

  void KillAgent() {
    KeepLog("agent-0, killed", *m_agents[0]);
    m_agents[0]->Signal(SIGKILL);
  }

  void RestartRunner() {
    m_runner_links[0]->SetFault(LinkFault::kReset);
    m_runners[0]->RestartAs("i-0-restarted");
    m_runner_links[0]->SetFault(LinkFault::kNone);
  }

  void SetStopDelay(Milliseconds delay) {
    for (const auto& runner : m_runners) {
      runner->set_stop_delay(delay);
    }
  }

  std::vector<std::unique_ptr<FaultProxy>> m_agent_links;
  std::vector<std::unique_ptr<FaultProxy>> m_runner_links;
  std::unique_ptr<FaultProxy> m_client_link;
  std::unique_ptr<PlatformProcess> m_other_entry;
  std::vector<std::shared_ptr<HttpClient>> m_clients;
  std::vector<ClientJob> m_jobs;
  std::vector<std::string> m_logs;
};

class HandoverTest : public HandoverFleet {
 protected:
  HandoverTest() : HandoverFleet(kLongTaskRunTime) {}

  // Both entries have runs on both agents, so the leases are needed by others
  // than the runs of the first entry.
  void StartLongJobs() {
    SendJob(0, 6);
    SendJob(1, 6);
    PlayFor(Milliseconds(300));
    ASSERT_EQ(StartCount(), 12U);
  }
};

// Guards against a lease that is renewed for the sake of other runs while the
// runner leaves the stops of an orphaned run unanswered: its client sends the
// job again, and its tasks run twice.
TEST_F(HandoverTest, RunOfAKilledEntryDoesNotOutliveUnansweredStops) {
  StartLongJobs();
  SetStopDelay(Milliseconds::max());
  KillEntry();
  PlayFor(Milliseconds(2500));
  SetStopDelay(Milliseconds(0));
  EXPECT_TRUE(PlayUntilAnswered());
}

// Guards against the same with a runner that carries out stops only after the
// client has sent the job again.
TEST_F(HandoverTest, RunOfAKilledEntryDoesNotOutliveLateStops) {
  StartLongJobs();
  SetStopDelay(Milliseconds(1700));
  KillEntry();
  PlayFor(Milliseconds(2500));
  SetStopDelay(Milliseconds(0));
  EXPECT_TRUE(PlayUntilAnswered());
}

// Guards against the same with an entry that the agents hear nothing of, and a
// client that has broken off.
TEST_F(HandoverTest, RunOfACutEntryDoesNotOutliveUnansweredStops) {
  StartLongJobs();
  SetStopDelay(Milliseconds::max());
  m_client_link->SetFault(LinkFault::kReset);
  m_agent_links[0]->SetFault(LinkFault::kCutToServer);
  PlayFor(Milliseconds(2500));
  m_client_link->SetFault(LinkFault::kNone);
  m_agent_links[0]->SetFault(LinkFault::kNone);
  SetStopDelay(Milliseconds(0));
  EXPECT_TRUE(PlayUntilAnswered());
}

class HandoverMatrixTest : public HandoverFleet,
                           public testing::WithParamInterface<HandoverCase> {
 protected:
  HandoverMatrixTest() : HandoverFleet(kTaskRunTime) {}

  FaultProxy& Link() {
    switch (GetParam().m_hand_over) {
      case HandOver::kClientToEntry:
        return *m_client_link;
      case HandOver::kEntryToAgent:
        return *m_agent_links[0];
      default:
        return *m_runner_links[0];
    }
  }

  void Begin(Trouble trouble) {
    switch (trouble) {
      case Trouble::kSenderKilled:
        KillEntry();
        break;
      case Trouble::kReceiverKilled:
        KillAgent();
        break;
      case Trouble::kSenderRestarted:
        KillEntry();
        StartEntry();
        break;
      case Trouble::kReceiverRestarted:
        RestartReceiver();
        break;
      case Trouble::kSenderFrozen:
        m_entry->Signal(SIGSTOP);
        break;
      case Trouble::kReceiverFrozen:
        m_agents[0]->Signal(SIGSTOP);
        break;
      case Trouble::kDelay:
        Link().SetFault(LinkFault::kDelay);
        break;
      case Trouble::kReset:
        Link().SetFault(LinkFault::kReset);
        break;
      case Trouble::kSilent:
        Link().SetFault(LinkFault::kSilent);
        break;
      case Trouble::kCutToReceiver:
        Link().SetFault(LinkFault::kCutToServer);
        break;
      case Trouble::kCutToSender:
        Link().SetFault(LinkFault::kCutToClient);
        break;
    }
  }

  void RestartReceiver() {
    if (GetParam().m_hand_over == HandOver::kAgentToRunner) {
      RestartRunner();
    } else {
      KillAgent();
      StartAgent(0);
    }
  }

  void End(Trouble trouble) {
    switch (trouble) {
      case Trouble::kSenderKilled:
        StartEntry();
        break;
      case Trouble::kReceiverKilled:
        StartAgent(0);
        break;
      case Trouble::kSenderFrozen:
        m_entry->Signal(SIGCONT);
        break;
      case Trouble::kReceiverFrozen:
        m_agents[0]->Signal(SIGCONT);
        break;
      default:
        Link().SetFault(LinkFault::kNone);
        break;
    }
  }

  void StrikeAtStartsAndWork(Trouble trouble) {
    SendJob(0, 3);
    SendJob(1, 3);
    PlayFor(kWorkTime);
    SendJob(0, 3);
    PlayFor(kStartTime);
    Begin(trouble);
    SendJob(0, 3);
  }

  void StrikeAboutTheEnds(Trouble trouble) {
    SendJob(0, 6);
    SendJob(1, 6);
    PlayFor(kTaskRunTime - kStartTime);
    Begin(trouble);
  }
};

TEST_P(HandoverMatrixTest, NoTaskRunsTwiceAndEveryJobIsAnswered) {
  const HandoverCase& c = GetParam();
  if (c.m_moment == Moment::kStartsAndWork) {
    StrikeAtStartsAndWork(c.m_trouble);
  } else {
    StrikeAboutTheEnds(c.m_trouble);
  }
  PlayFor(kTroubleTime);
  End(c.m_trouble);
  EXPECT_TRUE(PlayUntilAnswered());
}

std::vector<HandoverCase> AllCases() {
  const std::vector<std::pair<HandOver, std::vector<Trouble>>> troubles = {
      {HandOver::kClientToEntry, {Trouble::kReset}},
      {HandOver::kEntryToAgent,
       {Trouble::kSenderKilled, Trouble::kReceiverKilled,
        Trouble::kSenderRestarted, Trouble::kReceiverRestarted,
        Trouble::kSenderFrozen, Trouble::kReceiverFrozen, Trouble::kDelay,
        Trouble::kReset, Trouble::kSilent, Trouble::kCutToReceiver,
        Trouble::kCutToSender}},
      {HandOver::kAgentToRunner,
       {Trouble::kReceiverRestarted, Trouble::kDelay, Trouble::kReset,
        Trouble::kSilent, Trouble::kCutToReceiver, Trouble::kCutToSender}}};
  std::vector<HandoverCase> cases;
  for (const auto& [hand_over, kinds] : troubles) {
    for (const Trouble trouble : kinds) {
      cases.push_back({hand_over, trouble, Moment::kStartsAndWork});
    }
  }
  // The way of the ends.
  cases.push_back(
      {HandOver::kEntryToAgent, Trouble::kReceiverKilled, Moment::kAboutToEnd});
  cases.push_back(
      {HandOver::kAgentToRunner, Trouble::kCutToSender, Moment::kAboutToEnd});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Handover,
                         HandoverMatrixTest,
                         testing::ValuesIn(AllCases()),
                         CaseName);

}  // namespace
}  // namespace comfreyshift
