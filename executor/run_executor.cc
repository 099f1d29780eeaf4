#include "executor/run_executor.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Interval of stop requests for a run until one is acknowledged.
constexpr Milliseconds kStopRetryInterval{60};
// Delay of the next poll that verifies a heartbeat after an inconclusive one.
constexpr Milliseconds kVerificationRetryDelay{50};
// Maximum time between two calls of Tick.
constexpr Milliseconds kMaxTickInterval{150};
// If the runner has seen a higher token than ours, it came from an earlier
// incarnation of this agent whose clock ran ahead by less than this.
constexpr uint64_t kTokenStep = 60'000;

// Whether `heartbeat` is not newer than `known`, by incarnation and sequence
// number.
bool IsOutdated(const RunnerHeartbeat& heartbeat,
                const RunnerHeartbeat& known) {
  return known.m_process_incarnation == heartbeat.m_process_incarnation
             ? heartbeat.m_sequence <= known.m_sequence
             : heartbeat.m_process_incarnation.m_start_time_ms <
                   known.m_process_incarnation.m_start_time_ms;
}

bool IsListOf(const RunnerIncarnation& incarnation, const RunLists& lists) {
  return !lists.m_start_time_ms ||
         *lists.m_start_time_ms == incarnation.m_start_time_ms;
}

}  // namespace

RunExecutor::RunExecutor(ProcessId self, uint64_t token)
    : m_self(std::move(self)), m_token(token) {}

bool RunExecutor::OnHeartbeat(const RunnerHeartbeat& runner_heartbeat,
                              MonoTime now) {
  const bool is_known_incarnation =
      m_runner &&
      m_runner->m_process_incarnation == runner_heartbeat.m_process_incarnation;
  if (!is_known_incarnation) {
    const bool has_departed = !m_runner && m_departed_runner &&
                              IsOutdated(runner_heartbeat, *m_departed_runner);
    if (!has_departed) {
      m_unverified_heartbeats.Add(runner_heartbeat, now);
    }
    return false;
  }
  // An incarnation never changes its service: another writer sent this.
  if (m_is_runner_described &&
      (IsOutdated(runner_heartbeat, *m_runner) ||
       runner_heartbeat.m_service != m_runner->m_service)) {
    return false;
  }
  m_is_status_due |=
      !std::exchange(m_is_runner_described, true) ||
      m_runner->m_is_draining != runner_heartbeat.m_is_draining ||
      m_runner->m_capacity != runner_heartbeat.m_capacity;
  // A runner that has not left after all goes on with higher numbers.
  m_has_runner_left = false;
  m_runner = runner_heartbeat;
  return true;
}

bool RunExecutor::OnRunnerLeft(const std::string& runner_id, MonoTime now) {
  m_unverified_heartbeats.RemoveRunner(runner_id);
  if (m_runner && m_runner->m_process_incarnation.m_id == runner_id) {
    m_has_runner_left = true;
    m_is_status_due = true;
    for (auto& [key, run] : m_runs) {
      run.RequestStop(now);
    }
    RemoveDepartedRunner();
  }
  return !m_runner || m_has_runner_left;
}

void RunExecutor::RemoveDepartedRunner() {
  if (m_has_runner_left && m_runs.CountReservations() == 0) {
    m_has_runner_left = false;
    m_departed_runner = std::exchange(m_runner, std::nullopt);
  }
}

void RunExecutor::BeginIncarnation(const RunnerHeartbeat& runner_heartbeat,
                                   MonoTime now) {
  m_runner = runner_heartbeat;
  m_is_runner_described = true;
  m_has_runner_left = false;
  m_health.Reset();
  m_orphaned_runs.clear();
  m_acknowledged_ends = 0;
  m_is_reconciled = false;
  m_poll_schedule.Reset(now);
  m_is_status_due = true;
}

void RunExecutor::OnRunnerRestarted(int64_t start_time_ms, MonoTime now) {
  RunnerIncarnation incarnation = m_runner->m_process_incarnation;
  incarnation.m_start_time_ms = start_time_ms;
  if (const auto heartbeat = m_unverified_heartbeats.Take(incarnation)) {
    ResumeInIncarnation(*heartbeat, now);
    return;
  }
  RunnerHeartbeat undescribed = *m_runner;
  undescribed.m_process_incarnation = incarnation;
  ResumeInIncarnation(undescribed, now);
  m_is_runner_described = false;
}

