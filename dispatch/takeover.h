#ifndef DISPATCH_TAKEOVER_H_
#define DISPATCH_TAKEOVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"
#include "dispatch/owner_actions.h"
#include "dispatch/partition_table.h"
#include "dispatch/table_change_tracker.h"

namespace comfreyshift {

// Takes over partitions: announces their epochs to all agents, collects the
// replies and determines when each partition may be served. Partitions gained
// with the same table share one round.
class Takeovers {
 public:
  explicit Takeovers(ProcessId self) : m_self(std::move(self)) {}

  // Starts a round for partitions that this process gained in `table`.
  void Begin(MonoTime now,
             std::shared_ptr<const PartitionTable> table,
             const std::vector<PartitionId>& partitions);

  // Starts a round for partitions that this process serves already, because an
  // agent left cleanly and other agents hold its records now. The map holds the
  // unknown_before time of each partition.
  void Recollect(MonoTime now,
                 const std::map<PartitionId, WallTime>& partitions);

  // Applies a newer table in which this process still owns the partitions.
  void SetTable(MonoTime now, std::shared_ptr<const PartitionTable> table);

  // Cancels the takeover of a partition that this process lost.
  void Cancel(PartitionId partition);

  // Returns true when the records of the reply have to be kept: the agent
  // accepted the command and its round was waiting for the agent.
  bool OnReply(MonoTime now,
               const ProcessId& from,
               const CollectCommand& command,
               const CollectReply& reply);
  void OnLost(MonoTime now,
              const ProcessId& from,
              const CollectCommand& command);

  void Tick(MonoTime now, std::vector<OwnerAction>& actions);
  MonoTime NextDeadline() const;

  struct CompletedTakeover {
    PartitionId m_partition = 0;
    WallTime m_unknown_before;
  };
  // Removes and returns the partitions whose takeover is complete.
  std::vector<CompletedTakeover> TakeCompleted(
      const TableChangeTracker& table_changes);

 private:
  struct GainedPartition {
    Epoch m_epoch = 0;
    // Proposal time of the latest table change that may have lost records.
    // Older keys without a record may have run.
    WallTime m_unknown_before;
    // The unknown_before time that the previous owner reported, if it was
    // alive, or the one known to this process when it served the partition.
    std::optional<WallTime> m_reported_unknown_before;
    // True for a round that Recollect started.
    bool m_recollected = false;
  };
  struct Round {
    std::map<PartitionId, GainedPartition> m_gained_partitions;
    // The agents that have not replied, and when the next command is sent to
    // each; MonoTime::max() while a command is in flight.
    std::map<ProcessId, MonoTime> m_awaited_agents;
  };

  void AwaitAllAgents(MonoTime now, Round& round) const;
  void RemoveDepartedAgents(Round& round) const;
  // Raises m_unknown_before for agents that were lost after a partition moved
  // and before they replied: their records may be lost like those of agents
  // that were lost before the move.
  void IncludeLossesSinceMove(Round& round) const;
  // Returns the time before which a key without a record may have run, or
  // nothing while the table change behind it may not have taken effect.
  std::optional<WallTime> ResolveUnknownBefore(
      PartitionId partition,
      const GainedPartition& gain,
      const TableChangeTracker& table_changes) const;

  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  uint64_t m_next_round = 1;
  std::map<uint64_t, Round> m_rounds;
};

}  // namespace comfreyshift

#endif  // DISPATCH_TAKEOVER_H_
