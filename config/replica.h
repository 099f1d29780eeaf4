#ifndef CONFIG_REPLICA_H_
#define CONFIG_REPLICA_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/error.h"
#include "config/store_calls.h"
#include "core/core.h"

namespace comfreyshift {

// One key of the configuration. A deleted one has the value kTombstone.
struct ConfigEntry {
  std::string m_key{};
  std::string m_value{};
  Revision m_mod_revision = 0;

  bool operator==(const ConfigEntry&) const = default;
};

// All keys that changed after `m_since`, up to and including `m_revision`. With
// `m_since` 0 it is a full snapshot.
struct ConfigChanges {
  Revision m_since = 0;
  Revision m_revision = 0;
  std::vector<ConfigEntry> m_entries{};

  bool operator==(const ConfigChanges&) const = default;
};

// Read of the head key. Its mod revision is the configuration revision.
RangeRequest HeadRequest();

// Returns the configuration revision, or 0 when nothing was ever written.
Revision HeadRevision(const RangeReply& reply);

// Read of all changes after `since`, in one transaction so that head, inventory
// and table belong to the same moment.
TxnRequest ConfigReadRequest(Revision since);

// Takes the reply to ConfigReadRequest(since). Fails with kMalformed when the
// reply is not one of that request.
Result<ConfigChanges, ConfigError> ReadConfigReply(Revision since,
                                                   const TxnReply& reply);

// This process's copy of the configuration keys at one revision.
class ConfigReplica {
 public:
  // Takes changes from the store or from a peer and returns the keys whose
  // value changed. On an error nothing changes: kLowerRevision, kGap,
  // kForeignKey, kDiverged, or kMalformed for an entry beyond the revision.
  //
  // A key that a full snapshot no longer has was removed behind the edits; it
  // becomes a tombstone at the snapshot's revision, so that peers learn of it.
  Result<std::vector<std::string>, ConfigError> Apply(
      const ConfigChanges& changes);

  // Returns the changes that bring a replica at `since` to this revision,
  // oldest first. 0 gives a full snapshot.
  ConfigChanges ChangesSince(Revision since) const;

  // Returns the value, or nothing for a key that is absent or deleted. The view
  // is valid until the next Apply.
  std::optional<std::string_view> Find(std::string_view key) const;

  // Returns the key's mod revision for use in an edit, or 0 when it was never
  // written. A deleted key keeps one.
  Revision ModRevision(std::string_view key) const;

  // Calls `visit` with each key below `prefix` that is not deleted, in key
  // order.
  void ForEach(std::string_view prefix,
               const std::function<void(std::string_view key,
                                        std::string_view value)>& visit) const;

  // The configuration revision; 0 before the first Apply. It never falls.
  Revision revision() const { return m_revision; }

  // Number of keys, with the deleted ones.
  size_t size() const { return m_entries.size(); }

 private:
  struct Held {
    std::string m_value;
    Revision m_mod_revision = 0;
  };

  Result<void, ConfigError> Check(const ConfigChanges& changes) const;
  Result<void, ConfigError> CheckEntry(const ConfigEntry& entry,
                                       Revision limit) const;
  void BuryMissing(const ConfigChanges& snapshot,
                   std::vector<std::string>& changed);

  Revision m_revision = 0;
  std::map<std::string, Held, std::less<>> m_entries;
};

}  // namespace comfreyshift

#endif  // CONFIG_REPLICA_H_
