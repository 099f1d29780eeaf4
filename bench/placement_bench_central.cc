#include "bench/placement_bench_central.h"

#include <algorithm>
#include <array>
#include <queue>
#include <set>

namespace comfreyshift::bench {
namespace {

// Tasks examined in one pass at most; later ones would be planned for slots
// that are not free yet.
constexpr uint32_t kLookahead = 400;

struct Event {
  MonoTime m_time;
  // A ready job, or an ended task when m_target is set.
  uint32_t m_index = 0;
  uint32_t m_target = kTargets;

  bool operator>(const Event& other) const { return m_time > other.m_time; }
};

struct JobState {
  std::vector<uint32_t> m_waiting;  // Shortest first, taken from the back.
  Microseconds m_work{0};
  uint32_t m_left = 0;
};

class Central {
 public:
  Central(const Deployment& deployment,
          const Scenario& scenario,
          const Workload& workload,
          CentralOrder order)
      : m_deployment(deployment),
        m_scenario(scenario),
        m_workload(workload),
        m_order(order),
        m_jobs(workload.m_jobs.size()) {
    for (auto& ends : m_slot_ends) {
      ends.assign(kSlots, kStart);
    }
  }

  Outcome Run() {
    for (uint32_t i = 0; i < m_workload.m_jobs.size(); ++i) {
      m_events.push({m_workload.m_jobs[i].m_arrival + HalfPath(), i});
    }
    m_events.push({kDisturbedUntil, 0, kTargets + 1});
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      Apply(event);
      if (m_events.empty() || m_events.top().m_time > m_now) {
        Pass();
      }
    }
    return std::move(m_outcome);
  }

 private:
  Microseconds HalfPath() const { return PathDelay(m_deployment) / 2; }

  bool Usable(uint32_t target) const {
    if (Disturbed(m_scenario, Disturbance::kZoneOut, m_now)) {
      return RackOf(target) != kClosedZone;
    }
    return !Disturbed(m_scenario, Disturbance::kFailing, m_now) ||
           target != kFailingTarget;
  }

  Microseconds Cost(uint32_t task, uint32_t target) const {
    return RunTimeAt(m_deployment, m_scenario, m_workload, task, target, m_now);
  }

  std::pair<int64_t, uint32_t> KeyOf(uint32_t job) const {
    const Job& spec = m_workload.m_jobs[job];
    switch (m_order) {
      case CentralOrder::kShortestRemaining:
        return {m_jobs[job].m_work.count(), job};
      case CentralOrder::kFirstCome:
        return {spec.m_arrival.time_since_epoch().count(), job};
      case CentralOrder::kSlowdown:
        break;
    }
    return {(spec.m_arrival + 2 * spec.m_ideal).time_since_epoch().count(),
            job};
  }

  void Apply(const Event& event) {
    if (event.m_target < kTargets) {
      End(event.m_index);
    } else if (event.m_target == kTargets) {
      AddJob(event.m_index);
    }
  }

  void AddJob(uint32_t index) {
    const Job& job = m_workload.m_jobs[index];
    JobState& state = m_jobs[index];
    for (uint32_t i = 0; i < job.m_tasks; ++i) {
      state.m_waiting.push_back(job.m_first_task + i);
      state.m_work += m_workload.m_tasks[job.m_first_task + i].m_work;
    }
    state.m_left = job.m_tasks;
    std::sort(state.m_waiting.begin(), state.m_waiting.end(),
              [this](uint32_t a, uint32_t b) {
                return m_workload.m_tasks[a].m_work <
                       m_workload.m_tasks[b].m_work;
              });
    m_queue.insert(KeyOf(index));
  }

