#ifndef INVENTORY_INI_LINES_H_
#define INVENTORY_INI_LINES_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "inventory/error.h"

namespace comfreyshift {

// One section of an INI text, with its values by key.
struct IniSection {
  // As written between the brackets, such as "zone medina".
  std::string m_title;
  std::map<std::string, std::string, std::less<>> m_values;
};

// Splits an INI text into sections. Lines are "[TITLE]", "KEY = VALUE", empty
// or comments starting with '#' or ';'. GKeyFile is not used here because it
// merges repeated sections and keys, which are faults of an inventory.
std::vector<IniSection> SplitIni(std::string_view text,
                                 std::vector<InventoryProblem>& problems);

// Returns `text` without surrounding blanks.
std::string_view StripBlanks(std::string_view text);

// Splits a value at commas and drops the blanks around the parts.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace comfreyshift

#endif  // INVENTORY_INI_LINES_H_
