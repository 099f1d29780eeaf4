#include "node/process_node.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// A fetch of the configuration from a peer that takes longer is given up; the
// next ack that shows a newer revision starts another.
constexpr Milliseconds kFetchTimeout{2000};

PeerAddress PeerOf(const Member& member) {
  return ToPeer(member);
}

PeerAddress PeerOf(const Address& address) {
  return {{"peer " + address.ToString(), 0}, address};
}

}  // namespace

PeerAddress ToPeer(const Member& member) {
  return {member.m_id, member.m_rpc_address};
}

Result<std::unique_ptr<ProcessNode>, NodeError> ProcessNode::Start(
    NodeConfig config,
    RpcRuntime& runtime,
    NodeRole& role,
    PeerHandler& handler) {
  std::unique_ptr<ProcessNode> node(
      new ProcessNode(std::move(config), runtime, role));
  ProcessNode* raw = node.get();
  auto socket = DatagramSocket::Bind(
      node->self().m_datagram_address,
      [raw](const Address& from, std::span<const uint8_t> bytes) {
        raw->m_membership.OnDatagram(BootClock::now(), from, bytes);
        raw->Wake();
      });
  if (!socket) {
    return NodeError{socket.error().m_message};
  }
  node->m_socket = std::move(socket.value());
  auto server = PeerServer::Listen(runtime, node->self().m_rpc_address,
                                   node->m_config.m_fleet_key, handler);
  if (!server) {
    return NodeError{server.error().m_message};
  }
  node->m_server = std::move(server.value());
  node->Wake();
  return node;
}

ProcessNode::ProcessNode(NodeConfig config, RpcRuntime& runtime, NodeRole& role)
    : m_config(std::move(config)),
      m_role(role),
      m_membership(m_config.m_membership,
                   m_config.m_self,
                   m_config.m_seed,
                   BootClock::now()),
      m_peers(runtime, m_config.m_fleet_key),
      m_timer([this]() { Tick(); }) {
  m_membership.SetSeeds(m_config.m_seeds);
}

void ProcessNode::ApplyChanges(const ConfigChanges& changes) {
  if (changes.m_revision <= m_applied) {
    return;
  }
  const MonoTime now = BootClock::now();
  const auto changed_keys = m_replica.Apply(changes);
  if (!changed_keys) {
    LogEvent(LogLevel::kError, "config", "changes_rejected",
             {{"revision", changes.m_revision},
              {"reason", changed_keys.error().m_message}});
    return;
  }
  const Revision table_before = m_view.table_revision();
  m_view.Apply(m_replica, changed_keys.value());
  m_applied = changes.m_revision;
  if (m_view.table_revision() != table_before) {
    m_membership.SetMembers(now, m_view.table_revision(),
                            m_view.table()->m_members,
                            m_view.table()->m_earlier_witnesses);
  }
  // The role drops what the new configuration forbids before this process
  // claims to apply it.
  m_role.OnConfigApplied(now);
  m_membership.SetAppliedRevision(now, m_applied);
  LogEvent(LogLevel::kInfo, "config", "applied", {{"revision", m_applied}});
  Wake();
}

ConfigChanges ProcessNode::ChangesSince(Revision since) const {
  return m_replica.ChangesSince(since);
}

std::string ProcessNode::RenderMetrics(Counters& counters,
                                       const ProcessStatus& status) const {
  counters.Set("revision", static_cast<double>(status.m_revision));
  counters.Set("proof_left_seconds",
               std::chrono::duration<double>(status.m_fresh_left).count());
  counters.Set("tasks_running", status.m_running);
  counters.Set("tasks_queued", status.m_queued);
  counters.Set("jobs_running", status.m_jobs);
  const MembershipCounters& traffic = m_membership.counters();
  counters.Set("datagrams_sent", static_cast<double>(traffic.m_sent));
  counters.Set("datagram_bytes_sent",
               static_cast<double>(traffic.m_sent_bytes));
  counters.Set("datagram_bytes_received",
               static_cast<double>(traffic.m_received_bytes));
  return counters.RenderPrometheus();
}

void ProcessNode::Wake() {
  m_timer.Set(BootClock::now());
}

MonoTime ProcessNode::FreshUntil(MonoTime now) const {
  return m_membership.MayStart(now) ? m_membership.FreshUntil()
                                    : MonoTime::min();
}

void ProcessNode::Tick() {
  const MonoTime now = BootClock::now();
  m_membership.Tick(now);
  HandleEvents(now);
  const MonoTime role_deadline = m_role.OnTick(now);
  SendDatagrams();
  m_timer.Set(std::min(role_deadline, m_membership.NextDeadline()));
}

void ProcessNode::HandleEvents(MonoTime now) {
  for (const MembershipEvent& event : m_membership.TakeEvents()) {
    if (const auto* newer = std::get_if<NewerRevisionSeen>(&event)) {
      FetchConfig(now, *newer);
      continue;
    }
    if (const auto* dead = std::get_if<MemberDead>(&event)) {
      // Calls to a peer that is gone must end, so that they can be settled.
      m_peers.Close(dead->m_id);
    }
    m_role.OnMembershipEvent(now, event);
  }
}

void ProcessNode::FetchConfig(MonoTime now, const NewerRevisionSeen& event) {
  if (event.m_revision <= m_applied || now < m_fetch_deadline) {
    return;
  }
  m_fetch_deadline = now + kFetchTimeout;
  const PeerAddress peer =
      std::visit([](const auto& from) { return PeerOf(from); }, event.m_peer);
  m_peers.Config(peer, m_applied, m_fetch_deadline,
                 [this](Result<ConfigChanges, RpcError> result) {
                   m_fetch_deadline = MonoTime();
                   if (result) {
                     ApplyChanges(result.value());
                   }
                 });
}

void ProcessNode::SendDatagrams() {
  for (const OutboundDatagram& datagram : m_membership.TakeDatagrams()) {
    m_socket->Send(datagram.m_to, datagram.m_bytes);
  }
}

}  // namespace comfreyshift
