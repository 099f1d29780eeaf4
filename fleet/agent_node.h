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
#include "fleet/node_metrics.h"
#include "fleet/store_relay.h"
#include "fleet/ticker.h"
#include "link/link.h"

namespace comfreyshift {

// The calls to a runner. Each calls back once, from the main loop.
struct RunnerCalls {
  std::function<void(const StartRequest&, std::function<void(StartResult)>)>
      m_start;
  std::function<void(const StopRequest&, std::function<void(StopResult)>)>
      m_stop;
  std::function<void(
      const PollRequest&,
      std::function<void(const std::variant<RunLists, PollFailure>&)>)>
      m_look;
};

// An agent as it runs: an executor with a connection from each entry.
class AgentNode {
 public:
  // `token` fences orders of earlier runs of this agent.
  AgentNode(ProcessId self,
            uint64_t token,
            RunnerCalls calls,
            NodeMetrics& metrics);
  ~AgentNode();
  AgentNode(const AgentNode&) = delete;
  AgentNode& operator=(const AgentNode&) = delete;

  // Starts to accept entries; returns false when the address is in use.
  bool Listen(const Address& address);

  // Returns false for a heartbeat that is out of date.
  bool OnHeartbeat(const RunnerHeartbeat& report);
  void OnRunnerLeft(const std::string& runner_id);
  void Drain();

  // Reads from the store for entries that ask for it.
  void SetStoreRead(StoreReadFunction read) { m_store_read = std::move(read); }

  bool has_runs() const { return m_executor.has_runs(); }
  // Puts the present room and pace into the metrics.
  void UpdateMetrics();

 private:
  using SessionPointer = std::shared_ptr<LinkSession>;

  MonoTime Tick(MonoTime now);
  void CloseSilent(MonoTime now);
  void OnAccepted(GSocketConnection* connection);
  void OnMessage(const SessionPointer& session, const LinkMessage& message);
  void OnHello(const SessionPointer& session, const Hello& hello);
  void OnRelayRead(const SessionPointer& session, const RelayRead& read);
  void OnClosed(const SessionPointer& session);
  // Returns the entry at the other end, or null before its Hello.
  const ProcessId* EntryOf(const SessionPointer& session) const;
  void Perform(const ExecutorAction& action);
  void NoteReport(const ProcessId& entry, const RunReport& report);
  void NoteAccepting(MonoTime now);
  void Order(const StartRequest& order);
  void Order(const StopRequest& order);
  void Order(const PollRequest& order);

  RunExecutor m_executor;
  RunnerCalls m_calls;
  StoreReadFunction m_store_read;
  NodeMetrics& m_metrics;
  std::unique_ptr<LinkListener> m_listener;
  bool m_was_accepting = false;
  // Entries whose Hello has arrived.
  std::map<ProcessId, SessionPointer> m_sessions;
  // Cleared on destruction; answers that arrive later are dropped.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
  Ticker m_ticker;
};

}  // namespace comfreyshift

#endif  // FLEET_AGENT_NODE_H_
