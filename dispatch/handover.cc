#include <map>
#include <set>
#include <string>
#include <utility>

#include "dispatch/owner.h"

namespace comfreyshift {

namespace {

// Keeps one command well below the message size limit of the RPC.
constexpr size_t kMaxRecordsPerCommand = 500;

// Returns the agents other than `self` outside `rack`, or inside it if there is
// no other rack, without those in `refused`. Both copies of a record may be in
// the same rack only if the table has a single rack; a loss then makes the
// outcome of keys unknown.
std::vector<ProcessId> HoldersOutside(const PartitionTable& table,
                                      const ProcessId& self,
                                      const std::set<ProcessId>& refused,
                                      const std::string& rack) {
  std::vector<ProcessId> outside;
  std::vector<ProcessId> inside;
  for (const Member& member : table.m_members) {
    if (member.m_role == MemberRole::kAgent && member.m_id != self) {
      (member.m_rack == rack ? inside : outside).push_back(member.m_id);
    }
  }
  std::vector<ProcessId>& holders = outside.empty() ? inside : outside;
  std::erase_if(holders,
                [&](const ProcessId& id) { return refused.contains(id); });
  return std::move(holders);
}

std::string OwnerRack(const PartitionTable& table, const SubmissionKey& key) {
  const auto count = static_cast<uint32_t>(table.m_partitions.size());
  const Partition& partition = table.m_partitions[key.Partition(count)];
  const Member* owner =
      partition.m_owner ? table.Find(*partition.m_owner) : nullptr;
  return owner == nullptr ? std::string() : owner->m_rack;
}

}  // namespace

HandoverPlan PlanHandover(const PartitionTable& table,
                          const ProcessId& self,
                          std::vector<StartRecord> records,
                          const std::set<ProcessId>& refused) {
  HandoverPlan plan;
  if (table.m_partitions.empty()) {
    return plan;
  }
  std::map<std::string, std::vector<ProcessId>> holders_by_rack;
  std::map<ProcessId, size_t> open_commands;
  for (StartRecord& record : records) {
    const SubmissionKey& key = record.m_task.m_key;
    const std::string rack = OwnerRack(table, key);
    const auto [found, inserted] = holders_by_rack.try_emplace(rack);
    std::vector<ProcessId>& holders = found->second;
    if (inserted) {
      holders = HoldersOutside(table, self, refused, rack);
    }
    if (holders.empty()) {
      plan.m_complete = false;
      continue;
    }
    const ProcessId& holder =
        holders[std::hash<SubmissionKey>()(key) % holders.size()];
    auto [open, first] =
        open_commands.try_emplace(holder, plan.m_commands.size());
    if (first || plan.m_commands[open->second].m_command.m_records.size() >=
                     kMaxRecordsPerCommand) {
      open->second = plan.m_commands.size();
      plan.m_commands.push_back(
          {holder, AdoptCommand{plan.m_commands.size() + 1, {}, {}}});
    }
    plan.m_commands[open->second].m_command.m_records.push_back(
        std::move(record));
  }
  return plan;
}

}  // namespace comfreyshift
