#ifndef DISPATCH_UNCLAIMED_RECORDS_H_
#define DISPATCH_UNCLAIMED_RECORDS_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"
#include "dispatch/partition_table.h"

namespace comfreyshift {

// Start records of keys for which the owner has no job. They were collected in
// a takeover, or belong to a partition that moved to another owner.
class UnclaimedRecords {
 public:
  // Adds a record. Of two records of the same task, keeps the one with more
  // information, which depends on the agents listed in `table`.
  void Add(const PartitionTable& table,
           PartitionId partition,
           StartRecord record);

  // Removes and returns the records of one key.
  std::vector<StartRecord> Take(PartitionId partition,
                                const SubmissionKey& key);

  // Adds to `partitions` those with a task that still runs at one of `agents`.
  void FindRunningAt(const std::set<ProcessId>& agents,
                     std::set<PartitionId>& partitions) const;

  void Append(PartitionId partition, std::vector<StartRecord>& records) const;
  void AppendAll(std::vector<StartRecord>& records) const;

  // Removes the records of keys first sent before `oldest`.
  void Expire(WallTime oldest);

  size_t size() const { return m_size; }

 private:
  using Records = std::unordered_map<TaskRef, StartRecord>;
  using Keys = std::unordered_map<SubmissionKey, Records>;

  std::unordered_map<PartitionId, Keys> m_partitions;
  size_t m_size = 0;
};

}  // namespace comfreyshift

#endif  // DISPATCH_UNCLAIMED_RECORDS_H_
