#include "inventory/error.h"

namespace comfreyshift {

std::string InventoryError::ToString() const {
  std::string text;
  for (const InventoryProblem& problem : m_problems) {
    text += m_file;
    if (!problem.m_section.empty()) {
      text += ": section [" + problem.m_section + "]";
    }
    if (!problem.m_key.empty()) {
      text += ", key \"" + problem.m_key + "\"";
    }
    text += ": found " + problem.m_found + "; accepted: " + problem.m_accepted +
            "\n";
  }
  return text;
}

}  // namespace comfreyshift
