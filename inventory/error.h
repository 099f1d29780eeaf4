#ifndef INVENTORY_ERROR_H_
#define INVENTORY_ERROR_H_

#include <string>
#include <string_view>
#include <vector>

namespace comfreyshift {

// One fault of an inventory or of one of its records. The key is empty when the
// section is at fault, and both are empty when the file is.
struct InventoryProblem {
  std::string m_section;
  std::string m_key;
  std::string m_found;
  std::string m_accepted;

  bool operator==(const InventoryProblem&) const = default;
};

// All faults of one inventory file, record or edit; there is at least one.
struct InventoryError {
  // Path of the file, or the store key of a record.
  std::string m_file;
  std::vector<InventoryProblem> m_problems;

  // Returns one line for each fault with file, section, key, what was found and
  // what is accepted.
  std::string ToString() const;
};

}  // namespace comfreyshift

#endif  // INVENTORY_ERROR_H_
