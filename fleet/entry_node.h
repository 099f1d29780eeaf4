#ifndef FLEET_ENTRY_NODE_H_
#define FLEET_ENTRY_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "core/core.h"
#include "fleet/store_relay.h"
#include "fleet/ticker.h"
#include "link/link.h"
#include "scheduler/scheduler.h"

namespace comfreyshift {

// An entry as it runs: a scheduler with a connection to each agent.
class EntryNode {
 public:
  using AnswerFunction =
      std::function<void(const JobResult&, const JobDiagnostics&)>;

  explicit EntryNode(ProcessId self);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // The agents that are registered now. Connections to others are kept while
  // they work: registrations lapse when the registry has troubles.
  void SetAgents(const std::map<std::string, Address>& agents);
  void SetClosedZones(const ClosedZones& zones);
  // Run time of a task away from its data, as a multiple of that near it.
  void SetRemoteFactor(double factor) { m_scheduler.SetRemoteFactor(factor); }

  // Hands a job in. `on_answer` is called once, from the main loop, unless the
  // job is cancelled.
  JobHandle Submit(JobRequest request,
                   const QueueConfig& queue,
                   AnswerFunction on_answer);
  void Cancel(JobHandle job);
  void Drain();

  // Reads from the store through an agent drawn at random, for an entry that
  // the store turns away. Answers with nothing if no agent is connected.
  void ReadThroughAgent(const std::string& request,
                        MonoTime give_up_at,
                        StoreAnswerFunction on_answer);

  // Jobs of a queue of which nothing has started.
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
    // Not registered any more: dropped when its connection breaks.
    bool m_is_listed = true;
  };

  MonoTime Tick(MonoTime now);
  void LookOverConnections(MonoTime now);
  void KeepConnected(const std::string& name, Peer& peer, MonoTime now);
  // Whether a listed record of another name has a connection to `address`. An
  // agent keeps only the last connection of an entry; a second one would cut
  // the first. A record that is gone may have left its address to a new agent.
  bool HasOtherSessionAt(const std::string& name, const Address& address) const;
  void Connect(const std::string& name, Peer& peer, MonoTime now);
  void OnMessage(const std::string& name, const LinkMessage& message);
  // A record may name the address of an agent of another name.
  void OnWelcome(const std::string& name, const Welcome& welcome, MonoTime now);
  void OnClosed(const std::string& name,
                const std::shared_ptr<LinkSession>& session);
  void Perform(const SchedulerAction& action);

  ProcessId m_self;
  JobScheduler m_scheduler;
  std::map<std::string, Peer> m_peers;
  MonoTime m_next_round_at;
  std::map<JobHandle, AnswerFunction> m_answers;
  StoreRelay m_relay;
  std::minstd_rand m_random;
  Ticker m_ticker;
};

}  // namespace comfreyshift

#endif  // FLEET_ENTRY_NODE_H_
