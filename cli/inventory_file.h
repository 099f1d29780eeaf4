#ifndef CLI_INVENTORY_FILE_H_
#define CLI_INVENTORY_FILE_H_

#include <string>

#include "cli/connection.h"
#include "inventory/inventory.h"

namespace comfreyshift {

// Reads and checks an inventory file. The error lists all of its faults.
CommandResult<Inventory> ReadInventoryFile(const std::string& path);

}  // namespace comfreyshift

#endif  // CLI_INVENTORY_FILE_H_
