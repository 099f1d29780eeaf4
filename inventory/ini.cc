#include "inventory/ini.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "inventory/fields.h"
#include "inventory/ini_lines.h"
#include "inventory/record.h"

namespace comfreyshift {

namespace {

constexpr size_t kMaxNameLength = 64;

std::string Quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

// Reads the fields of one record from a section, and removes what it has read.
class SectionReader {
 public:
  SectionReader(IniSection& section, std::vector<InventoryProblem>& problems)
      : m_section(section), m_problems(problems) {}

  void Name(std::string_view key, std::string& field) {
    if (const auto value = Take(key, /*required=*/true, kNameAccepted)) {
      field = *value;
      Check(key, *value, IsInventoryName(*value), kNameAccepted);
    }
  }

  void Flag(std::string_view key, bool& field, bool required) {
    if (const auto value = Take(key, required, kFlagAccepted)) {
      field = *value == "true";
      Check(key, *value, field || *value == "false", kFlagAccepted);
    }
  }

  void Hash(std::string_view key, std::string& field) {
    if (const auto value = Take(key, /*required=*/true, kHashAccepted)) {
      field = *value;
      Check(key, *value, IsHash(*value), kHashAccepted);
    }
  }

  void Stage(std::string_view key, Lifecycle& field) {
    if (const auto value = Take(key, /*required=*/false, kStageAccepted)) {
      const std::optional<Lifecycle> stage = ParseStage(*value);
      field = stage.value_or(field);
      Check(key, *value, stage.has_value(), kStageAccepted);
    }
  }

  template <class T>
  void Number(std::string_view key, T& field, uint64_t low, uint64_t high) {
    const std::string accepted = NumberAccepted(low, high);
    const auto value = Take(key, /*required=*/false, accepted);
    if (!value) {
      return;
    }
    uint64_t number = 0;
    const char* end = value->data() + value->size();
    const auto [rest, error] = std::from_chars(value->data(), end, number);
    const bool is_valid =
        error == std::errc() && rest == end && number >= low && number <= high;
    Check(key, *value, is_valid, accepted);
    if (is_valid) {
      field = static_cast<T>(number);
    }
  }

  void Names(std::string_view key, std::set<std::string>& field) {
    if (const auto value = Take(key, /*required=*/true, kNamesAccepted)) {
      const std::vector<std::string> parts = SplitList(*value);
      field = {parts.begin(), parts.end()};
      Check(key, *value, IsTargetList(field) && field.size() == parts.size(),
            kNamesAccepted);
    }
  }

  // Reports the keys that no field has taken.
  void Finish() {
    for (const auto& [key, value] : m_section.m_values) {
      m_problems.push_back(
          {m_section.m_title, key, "an unknown key", m_known_keys});
    }
  }

 private:
  std::optional<std::string> Take(std::string_view key,
                                  bool required,
                                  std::string_view accepted) {
    m_known_keys += (m_known_keys.empty() ? "" : ", ") + std::string(key);
    const auto found = m_section.m_values.find(key);
    if (found == m_section.m_values.end()) {
      if (required) {
        Report(key, "no value", accepted);
      }
      return std::nullopt;
    }
    std::string value = std::move(found->second);
    m_section.m_values.erase(found);
    return value;
  }

  void Check(std::string_view key,
             std::string_view value,
             bool is_valid,
             std::string_view accepted) {
    if (!is_valid) {
      Report(key, Quote(value), accepted);
    }
  }

  void Report(std::string_view key,
              std::string found,
              std::string_view accepted) {
    m_problems.push_back({m_section.m_title, std::string(key), std::move(found),
                          std::string(accepted)});
  }

  IniSection& m_section;
  std::vector<InventoryProblem>& m_problems;
  std::string m_known_keys;
};

// Writes the fields of one record as lines of a section.
class SectionWriter {
 public:
  explicit SectionWriter(std::string& text) : m_text(text) {}

  void Name(std::string_view key, const std::string& field) {
    Line(key, field);
  }
  void Flag(std::string_view key, bool field, bool /*required*/) {
    Line(key, field ? "true" : "false");
  }
  void Hash(std::string_view key, const std::string& field) {
    Line(key, field);
  }
  void Stage(std::string_view key, Lifecycle field) {
    Line(key, StageName(field));
  }
  void Number(std::string_view key, uint64_t field, uint64_t, uint64_t) {
    Line(key, std::to_string(field));
  }
  void Names(std::string_view key, const std::set<std::string>& field) {
    std::string list;
    for (const std::string& name : field) {
      list += (list.empty() ? "" : ", ") + name;
    }
    Line(key, list);
  }

 private:
  void Line(std::string_view key, std::string_view value) {
    m_text.append(key).append(" = ").append(value).append("\n");
  }

