#ifndef ENTRY_TABLE_KEEPER_H_
#define ENTRY_TABLE_KEEPER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "entry/store_sync.h"
#include "node/node.h"
#include "store/store.h"

namespace comfreyshift {

struct TableKeeperConfig {
  uint32_t m_partition_count = kDefaultPartitionCount;
  Milliseconds m_retention = std::chrono::minutes(10);
};

// Keeps the partition table in the store: lets in processes that ask for it and
// moves the partitions of those that are gone. All entries run it; the store's
// compare-and-swap lets one of them write, and the others wait longer by their
// rank, so that a change costs one write as a rule.
class TableKeeper : public std::enable_shared_from_this<TableKeeper> {
 public:
  // `node` must outlive the keeper and all its calls.
  TableKeeper(TableKeeperConfig config,
              std::shared_ptr<StoreClient> store,
              std::shared_ptr<StoreSync> sync,
              ProcessNode& node);

  void OnMembershipEvent(MonoTime now, const MembershipEvent& event);
  void OnLeaveRequest(MonoTime now, const ProcessId& id);

  // Writes a change when one is due.
  void Tick(MonoTime now);
  MonoTime NextDeadline() const;

  // More than half of the witnesses were heard, or no agent is listed yet.
  bool SeesMajority(MonoTime now) const;

 private:
  void Schedule(MonoTime now);
  TableChange PendingChange() const;
  void DropDone();
  void Write(MonoTime now, const PartitionTable& table);
  void OnWritten(Result<TxnReply, StoreError> result);
  uint32_t Rank() const;

  TableKeeperConfig m_config;
  std::shared_ptr<StoreClient> m_store;
  std::shared_ptr<StoreSync> m_sync;
  ProcessNode& m_node;
  std::map<std::string, Member> m_joining;
  std::set<ProcessId> m_dead;
  std::set<ProcessId> m_leaving;
  MonoTime m_write_at = MonoTime::max();
  bool m_writing = false;
};

}  // namespace comfreyshift

#endif  // ENTRY_TABLE_KEEPER_H_
