#ifndef AGENT_AGENT_PROCESS_H_
#define AGENT_AGENT_PROCESS_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/departure.h"
#include "agent/target_client.h"
#include "core/core.h"
#include "dispatch/dispatch.h"
#include "node/node.h"
#include "rpc/rpc.h"

namespace comfreyshift {

struct AgentConfig {
  NodeConfig m_node;
  OwnerConfig m_owner;
  StarterConfig m_starter;
  Address m_target_address;
  uint32_t m_target_connections = 64;
  uint64_t m_max_answer_bytes = 1ULL << 20;
};

// The agent role: feeds its owner and starter tables from peers and from the
// target, and carries out what they ask for.
class AgentProcess final : public NodeRole, public PeerHandler {
 public:
  // `runtime` must outlive the agent.
  static Result<std::unique_ptr<AgentProcess>, NodeError> Start(
      AgentConfig config,
      RpcRuntime& runtime);

  // Begins a planned stop; see Departure.
  void Drain(MonoTime deadline, std::function<void()> on_drained);

  ProcessNode& node() { return *m_node; }
  Counters& counters() { return m_counters; }

  // Returns the counters and the present gauges as Prometheus text.
  std::string RenderMetrics();
  bool ready(MonoTime now) const;

  // NodeRole:
  void OnConfigApplied(MonoTime now) override;
  void OnMembershipEvent(MonoTime now, const MembershipEvent& event) override;
  MonoTime OnTick(MonoTime now) override;

  // PeerHandler:
  void OnSubmit(Submission submission,
                Revision revision,
                Reply<SubmitReply> reply) override;
  std::optional<JobAnswer> OnFetch(const SubmissionKey& key) override;
  bool OnCancel(const SubmissionKey& key) override;
  void OnStart(StartCommand command, Reply<StartReply> reply) override;
  void OnSettle(const SettleCommand& command, Reply<StartReply> reply) override;
  void OnCancelTask(const TaskRef& task) override;
  CollectReply OnCollect(const CollectCommand& command) override;
  ConfigChanges OnConfig(Revision since) override;
  ProcessStatus OnStatus(const std::vector<std::string>& subjects) override;
  bool OnAdopt(const AdoptCommand& command) override;
  bool OnLeave(const ProcessId& member) override;

 private:
  AgentProcess(AgentConfig config, RpcRuntime& runtime);

  // Carries out one action of the owner or the starter.
  void Do(MonoTime now, const SendStart& action);
  void Do(MonoTime now, const SendSettle& action);
  void Do(MonoTime now, const SendCancel& action);
  void Do(MonoTime now, const SendCollect& action);
  void Do(MonoTime now, const SendAdopt& action);
  void Do(MonoTime now, const JobEnded& action);
  void Do(MonoTime now, const JobDropped& action);
  void Do(MonoTime now, const RunTask& action);
  void Do(MonoTime now, ReplyStart action);
  void DoOwnerActions(MonoTime now);
  void DoStarterActions(MonoTime now);

  void AnswerWaiting(const SubmissionKey& key, const SubmitReply& answer);
  void OnStartResult(const ProcessId& from,
                     const TaskRef& task,
                     Result<StartReply, RpcError> result);
  Result<StartReply, RpcError> ResolveNotSent(
      const StartCommand& command,
      Result<StartReply, RpcError> result);
  ReplyToken KeepReply(Reply<StartReply> reply);
  std::vector<std::string> SubjectsOf(const std::string& client) const;
  void NoteStart(const RunTask& task);
  void NoteEnd(const std::string& client);

  AgentConfig m_config;
  Owner m_owner;
  Starter m_starter;
  TargetClient m_target;
  Counters m_counters;
  std::unique_ptr<ProcessNode> m_node;

  // RPCs that wait for a starter's reply, and callers that wait for a job.
  std::unordered_map<ReplyToken, Reply<StartReply>> m_waiting_starts;
  ReplyToken m_next_token = 1;
  std::unordered_map<SubmissionKey, std::vector<Reply<SubmitReply>>>
      m_waiting_jobs;

  // Starts for each subject, for the proof of a retirement.
  std::map<std::string, SubjectStatus> m_subjects;
  uint64_t m_starts = 0;
  // Set once a planned stop has begun.
  std::shared_ptr<Departure> m_departure;
};

}  // namespace comfreyshift

#endif  // AGENT_AGENT_PROCESS_H_
