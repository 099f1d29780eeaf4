#ifndef JSON_PARSE_H_
#define JSON_PARSE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyshift {

// Maximum nesting depth of arrays and objects. Copying and serializing a value
// recurse to its depth, so deeply nested input could overflow the stack.
constexpr size_t kMaxJsonDepth = 64;

// What a text may contain at most. A value of one character takes 16 to 110
// bytes once it is parsed.
struct JsonLimits {
  // Of one object.
  size_t m_max_members = SIZE_MAX;
  // Of one array.
  size_t m_max_elements = SIZE_MAX;
  // Members and elements in all.
  size_t m_max_values = SIZE_MAX;
};

// How an object that has the same key more than once is handled.
enum class DuplicateKeys : uint8_t { kLastWins, kRejected };

// Returns nullopt if `text` is not valid UTF-8 JSON (RFC 8259), is nested
// deeper than kMaxJsonDepth, exceeds `limits`, or has a repeated key and
// `repeated_keys` is kRejected. Depth and limits are checked before anything is
// built.
std::optional<nlohmann::json> ParseJson(
    std::string_view text,
    DuplicateKeys repeated_keys = DuplicateKeys::kLastWins,
    const JsonLimits& limits = {});

// Like ParseJson, but also returns nullopt for a value that is not an object.
std::optional<nlohmann::json> ParseJsonObject(
    std::string_view text,
    DuplicateKeys repeated_keys = DuplicateKeys::kLastWins,
    const JsonLimits& limits = {});

// The integers from `m_min` to `m_max`, both inclusive.
struct IntegerRange {
  int64_t m_min = 0;
  int64_t m_max = INT64_MAX;
};

// Returns nullopt for a value that is not a number or is out of range. A
// fractional part is truncated before the range check.
std::optional<int64_t> ReadInteger(const nlohmann::json& value,
                                   const IntegerRange& range);

// Serializes to a single line. Invalid UTF-8 is replaced by U+FFFD.
std::string DumpJson(const nlohmann::json& json);

}  // namespace comfreyshift

#endif  // JSON_PARSE_H_
