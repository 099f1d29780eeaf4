#ifndef ENTRY_ENTRY_PROCESS_H_
#define ENTRY_ENTRY_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "entry/admission_gate.h"
#include "entry/job_session.h"
#include "entry/store_sync.h"
#include "entry/table_keeper.h"
#include "node/node.h"
#include "rpc/rpc.h"
#include "store/store.h"

namespace comfreyshift {

struct EntryConfig {
  NodeConfig m_node;
  TableKeeperConfig m_table;
};

// The entry role without its HTTP side: reads the store, keeps the partition
// table and carries submissions to their owners. It owns no partition and runs
// no task.
class EntryProcess final : public NodeRole, public PeerHandler {
 public:
  // `runtime` must outlive the entry.
  static Result<std::unique_ptr<EntryProcess>, NodeError> Start(
      EntryConfig config,
      std::shared_ptr<StoreClient> store,
      RpcRuntime& runtime);

  // Lets a submission in by its client's quota and carries it to its owner.
  // `done` gets the whole answer.
  void Submit(Submission submission, JobSession::DoneFunction done);

  // Asks the owner of `key` for the answer of an ended job. `done` gets nothing
  // when there is none or the owner cannot be reached.
  void Fetch(const SubmissionKey& key,
             std::function<void(std::optional<JobAnswer>)> done);

  // Cancels a job at its owner. `done` gets false when the owner does not know
  // the job or cannot be reached.
  void Cancel(const SubmissionKey& key, std::function<void(bool)> done);

  ProcessNode& node() { return *m_node; }
  StoreClient& store() { return *m_store; }
  const std::shared_ptr<StoreClient>& shared_store() const { return m_store; }
  StoreSync& sync() { return *m_sync; }
  Counters& counters() { return m_counters; }

  // Returns the counters and the present gauges as Prometheus text.
  std::string RenderMetrics();
  size_t sessions() const { return m_sessions; }
  bool ready(MonoTime now) const;

  // True when an edit cannot miss a process that goes on without the store:
  // more than half of the witnesses were heard, or no agent is listed yet.
  bool SeesMajority(MonoTime now) const { return m_keeper->SeesMajority(now); }

  // Returns when more than half of the witnesses had confirmed `revision`, as
  // seen here; nothing while they have not. F later no process acts on an older
  // one.
  std::optional<WallTime> ConfirmedAt(Revision revision) const;

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
  uint32_t LiveEntries();
  void Carry(Submission submission, JobSession::DoneFunction done);

  explicit EntryProcess(std::shared_ptr<StoreClient> store);

  std::shared_ptr<StoreClient> m_store;
  Counters m_counters;
  std::unique_ptr<ProcessNode> m_node;
  std::shared_ptr<StoreSync> m_sync;
  std::shared_ptr<TableKeeper> m_keeper;
  std::unique_ptr<AdmissionGate> m_gate;
  size_t m_sessions = 0;
  // When each of the latest revisions was confirmed.
  std::map<Revision, WallTime> m_confirmed;
};

}  // namespace comfreyshift

#endif  // ENTRY_ENTRY_PROCESS_H_