// A started run may be in either incarnation, since its start request reached
// whichever was there. The lists and the answers of the new one tell, but only
// once it has seen a higher token: from then on it rejects start requests that
// were sent before and are still on their way.
void RunExecutor::ResumeInIncarnation(const RunnerHeartbeat& runner_heartbeat,
                                      MonoTime now) {
  BeginIncarnation(runner_heartbeat, now);
  ++m_token;
  if (m_runs.NeedsLease()) {
    m_poll_schedule.ExtendLeases(m_max_runner_lease, now);
  }
}

bool RunExecutor::IsSentToRunner(const RunnerIncarnation& incarnation) const {
  return m_runner && m_runner->m_process_incarnation.m_id == incarnation.m_id;
}

// All started runs have ended with the old incarnation of the runner, whose id
// the new one does not have.
void RunExecutor::EndIncarnation(MonoTime now) {
  for (auto run = m_runs.begin(); run != m_runs.end();) {
    const auto next = std::next(run);
    if (run->second.m_state != RunTable::State::kWaiting) {
      Finish(run, RunOutcome::kStopped, EndEvidence::kRunnerReplaced, now);
    }
    run = next;
  }
}

void RunExecutor::OnClosedZones(const ClosedZones& zones, MonoTime now) {
  m_closed_zones = zones;
  m_is_status_due = true;
  if (!m_runner || !m_closed_zones.contains(m_runner->m_zone)) {
    return;
  }
  for (auto run = m_runs.begin(); run != m_runs.end();) {
    const auto next = std::next(run);
    if (run->second.m_state == RunTable::State::kWaiting) {
      Finish(run, RunOutcome::kNotStarted, EndEvidence::kNotRequested, now);
    }
    run = next;
  }
}

void RunExecutor::Drain(MonoTime) {
  m_is_draining = true;
  m_is_status_due = true;
}

void RunExecutor::OnEntryConnected(const ProcessId& entry, MonoTime now) {
  m_entries.OnConnected(entry, now);
  m_actions.push_back(SendToEntry{entry, Welcome{m_self}});
  m_is_status_due = true;
}

void RunExecutor::OnEntryDisconnected(const ProcessId& entry, MonoTime) {
  m_entries.OnDisconnected(entry);
}

void RunExecutor::OnEntryHeartbeat(const ProcessId& entry,
                                   const EntryHeartbeat& heartbeat,
                                   MonoTime now) {
  m_entries.OnEntryHeartbeat(entry, heartbeat, now);
}

void RunExecutor::OnStartRun(const ProcessId& entry,
                             const StartRun& start,
                             MonoTime now) {
  if (!m_entries.IsKnown(entry)) {
    return;
  }
  const bool is_entry_alive = m_entries.ApplyStartRun(entry, start, now);
  m_is_status_due = true;
  if (const RunReport* ended = m_reports.Find(start.m_run)) {
    m_actions.push_back(SendToEntry{entry, *ended});
    return;
  }
  const auto [found, is_new] = m_runs.Add(entry, start, now);
  if (!is_new) {
    return;
  }
  const bool is_possible = is_entry_alive && m_runner && is_accepting(now) &&
                           start.m_service == m_runner->m_service &&
                           start.m_demand.Fits(m_runner->m_capacity);
  if (!is_possible) {
    Finish(found, RunOutcome::kNotStarted, EndEvidence::kNotRequested, now);
  }
}

void RunExecutor::OnStopRun(const ProcessId& entry,
                            const StopRun& stop,
                            MonoTime now) {
  const auto found = m_runs.Find(stop.m_run);
  if (found != m_runs.end()) {
    found->second.Abandon(now + kStopGrace, now);
    if (found->second.m_state == RunTable::State::kWaiting) {
      Finish(found, RunOutcome::kNotStarted, EndEvidence::kNotRequested, now);
    }
    return;
  }
  // Messages on a connection stay in order, so the run has ended, or its
  // StartRun was lost with an earlier connection.
  if (const RunReport* ended = m_reports.Find(stop.m_run)) {
    m_actions.push_back(SendToEntry{entry, *ended});
    return;
  }
  const RunReport& unknown = m_reports.Insert(
      {stop.m_run, RunOutcome::kNotStarted, false, Microseconds(0)}, now);
  m_actions.push_back(SendToEntry{entry, unknown, EndEvidence::kUnknownRun});
}

