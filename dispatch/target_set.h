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

// The targets that one owner may use: those whose agents are in the table, by
// the inventory's rules for each client, and outside of the owner's own rack.
class TargetSet {
 public:
  explicit TargetSet(ProcessId self) : m_self(std::move(self)) {}

  // Takes a newer table or inventory; each may be null. Returns the rows for
  // the placer.
  std::vector<PlacementTarget> Build(
      std::shared_ptr<const PartitionTable> table,
      std::shared_ptr<const Inventory> inventory);

  // Returns the row of an agent, or nothing when it has none.
  std::optional<TargetIndex> IndexOf(const ProcessId& agent) const;
  const std::shared_ptr<const ProcessId>& AgentAt(TargetIndex index) const {
    return m_agents[index];
  }

  struct Allowed {
    std::vector<bool> m_flags;
    uint32_t m_count = 0;
  };
  // Returns the targets that tasks of this class may use now.
  const Allowed& For(const TaskClass& task_class);

  // Returns why the task can have no target now, or nothing when it can.
  std::optional<NotRunReason> WhyNone(const TaskClass& task_class,
                                      const std::string& request);

  // Agents that may keep a copy for this owner: those outside its rack, or all
  // others when there is only one rack.
  const std::vector<ProcessId>& holders() const { return m_holders; }
  // True when holders() are outside of the owner's rack.
  bool has_other_racks() const { return m_has_other_racks; }

 private:
  void FindOpenAgents(const Member* self);
  bool Fits(TargetIndex index, const TaskClass& task_class) const;

  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  std::vector<PlacementTarget> m_rows;
  std::vector<std::shared_ptr<const ProcessId>> m_agents;
  std::map<ProcessId, TargetIndex> m_index;
  // Rows that the anti-affinity rule leaves open.
  std::vector<bool> m_open;
  std::vector<ProcessId> m_holders;
  bool m_has_other_racks = false;
  std::map<TaskClass, Allowed> m_allowed;
};

}  // namespace comfreyshift

#endif  // DISPATCH_TARGET_SET_H_
