#include "runner.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxHoldMs = 1000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr size_t kEndsInAnAnswer = 500;

}  // namespace

std::string TaskSpec(int64_t run_ms, int64_t cpu, int64_t mem_mb) {
  return std::to_string(run_ms) + " " + std::to_string(cpu) + " " +
         std::to_string(mem_mb);
}

Runner::Runner(RunnerOptions options)
    : m_options(std::move(options)),
      m_server(std::make_unique<Server>(
          m_options.app,
          [this](const Request& request) { return Handle(request); })),
      m_ticker([this]() { Tick(); }),
      m_heartbeats([this]() {
        int64_t next = SteadyMs();
        while (!m_stopping) {
          if (SteadyMs() >= next && !m_left && !m_silent) {
            // One that is not acknowledged is repeated soon.
            next = SteadyMs() + (SendHeartbeat() ? kHeartbeatMs : 200);
          }
          SleepMs(10);
        }
      }) {}

Runner::~Runner() {
  m_stopping = true;
  m_changed.notify_all();
  m_heartbeats.join();
  m_ticker.join();
  m_server.reset();
}

std::string Runner::HeartbeatBody() {
  const std::lock_guard lock(m_mutex);
  Json body{
      {"service", m_options.service},
      {"address", m_options.app.Text()},
      {"zone", m_options.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", m_draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"capacity",
       {{"cpu", m_options.cpu}, {"mem_mb", m_options.mem_mb}, {"gpu", 0}}},
      {"labels", {"a", m_options.rack}},
      {"clock_ms", Clock()},
      {"born", m_born},
      {"seq", ++m_sequence}};
  if (m_draining) {
    body["remaining_ms"] = 4000;
  }
  return body.dump();
}

bool Runner::SendHeartbeat() {
  const bool draining = m_draining;
  const Answer answer =
      Call(m_options.control, "PUT", "/api/instances/" + m_options.id,
           {{"Host", m_options.control.Text()}}, HeartbeatBody(), 1000);
  if (draining && answer.status / 100 == 2 && m_drain_acknowledged_at == 0) {
    m_drain_acknowledged_at = SteadyMs();
  }
  return answer.status / 100 == 2;
}

int64_t Runner::Drain(int64_t timeout_ms) {
  m_draining = true;
  const int64_t until = SteadyMs() + timeout_ms;
  while (m_drain_acknowledged_at == 0 && SteadyMs() < until) {
    SleepMs(2);
  }
  return m_drain_acknowledged_at;
}

void Runner::Leave() {
  m_left = true;
  Call(m_options.control, "DELETE", "/api/instances/" + m_options.id,
       {{"Host", m_options.control.Text()}}, "", 1000);
  m_silent = true;
  {
    const std::lock_guard lock(m_mutex);
    while (!m_active.empty()) {
      Finish(m_active.front(), "left");
    }
  }
  m_server->BreakConnections();
}

void Runner::Restart(int64_t cpu, int64_t mem_mb) {
  {
    const std::lock_guard lock(m_mutex);
    while (!m_active.empty()) {
      Finish(m_active.front(), "crashed");
    }
    m_ends.clear();
    m_last_end = 0;
    m_highest.clear();
    m_token = 0;
    m_lease = 0;
    m_sequence = 0;
    m_started_at = SteadyMs();
    m_born = UnixMs();
    m_options.cpu = cpu;
    m_options.mem_mb = mem_mb;
  }
  m_server->BreakConnections();
}

void Runner::SetSilent(bool silent) {
  m_silent = silent;
}

void Runner::Extend(int64_t deadline) {
  m_lease = std::max(m_lease, std::min(deadline, Clock() + kMaxHoldMs));
}

bool Runner::IsFenced(uint64_t token) {
  if (token < m_token) {
    return true;
  }
  m_token = token;
  return false;
}

void Runner::Finish(size_t index, const std::string& how) {
  Run& run = m_runs[index];
  run.ended_ms = SteadyMs();
  run.how = how;
  std::erase(m_active, index);
  uint64_t& highest = m_highest[run.task];
  highest = std::max(highest, run.run_id);
  m_ends.push_back({++m_last_end, run.task, run.run_id, how});
  m_changed.notify_all();
}

void Runner::Advance() {
  const int64_t now = SteadyMs();
  if (!m_active.empty() && Clock() >= m_lease) {
    while (!m_active.empty()) {
      Finish(m_active.front(), "lapsed");
    }
  }
  for (const size_t index : std::vector<size_t>(m_active)) {
    const Run& run = m_runs[index];
    if (now >= run.started_ms + std::atoll(run.task_spec.c_str())) {
      Finish(index, "done");
    }
  }
}

void Runner::Tick() {
  while (!m_stopping) {
    {
      const std::lock_guard lock(m_mutex);
      Advance();
    }
    SleepMs(1);
  }
}

void Runner::CheckCapacity() {
  int64_t cpu = 0;
  int64_t mem = 0;
  for (const size_t index : m_active) {
    cpu += m_runs[index].cpu;
    mem += m_runs[index].mem_mb;
  }
  if (cpu > m_options.cpu || mem > m_options.mem_mb) {
    m_overloads.push_back(m_options.id + ": " + std::to_string(cpu) + " of " +
                          std::to_string(m_options.cpu) +
                          " thousandths of a core, " + std::to_string(mem) +
                          " of " + std::to_string(m_options.mem_mb) + " MB");
  }
}