void RunExecutor::OnStartRunResult(const RunnerIncarnation& incarnation,
                                   const RunKey& key,
                                   StartResult result,
                                   MonoTime now) {
  const auto found = m_runs.Find(key);
  if (found == m_runs.end() || !IsSentToRunner(incarnation)) {
    return;
  }
  RunTable::Run& run = found->second;
  if (result == StartResult::kUnhealthy) {
    m_health.OnFailure(now);
    m_is_status_due = true;
  }
  // A lower token than the present one says nothing about the present one.
  if (result == StartResult::kFenced && run.m_fencing_token == m_token) {
    RaiseToken(now);
  }
  m_request_latency.AddSample(result, now - run.m_started_at);
  // A stop is already under way and determines how the run ends.
  if (run.m_state != RunTable::State::kStarting) {
    return;
  }
  switch (result) {
    case StartResult::kStarted:
      run.SetState(RunTable::State::kRunning, now);
      return;
    case StartResult::kUnknown:
      run.RequestStop(now);
      return;
    case StartResult::kRejected:
    case StartResult::kNumberTooLow:
    case StartResult::kFenced:
    case StartResult::kUnhealthy:
    case StartResult::kOtherIncarnation:
    case StartResult::kNotSent:
      Finish(found, RunOutcome::kNotStarted, EndEvidence::kStartRejected, now);
      return;
  }
}

void RunExecutor::OnStopRunResult(const RunnerIncarnation& incarnation,
                                  const RunKey& key,
                                  StopResult result,
                                  MonoTime now) {
  if (!IsSentToRunner(incarnation)) {
    return;
  }
  if (result == StopResult::kFenced) {
    RaiseToken(now);
  }
  const auto found = m_runs.Find(key);
  if (found == m_runs.end() ||
      found->second.m_state != RunTable::State::kStopping ||
      result != StopResult::kAccepted) {
    return;
  }
  found->second.SetState(RunTable::State::kStopped, now);
}

void RunExecutor::OnPollResult(
    const RunnerIncarnation& incarnation,
    PollPurpose purpose,
    const std::variant<RunLists, PollFailure>& result,
    MonoTime now) {
  if (purpose == PollPurpose::kVerifyHeartbeat) {
    OnVerificationResult(incarnation, result, now);
    return;
  }
  if (!m_runner || m_runner->m_process_incarnation != incarnation) {
    return;
  }
  if (const auto* failure = std::get_if<PollFailure>(&result)) {
    if (*failure == PollFailure::kFenced) {
      RaiseToken(now);
    }
    m_poll_schedule.OnFailure(now);
    return;
  }
  const auto& lists = std::get<RunLists>(result);
  if (!IsListOf(incarnation, lists)) {
    OnRunnerRestarted(*lists.m_start_time_ms, now);
    return;
  }
  ApplyLists(lists, now);
}

void RunExecutor::OnVerificationResult(
    const RunnerIncarnation& incarnation,
    const std::variant<RunLists, PollFailure>& result,
    MonoTime now) {
  // Another poll may have shown the incarnation meanwhile. These lists may then
  // be older than what is known of its runs.
  if (!m_unverified_heartbeats.Contains(incarnation)) {
    return;
  }
  if (const auto* failure = std::get_if<PollFailure>(&result)) {
    if (*failure == PollFailure::kOtherIncarnation) {
      m_unverified_heartbeats.Take(incarnation);
      return;
    }
    if (*failure == PollFailure::kFenced) {
      RaiseToken(now);
    }
    m_unverified_heartbeats.RetryAt(incarnation, now + kVerificationRetryDelay);
    return;
  }
  const auto& lists = std::get<RunLists>(result);
  const auto heartbeat = m_unverified_heartbeats.Take(incarnation);
  if (!IsListOf(incarnation, lists)) {
    return;
  }
  if (IsSentToRunner(incarnation)) {
    ResumeInIncarnation(*heartbeat, now);
    return;
  }
  EndIncarnation(now);
  BeginIncarnation(*heartbeat, now);
  ApplyLists(lists, now);
}

