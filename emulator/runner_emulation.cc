#include "emulator/runner_emulation.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

constexpr MonoTime kNever = MonoTime::max();
// A hanging task gets this much slower.
constexpr double kHangFactor = 1e6;

Microseconds Scale(Microseconds time, double factor) {
  return Microseconds(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

RunnerEmulation::RunnerEmulation(RunnerIncarnation incarnation,
                                 Resources capacity,
                                 double slowness,
                                 const Behaviours& behaviours)
    : m_process_incarnation(std::move(incarnation)),
      m_capacity(capacity),
      m_slowness(slowness),
      m_behaviours(behaviours) {}

RunnerTime RunnerEmulation::Clock(MonoTime now) const {
  return std::chrono::duration_cast<RunnerTime>(now - m_born_at) +
         RunnerTime(1000);
}

bool RunnerEmulation::IsFenced(uint64_t token) {
  if (token < m_token) {
    return true;
  }
  m_token = token;
  return false;
}

// A request names the id only, which the runner keeps when it restarts.
bool RunnerEmulation::IsAddressed(const RunnerIncarnation& target) const {
  return target.m_id == m_process_incarnation.m_id;
}

void RunnerEmulation::Renew(RunnerTime until, MonoTime now) {
  m_lease_until =
      std::max(m_lease_until, std::min(until, Clock(now) + kMaxRunnerLease));
}

StartResult RunnerEmulation::Start(const StartRequest& request, MonoTime now) {
  Advance(now);
  if (!IsAddressed(request.m_process_incarnation)) {
    return StartResult::kOtherIncarnation;
  }
  if (IsFenced(request.m_fencing_token)) {
    return StartResult::kFenced;
  }
  Renew(request.m_lease_until, now);
  if (m_running.contains(request.m_run)) {
    return StartResult::kStarted;
  }
  const auto closed = m_closed_numbers.find(request.m_run.m_task);
  if (closed != m_closed_numbers.end() &&
      request.m_run.m_number <= closed->second) {
    return StartResult::kNumberTooLow;
  }
  if (m_lease_until < Clock(now)) {
    return StartResult::kRejected;
  }
  const TaskBehaviour& task = m_behaviours.at(request.m_run.m_task);
  Running run;
  run.m_demand = task.m_demand;
  run.m_started_at = now;
  run.m_measured_at = now;
  run.m_work = task.m_work;
  run.m_left = task.m_work;
  if (!task.m_data_rack.empty() && task.m_data_rack != m_rack) {
    run.m_left = Scale(run.m_left, m_remote_factor);
  }
  run.m_fails = task.m_always_fails || m_fails_all;
  m_running[request.m_run] = run;
  m_started_jobs.insert(request.m_run.m_task.m_job);
  ++m_starts;
  if (!UsedRoom().Fits(m_capacity)) {
    ++m_overloads;
  }
  return StartResult::kStarted;
}

StopResult RunnerEmulation::Stop(const StopRequest& request, MonoTime now) {
  Advance(now);
  if (!IsAddressed(request.m_process_incarnation)) {
    return StopResult::kOtherIncarnation;
  }
  if (IsFenced(request.m_fencing_token)) {
    return StopResult::kFenced;
  }
  uint64_t& closed = m_closed_numbers[request.m_run.m_task];
  closed = std::max(closed, request.m_run.m_number);
  if (m_running.contains(request.m_run)) {
    End(request.m_run, RunOutcome::kStopped);
  }
  return StopResult::kAccepted;
}

std::variant<RunLists, PollFailure> RunnerEmulation::Poll(
    const PollRequest& request,
    MonoTime now) {
  Advance(now);
  if (!IsAddressed(request.m_process_incarnation)) {
    return PollFailure::kOtherIncarnation;
  }
  if (IsFenced(request.m_fencing_token)) {
    return PollFailure::kFenced;
  }
  if (request.m_lease_until) {
    Renew(*request.m_lease_until, now);
  }
  std::erase_if(m_ended, [&](const EndedRun& row) {
    return row.m_number <= request.m_acknowledged_ends;
  });
  Measure(now);
  RunLists lists;
  lists.m_clock = Clock(now);
  lists.m_start_time_ms = m_process_incarnation.m_start_time_ms;
  lists.m_ended = m_ended;
  for (const auto& [key, run] : m_running) {
    const double left =
        static_cast<double>(run.m_left.count()) /
        static_cast<double>(std::max<int64_t>(1, run.m_work.count()));
    lists.m_running.push_back({key, 100.0 * (1.0 - left)});
  }
  return lists;
}

void RunnerEmulation::Measure(MonoTime now) {
  const double factor = m_slowness * (m_hangs ? kHangFactor : 1.0);
  for (auto& [key, run] : m_running) {
    run.m_left -= Scale(now - run.m_measured_at, 1.0 / factor);
    run.m_measured_at = now;
  }
}

MonoTime RunnerEmulation::EndOf(const Running& run) const {
  const double factor = m_slowness * (m_hangs ? kHangFactor : 1.0);
  return run.m_measured_at +
         std::max(Microseconds(0), Scale(run.m_left, factor));
}

MonoTime RunnerEmulation::NextEnd() const {
  MonoTime next = kNever;
  for (const auto& [key, run] : m_running) {
    next = std::min(next, EndOf(run));
  }
  return next;
}

void RunnerEmulation::Advance(MonoTime now) {
  const bool is_lapsed = m_lease_until < Clock(now);
  std::vector<std::pair<RunKey, RunOutcome>> ends;
  for (const auto& [key, run] : m_running) {
    if (EndOf(run) <= now) {
      ends.emplace_back(key,
                        run.m_fails ? RunOutcome::kFailed : RunOutcome::kDone);
    } else if (is_lapsed) {
      ends.emplace_back(key, RunOutcome::kStopped);
    }
  }
  for (const auto& [key, outcome] : ends) {
    End(key, outcome);
  }
}

void RunnerEmulation::End(const RunKey& key, RunOutcome outcome) {
  const auto found = m_running.find(key);
  if (outcome != RunOutcome::kDone) {
    const Running& run = found->second;
    m_lost_core_seconds +=
        static_cast<double>(run.m_demand.m_cpu_millis) * 1e-9 *
        static_cast<double>((run.m_work - run.m_left).count());
  }
  m_running.erase(found);
  uint64_t& closed = m_closed_numbers[key.m_task];
  closed = std::max(closed, key.m_number);
  m_ended.push_back({++m_last_end, key, outcome});
}

void RunnerEmulation::Restart(MonoTime now) {
  m_running.clear();
  m_ended.clear();
  m_closed_numbers.clear();
  m_last_end = 0;
  m_token = 0;
  m_lease_until = RunnerTime(0);
  m_born_at = now;
  ++m_process_incarnation.m_start_time_ms;
}

void RunnerEmulation::SetRack(const std::string& rack, double remote_factor) {
  m_rack = rack;
  m_remote_factor = remote_factor;
}

void RunnerEmulation::set_slowness(double slowness, MonoTime now) {
  Measure(now);
  m_slowness = slowness;
}

void RunnerEmulation::set_hangs(bool hangs, MonoTime now) {
  Measure(now);
  m_hangs = hangs;
}

std::vector<TaskKey> RunnerEmulation::Working() const {
  std::vector<TaskKey> tasks;
  tasks.reserve(m_running.size());
  for (const auto& [key, run] : m_running) {
    tasks.push_back(key.m_task);
  }
  return tasks;
}

Resources RunnerEmulation::UsedRoom() const {
  Resources used;
  for (const auto& [key, run] : m_running) {
    used += run.m_demand;
  }
  return used;
}

}  // namespace comfreyshift
