#include "dispatch/unclaimed_records.h"

#include <tuple>
#include <utility>

namespace comfreyshift {

namespace {

// Order of the records of one task. A record with an answer takes precedence
// over all others. A record of a task that was sent to an agent which left
// without a record of it is the lowest. Among the others, the later attempt
// takes precedence, because a task is placed again only after the previous
// attempt was confirmed as not started. Within one attempt, a running task
// whose agent can still be asked takes precedence over one that may have run.
using RecordPrecedence = std::tuple<int, AttemptId, bool>;

RecordPrecedence PrecedenceOf(const StartRecord& record,
                              const PartitionTable& table) {
  if (record.m_ended) {
    const bool answered =
        !std::holds_alternative<TaskMayHaveRun>(record.m_outcome);
    return {answered ? 2 : 1, record.m_attempt, false};
  }
  if (table.MissingRecordProvesNotStarted(record.m_agent)) {
    return {0, record.m_attempt, false};
  }
  return {1, record.m_attempt, table.Find(record.m_agent) != nullptr};
}

}  // namespace

void UnclaimedRecords::Add(const PartitionTable& table,
                           PartitionId partition,
                           StartRecord record) {
  Records& records = m_partitions[partition][record.m_task.m_key];
  const auto [found, inserted] = records.try_emplace(record.m_task);
  if (inserted) {
    ++m_size;
  } else if (PrecedenceOf(record, table) <=
             PrecedenceOf(found->second, table)) {
    return;
  }
  found->second = std::move(record);
}

std::vector<StartRecord> UnclaimedRecords::Take(PartitionId partition,
                                                const SubmissionKey& key) {
  std::vector<StartRecord> taken;
  const auto keys = m_partitions.find(partition);
  if (keys == m_partitions.end()) {
    return taken;
  }
  auto records = keys->second.extract(key);
  if (records.empty()) {
    return taken;
  }
  for (auto& [task, record] : records.mapped()) {
    taken.push_back(std::move(record));
  }
  m_size -= taken.size();
  return taken;
}

void UnclaimedRecords::FindRunningAt(const std::set<ProcessId>& agents,
                                     std::set<PartitionId>& partitions) const {
  for (const auto& [partition, keys] : m_partitions) {
    for (const auto& [key, records] : keys) {
      for (const auto& [task, record] : records) {
        if (!record.m_ended && agents.contains(record.m_agent)) {
          partitions.insert(partition);
        }
      }
    }
  }
}

void UnclaimedRecords::Append(PartitionId partition,
                              std::vector<StartRecord>& records) const {
  const auto keys = m_partitions.find(partition);
  if (keys == m_partitions.end()) {
    return;
  }
  for (const auto& [key, known] : keys->second) {
    for (const auto& [task, record] : known) {
      records.push_back(record);
    }
  }
}

void UnclaimedRecords::AppendAll(std::vector<StartRecord>& records) const {
  for (const auto& [partition, keys] : m_partitions) {
    Append(partition, records);
  }
}

void UnclaimedRecords::Expire(WallTime oldest) {
  for (auto& [partition, keys] : m_partitions) {
    std::erase_if(keys, [&](const auto& item) {
      const Records& records = item.second;
      const bool expired = records.begin()->second.m_first_sent < oldest;
      if (expired) {
        m_size -= records.size();
      }
      return expired;
    });
  }
  std::erase_if(m_partitions,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace comfreyshift
