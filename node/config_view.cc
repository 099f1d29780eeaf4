#include "node/config_view.h"

#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

ConfigView::ConfigView()
    : m_inventory(std::make_shared<Inventory>()),
      m_table(std::make_shared<PartitionTable>()) {}

void ConfigView::Apply(const std::vector<ConfigItem>& items) {
  auto inventory = std::make_shared<Inventory>(*m_inventory);
  bool inventory_changed = false;
  for (const ConfigItem& item : items) {
    if (item.m_key == kTableKey) {
      ApplyTable(item);
    } else if (item.m_key.starts_with(kInventoryPrefix)) {
      ApplyRecordItem(*inventory, item);
      inventory_changed = true;
    }
  }
  if (inventory_changed) {
    m_inventory = std::move(inventory);
  }
}

void ConfigView::ApplyTable(const ConfigItem& item) {
  if (item.m_mod_revision <= m_table_revision) {
    return;
  }
  auto table = DecodeTable(item.m_value);
  if (!table) {
    LogEvent(LogLevel::kError, "config", "table_not_readable",
             {{"revision", item.m_mod_revision},
              {"reason", table.error().m_message}});
    return;
  }
  m_table = std::make_shared<PartitionTable>(std::move(table.value()));
  m_table_revision = item.m_mod_revision;
}

void ConfigView::ApplyRecordItem(Inventory& inventory, const ConfigItem& item) {
  if (item.m_value.empty()) {
    RemoveRecord(inventory, item.m_key);
    return;
  }
  auto record = DecodeRecord(item.m_key, item.m_value);
  if (!record) {
    LogEvent(LogLevel::kError, "config", "record_not_readable",
             {{"key", item.m_key}, {"reason", record.error().ToString()}});
    return;
  }
  ApplyRecord(inventory, std::move(record.value()));
}

}  // namespace comfreyshift
