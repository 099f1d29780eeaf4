#include "inventory/ini_lines.h"

#include <algorithm>
#include <set>

namespace comfreyshift {

namespace {

// Makes "zone  medina" and "zone medina" the same section.
std::string CollapseBlanks(std::string_view text) {
  std::string collapsed;
  for (const char c : StripBlanks(text)) {
    const bool is_blank = c == ' ' || c == '\t';
    if (!is_blank || collapsed.back() != ' ') {
      collapsed += is_blank ? ' ' : c;
    }
  }
  return collapsed;
}

// Reads one line that is neither empty nor a comment.
class LineReader {
 public:
  LineReader(std::vector<IniSection>& sections,
             std::vector<InventoryProblem>& problems)
      : m_sections(sections), m_problems(problems) {}

  void Read(std::string_view line, size_t number) {
    if (line.front() == '[') {
      ReadTitle(line, number);
    } else {
      ReadValue(line, number);
    }
  }

 private:
  void ReadTitle(std::string_view line, size_t number) {
    std::string title;
    if (line.size() >= 2 && line.back() == ']') {
      title = CollapseBlanks(line.substr(1, line.size() - 2));
    } else {
      Report("", "", number, "a section line without ']'", "[KIND NAME]");
    }
    if (!title.empty() && !m_titles.insert(title).second) {
      Report(title, "", number, "a repeated section", "each section once");
    }
    m_sections.push_back({title, {}});
  }

  void ReadValue(std::string_view line, size_t number) {
    const std::string section =
        m_sections.empty() ? "" : m_sections.back().m_title;
    const size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      Report(section, "", number, "a line without '='", "KEY = VALUE");
      return;
    }
    const std::string key(StripBlanks(line.substr(0, equals)));
    if (m_sections.empty()) {
      Report("", key, number, "a key before the first section", "[KIND NAME]");
      return;
    }
    const std::string value(StripBlanks(line.substr(equals + 1)));
    if (!m_sections.back().m_values.emplace(key, value).second) {
      Report(section, key, number, "a repeated key", "each key once");
    }
  }

  void Report(const std::string& section,
              const std::string& key,
              size_t number,
              const std::string& found,
              const std::string& accepted) {
    m_problems.push_back(
        {section, key, found + " on line " + std::to_string(number), accepted});
  }

  std::vector<IniSection>& m_sections;
  std::vector<InventoryProblem>& m_problems;
  std::set<std::string> m_titles;
};

}  // namespace

std::string_view StripBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (true) {
    const size_t comma = text.find(',');
    parts.emplace_back(StripBlanks(text.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(comma + 1);
  }
}

std::vector<IniSection> SplitIni(std::string_view text,
                                 std::vector<InventoryProblem>& problems) {
  std::vector<IniSection> sections;
  LineReader reader(sections, problems);
  size_t number = 0;
  while (!text.empty()) {
    ++number;
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = StripBlanks(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty() && line.front() != '#' && line.front() != ';') {
      reader.Read(line, number);
    }
  }
  return sections;
}

}  // namespace comfreyshift
