#include "executor/run_executor.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Interval of stop requests for a run until one is acknowledged, and the same
// after a recent loss of requests.
constexpr Milliseconds kStopRetryInterval{60};
constexpr Milliseconds kStopRetryIntervalAfterLoss{15};
// Delay of the next poll that verifies a heartbeat after an inconclusive one.
constexpr Milliseconds kVerificationRetryDelay{50};
// Maximum time between two calls of Tick.
constexpr Milliseconds kMaxTickInterval{150};
// If the runner has seen a higher token than ours, it came from an earlier
// incarnation of this agent whose clock ran ahead by less than this.
constexpr uint64_t kTokenStep = 60'000;

// A run whose progress has counted as evidence of a slow runner counts again
// once it has run for so many times as long. Lists come many times a second,
// and with each of them a single long run would make its runner look slow.
constexpr int64_t kProgressSampleFactor = 2;

// Start requests that wait for a response at a time. More would only wait for
// one of the connections to the runner, where their order is fixed.
constexpr size_t kMaxStartsInFlight = 64;
// Runs that an agent keeps at a time, of all entries.
constexpr size_t kMaxRuns = 2048;

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
  const bool was_described = !m_description.is_empty();
  const RunnerHeartbeat earlier = *m_runner;
  const bool is_newest = m_description.Add(runner_heartbeat, now);
  ApplyDescription();
  m_is_status_due |= !was_described ||
                     m_runner->m_service != earlier.m_service ||
                     m_runner->m_is_draining != earlier.m_is_draining ||
                     m_runner->m_capacity != earlier.m_capacity;
  // A runner that has not left after all goes on with higher numbers.
  m_has_runner_left &= !is_newest;
  return is_newest;
}

bool RunExecutor::HasTakenOver(const RunnerHeartbeat& heartbeat) const {
  const bool is_known_incarnation =
      m_runner &&
      m_runner->m_process_incarnation == heartbeat.m_process_incarnation;
  return is_known_incarnation ? m_description.Includes(heartbeat)
                              : m_unverified_heartbeats.Includes(heartbeat);
}

