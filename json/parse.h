#ifndef JSON_PARSE_H_
#define JSON_PARSE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyshift {

// Arrays and objects within each other. Copying and writing a value recurse to
// its depth, so that a text of many brackets could overflow the stack.
constexpr size_t kMaxJsonDepth = 64;

// What is made of an object that has a key twice.
enum class RepeatedKeys : uint8_t { kLastWins, kRejected };

// Returns nothing for a text that is not JSON in UTF-8 (RFC 8259), nests deeper
// than kMaxJsonDepth, or repeats a key where that is rejected.
std::optional<nlohmann::json> ParseJson(
    std::string_view text,
    RepeatedKeys repeated_keys = RepeatedKeys::kLastWins);

// The same, and nothing for a value that is not an object.
std::optional<nlohmann::json> ParseJsonObject(
    std::string_view text,
    RepeatedKeys repeated_keys = RepeatedKeys::kLastWins);

// Whole numbers from `m_min` to `m_max`.
struct IntegerRange {
  int64_t m_min = 0;
  int64_t m_max = INT64_MAX;
};

// Returns nothing for a value that is not a number or is out of range. The
// fraction of a number is cut off.
std::optional<int64_t> ReadInteger(const nlohmann::json& value,
                                   const IntegerRange& range);

// On one line; bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& json);

}  // namespace comfreyshift

#endif  // JSON_PARSE_H_
