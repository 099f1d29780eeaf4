#ifndef INVENTORY_DIFF_H_
#define INVENTORY_DIFF_H_

#include <optional>
#include <string>
#include <vector>

#include "inventory/model.h"

namespace comfreyshift {

// One record that differs. `m_before` is missing for an added record and
// `m_after` for a removed one; both are JSON.
struct InventoryChange {
  // Store key of the record.
  std::string m_key;
  std::optional<std::string> m_before;
  std::optional<std::string> m_after;

  bool operator==(const InventoryChange&) const = default;
};

// Returns the records that differ, sorted by store key.
std::vector<InventoryChange> Diff(const Inventory& from, const Inventory& to);

// Returns the changes for people: a line with '+', '-' or '~' for each record
// and a line for each changed field.
std::string DiffToText(const std::vector<InventoryChange>& changes);

// Returns the changes as a JSON array of {"key", "before", "after"}, with null
// for a record that is not there.
std::string DiffToJson(const std::vector<InventoryChange>& changes);

}  // namespace comfreyshift

#endif  // INVENTORY_DIFF_H_
