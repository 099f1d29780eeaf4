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
#include "executor/end_evidence.h"
#include "executor/entry_table.h"
#include "executor/poll_schedule.h"
#include "executor/report_cache.h"
#include "executor/request_latency.h"
#include "executor/request_loss.h"
#include "executor/run_table.h"
#include "executor/runner_description.h"
#include "executor/runner_health.h"
#include "executor/runner_observation.h"
#include "executor/start_gate.h"
#include "executor/unverified_heartbeats.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Decides what one agent does with its runner: which runs start, wait or stop,
// and what is reported to the entries. Only the agent sends requests to the
// runner, so the runner's capacity is never exceeded as long as everything that
// may be running is counted.
class RunExecutor {
 public:
  // `token` is the first fencing token; it must be higher than those of all
  // earlier incarnations of this agent.
  RunExecutor(ProcessId self, uint64_t token);

  // Sets the longest lease that the runner grants.
  void SetMaxRunnerLease(Milliseconds lease) { m_max_runner_lease = lease; }

  // Takes a heartbeat. Returns whether it is the newest of the runner's known
  // incarnation. One of another incarnation takes effect only after the runner
  // itself has answered a poll as that incarnation.
  bool OnHeartbeat(const RunnerHeartbeat& runner_heartbeat, MonoTime now);
  // Whether what is known, or held until it is verified, says what `heartbeat`
  // says. Only then may the heartbeat be acknowledged.
  bool HasTakenOver(const RunnerHeartbeat& heartbeat) const;
  // The runner says that it leaves for good. Its runs are stopped; they are
  // reported once its answers or its leases show that they have ended. Returns
  // whether no runner remains for new runs.
  bool OnRunnerLeft(const std::string& runner_id, MonoTime now);
  // Sets the closed zones. In one of them nothing starts, and runs that wait
  // there are reported as not started.
  void OnClosedZones(const ClosedZones& zones, MonoTime now);
  // Starts no more runs from now on, because the process is stopping.
  void Drain(MonoTime now);

  // A connection alone does not show that its entry is alive, because it may
  // have been delayed.
  void OnEntryConnected(const ProcessId& entry, MonoTime now);
  // The connection broke. A live entry connects again, repeats its StartRun
  // messages and sends a heartbeat within kEntryHeartbeatTimeout.
  void OnEntryDisconnected(const ProcessId& entry, MonoTime now);
  void OnEntryHeartbeat(const ProcessId& entry,
                        const EntryHeartbeat& heartbeat,
                        MonoTime now);
  void OnStartRun(const ProcessId& entry, const StartRun& start, MonoTime now);
  void OnStopRun(const ProcessId& entry, const StopRun& stop, MonoTime now);

  // A connection to the runner that the agent did not close has ended or was
  // refused. Starts wait until the runner has shown which incarnation it is.
  void OnConnectionLost(MonoTime now) { m_start_gate.OnConnectionLost(now); }
  void OnStartRunResult(const RunnerIncarnation& incarnation,
                        const RunKey& run,
                        StartResult result,
                        MonoTime now);
  void OnStopRunResult(const RunnerIncarnation& incarnation,
                       const RunKey& run,
                       StopResult result,
                       MonoTime now);
  void OnPollResult(const RunnerIncarnation& incarnation,
                    PollPurpose purpose,
                    MonoTime sent_at,
                    const std::variant<RunLists, PollFailure>& result,
                    MonoTime now);

  // Does what is due by `now` and returns the requests and messages to send.
  std::vector<ExecutorAction> Tick(MonoTime now);
  // Returns when Tick must be called next if there is no new input.
  MonoTime NextDeadline(MonoTime now) const;

  bool has_runs() const { return !m_runs.is_empty(); }
  bool is_accepting(MonoTime now) const;
  Resources FreeCapacity() const;
  // See EntryTable::IdleTimeout.
  Microseconds IdleTimeout(const ProcessId& entry) const {
    return m_entries.IdleTimeout(entry);
  }
  const std::optional<RunnerHeartbeat>& runner() const { return m_runner; }
  const RunnerHealth& health() const { return m_health; }
  // Whether a heartbeat of this incarnation has not been verified yet.
  bool IsUnverified(const RunnerIncarnation& incarnation) const {
    return m_unverified_heartbeats.Contains(incarnation);
  }

 private:
  struct OrphanedRun {
    MonoTime m_next_stop_at;
    // When it must have ended.
    MonoTime m_stop_due_at;
  };