  void End(uint32_t task) {
    const uint32_t index = m_workload.m_tasks[task].m_job;
    const Job& job = m_workload.m_jobs[index];
    ++m_outcome.m_tasks_done;
    if (m_now >= kDisturbedFrom && m_now < kZoneWindowUntil) {
      m_outcome.m_work_done += m_workload.m_tasks[task].m_work;
    }
    const Microseconds response = m_now + HalfPath() - job.m_arrival;
    const bool measured = job.m_arrival >= kMeasuredFrom;
    if (measured) {
      m_outcome.m_task_ratios.push_back(
          static_cast<double>(response.count()) /
          static_cast<double>(
              (m_workload.m_tasks[task].m_work + PathDelay(m_deployment))
                  .count()));
    }
    if (--m_jobs[index].m_left == 0 && measured) {
      m_outcome.m_job_sizes.push_back(job.m_tasks);
      m_outcome.m_job_ratios.push_back(
          static_cast<double>(response.count()) /
          static_cast<double>(job.m_ideal.count()));
    }
  }

  // Counts the slots that are free now, and brings past ends up to now.
  uint32_t Plan() {
    uint32_t free = 0;
    for (uint32_t target = 0; target < kTargets; ++target) {
      m_plan[target] = m_slot_ends[target];
      for (MonoTime& end : m_plan[target]) {
        end = std::max(end, m_now);
        free += end == m_now && Usable(target) ? 1 : 0;
      }
    }
    return free;
  }

  void Pass() {
    uint32_t free = Plan();
    uint32_t examined = 0;
    const auto queue = std::vector(m_queue.begin(), m_queue.end());
    for (const auto& key : queue) {
      if (free == 0 || examined >= kLookahead) {
        return;
      }
      free = PassJob(key.second, free, examined);
    }
  }

  uint32_t PassJob(uint32_t index, uint32_t free, uint32_t& examined) {
    JobState& state = m_jobs[index];
    const auto old_key = KeyOf(index);
    std::vector<uint32_t> kept;
    while (!state.m_waiting.empty() && free > 0 && examined < kLookahead) {
      const uint32_t task = state.m_waiting.back();
      state.m_waiting.pop_back();
      ++examined;
      const MonoTime start = PlanTask(task, index);
      if (start == m_now) {
        --free;
        state.m_work -= m_workload.m_tasks[task].m_work;
      } else {
        kept.push_back(task);
      }
    }
    state.m_waiting.insert(state.m_waiting.end(), kept.rbegin(), kept.rend());
    m_queue.erase(old_key);
    if (!state.m_waiting.empty()) {
      m_queue.insert(KeyOf(index));
    }
    return free;
  }

  // Gives the task the slot with the earliest end, and starts it when that slot
  // is free now. Returns its start.
  MonoTime PlanTask(uint32_t task, uint32_t job) {
    MonoTime best_end = MonoTime::max();
    uint32_t best_target = 0;
    size_t best_slot = 0;
    for (uint32_t target = 0; target < kTargets; ++target) {
      if (!Usable(target) ||
          !MayPlace(m_workload.m_jobs[job].m_owner, target)) {
        continue;
      }
      const auto& ends = m_plan[target];
      const auto slot = std::min_element(ends.begin(), ends.end());
      const MonoTime end = *slot + Cost(task, target);
      if (end < best_end) {
        best_end = end;
        best_target = target;
        best_slot = static_cast<size_t>(slot - ends.begin());
      }
    }
    const MonoTime start = m_plan[best_target][best_slot];
    m_plan[best_target][best_slot] = best_end;
    if (start == m_now) {
      m_slot_ends[best_target][best_slot] = best_end;
      m_events.push({best_end, task, best_target});
    }
    return start;
  }

  const Deployment& m_deployment;
  const Scenario& m_scenario;
  const Workload& m_workload;
  CentralOrder m_order;
  MonoTime m_now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<JobState> m_jobs;
  std::set<std::pair<int64_t, uint32_t>> m_queue;
  std::array<std::vector<MonoTime>, kTargets> m_slot_ends;
  std::array<std::vector<MonoTime>, kTargets> m_plan;
  Outcome m_outcome;
};

}  // namespace

Outcome RunCentral(const Deployment& deployment,
                   const Scenario& scenario,
                   const Workload& workload,
                   CentralOrder order) {
  return Central(deployment, scenario, workload, order).Run();
}

}  // namespace comfreyshift::bench
