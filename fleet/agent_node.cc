#include "fleet/agent_node.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// How often the agent checks for connections on which nothing arrives any more.
// The runs of an entry whose heartbeats cease are stopped earlier
// (kEntryHeartbeatTimeout), whether or not its connection is open.
constexpr Milliseconds kIdleCheckInterval{100};
constexpr Milliseconds kMaxTickInterval{1000};
// Entries that read the same change of the store tell this agent of it within
// this time. Only to the others a message is sent.
constexpr Milliseconds kOwnReadAnnouncementDelay{100};

}  // namespace

AgentNode::AgentNode(ProcessId self,
                     uint64_t token,
                     RunnerApi runner_api,
                     NodeMetrics& metrics)
    : m_executor(std::move(self), token),
      m_runner_api(std::move(runner_api)),
      m_metrics(metrics),
      m_start_log(metrics),
      m_ticker([this](MonoTime now) { return Tick(now); }) {
  WatchConnections();
}

AgentNode::~AgentNode() {
  *m_is_alive = false;
  for (const auto& [entry, session] : m_sessions) {
    session->Close();
  }
}

bool AgentNode::Listen(const Address& address) {
  m_listener = LinkListener::Listen(
      address,
      [this](GSocketConnection* connection) { OnAccepted(connection); });
  return m_listener != nullptr;
}

bool AgentNode::OnHeartbeat(const RunnerHeartbeat& report) {
  const RunnerIncarnation& incarnation = report.m_process_incarnation;
  const bool was_unverified = m_executor.IsUnverified(incarnation);
  const bool is_new = m_executor.OnHeartbeat(report, BootClock::now());
  if (!was_unverified && m_executor.IsUnverified(incarnation)) {
    LogHeartbeatEvent("heartbeat_unverified", incarnation);
  }
  m_ticker.Wake();
  return is_new;
}

bool AgentNode::OnRunnerLeft(const std::string& runner_id) {
  m_ticker.Wake();
  return m_executor.OnRunnerLeft(runner_id, BootClock::now());
}

void AgentNode::Drain() {
  m_executor.Drain(BootClock::now());
  m_ticker.Wake();
}

MonoTime AgentNode::Tick(MonoTime now) {
  CloseIdleSessions(now);
  for (const ExecutorAction& action : m_executor.Tick(now)) {
    Perform(action);
  }
  SendOperatorState(now);
  LinkSession::FlushAll();
  LogAcceptingChange(now);
  m_start_log.FlushIfDue(now);
  return std::min({m_executor.NextDeadline(now), m_operator_state_due_at,
                   now + kMaxTickInterval});
}

void AgentNode::LogAcceptingChange(MonoTime now) {
  const bool is_accepting = m_executor.is_accepting(now);
  if (is_accepting == m_was_accepting) {
    return;
  }
  m_was_accepting = is_accepting;
  const auto& runner = m_executor.runner();
  LogEvent(
      LogLevel::kInfo, "fleet",
      is_accepting ? "runner_accepting" : "runner_not_accepting",
      {{"runner", runner ? runner->m_process_incarnation.m_id : ""},
       {"born_ms", runner ? runner->m_process_incarnation.m_start_time_ms : 0},
       {"draining", runner && runner->m_is_draining},
       {"paused", !m_executor.health().IsUsable(now)},
       {"free_cpu_millis", m_executor.FreeCapacity().m_cpu_millis},
       {"slowness", m_executor.health().slowness()}});
}

void AgentNode::UpdateMetrics() {
  m_metrics.Set("runner_accepting", m_was_accepting ? 1.0 : 0.0);
  m_metrics.Set("runner_slowness", m_executor.health().slowness());
  m_metrics.Set("runner_free_cpu_millis",
                static_cast<double>(m_executor.FreeCapacity().m_cpu_millis));
  m_metrics.Set("entries_connected", static_cast<double>(m_sessions.size()));
  m_metrics.SetOperatorKnowledge(KnowledgeAt(BootClock::now()));
}

void AgentNode::RecordReport(const ProcessId& entry,
                             const RunReport& report,
                             EndEvidence evidence) {
  m_metrics.CountRun(report.m_outcome, report.m_run_time);
  if (report.m_outcome == RunOutcome::kDone) {
    return;
  }
  LogEvent(LogLevel::kInfo, "fleet", "run_not_done",
           {{"job", report.m_run.m_task.m_job},
            {"index", uint64_t{report.m_run.m_task.m_index}},
            {"run", report.m_run.m_number},
            {"entry", entry.m_name},
            {"outcome", std::string(ToString(report.m_outcome))},
            {"evidence", std::string(ToString(evidence))},
            {"run_time_us", report.m_run_time.count()},
            {"accepting", m_was_accepting},
            {"free_cpu_millis", m_executor.FreeCapacity().m_cpu_millis}});
}

