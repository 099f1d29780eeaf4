#include "scheduler/agent_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreyshift {

namespace {

bool HasLabel(const RunnerStatus& status, const std::string& label) {
  return label.empty() ||
         std::ranges::find(status.m_labels, label) != status.m_labels.end();
}

// Larger than any objective; its sum with the clock fits into 64 bits.
constexpr double kMaxRunTimeUs = 4e18;

// Below this share of free CPU, tasks get the slowest runner that meets their
// objective.
constexpr double kBusyFreeFraction = 0.4;

// Nothing is sent to an agent that has been silent for this long: it may no
// longer receive heartbeats, and would then stop what it is told to start.
constexpr Milliseconds kMaxAgentSilence{350};

// Runs that one entry may have at an agent at a time; far more than the tasks
// that any runner works on. It bounds the messages and texts that wait for an
// agent.
constexpr size_t kMaxRunsPerAgent = 256;
// The same for the runs of wide jobs. A runner starts a bounded number of tasks
// a second, however small they are, and other jobs need it too.
constexpr size_t kMaxWideRunsPerAgent = 16;

// A demand of nothing fits without end.
constexpr size_t kMaxPlacesPerRunner = 1'000'000;

// Number of runners compared for a task. More candidates give better choices,
// but entries choose the same runner more often.
constexpr size_t kCandidates = 3;

// The agents of a rack stay in the watch set for this long after a task with
// data there. At most kMaxWatchedRacks racks are watched: with data on every
// rack an entry would otherwise watch all agents.
constexpr Milliseconds kRackWatchTime{1000};
constexpr size_t kMaxWatchedRacks = 4;

// Returns how often `demand` fits into `capacity`.
size_t CountFitting(const Resources& demand, const Resources& capacity) {
  if (!demand.Fits(capacity)) {
    return 0;
  }
  const auto times = [](int64_t needed, int64_t available) {
    return needed <= 0 ? INT64_MAX : available / needed;
  };
  return static_cast<size_t>(
      std::min({times(demand.m_cpu_millis, capacity.m_cpu_millis),
                times(demand.m_memory_mb, capacity.m_memory_mb),
                times(demand.m_gpus, capacity.m_gpus),
                static_cast<int64_t>(kMaxPlacesPerRunner)}));
}

}  // namespace

double AgentTable::LocalityFactor(
    const RunnerStatus& status,
    const PlacementRequirements& requirements) const {
  return HasLabel(status, requirements.m_data_rack) ? 1.0 : m_remote_factor;
}

void AgentTable::AddWatchedRack(const std::string& rack, MonoTime now) {
  if (m_watched_racks.size() < kMaxWatchedRacks ||
      m_watched_racks.contains(rack)) {
    m_watched_racks[rack] = now + kRackWatchTime;
  }
}

bool AgentTable::IsOnWatchedRack(const AgentView& agent) const {
  return agent.m_status &&
         std::ranges::any_of(m_watched_racks, [&](const auto& rack) {
           return HasLabel(*agent.m_status, rack.first);
         });
}

AgentView& AgentTable::operator[](const std::string& name) {
  const auto [found, is_new] = m_agents.try_emplace(name);
  if (is_new) {
    m_order.push_back(&*found);
    std::ranges::shuffle(m_order, m_random);
  }
  return found->second;
}

void AgentTable::Remove(const std::string& name) {
  std::erase_if(m_order,
                [&](const auto* agent) { return agent->first == name; });
  m_agents.erase(name);
}

AgentView* AgentTable::Find(const std::string& name) {
  const auto found = m_agents.find(name);
  return found == m_agents.end() ? nullptr : &found->second;
}

void AgentTable::ApplyStatus(AgentView& agent, const RunnerStatus& status) {
  agent.m_status = status;
  agent.m_released_demand = {};
  agent.m_agent_clock = std::max(agent.m_agent_clock, status.m_agent_clock);
  while (!agent.m_pending_demand.empty() &&
         agent.m_pending_demand.begin()->first <= status.m_sequence) {
    RemovePending(agent, agent.m_pending_demand.begin()->first);
  }
  if (!status.m_service.empty()) {
    agent.m_last_runner = status;
  }
  m_is_median_outdated = true;
}

void AgentTable::AddPending(AgentView& agent,
                            uint64_t sequence,
                            const Resources& demand) {
  agent.m_pending_demand[sequence] = demand;
  agent.m_total_pending_demand += demand;
}

