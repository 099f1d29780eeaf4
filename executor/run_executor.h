#ifndef EXECUTOR_RUN_EXECUTOR_H_
#define EXECUTOR_RUN_EXECUTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "executor/actions.h"
#include "executor/entry_table.h"
#include "executor/poll_schedule.h"
#include "executor/report_cache.h"
#include "executor/request_latency.h"
#include "executor/run_table.h"
#include "executor/runner_health.h"
#include "executor/runner_observation.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Decides what one agent does with its runner: which runs start, wait, stop,
// and what the entries hear of them. It is the only one that gives the runner
// orders, so the runner's room is never exceeded as long as it counts
// everything that may be running.
class RunExecutor {
 public:
  // `token` must be above that of every earlier run of this agent.
  RunExecutor(ProcessId self, uint64_t token);

  // A heartbeat arrived. Returns false for one of an earlier life, or older
  // than the newest of its life.
  bool OnHeartbeat(const RunnerReport& report, MonoTime now);
  // The runner has left for good.
  void OnRunnerLeft(const std::string& runner_id, MonoTime now);
  void OnClosedZones(const ClosedZones& zones, MonoTime now);
  // The process stops: nothing new starts.
  void Drain(MonoTime now);

  // A connection claims nothing by itself: it may have been held up.
  void OnEntryConnected(const ProcessId& entry, MonoTime now);
  // The connection broke. A live entry connects again, repeats its StartRun
  // messages and claims its runs within kEntryHeartbeatTimeout.
  void OnEntryDisconnected(const ProcessId& entry, MonoTime now);
  void OnClaim(const ProcessId& entry, const Claim& claim, MonoTime now);
  void OnStartRun(const ProcessId& entry, const StartRun& start, MonoTime now);
  void OnStopRun(const ProcessId& entry, const StopRun& stop, MonoTime now);

  void OnStartAnswer(const RunnerLife& life,
                     const RunKey& run,
                     StartAnswer answer,
                     MonoTime now);
  void OnStopAnswer(const RunnerLife& life,
                    const RunKey& run,
                    StopAnswer answer,
                    MonoTime now);
  void OnLookAnswer(const RunnerLife& life,
                    const std::variant<RunnerLists, LookFailure>& answer,
                    MonoTime now);

  // Does what is due and returns what is to be sent.
  std::vector<ExecutorAction> Tick(MonoTime now);
  // When Tick must be called next without new input.
  MonoTime NextDeadline(MonoTime now) const;

  bool has_runs() const { return !m_runs.is_empty(); }
  bool is_accepting(MonoTime now) const;
  Resources FreeRoom() const;
  const std::optional<RunnerReport>& runner() const { return m_runner; }
  const RunnerHealth& health() const { return m_health; }

 private:
  void BeginIncarnation(const RunnerReport& report, MonoTime now);
  void EndIncarnation(MonoTime now);
  void Finish(RunTable::Iterator found, RunOutcome outcome, MonoTime now);
  void Report(const RunKey& key,
              RunTable::Run& run,
              RunOutcome outcome,
              MonoTime now);
  void RaiseToken(MonoTime now);
  void ApplyEnded(const RunnerLists& lists, MonoTime now);
  void ApplyRunning(const RunnerLists& lists, MonoTime now);
  void StopRunsOfLostEntries(MonoTime now);
  void StopExpired(MonoTime now);
  void StartWaiting(MonoTime now);
  void SendStops(MonoTime now);
  void ExpireUnreachableRuns(MonoTime now);
  // Whether the runner's lists tell more than that it is reachable.
  bool NeedsLists() const;
  void SendPoll(MonoTime now);
  void SendStatuses(MonoTime now);
  RunnerStatus MakeStatus(MonoTime now) const;

  ProcessId m_self;
  uint64_t m_token;
  std::optional<RunnerReport> m_runner;
  RunnerHealth m_health;
  RunTable m_runs;
  // For repeated StartRun messages.
  ReportCache m_reports;
  EntryTable m_entries;
  // Runs found on the runner that nobody claims; they are being stopped.
  std::map<RunKey, MonoTime> m_orphaned_runs;
  ClosedZones m_closed_zones;
  bool m_is_draining = false;

  PollSchedule m_poll_schedule;
  RequestLatency m_request_latency;
  uint64_t m_acknowledged_ends = 0;
  // Nothing starts before a list has shown what runs already.
  bool m_is_reconciled = false;

  // The status has changed since statuses were last considered.
  bool m_is_status_due = false;
  std::vector<ExecutorAction> m_actions;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUN_EXECUTOR_H_
