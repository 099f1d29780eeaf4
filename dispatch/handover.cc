#include <map>
#include <string>
#include <utility>

#include "dispatch/owner.h"

namespace comfreyshift {

namespace {

// Keeps one command well below the message size limit of the RPC.
constexpr size_t kMaxRecordsPerCommand = 500;

// Agents other than `self`: those outside `rack`, or all when there are none.
std::vector<ProcessId> HoldersOutside(const PartitionTable& table,
                                      const ProcessId& self,
                                      const std::string& rack) {
  std::vector<ProcessId> outside;
  std::vector<ProcessId> all;
  for (const Member& member : table.m_members) {
    if (member.m_role != MemberRole::kAgent || member.m_id == self) {
      continue;
    }
    all.push_back(member.m_id);
    if (member.m_rack != rack) {
      outside.push_back(member.m_id);
    }
  }
  return outside.empty() ? all : outside;
}

std::string OwnerRack(const PartitionTable& table, const SubmissionKey& key) {
  const auto count = static_cast<uint32_t>(table.m_partitions.size());
  const Partition& partition = table.m_partitions[key.Partition(count)];
  const Member* owner =
      partition.m_owner ? table.Find(*partition.m_owner) : nullptr;
  return owner == nullptr ? std::string() : owner->m_rack;
}

}  // namespace

std::vector<SendAdopt> PlanHandover(const PartitionTable& table,
                                    const ProcessId& self,
                                    std::vector<StartRecord> records) {
  std::vector<SendAdopt> plan;
  if (table.m_partitions.empty()) {
    return plan;
  }
  std::map<std::string, std::vector<ProcessId>> holders_by_rack;
  std::map<ProcessId, size_t> open_commands;
  for (StartRecord& record : records) {
    const SubmissionKey& key = record.m_task.m_key;
    const std::string rack = OwnerRack(table, key);
    const auto [holders, inserted] = holders_by_rack.try_emplace(rack);
    if (inserted) {
      holders->second = HoldersOutside(table, self, rack);
    }
    if (holders->second.empty()) {
      continue;
    }
    const ProcessId& holder =
        holders
            ->second[std::hash<SubmissionKey>()(key) % holders->second.size()];
    auto [open, first] = open_commands.try_emplace(holder, plan.size());
    if (first || plan[open->second].m_command.m_records.size() >=
                     kMaxRecordsPerCommand) {
      open->second = plan.size();
      plan.push_back({holder, AdoptCommand{plan.size() + 1, {}, {}}});
    }
    plan[open->second].m_command.m_records.push_back(std::move(record));
  }
  return plan;
}

}  // namespace comfreyshift
