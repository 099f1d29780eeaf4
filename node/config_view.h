#ifndef NODE_CONFIG_VIEW_H_
#define NODE_CONFIG_VIEW_H_

#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "inventory/inventory.h"
#include "rpc/rpc.h"

namespace comfreyshift {

// Store keys of the configuration.
inline constexpr std::string_view kKeyPrefix = "/comfreyshift/";
inline constexpr std::string_view kHeadKey = "/comfreyshift/head";
inline constexpr std::string_view kTableKey = "/comfreyshift/table";

// The typed form of the configuration that this process applies.
class ConfigView {
 public:
  ConfigView();

  // Takes changed keys. An empty value removes a record. A key that cannot be
  // decoded is logged and keeps its former value: one bad record must not stop
  // the process.
  void Apply(const std::vector<ConfigItem>& items);

  const std::shared_ptr<const Inventory>& inventory() const {
    return m_inventory;
  }
  const std::shared_ptr<const PartitionTable>& table() const { return m_table; }

  // Revision of the last write of the table.
  Revision table_revision() const { return m_table_revision; }

 private:
  void ApplyTable(const ConfigItem& item);
  void ApplyRecordItem(Inventory& inventory, const ConfigItem& item);

  std::shared_ptr<const Inventory> m_inventory;
  std::shared_ptr<const PartitionTable> m_table;
  Revision m_table_revision = 0;
};

}  // namespace comfreyshift

#endif  // NODE_CONFIG_VIEW_H_
