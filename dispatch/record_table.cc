#include "dispatch/record_table.h"

#include <utility>

namespace comfreyshift {

namespace {

// Records are kept this long past the retention, because the clocks of the
// agent and of the owner that accepts the key may differ by the clock error, in
// either direction.
constexpr Milliseconds kExpiryMargin = 2 * kAllowedClockError;

// The expiry of a queued or running task is postponed by this time.
constexpr Milliseconds kExpiryRetry = std::chrono::seconds(10);

bool IsRefusal(const TaskRef& task) {
  return task.m_index == kWholeJob;
}

void Append(const TaskRef& task,
            const TaskRecord& record,
            std::vector<StartRecord>& records) {
  if (record.m_state == RecordState::kTombstone && !IsRefusal(task)) {
    return;
  }
  StartRecord& copy = records.emplace_back();
  copy.m_task = task;
  copy.m_first_sent = record.m_first_sent;
  copy.m_agent = record.m_agent;
  copy.m_ended = record.m_state == RecordState::kEnded ||
                 record.m_state == RecordState::kTombstone;
  copy.m_outcome = record.m_outcome;
  copy.m_attempt = record.m_attempt;
}

}  // namespace

bool RecordTable::ObserveEpoch(PartitionId partition, Epoch epoch) {
  Epoch& highest = m_partitions[partition].m_epoch;
  if (epoch < highest) {
    return false;
  }
  highest = epoch;
  return true;
}

bool RecordTable::IsCurrent(PartitionId partition, Epoch epoch) const {
  const auto found = m_partitions.find(partition);
  return found == m_partitions.end() || epoch >= found->second.m_epoch;
}

TaskRecord* RecordTable::Find(PartitionId partition, const TaskRef& task) {
  const auto found = m_partitions.find(partition);
  if (found == m_partitions.end()) {
    return nullptr;
  }
  const auto record = found->second.m_records.find(task);
  return record == found->second.m_records.end() ? nullptr : &record->second;
}

TaskRecord& RecordTable::Add(PartitionId partition,
                             const TaskRef& task,
                             WallTime first_sent) {
  const auto [found, inserted] =
      m_partitions[partition].m_records.try_emplace(task);
  if (inserted) {
    ++m_size;
    found->second.m_first_sent = first_sent;
    m_expiries.push(
        {first_sent + m_retention + kExpiryMargin, partition, task});
  }
  return found->second;
}

void RecordTable::Collect(PartitionId partition,
                          std::vector<StartRecord>& records) const {
  const auto found = m_partitions.find(partition);
  if (found == m_partitions.end()) {
    return;
  }
  for (const auto& [task, record] : found->second.m_records) {
    Append(task, record, records);
  }
}

std::vector<StartRecord> RecordTable::CollectAll() const {
  std::vector<StartRecord> records;
  for (const auto& [partition, content] : m_partitions) {
    Collect(partition, records);
  }
  return records;
}

void RecordTable::Expire(WallTime wall_now) {
  while (!m_expiries.empty() && m_expiries.top().m_at < wall_now) {
    Expiry expiry = m_expiries.top();
    m_expiries.pop();
    const TaskRecord* record = Find(expiry.m_partition, expiry.m_task);
    if (record->m_state == RecordState::kQueued ||
        record->m_state == RecordState::kRunning) {
      expiry.m_at = wall_now + kExpiryRetry;
      m_expiries.push(expiry);
      continue;
    }
    m_partitions[expiry.m_partition].m_records.erase(expiry.m_task);
    --m_size;
  }
}

}  // namespace comfreyshift