void RunExecutor::ApplyLists(const RunLists& lists, MonoTime now) {
  m_poll_schedule.OnLists(lists.m_clock, now);
  ApplyEndedRuns(lists, now);
  ApplyActiveRuns(lists, now);
  if (!m_is_reconciled && m_orphaned_runs.empty()) {
    m_is_reconciled = true;
    m_is_status_due = true;
  }
}

void RunExecutor::RaiseToken(MonoTime now) {
  m_token += kTokenStep;
  m_poll_schedule.PollNow(now);
}

void RunExecutor::ApplyEndedRuns(const RunLists& lists, MonoTime now) {
  for (const EndedRun& row : lists.m_ended) {
    if (row.m_number <= m_acknowledged_ends) {
      continue;
    }
    m_acknowledged_ends = row.m_number;
    m_orphaned_runs.erase(row.m_run);
    const auto found = m_runs.Find(row.m_run);
    if (found == m_runs.end()) {
      continue;
    }
    RunTable::Run& run = found->second;
    if (row.m_outcome == RunOutcome::kDone) {
      m_health.OnDone(now - run.m_started_at, run.m_start.m_expected, now);
    } else if (row.m_outcome == RunOutcome::kFailed) {
      m_health.OnFailure(now);
    }
    Finish(found, row.m_outcome, EndEvidence::kEndListed, now);
  }
}

void RunExecutor::ApplyActiveRuns(const RunLists& lists, MonoTime now) {
  std::map<RunKey, OrphanedRun> orphaned_runs;
  std::map<RunKey, double> listed;
  for (const ActiveRun& row : lists.m_running) {
    listed[row.m_run] = row.m_progress_percent;
    if (!m_runs.Contains(row.m_run)) {
      const auto known = m_orphaned_runs.find(row.m_run);
      orphaned_runs[row.m_run] = known == m_orphaned_runs.end()
                                     ? OrphanedRun{now, now + 2 * kMaxStopTime}
                                     : known->second;
    }
  }
  m_orphaned_runs = std::move(orphaned_runs);
  for (auto found = m_runs.begin(); found != m_runs.end();) {
    const auto next = std::next(found);
    RunTable::Run& run = found->second;
    const auto row = listed.find(found->first);
    const bool is_newer = m_poll_schedule.sent_at() > run.m_state_since;
    if (row != listed.end()) {
      m_health.OnProgress(now - run.m_started_at, row->second,
                          run.m_start.m_expected);
    } else if (is_newer && (run.m_state == RunTable::State::kRunning ||
                            run.m_state == RunTable::State::kStopped)) {
      // The runner has already forgotten its end, or it never started.
      Finish(found, RunOutcome::kStopped, EndEvidence::kNotListed, now);
    }
    found = next;
  }
}

void RunExecutor::Report(const RunKey& key,
                         RunTable::Run& run,
                         RunOutcome outcome,
                         EndEvidence evidence,
                         MonoTime now) {
  if (run.m_is_reported) {
    return;
  }
  run.m_is_reported = true;
  const bool has_run = run.m_state != RunTable::State::kWaiting &&
                       outcome != RunOutcome::kNotStarted;
  const RunReport report{key, outcome, has_run,
                         has_run ? now - run.m_started_at : Microseconds(0)};
  m_reports.Insert(report, now);
  m_actions.push_back(SendToEntry{run.m_entry, report, evidence});
  m_entries.OnReport(run.m_entry, now);
}

void RunExecutor::Finish(RunTable::Iterator found,
                         RunOutcome outcome,
                         EndEvidence evidence,
                         MonoTime now) {
  Report(found->first, found->second, outcome, evidence, now);
  m_runs.Erase(found);
  m_is_status_due = true;
}

Resources RunExecutor::FreeCapacity() const {
  return m_runs.CapacityAfterAllRuns(m_runner ? m_runner->m_capacity
                                              : Resources{});
}

