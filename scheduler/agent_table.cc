#include "scheduler/agent_table.h"

#include <algorithm>
#include <vector>

namespace comfreyshift {

namespace {

// Run time of a task away from its data, as a multiple.
constexpr double kRemoteFactor = 1.5;

bool HasLabel(const RunnerStatus& status, const std::string& label) {
  return label.empty() ||
         std::ranges::find(status.m_labels, label) != status.m_labels.end();
}

// Run times are predicted with an error of about this factor. A runner is taken
// for one that meets the objective only if it does so with that much in hand.
constexpr double kPredictionMargin = 1.25;

// Below this share of free processors runners are chosen sparingly.
constexpr double kBusyFreeShare = 0.4;

double DistanceFactor(const RunnerStatus& status, const PlacementNeeds& needs) {
  return HasLabel(status, needs.m_data_rack) ? 1.0 : kRemoteFactor;
}

}  // namespace

AgentView* AgentTable::Find(const std::string& name) {
  const auto found = m_agents.find(name);
  return found == m_agents.end() ? nullptr : &found->second;
}

void AgentTable::ApplyStatus(AgentView& agent, const RunnerStatus& status) {
  agent.m_status = status;
  agent.m_released = {};
  agent.m_agent_clock = std::max(agent.m_agent_clock, status.m_agent_clock);
  agent.m_unseen.erase(agent.m_unseen.begin(),
                       agent.m_unseen.upper_bound(status.m_sequence));
  UpdateUsualSlowness();
}

void AgentTable::ForgetOrphans() {
  for (auto& [name, agent] : m_agents) {
    if (agent.m_status && agent.m_status->m_is_accepting) {
      agent.m_has_orphans = false;
    }
  }
}

void AgentTable::UpdateUsualSlowness() {
  std::vector<double> all;
  for (const auto& [name, agent] : m_agents) {
    if (agent.m_is_connected && agent.m_status) {
      all.push_back(agent.m_status->m_slowness);
    }
  }
  if (all.empty()) {
    return;
  }
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::ranges::nth_element(all, middle);
  m_usual_slowness = *middle;
}

double AgentTable::SlownessOf(const AgentView& agent) const {
  return agent.m_status ? agent.m_status->m_slowness / m_usual_slowness : 1.0;
}

Resources AgentTable::FreeRoom(const AgentView& agent) {
  Resources room = agent.m_status ? agent.m_status->m_free : Resources{};
  room += agent.m_released;
  for (const auto& [sequence, demand] : agent.m_unseen) {
    room -= demand;
  }
  return room;
}

bool AgentTable::IsAccepting(const AgentView& agent,
                             const std::string& service) const {
  return agent.m_is_connected && agent.m_status &&
         agent.m_status->m_is_accepting &&
         agent.m_status->m_service == service &&
         !m_closed_zones.contains(agent.m_status->m_zone);
}

bool AgentTable::IsUsable(const AgentView& agent,
                          const PlacementNeeds& needs) const {
  return IsAccepting(agent, needs.m_service) &&
         HasLabel(*agent.m_status, needs.m_required_label);
}

RoomSurvey AgentTable::Survey(const std::string& service) const {
  RoomSurvey survey;
  int64_t free = 0;
  int64_t capacity = 0;
  for (const auto& [name, agent] : m_agents) {
    if (IsAccepting(agent, service)) {
      const int64_t room = FreeRoom(agent).m_cpu_millis;
      survey.m_largest_free_cpu_millis =
          std::max(survey.m_largest_free_cpu_millis, room);
      free += room;
      capacity += agent.m_status->m_capacity.m_cpu_millis;
    }
  }
  survey.m_is_busy = static_cast<double>(free) <
                     kBusyFreeShare * static_cast<double>(capacity);
  return survey;
}

std::optional<std::string> AgentTable::Choose(const PlacementNeeds& needs,
                                              bool is_busy,
                                              MonoTime now) const {
  std::optional<std::string> best;
  double best_cost = 0.0;
  for (const auto& [name, agent] : m_agents) {
    if (!IsUsable(agent, needs) || !needs.m_demand.Fits(FreeRoom(agent))) {
      continue;
    }
    const double factor =
        SlownessOf(agent) * DistanceFactor(*agent.m_status, needs);
    const Microseconds run_time(
        static_cast<int64_t>(kPredictionMargin * factor *
                             static_cast<double>(needs.m_expected.count())));
    const bool is_late = now + run_time > needs.m_due_at;
    if (is_late && !needs.m_may_be_late) {
      continue;
    }
    // A busy fleet takes the slowest runner that meets the objective, so that
    // faster ones stay free for tasks that need them; otherwise the fastest.
    constexpr double kLateCost = 100.0;
    const double speed_cost = is_busy ? -factor : factor;
    constexpr double kAvoidedCost = 50.0;
    const double cost = (is_late ? kLateCost + factor : speed_cost) +
                        (name == needs.m_avoided_agent ? kAvoidedCost : 0.0);
    if (!best || cost < best_cost) {
      best = name;
      best_cost = cost;
    }
  }
  return best;
}

bool AgentTable::CouldEverRun(const PlacementNeeds& needs) const {
  return std::ranges::any_of(m_agents, [&](const auto& item) {
    const auto& status = item.second.m_status;
    return status && status->m_service == needs.m_service &&
           needs.m_demand.Fits(status->m_capacity) &&
           HasLabel(*status, needs.m_required_label);
  });
}

}  // namespace comfreyshift
