#include "bench/placement_bench_central.h"

#include <algorithm>
#include <array>
#include <cmath>
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

// Returns the work of each task, or its mean for tasks of that declaration by
// a line between the logarithms.
std::vector<Microseconds> KnownWorks(const Workload& workload,
                                     CentralKnowledge knowledge) {
  const auto& tasks = workload.m_tasks;
  std::vector<Microseconds> works;
  if (knowledge == CentralKnowledge::kTrue) {
    for (const Task& task : tasks) {
      works.push_back(task.m_work);
    }
    return works;
  }
  const auto log_declared = [](const Task& task) {
    return std::log(1e3 * static_cast<double>(task.m_declared.count()) + 1e3);
  };
  const auto log_work = [](const Task& task) {
    return std::log(static_cast<double>(task.m_work.count()));
  };
  const auto count = static_cast<double>(tasks.size());
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const Task& task : tasks) {
    x += log_declared(task) / count;
    y += log_work(task) / count;
  }
  for (const Task& task : tasks) {
    const double dx = log_declared(task) - x;
    const double dy = log_work(task) - y;
    xx += dx * dx;
    xy += dx * dy;
    yy += dy * dy;
  }
  const double slope = xy / xx;
  const double unexplained = (yy - slope * xy) / count;
  for (const Task& task : tasks) {
    works.emplace_back(static_cast<int64_t>(
        std::exp(y + slope * (log_declared(task) - x) + unexplained / 2)));
  }
  return works;
}

class Central {
 public:
  Central(const Deployment& deployment,
          const Scenario& scenario,
          const Workload& workload,
          CentralPolicy policy)
      : m_deployment(deployment),
        m_scenario(scenario),
        m_workload(workload),
        m_order(policy.m_order),
        m_works(KnownWorks(workload, policy.m_knowledge)),
        m_jobs(workload.m_jobs.size()) {
    for (uint32_t target = 0; target < kTargets; ++target) {
      m_slot_ends[target].assign(kSlots, kStart);
      m_slot_plans[target].assign(kSlots, kStart);
      m_plan[target].assign(kSlots, kStart);
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

  // Run time as far as it is known.
  Microseconds KnownCost(uint32_t task, uint32_t target) const {
    return Microseconds(static_cast<int64_t>(
        static_cast<double>(Cost(task, target).count()) *
        static_cast<double>(m_works[task].count()) /
        static_cast<double>(m_workload.m_tasks[task].m_work.count())));
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
      state.m_work += m_works[job.m_first_task + i];
    }
    state.m_left = job.m_tasks;
    std::sort(
        state.m_waiting.begin(), state.m_waiting.end(),
        [this](uint32_t a, uint32_t b) { return m_works[a] < m_works[b]; });
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
      for (uint32_t slot = 0; slot < kSlots; ++slot) {
        const bool idle = m_slot_ends[target][slot] <= m_now;
        // A task that runs past its plan counts as ending next.
        m_plan[target][slot] = idle ? m_now
                                    : std::max(m_slot_plans[target][slot],
                                               m_now + Microseconds(1));
        free += idle && Usable(target) ? 1 : 0;
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
        state.m_work -= m_works[task];
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
      const MonoTime end = *slot + KnownCost(task, target);
      if (end < best_end) {
        best_end = end;
        best_target = target;
        best_slot = static_cast<size_t>(slot - ends.begin());
      }
    }
    const MonoTime start = m_plan[best_target][best_slot];
    m_plan[best_target][best_slot] = best_end;
    if (start == m_now) {
      const MonoTime end = m_now + Cost(task, best_target);
      m_slot_ends[best_target][best_slot] = end;
      m_slot_plans[best_target][best_slot] = best_end;
      m_events.push({end, task, best_target});
    }
    return start;
  }

  const Deployment& m_deployment;
  const Scenario& m_scenario;
  const Workload& m_workload;
  CentralOrder m_order;
  // Work of each task as far as it is known.
  std::vector<Microseconds> m_works;
  MonoTime m_now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<JobState> m_jobs;
  std::set<std::pair<int64_t, uint32_t>> m_queue;
  std::array<std::vector<MonoTime>, kTargets> m_slot_ends;
  // Ends of the running tasks as they were planned.
  std::array<std::vector<MonoTime>, kTargets> m_slot_plans;
  std::array<std::vector<MonoTime>, kTargets> m_plan;
  Outcome m_outcome;
};

}  // namespace

Outcome RunCentral(const Deployment& deployment,
                   const Scenario& scenario,
                   const Workload& workload,
                   CentralPolicy policy) {
  return Central(deployment, scenario, workload, policy).Run();
}

}  // namespace comfreyshift::bench
