#include "tools/soak/world.h"

#include <signal.h>
#include <sys/wait.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kJobInterval{25};
constexpr Milliseconds kPatience{2500};
// The users' clients send a job again this long after a broken connection.
constexpr Milliseconds kResendDelay{1300};
constexpr Milliseconds kTaskTime{120};
// One job in so many has a single long task, which outlives what strikes its
// entry.
constexpr uint64_t kLongJobPeriod = 32;
constexpr Milliseconds kShortestLongTask{2000};
constexpr uint64_t kLongTaskSpreadMs = 1000;
constexpr Milliseconds kLongestTask =
    kShortestLongTask + Milliseconds(kLongTaskSpreadMs);
constexpr Milliseconds kConfigInterval{700};
constexpr Milliseconds kTurn{1};
// Of the jobs sent well after the last fault, so many must be served.
constexpr double kServedAtRest = 0.9;
// After faults end, agents and entries find each other within this time.
constexpr Milliseconds kRecoveryTime{3000};

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string AgentKey(size_t index) {
  return "comfreyshift/agents/agent-" + std::to_string(index);
}

}  // namespace

SoakWorld::SoakWorld(uint64_t seed, uint16_t first_port)
    : m_random(seed),
      m_task_times(seed),
      m_first_port(first_port),
      m_runner_faults(seed, m_runners, m_runner_links) {
  WriteConfig();
  for (size_t i = 0; i < kEntries + kAgents; ++i) {
    m_store_links.push_back(std::make_unique<FaultProxy>(m_store.address()));
  }
  for (size_t i = 0; i < kAgents; ++i) {
    m_runners.push_back(std::make_unique<RunnerStandin>(
        "i-" + std::to_string(i), Loopback(10 + i), kTaskTime));
    m_runner_links.push_back(
        std::make_unique<FaultProxy>(m_runners[i]->address()));
    m_agent_links.push_back(std::make_unique<FaultProxy>(Loopback(15 + i)));
  }
  // Entries reach the agents through the proxies.
  m_store.RewriteValues([this](const std::string& key, std::string value) {
    for (size_t i = 0; i < kAgents; ++i) {
      if (key == AgentKey(i)) {
        Json record = Json::parse(value);
        record["address"] = m_agent_links[i]->address().ToString();
        return record.dump();
      }
    }
    return value;
  });
  m_agents.resize(kAgents);
  m_entries.resize(kEntries);
  for (size_t i = 0; i < kAgents; ++i) {
    StartAgent(i);
  }
  for (size_t i = 0; i < kEntries; ++i) {
    StartEntry(i);
    HttpClientOptions options;
    options.m_base_url = "http://" + Loopback(2 * i).ToString();
    m_clients.push_back(HttpClient::Make(options).value());
  }
}

Address SoakWorld::Loopback(size_t offset) const {
  return {"127.0.0.1", static_cast<uint16_t>(m_first_port + offset)};
}

void SoakWorld::StartEntry(size_t index) {
  const std::string name = "entry-" + std::to_string(index);
  m_entries[index] = std::make_unique<PlatformProcess>(
      "platform-entry", name,
      EntrySettingsText(name, Loopback(2 * index), Loopback(2 * index + 1),
                        Loopback(5).m_port, m_store_links[index]->address()),
      Loopback(20 + index).m_port);
}

void SoakWorld::StartAgent(size_t index) {
  const std::string name = "agent-" + std::to_string(index);
  m_agents[index] = std::make_unique<PlatformProcess>(
      "platform-agent", name,
      AgentSettingsText(name, Loopback(10 + index), Loopback(15 + index).m_port,
                        m_runner_links[index]->address(),
                        m_store_links[kEntries + index]->address()),
      Loopback(25 + index).m_port);
}

// The operator writes a new version now and then, so that a process could go
// back to an older one.
void SoakWorld::WriteConfig() {
  m_store.Put("op/config", ConfigText(++m_config_version));
  At(BootClock::now() + kConfigInterval, [this]() { WriteConfig(); });
}

void SoakWorld::At(MonoTime due, std::function<void()> action) {
  m_later.emplace(due, std::move(action));
}

void SoakWorld::RunFor(Milliseconds time) {
  const MonoTime end = BootClock::now() + time;
  while (BootClock::now() < end) {
    const MonoTime now = BootClock::now();
    m_longest_pause = std::max(m_longest_pause, now - m_last_turn);
    m_last_turn = now;
    while (!m_later.empty() && m_later.begin()->first <= now) {
      const std::function<void()> action = m_later.begin()->second;
      m_later.erase(m_later.begin());
      action();
    }
    RestartExited();
    SubmitDue(now);
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
    CheckRunning();
    g_usleep(static_cast<gulong>(Microseconds(kTurn).count()));
  }
}

