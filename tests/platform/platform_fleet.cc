#include "tests/platform/platform_fleet.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "tests/standins/platform_documents.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {

namespace {

constexpr uint64_t kFirstConfigVersion = 7;

}  // namespace

void RunFor(Milliseconds time) {
  const MonoTime end = BootClock::now() + time;
  while (BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
}

bool RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const MonoTime end = BootClock::now() + limit;
  while (!condition()) {
    if (BootClock::now() >= end) {
      return false;
    }
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
  return true;
}

void PlatformFleet::SetUp() {
  m_client_address = TestAddress(0);
  m_readiness_address = TestAddress(1);
  for (size_t i = 0; i < kAgents; ++i) {
    m_runners.push_back(std::make_unique<RunnerStandin>(
        "i-" + std::to_string(i), TestAddress(2 + i), m_task_run_time));
    StartAgent(i);
  }
  StartEntry();
  HttpClientOptions options;
  options.m_base_url = "http://" + m_client_address.ToString();
  m_client = HttpClient::Make(options).value();
  options.m_base_url = "http://" + m_readiness_address.ToString();
  m_readiness_client = HttpClient::Make(options).value();
}

std::string PlatformFleet::EntrySettings() const {
  return EntrySettingsText("entry", m_client_address, m_readiness_address,
                           TestAddress(6).m_port, m_store_proxy.address()) +
         ExtraSettings();
}

void PlatformFleet::StartEntry() {
  m_entry.reset();
  m_entry = std::make_unique<PlatformProcess>(
      "platform-entry", "entry", EntrySettings(), TestAddress(10).m_port);
}

void PlatformFleet::StartAgent(size_t index) {
  const std::string name = "agent-" + std::to_string(index);
  m_agents.resize(kAgents);
  m_agents[index].reset();
  m_agents[index] = std::make_unique<PlatformProcess>(
      "platform-agent", name,
      AgentSettingsText(name, TestAddress(2 + index),
                        TestAddress(7 + index).m_port, RunnerAddress(index),
                        m_store.address()) +
          ExtraSettings(),
      TestAddress(11 + index).m_port);
}

std::shared_ptr<PendingResponse> PlatformFleet::Send(
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const HttpHeaders& headers) {
  return SendThrough(*m_client, method, path, body, headers);
}

std::shared_ptr<PendingResponse> PlatformFleet::SendThrough(
    HttpClient& client,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const HttpHeaders& headers) {
  HttpCall call;
  call.m_method = method;
  call.m_path = path;
  call.m_body = body;
  call.m_headers = headers;
  call.m_headers["Host"] = "h.example";
  call.m_deadline = BootClock::now() + std::chrono::seconds(8);
  auto response = std::make_shared<PendingResponse>();
  client.Send(std::move(call), [response](const HttpCallResult& result) {
    response->m_has_arrived = true;
    if (result) {
      response->m_status = result.value().m_status;
      response->m_body = result.value().m_body;
      response->m_headers = result.value().m_headers;
    }
  });
  return response;
}

std::shared_ptr<PendingResponse> PlatformFleet::SubmitJob(
    uint32_t tasks,
    const HttpHeaders& headers) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", ++m_job_count);
  return Send("POST", std::string("/p/") + id, JobText(tasks, m_task_run_time),
              headers);
}

bool PlatformFleet::IsReady() {
  HttpCall call;
  call.m_method = "GET";
  call.m_path = "/api/readyz";
  call.m_deadline = BootClock::now() + std::chrono::seconds(1);
  const auto result = m_readiness_client->SendAndWait(std::move(call));
  return result && result.value().m_status == 200;
}

void PlatformFleet::ConfigureAndWaitUntilReady() {
  m_store.Put("op/config", ConfigText(kFirstConfigVersion));
  ASSERT_TRUE(RunUntil([this]() { return IsReady(); }));
  ASSERT_TRUE(RunUntil([this]() {
    return std::ranges::all_of(m_agents, [](const auto& agent) {
      return agent == nullptr || CountEvents(*agent, "runner_accepting") > 0;
    });
  }));
  RunFor(Milliseconds(200));
}

size_t PlatformFleet::CountEvents(const PlatformProcess& process,
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

bool PlatformFleet::RunUntilAndCheckRuns(
    const std::function<bool()>& condition) {
  return RunUntil([&]() {
    std::map<TaskKey, size_t> working;
    for (size_t i = 0; i < m_runners.size(); ++i) {
      for (const TaskKey& task : m_runners[i]->runner().Working()) {
        const auto [other, is_new] = working.try_emplace(task, i);
        EXPECT_TRUE(is_new)
            << "task " << task.m_index << " of job " << task.m_job
            << " runs on runners " << other->second << " and " << i;
      }
    }
    return condition();
  });
}

uint64_t PlatformFleet::StartCount() const {
  return m_runners[0]->runner().starts() + m_runners[1]->runner().starts();
}

}  // namespace comfreyshift