  // Takes over what is known of the runner. It keeps the fields of the earlier
  // incarnation while `description` is empty.
  void BeginIncarnation(const RunnerIncarnation& incarnation,
                        RunnerDescription description,
                        MonoTime now);
  // Sets m_runner to what m_description says.
  void ApplyDescription();
  void EndIncarnation(MonoTime now);
  // The runner was started again under its id, at `start_time_ms`. Its
  // heartbeat may come later; until then its capacity and labels are not known.
  void OnRunnerRestarted(int64_t start_time_ms, MonoTime now);
  // Begins a restarted incarnation.
  void ResumeInIncarnation(const RunnerIncarnation& incarnation,
                           RunnerDescription description,
                           MonoTime now);
  // Whether a request to `incarnation` may have reached the present one. A
  // request names the runner's id, which a restarted runner keeps.
  bool IsSentToRunner(const RunnerIncarnation& incarnation) const;
  // Handles the result of a poll that verifies a heartbeat.
  void OnVerificationResult(const RunnerIncarnation& incarnation,
                            MonoTime sent_at,
                            const std::variant<RunLists, PollFailure>& result,
                            MonoTime now);
  // Handles the result of a poll that shows which incarnation answers.
  void OnConfirmationResult(const RunnerIncarnation& incarnation,
                            const std::variant<RunLists, PollFailure>& result,
                            MonoTime now);
  void ApplyLists(const RunLists& lists, MonoTime sent_at, MonoTime now);
  // Forgets the runner that has left once nothing runs on it.
  void RemoveDepartedRunner();
  void Finish(RunTable::Iterator found,
              RunOutcome outcome,
              EndEvidence evidence,
              MonoTime now);
  void Report(const RunKey& key,
              RunTable::Run& run,
              RunOutcome outcome,
              EndEvidence evidence,
              MonoTime now);
  void RaiseToken(MonoTime now);
  void ApplyEndedRuns(const RunLists& lists, MonoTime now);
  void ApplyActiveRuns(const RunLists& lists, MonoTime now);
  void StopRunsOfLostEntries(MonoTime now);
  void StopExpiredRuns(MonoTime now);
  void StartWaitingRuns(MonoTime now);
  // Adds a request to start a run, or to start it again if the earlier ones got
  // no response.
  void RequestStart(RunTable::Iterator found, MonoTime now);
  // Whether a run may be started again under its run number.
  bool CanRetryStart(const RunTable::Run& run, MonoTime now) const;
  void RetryStarts(MonoTime now);
  void SendStops(MonoTime now);
  // Whether the runner should have ended a run by now and has not. Requests
  // cannot stop it then, only the end of all leases can.
  bool IsStopOverdue(MonoTime now) const;
  void ExpireUnreachableRuns(MonoTime now);
  // Whether the runner's lists are needed for more than its reachability.
  bool NeedsLists() const;
  void SendPoll(MonoTime now);
  void SendVerificationPolls(MonoTime now);
  void SendConfirmationPoll(MonoTime now);
  // Returns a poll that the runner answers at once.
  PollRequest MakeImmediatePoll(const RunnerIncarnation& incarnation,
                                PollPurpose purpose,
                                MonoTime now) const;
  void SendStatuses(MonoTime now);
  RunnerStatus MakeStatus(MonoTime now) const;

  ProcessId m_self;
  uint64_t m_token;
  std::optional<RunnerHeartbeat> m_runner;
  // Whether m_runner has left; its runs may not have ended yet.
  bool m_has_runner_left = false;
  // The last heartbeat of a runner that has left. Earlier ones may still
  // arrive.
  std::optional<RunnerHeartbeat> m_departed_runner;
  UnverifiedHeartbeats m_unverified_heartbeats;
  // The heartbeats of the incarnation of m_runner. While it is empty, all but
  // the incarnation is from the one before.
  RunnerDescription m_description;
  RunnerHealth m_health;
  RunTable m_runs;
  // Reports to send again when a StartRun is repeated.
  ReportCache m_reports;
  EntryTable m_entries;
  // Found on the runner but unknown here. They are being stopped.
  std::map<RunKey, OrphanedRun> m_orphaned_runs;
  ClosedZones m_closed_zones;
  bool m_is_draining = false;

  Milliseconds m_max_runner_lease = kMaxRunnerLease;
  PollSchedule m_poll_schedule;
  StartGate m_start_gate;
  RequestLatency m_request_latency;
  RequestLoss m_request_loss;
  uint64_t m_acknowledged_ends = 0;
  // Whether a list without orphaned runs has been read from this incarnation of
  // the runner. Nothing starts before,
  // since earlier runs may still hold capacity.
  bool m_is_reconciled = false;

  // Whether the status has changed since SendStatuses was last called.
  bool m_is_status_due = false;
  std::vector<ExecutorAction> m_actions;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUN_EXECUTOR_H_
