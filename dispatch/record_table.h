#ifndef DISPATCH_RECORD_TABLE_H_
#define DISPATCH_RECORD_TABLE_H_

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"

namespace comfreyshift {

enum class RecordState : uint8_t {
  // The task must not start here under this attempt or an older one.
  kTombstone,
  kQueued,
  kRunning,
  kEnded,
};

// The reply to a command that waits for the end of a task.
struct WaitingReply {
  uint64_t m_token = 0;
  uint64_t m_attempt = 0;
};

// The record that an agent keeps of one task.
struct TaskRecord {
  RecordState m_state = RecordState::kTombstone;
  AttemptId m_attempt;
  WallTime m_first_sent;
  // The agent that started the task; not this one for an adopted record.
  ProcessId m_agent;
  TaskOutcome m_outcome;
  std::vector<WaitingReply> m_waiting;
};

// The start records of one agent by partition. A record is kept until its key
// can no longer be submitted.
class RecordTable {
 public:
  explicit RecordTable(Milliseconds retention) : m_retention(retention) {}

  // Raises the highest epoch seen of a partition to `epoch`. Returns false when
  // a higher epoch was seen.
  bool ObserveEpoch(PartitionId partition, Epoch epoch);
  // Returns false when a higher epoch than `epoch` was seen.
  bool IsCurrent(PartitionId partition, Epoch epoch) const;

  // Returns the record, or null.
  TaskRecord* Find(PartitionId partition, const TaskRef& task);
  // Returns the record. A new one is a tombstone that covers no attempt.
  TaskRecord& Add(PartitionId partition,
                  const TaskRef& task,
                  WallTime first_sent);

  // Appends the records of started tasks and of refused jobs.
  void Collect(PartitionId partition, std::vector<StartRecord>& records) const;
  std::vector<StartRecord> CollectAll() const;

  // Removes records whose keys are too old to be submitted to any process.
  // Records of running and queued tasks are kept until the task has ended.
  void Expire(WallTime wall_now);

  // True if a key sent first at `first_sent` is too old to start.
  bool IsExpired(WallTime wall_now, WallTime first_sent) const {
    return wall_now > first_sent + m_retention;
  }

  size_t size() const { return m_size; }

 private:
  struct PartitionRecords {
    Epoch m_epoch = 0;
    std::unordered_map<TaskRef, TaskRecord> m_records;
  };
  struct Expiry {
    WallTime m_at;
    PartitionId m_partition = 0;
    TaskRef m_task;

    bool operator>(const Expiry& other) const { return m_at > other.m_at; }
  };

  Milliseconds m_retention;
  std::unordered_map<PartitionId, PartitionRecords> m_partitions;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
  size_t m_size = 0;
};

}  // namespace comfreyshift

#endif  // DISPATCH_RECORD_TABLE_H_