void AgentNode::CloseIdleSessions(MonoTime now) {
  if (now < m_next_idle_check_at) {
    return;
  }
  m_next_idle_check_at = now + kIdleCheckInterval;
  std::vector<SessionPointer> idle_sessions;
  for (const auto& [entry, session] : m_sessions) {
    if (now >= session->last_received() + m_executor.IdleTimeout(entry)) {
      idle_sessions.push_back(session);
    }
  }
  for (const SessionPointer& session : idle_sessions) {
    session->Close();
    OnClosed(session);
  }
}

void AgentNode::OnAccepted(GSocketConnection* connection) {
  LinkSession::Accept(
      connection,
      [this](const SessionPointer& session, const LinkMessage& message) {
        OnMessage(session, message);
      },
      [this](const SessionPointer& session) { OnClosed(session); },
      m_link_admission);
}

const ProcessId* AgentNode::FindEntry(const SessionPointer& session) const {
  const auto found = std::ranges::find_if(
      m_sessions, [&](const auto& item) { return item.second == session; });
  return found == m_sessions.end() ? nullptr : &found->first;
}

void AgentNode::OnHello(const SessionPointer& session, const Hello& hello) {
  SessionPointer& known = m_sessions[hello.m_entry];
  if (known != nullptr && known != session) {
    known->Close();
  }
  known = session;
  m_operator_state_peers[hello.m_entry] = OperatorStatePeer(hello.m_version);
  m_operator_state_due_at = MonoTime();
  LogEvent(LogLevel::kInfo, "fleet", "entry_connected",
           {{"entry", hello.m_entry.m_name},
            {"incarnation", hello.m_entry.m_incarnation}});
  m_executor.OnEntryConnected(hello.m_entry, BootClock::now());
}

void AgentNode::OnMessage(const SessionPointer& session,
                          const LinkMessage& message) {
  m_ticker.Wake();
  if (const auto* hello = std::get_if<Hello>(&message)) {
    OnHello(session, *hello);
    return;
  }
  const ProcessId* entry = FindEntry(session);
  if (entry == nullptr) {
    LogEvent(LogLevel::kWarning, "fleet", "message_before_hello");
    session->Close();
    return;
  }
  const MonoTime now = BootClock::now();
  if (const auto* start = std::get_if<StartRun>(&message)) {
    OnStartRun(*entry, *start, now);
  } else if (const auto* stop = std::get_if<StopRun>(&message)) {
    m_executor.OnStopRun(*entry, *stop, now);
  } else if (const auto* heartbeat = std::get_if<EntryHeartbeat>(&message)) {
    m_executor.OnEntryHeartbeat(*entry, *heartbeat, now);
  } else if (const auto* read = std::get_if<RelayRead>(&message)) {
    OnRelayRead(session, *read);
  } else if (const auto* state = std::get_if<OperatorState>(&message)) {
    OnOperatorState(*entry, *state);
  } else {
    LogEvent(LogLevel::kWarning, "fleet", "unexpected_message",
             {{"entry", entry->m_name}});
  }
}

void AgentNode::OnRelayRead(const SessionPointer& session,
                            const RelayRead& read) {
  if (!m_store_read) {
    session->Send(RelayAnswer{read.m_id, false, 0, ""});
    return;
  }
  m_metrics.Count("relayed_reads_total");
  m_store_read(
      read.m_request, read.m_give_up_at,
      [session, id = read.m_id](std::optional<StoreResponse> response) {
        RelayAnswer relayed;
        relayed.m_id = id;
        if (response) {
          relayed.m_is_answered = true;
          relayed.m_status = response->m_status;
          relayed.m_body = std::move(response->m_body);
        }
        session->Send(std::move(relayed));
      });
}

void AgentNode::OnStartRun(const ProcessId& entry,
                           const StartRun& start,
                           MonoTime now) {
  const auto& runner = m_executor.runner();
  if (runner && operator_state().m_closed_zones.contains(runner->m_zone)) {
    m_metrics.Count("starts_refused_in_closed_zone_total");
  }
  m_executor.OnStartRun(entry, start, now);
}

void AgentNode::SetOperatorState(const OperatorState& state) {
  const bool has_changed =
      state.m_closed_zones != operator_state().m_closed_zones;
  if (!m_operator_state.Replace(state) || !has_changed) {
    return;
  }
  m_shared_revision = state.m_revision;
  const MonoTime now = BootClock::now();
  m_operator_state_due_at =
      std::min(m_operator_state_due_at, now + kOwnReadAnnouncementDelay);
  m_executor.OnClosedZones(state.m_closed_zones, now);
  LogEvent(LogLevel::kInfo, "fleet", "operator_state_read",
           {{"revision", state.m_revision},
            {"closed_zones", JoinZones(state.m_closed_zones)}});
  m_ticker.Wake();
}