bool RunExecutor::is_accepting(MonoTime now) const {
  return m_runner && m_is_runner_described && !m_has_runner_left &&
         !m_runner->m_is_draining && !m_is_draining && m_is_reconciled &&
         !m_closed_zones.contains(m_runner->m_zone) && m_health.IsUsable(now) &&
         m_poll_schedule.IsReachable(now) && !IsStopOverdue(now);
}

void RunExecutor::StopRunsOfLostEntries(MonoTime now) {
  for (auto& [key, run] : m_runs) {
    if (!m_entries.IsAlive(run.m_entry, now)) {
      // Its tasks start elsewhere soon after a lease that is granted now
      // expires.
      run.Abandon(now, now);
      run.m_start.m_queue_until = std::min(run.m_start.m_queue_until, now);
    }
  }
  m_entries.RemoveExpired(now);
}

void RunExecutor::StopExpiredRuns(MonoTime now) {
  for (auto found = m_runs.begin(); found != m_runs.end();) {
    const auto next = std::next(found);
    RunTable::Run& run = found->second;
    if (run.m_start.m_abandon_at <= now) {
      run.Abandon(now + kStopGrace, now);
    }
    const bool can_start = is_accepting(now) &&
                           run.m_start.m_queue_until > now &&
                           run.m_start.m_abandon_at > now;
    if (run.m_state == RunTable::State::kWaiting && !can_start) {
      Finish(found, RunOutcome::kNotStarted, EndEvidence::kNotRequested, now);
    }
    found = next;
  }
}

void RunExecutor::StartWaitingRuns(MonoTime now) {
  if (!is_accepting(now)) {
    return;
  }
  Resources available = m_runs.UnreservedCapacity(m_runner->m_capacity);
  size_t reservations = m_runs.CountReservations();
  for (const RunTable::Iterator& found : m_runs.WaitingByPriority()) {
    RunTable::Run& run = found->second;
    if (m_runs.HasOtherRun(found)) {
      continue;
    }
    if (!run.m_start.m_demand.Fits(available) ||
        (m_health.is_on_probation() && reservations > 0)) {
      break;
    }
    available -= run.m_start.m_demand;
    ++reservations;
    run.SetState(RunTable::State::kStarting, now);
    run.m_started_at = now;
    run.m_fencing_token = m_token;
    const RunnerTime lease_until = m_poll_schedule.GrantLease(now);
    m_actions.push_back(
        StartRequest{m_runner->m_process_incarnation, found->first,
                     std::move(run.m_start.m_payload), m_token, lease_until,
                     now + m_request_latency.Timeout()});
    m_is_status_due = true;
  }
}

void RunExecutor::SendStops(MonoTime now) {
  if (!m_runner) {
    return;
  }
  for (const RunKey& key : m_runs.TakeDueStops(now, now + kStopRetryInterval)) {
    m_actions.push_back(StopRequest{m_runner->m_process_incarnation, key,
                                    m_token,
                                    now + m_request_latency.Timeout()});
  }
  for (auto& [key, orphan] : m_orphaned_runs) {
    if (orphan.m_next_stop_at <= now) {
      orphan.m_next_stop_at = now + kStopRetryInterval;
      m_actions.push_back(StopRequest{m_runner->m_process_incarnation, key,
                                      m_token,
                                      now + m_request_latency.Timeout()});
    }
  }
}

// Reports the runs of an unreachable runner as stopped once all leases have
// expired: the runner has killed them, even if no list shows it. A run keeps
// its reservation until a stop is acknowledged, because its start request may
// still arrive. Later requests carry a higher token, so that the runner then
// rejects the delayed one.
void RunExecutor::ExpireUnreachableRuns(MonoTime now) {
  if (!m_runner || m_poll_schedule.IsReachable(now) ||
      !m_poll_schedule.HaveLeasesExpired(now)) {
    return;
  }
  bool has_expired_runs = false;
  for (auto found = m_runs.begin(); found != m_runs.end();) {
    const auto next = std::next(found);
    RunTable::Run& run = found->second;
    if (run.HoldsReservation()) {
      has_expired_runs |= !run.m_is_reported;
      run.Abandon(now, now);
      Report(found->first, run, RunOutcome::kStopped,
             EndEvidence::kLeasesExpired, now);
      if (m_has_runner_left) {
        m_runs.Erase(found);
      }
    }
    found = next;
  }
  m_token += has_expired_runs ? 1 : 0;
}