std::optional<Response> Runner::Handle(const Request& request) {
  if (m_silent) {
    while (m_silent && !m_stopping) {
      SleepMs(20);
    }
    return std::nullopt;
  }
  const auto target = request.headers.find("target-instance");
  if (target != request.headers.end() && target->second != m_options.id) {
    return Response{421, "{}"};
  }
  if (request.path == "/api/run-start") {
    return Start(request);
  }
  if (request.path == "/api/run-stop") {
    return Stop(request);
  }
  if (request.path == "/api/hold") {
    return Hold(request);
  }
  return Response{404, "{}"};
}

Response Runner::Start(const Request& request) {
  ++m_starts;
  const Json body = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  Advance();
  const auto reject = [this](const char* reason) {
    return Response{
        409, Json{{"clock_ms", Clock()}, {"born", m_born}, {"reason", reason}}
                 .dump()};
  };
  if (IsFenced(body.value("fencing_token", uint64_t{0}))) {
    return reject("fence");
  }
  Run run;
  run.runner = m_options.id;
  run.born = m_born;
  run.task = body.value("task_id", "");
  run.run_id = body.value("run_id", uint64_t{0});
  run.task_spec = body.value("task_spec", "");
  const int64_t deadline = body.value("deadline_ms", int64_t{0});
  for (const size_t index : m_active) {
    if (m_runs[index].task == run.task && m_runs[index].run_id == run.run_id) {
      Extend(deadline);
      return {200, Json{{"clock_ms", Clock()}, {"born", m_born}}.dump()};
    }
  }
  if (m_highest.contains(run.task) && run.run_id <= m_highest[run.task]) {
    Extend(deadline);
    return reject("old");
  }
  if (deadline <= Clock()) {
    return reject("late");
  }
  Extend(deadline);
  long long time = 0;
  long long cpu = 0;
  long long mem = 0;
  std::sscanf(run.task_spec.c_str(), "%lld %lld %lld", &time, &cpu, &mem);
  run.cpu = cpu;
  run.mem_mb = mem;
  run.started_ms = SteadyMs();
  m_runs.push_back(run);
  m_active.push_back(m_runs.size() - 1);
  CheckCapacity();
  return {200, Json{{"clock_ms", Clock()}, {"born", m_born}}.dump()};
}

Response Runner::Stop(const Request& request) {
  const Json body = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  Advance();
  if (IsFenced(body.value("fencing_token", uint64_t{0}))) {
    return {409,
            Json{{"clock_ms", Clock()}, {"born", m_born}, {"reason", "fence"}}
                .dump()};
  }
  const std::string task = body.value("task_id", "");
  const uint64_t run_id = body.value("run_id", uint64_t{0});
  for (const size_t index : std::vector<size_t>(m_active)) {
    if (m_runs[index].task == task && m_runs[index].run_id == run_id) {
      Finish(index, "stopped");
    }
  }
  uint64_t& highest = m_highest[task];
  highest = std::max(highest, run_id);
  return {200, Json{{"clock_ms", Clock()}, {"born", m_born}}.dump()};
}

std::optional<Response> Runner::Hold(const Request& request) {
  const Json body = Json::parse(request.body);
  std::unique_lock lock(m_mutex);
  Advance();
  if (IsFenced(body.value("fencing_token", uint64_t{0}))) {
    return Response{
        409, Json{{"clock_ms", Clock()}, {"born", m_born}, {"reason", "fence"}}
                 .dump()};
  }
  Extend(body.value("deadline_ms", int64_t{0}));
  const uint64_t acked = body.value("acked_upto", uint64_t{0});
  const auto forget = [&]() {
    while (!m_ends.empty() && m_ends.front().number <= acked) {
      m_ends.pop_front();
    }
  };
  forget();
  const int64_t until =
      SteadyMs() + std::min<int64_t>(2000, body.value("wait_ms", int64_t{0}));
  const int64_t born = m_born;
  while (m_ends.empty() && SteadyMs() < until && !m_stopping && !m_silent &&
         born == m_born) {
    m_changed.wait_for(lock, std::chrono::milliseconds(5));
  }
  if (m_silent || born != m_born) {
    return std::nullopt;
  }
  return Response{200, ListsJson(acked)};
}

std::string Runner::ListsJson(uint64_t acked) {
  Json running = Json::array();
  for (const size_t index : m_active) {
    const Run& run = m_runs[index];
    const int64_t time =
        std::max<int64_t>(1, std::atoll(run.task_spec.c_str()));
    running.push_back(
        {run.task, run.run_id, "",
         std::min<int64_t>(99, 100 * (SteadyMs() - run.started_ms) / time),
         run.cpu});
  }
  Json ended = Json::array();
  for (const End& end : m_ends) {
    if (end.number > acked && ended.size() < kEndsInAnAnswer) {
      ended.push_back({end.number, end.task, end.run_id, end.how, ""});
    }
  }
  return Json{{"clock_ms", Clock()},
              {"born", m_born},
              {"running", running},
              {"ended", ended}}
      .dump();
}

std::vector<Run> Runner::Runs() {
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

std::vector<std::string> Runner::Overloads() {
  const std::lock_guard lock(m_mutex);
  return m_overloads;
}

}  // namespace review
