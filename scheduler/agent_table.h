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
  // When the last message from it arrived.
  MonoTime m_last_received;
  // The agent's own clock in its newest status.
  MonoTime m_agent_clock;
  // The newest status received on the current connection.
  std::optional<RunnerStatus> m_status;
  // The newest status of a runner, also of an earlier connection or runner.
  std::optional<RunnerStatus> m_last_runner;
  // Sequence number of the last StartRun sent on this connection.
  uint64_t m_sequence = 0;
  // Demand of the StartRun messages that no status accounts for yet, by their
  // sequence number.
  std::map<uint64_t, Resources> m_pending_demand;
  // Their sum.
  Resources m_total_pending_demand;
  // Runs of an earlier incarnation may still have an unknown outcome.
  bool m_has_orphans = false;
  // When the last message of an earlier incarnation arrived.
  MonoTime m_predecessor_heard_at;
  // Demand of runs that have ended since the newest status.
  Resources m_released_demand;
  // Whether the agent is in the watch set, and since when.
  bool m_is_watched = false;
  MonoTime m_watched_since;
  MonoTime m_heartbeat_sent_at;
  // Status interval that the last heartbeat asked for; 0 before the first.
  Microseconds m_requested_interval{0};
  // Number of runs it was told to start and has not reported as ended, and how
  // many of them are of wide jobs.
  size_t m_unreported_runs = 0;
  size_t m_wide_runs = 0;

  // Whether the agent has to keep this entry informed, so that its silence
  // shows a lost connection early.
  bool needs_frequent_status() const {
    return m_is_watched || m_unreported_runs > 0;
  }
};

// What a task requires of the runner it is placed on.
struct PlacementRequirements {
  std::string m_service;
  Resources m_demand;
  std::string m_required_label;
  std::string m_data_rack;
  Microseconds m_expected{0};
  // A runner counts as meeting a deadline only if it does so with the expected
  // run time multiplied by this.
  double m_margin = 1.0;
  // Deadline set by the job's latency objective.
  MonoTime m_due_at;
  // Runners on which the task would miss the objective may be chosen if it ends
  // by this time; MonoTime() if none may.
  MonoTime m_useful_until;
  // Whether the task is of a job with very many tasks, which may use only a
  // part of what an agent takes at a time.
  bool m_is_wide = false;
  // Agent of the task's last run that was not done; chosen only if no other
  // agent can take the task. Empty for none.
  std::string m_avoided_agent;
};

// Free capacity on the runners of one service, computed once for many
// placements.
struct CapacitySummary {
  // No runner has more free CPU than this.
  int64_t m_largest_free_cpu_millis = 0;
  // Whether the free share of the CPU is low.
  bool m_is_busy = false;
};

// Holds the agents that an entry knows and chooses the agent for each task.
class AgentTable {
 public:
  // `seed` sets the random order of the agents; it should differ between
  // entries, so that they do not choose the same agents.
  explicit AgentTable(uint64_t seed) : m_random(seed) {}

  // Returns the view of an agent, adding the agent if it is new.
  AgentView& operator[](const std::string& name);
  AgentView* Find(const std::string& name);
  void Remove(const std::string& name);
  void SetClosedZones(const ClosedZones& zones) { m_closed_zones = zones; }
  // Sets the run time of a task on another rack than its data, as a multiple of
  // the run time on the data's rack.
  void SetRemoteFactor(double factor) { m_remote_factor = factor; }

  // Clears m_has_orphans of the agents that accept work and whose earlier
  // incarnations were last heard before `heard_before`.
  void ClearOrphans(MonoTime heard_before);

  // Stores a status and drops the pending demand that it accounts for.
  void ApplyStatus(AgentView& agent, const RunnerStatus& status);

  // Adds the demand of a run that has ended to the agent's free capacity until
  // its next status.
  static void Release(AgentView& agent, const Resources& demand) {
    agent.m_released_demand += demand;
  }

  // Changes the demand of the StartRun messages that no status accounts for.
  static void AddPending(AgentView& agent,
                         uint64_t sequence,
                         const Resources& demand);
  // Returns false if the newest status accounts for it already.
  static bool RemovePending(AgentView& agent, uint64_t sequence);
  static void ClearPending(AgentView& agent);

  // Returns the free capacity of the newest status, corrected by the runs sent
  // and ended since.
  static Resources FreeCapacity(const AgentView& agent);

