#include "inventory/record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "inventory/fields.h"
#include "inventory/ini.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Reads the fields of one record from a JSON object, and removes what it has
// read.
class ObjectReader {
 public:
  ObjectReader(std::string section,
               Json& object,
               std::vector<InventoryProblem>& problems)
      : m_section(std::move(section)), m_object(object), m_problems(problems) {}

  void Name(std::string_view key, std::string& field) {
    Text(key, field, IsInventoryName, kNameAccepted);
  }

  void Hash(std::string_view key, std::string& field) {
    Text(key, field, IsHash, kHashAccepted);
  }

  void Flag(std::string_view key, bool& field, bool required) {
    const std::optional<Json> value = Take(key, required, kFlagAccepted);
    if (value && Check(key, *value, value->is_boolean(), kFlagAccepted)) {
      field = value->get<bool>();
    }
  }

  void Stage(std::string_view key, Lifecycle& field) {
    const std::optional<Json> value =
        Take(key, /*required=*/false, kStageAccepted);
    if (!value) {
      return;
    }
    std::optional<Lifecycle> stage;
    if (value->is_string()) {
      stage = ParseStage(value->get_ref<const std::string&>());
    }
    if (Check(key, *value, stage.has_value(), kStageAccepted)) {
      field = *stage;
    }
  }

  template <class T>
  void Number(std::string_view key, T& field, uint64_t low, uint64_t high) {
    const std::string accepted = NumberAccepted(low, high);
    const std::optional<Json> value = Take(key, /*required=*/false, accepted);
    if (!value) {
      return;
    }
    const bool is_valid = value->is_number_unsigned() &&
                          value->get<uint64_t>() >= low &&
                          value->get<uint64_t>() <= high;
    if (Check(key, *value, is_valid, accepted)) {
      field = static_cast<T>(value->get<uint64_t>());
    }
  }

  void Names(std::string_view key, std::set<std::string>& field) {
    const std::optional<Json> value =
        Take(key, /*required=*/true, kNamesAccepted);
    if (!value) {
      return;
    }
    std::set<std::string> names;
    if (value->is_array()) {
      for (const Json& part : *value) {
        names.insert(part.is_string() ? part.get<std::string>() : "");
      }
    }
    if (Check(key, *value, IsTargetList(names) && names.size() == value->size(),
              kNamesAccepted)) {
      field = std::move(names);
    }
  }

  // Reports the keys that no field has taken.
  void Finish() {
    for (const auto& [key, value] : m_object.items()) {
      m_problems.push_back({m_section, key, "an unknown key", m_known_keys});
    }
  }

 private:
  void Text(std::string_view key,
            std::string& field,
            bool (*is_valid)(std::string_view),
            std::string_view accepted) {
    const std::optional<Json> value = Take(key, /*required=*/true, accepted);
    if (value && Check(key, *value,
                       value->is_string() &&
                           is_valid(value->get_ref<const std::string&>()),
                       accepted)) {
      field = value->get<std::string>();
    }
  }

  std::optional<Json> Take(std::string_view key,
                           bool required,
                           std::string_view accepted) {
    m_known_keys += (m_known_keys.empty() ? "" : ", ") + std::string(key);
    const auto found = m_object.find(std::string(key));
    if (found == m_object.end()) {
      if (required) {
        m_problems.push_back(
            {m_section, std::string(key), "no value", std::string(accepted)});
      }
      return std::nullopt;
    }
    Json value = std::move(*found);
    m_object.erase(found);
    return value;
  }

  bool Check(std::string_view key,
             const Json& value,
             bool is_valid,
             std::string_view accepted) {
    if (!is_valid) {
      m_problems.push_back({m_section, std::string(key), DumpJson(value),
                            std::string(accepted)});
    }
    return is_valid;
  }

  std::string m_section;
  Json& m_object;
  std::vector<InventoryProblem>& m_problems;
  std::string m_known_keys;
};

// Writes the fields of one record into a JSON object.
class ObjectWriter {
 public:
  explicit ObjectWriter(Json& object) : m_object(object) {}

