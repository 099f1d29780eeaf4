#ifndef FLEET_ENTRY_NODE_H_
#define FLEET_ENTRY_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "core/core.h"
#include "fleet/known_operator_state.h"
#include "fleet/operator_state_peer.h"
#include "fleet/store_relay.h"
#include "fleet/ticker.h"
#include "link/link.h"
#include "scheduler/scheduler.h"

namespace comfreyshift {

// Connects a JobScheduler to its agents and the main loop.
class EntryNode {
 public:
  using ResultFunction =
      std::function<void(const JobResult&, const JobDiagnostics&)>;

  explicit EntryNode(ProcessId self);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Sets the currently registered agents. Connections to other agents are kept
  // until they break, because registrations also expire when the registry is
  // failing.
  void SetAgents(const std::map<std::string, Address>& agents);
  // Sets the operator's state as read from the store. Has no effect if an agent
  // has sent newer state.
  void SetOperatorState(const OperatorState& state);
  // Sets the function that is called with the revision of newer state that an
  // agent has sent. Its closed zones are already in force then.
  void SetNewerStateFunction(std::function<void(uint64_t revision)> function) {
    m_on_newer_state = std::move(function);
  }
  // The store has answered a read of the operator's items.
  void ConfirmOperatorState(MonoTime now) { m_operator_state.Confirm(now); }
  const OperatorState& operator_state() const {
    return m_operator_state.state();
  }
  OperatorKnowledge KnowledgeAt(MonoTime now) const {
    return m_operator_state.At(now);
  }
  // Sets the ratio of a task's run time away from its data to that near it.
  void SetRemoteFactor(double factor) { m_scheduler.SetRemoteFactor(factor); }

  // Sets the bounds of what jobs hold. There are none before.
  void SetJobLimits(const JobLimits& limits) { m_scheduler.SetLimits(limits); }

  // Submits a job. `on_result` is called once, from the main loop, unless the
  // job is cancelled.
  JobHandle Submit(JobRequest request,
                   const QueueConfig& queue,
                   ResultFunction on_result);
  void Cancel(JobHandle job);
  // Rejects, from now on, the jobs that cannot be answered by `ends_at`.
  void Drain(MonoTime ends_at);
  // Answers all jobs at once, because the process ends.
  void EndAllJobs();

  // Reads from the store through up to two randomly chosen agents, for an entry
  // whose requests the store rejects or does not answer. See
  // StoreRelayFunction.
  size_t ReadThroughAgents(const std::string& request,
                           MonoTime give_up_at,
                           const StoreResponseFunction& on_response);

  // Number of jobs in `queue` none of whose runs have started.
  size_t CountWaitingJobs(const std::string& queue) const {
    return m_scheduler.CountWaitingJobs(queue);
  }
  size_t job_count() const { return m_scheduler.job_count(); }
  size_t connected_agents() const;

 private:
  struct Peer {
    Address m_address;
    std::shared_ptr<LinkSession> m_session;
    MonoTime m_connect_at;
    // False if the agent is no longer registered: it is removed once its
    // connection breaks.
    bool m_is_listed = true;
    OperatorStatePeer m_operator_state;
  };

  MonoTime Tick(MonoTime now);
  void CheckConnections(MonoTime now);
  void CheckConnection(const std::string& name, Peer& peer, MonoTime now);
  // Returns whether another registered agent has an open connection to
  // `address`. An agent keeps only the latest connection of an entry, so a
  // second one would close the first. Agents that are no longer registered
  // don't count: a new agent may have taken over their address.
  bool HasOtherSessionAt(const std::string& name, const Address& address) const;
  void Connect(const std::string& name, Peer& peer, MonoTime now);
  void OnMessage(const std::string& name, const LinkMessage& message);
  // Closes the connection if an agent of another name answers: a registration
  // may hold the address of a different agent.
  void OnWelcome(const std::string& name, const Welcome& welcome, MonoTime now);
  void OnOperatorState(const std::string& name, const OperatorState& state);
  void ApplyOperatorState(const OperatorState& state);
  // Sends the operator's state to the agents that have an older one.
  void SendOperatorState();
  void OnClosed(const std::string& name,
                const std::shared_ptr<LinkSession>& session);
  static void LogRunEnd(const std::string& agent, const RunReport& report);
  static void LogRunLost(const RunLost& lost);
  void Perform(const SchedulerAction& action);

  ProcessId m_self;
  JobScheduler m_scheduler;
  std::map<std::string, Peer> m_peers;
  MonoTime m_next_check_at;
  std::map<JobHandle, ResultFunction> m_result_callbacks;
  StoreRelay m_relay;
  KnownOperatorState m_operator_state;
  std::function<void(uint64_t revision)> m_on_newer_state;
  // Whether an agent may have older state than this process.
  bool m_is_operator_state_due = false;
  std::minstd_rand m_random;
  Ticker m_ticker;
};

}  // namespace comfreyshift

#endif  // FLEET_ENTRY_NODE_H_
