#ifndef DISPATCH_KNOWN_RECORDS_H_
#define DISPATCH_KNOWN_RECORDS_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"
#include "dispatch/partition_table.h"

namespace comfreyshift {

// Records that an owner knows of keys for which it holds no job: collected in a
// takeover, or left from a partition that moved on.
class KnownRecords {
 public:
  // Adds a record, or keeps the one that tells more about the same task, by the
  // agents in `table`.
  void Add(const PartitionTable& table,
           PartitionId partition,
           StartRecord record);

  // Removes and returns the records of one key.
  std::vector<StartRecord> Take(PartitionId partition,
                                const SubmissionKey& key);

  // Adds the partitions with a task that still runs at one of `agents`.
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

#endif  // DISPATCH_KNOWN_RECORDS_H_