void RunExecutor::ApplyDescription() {
  if (!m_description.is_empty()) {
    m_runner = m_description.Current();
  }
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

void RunExecutor::BeginIncarnation(const RunnerIncarnation& incarnation,
                                   RunnerDescription description,
                                   MonoTime now) {
  m_description = std::move(description);
  ApplyDescription();
  m_runner->m_process_incarnation = incarnation;
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
  ResumeInIncarnation(
      incarnation,
      m_unverified_heartbeats.Take(incarnation).value_or(RunnerDescription()),
      now);
}

// A started run may be in either incarnation, since its start request reached
// whichever was there. The lists and the answers of the new one tell, but only
// once it has seen a higher token: from then on it rejects start requests that
// were sent before and are still on their way.
void RunExecutor::ResumeInIncarnation(const RunnerIncarnation& incarnation,
                                      RunnerDescription description,
                                      MonoTime now) {
  BeginIncarnation(incarnation, std::move(description), now);
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
  const bool is_possible = m_runs.size() <= kMaxRuns && is_entry_alive &&
                           m_runner && is_accepting(now) &&
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
  run.m_starts_in_flight -= std::min(run.m_starts_in_flight, 1U);
  if (result == StartResult::kNoResponse) {
    m_request_loss.OnNoResponse(now);
    if (run.m_starts_in_flight > 0) {
      return;
    }
    m_request_latency.AddTimeout();
  } else {
    m_request_latency.AddSample(now - run.m_started_at);
  }
  // A stop is already under way and determines how the run ends.
  if (run.m_state != RunTable::State::kStarting) {
    return;
  }
  // An earlier request may have been carried out, or may be later.
  if (run.m_start_retries > 0 && result != StartResult::kStarted) {
    run.RequestStop(now);
    return;
  }
  switch (result) {
    case StartResult::kStarted:
      run.m_start.m_payload.clear();
      run.SetState(RunTable::State::kRunning, now);
      return;
    case StartResult::kNoResponse:
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

// A retry carries the same run number, so that the runner carries out only one
// of the requests, however late. It is not sent to another incarnation, whose
// capacity may be smaller: the token is raised with each. Nor is it sent to a
// runner that must get no new runs by now.
bool RunExecutor::CanRetryStart(const RunTable::Run& run, MonoTime now) const {
  return now < run.m_retry_until && run.m_fencing_token == m_token &&
         m_start_gate.is_open() && is_accepting(now);
}

void RunExecutor::RetryStarts(MonoTime now) {
  for (auto found = m_runs.begin(); found != m_runs.end(); ++found) {
    RunTable::Run& run = found->second;
    if (run.m_state != RunTable::State::kStarting || now < run.m_retry_at) {
      continue;
    }
    if (CanRetryStart(run, now)) {
      ++run.m_start_retries;
      RequestStart(found, now);
    } else {
      run.m_retry_at = MonoTime::max();
    }
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
    MonoTime sent_at,
    const std::variant<RunLists, PollFailure>& result,
    MonoTime now) {
  if (purpose == PollPurpose::kVerifyHeartbeat) {
    OnVerificationResult(incarnation, sent_at, result, now);
    return;
  }
  if (purpose == PollPurpose::kConfirmIncarnation) {
    OnConfirmationResult(incarnation, result, now);
    return;
  }
  if (!m_runner || m_runner->m_process_incarnation != incarnation) {
    return;
  }
  if (const auto* failure = std::get_if<PollFailure>(&result)) {
    if (*failure == PollFailure::kFenced) {
      RaiseToken(now);
    }
    if (m_poll_schedule.OnFailure(sent_at, *failure, now)) {
      m_request_loss.OnNoResponse(now);
    }
    return;
  }
  const auto& lists = std::get<RunLists>(result);
  m_start_gate.OnLists(sent_at);
  if (!IsListOf(incarnation, lists)) {
    OnRunnerRestarted(*lists.m_start_time_ms, now);
    return;
  }
  ApplyLists(lists, sent_at, now);
}

void RunExecutor::OnVerificationResult(
    const RunnerIncarnation& incarnation,
    MonoTime sent_at,
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
  auto description = m_unverified_heartbeats.Take(incarnation);
  if (!IsListOf(incarnation, lists)) {
    return;
  }
  if (IsSentToRunner(incarnation)) {
    ResumeInIncarnation(incarnation, std::move(*description), now);
    return;
  }
  EndIncarnation(now);
  BeginIncarnation(incarnation, std::move(*description), now);
  ApplyLists(lists, sent_at, now);
}

void RunExecutor::OnConfirmationResult(
    const RunnerIncarnation& incarnation,
    const std::variant<RunLists, PollFailure>& result,
    MonoTime now) {
  const auto* lists = std::get_if<RunLists>(&result);
  if (lists == nullptr || !m_runner ||
      m_runner->m_process_incarnation != incarnation) {
    m_start_gate.OnCheckFailed(now);
    return;
  }
  m_start_gate.OnCheckAnswered(now);
  // The lists are not applied: a poll of the schedule may have overtaken them.
  if (!IsListOf(incarnation, *lists)) {
    OnRunnerRestarted(*lists->m_start_time_ms, now);
  }
}

void RunExecutor::ApplyLists(const RunLists& lists,
                             MonoTime sent_at,
                             MonoTime now) {
  if (!m_poll_schedule.OnLists(sent_at, lists.m_clock, now)) {
    return;
  }
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
    const bool is_newer = m_poll_schedule.lists_sent_at() > run.m_state_since;
    if (row != listed.end()) {
      const Microseconds elapsed = now - run.m_started_at;
      if (elapsed >= run.m_next_progress_sample &&
          m_health.OnProgress(elapsed, row->second, run.m_start.m_expected)) {
        run.m_next_progress_sample = kProgressSampleFactor * elapsed;
      }
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
  return m_runner && !m_description.is_empty() &&
         !m_description.is_disputed() && !m_has_runner_left &&
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
  const bool is_accepting_now = is_accepting(now);
  for (auto found = m_runs.begin(); found != m_runs.end();) {
    const auto next = std::next(found);
    RunTable::Run& run = found->second;
    if (run.m_start.m_abandon_at <= now) {
      run.Abandon(now + kStopGrace, now);
    }
    const bool can_start = is_accepting_now &&
                           run.m_start.m_queue_until > now &&
                           run.m_start.m_abandon_at > now;
    if (run.m_state == RunTable::State::kWaiting && !can_start) {
      Finish(found, RunOutcome::kNotStarted, EndEvidence::kNotRequested, now);
    }
    found = next;
  }
}

void RunExecutor::StartWaitingRuns(MonoTime now) {
  if (!is_accepting(now) || !m_start_gate.is_open()) {
    return;
  }
  Resources available = m_runs.UnreservedCapacity(m_runner->m_capacity);
  size_t reservations = m_runs.CountReservations();
  size_t starts_in_flight = m_runs.CountStarting();
  for (const RunTable::Iterator& found : m_runs.WaitingByPriority()) {
    RunTable::Run& run = found->second;
    if (m_runs.HasOtherRun(found)) {
      continue;
    }
    if (starts_in_flight >= kMaxStartsInFlight ||
        !run.m_start.m_demand.Fits(available) ||
        (m_health.is_on_probation() && reservations > 0)) {
      break;
    }
    available -= run.m_start.m_demand;
    ++reservations;
    ++starts_in_flight;
    run.SetState(RunTable::State::kStarting, now);
    run.m_fencing_token = m_token;
    run.m_retry_until = now + m_request_latency.Timeout();
    RequestStart(found, now);
    m_is_status_due = true;
  }
}

void RunExecutor::RequestStart(RunTable::Iterator found, MonoTime now) {
  RunTable::Run& run = found->second;
  run.m_started_at = now;
  ++run.m_starts_in_flight;
  run.m_retry_at = now + m_request_latency.RetryDelay(
                             run.m_start_retries, m_request_loss.IsRecent(now));
  const RunnerTime lease_until = m_poll_schedule.GrantLease(now);
  m_actions.push_back(StartRequest{
      m_runner->m_process_incarnation, found->first, run.m_start.m_payload,
      m_token, lease_until, now + m_request_latency.Timeout(),
      run.m_start_retries, run.m_entry.m_name, run.m_start.m_decided_on});
}

void RunExecutor::SendStops(MonoTime now) {
  if (!m_runner) {
    return;
  }
  const MonoTime next_stop_at =
      now + (m_request_loss.IsRecent(now) ? kStopRetryIntervalAfterLoss
                                          : kStopRetryInterval);
  for (const RunKey& key : m_runs.TakeDueStops(now, next_stop_at)) {
    m_actions.push_back(StopRequest{m_runner->m_process_incarnation, key,
                                    m_token,
                                    now + m_request_latency.Timeout()});
  }
  for (auto& [key, orphan] : m_orphaned_runs) {
    if (orphan.m_next_stop_at <= now) {
      orphan.m_next_stop_at = next_stop_at;
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
  const bool misses_lists = m_poll_schedule.misses_lists();
  PollRequest poll =
      m_poll_schedule.Begin(m_is_reconciled, m_request_latency.Timeout(),
                            m_request_loss.IsRecent(now), now);
  poll.m_process_incarnation = m_runner->m_process_incarnation;
  poll.m_fencing_token = m_token;
  // Without the lists of an earlier poll the runner may have restarted, and its
  // ends are counted anew: an acknowledgement of earlier ones would make it
  // forget new ones.
  poll.m_acknowledged_ends = misses_lists ? 0 : m_acknowledged_ends;
  if (m_runs.NeedsLease() && !IsStopOverdue(now)) {
    poll.m_lease_until = m_poll_schedule.RenewLeases(now);
  }
  m_actions.push_back(poll);
}

void RunExecutor::SendVerificationPolls(MonoTime now) {
  for (const RunnerIncarnation& incarnation :
       m_unverified_heartbeats.TakeDue(now)) {
    m_actions.push_back(
        MakeImmediatePoll(incarnation, PollPurpose::kVerifyHeartbeat, now));
  }
}

void RunExecutor::SendConfirmationPoll(MonoTime now) {
  // Without a check, the polls open the gate before the runner is used again.
  if (is_accepting(now) && m_start_gate.IsCheckDue(now)) {
    m_start_gate.OnCheckSent(now);
    m_actions.push_back(MakeImmediatePoll(m_runner->m_process_incarnation,
                                          PollPurpose::kConfirmIncarnation,
                                          now));
  }
}

PollRequest RunExecutor::MakeImmediatePoll(const RunnerIncarnation& incarnation,
                                           PollPurpose purpose,
                                           MonoTime now) const {
  PollRequest poll;
  poll.m_process_incarnation = incarnation;
  poll.m_purpose = purpose;
  poll.m_fencing_token = m_token;
  poll.m_sent_at = now;
  poll.m_answer_by = now;
  poll.m_give_up_at = now + m_request_latency.Timeout();
  return poll;
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
  RetryStarts(now);
  SendStops(now);
  SendPoll(now);
  SendVerificationPolls(now);
  SendConfirmationPoll(now);
  SendStatuses(now);
  return std::exchange(m_actions, {});
}

MonoTime RunExecutor::NextDeadline(MonoTime now) const {
  MonoTime next = std::min(now + kMaxTickInterval, m_entries.NextDeadline(now));
  if (m_runner) {
    next = std::min(next, m_poll_schedule.NextPollAt(NeedsLists()));
  }
  if (is_accepting(now)) {
    next = std::min(next, m_start_gate.NextCheckAt());
  }
  next = std::min(
      {next, m_runs.NextDeadline(now), m_unverified_heartbeats.NextPollAt()});
  if (m_health.retry_at() > now) {
    next = std::min(next, m_health.retry_at());
  }
  return next;
}

}  // namespace comfreyshift
