#include "dispatch/known_records.h"

#include <utility>

namespace comfreyshift {

namespace {

// An answer tells the most, then a running task whose agent can still be asked.
// A running task at an agent that is gone may never have started there, so that
// a record of its start tells more.
int Knowledge(const StartRecord& record, const PartitionTable& table) {
  if (!record.m_ended) {
    return table.Find(record.m_agent) != nullptr ? 2 : 0;
  }
  return std::holds_alternative<TaskMayHaveRun>(record.m_outcome) ? 1 : 3;
}

}  // namespace

void KnownRecords::Add(const PartitionTable& table,
                       PartitionId partition,
                       StartRecord record) {
  Records& records = m_partitions[partition][record.m_task.m_key];
  const auto [found, inserted] = records.try_emplace(record.m_task);
  if (inserted) {
    ++m_size;
  } else if (Knowledge(record, table) <= Knowledge(found->second, table)) {
    return;
  }
  found->second = std::move(record);
}

std::vector<StartRecord> KnownRecords::Take(PartitionId partition,
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

void KnownRecords::FindRunningAt(const std::set<ProcessId>& agents,
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

void KnownRecords::Append(PartitionId partition,
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

void KnownRecords::AppendAll(std::vector<StartRecord>& records) const {
  for (const auto& [partition, keys] : m_partitions) {
    Append(partition, records);
  }
}

void KnownRecords::Expire(WallTime oldest) {
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
