#ifndef CONFIG_KEYS_H_
#define CONFIG_KEYS_H_

#include <string>
#include <string_view>

namespace comfreyshift {

// Keys of the store, as docs/design.md section 3 lists them.
inline constexpr std::string_view kHeadKey = "/comfreyshift/head";
inline constexpr std::string_view kTableKey = "/comfreyshift/table";
inline constexpr std::string_view kInventoryPrefix = "/comfreyshift/inventory/";
inline constexpr std::string_view kAuditPrefix = "/comfreyshift/audit/";
inline constexpr std::string_view kEditPrefix = "/comfreyshift/edit/";
inline constexpr std::string_view kContactPrefix = "/comfreyshift/contact/";

// Longest value that the store takes, in bytes.
inline constexpr size_t kMaxValueBytes = 1'000'000;

// The value of a deleted key. A range read does not show keys that were really
// deleted, so a reader of changes would miss the deletion.
inline constexpr std::string_view kTombstone = R"({"deleted":true})";

inline bool IsTombstone(std::string_view value) {
  return value == kTombstone;
}

// Tells whether replicas hold the key: the table, or one below the inventory.
inline bool IsConfigKey(std::string_view key) {
  return key == kTableKey || (key.starts_with(kInventoryPrefix) &&
                              key.size() > kInventoryPrefix.size());
}

}  // namespace comfreyshift

#endif  // CONFIG_KEYS_H_
