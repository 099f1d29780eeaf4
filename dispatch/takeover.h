#ifndef DISPATCH_TAKEOVER_H_
#define DISPATCH_TAKEOVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"
#include "dispatch/change_log.h"
#include "dispatch/owner_actions.h"
#include "dispatch/partition_table.h"

namespace comfreyshift {

// Takes partitions over: announces their epochs to all agents, and tells when
// each partition may be served. Partitions gained by one table share a round.
class Takeovers {
 public:
  explicit Takeovers(ProcessId self) : m_self(std::move(self)) {}

  // Starts a round for partitions that this process owns in `table`.
  void Begin(MonoTime now,
             std::shared_ptr<const PartitionTable> table,
             const std::vector<PartitionId>& partitions);

  // Starts a round for partitions that this process serves, because an agent
  // left cleanly whose records are elsewhere now. Each has its unknown_before.
  void Recheck(MonoTime now, const std::map<PartitionId, WallTime>& partitions);

  // Takes a newer table, in which this process still owns the partitions.
  void SetTable(MonoTime now, std::shared_ptr<const PartitionTable> table);

  // Gives up a partition that moved on.
  void Cancel(PartitionId partition);

  // Returns true when the agent's records are those that the round waits for.
  bool OnReply(MonoTime now,
               const ProcessId& from,
               const CollectCommand& command,
               const CollectReply& reply);
  void OnLost(MonoTime now,
              const ProcessId& from,
              const CollectCommand& command);

  void Tick(MonoTime now, std::vector<OwnerAction>& actions);
  MonoTime NextDeadline() const;

  struct Served {
    PartitionId m_partition = 0;
    WallTime m_unknown_before;
  };
  // Removes and returns the partitions whose takeover is complete.
  std::vector<Served> TakeCompleted(const ChangeLog& log);

 private:
  struct Gain {
    Epoch m_epoch = 0;
    // Proposal time of the latest change that makes older keys unknown.
    WallTime m_unknown_before;
    // What the owner before told, when it was alive, or what this one knew.
    std::optional<WallTime> m_history;
    bool m_rechecked = false;
  };
  struct Round {
    std::map<PartitionId, Gain> m_gains;
    // The agents without a reply yet, and when each is asked next; the latest
    // time while a command is out.
    std::map<ProcessId, MonoTime> m_awaited;
  };

  void AwaitAllAgents(MonoTime now, Round& round) const;
  void RemoveGoneAgents(Round& round) const;
  // Agents lost after a partition moved and before they told their records
  // make keys unknown like those lost before.
  void CountLostSinceMove(Round& round) const;
  std::optional<WallTime> UnknownBeforeOf(PartitionId partition,
                                          const Gain& gain,
                                          const ChangeLog& log) const;

  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  uint64_t m_next_round = 1;
  std::map<uint64_t, Round> m_rounds;
};

}  // namespace comfreyshift

#endif  // DISPATCH_TAKEOVER_H_