  std::string& m_text;
};

std::optional<InventoryEntry> EntryOfKind(std::string_view kind) {
  for (const InventoryEntry& entry :
       {InventoryEntry(AvailabilityZone{}), InventoryEntry(Target{}),
        InventoryEntry(Client{}), InventoryEntry(Request{}),
        InventoryEntry(Rule{})}) {
    if (KindName(entry) == kind) {
      return entry;
    }
  }
  return std::nullopt;
}

void ReadSection(IniSection& section,
                 Inventory& inventory,
                 std::vector<InventoryProblem>& problems) {
  const std::string_view title = section.m_title;
  const size_t blank = title.find_first_of(" \t");
  std::optional<InventoryEntry> entry = EntryOfKind(title.substr(0, blank));
  if (!entry || blank == std::string_view::npos) {
    problems.push_back({section.m_title, "", "an unknown section",
                        "[zone NAME], [client NAME], [target NAME], "
                        "[request NAME] or [rule NAME]"});
    return;
  }
  const std::string name(StripBlanks(title.substr(blank)));
  if (!IsInventoryName(name)) {
    problems.push_back({section.m_title, "", "the name " + Quote(name),
                        std::string(kNameAccepted)});
  }
  SectionReader reader(section, problems);
  std::visit([&](auto& value) { VisitFields(reader, value); }, *entry);
  reader.Finish();
  ApplyRecord(inventory, {name, *entry});
}

template <class Map>
void CheckNames(std::string_view kind,
                const Map& records,
                std::vector<InventoryProblem>& problems) {
  for (const auto& [name, value] : records) {
    if (!IsInventoryName(name)) {
      problems.push_back({std::string(kind) + " " + name, "",
                          "the name " + Quote(name),
                          std::string(kNameAccepted)});
    }
  }
}

template <class Map>
void CheckReference(const std::string& section,
                    const std::string& key,
                    const std::string& name,
                    const Map& records,
                    std::vector<InventoryProblem>& problems) {
  if (records.contains(name)) {
    return;
  }
  constexpr size_t kMaxShown = 10;
  std::string known;
  size_t shown = 0;
  for (const auto& [existing, value] : records) {
    if (++shown > kMaxShown) {
      known += ", ...";
      break;
    }
    known += (known.empty() ? "" : ", ") + existing;
  }
  problems.push_back({section, key, "unknown name " + Quote(name),
                      known.empty() ? "a section that declares it" : known});
}

template <class Map>
void WriteSections(const Map& records, std::string& text) {
  for (const auto& [name, value] : records) {
    text += text.empty() ? "" : "\n";
    text.append("[").append(KindName(value)).append(" ").append(name);
    text += "]\n";
    SectionWriter writer(text);
    VisitFields(writer, value);
  }
}

}  // namespace

bool IsInventoryName(std::string_view text) {
  const auto is_valid = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, is_valid);
}

std::vector<InventoryProblem> CheckInventory(const Inventory& inventory) {
  std::vector<InventoryProblem> problems;
  CheckNames("zone", inventory.m_zones, problems);
  CheckNames("client", inventory.m_clients, problems);
  CheckNames("target", inventory.m_targets, problems);
  CheckNames("request", inventory.m_requests, problems);
  CheckNames("rule", inventory.m_rules, problems);
  for (const auto& [name, target] : inventory.m_targets) {
    CheckReference("target " + name, "zone", target.m_zone, inventory.m_zones,
                   problems);
  }
  for (const auto& [name, rule] : inventory.m_rules) {
    CheckReference("rule " + name, "client", rule.m_client, inventory.m_clients,
                   problems);
    for (const std::string& target : rule.m_targets) {
      if (target != "*") {
        CheckReference("rule " + name, "targets", target, inventory.m_targets,
                       problems);
      }
    }
  }
  return problems;
}

Result<Inventory, InventoryError> ParseInventory(std::string_view file,
                                                 std::string_view text) {
  InventoryError error{std::string(file), {}};
  Inventory inventory;
  for (IniSection& section : SplitIni(text, error.m_problems)) {
    ReadSection(section, inventory, error.m_problems);
  }
  // References are checked last: a faulty section would make them look unknown.
  if (error.m_problems.empty()) {
    error.m_problems = CheckInventory(inventory);
  }
  if (!error.m_problems.empty()) {
    return error;
  }
  return inventory;
}

std::string FormatInventory(const Inventory& inventory) {
  std::string text;
  WriteSections(inventory.m_zones, text);
  WriteSections(inventory.m_clients, text);
  WriteSections(inventory.m_targets, text);
  WriteSections(inventory.m_requests, text);
  WriteSections(inventory.m_rules, text);
  return text;
}

}  // namespace comfreyshift
