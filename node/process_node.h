#ifndef NODE_PROCESS_NODE_H_
#define NODE_PROCESS_NODE_H_

#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "membership/membership.h"
#include "net/net.h"
#include "node/config_view.h"
#include "node/datagram_socket.h"
#include "rpc/rpc.h"

namespace comfreyshift {

struct NodeConfig {
  Member m_self;
  std::string m_fleet_key;
  // Addresses of entries that a process asks to be let in.
  std::vector<Address> m_seeds;
  MembershipConfig m_membership;
  uint64_t m_seed = 1;
};

struct NodeError {
  std::string m_message;
};

// The role's part in the node's loop.
class NodeRole {
 public:
  virtual ~NodeRole() = default;

  // Inventory or partition table are new.
  virtual void OnConfigApplied(MonoTime now) = 0;
  virtual void OnMembershipEvent(MonoTime now,
                                 const MembershipEvent& event) = 0;

  // Runs the role's systems. Returns when they have to run next.
  virtual MonoTime OnTick(MonoTime now) = 0;
};

// One process of the system: its failure detector, its replica of the
// configuration, and its calls to and from peers. All processes listen for
// datagrams and for RPC on the same address and port number, so that one
// address names a peer.
class ProcessNode {
 public:
  // `runtime`, `role` and `handler` must outlive the node.
  static Result<std::unique_ptr<ProcessNode>, NodeError> Start(
      NodeConfig config,
      RpcRuntime& runtime,
      NodeRole& role,
      PeerHandler& handler);

  // Applies changes up to their revision and makes them current here. Changes
  // that are not newer than what is applied, or do not follow it, are ignored.
  void ApplyChanges(const ConfigChanges& changes);

  // Returns all keys that changed after `since`.
  ConfigChanges ChangesSince(Revision since) const;

  // Revision of the last write of a configuration key that is applied here.
  Revision ModRevision(const std::string& key) const {
    return m_replica.ModRevision(key);
  }

  // Adds the gauges that both roles have to `counters` and returns all of it as
  // Prometheus text.
  std::string RenderMetrics(Counters& counters,
                            const ProcessStatus& status) const;

  // Runs a tick in the loop's next turn.
  void Wake();

  // The end of the proof that the applied revision is current, or a time in the
  // past when this process may not start or place work at all.
  MonoTime FreshUntil(MonoTime now) const;

  const Member& self() const { return m_config.m_self; }
  Revision applied_revision() const { return m_applied; }
  const ConfigView& view() const { return m_view; }
  Membership& membership() { return m_membership; }
  PeerClient& peers() { return m_peers; }

 private:
  ProcessNode(NodeConfig config, RpcRuntime& runtime, NodeRole& role);

  void Tick();
  void HandleEvents(MonoTime now);
  void FetchConfig(MonoTime now, const NewerRevisionSeen& event);
  void SendDatagrams();

  NodeConfig m_config;
  NodeRole& m_role;
  Membership m_membership;
  ConfigView m_view;
  ConfigReplica m_replica;
  Revision m_applied = 0;
  MonoTime m_fetch_deadline;
  PeerClient m_peers;
  std::unique_ptr<DatagramSocket> m_socket;
  std::unique_ptr<PeerServer> m_server;
  LoopTimer m_timer;
};

// Returns the address for calls to a listed member.
PeerAddress ToPeer(const Member& member);

}  // namespace comfreyshift

#endif  // NODE_PROCESS_NODE_H_