// The platform starts a process again when it has ended.
void SoakWorld::RestartExited() {
  for (size_t i = 0; i < kEntries; ++i) {
    if (m_entries[i]->HasExited()) {
      CheckExit(*m_entries[i]);
      CheckLog(*m_entries[i]);
      StartEntry(i);
    }
  }
  for (size_t i = 0; i < kAgents; ++i) {
    if (m_agents[i]->HasExited()) {
      CheckExit(*m_agents[i]);
      StartAgent(i);
    }
  }
}

void SoakWorld::SubmitDue(MonoTime now) {
  if (!m_is_sending || now < m_next_job_at) {
    return;
  }
  m_next_job_at = now + kJobInterval;
  char id[17];
  std::snprintf(id, sizeof(id), "%016zx", m_jobs.size() + 1);
  SoakJob job;
  job.m_id = id;
  job.m_tasks = 1 + m_random() % 4;
  job.m_task_time = DrawTaskTime();
  if (job.m_task_time > kTaskTime) {
    job.m_tasks = 1;
  }
  job.m_sent_at = now;
  job.m_give_up_at = now + kPatience + 2 * (job.m_task_time - kTaskTime);
  m_jobs.push_back(job);
  Send(m_jobs.size() - 1);
}

Milliseconds SoakWorld::DrawTaskTime() {
  return m_task_times() % kLongJobPeriod == 0
             ? kShortestLongTask +
                   Milliseconds(m_task_times() % kLongTaskSpreadMs)
             : kTaskTime;
}

void SoakWorld::Send(size_t index) {
  SoakJob& job = m_jobs[index];
  const auto left = std::chrono::duration_cast<Milliseconds>(job.m_give_up_at -
                                                             BootClock::now());
  if (left <= Milliseconds(0)) {
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_path = "/p/" + job.m_id;
  call.m_headers = {{"Host", "h.example"},
                    {"Deadline-Remaining", std::to_string(left.count())}};
  call.m_body =
      JobText(job.m_tasks, job.m_task_time, TimedTaskText(job.m_task_time));
  call.m_deadline = job.m_give_up_at;
  m_clients[m_random() % m_clients.size()]->Send(
      std::move(call),
      [this, index](const HttpCallResult& result) { OnAnswer(index, result); });
}

void SoakWorld::OnAnswer(size_t index, const HttpCallResult& result) {
  SoakJob& job = m_jobs[index];
  const int status = result ? result.value().m_status : 0;
  if (status == kOk) {
    const Json body =
        Json::parse(result.value().m_body, nullptr, /*allow_exceptions=*/false);
    const std::string state =
        body.is_object() ? body.value("state", std::string()) : "";
    if (state != "completed" && state != "failed") {
      Violate("an answer is not whole: " + result.value().m_body);
    }
    job.m_is_done = true;
    ++m_served;
    return;
  }
  if (status == kUnavailable || status == kTooManyRequests) {
    job.m_is_refused = true;
    return;
  }
  // The client cannot know what became of it and sends it again.
  job.m_may_have_run = true;
  At(BootClock::now() + kResendDelay, [this, index]() { Send(index); });
}

Milliseconds SoakWorld::elapsed() const {
  return std::chrono::duration_cast<Milliseconds>(BootClock::now() - m_start);
}

std::map<std::string, std::string> SoakWorld::Logs() const {
  std::map<std::string, std::string> logs;
  for (size_t i = 0; i < kEntries; ++i) {
    logs["entry-" + std::to_string(i)] = m_entries[i]->Log();
  }
  for (size_t i = 0; i < kAgents; ++i) {
    logs["agent-" + std::to_string(i)] = m_agents[i]->Log();
  }
  return logs;
}

void SoakWorld::Violate(const std::string& what) {
  if (m_violations.insert(what).second) {
    std::printf("%lld ms: VIOLATION: %s (longest pause of the loop %lld us)\n",
                static_cast<long long>(elapsed().count()), what.c_str(),
                static_cast<long long>(m_longest_pause.count()));
  }
}

// No two runs of a task are at work at once, wherever they are.
void SoakWorld::CheckRunning() {
  std::map<TaskKey, size_t> working;
  for (size_t i = 0; i < m_runners.size(); ++i) {
    for (const TaskKey& task : m_runners[i]->runner().Working()) {
      const auto [other, is_new] = working.try_emplace(task, i);
      if (!is_new) {
        Violate("task " + std::to_string(task.m_index) + " of job " +
                task.m_job + " runs on runners " +
                std::to_string(other->second) + " and " + std::to_string(i));
      }
    }
  }
}

// A process ends when it is killed or has stopped as it was told to. While its
// libraries are loaded, before its first log line, it has accepted nothing and
// every signal may end it.
void SoakWorld::CheckExit(const PlatformProcess& process) {
  const int status = process.exit_status();
  const bool is_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool has_stopped = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!is_killed && !has_stopped && !process.Log().empty()) {
    Violate("a process ended by itself with wait status " +
            std::to_string(status));
  }
}

