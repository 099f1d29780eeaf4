#include "settings/key_file.h"

#include <glib.h>

#include <algorithm>
#include <charconv>

namespace comfreyshift {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr const char* kNameAccepted =
    "1 to 64 lower-case letters, digits, '-', '_' and '.'";

std::string Strip(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return "";
  }
  const size_t last = text.find_last_not_of(kBlanks);
  return std::string(text.substr(first, last - first + 1));
}

bool IsName(std::string_view text) {
  const auto is_valid = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, is_valid);
}

std::string Join(const std::set<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

// Frees a NULL-terminated array of strings.
struct StringsDeleter {
  void operator()(gchar** strings) const { g_strfreev(strings); }
};
using Strings = std::unique_ptr<gchar*, StringsDeleter>;

struct StringDeleter {
  void operator()(gchar* text) const { g_free(text); }
};
using String = std::unique_ptr<gchar, StringDeleter>;

}  // namespace

struct KeyFile::Handle {
  Handle() : m_file(g_key_file_new()) {}
  ~Handle() { g_key_file_unref(m_file); }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;

  GKeyFile* m_file;
};

KeyFile::KeyFile(std::string_view text) : m_handle(std::make_unique<Handle>()) {
  GError* error = nullptr;
  // GLib asserts on an empty buffer of an empty string_view.
  const std::string buffer(text);
  if (!g_key_file_load_from_data(m_handle->m_file, buffer.c_str(),
                                 buffer.size(), G_KEY_FILE_NONE, &error)) {
    AddProblem({"", "", error->message, "an INI file in UTF-8"});
    g_error_free(error);
    return;
  }
  ReportDuplicates(text);
}

KeyFile::~KeyFile() = default;

bool KeyFile::HasSection(const std::string& section) const {
  return g_key_file_has_group(m_handle->m_file, section.c_str());
}

std::optional<std::string> KeyFile::Find(const std::string& section,
                                         const std::string& key) {
  m_known.emplace(section, key);
  const String value(g_key_file_get_value(m_handle->m_file, section.c_str(),
                                          key.c_str(), nullptr));
  if (value == nullptr) {
    return std::nullopt;
  }
  return Strip(value.get());
}

std::optional<std::string> KeyFile::Require(const std::string& section,
                                            const std::string& key,
                                            const std::string& accepted) {
  std::optional<std::string> value = Find(section, key);
  if (!value) {
    AddProblem({section, key, "no value", accepted});
    return std::nullopt;
  }
  if (value->empty()) {
    AddProblem({section, key, "an empty value", accepted});
    return std::nullopt;
  }
  return value;
}

uint64_t KeyFile::Number(const std::string& section,
                         const std::string& key,
                         uint64_t fallback,
                         uint64_t low,
                         uint64_t high) {
  const std::optional<std::string> value = Find(section, key);
  if (!value) {
    return fallback;
  }
  uint64_t number = 0;
  const char* end = value->data() + value->size();
  const auto [rest, error] = std::from_chars(value->data(), end, number);
  if (error != std::errc() || rest != end || number < low || number > high) {
    AddProblem({section, key, "\"" + *value + "\"",
                "a whole number from " + std::to_string(low) + " to " +
                    std::to_string(high)});
    return fallback;
  }
  return number;
}

std::string KeyFile::Name(const std::string& section, const std::string& key) {
  const std::optional<std::string> value = Require(section, key, kNameAccepted);
  if (value && !IsName(*value)) {
    AddProblem({section, key, "\"" + *value + "\"", kNameAccepted});
  }
  return value.value_or("");
}

Address KeyFile::RequireAddress(const std::string& section,
                                const std::string& key) {
  const std::string accepted = "IP:PORT or [IPv6]:PORT, port 1 to 65535";
  const std::optional<std::string> value = Require(section, key, accepted);
  if (!value) {
    return {};
  }
  const std::optional<Address> address = Address::Parse(*value);
  if (!address) {
    AddProblem({section, key, "\"" + *value + "\"", accepted});
    return {};
  }
  return *address;
}

std::vector<std::string> KeyFile::Split(const std::string& value) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (true) {
    const size_t comma = value.find(',', start);
    if (comma == std::string::npos) {
      parts.push_back(Strip(std::string_view(value).substr(start)));
      return parts;
    }
    parts.push_back(
        Strip(std::string_view(value).substr(start, comma - start)));
    start = comma + 1;
  }
}

void KeyFile::AddProblem(SettingsProblem problem) {
  m_problems.push_back(std::move(problem));
}

void KeyFile::Ignore(const std::string& section) {
  const Strings keys(
      g_key_file_get_keys(m_handle->m_file, section.c_str(), nullptr, nullptr));
  m_known.emplace(section, "");
  for (gchar** key = keys.get(); key != nullptr && *key != nullptr; ++key) {
    m_known.emplace(section, *key);
  }
}

void KeyFile::ReportUnknown() {
  const Strings groups(g_key_file_get_groups(m_handle->m_file, nullptr));
  for (gchar** group = groups.get(); *group != nullptr; ++group) {
    const std::string section = *group;
    const bool is_known = std::ranges::any_of(
        m_known, [&](const auto& known) { return known.first == section; });
    if (is_known) {
      ReportUnknownKeys(section);
    } else {
      AddProblem({section, "", "an unknown section", KnownSections()});
    }
  }
}

void KeyFile::ReportUnknownKeys(const std::string& section) {
  const Strings keys(
      g_key_file_get_keys(m_handle->m_file, section.c_str(), nullptr, nullptr));
  if (keys == nullptr) {
    return;
  }
  for (gchar** key = keys.get(); *key != nullptr; ++key) {
    if (!m_known.contains({section, *key})) {
      AddProblem({section, *key, "an unknown key", KnownKeys(section)});
    }
  }
}

// GKeyFile merges repeated sections and lets the last of repeated keys win, so
// a forgotten old value would go unnoticed.
void KeyFile::ReportDuplicates(std::string_view text) {
  std::set<std::string> sections;
  std::set<std::pair<std::string, std::string>> keys;
  std::string section;
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find('\n', start), text.size());
    const std::string line = Strip(text.substr(start, end - start));
    start = end + 1;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (line.front() == '[') {
      section = line.substr(1, line.rfind(']') - 1);
      if (!sections.insert(section).second) {
        AddProblem({section, "", "a repeated section", "each section once"});
      }
      continue;
    }
    const std::string key = Strip(line.substr(0, line.find('=')));
    if (!keys.emplace(section, key).second) {
      AddProblem({section, key, "a repeated key", "each key once"});
    }
  }
}

std::string KeyFile::KnownSections() const {
  std::set<std::string> names;
  for (const auto& [section, key] : m_known) {
    names.insert(section);
  }
  return Join(names);
}

std::string KeyFile::KnownKeys(const std::string& section) const {
  std::set<std::string> names;
  for (const auto& known : m_known) {
    if (known.first == section) {
      names.insert(known.second);
    }
  }
  return Join(names);
}

}  // namespace comfreyshift
