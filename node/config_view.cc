#include "node/config_view.h"

#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

ConfigView::ConfigView()
    : m_inventory(std::make_shared<Inventory>()),
      m_table(std::make_shared<PartitionTable>()) {}

void ConfigView::Apply(const ConfigReplica& replica,
                       const std::vector<std::string>& changed_keys) {
  auto inventory = std::make_shared<Inventory>(*m_inventory);
  bool inventory_changed = false;
  for (const std::string& key : changed_keys) {
    if (key == kTableKey) {
      ApplyTable(replica);
    } else {
      ApplyKey(replica, key, *inventory);
      inventory_changed = true;
    }
  }
  if (inventory_changed) {
    m_inventory = std::move(inventory);
  }
}

void ConfigView::ApplyTable(const ConfigReplica& replica) {
  const Revision revision = replica.ModRevision(kTableKey);
  const auto value = replica.Find(kTableKey);
  if (!value) {
    LogEvent(LogLevel::kError, "config", "table_deleted",
             {{"revision", revision}});
    return;
  }
  auto table = DecodeTable(*value);
  if (!table) {
    LogEvent(LogLevel::kError, "config", "table_not_readable",
             {{"revision", revision}, {"reason", table.error().m_message}});
    return;
  }
  m_table = std::make_shared<PartitionTable>(std::move(table.value()));
  m_table_revision = revision;
}

void ConfigView::ApplyKey(const ConfigReplica& replica,
                          const std::string& key,
                          Inventory& inventory) {
  const auto value = replica.Find(key);
  if (!value) {
    RemoveRecord(inventory, key);
    return;
  }
  auto record = DecodeRecord(key, *value);
  if (!record) {
    LogEvent(LogLevel::kError, "config", "record_not_readable",
             {{"key", key}, {"reason", record.error().ToString()}});
    return;
  }
  ApplyRecord(inventory, std::move(record.value()));
}

}  // namespace comfreyshift
