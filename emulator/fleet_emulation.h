#ifndef EMULATOR_FLEET_EMULATION_H_
#define EMULATOR_FLEET_EMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "emulator/load.h"
#include "emulator/load_summary.h"
#include "emulator/runner_emulation.h"
#include "executor/executor.h"
#include "scheduler/scheduler.h"

namespace comfreyshift {

struct FleetOptions {
  size_t m_entries = 4;
  // One runner beside each agent; its capacity in processors and its slowness.
  std::vector<int64_t> m_runner_cpus;
  std::vector<double> m_runner_slowness;
  // Runners one after another share a rack, named "rack-0" and so on; 0 for no
  // racks. Tasks away from their data take so many times as long.
  size_t m_runners_per_rack = 0;
  double m_remote_factor = kDefaultRemoteFactor;
  // Time that each entry takes for a message of an agent; empty for none.
  std::vector<Microseconds> m_entry_message_times;
  Microseconds m_link_delay{1400};
  Microseconds m_request_delay{500};
  uint64_t m_seed = 1;
};

// Entries, agents, runners and clients under one virtual clock.
class FleetEmulation {
 public:
  FleetEmulation(const FleetOptions& options, const LoadPattern& pattern);
  ~FleetEmulation();
  FleetEmulation(const FleetEmulation&) = delete;
  FleetEmulation& operator=(const FleetEmulation&) = delete;

  // Calls `action` at the time since the start.
  void At(Microseconds at, std::function<void()> action);
  // Draws the arrivals of the pattern and adds them.
  void AddLoad();
  // Adds one job by hand.
  void AddJob(Arrival arrival);
  // Runs until the time since the start.
  void RunUntil(Microseconds until);

  // Faults. Entries, agents and runners are numbered from 0.
  void KillEntry(size_t entry);
  void KillAgent(size_t agent);
  // The process stands still, and its messages wait.
  void FreezeEntry(size_t entry, Microseconds length);
  void FreezeAgent(size_t agent, Microseconds length);
  // Messages between the two are lost, and neither side is told.
  void CutLink(size_t entry, size_t agent, Microseconds length);
  // Messages between the two are held up and arrive together at the end, those
  // to the agent also if the entry has given up their connection meanwhile.
  void HoldLink(size_t entry, size_t agent, Microseconds length);
  void CrashRunner(size_t agent);
  // Share of orders that get no answer and are carried out 2 to 8 s later.
  void LoseRequests(double share, Microseconds length);
  void DrainRunner(size_t agent);
  // All entries and agents lose power.
  void KillAll();
  void CloseZone(const std::string& zone);

  RunnerEmulation& runner(size_t agent);
  size_t agent_count() const { return m_agents.size(); }
  // Messages delivered between entries and agents.
  uint64_t messages() const { return m_messages; }
  MonoTime now() const { return m_now; }
  const std::vector<JobRecord>& jobs() const { return m_jobs; }
  // Moments at which two runs of one task were at work.
  uint64_t double_runs() const { return m_double_runs; }
  // Starts that brought a runner over its capacity.
  uint64_t overloads() const;
  // Jobs of which every sending was refused although a task was started.
  uint64_t false_refusals() const;
  // Summary of one kind, or of all if it is empty.
  LoadSummary Summarize(const std::string& kind = "") const {
    return SummarizeLoad(m_jobs, m_pattern, kind);
  }
  // Summary of the jobs first sent to one entry.
  LoadSummary SummarizeEntry(size_t entry) const {
    return comfreyshift::SummarizeEntry(m_jobs, m_pattern, entry);
  }

 private:
  struct Entry;
  struct Agent;
  struct Event {
    MonoTime m_at;
    uint64_t m_sequence;
    std::function<void()> m_action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return std::tie(left.m_at, left.m_sequence) >
             std::tie(right.m_at, right.m_sequence);
    }
  };

  void Post(MonoTime at, std::function<void()> action);
  void Submit(size_t job, size_t entry_index);
  void Finish(size_t job, const JobResult& result);
  void StartEntry(size_t index);
  void StartAgent(size_t index);
  void Connect(size_t entry, size_t agent);
  void TryConnect(size_t entry, size_t agent);
  std::string RackOf(size_t agent) const;
  // Whether the runners have room for all tasks of the job now.
  bool HasRoomFor(const JobRequest& request) const;
  // When the entry has processed a message that arrives now.
  MonoTime ProcessedAt(size_t entry);
  bool IsCut(size_t entry, size_t agent) const;
  // When a message that is sent now arrives.
  MonoTime ArrivalAt(size_t entry, size_t agent) const;
  void SendToAgentLater(size_t entry, size_t agent, LinkMessage message);
  void SendToEntryLater(size_t agent, size_t entry, LinkMessage message);
  void DeliverToAgent(size_t entry,
                      uint64_t entry_life,
                      size_t agent,
                      MonoTime sent_at,
                      const LinkMessage& message);
  void DeliverToEntry(size_t agent,
                      uint64_t connection,
                      size_t entry,
                      const LinkMessage& message);
  void TickEntry(size_t index);
  void TickAgent(size_t index);
  void WakeEntry(size_t index);
  void WakeAgent(size_t index);
  void SendHeartbeat(size_t index);
  void SendRequest(size_t agent, const StartRequest& request);
  void SendRequest(size_t agent, const StopRequest& request);
  void SendRequest(size_t agent, const PollRequest& request);
  void AnswerPoll(size_t agent,
                  uint64_t incarnation,
                  const PollRequest& request);
  void WatchRunner(size_t agent);
  void CheckDoubleRuns();
  bool IsRequestLost();
  Microseconds LateDelay();

  FleetOptions m_options;
  LoadPattern m_pattern;
  std::mt19937_64 m_random;
  MonoTime m_start;
  MonoTime m_now;
  uint64_t m_next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::unique_ptr<Agent>> m_agents;
  RunnerEmulation::Behaviours m_behaviours;
  std::vector<JobRecord> m_jobs;
  // By entry and agent, as below.
  std::map<std::pair<size_t, size_t>, MonoTime> m_cuts;
  std::map<std::pair<size_t, size_t>, MonoTime> m_holds;
  // Number of the newest connection.
  std::map<std::pair<size_t, size_t>, uint64_t> m_connections;
  double m_order_loss = 0.0;
  MonoTime m_order_loss_until;
  ClosedZones m_closed_zones;
  uint64_t m_double_runs = 0;
  uint64_t m_messages = 0;
};

}  // namespace comfreyshift

#endif  // EMULATOR_FLEET_EMULATION_H_