  void Name(const char* key, const std::string& field) {
    m_object[key] = field;
  }
  void Flag(const char* key, bool field, bool /*required*/) {
    m_object[key] = field;
  }
  void Hash(const char* key, const std::string& field) {
    m_object[key] = field;
  }
  void Stage(const char* key, Lifecycle field) {
    m_object[key] = StageName(field);
  }
  void Number(const char* key, uint64_t field, uint64_t, uint64_t) {
    m_object[key] = field;
  }
  void Names(const char* key, const std::set<std::string>& field) {
    m_object[key] = field;
  }

 private:
  Json& m_object;
};

template <class Entry>
Json ToJson(const Entry& entry) {
  Json object = Json::object();
  ObjectWriter writer(object);
  VisitFields(writer, entry);
  return object;
}

// Fills `entry` from `object` and reports the faults.
template <class Entry>
void FromJson(const std::string& section,
              Json object,
              Entry& entry,
              std::vector<InventoryProblem>& problems) {
  if (!object.is_object()) {
    problems.push_back({section, "", DumpJson(object), "a JSON object"});
    return;
  }
  ObjectReader reader(section, object, problems);
  VisitFields(reader, entry);
  reader.Finish();
}

constexpr std::string_view kJsonAccepted =
    "a JSON object in UTF-8 without repeated keys, nested at most 64 "
    "deep";

std::string_view KindOf(const AvailabilityZone&) {
  return "zone";
}
std::string_view KindOf(const Target&) {
  return "target";
}
std::string_view KindOf(const Client&) {
  return "client";
}
std::string_view KindOf(const Request&) {
  return "request";
}
std::string_view KindOf(const Rule&) {
  return "rule";
}

// Kind and name of a store key.
struct RecordId {
  std::string_view m_kind;
  std::string_view m_name;
};

std::optional<RecordId> ParseRecordKey(std::string_view key) {
  if (!key.starts_with(kInventoryPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kInventoryPrefix.size());
  const size_t slash = key.find('/');
  if (slash == std::string_view::npos ||
      !IsInventoryName(key.substr(slash + 1))) {
    return std::nullopt;
  }
  return RecordId{key.substr(0, slash), key.substr(slash + 1)};
}

const std::array<InventoryEntry, 5>& EmptyEntries() {
  static const std::array<InventoryEntry, 5> entries = {
      AvailabilityZone{}, Target{}, Client{}, Request{}, Rule{}};
  return entries;
}

std::map<std::string, AvailabilityZone, std::less<>>& MapOf(
    Inventory& inventory,
    const AvailabilityZone&) {
  return inventory.m_zones;
}
std::map<std::string, Target, std::less<>>& MapOf(Inventory& inventory,
                                                  const Target&) {
  return inventory.m_targets;
}
std::map<std::string, Client, std::less<>>& MapOf(Inventory& inventory,
                                                  const Client&) {
  return inventory.m_clients;
}
std::map<std::string, Request, std::less<>>& MapOf(Inventory& inventory,
                                                   const Request&) {
  return inventory.m_requests;
}
std::map<std::string, Rule, std::less<>>& MapOf(Inventory& inventory,
                                                const Rule&) {
  return inventory.m_rules;
}

template <class Map>
void AddRecords(const Map& records,
                std::map<std::string, std::string>& encoded) {
  for (const auto& [name, value] : records) {
    encoded[RecordKey(name, value)] = EncodeRecord(value);
  }
}

template <class Map>
Json MapToJson(const Map& records) {
  Json object = Json::object();
  for (const auto& [name, value] : records) {
    object[name] = ToJson(value);
  }
  return object;
}

// Reads one of the five maps of the whole inventory and removes it from `all`.
template <class Map>
void TakeMap(const char* key,
             Json& all,
             Map& records,
             std::vector<InventoryProblem>& problems) {
  const auto found = all.find(key);
  if (found == all.end()) {
    return;
  }
  if (!found->is_object()) {
    problems.push_back({key, "", DumpJson(*found), "a JSON object by name"});
  } else {
    for (const auto& [name, value] : found->items()) {
      auto& record = records[name];
      const std::string section = std::string(KindOf(record)) + " " + name;
      FromJson(section, value, record, problems);
    }
  }
  all.erase(found);
}

}  // namespace

std::string_view KindName(const InventoryEntry& entry) {
  return std::visit([](const auto& value) { return KindOf(value); }, entry);
}

