#include "node/key_replica.h"

namespace comfreyshift {

void KeyReplica::Apply(const std::vector<ConfigItem>& items) {
  for (const ConfigItem& item : items) {
    ConfigItem& held = m_items[item.m_key];
    if (held.m_mod_revision < item.m_mod_revision) {
      held = item;
    }
  }
}

std::vector<ConfigItem> KeyReplica::ChangesSince(Revision since) const {
  std::vector<ConfigItem> changes;
  for (const auto& [key, item] : m_items) {
    if (item.m_mod_revision > since) {
      changes.push_back(item);
    }
  }
  return changes;
}

Revision KeyReplica::ModRevision(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? 0 : found->second.m_mod_revision;
}

}  // namespace comfreyshift