// The configuration never goes back within one life of a process.
void SoakWorld::CheckLog(const PlatformProcess& process) {
  const std::string log = process.Log();
  constexpr std::string_view kEvent =
      "\"event\":\"config_applied\",\"version\":";
  uint64_t newest = 0;
  for (size_t at = log.find(kEvent); at != std::string::npos;
       at = log.find(kEvent, at + 1)) {
    const uint64_t version = std::stoull(log.substr(at + kEvent.size(), 20));
    if (version <= newest) {
      Violate("the configuration went from version " + std::to_string(newest) +
              " back to " + std::to_string(version));
    }
    newest = version;
  }
}

FaultProxy& SoakWorld::AnyProxy() {
  auto* links = &m_store_links;
  switch (m_random() % 3) {
    case 0:
      links = &m_runner_links;
      break;
    case 1:
      links = &m_agent_links;
      break;
    default:
      break;
  }
  return *(*links)[m_random() % links->size()];
}

void SoakWorld::StrikeProcess(std::unique_ptr<PlatformProcess>& process,
                              int choice) {
  constexpr int kSignals[] = {SIGKILL, SIGTERM, SIGHUP, SIGSTOP};
  const int signal = kSignals[choice];
  process->Signal(signal);
  if (signal == SIGSTOP) {
    // The process may have ended or been replaced by then.
    At(BootClock::now() + Milliseconds(200 + m_random() % 2500),
       [&process]() { process->Signal(SIGCONT); });
  }
}

std::string SoakWorld::Strike() {
  std::string strikes = StrikeOutside();
  const std::string runner = m_runner_faults.Strike();
  if (!runner.empty()) {
    strikes += "; " + runner;
  }
  if (m_runner_faults.StrikeAllStops()) {
    // The stops that fail are those of the runs of a lost entry.
    m_entries.front()->Signal(SIGKILL);
    strikes += "; entry 0 is killed, all runners leave stops unanswered";
  }
  return strikes;
}

std::string SoakWorld::StrikeOutside() {
  const uint64_t choice = m_random() % 10;
  const Milliseconds length(200 + m_random() % 2000);
  if (choice < 4) {
    constexpr LinkFault kFaults[] = {
        LinkFault::kDelay, LinkFault::kReset, LinkFault::kSilent,
        LinkFault::kCutToServer, LinkFault::kCutToClient};
    const size_t fault = m_random() % std::size(kFaults);
    FaultProxy& link = AnyProxy();
    link.SetFault(kFaults[fault]);
    At(BootClock::now() + length,
       [&link]() { link.SetFault(LinkFault::kNone); });
    return "link fault " + std::to_string(fault) + " for " +
           std::to_string(length.count()) + " ms";
  }
  if (choice == 4) {
    AnyProxy().SilenceOpenConnections();
    return "open connections of a link go silent";
  }
  if (choice == 5) {
    m_store.set_is_down(true);
    At(BootClock::now() + length, [this]() { m_store.set_is_down(false); });
    return "store down for " + std::to_string(length.count()) + " ms";
  }
  if (choice == 6) {
    m_store.Compact();
    m_store.EndLeases();
    return "store drops history and leases";
  }
  const int signal = static_cast<int>(m_random() % 4);
  if (choice < 9) {
    StrikeProcess(m_agents[m_random() % kAgents], signal);
    return "agent gets signal " + std::to_string(signal);
  }
  StrikeProcess(m_entries[m_random() % kEntries], signal);
  return "entry gets signal " + std::to_string(signal);
}

void SoakWorld::Heal() {
  for (auto* links : {&m_store_links, &m_runner_links, &m_agent_links}) {
    for (const auto& link : *links) {
      link->SetFault(LinkFault::kNone);
    }
  }
  m_store.set_is_down(false);
  m_runner_faults.Heal();
  for (auto* processes : {&m_entries, &m_agents}) {
    for (const auto& process : *processes) {
      process->Signal(SIGCONT);
    }
  }
}

void SoakWorld::Settle() {
  m_is_sending = false;
  RunFor(kPatience + 2 * kLongestTask + Milliseconds(500));
}

void SoakWorld::CheckEnd(MonoTime calm_since) {
  std::set<std::string> started;
  for (const auto& runner : m_runners) {
    started.merge(std::set(runner->runner().StartedJobs()));
    if (runner->runner().overloads() > 0) {
      Violate("a runner was filled beyond its capacity");
    }
  }
  size_t asked = 0;
  size_t served = 0;
  for (const SoakJob& job : m_jobs) {
    const bool is_said_not_run =
        job.m_is_refused && !job.m_may_have_run && !job.m_is_done;
    if (is_said_not_run && started.contains(job.m_id)) {
      Violate("refused job " + job.m_id + " was started");
    }
    if (job.m_sent_at > calm_since + kRecoveryTime) {
      ++asked;
      served += job.m_is_done ? 1 : 0;
    }
  }
  if (static_cast<double>(served) <
      kServedAtRest * static_cast<double>(asked)) {
    Violate("after the faults " + std::to_string(served) + " of " +
            std::to_string(asked) + " jobs were served");
  }
  for (const auto& entry : m_entries) {
    CheckLog(*entry);
  }
}

}  // namespace comfreyshift
