#include "config/audit.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "config/keys.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// 16 digits of milliseconds last beyond the year 300,000.
constexpr int64_t kMaxKeyTime = 9'999'999'999'999'999;

std::string TimeDigits(WallTime time) {
  int64_t ms =
      std::clamp<int64_t>(time.time_since_epoch().count(), 0, kMaxKeyTime);
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%016lld",
                static_cast<long long>(ms));
  return digits.data();
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string hex;
  for (unsigned char byte : digest) {
    std::array<char, 3> pair{};
    std::snprintf(pair.data(), pair.size(), "%02x", byte);
    hex += pair.data();
  }
  return hex;
}

struct ValueWriter {
  Json operator()(std::monostate) const { return nullptr; }
  Json operator()(const std::string& text) const { return text; }
  Json operator()(const ValueDigest& digest) const {
    return {{"bytes", digest.m_bytes}, {"sha256", digest.m_sha256}};
  }
};

std::optional<AuditValue> ReadValue(const Json& json) {
  if (json.is_null()) {
    return AuditValue();
  }
  if (json.is_string()) {
    return json.get<std::string>();
  }
  if (!json.is_object() || !json.contains("bytes") ||
      !json["bytes"].is_number_unsigned() || !json.contains("sha256") ||
      !json["sha256"].is_string()) {
    return std::nullopt;
  }
  return ValueDigest{json["bytes"].get<uint64_t>(),
                     json["sha256"].get<std::string>()};
}

ConfigError Malformed(const std::string& key) {
  return {ConfigErrorCode::kMalformed,
          "audit record " + key + " does not have the expected form"};
}

bool HasForm(const Json& json) {
  if (!json.is_object()) {
    return false;
  }
  for (const char* name : {"edit", "who", "description"}) {
    if (!json.contains(name) || !json[name].is_string()) {
      return false;
    }
  }
  return json.contains("when") && json["when"].is_number_integer() &&
         json.contains("changes") && json["changes"].is_array();
}

std::optional<AuditChange> ReadChange(const Json& json) {
  if (!json.is_object() || !json.contains("key") || !json["key"].is_string() ||
      !json.contains("before") || !json.contains("after")) {
    return std::nullopt;
  }
  std::optional<AuditValue> before = ReadValue(json["before"]);
  std::optional<AuditValue> after = ReadValue(json["after"]);
  if (!before || !after) {
    return std::nullopt;
  }
  return AuditChange{json["key"].get<std::string>(), *before, *after};
}

}  // namespace

AuditValue MakeAuditValue(std::string_view value, size_t max_bytes) {
  if (IsTombstone(value)) {
    return {};
  }
  if (value.size() > max_bytes) {
    return ValueDigest{value.size(), Sha256Hex(value)};
  }
  return std::string(value);
}

std::string AuditKey(WallTime time, std::string_view edit_id) {
  std::string key(kAuditPrefix);
  key += TimeDigits(time);
  key += '-';
  key += edit_id;
  return key;
}

std::string EncodeAuditRecord(const AuditRecord& record) {
  Json changes = Json::array();
  for (const AuditChange& change : record.m_changes) {
    changes.push_back({{"key", change.m_key},
                       {"before", std::visit(ValueWriter(), change.m_before)},
                       {"after", std::visit(ValueWriter(), change.m_after)}});
  }
  Json json = {{"edit", record.m_edit_id},
               {"who", record.m_actor},
               {"when", record.m_time.time_since_epoch().count()},
               {"description", record.m_description},
               {"changes", std::move(changes)}};
  return DumpJson(json);
}

Result<AuditRecord, ConfigError> DecodeAuditRecord(const KeyValue& key_value) {
  const auto json = ParseJsonObject(key_value.m_value);
  if (!key_value.m_key.starts_with(kAuditPrefix) || !json || !HasForm(*json)) {
    return Malformed(key_value.m_key);
  }
  AuditRecord record;
  record.m_edit_id = (*json)["edit"].get<std::string>();
  record.m_actor = (*json)["who"].get<std::string>();
  record.m_time = WallTime(Milliseconds((*json)["when"].get<int64_t>()));
  record.m_description = (*json)["description"].get<std::string>();
  record.m_revision = key_value.m_mod_revision;
  for (const Json& element : (*json)["changes"]) {
    std::optional<AuditChange> change = ReadChange(element);
    if (!change) {
      return Malformed(key_value.m_key);
    }
    record.m_changes.push_back(*std::move(change));
  }
  return record;
}

RangeRequest AuditRequest(const AuditQuery& query) {
  std::string prefix(kAuditPrefix);
  RangeRequest request;
  request.m_key = prefix + TimeDigits(query.m_from);
  request.m_range_end = prefix + TimeDigits(query.m_until);
  if (!query.m_before_key.empty()) {
    request.m_range_end = std::min(request.m_range_end, query.m_before_key);
  }
  request.m_limit = query.m_limit;
  request.m_order = RangeOrder::kKeyDescending;
  return request;
}

}  // namespace comfreyshift
