#include "inventory/diff.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "inventory/record.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

Json ToJson(const std::optional<std::string>& value) {
  if (!value) {
    return nullptr;
  }
  auto json = ParseJson(*value);
  return json ? std::move(*json) : Json(*value);
}

// Returns "zone medina" for "/comfreyshift/inventory/zone/medina".
std::string Title(const std::string& key) {
  std::string title = key.starts_with(kInventoryPrefix)
                          ? key.substr(kInventoryPrefix.size())
                          : key;
  const size_t slash = title.find('/');
  if (slash != std::string::npos) {
    title[slash] = ' ';
  }
  return title;
}

// Returns a line for each field that differs between two objects.
std::string FieldLines(const Json& before, const Json& after) {
  std::string text;
  for (const auto& [field, value] : after.items()) {
    const Json old = before.value(field, Json(nullptr));
    if (!before.contains(field)) {
      text += "    " + field + ": " + DumpJson(value) + "\n";
    } else if (old != value) {
      text += "    " + field + ": " + DumpJson(old) + " -> " + DumpJson(value) +
              "\n";
    }
  }
  return text;
}

std::string ChangeToText(const InventoryChange& change) {
  const Json before = ToJson(change.m_before);
  const Json after = ToJson(change.m_after);
  if (!after.is_object()) {
    return "- " + Title(change.m_key) + "\n";
  }
  const std::string mark = before.is_object() ? "~ " : "+ ";
  const Json known = before.is_object() ? before : Json::object();
  return mark + Title(change.m_key) + "\n" + FieldLines(known, after);
}

}  // namespace

std::vector<InventoryChange> Diff(const Inventory& from, const Inventory& to) {
  const std::map<std::string, std::string> before = EncodeInventory(from);
  const std::map<std::string, std::string> after = EncodeInventory(to);
  std::map<std::string, InventoryChange> changes;
  for (const auto& [key, value] : before) {
    changes[key] = {key, value, std::nullopt};
  }
  for (const auto& [key, value] : after) {
    changes[key].m_key = key;
    changes[key].m_after = value;
  }
  std::vector<InventoryChange> differing;
  for (auto& [key, change] : changes) {
    if (change.m_before != change.m_after) {
      differing.push_back(std::move(change));
    }
  }
  return differing;
}

std::string DiffToText(const std::vector<InventoryChange>& changes) {
  std::string text;
  for (const InventoryChange& change : changes) {
    text += ChangeToText(change);
  }
  return text;
}

std::string DiffToJson(const std::vector<InventoryChange>& changes) {
  Json array = Json::array();
  for (const InventoryChange& change : changes) {
    array.push_back({{"key", change.m_key},
                     {"before", ToJson(change.m_before)},
                     {"after", ToJson(change.m_after)}});
  }
  return DumpJson(array);
}

}  // namespace comfreyshift
