#ifndef SCHEDULER_AGENT_TABLE_H_
#define SCHEDULER_AGENT_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"
#include "scheduler/watch_set_size.h"

namespace comfreyshift {

// What an entry knows of one agent and its runner.
struct AgentView {
  bool m_is_connected = false;
  // The incarnation of the last connection; 0 before the first.
  uint64_t m_incarnation = 0;
  // When anything last arrived from it.
  MonoTime m_last_received;
  // Its clock in the newest status.
  MonoTime m_agent_clock;
  // The newest status of this connection.
  std::optional<RunnerStatus> m_status;
  // Number of the last StartRun sent on this connection.
  uint64_t m_sequence = 0;
  // Demand of StartRuns by their number, which no status accounts for yet.
  std::map<uint64_t, Resources> m_pending_demand;
  // Runs of an earlier incarnation may still have to be settled.
  bool m_has_orphans = false;
  // Demand of runs that have ended since the newest status.
  Resources m_released_demand;
  // Whether it is followed closely, and since when.
  bool m_is_watched = false;
  MonoTime m_watched_since;
  MonoTime m_heartbeat_sent_at;
  // Runs it was told to start and has not reported.
  size_t m_unreported_runs = 0;

  // Whether its statuses come often.
  bool needs_frequent_status() const {
    return m_is_watched || m_unreported_runs > 0;
  }
};

// What a task asks of the runner it is placed on.
struct PlacementRequirements {
  std::string m_service;
  Resources m_demand;
  std::string m_required_label;
  std::string m_data_rack;
  Microseconds m_expected{0};
  // The job's objective.
  MonoTime m_due_at;
  // Whether runners on which the task would miss the objective may be chosen.
  bool m_may_be_late = false;
  // The agent of the task's last run that was not done; chosen only if no other
  // can take the task. Empty for none.
  std::string m_avoided_agent;
};

// The room on the runners of one service, taken once for many placements.
struct CapacitySummary {
  // No task that needs more than this fits anywhere.
  int64_t m_largest_free_cpu_millis = 0;
  // Whether little room is free.
  bool m_is_busy = false;
};

// The agents that an entry knows, and the choice between them.
class AgentTable {
 public:
  // Entries with different seeds look at the agents in different orders.
  explicit AgentTable(uint64_t seed) : m_random(seed) {}

  // Returns the view of an agent, which is added if it is new.
  AgentView& operator[](const std::string& name);
  AgentView* Find(const std::string& name);
  void Remove(const std::string& name);
  void SetClosedZones(const ClosedZones& zones) { m_closed_zones = zones; }
  // Run time of a task away from its data, as a multiple of that near it.
  void SetRemoteFactor(double factor) { m_remote_factor = factor; }

  // Runs of earlier incarnations of agents that accept work are settled.
  void ClearOrphans();

  // Takes over a status and forgets the demand it accounts for.
  void ApplyStatus(AgentView& agent, const RunnerStatus& status);

  // A run of this entry has ended on the agent's runner.
  static void Release(AgentView& agent, const Resources& demand) {
    agent.m_released_demand += demand;
  }

  // Room that nothing has been sent to yet.
  static Resources FreeRoom(const AgentView& agent);

  // Whether an agent takes work of a service, in a zone that is open, as far as
  // it has said lately.
  bool IsAccepting(const AgentView& agent,
                   const std::string& service,
                   MonoTime now) const;

  CapacitySummary SummarizeCapacity(const std::string& service,
                                    MonoTime now) const;

  // Adapts which agents are followed closely.
  void UpdateWatchedAgents(MonoTime now);

  // Returns an agent on which a task is well started now, or nothing if all
  // are full: the best of a few drawn at random, of those near the task's data
  // if they can be in time. If every entry took the best of all, they would
  // meet at the same runner between two statuses. `is_busy` is that of a survey
  // of the task's service.
  std::optional<std::string> Choose(const PlacementRequirements& needs,
                                    bool is_busy,
                                    MonoTime now);

  // Run time on an agent's runner as a multiple of that on the usual runner,
  // which is the median of all: agents and entries learn from each other, so
  // their scales would drift together without a fixed point.
  double RelativeSlowness(const AgentView& agent) const;

  // Whether any runner that is in use could ever run such a task.
  bool CouldEverRun(const PlacementRequirements& needs) const;

  std::map<std::string, AgentView>& agents() { return m_agents; }
  const std::map<std::string, AgentView>& agents() const { return m_agents; }

 private:
  using AgentMap = std::map<std::string, AgentView>;

  // What speaks against an agent; lower is better.
  struct Cost {
    // The objective would be missed.
    bool m_is_late = false;
    // The last run of the task was not done there.
    bool m_is_avoided = false;
    double m_slowness_rank = 0.0;

    auto operator<=>(const Cost&) const = default;
  };

  struct Candidate {
    const AgentMap::value_type* m_agent = nullptr;
    Cost m_cost;
  };

  void UpdateMedianSlowness();
  double LocalityFactor(const RunnerStatus& status,
                        const PlacementRequirements& needs) const;
  // The best of a few drawn from all agents, or from those near the data.
  Candidate BestOfSample(const PlacementRequirements& needs,
                         bool is_busy,
                         bool only_local,
                         MonoTime now);
  void AddWatchedRack(const std::string& rack, MonoTime now);
  bool IsOnWatchedRack(const AgentView& agent) const;
  bool IsUsable(const AgentView& agent,
                const PlacementRequirements& needs,
                MonoTime now) const;
  Cost ComputeCost(const AgentMap::value_type& agent,
                   const PlacementRequirements& needs,
                   bool is_busy,
                   MonoTime now) const;

  AgentMap m_agents;
  // All agents in random order; the first ones are followed closely.
  std::vector<AgentMap::value_type*> m_order;
  WatchSetSize m_watch_set_size;
  // Racks on which tasks have their data, and until when their agents are
  // followed closely for it.
  std::map<std::string, MonoTime> m_watched_racks;
  double m_remote_factor = kDefaultRemoteFactor;
  std::minstd_rand m_random;
  ClosedZones m_closed_zones;
  double m_median_slowness = 1.0;
  // A status has come since; brought up to date before a choice, because
  // statuses are more frequent than choices.
  bool m_is_median_outdated = false;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_AGENT_TABLE_H_
