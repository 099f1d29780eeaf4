#include "cli/report.h"

#include <cstdio>
#include <ctime>
#include <initializer_list>
#include <vector>

#include "cli/connection.h"
#include "cli/output.h"
#include "inventory/inventory.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Returns a field as text, "-" if it is not there.
std::string Cell(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || object[key].is_null()) {
    return "-";
  }
  const Json& value = object[key];
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.is_string() ? value.get<std::string>() : DumpJson(value);
}

std::string TimeCell(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) ||
      !object[key].is_number_integer()) {
    return "-";
  }
  return TimeToText(object[key].get<int64_t>());
}

// Returns a list field, empty if it is not there.
Json List(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_array()) {
    return Json::array();
  }
  return object[key];
}

std::string JoinList(const Json& list) {
  std::string text;
  for (const Json& item : list) {
    text += (text.empty() ? "" : ", ") +
            (item.is_string() ? item.get<std::string>() : DumpJson(item));
  }
  return text.empty() ? "none" : text;
}

std::optional<std::string> RecordOf(const Json& change, const char* key) {
  if (!change.is_object() || !change.contains(key) || change[key].is_null()) {
    return std::nullopt;
  }
  return DumpJson(change[key]);
}

std::string ChangesToText(const Json& list) {
  std::vector<InventoryChange> changes;
  for (const Json& change : list) {
    changes.push_back({Cell(change, "key"), RecordOf(change, "before"),
                       RecordOf(change, "after")});
  }
  return changes.empty() ? "no changes\n" : DiffToText(changes);
}

std::string ListTable(const Json& list,
                      std::initializer_list<const char*> keys) {
  Table table({keys.begin(), keys.end()});
  for (const Json& item : list) {
    std::vector<std::string> row;
    for (const char* key : keys) {
      row.push_back(Cell(item, key));
    }
    table.AddRow(std::move(row));
  }
  return table.ToString();
}

}  // namespace

std::string TimeToText(int64_t unix_ms) {
  constexpr int64_t kMsPerSecond = 1000;
  const std::time_t seconds = unix_ms / kMsPerSecond;
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) {
    return "-";
  }
  char text[64];
  const size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%03d",
                static_cast<int>(unix_ms % kMsPerSecond));
  return text;
}

std::string EditToText(const Json& body) {
  std::string text = ChangesToText(List(body, "changes"));
  if (body.contains("affected") && body["affected"].is_object()) {
    for (const auto& [kind, value] : body["affected"].items()) {
      text += "affected " + kind + ": " +
              (value.is_array() ? JoinList(value) : DumpJson(value)) + "\n";
    }
  }
  if (body.value("dry_run", Json(false)) == true) {
    return text + "dry run, nothing was changed (revision " +
           Cell(body, "revision") + ")\n";
  }
  return text + "accepted as revision " + Cell(body, "revision") +
         ", edit id " + Cell(body, "edit_id") + "\n";
}

std::string StatusToText(const Json& body) {
  std::string text = Cell(body, "process") + " (" + Cell(body, "role") +
                     " in " + Cell(body, "zone") + "): ready " +
                     Cell(body, "ready") + ", revision " +
                     Cell(body, "revision") + ", " + Cell(body, "freshness") +
                     ", proof " + Cell(body, "proof_age_ms") +
                     " ms old, store " + Cell(body, "store") + "\n\n";
  text += ListTable(List(body, "zones"), {"name", "open", "targets",
                                          "live_targets", "running", "slots"});
  text += "\n" + ListTable(List(body, "members"),
                           {"name", "role", "zone", "incarnation", "state",
                            "revision"});
  return text;
}

std::string AuditToText(const Json& body) {
  std::string text;
  for (const Json& record : List(body, "records")) {
    text += TimeCell(record, "time_ms") + "  " + Cell(record, "operator") +
            "  " + Cell(record, "action") + "  edit " +
            Cell(record, "edit_id") + "\n" +
            ChangesToText(List(record, "changes")) + "\n";
  }
  return text;
}

std::string RetirementToText(const Json& body) {
  std::string text = Cell(body, "kind") + " " + Cell(body, "name") + ": " +
                     Cell(body, "state") + ", revision " +
                     Cell(body, "revision") + ", accepted " +
                     TimeCell(body, "since_ms") + ", in force " +
                     TimeCell(body, "in_force_ms") + "\n\n";
  Table table({"process", "state", "revision", "confirmed", "last start",
               "running", "fenced"});
  for (const Json& process : List(body, "processes")) {
    table.AddRow({Cell(process, "name"), Cell(process, "state"),
                  Cell(process, "revision"), TimeCell(process, "confirmed_ms"),
                  TimeCell(process, "last_start_ms"), Cell(process, "running"),
                  TimeCell(process, "fenced_at_ms")});
  }
  return text + table.ToString();
}

}  // namespace comfreyshift