  // Whether an agent takes work of a service, by its last status. False if it
  // was silent for too long or its zone is closed.
  bool IsAccepting(const AgentView& agent,
                   const std::string& service,
                   MonoTime now) const;

  CapacitySummary SummarizeCapacity(const std::string& service,
                                    MonoTime now) const;

  // Updates which agents are in the watch set and returns their number.
  size_t UpdateWatchedAgents(MonoTime now);

  // Returns the agent on which to start a task now, or nothing if no suitable
  // one has the capacity. It is the best of a few drawn at random, from those
  // on the rack of the task's data, or from all if none there meets the
  // objective. If every entry took the best of all agents, they would all
  // choose the same runner between two statuses. `is_busy` is that of the
  // capacity summary of the task's service.
  std::optional<std::string> Choose(const PlacementRequirements& requirements,
                                    bool is_busy,
                                    MonoTime now);

  // Returns the run time on an agent's runner as a multiple of that on the
  // median runner. Agents and entries learn run times from each other, so
  // without this fixed point their scales would drift together.
  double RelativeSlowness(const AgentView& agent) const;

  // Returns on how many places such a task could start now and end by
  // m_useful_until, at most `limit`.
  size_t CountUsefulPlaces(const PlacementRequirements& requirements,
                           size_t limit,
                           MonoTime now) const;

  // Whether any agent has said that it accepts work, whatever its zone.
  bool HasAcceptingAgent(const std::string& service) const;

  // Returns how many such tasks the known runners could run at a time if they
  // had no other work, at most `limit`.
  size_t CountPossiblePlaces(const PlacementRequirements& requirements,
                             size_t limit) const;
  // Whether every connected agent has described its runner, and any has for
  // `service`.
  bool KnowsRunners(const std::string& service) const;

  // Number of agents that were looked at for placements so far; what a pass
  // costs.
  uint64_t visits() const { return m_visits; }

  std::map<std::string, AgentView>& agents() { return m_agents; }
  const std::map<std::string, AgentView>& agents() const { return m_agents; }

 private:
  using AgentMap = std::map<std::string, AgentView>;

  // Rank of an agent for a task; the lowest is chosen.
  struct Cost {
    // The task would miss the objective.
    bool m_is_late = false;
    // Its result would be of no use.
    bool m_is_useless = false;
    // The task's last run was not done on this agent.
    bool m_is_avoided = false;
    double m_slowness_rank = 0.0;

    auto operator<=>(const Cost&) const = default;
  };

  struct Candidate {
    const AgentMap::value_type* m_agent = nullptr;
    Cost m_cost;
  };

  void UpdateMedianSlowness();
  // Returns the expected run time of a task on an agent's runner with a margin
  // for the error of the prediction.
  Microseconds SafeRunTime(const AgentView& agent,
                           const PlacementRequirements& requirements) const;
  double LocalityFactor(const RunnerStatus& status,
                        const PlacementRequirements& requirements) const;
  // Returns the best of a few agents drawn at random, from those on the rack of
  // the task's data if `only_local` is set.
  Candidate BestOfSample(const PlacementRequirements& requirements,
                         bool is_busy,
                         bool only_local,
                         MonoTime now);
  void AddWatchedRack(const std::string& rack, MonoTime now);
  bool IsOnWatchedRack(const AgentView& agent) const;
  bool IsUsable(const AgentView& agent,
                const PlacementRequirements& requirements,
                MonoTime now) const;
  Cost ComputeCost(const AgentMap::value_type& agent,
                   const PlacementRequirements& requirements,
                   bool is_busy,
                   MonoTime now) const;

  AgentMap m_agents;
  mutable uint64_t m_visits = 0;
  // All agents in random order; the watch set is taken from the front.
  std::vector<AgentMap::value_type*> m_order;
  WatchSetSize m_watch_set_size;
  // Racks that hold data of recent tasks, and until when their agents are in
  // the watch set for it.
  std::map<std::string, MonoTime> m_watched_racks;
  double m_remote_factor = kDefaultRemoteFactor;
  std::minstd_rand m_random;
  ClosedZones m_closed_zones;
  double m_median_slowness = 1.0;
  // Whether a status has arrived since the median was computed. The median is
  // updated before a choice, since statuses are more frequent than choices.
  bool m_is_median_outdated = false;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_AGENT_TABLE_H_
