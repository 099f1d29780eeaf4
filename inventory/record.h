#ifndef INVENTORY_RECORD_H_
#define INVENTORY_RECORD_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "config/config.h"
#include "core/core.h"
#include "inventory/error.h"
#include "inventory/model.h"

namespace comfreyshift {

// One named entry of the inventory.
using InventoryEntry =
    std::variant<AvailabilityZone, Target, Client, Request, Rule>;

// Returns "zone", "target", "client", "request" or "rule".
std::string_view KindName(const InventoryEntry& entry);

// Returns the store key of an entry, such as
// "/comfreyshift/inventory/zone/medina".
std::string RecordKey(std::string_view name, const InventoryEntry& entry);

struct InventoryRecord {
  std::string m_name;
  InventoryEntry m_entry;

  bool operator==(const InventoryRecord&) const = default;
};

// Returns the JSON object of an entry, with all its fields.
std::string EncodeRecord(const InventoryEntry& entry);

// Reads the record at store key `key`. An unknown kind, an invalid name and
// missing, unknown or mistyped fields are errors.
Result<InventoryRecord, InventoryError> DecodeRecord(std::string_view key,
                                                     std::string_view value);

// Adds a record, or replaces the one with its kind and name.
void ApplyRecord(Inventory& inventory, InventoryRecord record);

// Removes the record at store key `key`; returns whether it was there.
bool RemoveRecord(Inventory& inventory, std::string_view key);

// Returns all records by store key.
std::map<std::string, std::string> EncodeInventory(const Inventory& inventory);

// Returns the whole inventory as one JSON object, {"zones": {NAME: {...}},
// ...}.
std::string InventoryToJson(const Inventory& inventory);

// Reads the object that InventoryToJson makes and checks it as a whole; parts
// that are missing are empty. `source` names it in errors.
Result<Inventory, InventoryError> InventoryFromJson(std::string_view source,
                                                    std::string_view text);

}  // namespace comfreyshift

#endif  // INVENTORY_RECORD_H_
