#include "fleet/entry_node.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kReconnectDelay{100};
// Delay before reconnecting to an address at which an agent of another name has
// answered.
constexpr Milliseconds kWrongAgentRetryDelay{5000};
// Number of agents that make the same read of the store at the same time: one
// of them may be cut off from the store as well.
constexpr size_t kAgentsPerRead = 2;
// Interval between checks of all connections. Checking them at every tick took
// a seventh of an entry's run time with 66 agents.
constexpr Milliseconds kConnectionCheckInterval{20};

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

EntryNode::EntryNode(ProcessId self)
    : m_self(std::move(self)),
      m_scheduler(static_cast<uint64_t>(WallNow().time_since_epoch().count()),
                  std::hash<std::string>()(m_self.m_name),
                  BootClock::now()),
      m_random(std::hash<std::string>()(m_self.m_name)),
      m_ticker([this](MonoTime now) { return Tick(now); }) {}

EntryNode::~EntryNode() {
  for (auto& [name, peer] : m_peers) {
    if (peer.m_session) {
      peer.m_session->Close();
    }
  }
}

void EntryNode::SetAgents(const std::map<std::string, Address>& agents) {
  for (auto& [name, peer] : m_peers) {
    peer.m_is_listed = agents.contains(name);
  }
  for (const auto& [name, address] : agents) {
    Peer& peer = m_peers[name];
    if (peer.m_address != address && peer.m_session) {
      peer.m_session->Close();
      peer.m_connect_at = MonoTime();
      m_scheduler.OnAgentDisconnected(name, BootClock::now());
    }
    peer.m_address = address;
  }
  m_next_check_at = MonoTime();
  m_ticker.Wake();
}

void EntryNode::SetOperatorState(const OperatorState& state) {
  ApplyOperatorState(state);
}

void EntryNode::ApplyOperatorState(const OperatorState& state) {
  if (!m_operator_state.Replace(state)) {
    return;
  }
  m_is_operator_state_due = true;
  m_scheduler.OnClosedZones(state.m_closed_zones);
  m_ticker.Wake();
}

JobHandle EntryNode::Submit(JobRequest request,
                            const QueueConfig& queue,
                            ResultFunction on_result) {
  const JobHandle job =
      m_scheduler.Submit(std::move(request), queue, BootClock::now());
  m_result_callbacks[job] = std::move(on_result);
  m_ticker.Wake();
  return job;
}

void EntryNode::Cancel(JobHandle job) {
  m_result_callbacks.erase(job);
  m_scheduler.Cancel(job, BootClock::now());
  m_ticker.Wake();
}

void EntryNode::Drain(MonoTime ends_at) {
  m_scheduler.Drain(ends_at);
  m_ticker.Wake();
}

void EntryNode::EndAllJobs() {
  m_scheduler.EndAllJobs(BootClock::now());
  m_ticker.Wake();
}

size_t EntryNode::ReadThroughAgents(const std::string& request,
                                    MonoTime give_up_at,
                                    const StoreResponseFunction& on_response) {
  std::vector<std::string> chosen;
  for (const auto& [name, peer] : m_peers) {
    const AgentView* agent = m_scheduler.FindAgent(name);
    if (agent != nullptr && agent->m_is_connected) {
      chosen.push_back(name);
    }
  }
  std::ranges::shuffle(chosen, m_random);
  // Agents that got no response either are asked only if there are no others.
  std::stable_partition(
      chosen.begin(), chosen.end(),
      [this](const std::string& name) { return !m_relay.HasFailed(name); });
  chosen.resize(std::min(chosen.size(), kAgentsPerRead));
  for (const std::string& name : chosen) {
    m_peers.at(name).m_session->Send(
        m_relay.CreateRead(name, request, give_up_at, on_response));
  }
  m_ticker.Wake();
  return chosen.size();
}

size_t EntryNode::connected_agents() const {
  return static_cast<size_t>(std::ranges::count_if(
      m_scheduler.agents().agents(),
      [](const auto& a) { return a.second.m_is_connected; }));
}

