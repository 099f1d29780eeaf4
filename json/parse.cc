#include "json/parse.h"

#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Only counts brackets outside of strings; all other validation is left to the
// parser.
bool IsTooDeep(std::string_view text) {
  size_t depth = 0;
  bool is_in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        is_in_string = false;
      }
    } else if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

// Returns a discarded value if any object in `text` has a repeated key.
Json ParseWithUniqueKeys(std::string_view text) {
  std::vector<std::set<std::string>> open_objects;
  bool has_repeated_key = false;
  const auto callback = [&](int, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == Json::parse_event_t::key) {
      has_repeated_key |=
          !open_objects.back().insert(parsed.get<std::string>()).second;
    }
    return true;
  };
  Json json = Json::parse(text, callback, /*allow_exceptions=*/false);
  if (has_repeated_key) {
    // Brace initialization would create an array that holds the value.
    return Json(Json::value_t::discarded);
  }
  return json;
}

}  // namespace

std::optional<Json> ParseJson(std::string_view text,
                              DuplicateKeys repeated_keys) {
  if (IsTooDeep(text)) {
    return std::nullopt;
  }
  Json json = repeated_keys == DuplicateKeys::kRejected
                  ? ParseWithUniqueKeys(text)
                  : Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  return json;
}

std::optional<Json> ParseJsonObject(std::string_view text,
                                    DuplicateKeys repeated_keys) {
  auto json = ParseJson(text, repeated_keys);
  if (json && !json->is_object()) {
    return std::nullopt;
  }
  return json;
}

std::optional<int64_t> ReadInteger(const Json& value,
                                   const IntegerRange& range) {
  if (value.is_number_float()) {
    const double number = std::trunc(value.get<double>());
    // Converting a double that does not fit into int64_t is undefined behavior.
    // The double nearest to INT64_MAX is INT64_MAX + 1, hence the strict
    // comparison.
    if (!(number >= static_cast<double>(range.m_min) &&
          number <= static_cast<double>(range.m_max) &&
          number < static_cast<double>(INT64_MAX))) {
      return std::nullopt;
    }
    return static_cast<int64_t>(number);
  }
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) {
    return std::nullopt;
  }
  if (!value.is_number_integer()) {
    return std::nullopt;
  }
  const auto number = value.get<int64_t>();
  if (number < range.m_min || number > range.m_max) {
    return std::nullopt;
  }
  return number;
}

std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace comfreyshift