void AgentNode::OnOperatorState(const ProcessId& entry,
                                const OperatorState& state) {
  m_operator_state_peers[entry].OnReceived(state.m_revision);
  if (state.m_revision <= operator_state().m_revision) {
    if (state.m_closed_zones != operator_state().m_closed_zones) {
      m_shared_revision = operator_state().m_revision;
    }
    m_operator_state_due_at = MonoTime();
    return;
  }
  m_operator_state.Replace(state);
  m_shared_revision = state.m_revision;
  m_operator_state_due_at = MonoTime();
  m_executor.OnClosedZones(state.m_closed_zones, BootClock::now());
  LogOperatorStateReceived("entry", entry.m_name, state);
}

void AgentNode::SendOperatorState(MonoTime now) {
  if (now < m_operator_state_due_at) {
    return;
  }
  m_operator_state_due_at = MonoTime::max();
  for (auto& [entry, peer] : m_operator_state_peers) {
    if (peer.TakeDue(m_shared_revision)) {
      m_sessions.at(entry)->Send(operator_state());
    }
  }
}

void AgentNode::OnClosed(const SessionPointer& session) {
  const auto found = std::ranges::find_if(
      m_sessions, [&](const auto& item) { return item.second == session; });
  if (found == m_sessions.end()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "fleet", "entry_disconnected",
           {{"entry", found->first.m_name}});
  m_executor.OnEntryDisconnected(found->first, BootClock::now());
  m_operator_state_peers.erase(found->first);
  m_sessions.erase(found);
  m_ticker.Wake();
}

void AgentNode::Perform(const ExecutorAction& action) {
  if (const auto* send = std::get_if<SendToEntry>(&action)) {
    const auto* report = std::get_if<RunReport>(&send->m_message);
    if (report != nullptr && send->m_evidence) {
      RecordReport(send->m_entry, *report, *send->m_evidence);
    }
    const auto found = m_sessions.find(send->m_entry);
    if (found != m_sessions.end()) {
      found->second->Send(send->m_message);
    }
  } else if (const auto* start = std::get_if<StartRequest>(&action)) {
    CallRunner(*start);
  } else if (const auto* stop = std::get_if<StopRequest>(&action)) {
    CallRunner(*stop);
  } else {
    CallRunner(std::get<PollRequest>(action));
  }
}

void AgentNode::WatchConnections() {
  if (!m_runner_api.m_watch_connections) {
    return;
  }
  m_runner_api.m_watch_connections([this, alive = m_is_alive]() {
    if (*alive) {
      LogEvent(LogLevel::kInfo, "fleet", "runner_connection_lost");
      m_metrics.Count("runner_connections_lost_total");
      m_executor.OnConnectionLost(BootClock::now());
      m_ticker.Wake();
    }
  });
}

void AgentNode::CallRunner(const StartRequest& request) {
  if (request.m_retries > 0) {
    m_metrics.Count("start_retries_total");
  }
  const MonoTime now = BootClock::now();
  m_start_log.Add(request, m_executor.runner()->m_zone, KnowledgeAt(now), now);
  m_runner_api.m_start(request, [this, alive = m_is_alive,
                                 incarnation = request.m_process_incarnation,
                                 run = request.m_run](StartResult result) {
    if (*alive) {
      m_executor.OnStartRunResult(incarnation, run, result, BootClock::now());
      m_ticker.Wake();
    }
  });
}

void AgentNode::CallRunner(const StopRequest& request) {
  m_runner_api.m_stop(request, [this, alive = m_is_alive,
                                incarnation = request.m_process_incarnation,
                                run = request.m_run](StopResult result) {
    if (*alive) {
      m_executor.OnStopRunResult(incarnation, run, result, BootClock::now());
      m_ticker.Wake();
    }
  });
}

void AgentNode::CallRunner(const PollRequest& request) {
  m_runner_api.m_poll(
      request,
      [this, alive = m_is_alive, incarnation = request.m_process_incarnation,
       purpose = request.m_purpose, sent_at = request.m_sent_at](
          const std::variant<RunLists, PollFailure>& result) {
        if (*alive) {
          OnPollResult(incarnation, purpose, sent_at, result);
        }
      });
}

void AgentNode::OnPollResult(
    const RunnerIncarnation& incarnation,
    PollPurpose purpose,
    MonoTime sent_at,
    const std::variant<RunLists, PollFailure>& result) {
  const bool was_unverified = m_executor.IsUnverified(incarnation);
  m_executor.OnPollResult(incarnation, purpose, sent_at, result,
                          BootClock::now());
  if (was_unverified && !m_executor.IsUnverified(incarnation)) {
    const auto& runner = m_executor.runner();
    const bool is_runner =
        runner && runner->m_process_incarnation == incarnation;
    LogHeartbeatEvent(is_runner ? "heartbeat_verified" : "heartbeat_rejected",
                      incarnation);
    if (!is_runner) {
      m_metrics.Count("heartbeats_rejected_total");
    }
  }
  m_ticker.Wake();
}

void AgentNode::LogHeartbeatEvent(const char* event,
                                  const RunnerIncarnation& incarnation) {
  LogEvent(
      LogLevel::kInfo, "fleet", event,
      {{"runner", incarnation.m_id}, {"born_ms", incarnation.m_start_time_ms}});
}

}  // namespace comfreyshift
