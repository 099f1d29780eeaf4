#ifndef INVENTORY_INI_H_
#define INVENTORY_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "inventory/error.h"
#include "inventory/model.h"

namespace comfreyshift {

// Reads an inventory and rules file, with sections [zone NAME], [client NAME],
// [target NAME], [request NAME] and [rule NAME]. The whole file is checked, and
// all faults are reported together. `file` names it in errors.
Result<Inventory, InventoryError> ParseInventory(std::string_view file,
                                                 std::string_view text);

// Writes an inventory as a file that ParseInventory reads back to the same.
std::string FormatInventory(const Inventory& inventory);

// Returns references to zones, clients and targets that are not there, and
// names that are not valid.
std::vector<InventoryProblem> CheckInventory(const Inventory& inventory);

// Whether `text` is a valid name: 1 to 64 lower-case letters, digits, '-', '_'
// and '.'.
bool IsInventoryName(std::string_view text);

}  // namespace comfreyshift

#endif  // INVENTORY_INI_H_