MonoTime EntryNode::Tick(MonoTime now) {
  m_relay.Expire(now);
  if (now >= m_next_check_at) {
    m_next_check_at = now + kConnectionCheckInterval;
    CheckConnections(now);
  }
  // Before any StartRun of this tick.
  SendOperatorState();
  for (const SchedulerAction& action : m_scheduler.Tick(now)) {
    Perform(action);
  }
  LinkSession::FlushAll();
  return std::min({m_scheduler.NextDeadline(now), m_relay.NextDeadline(),
                   now + kReconnectDelay});
}

void EntryNode::CheckConnections(MonoTime now) {
  std::erase_if(m_peers, [this](const auto& item) {
    const Peer& peer = item.second;
    const bool is_gone = !peer.m_is_listed && peer.m_session != nullptr &&
                         !peer.m_session->is_open();
    if (is_gone) {
      m_scheduler.OnAgentRemoved(item.first);
    }
    return is_gone;
  });
  for (auto& [name, peer] : m_peers) {
    CheckConnection(name, peer, now);
  }
}

void EntryNode::CheckConnection(const std::string& name,
                                Peer& peer,
                                MonoTime now) {
  const bool is_open = peer.m_session && peer.m_session->is_open();
  // TCP may never close the connection to an unresponsive agent.
  if (is_open && now >= m_scheduler.SilenceDeadline(
                            name, peer.m_session->last_received())) {
    LogEvent(LogLevel::kInfo, "fleet", "agent_silent", {{"agent", name}});
    peer.m_session->Close();
    m_scheduler.OnAgentDisconnected(name, now);
    m_relay.OnAgentLost(name);
  }
  const bool is_closed = !peer.m_session || !peer.m_session->is_open();
  if (is_closed && now >= peer.m_connect_at &&
      !HasOtherSessionAt(name, peer.m_address)) {
    Connect(name, peer, now);
  }
}

bool EntryNode::HasOtherSessionAt(const std::string& name,
                                  const Address& address) const {
  return std::ranges::any_of(m_peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return item.first != name && peer.m_is_listed &&
           peer.m_address == address && peer.m_session &&
           peer.m_session->is_open();
  });
}

void EntryNode::Connect(const std::string& name, Peer& peer, MonoTime now) {
  peer.m_connect_at = now + kReconnectDelay;
  peer.m_operator_state = OperatorStatePeer();
  peer.m_session = LinkSession::Connect(
      peer.m_address,
      [this, name](const std::shared_ptr<LinkSession>&,
                   const LinkMessage& message) { OnMessage(name, message); },
      [this, name](const std::shared_ptr<LinkSession>& session) {
        OnClosed(name, session);
      });
  peer.m_session->Send(Hello{m_self});
}

void EntryNode::OnMessage(const std::string& name, const LinkMessage& message) {
  const MonoTime now = BootClock::now();
  std::visit(
      Overloaded{
          [&](const Welcome& welcome) { OnWelcome(name, welcome, now); },
          [&](const RunnerStatus& status) {
            m_scheduler.OnStatus(name, status, now);
          },
          [&](const RunReport& report) {
            LogRunEnd(name, report);
            m_scheduler.OnReport(name, report, now);
          },
          [&](const RelayAnswer& response) { m_relay.OnRelayAnswer(response); },
          [&](const OperatorState& state) { OnOperatorState(name, state); },
          [&](const auto&) {
            LogEvent(LogLevel::kWarning, "fleet", "unexpected_message",
                     {{"agent", name}});
          },
      },
      message);
  m_ticker.Wake();
}

