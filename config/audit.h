#ifndef CONFIG_AUDIT_H_
#define CONFIG_AUDIT_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/error.h"
#include "config/store_calls.h"
#include "core/core.h"

namespace comfreyshift {

// Stands in the audit trail for a value that is too long to be kept there.
struct ValueDigest {
  uint64_t m_bytes = 0;
  // SHA-256 in 64 lower-case hexadecimal digits.
  std::string m_sha256{};

  bool operator==(const ValueDigest&) const = default;
};

// A value before or after an edit; nothing for an absent or deleted key. Bytes
// that are not UTF-8 come back as U+FFFD.
using AuditValue = std::variant<std::monostate, std::string, ValueDigest>;

struct AuditChange {
  std::string m_key{};
  AuditValue m_before{};
  AuditValue m_after{};

  bool operator==(const AuditChange&) const = default;
};

// What the audit trail keeps of an edit.
struct AuditRecord {
  std::string m_edit_id{};
  std::string m_actor{};
  WallTime m_time{};
  std::string m_description{};
  std::vector<AuditChange> m_changes{};
  // The configuration revision of the edit. Not part of the stored record: it
  // is the mod revision of the record's key.
  Revision m_revision = 0;

  bool operator==(const AuditRecord&) const = default;
};

// Values longer than this, in bytes, are recorded as a digest.
inline constexpr size_t kMaxAuditedValueBytes = 4096;

// Returns the value as it goes into an audit record.
AuditValue MakeAuditValue(std::string_view value, size_t max_bytes);

// Key of an edit's audit record: its time in 16 digits of Unix milliseconds and
// its id, so that key order is time order.
std::string AuditKey(WallTime time, std::string_view edit_id);

std::string EncodeAuditRecord(const AuditRecord& record);

// Fails with kMalformed for a key or value of another form.
Result<AuditRecord, ConfigError> DecodeAuditRecord(const KeyValue& key_value);

struct AuditQuery {
  // Records from this time on, up to but without `m_until`.
  WallTime m_from{};
  WallTime m_until = WallTime::max();
  // For a further page: the key of the last record that the page before has.
  std::string m_before_key{};
  // 0 means no limit.
  uint64_t m_limit = 100;
};

// Read of the audit trail, newest first. The store sorts all records between
// the two times, so a query of a long trail needs `m_from`.
RangeRequest AuditRequest(const AuditQuery& query);

}  // namespace comfreyshift

#endif  // CONFIG_AUDIT_H_
