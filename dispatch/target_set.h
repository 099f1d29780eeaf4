#ifndef DISPATCH_TARGET_SET_H_
#define DISPATCH_TARGET_SET_H_

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "dispatch/partition_table.h"
#include "dispatch/waiting_queue.h"
#include "inventory/inventory.h"
#include "placement/placement.h"

namespace comfreyshift {

// The targets that one owner may use: their agents are in the table, the
// inventory allows them to the client, and they are outside the owner's rack
// and worker (anti-affinity) if there are others.
class TargetSet {
 public:
  explicit TargetSet(ProcessId self) : m_self(std::move(self)) {}

  // Applies a table and an inventory; each may be null. Returns one row for
  // each agent's target, for the placer.
  std::vector<PlacementTarget> Build(
      std::shared_ptr<const PartitionTable> table,
      std::shared_ptr<const Inventory> inventory);

  // Returns the row index of an agent's target, or nothing for an agent that is
  // not in the table.
  std::optional<TargetIndex> IndexOf(const ProcessId& agent) const;
  const std::shared_ptr<const ProcessId>& AgentAt(TargetIndex index) const {
    return m_agents[index];
  }

  // The rows that tasks of a class may use.
  struct Allowed {
    // One flag for each row.
    std::vector<bool> m_flags;
    // Number of flags that are set.
    uint32_t m_count = 0;
  };
  // Returns the targets that tasks of this class may use now.
  const Allowed& AllowedFor(const TaskClass& task_class);

  // Returns why no target is allowed for the task now, or nothing when one is.
  std::optional<NotRunReason> CheckAvailable(const TaskClass& task_class,
                                             const std::string& request);

  // Agents that may keep copies of this owner's records: those outside its
  // rack, or all others outside its worker when there is only one rack.
  const std::vector<ProcessId>& holders() const { return m_holders; }
  // True if there are agents outside the owner's rack.
  bool has_other_racks() const { return m_has_other_racks; }

 private:
  void BuildRows(const Member* self);
  bool Fits(TargetIndex index, const TaskClass& task_class) const;

  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  std::vector<PlacementTarget> m_rows;
  std::vector<std::shared_ptr<const ProcessId>> m_agents;
  std::map<ProcessId, TargetIndex> m_index;
  // One flag for each row: true if the owner's anti-affinity rule allows it.
  std::vector<bool> m_passes_anti_affinity;
  std::vector<ProcessId> m_holders;
  bool m_has_other_racks = false;
  std::map<TaskClass, Allowed> m_allowed;
};

}  // namespace comfreyshift

#endif  // DISPATCH_TARGET_SET_H_
