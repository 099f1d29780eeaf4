#include "json/parse.h"

#include <array>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Counts the values of a text by its brackets and commas, without building
// anything. All other validation is left to the parser.
class ShapeCheck {
 public:
  explicit ShapeCheck(const JsonLimits& limits) : m_limits(limits) {}

  // Returns false once the text is nested too deep or exceeds a limit.
  bool Add(char c) {
    if (c == '[' || c == '{') {
      if (m_depth == kMaxJsonDepth) {
        return false;
      }
      m_open[m_depth++] = {c == '{' ? m_limits.m_max_members
                                    : m_limits.m_max_elements};
      return AddValue();
    }
    if (c == ',') {
      return AddValue();
    }
    if ((c == ']' || c == '}') && m_depth > 0) {
      --m_depth;
    }
    return true;
  }

 private:
  struct Container {
    size_t m_max_values = 0;
    size_t m_values = 0;
  };

  // A container that opens counts as having one value, each comma as one more.
  bool AddValue() {
    if (m_depth == 0) {
      return true;
    }
    Container& container = m_open[m_depth - 1];
    return ++container.m_values <= container.m_max_values &&
           ++m_values <= m_limits.m_max_values;
  }

  const JsonLimits& m_limits;
  std::array<Container, kMaxJsonDepth> m_open;
  size_t m_depth = 0;
  size_t m_values = 0;
};

bool IsWithinLimits(std::string_view text, const JsonLimits& limits) {
  ShapeCheck check(limits);
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
    } else if (!check.Add(c)) {
      return false;
    }
  }
  return true;
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
                              DuplicateKeys repeated_keys,
                              const JsonLimits& limits) {
  if (!IsWithinLimits(text, limits)) {
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
                                    DuplicateKeys repeated_keys,
                                    const JsonLimits& limits) {
  auto json = ParseJson(text, repeated_keys, limits);
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