void EntryNode::OnWelcome(const std::string& name,
                          const Welcome& welcome,
                          MonoTime now) {
  if (welcome.m_agent.m_name != name) {
    LogEvent(LogLevel::kWarning, "fleet", "agent_misnamed",
             {{"agent", name}, {"answered", welcome.m_agent.m_name}});
    if (const auto found = m_peers.find(name); found != m_peers.end()) {
      found->second.m_session->Close();
      found->second.m_connect_at = now + kWrongAgentRetryDelay;
    }
    return;
  }
  LogEvent(LogLevel::kInfo, "fleet", "agent_connected",
           {{"agent", name}, {"incarnation", welcome.m_agent.m_incarnation}});
  if (const auto found = m_peers.find(name); found != m_peers.end()) {
    found->second.m_operator_state = OperatorStatePeer(welcome.m_version);
    m_is_operator_state_due = true;
  }
  m_scheduler.OnAgentConnected(name, welcome.m_agent, now);
}

void EntryNode::OnOperatorState(const std::string& name,
                                const OperatorState& state) {
  if (const auto found = m_peers.find(name); found != m_peers.end()) {
    found->second.m_operator_state.OnReceived(state.m_revision);
  }
  if (state.m_revision <= operator_state().m_revision) {
    return;
  }
  LogOperatorStateReceived("agent", name, state);
  ApplyOperatorState(state);
  if (m_on_newer_state) {
    m_on_newer_state(state.m_revision);
  }
}

void EntryNode::SendOperatorState() {
  if (!std::exchange(m_is_operator_state_due, false)) {
    return;
  }
  for (auto& [name, peer] : m_peers) {
    if (peer.m_operator_state.TakeDue(operator_state().m_revision)) {
      peer.m_session->Send(operator_state());
    }
  }
}

void EntryNode::OnClosed(const std::string& name,
                         const std::shared_ptr<LinkSession>& session) {
  const auto found = m_peers.find(name);
  if (found == m_peers.end() || found->second.m_session != session) {
    return;
  }
  const AgentView* agent = m_scheduler.FindAgent(name);
  if (agent != nullptr && agent->m_is_connected) {
    LogEvent(LogLevel::kInfo, "fleet", "agent_disconnected", {{"agent", name}});
  }
  m_scheduler.OnAgentDisconnected(name, BootClock::now());
  m_relay.OnAgentLost(name);
  m_ticker.Wake();
}

void EntryNode::LogRunEnd(const std::string& agent, const RunReport& report) {
  if (report.m_outcome == RunOutcome::kDone) {
    return;
  }
  LogEvent(LogLevel::kInfo, "fleet", "run_not_done",
           {{"job", report.m_run.m_task.m_job},
            {"index", uint64_t{report.m_run.m_task.m_index}},
            {"run", report.m_run.m_number},
            {"agent", agent},
            {"outcome", std::string(ToString(report.m_outcome))}});
}

void EntryNode::LogRunLost(const RunLost& lost) {
  LogEvent(LogLevel::kInfo, "fleet", "run_lost",
           {{"job", lost.m_run.m_task.m_job},
            {"index", uint64_t{lost.m_run.m_task.m_index}},
            {"run", lost.m_run.m_number},
            {"agent", lost.m_agent},
            {"reason", std::string(ToString(lost.m_reason))}});
}

void EntryNode::Perform(const SchedulerAction& action) {
  if (const auto* send = std::get_if<SendToAgent>(&action)) {
    const auto found = m_peers.find(send->m_agent);
    if (found != m_peers.end() && found->second.m_session) {
      LinkMessage message = send->m_message;
      if (auto* start = std::get_if<StartRun>(&message)) {
        start->m_decided_on = KnowledgeAt(BootClock::now());
      }
      found->second.m_session->Send(std::move(message));
    }
    return;
  }
  if (const auto* lost = std::get_if<RunLost>(&action)) {
    LogRunLost(*lost);
    return;
  }
  const auto& result = std::get<SendJobResult>(action);
  const auto found = m_result_callbacks.find(result.m_job);
  if (found != m_result_callbacks.end()) {
    const ResultFunction on_result = std::move(found->second);
    m_result_callbacks.erase(found);
    on_result(result.m_outcome, result.m_diagnostics);
  }
}

}  // namespace comfreyshift
