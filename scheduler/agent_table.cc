#include "scheduler/agent_table.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Run time of a task away from its data, as a multiple.
constexpr double kRemoteFactor = 1.5;

bool HasLabel(const RunnerStatus& status, const std::string& label) {
  return label.empty() ||
         std::ranges::find(status.m_labels, label) != status.m_labels.end();
}

double ExpectedFactor(const RunnerStatus& status, const PlacementNeeds& needs) {
  return status.m_slowness *
         (HasLabel(status, needs.m_data_rack) ? 1.0 : kRemoteFactor);
}

}  // namespace

AgentView* AgentTable::Find(const std::string& name) {
  const auto found = m_agents.find(name);
  return found == m_agents.end() ? nullptr : &found->second;
}

void AgentTable::ApplyStatus(AgentView& agent, const RunnerStatus& status) {
  agent.m_status = status;
  agent.m_agent_clock = std::max(agent.m_agent_clock, status.m_agent_clock);
  agent.m_unseen.erase(agent.m_unseen.begin(),
                       agent.m_unseen.upper_bound(status.m_sequence));
}

Resources AgentTable::FreeRoom(const AgentView& agent) {
  Resources room = agent.m_status ? agent.m_status->m_free : Resources{};
  for (const auto& [sequence, demand] : agent.m_unseen) {
    room -= demand;
  }
  return room;
}

bool AgentTable::IsUsable(const AgentView& agent,
                          const PlacementNeeds& needs) const {
  return agent.m_is_connected && agent.m_status &&
         agent.m_status->m_is_accepting &&
         agent.m_status->m_service == needs.m_service &&
         !m_closed_zones.contains(agent.m_status->m_zone) &&
         HasLabel(*agent.m_status, needs.m_required_label);
}

std::optional<std::string> AgentTable::Choose(const PlacementNeeds& needs,
                                              MonoTime now) const {
  std::optional<std::string> best;
  double best_cost = 0.0;
  for (const auto& [name, agent] : m_agents) {
    if (!IsUsable(agent, needs) || !needs.m_demand.Fits(FreeRoom(agent))) {
      continue;
    }
    const double factor = ExpectedFactor(*agent.m_status, needs);
    const auto finish =
        now + Microseconds(static_cast<int64_t>(
                  factor * static_cast<double>(needs.m_expected.count())));
    // A runner that meets the objective goes before any that does not.
    constexpr double kMissCost = 100.0;
    const double cost = factor + (finish > needs.m_due_at ? kMissCost : 0.0);
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
