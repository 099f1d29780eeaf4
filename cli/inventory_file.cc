#include "cli/inventory_file.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace comfreyshift {

namespace {

CommandError FileError(std::string message) {
  return {ExitCode::kUsage, "inventory_file", std::move(message), nullptr};
}

}  // namespace

CommandResult<Inventory> ReadInventoryFile(const std::string& path) {
  std::error_code failure;
  // Opening a folder succeeds and only reading it throws.
  if (std::filesystem::is_directory(path, failure)) {
    return FileError(path + " is a folder");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return FileError(path + " cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto inventory = ParseInventory(path, text.str());
  if (!inventory) {
    return FileError(inventory.error().ToString());
  }
  return std::move(inventory).value();
}

}  // namespace comfreyshift