std::string RecordKey(std::string_view name, const InventoryEntry& entry) {
  std::string key(kInventoryPrefix);
  key.append(KindName(entry)).append("/").append(name);
  return key;
}

std::string EncodeRecord(const InventoryEntry& entry) {
  return std::visit([](const auto& value) { return DumpJson(ToJson(value)); },
                    entry);
}

Result<InventoryRecord, InventoryError> DecodeRecord(std::string_view key,
                                                     std::string_view value) {
  InventoryError error{std::string(key), {}};
  const std::optional<RecordId> id = ParseRecordKey(key);
  for (const InventoryEntry& empty : EmptyEntries()) {
    if (!id || KindName(empty) != id->m_kind) {
      continue;
    }
    const std::string section =
        std::string(id->m_kind) + " " + std::string(id->m_name);
    auto json = ParseJson(value, DuplicateKeys::kRejected);
    if (!json) {
      error.m_problems.push_back(
          {section, "", "malformed JSON", std::string(kJsonAccepted)});
      return error;
    }
    InventoryRecord record{std::string(id->m_name), empty};
    std::visit(
        [&](auto& entry) {
          FromJson(section, std::move(*json), entry, error.m_problems);
        },
        record.m_entry);
    if (!error.m_problems.empty()) {
      return error;
    }
    return record;
  }
  error.m_problems.push_back({"", "", "an unknown key",
                              std::string(kInventoryPrefix) +
                                  "{zone,target,client,request,rule}/NAME"});
  return error;
}

void ApplyRecord(Inventory& inventory, InventoryRecord record) {
  std::visit(
      [&](auto& entry) {
        auto& map = MapOf(inventory, entry);
        map.insert_or_assign(std::move(record.m_name), std::move(entry));
      },
      record.m_entry);
}

bool RemoveRecord(Inventory& inventory, std::string_view key) {
  const std::optional<RecordId> id = ParseRecordKey(key);
  if (!id) {
    return false;
  }
  for (const InventoryEntry& empty : EmptyEntries()) {
    if (KindName(empty) != id->m_kind) {
      continue;
    }
    return std::visit(
        [&](const auto& entry) {
          auto& map = MapOf(inventory, entry);
          return map.erase(std::string(id->m_name)) > 0;
        },
        empty);
  }
  return false;
}

std::map<std::string, std::string> EncodeInventory(const Inventory& inventory) {
  std::map<std::string, std::string> encoded;
  AddRecords(inventory.m_zones, encoded);
  AddRecords(inventory.m_targets, encoded);
  AddRecords(inventory.m_clients, encoded);
  AddRecords(inventory.m_requests, encoded);
  AddRecords(inventory.m_rules, encoded);
  return encoded;
}

std::string InventoryToJson(const Inventory& inventory) {
  Json all = Json::object();
  all["zones"] = MapToJson(inventory.m_zones);
  all["targets"] = MapToJson(inventory.m_targets);
  all["clients"] = MapToJson(inventory.m_clients);
  all["requests"] = MapToJson(inventory.m_requests);
  all["rules"] = MapToJson(inventory.m_rules);
  return DumpJson(all);
}

Result<Inventory, InventoryError> InventoryFromJson(std::string_view source,
                                                    std::string_view text) {
  InventoryError error{std::string(source), {}};
  auto parsed = ParseJsonObject(text, DuplicateKeys::kRejected);
  if (!parsed) {
    error.m_problems.push_back(
        {"", "", "malformed JSON or no object", std::string(kJsonAccepted)});
    return error;
  }
  Json& all = *parsed;
  Inventory inventory;
  TakeMap("zones", all, inventory.m_zones, error.m_problems);
  TakeMap("targets", all, inventory.m_targets, error.m_problems);
  TakeMap("clients", all, inventory.m_clients, error.m_problems);
  TakeMap("requests", all, inventory.m_requests, error.m_problems);
  TakeMap("rules", all, inventory.m_rules, error.m_problems);
  for (const auto& [key, value] : all.items()) {
    error.m_problems.push_back({key, "", "an unknown section",
                                "zones, targets, clients, requests, rules"});
  }
  if (error.m_problems.empty()) {
    error.m_problems = CheckInventory(inventory);
  }
  if (!error.m_problems.empty()) {
    return error;
  }
  return inventory;
}

}  // namespace comfreyshift
