#ifndef NODE_CONFIG_VIEW_H_
#define NODE_CONFIG_VIEW_H_

#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "dispatch/dispatch.h"
#include "inventory/inventory.h"

namespace comfreyshift {

// The typed form of the configuration that this process applies.
class ConfigView {
 public:
  ConfigView();

  // Takes the present values of `changed_keys`. A value that cannot be decoded
  // is logged and the former one is kept: one bad record must not stop the
  // process.
  void Apply(const ConfigReplica& replica,
             const std::vector<std::string>& changed_keys);

  const std::shared_ptr<const Inventory>& inventory() const {
    return m_inventory;
  }
  const std::shared_ptr<const PartitionTable>& table() const { return m_table; }

  // Revision of the last write of the table.
  Revision table_revision() const { return m_table_revision; }

 private:
  void ApplyTable(const ConfigReplica& replica);
  static void ApplyKey(const ConfigReplica& replica,
                       const std::string& key,
                       Inventory& inventory);

  std::shared_ptr<const Inventory> m_inventory;
  std::shared_ptr<const PartitionTable> m_table;
  Revision m_table_revision = 0;
};

}  // namespace comfreyshift

#endif  // NODE_CONFIG_VIEW_H_
