#include "dispatch/target_set.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

std::vector<PlacementTarget> TargetSet::Build(
    std::shared_ptr<const PartitionTable> table,
    std::shared_ptr<const Inventory> inventory) {
  m_table = std::move(table);
  m_inventory = std::move(inventory);
  m_rows.clear();
  m_agents.clear();
  m_index.clear();
  m_passes_anti_affinity.clear();
  m_holders.clear();
  m_allowed.clear();
  if (m_table == nullptr) {
    return {};
  }
  BuildRows(m_table->Find(m_self));
  return m_rows;
}

void TargetSet::BuildRows(const Member* self) {
  const auto is_agent = [](const Member& member) {
    return member.m_role == MemberRole::kAgent;
  };
  const std::vector<Member>& members = m_table->m_members;
  const auto agents = std::count_if(members.begin(), members.end(), is_agent);
  m_has_other_racks =
      self != nullptr &&
      std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return is_agent(member) && member.m_rack != self->m_rack;
      });
  for (const Member& member : members) {
    if (!is_agent(member)) {
      continue;
    }
    const bool own_worker =
        self != nullptr &&
        (member.m_id == m_self ||
         (!member.m_worker.empty() && member.m_worker == self->m_worker));
    const bool own_rack = self != nullptr && member.m_rack == self->m_rack;
    const bool open =
        agents == 1 || (!own_worker && !(own_rack && m_has_other_racks));
    PlacementTarget row;
    row.m_name = member.m_target;
    row.m_agent = member.m_id;
    row.m_zone = member.m_zone;
    if (m_inventory != nullptr) {
      const auto target = m_inventory->m_targets.find(member.m_target);
      if (target != m_inventory->m_targets.end()) {
        row.m_slots = target->second.m_slots;
        row.m_accelerators = target->second.m_accelerators;
        row.m_memory_mb = target->second.m_memory_mb;
      }
    }
    m_index[member.m_id] = static_cast<TargetIndex>(m_rows.size());
    m_rows.push_back(std::move(row));
    m_agents.push_back(std::make_shared<const ProcessId>(member.m_id));
    m_passes_anti_affinity.push_back(open);
    if (open && member.m_id != m_self) {
      m_holders.push_back(member.m_id);
    }
  }
}

std::optional<TargetIndex> TargetSet::IndexOf(const ProcessId& agent) const {
  const auto found = m_index.find(agent);
  if (found == m_index.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool TargetSet::Fits(TargetIndex index, const TaskClass& task_class) const {
  const PlacementTarget& row = m_rows[index];
  if (task_class.m_needs_accelerator && row.m_accelerators == 0) {
    return false;
  }
  // A target without declared memory accepts tasks of any size.
  return row.m_memory_mb == 0 || task_class.m_memory_mb <= row.m_memory_mb;
}

const TargetSet::Allowed& TargetSet::AllowedFor(const TaskClass& task_class) {
  const auto [found, inserted] = m_allowed.try_emplace(task_class);
  Allowed& allowed = found->second;
  if (!inserted) {
    return allowed;
  }
  allowed.m_flags.assign(m_rows.size(), false);
  for (TargetIndex i = 0; i < m_rows.size(); ++i) {
    if (m_passes_anti_affinity[i] && m_inventory != nullptr &&
        Fits(i, task_class) &&
        !m_inventory->CheckStart(task_class.m_client, m_rows[i].m_name)) {
      allowed.m_flags[i] = true;
      ++allowed.m_count;
    }
  }
  return allowed;
}

std::optional<NotRunReason> TargetSet::CheckAvailable(
    const TaskClass& task_class,
    const std::string& request) {
  if (m_inventory == nullptr ||
      m_inventory->CheckClient(task_class.m_client, request)) {
    return NotRunReason::kDenied;
  }
  if (AllowedFor(task_class).m_count > 0) {
    return std::nullopt;
  }
  bool permitted = false;
  for (TargetIndex i = 0; i < m_rows.size(); ++i) {
    const auto denial =
        m_inventory->CheckStart(task_class.m_client, m_rows[i].m_name);
    const bool closed = denial == StartDenial::kTargetLeaving ||
                        denial == StartDenial::kZoneClosed;
    if (denial && !closed) {
      continue;
    }
    permitted = true;
    if (Fits(i, task_class)) {
      return NotRunReason::kNoCapacity;
    }
  }
  return permitted ? NotRunReason::kCannotRun : NotRunReason::kDenied;
}

}  // namespace comfreyshift