bool RunExecutor::IsStopOverdue(MonoTime now) const {
  return m_runs.IsStopOverdue(now) ||
         std::ranges::any_of(m_orphaned_runs, [now](const auto& item) {
           return item.second.m_stop_due_at <= now;
         });
}

bool RunExecutor::NeedsLists() const {
  return !m_is_reconciled || !m_orphaned_runs.empty() || !m_runs.is_empty();
}

void RunExecutor::SendPoll(MonoTime now) {
  if (!m_runner || !m_poll_schedule.IsDue(NeedsLists(), now)) {
    return;
  }
  PollRequest poll =
      m_poll_schedule.Begin(m_is_reconciled, m_request_latency.Timeout(), now);
  poll.m_process_incarnation = m_runner->m_process_incarnation;
  poll.m_fencing_token = m_token;
  // After a failure the runner may have restarted, and its ends are counted
  // anew: an acknowledgement of earlier ones would make it forget new ones.
  poll.m_acknowledged_ends =
      m_poll_schedule.has_failed() ? 0 : m_acknowledged_ends;
  if (m_runs.NeedsLease() && !IsStopOverdue(now)) {
    poll.m_lease_until = m_poll_schedule.RenewLeases(now);
  }
  m_actions.push_back(poll);
}

void RunExecutor::SendVerificationPolls(MonoTime now) {
  for (const RunnerIncarnation& incarnation :
       m_unverified_heartbeats.TakeDue(now)) {
    PollRequest poll;
    poll.m_process_incarnation = incarnation;
    poll.m_purpose = PollPurpose::kVerifyHeartbeat;
    poll.m_fencing_token = m_token;
    poll.m_answer_by = now;
    poll.m_give_up_at = now + m_request_latency.Timeout();
    m_actions.push_back(poll);
  }
}

RunnerStatus RunExecutor::MakeStatus(MonoTime now) const {
  RunnerStatus status;
  status.m_agent_clock = now;
  status.m_is_accepting = is_accepting(now);
  status.m_free = FreeCapacity();
  status.m_slowness = m_health.slowness();
  if (m_runner) {
    status.m_service = m_runner->m_service;
    status.m_zone = m_runner->m_zone;
    status.m_labels = m_runner->m_labels;
    status.m_capacity = m_runner->m_capacity;
    status.m_runner_start_time_ms =
        m_runner->m_process_incarnation.m_start_time_ms;
  }
  return status;
}

void RunExecutor::SendStatuses(MonoTime now) {
  const auto due =
      m_entries.TakeDue(std::exchange(m_is_status_due, false), now);
  if (due.empty()) {
    return;
  }
  RunnerStatus status = MakeStatus(now);
  for (const EntryTable::DueStatus& entry : due) {
    status.m_sequence = entry.m_sequence;
    m_actions.push_back(SendToEntry{entry.m_entry, status});
  }
}

std::vector<ExecutorAction> RunExecutor::Tick(MonoTime now) {
  StopRunsOfLostEntries(now);
  ExpireUnreachableRuns(now);
  StopExpiredRuns(now);
  RemoveDepartedRunner();
  m_reports.RemoveExpired(now);
  StartWaitingRuns(now);
  SendStops(now);
  SendPoll(now);
  SendVerificationPolls(now);
  SendStatuses(now);
  return std::exchange(m_actions, {});
}

MonoTime RunExecutor::NextDeadline(MonoTime now) const {
  MonoTime next = std::min(now + kMaxTickInterval, m_entries.NextDeadline(now));
  if (m_runner) {
    next = std::min(next, m_poll_schedule.NextPollAt(NeedsLists()));
  }
  next = std::min(
      {next, m_runs.NextDeadline(now), m_unverified_heartbeats.NextPollAt()});
  if (m_health.retry_at() > now) {
    next = std::min(next, m_health.retry_at());
  }
  return next;
}

}  // namespace comfreyshift