bool AgentTable::RemovePending(AgentView& agent, uint64_t sequence) {
  const auto found = agent.m_pending_demand.find(sequence);
  if (found == agent.m_pending_demand.end()) {
    return false;
  }
  agent.m_total_pending_demand -= found->second;
  agent.m_pending_demand.erase(found);
  return true;
}

void AgentTable::ClearPending(AgentView& agent) {
  agent.m_pending_demand.clear();
  agent.m_total_pending_demand = {};
}

void AgentTable::ClearOrphans(MonoTime heard_before) {
  for (auto& [name, agent] : m_agents) {
    if (agent.m_status && agent.m_status->m_is_accepting &&
        agent.m_predecessor_heard_at < heard_before) {
      agent.m_has_orphans = false;
    }
  }
}

void AgentTable::UpdateMedianSlowness() {
  if (!std::exchange(m_is_median_outdated, false)) {
    return;
  }
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
  m_median_slowness = *middle;
}

double AgentTable::RelativeSlowness(const AgentView& agent) const {
  return agent.m_status ? agent.m_status->m_slowness / m_median_slowness : 1.0;
}

Resources AgentTable::FreeCapacity(const AgentView& agent) {
  Resources available = agent.m_status ? agent.m_status->m_free : Resources{};
  available += agent.m_released_demand;
  available -= agent.m_total_pending_demand;
  return available;
}

bool AgentTable::IsAccepting(const AgentView& agent,
                             const std::string& service,
                             MonoTime now) const {
  return agent.m_is_connected && agent.m_status &&
         now < agent.m_last_received + kMaxAgentSilence &&
         agent.m_status->m_is_accepting &&
         agent.m_status->m_service == service &&
         !m_closed_zones.contains(agent.m_status->m_zone);
}

bool AgentTable::IsUsable(const AgentView& agent,
                          const PlacementRequirements& requirements,
                          MonoTime now) const {
  return agent.m_unreported_runs < kMaxRunsPerAgent &&
         (!requirements.m_is_wide ||
          agent.m_wide_runs < kMaxWideRunsPerAgent) &&
         IsAccepting(agent, requirements.m_service, now) &&
         HasLabel(*agent.m_status, requirements.m_required_label);
}

CapacitySummary AgentTable::SummarizeCapacity(const std::string& service,
                                              MonoTime now) const {
  CapacitySummary summary;
  int64_t free = 0;
  int64_t capacity = 0;
  for (const auto& [name, agent] : m_agents) {
    if (IsAccepting(agent, service, now)) {
      const int64_t available = FreeCapacity(agent).m_cpu_millis;
      summary.m_largest_free_cpu_millis =
          std::max(summary.m_largest_free_cpu_millis, available);
      free += available;
      capacity += agent.m_status->m_capacity.m_cpu_millis;
    }
  }
  summary.m_is_busy = static_cast<double>(free) <
                      kBusyFreeFraction * static_cast<double>(capacity);
  return summary;
}

Microseconds AgentTable::SafeRunTime(
    const AgentView& agent,
    const PlacementRequirements& requirements) const {
  const double time = requirements.m_margin * RelativeSlowness(agent) *
                      LocalityFactor(*agent.m_status, requirements) *
                      static_cast<double>(requirements.m_expected.count());
  return Microseconds(static_cast<int64_t>(std::min(time, kMaxRunTimeUs)));
}

AgentTable::Cost AgentTable::ComputeCost(
    const AgentMap::value_type& agent,
    const PlacementRequirements& requirements,
    bool is_busy,
    MonoTime now) const {
  const double factor = RelativeSlowness(agent.second) *
                        LocalityFactor(*agent.second.m_status, requirements);
  const Microseconds run_time = SafeRunTime(agent.second, requirements);
  Cost cost;
  cost.m_is_late = now + run_time > requirements.m_due_at;
  cost.m_is_useless =
      cost.m_is_late && now + run_time > requirements.m_useful_until;
  cost.m_is_avoided = agent.first == requirements.m_avoided_agent;
  // A busy fleet uses the slowest runner that meets the objective, to keep
  // faster ones free for tasks that need them; otherwise the fastest is used.
  cost.m_slowness_rank = is_busy && !cost.m_is_late ? -factor : factor;
  return cost;
}

