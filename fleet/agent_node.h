#ifndef FLEET_AGENT_NODE_H_
#define FLEET_AGENT_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "core/core.h"
#include "executor/executor.h"
#include "fleet/known_operator_state.h"
#include "fleet/node_metrics.h"
#include "fleet/operator_state_peer.h"
#include "fleet/start_log.h"
#include "fleet/store_relay.h"
#include "fleet/ticker.h"
#include "link/link.h"

namespace comfreyshift {

// Functions that send requests to a runner. Each invokes its callback exactly
// once, from the main loop.
struct RunnerApi {
  std::function<void(const StartRequest&, std::function<void(StartResult)>)>
      m_start;
  std::function<void(const StopRequest&, std::function<void(StopResult)>)>
      m_stop;
  std::function<void(
      const PollRequest&,
      std::function<void(const std::variant<RunLists, PollFailure>&)>)>
      m_poll;
  // Sets the function to call when a connection to the runner that the agent
  // did not close has ended, was refused, or none is left. Without this
  // function, a restart of the runner shows by its lists alone.
  std::function<void(std::function<void()>)> m_watch_connections = nullptr;
};

// Connects a RunExecutor to its entries, its runner and the main loop.
class AgentNode {
 public:
  // `token` is the fencing token of this incarnation of the agent, which keeps
  // requests of earlier incarnations from taking effect.
  AgentNode(ProcessId self,
            uint64_t token,
            RunnerApi runner_api,
            NodeMetrics& metrics);
  ~AgentNode();
  AgentNode(const AgentNode&) = delete;
  AgentNode& operator=(const AgentNode&) = delete;

  // Starts to accept connections from entries. Returns false and logs the
  // reason if listening on `address` fails.
  bool Listen(const Address& address);

  // Handles a heartbeat. Returns false if it is out of date, or not verified
  // yet to be the runner's.
  bool OnHeartbeat(const RunnerHeartbeat& report);
  // Whether the state that `heartbeat` reports has been taken over.
  bool HasTakenOver(const RunnerHeartbeat& heartbeat) const {
    return m_executor.HasTakenOver(heartbeat);
  }
  // Returns whether no runner remains.
  bool OnRunnerLeft(const std::string& runner_id);
  void Drain();

  // Bounds the connections accepted from now on and charges them to `budget`.
  void SetClientBudget(std::shared_ptr<ClientBudget> budget) {
    m_link_admission = std::make_shared<LinkAdmission>(std::move(budget));
  }

  // Sets the longest lease that the runner grants.
  void SetMaxRunnerLease(Milliseconds lease) {
    m_executor.SetMaxRunnerLease(lease);
  }

  // Sets the function that serves RelayRead messages of entries. Without one,
  // they are answered as failed.
  void SetStoreRead(StoreReadFunction read) { m_store_read = std::move(read); }

  // Sets the operator's state as read from the store. Has no effect if an entry
  // has sent newer state.
  void SetOperatorState(const OperatorState& state);
  // The store has answered a read of the closed zones.
  void ConfirmOperatorState(MonoTime now) { m_operator_state.Confirm(now); }
  // The newest operator state that is known; of revision 0 before the first.
  const OperatorState& operator_state() const {
    return m_operator_state.state();
  }
  OperatorKnowledge KnowledgeAt(MonoTime now) const {
    return m_operator_state.At(now);
  }
  bool has_runs() const { return m_executor.has_runs(); }
  // Updates the metrics of the runner and the connections.
  void UpdateMetrics();

 private:
  using SessionPointer = std::shared_ptr<LinkSession>;

  MonoTime Tick(MonoTime now);
  void CloseIdleSessions(MonoTime now);
  void OnAccepted(GSocketConnection* connection);
  void OnMessage(const SessionPointer& session, const LinkMessage& message);
  void OnHello(const SessionPointer& session, const Hello& hello);
  void OnRelayRead(const SessionPointer& session, const RelayRead& read);
  void OnOperatorState(const ProcessId& entry, const OperatorState& state);
  void OnStartRun(const ProcessId& entry, const StartRun& start, MonoTime now);
  // Sends the operator's state to the entries that have an older one.
  void SendOperatorState(MonoTime now);
  void OnClosed(const SessionPointer& session);
  // Returns the entry at the other end of `session`, or null if its Hello has
  // not arrived.
  const ProcessId* FindEntry(const SessionPointer& session) const;
  void Perform(const ExecutorAction& action);
  void RecordReport(const ProcessId& entry,
                    const RunReport& report,
                    EndEvidence evidence);
  void LogAcceptingChange(MonoTime now);
  void WatchConnections();
  void CallRunner(const StartRequest& request);
  void CallRunner(const StopRequest& request);
  void CallRunner(const PollRequest& request);
  void OnPollResult(const RunnerIncarnation& incarnation,
                    PollPurpose purpose,
                    MonoTime sent_at,
                    const std::variant<RunLists, PollFailure>& result);
  static void LogHeartbeatEvent(const char* event,
                                const RunnerIncarnation& incarnation);

  RunExecutor m_executor;
  RunnerApi m_runner_api;
  StoreReadFunction m_store_read;
  NodeMetrics& m_metrics;
  // Null until SetClientBudget: connections are not bounded.
  std::shared_ptr<LinkAdmission> m_link_admission;
  std::unique_ptr<LinkListener> m_listener;
  MonoTime m_next_idle_check_at;
  bool m_was_accepting = false;
  // Connections whose Hello has arrived.
  std::map<ProcessId, SessionPointer> m_sessions;
  KnownOperatorState m_operator_state;
  // Revision of the newest state that entries may not have. Reads that show no
  // change do not raise it.
  uint64_t m_shared_revision = 0;
  // Entries of m_sessions.
  std::map<ProcessId, OperatorStatePeer> m_operator_state_peers;
  // When entries that may have older state than this process are sent its own;
  // MonoTime::max() if there are none.
  MonoTime m_operator_state_due_at = MonoTime::max();
  StartLog m_start_log;
  // Set to false by the destructor, so that callbacks invoked later do nothing.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
  Ticker m_ticker;
};

}  // namespace comfreyshift

#endif  // FLEET_AGENT_NODE_H_
