// Measures the ticks of an entry's scheduler while it places one job: the
// longest tick and the time of all of them, by the job's tasks and the fleet's
// agents. Agents acknowledge each tick's starts with a status and report the
// runs as done. Prints one JSON object a line.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/scheduler.h"

namespace comfreyshift {
namespace {

using SteadyClock = std::chrono::steady_clock;

// Ticks after which a job counts as not placed.
constexpr int kMaxTicks = 20'000;

class TickMeasurement {
 public:
  TickMeasurement(size_t agents, uint32_t tasks) : m_tasks(tasks) {
    for (size_t i = 0; i < agents; ++i) {
      const std::string name = "agent-" + std::to_string(i);
      m_scheduler.OnAgentConnected(name, {name, 1}, m_now);
      m_sequences[name] = 0;
    }
    SendStatuses();
    m_scheduler.Tick(m_now);
  }

  void Run() {
    Submit();
    while (m_done < m_tasks && m_ticks < kMaxTicks) {
      SendStatuses();
      Report();
      Tick();
      m_now += Milliseconds(1);
    }
  }

  void Print(size_t agents) const {
    std::printf(
        "{\"bench\":\"scheduler\",\"agents\":%zu,\"tasks\":%u,\"done\":%u,"
        "\"ticks\":%d,\"longest_tick_us\":%lld,\"total_us\":%lld}\n",
        agents, m_tasks, m_done, m_ticks,
        static_cast<long long>(m_longest.count()),
        static_cast<long long>(m_total.count()));
  }

 private:
  void Submit() {
    JobRequest request;
    request.m_id = "job";
    request.m_payload = std::string(4000, 'x');
    Step step;
    step.m_count = m_tasks;
    step.m_demand = {1, 1, 0};
    step.m_estimated_run_time = Milliseconds(60);
    request.m_steps = {step};
    request.m_give_up_at = m_now + std::chrono::hours(1);
    QueueConfig queue;
    queue.m_name = "queue";
    queue.m_service = "service";
    queue.m_stretch = 1.6;
    queue.m_target_latency = Milliseconds(60);
    m_scheduler.Submit(request, queue, m_now);
  }

  void SendStatuses() {
    RunnerStatus status;
    status.m_agent_clock = m_now;
    status.m_is_accepting = true;
    status.m_service = "service";
    status.m_capacity = {64'000, 128'000, 0};
    status.m_free = status.m_capacity;
    for (const auto& [name, sequence] : m_sequences) {
      status.m_sequence = sequence;
      m_scheduler.OnStatus(name, status, m_now);
    }
  }

  void Report() {
    for (const auto& [agent, run] : m_running) {
      m_scheduler.OnReport(
          agent, {run, RunOutcome::kDone, true, Milliseconds(60)}, m_now);
      ++m_done;
    }
    m_running.clear();
  }

  void Tick() {
    const auto begin = SteadyClock::now();
    const std::vector<SchedulerAction> actions = m_scheduler.Tick(m_now);
    const auto time =
        std::chrono::duration_cast<Microseconds>(SteadyClock::now() - begin);
    m_longest = std::max(m_longest, time);
    m_total += time;
    ++m_ticks;
    for (const SchedulerAction& action : actions) {
      const auto* send = std::get_if<SendToAgent>(&action);
      const auto* start =
          send == nullptr ? nullptr : std::get_if<StartRun>(&send->m_message);
      if (start != nullptr) {
        m_sequences[send->m_agent] = start->m_sequence;
        m_running.emplace_back(send->m_agent, start->m_run);
      }
    }
  }

  uint32_t m_tasks;
  MonoTime m_now{std::chrono::hours(1)};
  JobScheduler m_scheduler{1, 1, m_now};
  std::map<std::string, uint64_t> m_sequences;
  std::vector<std::pair<std::string, RunKey>> m_running;
  uint32_t m_done = 0;
  int m_ticks = 0;
  Microseconds m_longest{0};
  Microseconds m_total{0};
};

int Main() {
  for (const size_t agents : {11U, 75U, 300U, 2400U}) {
    for (const uint32_t tasks : {8U, 440U, 4096U}) {
      TickMeasurement measurement(agents, tasks);
      measurement.Run();
      measurement.Print(agents);
    }
  }
  return 0;
}

}  // namespace
}  // namespace comfreyshift

int main() {
  return comfreyshift::Main();
}