AgentTable::Candidate AgentTable::BestOfSample(
    const PlacementRequirements& requirements,
    bool is_busy,
    bool only_local,
    MonoTime now) {
  Candidate best;
  size_t candidates = 0;
  const size_t first = m_random() % m_order.size();
  for (size_t i = 0; i < m_order.size(); ++i) {
    ++m_visits;
    const auto& agent = *m_order[(first + i) % m_order.size()];
    if (!IsUsable(agent.second, requirements, now) ||
        (only_local &&
         !HasLabel(*agent.second.m_status, requirements.m_data_rack)) ||
        !requirements.m_demand.Fits(FreeCapacity(agent.second))) {
      continue;
    }
    const Cost cost = ComputeCost(agent, requirements, is_busy, now);
    if (cost.m_is_useless) {
      continue;
    }
    if (best.m_agent == nullptr || cost < best.m_cost) {
      best = {&agent, cost};
    }
    ++candidates;
    if (candidates >= kCandidates && !best.m_cost.m_is_late) {
      break;
    }
  }
  return best;
}

std::optional<std::string> AgentTable::Choose(
    const PlacementRequirements& requirements,
    bool is_busy,
    MonoTime now) {
  if (m_order.empty()) {
    return std::nullopt;
  }
  UpdateMedianSlowness();
  Candidate best;
  if (!requirements.m_data_rack.empty()) {
    AddWatchedRack(requirements.m_data_rack, now);
    best = BestOfSample(requirements, is_busy, /*only_local=*/true, now);
  }
  if (best.m_agent == nullptr || best.m_cost.m_is_late) {
    best = BestOfSample(requirements, is_busy, /*only_local=*/false, now);
  }
  if (best.m_agent == nullptr) {
    m_watch_set_size.OnShortage(now);
    return std::nullopt;
  }
  return best.m_agent->first;
}

size_t AgentTable::UpdateWatchedAgents(MonoTime now) {
  m_watch_set_size.MaybeShrink(now);
  std::erase_if(m_watched_racks,
                [now](const auto& rack) { return rack.second <= now; });
  size_t remaining = m_watch_set_size.SizeFor(m_order.size());
  size_t watched = 0;
  for (auto* agent : m_order) {
    AgentView& view = agent->second;
    const bool is_on_watched_rack = IsOnWatchedRack(view);
    const bool is_watched = remaining > 0 || is_on_watched_rack;
    if (is_watched && !view.m_is_watched) {
      view.m_watched_since = now;
      view.m_heartbeat_sent_at = MonoTime();
    }
    view.m_is_watched = is_watched;
    watched += is_watched ? 1 : 0;
    // Agents that take no work do not count towards the size of the watch set.
    const bool takes_work =
        view.m_is_connected && view.m_status && view.m_status->m_is_accepting;
    remaining -= remaining > 0 && !is_on_watched_rack && takes_work ? 1 : 0;
  }
  return watched;
}

size_t AgentTable::CountUsefulPlaces(const PlacementRequirements& requirements,
                                     size_t limit,
                                     MonoTime now) const {
  size_t places = 0;
  for (const auto* agent : m_order) {
    if (places >= limit) {
      break;
    }
    ++m_visits;
    if (!IsUsable(agent->second, requirements, now) ||
        now + SafeRunTime(agent->second, requirements) >
            requirements.m_useful_until) {
      continue;
    }
    Resources available = FreeCapacity(agent->second);
    while (places < limit && requirements.m_demand.Fits(available)) {
      available -= requirements.m_demand;
      ++places;
    }
  }
  return places;
}

bool AgentTable::HasAcceptingAgent(const std::string& service) const {
  return std::ranges::any_of(m_agents, [&](const auto& item) {
    const auto& status = item.second.m_status;
    return item.second.m_is_connected && status && status->m_is_accepting &&
           status->m_service == service;
  });
}

size_t AgentTable::CountPossiblePlaces(
    const PlacementRequirements& requirements,
    size_t limit) const {
  size_t places = 0;
  for (const auto& [name, agent] : m_agents) {
    if (places >= limit) {
      break;
    }
    ++m_visits;
    const auto& runner = agent.m_last_runner;
    if (runner && runner->m_service == requirements.m_service &&
        HasLabel(*runner, requirements.m_required_label)) {
      places += CountFitting(requirements.m_demand, runner->m_capacity);
    }
  }
  return std::min(places, limit);
}

bool AgentTable::KnowsRunners(const std::string& service) const {
  bool has_service = false;
  for (const auto& [name, agent] : m_agents) {
    if (agent.m_is_connected && !agent.m_last_runner) {
      return false;
    }
    has_service |=
        agent.m_last_runner && agent.m_last_runner->m_service == service;
  }
  return has_service;
}

}  // namespace comfreyshift
