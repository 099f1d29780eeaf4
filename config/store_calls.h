#ifndef CONFIG_STORE_CALLS_H_
#define CONFIG_STORE_CALLS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// Calls of the key-value store and their replies, as plain values. The names
// and meanings follow the etcd v3 API.

// A key with its value. `m_mod_revision` is the store revision of its last
// write and `m_version` the number of writes since its creation.
struct KeyValue {
  std::string m_key{};
  std::string m_value{};
  Revision m_create_revision = 0;
  Revision m_mod_revision = 0;
  uint64_t m_version = 0;
  int64_t m_lease = 0;

  bool operator==(const KeyValue&) const = default;
};

enum class RangeOrder { kKeyAscending, kKeyDescending };

// Reads `m_key`, or all keys in [m_key, m_range_end) when `m_range_end` is not
// empty. A limit of 0 means no limit.
struct RangeRequest {
  std::string m_key{};
  std::string m_range_end{};
  uint64_t m_limit = 0;
  Revision m_min_mod_revision = 0;
  RangeOrder m_order = RangeOrder::kKeyAscending;

  bool operator==(const RangeRequest&) const = default;
};

struct RangeReply {
  // The store's revision when it served the read.
  Revision m_revision = 0;
  std::vector<KeyValue> m_key_values{};
  // True when the limit cut the answer.
  bool m_more = false;
};

// Writes one key, under lease `m_lease` unless that is 0.
struct PutRequest {
  std::string m_key{};
  std::string m_value{};
  int64_t m_lease = 0;

  bool operator==(const PutRequest&) const = default;
};

struct PutReply {
  Revision m_revision = 0;
};

// Deletes `m_key`, or [m_key, m_range_end) when `m_range_end` is not empty.
struct DeleteRequest {
  std::string m_key{};
  std::string m_range_end{};

  bool operator==(const DeleteRequest&) const = default;
};

struct DeleteReply {
  uint64_t m_deleted = 0;
};

enum class CompareResult { kEqual, kNotEqual, kGreater, kLess };

// A key that does not exist has mod revision 0 and version 0, and every
// comparison of its value is false.
struct CompareModRevision {
  Revision m_mod_revision = 0;
  bool operator==(const CompareModRevision&) const = default;
};
struct CompareVersion {
  uint64_t m_version = 0;
  bool operator==(const CompareVersion&) const = default;
};
struct CompareValue {
  std::string m_value{};
  bool operator==(const CompareValue&) const = default;
};

struct TxnCompare {
  std::string m_key{};
  CompareResult m_result = CompareResult::kEqual;
  std::variant<CompareModRevision, CompareVersion, CompareValue> m_target{};

  bool operator==(const TxnCompare&) const = default;
};

using TxnOperation = std::variant<RangeRequest, PutRequest, DeleteRequest>;
using TxnOperationReply = std::variant<RangeReply, PutReply, DeleteReply>;

// Runs `m_success` when all comparisons hold and `m_failure` otherwise, as one
// atomic step with one revision.
struct TxnRequest {
  std::vector<TxnCompare> m_compares{};
  std::vector<TxnOperation> m_success{};
  std::vector<TxnOperation> m_failure{};

  bool operator==(const TxnRequest&) const = default;
};

struct TxnReply {
  Revision m_revision = 0;
  bool m_succeeded = false;
  std::vector<TxnOperationReply> m_replies{};
};

// Returns the first key after all keys that start with `prefix`, for use as a
// range end. `prefix` must hold a byte below 0xFF.
std::string PrefixEnd(std::string_view prefix);

}  // namespace comfreyshift

#endif  // CONFIG_STORE_CALLS_H_
