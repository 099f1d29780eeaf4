#ifndef NODE_KEY_REPLICA_H_
#define NODE_KEY_REPLICA_H_

#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "rpc/rpc.h"

namespace comfreyshift {

// The configuration keys as this process holds them, for passing on to peers.
class KeyReplica {
 public:
  // Takes changed keys; an item older than what is held is ignored.
  void Apply(const std::vector<ConfigItem>& items);

  std::vector<ConfigItem> ChangesSince(Revision since) const;

  // Revision of the last write of `key`; 0 when it was never written.
  Revision ModRevision(const std::string& key) const;

 private:
  std::map<std::string, ConfigItem> m_items;
};

}  // namespace comfreyshift

#endif  // NODE_KEY_REPLICA_H_
